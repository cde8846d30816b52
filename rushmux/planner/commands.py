"""Names of the commands that operators send to a planner; the values are those of the wire."""

from enum import StrEnum


class FleetVerb(StrEnum):
    """Commands on the fleet's members."""

    SHOW = "show"
    DRAIN = "drain"
    UNDRAIN = "undrain"


class PolicyVerb(StrEnum):
    """Commands on the fleet's policy."""

    SHOW = "show"
    PROPOSE = "propose"
    REVERT = "revert"
    WITHDRAW = "withdraw"
    FORGET = "forget"
