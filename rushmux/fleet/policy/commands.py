"""The commands of the policy's state machine, as typed records; `codec` has their stored form."""

from enum import StrEnum
from typing import NamedTuple

from rushmux.fleet.policy.records import FolderLimit


class CommandKind(StrEnum):
    """Kinds of commands; the values are those in stored logs."""

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
    """The first policy, and the members that there may ever be."""

    members: tuple[str, ...]
    text: str
    folder_limits: tuple[FolderLimit, ...]
    proposed_by: str


class ProposeChange(NamedTuple):
    """Stages a new policy; `base`: the version that it was made on, where that is to be checked."""

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
    """Makes the staged policy the active one; `joint`: members that had persisted it."""

    version: int
    joint: tuple[str, ...]
    reason: str


class AbortChange(NamedTuple):
    """Ends the staged change: it takes hold nowhere."""

    version: int
    reason: str


class WithdrawChange(NamedTuple):
    """Somebody takes a staged change back."""

    version: int
    withdrawn_by: str


class RecordActivation(NamedTuple):
    """Members reported that they apply the active version."""

    version: int
    members: tuple[str, ...]


class ForgetMember(NamedTuple):
    """An operator says that a member does not run and will not: nothing waits for it any more."""

    member: str


class ReinstateMembers(NamedTuple):
    """Forgotten members asked for leases: they count again before they are granted any."""

    members: tuple[str, ...]


class DrainNode(NamedTuple):
    """Nothing new is to go to a node."""

    node: str


class UndrainNode(NamedTuple):
    """A node may be used again."""

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
