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


class MembershipFullError(FleetError):
    """More members than are kept; the text names the one that was rejected."""
