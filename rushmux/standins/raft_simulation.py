"""A world for the planners' log: a network that loses, repeats, delays and cuts, disks that a kill leaves as
they were synced, and a judge that knows nothing of the code but what members wrote, sent and applied.

All follows from the seed.  A faulty `RaftNode` may be handed in: the judge has to find what is wrong with it.
"""

import heapq
import random
from typing import NamedTuple

from rushmux.fleet import raft

TICK = 0.1  # seconds between two ticks of a member
WAY = (0.0005, 0.03)  # seconds of a message on its way; one in ten takes ten times as long
MOST_EVENTS = 200_000  # of one play: it ends, whatever the members do
ORDERS = "orders"  # the state: every order that was applied, in turn


class Breach(AssertionError):
    """What must never be, with the time and who."""


class Faults(NamedTuple):
    """How much goes wrong; a seed has its own."""

    lost: float  # part of messages
    repeated: float
    kills: float  # a second, over all members
    cuts: float  # a second; each for up to three seconds
    changes: float  # of members, a second


def drawn(chance) -> Faults:
    """Swarm testing: each seed leaves some faults out and has much of others."""

    def some(most):
        return most * chance.random() ** 2 if chance.random() < 0.7 else 0.0

    return Faults(some(0.4), some(0.3), some(1.5), some(1.0), some(0.8))


class Host:
    """A member's process and its disk.  `kept` is what survives a kill."""

    def __init__(self, name, kept):
        self.name, self.kept, self.voice, self.orders, self.sessions = (
            name,
            kept,
            None,
            [],
            raft.ClientSessions(),
        )

    def disk(self, ready):
        """Writes and syncs what is handed out."""
        kept = self.kept
        entries = dict(enumerate(kept.entries, kept.snapshot.index + 1))
        if ready.truncate_from is not None:
            entries = {index: entry for index, entry in entries.items() if index < ready.truncate_from}
        entries.update(ready.entries)
        snapshot = ready.snapshot or kept.snapshot
        term, voted = ready.hard_state or (kept.term, kept.voted_for)
        rows = [entries[index] for index in range(snapshot.index + 1, max([snapshot.index, *entries]) + 1)]
        self.kept = raft.PersistentState(term, voted, snapshot, tuple(rows))


class World:
    """Members that play together until a time; `make` builds one."""

    host = Host

    def __init__(self, seed, members=3, make=raft.RaftNode):
        self.chance = random.Random(seed)
        self.make, self.faults, self.now, self.number = make, drawn(self.chance), 0.0, 0
        self.events, self.cut, self.leaders, self.applied, self.promised = [], {}, {}, {}, {}
        names = [f"p{number}/1" for number in range(members)]
        self.hosts = {name: self.host(name, raft.bootstrap(names)) for name in names}
        self.asked, self.spare, self.healing = 0, members, False
        self.decided_at = self.quiet_decided = 0.0
        for name in names:
            self.start(name)
        self.at(0.5, self.client)
        for rate, act in (
            (self.faults.kills, self.kill),
            (self.faults.cuts, self.divide),
            (self.faults.changes, self.change),
        ):
            if rate:
                self.again(rate, act)

    # Time.

    def at(self, after, act, *values):
        self.number += 1
        heapq.heappush(self.events, (self.now + after, self.number, act, values))

    def again(self, rate, act):
        def once():
            if not self.healing:
                act()
                self.again(rate, act)

        self.at(self.chance.expovariate(rate), once)

    def play(self, until, heal=None):
        """Faults until `heal`, then a quiet time in which the log must go on; None: there is none."""
        if heal is not None:
            self.at(heal, self.quiet)
        for _ in range(MOST_EVENTS):
            if not self.events or self.events[0][0] > until:
                break
            self.now, _, act, values = heapq.heappop(self.events)
            act(*values)
        if heal is not None and self.decided_at <= heal:
            raise Breach(f"nothing was decided in {until - heal:.0f} quiet seconds")
        return self

    def quiet(self):
        self.healing, self.cut = True, {}
        self.faults = Faults(0, 0, 0, 0, 0)

    # Members.

    def start(self, name):
        host = self.hosts[name]
        host.voice = self.make(name, host.kept, self.now, self.chance.randrange)
        self.restore(host, host.kept.snapshot)
        self.at(self.chance.uniform(0, TICK), self.tick, host, host.voice)

    def restore(self, host, snapshot):
        rows = snapshot.state.decode().split("\n")
        host.orders = [row for row in rows[0].split(" ") if row]
        host.sessions = raft.ClientSessions(
            [
                (client, int(last), answer)
                for client, last, answer in (row.split(" ") for row in rows[1:] if row)
            ]
        )

    def state(self, host):
        rows = [" ".join(map(str, row)) for row in host.sessions.to_rows()]
        return "\n".join([" ".join(host.orders), *rows]).encode()

    def tick(self, host, voice):
        if host.voice is voice:
            voice.tick(self.now)
            self.work(host)
            self.at(TICK * self.chance.uniform(0.8, 1.2), self.tick, host, voice)

    def work(self, host):
        """Does what a member hands out, or dies at one of the steps."""
        voice = host.voice
        while voice is not None and host.voice is voice and (ready := voice.ready()) is not None:
            # Aimed: what a vote promises must outlive the instant after it.
            part = self.faults.kills / (10 if ready.hard_state else 100)
            dies = self.chance.randrange(4) if self.chance.random() < part else 9
            if dies == 0:
                return self.die(host)
            host.disk(ready)
            if dies == 1:
                return self.die(host)
            for place, message in enumerate(ready.messages):
                if dies == 2 and place >= len(ready.messages) / 2:
                    return self.die(host)
                self.send(message)
            if ready.restore is not None:
                self.restore(host, ready.restore)
            for index, entry in ready.committed:
                self.apply(host, index, entry)
            if dies == 3:
                return self.die(host)
            voice.on_persisted(self.now, ready)
            self.judge(host)
            if len(voice.log) > 40 and voice.last_applied > voice.snapshot.index + 20:
                voice.compact(voice.last_applied, self.state(host))

    def apply(self, host, index, entry):
        known = self.applied.setdefault(index, entry)
        if known != entry:
            raise Breach(f"{self.now:.3f} {host.name} applies {entry} at {index}, where {known} was applied")
        self.decided_at = self.now
        if entry.kind == raft.EntryKind.COMMAND:
            client, number, order = entry.body.decode().split(" ")
            host.sessions.apply_once(client, int(number), lambda: host.orders.append(order) or "done")
            if len(set(host.orders)) != len(host.orders):
                raise Breach(f"{self.now:.3f} {host.name} applies order {order} twice")

    def judge(self, host):
        voice = host.voice
        if voice.role == raft.Role.LEADER:
            other = self.leaders.setdefault(voice.term, host.name)
            if other != host.name:
                raise Breach(f"{self.now:.3f} {host.name} and {other} lead in term {voice.term}")

    # Network.

    def send(self, message):
        copies = 1 + (self.chance.random() < self.faults.repeated) - (self.chance.random() < self.faults.lost)
        for _ in range(max(0, copies)):
            way = self.chance.uniform(*WAY) * (10 if self.chance.random() < 0.1 and not self.healing else 1)
            self.at(way, self.arrive, message)

    def arrive(self, message):
        host = self.hosts.get(message.receiver)
        if host is None or host.voice is None or (message.sender, message.receiver) in self.cut:
            return
        host.voice.receive(self.now, message)
        self.work(host)

    # Faults.

    def die(self, host):
        host.voice = None
        self.at(0.002 * 1000 ** self.chance.random(), self.start, host.name)  # 2 ms to 2 s

    def kill(self):
        host = self.chance.choice([self.hosts[name] for name in sorted(self.hosts)])
        if host.voice is not None:
            self.die(host)

    def divide(self):
        """Cuts some from the others, both ways or one."""
        names = sorted(self.hosts)
        group = [name for name in names if self.chance.random() < 0.4]
        both = self.chance.random() < 0.6
        for one in group:
            for other in names:
                if other not in group:
                    self.cut[one, other] = True
                    if both:
                        self.cut[other, one] = True
        self.at(self.chance.uniform(0.2, 3.0), self.cut.clear)

    def change(self):
        """Takes in a new member, or lets one go."""
        for host in self.leading():
            members = host.voice.members
            try:
                if len(members) <= 3:
                    learns = next((name for name in sorted(host.voice.learners)), None)
                    if learns is None:
                        name, self.spare = f"p{self.spare}/1", self.spare + 1
                        empty = raft.PersistentState(0, None, raft.Snapshot(0, 0, (), b""))
                        self.hosts[name] = self.host(name, empty)
                        self.start(name)
                        host.voice.add_learner(self.now, name)
                    else:
                        host.voice.change_members(self.now, [*members, learns])
                else:
                    gone = self.chance.choice(members)
                    host.voice.change_members(self.now, [name for name in members if name != gone])
            except raft.ProposalRejectedError:
                pass
            self.work(host)

    def leading(self):
        return [
            host
            for _, host in sorted(self.hosts.items())
            if host.voice is not None and host.voice.role == raft.Role.LEADER
        ]

    def client(self):
        """Asks whoever believes to lead; asks again for what it does not know to be ready."""
        for host in self.leading():
            if self.chance.random() < 0.7:
                self.asked += 1
            body = f"c{self.asked % 3} {self.asked // 3 + 1} o{self.asked}".encode()
            try:
                host.voice.propose(self.now, body)
            except raft.ProposalRejectedError:
                pass
            self.work(host)
        self.at(self.chance.uniform(0.02, 0.2), self.client)
