"""Elections: a member's term, vote and role, with pre-votes and randomised timeouts."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from enum import StrEnum

from rushmux.fleet.raft import configuration
from rushmux.fleet.raft.log import RaftLog
from rushmux.fleet.raft.messages import Message, PersistentState, RequestVote, RequestVoteResponse

ELECTION_TIMEOUT = 1.0  # seconds without a leader until a member seeks another, at least
ELECTION_JITTER = 1.0  # seconds drawn on top of it, so that two candidates seldom split the votes
JITTER_STEPS_PER_SECOND = 100


class Role(StrEnum):
    """What a member does in its term."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "tries"
    CANDIDATE = "stands"
    LEADER = "leads"


class ElectionParticipant(ABC):
    """The part of a member that follows, votes and stands for election.

    Args:
        member_id: This member's name and the incarnation of its disk.
        state: What its disk holds.
        now: Seconds of the caller's clock.
        random_below: Draws an integer from 0 up to, but not including, its argument.
    """

    def __init__(
        self, member_id: str, state: PersistentState, now: float, random_below: Callable[[int], int]
    ):
        self.member_id = member_id
        self.random_below = random_below
        self.term = state.term
        self.voted_for = state.voted_for
        self.log = RaftLog(state)
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        """The leader of this term, where one was heard of."""
        self._votes: dict[str, bool] = {}
        self._leader_heard_at = now - ELECTION_TIMEOUT
        self._outgoing: list[Message] = []
        self._reset_election_timer(now)

    @property
    def members(self) -> tuple[str, ...]:
        """The members by the newest configuration in the log."""
        return self.log.members

    def _send(self, message: Message) -> None:
        self._outgoing.append(message)

    @abstractmethod
    def _become_leader(self, now: float) -> None:
        """This member has won the election of its term."""

    def _tick_election(self, now: float) -> None:
        if now >= self._election_due_at and self.member_id in self.members:
            self._start_election(now, pre_vote=True)

    def _reset_election_timer(self, now: float) -> None:
        steps = round(ELECTION_JITTER * JITTER_STEPS_PER_SECOND)
        tenths = ELECTION_TIMEOUT * 10 + self.random_below(steps) / 10
        self._election_due_at = now + tenths / 10

    def is_quorum(self, names: Collection[str]) -> bool:
        """Whether `names` hold a majority of the members."""
        return configuration.is_quorum(self.members, names)

    def _has_recent_leader(self, now: float) -> bool:
        return self.role == Role.LEADER or now - self._leader_heard_at < ELECTION_TIMEOUT

    def become_follower(self, now: float, term: int, leader: str | None = None) -> None:
        """Follows in a term, which may be a newer one."""
        if term > self.term:
            self.term, self.voted_for = term, None
        self.role, self.leader = Role.FOLLOWER, leader
        self._votes = {}
        self._reset_election_timer(now)

    def _start_election(self, now: float, *, pre_vote: bool) -> None:
        """Asks all members for their votes.

        A member that was cut off would come back with a high term and depose a leader that all others hear.
        So a pre-vote asks first whether it would be voted for, and the term rises only then.
        """
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader = None
        self._votes = {self.member_id: True}
        if not pre_vote:
            self.term, self.voted_for = self.term + 1, self.member_id
        self._reset_election_timer(now)
        term = self.term + 1 if pre_vote else self.term
        log = self.log
        for name in self.members:
            if name != self.member_id:
                self._send(RequestVote(self.member_id, name, term, log.last_index, log.last_term, pre_vote))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self.is_quorum(self._votes):
            return
        if self.role == Role.PRE_CANDIDATE:
            self._start_election(now, pre_vote=False)
        elif self.role == Role.CANDIDATE:
            self._become_leader(now)

    def on_request_vote(self, now: float, request: RequestVote) -> None:
        """Grants a vote to a candidate whose log is at least as new as this one."""
        own = self.log.last_term, self.log.last_index
        granted = (request.last_log_term, request.last_log_index) >= own
        if request.pre_vote:
            granted = granted and request.term > self.term and not self._has_recent_leader(now)
        else:
            granted = granted and self.voted_for in (None, request.sender)
            if granted:
                self.voted_for = request.sender
                self._reset_election_timer(now)
        term = request.term if granted else self.term
        self._send(RequestVoteResponse(self.member_id, request.sender, term, request.pre_vote, granted))

    def on_request_vote_response(self, now: float, response: RequestVoteResponse) -> None:
        """Counts a vote that answers the election that is on."""
        role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        term = self.term + 1 if response.pre_vote else self.term
        if self.role == role and response.granted and response.term == term:
            self._votes[response.sender] = True
            self._count_votes(now)
