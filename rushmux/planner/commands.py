"""Names of the operators' commands, as sent on the wire."""

from enum import StrEnum


class FleetVerb(StrEnum):
    """Commands about the fleet's members."""

    SHOW = "show"
    DRAIN = "drain"
    UNDRAIN = "undrain"


class PolicyVerb(StrEnum):
    """Commands about the fleet's policy."""

    SHOW = "show"
    PROPOSE = "propose"
    REVERT = "revert"
    WITHDRAW = "withdraw"
    FORGET = "forget"
