"""Leader election: term, vote and role of a member, with pre-votes and randomised timeouts."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from enum import StrEnum

from rushmux.fleet.raft import configuration
from rushmux.fleet.raft.log import RaftLog
from rushmux.fleet.raft.messages import Message, PersistentState, RequestVote, RequestVoteResponse

ELECTION_TIMEOUT = 1.0  # minimum seconds without a leader until a member starts an election
ELECTION_JITTER = 1.0  # maximum seconds added at random, which makes split votes rare
JITTER_STEPS_PER_SECOND = 100


class Role(StrEnum):
    """Role of a member in its term."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "tries"
    CANDIDATE = "stands"
    LEADER = "leads"


class ElectionParticipant(ABC):
    """The election part of a Raft member.

    Args:
        member_id: The member's name and the incarnation of its disk.
        state: The persisted state.
        now: Current time in seconds.
        random_below: Returns a random integer from 0 up to, but not including, its argument.
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
        """The leader of this term, if known."""
        self._votes: dict[str, bool] = {}
        self._leader_heard_at = now - ELECTION_TIMEOUT
        self._outgoing: list[Message] = []
        self._reset_election_timer(now)

    @property
    def members(self) -> tuple[str, ...]:
        """The members according to the newest configuration in the log."""
        return self.log.members

    def _send(self, message: Message) -> None:
        self._outgoing.append(message)

    @abstractmethod
    def _become_leader(self, now: float) -> None:
        """Called when this member has won the election of its term."""

    def _tick_election(self, now: float) -> None:
        if now >= self._election_due_at and self.member_id in self.members:
            self._start_election(now, pre_vote=True)

    def _reset_election_timer(self, now: float) -> None:
        steps = round(ELECTION_JITTER * JITTER_STEPS_PER_SECOND)
        tenths = ELECTION_TIMEOUT * 10 + self.random_below(steps) / 10
        self._election_due_at = now + tenths / 10

    def is_quorum(self, names: Collection[str]) -> bool:
        """Whether `names` include a majority of the members."""
        return configuration.is_quorum(self.members, names)

    def _has_recent_leader(self, now: float) -> bool:
        return self.role == Role.LEADER or now - self._leader_heard_at < ELECTION_TIMEOUT

    def become_follower(self, now: float, term: int, leader: str | None = None) -> None:
        """Becomes a follower in the given term."""
        if term > self.term:
            self.term, self.voted_for = term, None
        self.role, self.leader = Role.FOLLOWER, leader
        self._votes = {}
        self._reset_election_timer(now)

    def _start_election(self, now: float, *, pre_vote: bool) -> None:
        """Requests votes from all members.

        A pre-vote asks whether this member would win, and the term is incremented only then.  Otherwise a
        partitioned member would return with a high term and depose a working leader.
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
        """Grants the vote if the candidate's log is at least as up to date as this one."""
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
        """Counts a vote if it belongs to the current election."""
        role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        term = self.term + 1 if response.pre_vote else self.term
        if self.role == role and response.granted and response.term == term:
            self._votes[response.sender] = True
            self._count_votes(now)
