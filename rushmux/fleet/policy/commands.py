"""Commands of the policy state machine as typed records; `codec` has their stored form."""

from enum import StrEnum
from typing import NamedTuple

from rushmux.fleet.policy.records import FolderLimit


class CommandKind(StrEnum):
    """Kinds of commands; the values are used in stored logs."""

    BOOTSTRAP = "found"
    PROPOSE = "propose"
    REVERT = "revert"
    DECIDE = "decide"
    ABORT = "end"
    WITHDRAW = "withdraw"
    RECORD_ACTIVATION = "back"
    FORGET = "forget"
    REINSTATE = "return"
    DRAIN = "drain"
    UNDRAIN = "undrain"


class BootstrapFleet(NamedTuple):
    """Sets the first policy and all members that the fleet can ever have."""

    members: tuple[str, ...]
    text: str
    folder_limits: tuple[FolderLimit, ...]
    proposed_by: str


class ProposeChange(NamedTuple):
    """Stages a new policy; if `base` is set, it must be the active version."""

    base: int | None
    text: str
    folder_limits: tuple[FolderLimit, ...]
    proposed_by: str


class RevertChange(NamedTuple):
    """Stages a past policy under a new version."""

    version: int
    base: int | None
    proposed_by: str


class DecideChange(NamedTuple):
    """Activates the staged policy; `joint` are the members that have persisted it."""

    version: int
    joint: tuple[str, ...]
    reason: str


class AbortChange(NamedTuple):
    """Ends the staged change without effect."""

    version: int
    reason: str


class WithdrawChange(NamedTuple):
    """Withdraws the staged change."""

    version: int
    withdrawn_by: str


class RecordActivation(NamedTuple):
    """Records that members apply the active version."""

    version: int
    members: tuple[str, ...]


class ForgetMember(NamedTuple):
    """Lets changes proceed without a member that an operator declared permanently stopped."""

    member: str


class ReinstateMembers(NamedTuple):
    """Reinstates forgotten members that requested leases, before any is granted."""

    members: tuple[str, ...]


class DrainNode(NamedTuple):
    """Drains a node: it gets no new operations."""

    node: str


class UndrainNode(NamedTuple):
    """Ends a node's drain."""

    node: str


Command = (
    BootstrapFleet
    | ProposeChange
    | RevertChange
    | DecideChange
    | AbortChange
    | WithdrawChange
    | RecordActivation
    | ForgetMember
    | ReinstateMembers
    | DrainNode
    | UndrainNode
)
