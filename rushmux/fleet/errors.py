"""Errors of the fleet package; their messages are shown to operators."""


class FleetError(Exception):
    """Base class of the errors in this package."""


class ProposalRejectedError(FleetError):
    """The replicated log cannot accept a proposal now; the message gives the reason."""


class NotLeaderError(ProposalRejectedError):
    """The member is not the leader; `leader` is the one it knows, if any."""

    def __init__(self, leader: str | None):
        super().__init__(f"{leader or 'no member that is known here'} leads")
        self.leader = leader


class LogFullError(ProposalRejectedError):
    """The maximum number of uncommitted entries, `limit`, is reached."""

    def __init__(self, limit: int):
        super().__init__(f"{limit} entries wait to be decided")
        self.limit = limit


class MembershipChangeError(ProposalRejectedError):
    """The log's configuration cannot be changed to `members` now."""

    def __init__(self, reason: str, members: tuple[str, ...]):
        super().__init__(reason)
        self.members = members


class CompactionError(ProposalRejectedError):
    """The log cannot be compacted up to `index`."""

    def __init__(self, index: int, last_applied: int, snapshot_index: int):
        super().__init__(
            f"cannot compact up to {index}: applied up to {last_applied}, snapshot at {snapshot_index}"
        )
        self.index = index


class PolicyCommandError(FleetError):
    """The policy state machine rejects a command; the message gives the reason."""


class UnknownCommandError(PolicyCommandError):
    """No command of this `kind` exists."""

    def __init__(self, kind: object):
        super().__init__(f"there is no order '{kind}'")
        self.kind = kind


class AlreadyBootstrappedError(PolicyCommandError):
    """The fleet already has a policy, `active_version`."""

    def __init__(self, active_version: int):
        super().__init__("the fleet has a policy")
        self.active_version = active_version


class NoActivePolicyError(PolicyCommandError):
    """The fleet has no policy yet."""

    def __init__(self):
        super().__init__("the fleet has no first policy yet")


class ChangeUnderWayError(PolicyCommandError):
    """Another change, `version`, is staged."""

    def __init__(self, version: int, proposed_by: str):
        super().__init__(f"{version} by {proposed_by} is under way: wait, or withdraw it")
        self.version = version


class StaleBaseError(PolicyCommandError):
    """A change is based on version `base`, which is not active."""

    def __init__(self, base: int, active_version: int):
        super().__init__(f"it was made on {base}, and {active_version} is in force")
        self.base = base


class PolicyTooLargeError(PolicyCommandError):
    """A policy is larger than `limit` bytes."""

    def __init__(self, limit: int):
        super().__init__(f"a policy holds {limit} bytes")
        self.limit = limit


class MemberBehindError(PolicyCommandError):
    """`member` may still apply a version so old that no further change is accepted."""

    def __init__(self, member: str, version: int):
        super().__init__(f"{member} may still go by {version}: bring it back, or forget it")
        self.member = member


class PastPolicyError(PolicyCommandError):
    """The past policy `version` is not kept."""

    def __init__(self, version: int, kept: tuple[int, ...]):
        listed = ", ".join(map(str, kept))
        super().__init__(
            f"{version} is not kept; there are {listed}" if kept else "no past policy is kept yet"
        )
        self.version = version


class NotStagedError(PolicyCommandError):
    """The change `version` is not staged."""

    def __init__(self, version: int):
        super().__init__(f"{version} is not under way")
        self.version = version


class UnknownChangeError(PolicyCommandError):
    """No change `version` is known."""

    def __init__(self, version: int):
        super().__init__(f"there is no change {version}")
        self.version = version


class ChangeEndedError(PolicyCommandError):
    """The change `version` has ended and cannot be withdrawn."""

    def __init__(self, version: int, outcome: str, *, revertible: bool):
        super().__init__(f"{version} is {outcome} already{': propose a revert' if revertible else ''}")
        self.version = version


class UnknownMemberError(PolicyCommandError):
    """No member of this name exists."""

    def __init__(self, member: str):
        super().__init__(f"there is no member '{member}'")
        self.member = member


class TooManyDrainedError(PolicyCommandError):
    """The maximum number of draining nodes, `limit`, is reached."""

    def __init__(self, limit: int):
        super().__init__(f"{limit} nodes are to drain already")
        self.limit = limit


class StaleVersionError(PolicyCommandError):
    """Members reported `version`, which is no longer active."""

    def __init__(self, version: int):
        super().__init__("another number is in force by now")
        self.version = version


class PolicyChecksumError(FleetError, ValueError):
    """The checksum of the stored policy `version` is wrong."""

    def __init__(self, version: int):
        super().__init__(f"policy {version} has a wrong checksum")
        self.version = version


class MembershipFullError(FleetError):
    """`member` was rejected; the maximum number of members is reached."""

    def __init__(self, member: str, limit: int):
        super().__init__(f"cannot add member {member}: the limit of {limit} members is reached")
        self.member = member


class NoNodesError(FleetError, ValueError):
    """There is no node to place cells on."""

    def __init__(self):
        super().__init__("no node to place cells on")
