"""The planners' log: entries decided once, by a majority's disks.  No I/O, no clock of its own.

Raft as published (Ongaro's dissertation): a trial vote before each real one, a leader that steps down when it
hears no majority, members changed one at a time, snapshots.  A `Voice` is stepped with what happens and hands
out by `ready` what is to be written, sent and applied.  The caller writes first, then sends, then says
`written`: a vote or a word on entries that left before the disk had it would be a promise that a power loss
breaks.  Times are seconds of the caller's monotonic clock, which may begin anew with each start; no promise
to another member rests on a clock, so clocks may differ, drift and jump without harm to what is decided.

A member is named by its name and the life of its disk: one whose disk was lost comes back as somebody else,
has no vote, and is taken in by a change of members.  Danger: under its old name it would vote twice in a
term.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

FOLLOWS, TRIES, STANDS, LEADS = "follows", "tries", "stands", "leads"
BEGIN, ORDER, MEMBERS = "begin", "order", "members"  # kinds of entries

WAIT = 10  # tenths of a second: the least without a leader before another is sought
SPREAD = 10  # tenths drawn on top of it: two seldom stand together
EVERY = 0.25  # seconds between two words of a leader: three may be lost before anybody tries
BATCH = 64  # entries in one message: a member that is far behind must not stall the others
MOST_OPEN = 1_024  # entries not decided yet: beyond it nothing more is taken
MOST_MEMBERS = 9  # more make nothing safer
MOST_CLIENTS = 16_384  # whose last answer is remembered; the longest silent is forgotten first


class Entry(NamedTuple):
    """`body`: bytes of an order, or the members' names."""

    term: int
    kind: str
    body: object


class Snapshot(NamedTuple):
    """What all entries up to `index` made, so that they need not be kept."""

    index: int
    term: int
    members: tuple[str, ...]
    state: bytes


class Kept(NamedTuple):
    """What a disk holds at a start: the entries follow the snapshot."""

    term: int
    voted: str | None
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


class Ask(NamedTuple):
    """For a vote; `trial`: whether it would be given."""

    sender: str
    to: str
    term: int
    last: int
    last_term: int
    trial: bool


class Vote(NamedTuple):
    sender: str
    to: str
    term: int
    trial: bool
    given: bool


class Append(NamedTuple):
    """Entries behind index `before`, and up to where all is decided."""

    sender: str
    to: str
    term: int
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    decided: int
    round: int = 0  # of the leader's words: whoever echoes it heard it after the round began


class Install(NamedTuple):
    """A snapshot, for a member whose entries the leader does not keep any more."""

    sender: str
    to: str
    term: int
    snapshot: Snapshot
    round: int = 0


class Appended(NamedTuple):
    """Up to where the sender's log is the leader's; not `good`: up to where it may be."""

    sender: str
    to: str
    term: int
    good: bool
    index: int
    round: int = 0


class Ready(NamedTuple):
    """To be done in this order: written and synced, sent, applied; then `written`."""

    vote: tuple[int, str | None] | None  # term and whom it voted for, where they changed
    snapshot: Snapshot | None  # replaces what is on disk up to its index
    cut: int | None  # from this index on the disk's entries are dropped before
    entries: tuple[tuple[int, Entry], ...]
    send: tuple
    restored: Snapshot | None  # the state to be taken over before what is decided is applied
    decided: tuple[tuple[int, Entry], ...]


class Refused(Exception):
    """What was asked of the log cannot be done now, with the reason."""


def founded(members) -> Kept:
    """The disk of a log that begins with these members: given to each of them, once."""
    return Kept(0, None, Snapshot(0, 0, tuple(sorted(members)), b""))


class Voice:
    """One member.  `draw(n)` gives a number below n, by chance."""

    def __init__(self, me: str, kept: Kept, now: float, draw: Callable[[int], int]):
        self.me, self.draw = me, draw
        self.term, self.voted, self.snapshot = kept.term, kept.voted, kept.snapshot
        self.log, self.on_disk = list(kept.entries), kept.snapshot.index + len(kept.entries)
        self.decided = self.applied = kept.snapshot.index
        self.role, self.leader, self.heard_at = FOLLOWS, None, now - WAIT / 10
        self.votes, self.next, self.match, self.heard, self.learners = {}, {}, {}, {}, {}
        self.told_at, self.asked_at, self.round, self.echoes = 0.0, 0.0, 0, {}
        self.out, self.vote_kept, self.cut_from = [], (self.term, self.voted), None
        self.unwritten, self.to_write, self.to_restore = self.on_disk, None, None
        self.members = self.members_at(self.last)
        self.wait(now)

    # The log.

    @property
    def last(self) -> int:
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
            if entry.kind == MEMBERS:
                return entry.body
        return self.snapshot.members

    def add(self, entries):
        self.log += entries
        if any(entry.kind == MEMBERS for entry in entries):
            self.members = self.members_at(self.last)

    def cut(self, index):
        """Drops the entries from an index on: they were never decided."""
        assert index > self.decided, "what was decided is never undone"
        del self.log[index - self.snapshot.index - 1 :]
        self.cut_from = index if self.cut_from is None else min(self.cut_from, index)
        self.on_disk, self.unwritten = min(self.on_disk, index - 1), min(self.unwritten, index - 1)
        self.members = self.members_at(self.last)

    # Roles.

    def wait(self, now):
        self.asked_at = now + (WAIT + self.draw(SPREAD * 10) / 10) / 10

    def follow(self, now, term, leader=None):
        if term > self.term:
            self.term, self.voted = term, None
        self.role, self.leader, self.votes, self.learners = FOLLOWS, leader, {}, {}
        self.wait(now)

    def majority(self, names) -> bool:
        return sum(name in names for name in self.members) * 2 > len(self.members)

    def looked(self, now) -> bool:
        """Whether a leader was heard of so lately that no other is wanted."""
        return self.role == LEADS or now - self.heard_at < WAIT / 10

    def tick(self, now):
        """To be called every tenth of a second or so."""
        if self.role == LEADS:
            # Danger: one that is cut off would go on promising what nobody will decide.
            lately = {name: True for name, at in self.heard.items() if now - at < WAIT / 10}
            if not self.majority({**lately, self.me: True}):
                self.follow(now, self.term)
            elif now - self.told_at >= EVERY:
                self.tell(now)
        elif now >= self.asked_at and self.me in self.members:
            self.stand(now, True)

    def stand(self, now, trial):
        """Danger: one that was cut off comes back with a high term and unseats a leader that all hear.  So
        it asks first whether it would be voted for, and its term rises only then.
        """
        self.role, self.leader, self.votes = TRIES if trial else STANDS, None, {self.me: True}
        if not trial:
            self.term, self.voted = self.term + 1, self.me
        self.wait(now)
        what = self.term + trial, self.last, self.term_at(self.last), trial
        self.out += [Ask(self.me, name, *what) for name in self.members if name != self.me]
        self.count(now)

    def count(self, now):
        if self.majority(self.votes):
            if self.role == TRIES:
                self.stand(now, False)
            elif self.role == STANDS:
                self.role, self.leader = LEADS, self.me
                self.next, self.match, self.echoes = {}, {}, {}
                self.heard = dict.fromkeys(self.members, now)
                # Danger: entries of older terms are not decided by counting; one of its own decides them.
                self.add([Entry(self.term, BEGIN, b"")])
                self.tell(now)

    # What people and programs ask for.

    def leading(self):
        if self.role != LEADS:
            raise Refused(f"{self.leader or 'no member that is known here'} leads")

    def propose(self, now, body: bytes) -> tuple[int, int]:
        """Takes an order into the log; its index and term.  It holds once it is decided under that term."""
        self.leading()
        if self.last - self.decided >= MOST_OPEN:
            raise Refused(f"{MOST_OPEN} entries wait to be decided")
        self.add([Entry(self.term, ORDER, body)])
        self.tell(now)
        return self.last, self.term

    def learn(self, now, name: str):
        """Sends the log to one that is no member yet, so that it has caught up when it becomes one."""
        self.leading()
        self.learners[name] = True
        self.tell_one(name)

    def change(self, now, members) -> tuple[int, int]:
        """Changes the members, by one that comes or goes; its index and term."""
        self.leading()
        wanted = tuple(sorted(set(members)))
        if len(set(wanted) ^ set(self.members)) != 1:
            raise Refused("members come and go one at a time")
        if not 0 < len(wanted) <= MOST_MEMBERS:
            raise Refused(f"1 to {MOST_MEMBERS} members")
        if self.members_at(self.decided) != self.members:
            raise Refused("the change before it is not decided")
        # Danger: two leaders, each with a change that the other never heard of, have majorities apart.
        if self.term_at(self.decided) != self.term:
            raise Refused("this leader has decided nothing of its own yet")
        new = next((name for name in wanted if name not in self.members), None)
        if new is not None and self.match.get(new, 0) < self.decided:
            raise Refused(f"{new} has not caught up: let it learn first")
        self.add([Entry(self.term, MEMBERS, wanted)])
        self.heard.setdefault(new or self.me, now)
        if new is not None:
            self.learners.pop(new, None)
        self.tell(now)
        return self.last, self.term

    def compact(self, index: int, state: bytes):
        """Keeps what entries up to an index, all applied, made in their place."""
        if not self.snapshot.index < index <= self.applied:
            raise Refused(f"entries up to {self.applied} are applied, up to {self.snapshot.index} are gone")
        self.replace(Snapshot(index, self.term_at(index), self.members_at(index), state))

    def replace(self, snapshot):
        self.log = self.log[snapshot.index - self.snapshot.index :]
        self.snapshot = self.to_write = snapshot
        self.on_disk, self.unwritten = max(self.on_disk, snapshot.index), max(self.unwritten, snapshot.index)

    # A leader's words.

    def tell(self, now):
        self.told_at, self.round = now, self.round + 1
        for name in (*self.members, *self.learners):
            if name != self.me:
                self.tell_one(name)
        self.decide(now)

    def tell_one(self, name):
        next_ = self.next.setdefault(name, self.last)
        if next_ <= self.snapshot.index:
            self.out.append(Install(self.me, name, self.term, self.snapshot, self.round))
            return
        place = next_ - self.snapshot.index - 1
        self.out.append(
            Append(
                self.me,
                name,
                self.term,
                next_ - 1,
                self.term_at(next_ - 1),
                tuple(self.log[place : place + BATCH]),
                self.decided,
                self.round,
            )
        )

    def decide(self, now):
        """Moves on what a majority's disks have, this one's included."""
        reached = sorted(
            (self.on_disk if name == self.me else self.match.get(name, 0) for name in self.members),
            reverse=True,
        )
        index = reached[len(self.members) // 2]
        if index > self.decided and self.term_at(index) == self.term:
            self.decided = index
            if self.me not in self.members_at(index):  # it has led itself out
                self.tell(now)
                self.follow(now, self.term)

    @property
    def confirmed(self) -> int:
        """The newest round that a majority echoed: after it began this member still led, by nobody's clock.
        0 until an entry of its own term is decided: before that it may not know what was decided.
        """
        if self.role != LEADS or self.term_at(self.decided) != self.term:
            return 0
        rounds = sorted(
            (self.round if name == self.me else self.echoes.get(name, 0) for name in self.members),
            reverse=True,
        )
        return rounds[len(self.members) // 2]

    # What comes.

    def hear(self, now, message):
        """Takes in a message; one for somebody else is none."""
        if message.to != self.me:
            return
        asks, leads = isinstance(message, Ask), isinstance(message, (Append, Install))
        trial = getattr(message, "trial", False)
        if message.term > self.term and not (trial and (asks or message.given)):
            if asks and self.looked(now):
                return  # a leader is heard: whoever asks does not hear it
            self.follow(now, message.term)
        if message.term < self.term:
            if asks:
                self.out.append(Vote(self.me, message.sender, self.term, message.trial, False))
            elif leads:
                self.out.append(Appended(self.me, message.sender, self.term, False, 0))
            return
        if leads:
            self.follow(now, message.term, message.sender)
            self.heard_at = now
        getattr(self, type(message).__name__.lower())(now, message)

    def ask(self, now, message):
        newer = (message.last_term, message.last) >= (self.term_at(self.last), self.last)
        if message.trial:
            given = newer and message.term > self.term and not self.looked(now)
        else:
            given = newer and self.voted in (None, message.sender)
            if given:
                self.voted = message.sender
                self.wait(now)
        term = message.term if given else self.term
        self.out.append(Vote(self.me, message.sender, term, message.trial, given))

    def vote(self, now, message):
        wanted = TRIES if message.trial else STANDS
        if self.role == wanted and message.given and message.term == self.term + message.trial:
            self.votes[message.sender] = True
            self.count(now)

    def append(self, now, message):
        before, entries = message.before, message.entries
        if before < self.snapshot.index:  # an old word: what the snapshot holds was decided
            entries = entries[self.snapshot.index - before :]
            before = self.snapshot.index
        elif self.term_at(before) != message.before_term:
            index = min(before - 1, self.last)
            while index > self.decided and self.term_at(index) == self.term_at(before):
                index -= 1  # the whole term differs: one word for all of it
            self.out.append(Appended(self.me, message.sender, self.term, False, index, message.round))
            return
        for place, entry in enumerate(entries):
            known = self.term_at(before + 1 + place)
            if known != entry.term:
                if known is not None:
                    self.cut(before + 1 + place)
                self.add(entries[place:])
                break
        reached = max(before + len(entries), self.snapshot.index)
        self.decided = max(self.decided, min(message.decided, reached))
        self.out.append(Appended(self.me, message.sender, self.term, True, reached, message.round))

    def install(self, now, message):
        snapshot = message.snapshot
        if snapshot.index > self.decided:
            if self.term_at(snapshot.index) != snapshot.term:
                if self.log:
                    self.cut(self.decided + 1)
                self.log = []
                self.snapshot = self.to_write = snapshot
                self.on_disk = self.unwritten = snapshot.index
            else:
                self.replace(snapshot)
            self.decided = self.applied = snapshot.index
            self.to_restore = snapshot
            self.members = self.members_at(self.last)
        self.out.append(Appended(self.me, message.sender, self.term, True, snapshot.index, message.round))

    def appended(self, now, message):
        if self.role != LEADS:
            return
        self.heard[message.sender] = now
        name = message.sender
        self.echoes[name] = max(self.echoes.get(name, 0), message.round)
        if message.good:
            self.match[name] = max(self.match.get(name, 0), message.index)
            self.next[name] = max(self.next.get(name, 0), self.match[name] + 1)
            self.decide(now)
        else:
            self.next[name] = max(
                self.match.get(name, 0) + 1, min(self.next.get(name, 1) - 1, message.index + 1)
            )
        if self.role == LEADS and (not message.good or self.next[name] <= self.last):
            self.tell_one(name)

    # What is to be done.

    def ready(self) -> Ready | None:
        """What is to be done now, None: nothing.  It is handed out once."""
        vote = (self.term, self.voted)
        entries = tuple(
            (index, self.log[index - self.snapshot.index - 1])
            for index in range(max(self.unwritten, self.snapshot.index) + 1, self.last + 1)
        )
        decided = tuple(
            (index, self.log[index - self.snapshot.index - 1])
            for index in range(self.applied + 1, self.decided + 1)
        )
        done = Ready(
            vote if vote != self.vote_kept else None,
            self.to_write,
            self.cut_from,
            entries,
            tuple(self.out),
            self.to_restore,
            decided,
        )
        if done == (None, None, None, (), (), None, ()):
            return None
        self.vote_kept, self.to_write, self.cut_from, self.out = vote, None, None, []
        self.to_restore, self.unwritten, self.applied = None, self.last, self.decided
        return done

    def written(self, now, done: Ready):
        """The disk has what was handed out."""
        if done.entries:
            index, entry = done.entries[-1]
            if self.term_at(index) == entry.term:
                self.on_disk = max(self.on_disk, index)
        if self.role == LEADS:
            self.decide(now)


class Sessions:
    """Answers given to clients, so that an order that is proposed again is not applied again.  Part of the
    state that the log makes: the same on every member.
    """

    def __init__(self, rows=()):
        self.rows = OrderedDict((client, (number, answer)) for client, number, answer in rows)

    def once(self, client: str, number: int, act: Callable[[], str]) -> str:
        """The answer to a client's order of this number: `act` is called the first time only."""
        last, answer = self.rows.get(client, (0, ""))
        if number < last:
            return f"refused: order {number} is older than {last}, which was answered"
        if number > last:
            answer = act()
        self.rows[client] = number, answer
        self.rows.move_to_end(client)
        if len(self.rows) > MOST_CLIENTS:
            self.rows.popitem(last=False)
        return answer

    def kept(self) -> list[tuple[str, int, str]]:
        return [(client, number, answer) for client, (number, answer) in self.rows.items()]
