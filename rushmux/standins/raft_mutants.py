"""Mutants of `RaftNode`, each with one defect that the checker of `raft_simulation` has to find."""

from collections.abc import Callable, Collection

from rushmux.fleet import raft


class VotesTwice(raft.RaftNode):
    """Forgets whom it voted for in a term."""

    def on_request_vote(self, now: float, request: raft.RequestVote) -> None:
        """As the original, without the vote cast earlier."""
        if not request.pre_vote:
            self.voted_for = None
        super().on_request_vote(now, request)


class VotesForOlderLog(raft.RaftNode):
    """Considers every candidate's log as newer than its own."""

    def on_request_vote(self, now: float, request: raft.RequestVote) -> None:
        """As the original, with a candidate whose log is newer than any."""
        super().on_request_vote(now, request._replace(last_log_index=1 << 30, last_log_term=1 << 30))


class AcknowledgesUnpersisted(raft.RaftNode):
    """Acknowledges entries that are not on its disk."""

    def ready(self) -> raft.Ready | None:
        """As the original, without entries to persist."""
        ready = super().ready()
        return ready and ready._replace(entries=())


class CommitsWithoutMajority(raft.RaftNode):
    """Accepts one vote less than a majority."""

    def is_quorum(self, names: Collection[str]) -> bool:
        """Whether the votes are at most one short of a majority."""
        return sum(name in names for name in self.members) * 2 >= len(self.members) - 1


class KeepsConflict(raft.RaftNode):
    """Appends a leader's entries after its own log if the entry before them is missing."""

    def on_append_entries(self, now: float, request: raft.AppendEntries) -> None:
        """As the original, after its last entry if the previous one is missing."""
        prev_index = request.prev_log_index
        if self.log.term_at(prev_index) is None:
            prev_index = self.log.last_index
        prev_term = self.log.term_at(prev_index)
        super().on_append_entries(now, request._replace(prev_log_index=prev_index, prev_log_term=prev_term))


class StaysLeader(raft.RaftNode):
    """Stays leader when it sees a higher term."""

    def become_follower(self, now: float, term: int, leader: str | None = None) -> None:
        """As the original, unless it leads and the new leader is unknown."""
        if self.role == raft.Role.LEADER and leader is None:
            self.term = max(term, self.term)
        else:
            super().become_follower(now, term, leader)


class AppliesAgain(raft.RaftNode):
    """Applies the last entry of its snapshot again."""

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
