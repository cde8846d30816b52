"""The planners' log: entries decided once, by a majority's disks.  No I/O, no clock of its own.

Raft as published (Ongaro's dissertation): a trial vote before each real one, a leader that steps down when
it hears no majority, members changed one at a time, snapshots.  A `RaftNode` is stepped with what happens and
hands out by `ready` what is to be written, sent and applied.  The caller writes first, then sends, then calls
`on_persisted`: a vote or a word on entries that left before the disk had it would be a promise that a power loss
breaks.  Times are seconds of the caller's monotonic clock, which may begin anew with each start; no promise
to another member rests on a clock, so clocks may differ, drift and jump without harm to what is decided.

A member is named by its name and the life of its disk: one whose disk was lost comes back as somebody else,
has no vote, and is taken in by a change of members.  Danger: under its old name it would vote twice in a
term.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from rushmux.fleet.errors import NotLeaderError, ProposalRejectedError


class Role(StrEnum):
    """What a member does in its term; the values are what earlier versions called them."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "tries"
    CANDIDATE = "stands"
    LEADER = "leads"


class EntryKind(StrEnum):
    """What an entry holds; the values stand on the wire and on disks."""

    NOOP = "begin"
    COMMAND = "order"
    CONFIGURATION = "members"


def entry_kind(text: str) -> EntryKind | str:
    """The kind that a wire or a disk names; one of a newer version stays as it is (a no-op)."""
    return EntryKind(text) if text in EntryKind._value2member_map_ else text


ELECTION_TIMEOUT = 10  # tenths of a second: the least without a leader before another is sought
ELECTION_JITTER = 10  # tenths drawn on top of it: two seldom stand together
HEARTBEAT_INTERVAL = 0.25  # seconds between two words of a leader: three may be lost before anybody tries
MAX_ENTRIES_PER_APPEND = 64  # entries in one message: a member that is far behind must not stall the others
MAX_UNCOMMITTED_ENTRIES = 1_024  # entries not decided yet: beyond it nothing more is taken
MAX_MEMBERS = 9  # more make nothing safer
MAX_CLIENT_SESSIONS = 16_384  # whose last answer is remembered; the longest silent is forgotten first


class Entry(NamedTuple):
    """`body`: bytes of an order, or the members' names."""

    term: int
    kind: EntryKind | str
    body: object


class Snapshot(NamedTuple):
    """What all entries up to `index` made, so that they need not be kept."""

    index: int
    term: int
    members: tuple[str, ...]
    state: bytes


class HardState(NamedTuple):
    """The current term, and whom this member voted for in it."""

    term: int
    voted_for: str | None


class PersistentState(NamedTuple):
    """What a disk holds at a start: the entries follow the snapshot."""

    term: int
    voted_for: str | None
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


class RequestVote(NamedTuple):
    """For a vote; `trial`: whether it would be given."""

    sender: str
    receiver: str
    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(NamedTuple):
    sender: str
    receiver: str
    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(NamedTuple):
    """Entries behind index `before`, and up to where all is decided."""

    sender: str
    receiver: str
    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int = 0  # of the leader's words: whoever echoes it heard it after the round began


class InstallSnapshot(NamedTuple):
    """A snapshot, for a member whose entries the leader does not keep any more."""

    sender: str
    receiver: str
    term: int
    snapshot: Snapshot
    round: int = 0


class AppendEntriesResponse(NamedTuple):
    """Up to where the sender's log is the leader's; not `good`: up to where it may be."""

    sender: str
    receiver: str
    term: int
    success: bool
    match_index: int
    round: int = 0


class Ready(NamedTuple):
    """To be done in this order: written and synced, sent, applied; then `written`."""

    hard_state: HardState | None  # where it changed
    snapshot: Snapshot | None  # replaces what is on disk up to its index
    truncate_from: int | None  # from this index on the disk's entries are dropped before
    entries: tuple[tuple[int, Entry], ...]
    messages: tuple
    restore: Snapshot | None  # the state to be taken over before what is decided is applied
    committed: tuple[tuple[int, Entry], ...]


def bootstrap(members) -> PersistentState:
    """The disk of a log that begins with these members: given to each of them, once."""
    return PersistentState(0, None, Snapshot(0, 0, tuple(sorted(members)), b""))


class RaftNode:
    """One member.  `draw(n)` gives a number below n, by chance."""

    def __init__(
        self, member_id: str, state: PersistentState, now: float, random_below: Callable[[int], int]
    ):
        self.member_id, self.random_below = member_id, random_below
        self.term, self.voted_for, self.snapshot = state.term, state.voted_for, state.snapshot
        self.log, self.persisted_index = list(state.entries), state.snapshot.index + len(state.entries)
        self.commit_index = self.last_applied = state.snapshot.index
        self.role, self.leader, self.leader_heard_at = Role.FOLLOWER, None, now - ELECTION_TIMEOUT / 10
        self.votes, self.next_index, self.match_index, self.last_contact, self.learners = {}, {}, {}, {}, {}
        self.broadcast_at, self.election_due_at, self.round, self.acknowledged_rounds = 0.0, 0.0, 0, {}
        self.outgoing, self.truncate_from = [], None
        self.emitted_hard_state = HardState(self.term, self.voted_for)
        self.emitted_index, self.snapshot_to_persist, self.snapshot_to_restore = (
            self.persisted_index,
            None,
            None,
        )
        self.members = self.members_at(self.last_index)
        self.handlers = {
            RequestVote: self.on_request_vote,
            RequestVoteResponse: self.on_request_vote_response,
            AppendEntries: self.on_append_entries,
            InstallSnapshot: self.on_install_snapshot,
            AppendEntriesResponse: self.on_append_entries_response,
        }
        self.reset_election_timer(now)

    # The log.

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.log)

    def term_at(self, index) -> int | None:
        """None where the log has no such entry (any more)."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self.log[place].term if 0 <= place < len(self.log) else None

    def members_at(self, index) -> tuple[str, ...]:
        """Those of the last change up to an index: a change counts from when it stands in the log."""
        for entry in reversed(self.log[: max(0, index - self.snapshot.index)]):
            if entry.kind == EntryKind.CONFIGURATION:
                return entry.body
        return self.snapshot.members

    def add(self, entries):
        self.log += entries
        if any(entry.kind == EntryKind.CONFIGURATION for entry in entries):
            self.members = self.members_at(self.last_index)

    def truncate(self, index):
        """Drops the entries from an index on: they were never decided."""
        assert index > self.commit_index, "what was decided is never undone"
        del self.log[index - self.snapshot.index - 1 :]
        self.truncate_from = index if self.truncate_from is None else min(self.truncate_from, index)
        self.persisted_index, self.emitted_index = (
            min(self.persisted_index, index - 1),
            min(self.emitted_index, index - 1),
        )
        self.members = self.members_at(self.last_index)

    # Roles.

    def reset_election_timer(self, now):
        self.election_due_at = now + (ELECTION_TIMEOUT + self.random_below(ELECTION_JITTER * 10) / 10) / 10

    def become_follower(self, now, term, leader=None):
        if term > self.term:
            self.term, self.voted_for = term, None
        self.role, self.leader, self.votes, self.learners = Role.FOLLOWER, leader, {}, {}
        self.reset_election_timer(now)

    def is_quorum(self, names) -> bool:
        return sum(name in names for name in self.members) * 2 > len(self.members)

    def has_recent_leader(self, now) -> bool:
        """Whether a leader was heard of so lately that no other is wanted."""
        return self.role == Role.LEADER or now - self.leader_heard_at < ELECTION_TIMEOUT / 10

    def tick(self, now):
        """To be called every tenth of a second or so."""
        if self.role == Role.LEADER:
            # Danger: one that is cut off would go on promising what nobody will decide.
            lately = {
                name: True for name, at in self.last_contact.items() if now - at < ELECTION_TIMEOUT / 10
            }
            if not self.is_quorum({**lately, self.member_id: True}):
                self.become_follower(now, self.term)
            elif now - self.broadcast_at >= HEARTBEAT_INTERVAL:
                self.broadcast(now)
        elif now >= self.election_due_at and self.member_id in self.members:
            self.start_election(now, True)

    def start_election(self, now, pre_vote):
        """Danger: one that was cut off comes back with a high term and unseats a leader that all hear.  So
        it asks first whether it would be voted for, and its term rises only then.
        """
        self.role, self.leader, self.votes = (
            Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE,
            None,
            {self.member_id: True},
        )
        if not pre_vote:
            self.term, self.voted_for = self.term + 1, self.member_id
        self.reset_election_timer(now)
        what = self.term + pre_vote, self.last_index, self.term_at(self.last_index), pre_vote
        self.outgoing += [
            RequestVote(self.member_id, name, *what) for name in self.members if name != self.member_id
        ]
        self.count_votes(now)

    def count_votes(self, now):
        if self.is_quorum(self.votes):
            if self.role == Role.PRE_CANDIDATE:
                self.start_election(now, False)
            elif self.role == Role.CANDIDATE:
                self.role, self.leader = Role.LEADER, self.member_id
                self.next_index, self.match_index, self.acknowledged_rounds = {}, {}, {}
                self.last_contact = dict.fromkeys(self.members, now)
                # Danger: entries of older terms are not decided by counting; one of its own decides them.
                self.add([Entry(self.term, EntryKind.NOOP, b"")])
                self.broadcast(now)

    # What people and programs ask for.

    def require_leader(self):
        if self.role != Role.LEADER:
            raise NotLeaderError(f"{self.leader or 'no member that is known here'} leads")

    def propose(self, now, body: bytes) -> tuple[int, int]:
        """Takes an order into the log; its index and term.  It holds once it is decided under that term."""
        self.require_leader()
        if self.last_index - self.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            raise ProposalRejectedError(f"{MAX_UNCOMMITTED_ENTRIES} entries wait to be decided")
        self.add([Entry(self.term, EntryKind.COMMAND, body)])
        self.broadcast(now)
        return self.last_index, self.term

    def add_learner(self, now, name: str):
        """Sends the log to one that is no member yet, so that it has caught up when it becomes one."""
        self.require_leader()
        self.learners[name] = True
        self.replicate_to(name)

    def change_members(self, now, members) -> tuple[int, int]:
        """Changes the members, by one that comes or goes; its index and term."""
        self.require_leader()
        wanted = tuple(sorted(set(members)))
        if len(set(wanted) ^ set(self.members)) != 1:
            raise ProposalRejectedError("members come and go one at a time")
        if not 0 < len(wanted) <= MAX_MEMBERS:
            raise ProposalRejectedError(f"1 to {MAX_MEMBERS} members")
        if self.members_at(self.commit_index) != self.members:
            raise ProposalRejectedError("the change before it is not decided")
        # Danger: two leaders, each with a change that the other never heard of, have majorities apart.
        if self.term_at(self.commit_index) != self.term:
            raise ProposalRejectedError("this leader has decided nothing of its own yet")
        new = next((name for name in wanted if name not in self.members), None)
        if new is not None and self.match_index.get(new, 0) < self.commit_index:
            raise ProposalRejectedError(f"{new} has not caught up: let it learn first")
        self.add([Entry(self.term, EntryKind.CONFIGURATION, wanted)])
        self.last_contact.setdefault(new or self.member_id, now)
        if new is not None:
            self.learners.pop(new, None)
        self.broadcast(now)
        return self.last_index, self.term

    def compact(self, index: int, state: bytes):
        """Keeps what entries up to an index, all applied, made in their place."""
        if not self.snapshot.index < index <= self.last_applied:
            raise ProposalRejectedError(
                f"entries up to {self.last_applied} are applied, up to {self.snapshot.index} are gone"
            )
        self.replace_snapshot(Snapshot(index, self.term_at(index), self.members_at(index), state))

    def replace_snapshot(self, snapshot):
        self.log = self.log[snapshot.index - self.snapshot.index :]
        self.snapshot = self.snapshot_to_persist = snapshot
        self.persisted_index, self.emitted_index = (
            max(self.persisted_index, snapshot.index),
            max(self.emitted_index, snapshot.index),
        )

    # A leader's words.

    def broadcast(self, now):
        self.broadcast_at, self.round = now, self.round + 1
        for name in (*self.members, *self.learners):
            if name != self.member_id:
                self.replicate_to(name)
        self.advance_commit_index(now)

    def replicate_to(self, name):
        next_ = self.next_index.setdefault(name, self.last_index)
        if next_ <= self.snapshot.index:
            self.outgoing.append(InstallSnapshot(self.member_id, name, self.term, self.snapshot, self.round))
            return
        place = next_ - self.snapshot.index - 1
        self.outgoing.append(
            AppendEntries(
                self.member_id,
                name,
                self.term,
                next_ - 1,
                self.term_at(next_ - 1),
                tuple(self.log[place : place + MAX_ENTRIES_PER_APPEND]),
                self.commit_index,
                self.round,
            )
        )

    def advance_commit_index(self, now):
        """Moves on what a majority's disks have, this one's included."""
        reached = sorted(
            (
                self.persisted_index if name == self.member_id else self.match_index.get(name, 0)
                for name in self.members
            ),
            reverse=True,
        )
        index = reached[len(self.members) // 2]
        if index > self.commit_index and self.term_at(index) == self.term:
            self.commit_index = index
            if self.member_id not in self.members_at(index):  # it has led itself out
                self.broadcast(now)
                self.become_follower(now, self.term)

    @property
    def confirmed_round(self) -> int:
        """The newest round that a majority echoed: after it began this member still led, by nobody's clock.
        0 until an entry of its own term is decided: before that it may not know what was decided.
        """
        if self.role != Role.LEADER or self.term_at(self.commit_index) != self.term:
            return 0
        rounds = sorted(
            (
                self.round if name == self.member_id else self.acknowledged_rounds.get(name, 0)
                for name in self.members
            ),
            reverse=True,
        )
        return rounds[len(self.members) // 2]

    # What comes.

    def receive(self, now, message):
        """Takes in a message; one for somebody else is none."""
        if message.receiver != self.member_id:
            return
        asks, leads = isinstance(message, RequestVote), isinstance(message, (AppendEntries, InstallSnapshot))
        pre_vote = getattr(message, "pre_vote", False)
        if message.term > self.term and not (pre_vote and (asks or message.granted)):
            if asks and self.has_recent_leader(now):
                return  # a leader is heard: whoever asks does not hear it
            self.become_follower(now, message.term)
        if message.term < self.term:
            if asks:
                self.outgoing.append(
                    RequestVoteResponse(self.member_id, message.sender, self.term, message.pre_vote, False)
                )
            elif leads:
                self.outgoing.append(
                    AppendEntriesResponse(self.member_id, message.sender, self.term, False, 0)
                )
            return
        if leads:
            self.become_follower(now, message.term, message.sender)
            self.leader_heard_at = now
        self.handlers[type(message)](now, message)

    def on_request_vote(self, now, message):
        newer = (message.last_log_term, message.last_log_index) >= (
            self.term_at(self.last_index),
            self.last_index,
        )
        if message.pre_vote:
            granted = newer and message.term > self.term and not self.has_recent_leader(now)
        else:
            granted = newer and self.voted_for in (None, message.sender)
            if granted:
                self.voted_for = message.sender
                self.reset_election_timer(now)
        term = message.term if granted else self.term
        self.outgoing.append(
            RequestVoteResponse(self.member_id, message.sender, term, message.pre_vote, granted)
        )

    def on_request_vote_response(self, now, message):
        wanted = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        if self.role == wanted and message.granted and message.term == self.term + message.pre_vote:
            self.votes[message.sender] = True
            self.count_votes(now)

    def on_append_entries(self, now, message):
        before, entries = message.prev_log_index, message.entries
        if before < self.snapshot.index:  # an old word: what the snapshot holds was decided
            entries = entries[self.snapshot.index - before :]
            before = self.snapshot.index
        elif self.term_at(before) != message.prev_log_term:
            index = min(before - 1, self.last_index)
            while index > self.commit_index and self.term_at(index) == self.term_at(before):
                index -= 1  # the whole term differs: one word for all of it
            self.outgoing.append(
                AppendEntriesResponse(self.member_id, message.sender, self.term, False, index, message.round)
            )
            return
        for place, entry in enumerate(entries):
            known = self.term_at(before + 1 + place)
            if known != entry.term:
                if known is not None:
                    self.truncate(before + 1 + place)
                self.add(entries[place:])
                break
        reached = max(before + len(entries), self.snapshot.index)
        self.commit_index = max(self.commit_index, min(message.commit_index, reached))
        self.outgoing.append(
            AppendEntriesResponse(self.member_id, message.sender, self.term, True, reached, message.round)
        )

    def on_install_snapshot(self, now, message):
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            if self.term_at(snapshot.index) != snapshot.term:
                if self.log:
                    self.truncate(self.commit_index + 1)
                self.log = []
                self.snapshot = self.snapshot_to_persist = snapshot
                self.persisted_index = self.emitted_index = snapshot.index
            else:
                self.replace_snapshot(snapshot)
            self.commit_index = self.last_applied = snapshot.index
            self.snapshot_to_restore = snapshot
            self.members = self.members_at(self.last_index)
        self.outgoing.append(
            AppendEntriesResponse(
                self.member_id, message.sender, self.term, True, snapshot.index, message.round
            )
        )

    def on_append_entries_response(self, now, message):
        if self.role != Role.LEADER:
            return
        self.last_contact[message.sender] = now
        name = message.sender
        self.acknowledged_rounds[name] = max(self.acknowledged_rounds.get(name, 0), message.round)
        if message.success:
            self.match_index[name] = max(self.match_index.get(name, 0), message.match_index)
            self.next_index[name] = max(self.next_index.get(name, 0), self.match_index[name] + 1)
            self.advance_commit_index(now)
        else:
            self.next_index[name] = max(
                self.match_index.get(name, 0) + 1,
                min(self.next_index.get(name, 1) - 1, message.match_index + 1),
            )
        if self.role == Role.LEADER and (not message.success or self.next_index[name] <= self.last_index):
            self.replicate_to(name)

    # What is to be done.

    def ready(self) -> Ready | None:
        """What is to be done now, None: nothing.  It is handed out once."""
        hard_state = HardState(self.term, self.voted_for)
        entries = tuple(
            (index, self.log[index - self.snapshot.index - 1])
            for index in range(max(self.emitted_index, self.snapshot.index) + 1, self.last_index + 1)
        )
        committed = tuple(
            (index, self.log[index - self.snapshot.index - 1])
            for index in range(self.last_applied + 1, self.commit_index + 1)
        )
        ready = Ready(
            hard_state if hard_state != self.emitted_hard_state else None,
            self.snapshot_to_persist,
            self.truncate_from,
            entries,
            tuple(self.outgoing),
            self.snapshot_to_restore,
            committed,
        )
        if ready == (None, None, None, (), (), None, ()):
            return None
        self.emitted_hard_state, self.snapshot_to_persist = hard_state, None
        self.truncate_from, self.outgoing = None, []
        self.snapshot_to_restore, self.emitted_index, self.last_applied = (
            None,
            self.last_index,
            self.commit_index,
        )
        return ready

    def on_persisted(self, now, ready: Ready):
        """The disk has what was handed out."""
        if ready.entries:
            index, entry = ready.entries[-1]
            if self.term_at(index) == entry.term:
                self.persisted_index = max(self.persisted_index, index)
        if self.role == Role.LEADER:
            self.advance_commit_index(now)


class ClientSessions:
    """Answers given to clients, so that an order that is proposed again is not applied again.  Part of the
    state that the log makes: the same on every member.
    """

    def __init__(self, rows=()):
        self.responses = OrderedDict((client, (sequence, answer)) for client, sequence, answer in rows)

    def apply_once(self, client: str, sequence: int, apply: Callable[[], str]) -> str:
        """The answer to a client's command of this number: `apply` is called the first time only."""
        last, answer = self.responses.get(client, (0, ""))
        if sequence < last:
            return f"refused: order {sequence} is older than {last}, which was answered"
        if sequence > last:
            answer = apply()
        self.responses[client] = sequence, answer
        self.responses.move_to_end(client)
        if len(self.responses) > MAX_CLIENT_SESSIONS:
            self.responses.popitem(last=False)
        return answer

    def to_rows(self) -> list[tuple[str, int, str]]:
        return [(client, sequence, answer) for client, (sequence, answer) in self.responses.items()]
