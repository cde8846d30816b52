"""Mutants of a Raft member: each has one defect, which the checker of `raft_simulation` has to find."""

from collections.abc import Callable, Collection

from rushmux.fleet import raft


class VotesTwice(raft.RaftNode):
    """Forgets whom it voted for in a term."""

    def on_request_vote(self, now: float, request: raft.RequestVote) -> None:
        """As the original, on other terms."""
        if not request.pre_vote:
            self.voted_for = None
        super().on_request_vote(now, request)


class VotesForOlderLog(raft.RaftNode):
    """Takes every candidate's log for newer than its own."""

    def on_request_vote(self, now: float, request: raft.RequestVote) -> None:
        """As the original, on other terms."""
        super().on_request_vote(now, request._replace(last_log_index=1 << 30, last_log_term=1 << 30))


class AcknowledgesUnpersisted(raft.RaftNode):
    """Acknowledges entries that are not on its disk."""

    def ready(self) -> raft.Ready | None:
        """As the original, without entries to persist."""
        ready = super().ready()
        return ready and ready._replace(entries=())


class CommitsWithoutMajority(raft.RaftNode):
    """Takes one vote less than a majority for one."""

    def is_quorum(self, names: Collection[str]) -> bool:
        """Whether one vote less than a majority is there."""
        return sum(name in names for name in self.members) * 2 >= len(self.members) - 1


class KeepsConflict(raft.RaftNode):
    """Appends a leader's entries behind its own, where it has not got those before them."""

    def on_append_entries(self, now: float, request: raft.AppendEntries) -> None:
        """As the original, behind its last entry."""
        prev_index = request.prev_log_index
        if self.log.term_at(prev_index) is None:
            prev_index = self.log.last_index
        prev_term = self.log.term_at(prev_index)
        super().on_append_entries(now, request._replace(prev_log_index=prev_index, prev_log_term=prev_term))


class StaysLeader(raft.RaftNode):
    """Does not step down when it hears of a higher term."""

    def become_follower(self, now: float, term: int, leader: str | None = None) -> None:
        """Only for a leader that it hears of."""
        if self.role == raft.Role.LEADER and leader is None:
            self.term = max(term, self.term)
        else:
            super().become_follower(now, term, leader)


class AppliesAgain(raft.RaftNode):
    """Applies again what its snapshot holds."""

    def __init__(
        self, member_id: str, state: raft.PersistentState, now: float, random_below: Callable[[int], int]
    ):
        super().__init__(member_id, state, now, random_below)
        self.log.last_applied = max(0, self.last_applied - 1)


MUTANTS = (
    VotesTwice,
    VotesForOlderLog,
    AcknowledgesUnpersisted,
    CommitsWithoutMajority,
    KeepsConflict,
    StaysLeader,
    AppliesAgain,
)
