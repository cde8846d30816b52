"""Errors of the fleet's shared decisions; each reads as a sentence to an operator."""


class FleetError(Exception):
    """Base of all errors of this package."""


class ProposalRejectedError(FleetError):
    """The replicated log cannot take a proposal now; the text says why."""


class NotLeaderError(ProposalRejectedError):
    """A proposal was made to a member that does not lead; `leader` is the one it knows of, if any."""

    def __init__(self, leader: str | None):
        super().__init__(f"{leader or 'no member that is known here'} leads")
        self.leader = leader


class LogFullError(ProposalRejectedError):
    """As many entries as may wait to be committed do; `limit` says how many."""

    def __init__(self, limit: int):
        super().__init__(f"{limit} entries wait to be decided")
        self.limit = limit


class MembershipChangeError(ProposalRejectedError):
    """The log's members cannot be changed to `members` now."""

    def __init__(self, reason: str, members: tuple[str, ...]):
        super().__init__(reason)
        self.members = members


class CompactionError(ProposalRejectedError):
    """Entries up to `index` cannot be replaced by a snapshot."""

    def __init__(self, index: int, last_applied: int, snapshot_index: int):
        super().__init__(f"entries up to {last_applied} are applied, up to {snapshot_index} are gone")
        self.index = index


class CommandRejectedError(FleetError):
    """The policy state machine refuses a command; the text says why."""


class UnknownCommandError(CommandRejectedError):
    """There is no command of this `kind`."""

    def __init__(self, kind: object):
        super().__init__(f"there is no order '{kind}'")
        self.kind = kind


class AlreadyBootstrappedError(CommandRejectedError):
    """The fleet has a policy, of `active_version`."""

    def __init__(self, active_version: int):
        super().__init__("the fleet has a policy")
        self.active_version = active_version


class NoActivePolicyError(CommandRejectedError):
    """The fleet has no policy that could be changed."""

    def __init__(self):
        super().__init__("the fleet has no first policy yet")


class ChangeUnderWayError(CommandRejectedError):
    """Another change is staged."""

    def __init__(self, version: int, proposed_by: str):
        super().__init__(f"{version} by {proposed_by} is under way: wait, or withdraw it")
        self.version = version


class StaleBaseError(CommandRejectedError):
    """A change was made on version `base`, which is not the active one."""

    def __init__(self, base: int, active_version: int):
        super().__init__(f"it was made on {base}, and {active_version} is in force")
        self.base = base


class PolicyTooLargeError(CommandRejectedError):
    """A policy has more than `limit` bytes."""

    def __init__(self, limit: int):
        super().__init__(f"a policy holds {limit} bytes")
        self.limit = limit


class MemberBehindError(CommandRejectedError):
    """`member` may still apply such an old version that no further change is taken."""

    def __init__(self, member: str, version: int):
        super().__init__(f"{member} may still go by {version}: bring it back, or forget it")
        self.member = member


class PastPolicyError(CommandRejectedError):
    """A past policy, of `version`, is not kept."""

    def __init__(self, version: int, kept: tuple[int, ...]):
        listed = ", ".join(map(str, kept))
        super().__init__(
            f"{version} is not kept; there are {listed}" if kept else "no past policy is kept yet"
        )
        self.version = version


class NotStagedError(CommandRejectedError):
    """The change of `version` is not the staged one."""

    def __init__(self, version: int):
        super().__init__(f"{version} is not under way")
        self.version = version


class UnknownChangeError(CommandRejectedError):
    """There never was a change of `version`."""

    def __init__(self, version: int):
        super().__init__(f"there is no change {version}")
        self.version = version


class ChangeEndedError(CommandRejectedError):
    """The change of `version` has ended and cannot be withdrawn."""

    def __init__(self, version: int, outcome: str, *, revertible: bool):
        super().__init__(f"{version} is {outcome} already{': propose a revert' if revertible else ''}")
        self.version = version


class UnknownMemberError(CommandRejectedError):
    """There is no member of this name."""

    def __init__(self, member: str):
        super().__init__(f"there is no member '{member}'")
        self.member = member


class TooManyDrainedError(CommandRejectedError):
    """`limit` nodes are draining."""

    def __init__(self, limit: int):
        super().__init__(f"{limit} nodes are to drain already")
        self.limit = limit


class StaleVersionError(CommandRejectedError):
    """Members reported `version`, which is not the active one any more."""

    def __init__(self, version: int):
        super().__init__("another number is in force by now")
        self.version = version


class PolicyChecksumError(FleetError, ValueError):
    """A stored policy, of `version`, is damaged."""

    def __init__(self, version: int):
        super().__init__(f"policy {version} has a wrong checksum")
        self.version = version


class MembershipFullError(FleetError):
    """As many members as are kept are known; `member` was rejected."""

    def __init__(self, member: str, limit: int):
        super().__init__(f"{member}: {limit} members are known")
        self.member = member


class NoNodesError(FleetError, ValueError):
    """There is no node that could hold cells."""

    def __init__(self):
        super().__init__("no node to place cells on")
