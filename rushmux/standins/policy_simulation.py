"""A world for the fleet's policy: planners with their log (`voices`), members with disks and clocks of
their own, and a judge that knows only what was decided first and what each member may use at each instant.

All follows from the seed.  A faulty `RolloutCoordinator`, `PolicyMember` or `PolicyStateMachine` may be handed in: the judge has to
find it.
"""

import json
import random
from typing import NamedTuple

from rushmux.fleet import policy, raft
from rushmux.standins import raft_simulation
from rushmux.standins.raft_simulation import Breach

ASK = 0.5  # seconds between two asks of a member
NO_ANSWER = 1.5  # seconds without a grant until another planner is asked
AWAY = 15.0  # seconds that a member stays away for a second change
IMAGE = 10.5  # seconds that it takes at least to put an older image of a disk back: over a lease
FOLDERS = ("a", "b")
LIMITS = (200.0, 100.0, 60.0, 30.0, 12.0, 4.0)
APART = 0.004  # most by which a member's clock runs fast or slow: under half of the drift allowed
MOST_IMAGES = 4  # older states of a disk that may come back
EPSILON = 1e-6


class MemberFaults(NamedTuple):
    """How much goes wrong with members, each a second over all of them; `mute`: one never asks."""

    kills: float
    stops: float
    cuts: float
    disks: float
    images: float  # part of starts that find an older disk
    refusals: float  # part of policies that some member cannot prove
    planner_stops: float  # a second, over all planners
    mute: bool


def drawn(chance) -> MemberFaults:
    def some(most):
        return most * chance.random() ** 2 if chance.random() < 0.6 else 0.0

    rates = [some(most) for most in (0.3, 0.2, 0.3, 0.1, 0.5, 0.3, 0.2)]
    return MemberFaults(*rates, mute=chance.random() < 0.15)


class Planner(raft_simulation.Host):
    """A planner: a voice of the log, the state it makes, and what it does when it leads."""

    def __init__(self, name, kept):
        super().__init__(name, kept)
        self.register, self.conduct, self.index, self.held_until = policy.PolicyStateMachine(), None, 0, 0.0


class Member:
    """An edge: its disk survives a kill, its holder does not."""

    def __init__(self, name, clock, rate):
        self.name, self.clock, self.rate = name, clock, rate
        self.disk, self.images, self.holder = (None, None), [], None
        self.life, self.held_until, self.cut_until, self.full_until, self.heard = 0, 0.0, 0.0, 0.0, 0.0
        self.planner, self.mute, self.said, self.image_at = 0, False, 0, 0.0
        self.only, self.only_until = "", 0.0  # the one planner that it reaches, for some time

    def reaches(self, planner, now):
        return now >= self.only_until or planner == self.only

    def time(self, now):
        return self.clock + now * self.rate


class World(raft_simulation.World):
    """`members` edges; `parts`: (PolicyStateMachine, RolloutCoordinator, PolicyMember) as they are, or as a defect has them."""

    host = Planner

    def __init__(self, seed, planners=3, members=4, parts=None, make=raft.RaftNode, fences=True):
        self.register, self.conduct, self.holder = parts or (
            policy.PolicyStateMachine,
            policy.RolloutCoordinator,
            policy.PolicyMember,
        )
        self.decided, self.floor, self.unprovable, self.checked = [], 0, {}, 0
        self.outcomes, self.ended_at, self.counted, self.order = {}, 0.0, 0, None
        self.edges, self.fences = {}, fences
        super().__init__(seed, planners, make)
        self.faults = self.faults._replace(changes=0.0)
        chance = random.Random(f"members {seed}")
        self.member_faults = drawn(chance)
        for number in range(members):
            rate = 1 + (chance.random() * 2 - 1) * APART
            edge = self.edges[f"edge{number}"] = Member(f"edge{number}", chance.uniform(0, 1e5), rate)
            edge.mute = self.member_faults.mute and number == 0
            self.begin(edge)
        for rate, act in (
            (self.member_faults.kills, self.kill_edge),
            (self.member_faults.stops, self.stop_edge),
            (self.member_faults.cuts, self.cut_edge),
            (self.member_faults.disks, self.fill_disk),
            (self.member_faults.planner_stops, self.stop_planner),
        ):
            if rate:
                self.again(rate, act)

    def change(self):
        """Planners stay the same here; `voices` plays their coming and going."""

    # Planners.

    def start(self, name):
        host = self.hosts[name]
        host.conduct = None
        super().start(name)

    def restore(self, host, snapshot):
        raw = json.loads(snapshot.state) if snapshot.state else {"register": "", "sessions": []}
        host.register = self.register.from_snapshot(raw["register"].encode())
        host.sessions = raft.ClientSessions([tuple(row) for row in raw["sessions"]])
        host.index = snapshot.index

    def state(self, host):
        return json.dumps(
            {"register": host.register.to_snapshot().decode(), "sessions": host.sessions.to_rows()}
        ).encode()

    def apply(self, host, index, entry):
        known = self.applied.setdefault(index, entry)
        if known != entry:
            raise Breach(f"{self.now:.3f} {host.name} applies {entry} at {index}, where {known} was applied")
        host.index, self.decided_at = index, self.now
        if entry.kind != raft.EntryKind.COMMAND:
            return
        order, before = json.loads(entry.body), host.register.staged
        if "client" in order:
            host.sessions.apply_once(order["client"], order["n"], lambda: host.register.apply(order))
        else:
            host.register.apply(order)
        if index > self.counted:  # the first to apply it: decided at this instant
            self.counted = index
            self.took(host, order, before)

    def took(self, host, order, before):
        force = host.register.active
        if force is not None and (not self.decided or self.decided[-1].version != force.version):
            if self.decided and force.version < self.decided[-1].version:
                raise Breach(f"{self.now:.3f} {force.version} is in force after {self.decided[-1].version}")
            self.decided.append(force)
        staged = host.register.staged
        if before is not None and staged is not before:
            if staged is not None and staged.version != before.version:
                raise Breach(
                    f"{self.now:.3f} {staged.version} took the place of {before.version}, which had no end"
                )
            if "number" in order and order["number"] != before.version:
                raise Breach(f"{self.now:.3f} {order['kind']} of {order['number']} ended {before.version}")
        if before is not None and staged is None:
            if before.version in self.outcomes:
                raise Breach(f"{self.now:.3f} change {before.version} ended twice")
            self.outcomes[before.version], self.ended_at = order["kind"], self.now
            if order["kind"] == "decide" and len(order["joint"]) < len(self.edges) and not self.healing:
                self.stay_away(order["joint"])
        self.judge_limits()

    def tick(self, host, voice):
        if self.now < host.held_until:  # it wakes with its sockets full, and reads them before its timers
            self.at(host.held_until - self.now + 0.001, self.tick, host, voice)
            return
        super().tick(host, voice)

    def arrive(self, message):
        host = self.hosts.get(message.receiver)
        if host is not None and self.now < host.held_until:
            self.at(host.held_until - self.now, self.arrive, message)
            return
        super().arrive(message)

    def leading(self):
        return [host for host in super().leading() if self.now >= host.held_until]

    def stop_planner(self):
        # Aimed: the one that leads is the one that may say too much when it wakes.
        host = self.chance.choice(self.leading() * 3 + [self.hosts[name] for name in sorted(self.hosts)])
        host.held_until = self.now + 0.5 * 50 ** self.chance.random()  # to 25 s
        if self.chance.random() < 0.5:  # and somebody reaches nobody else
            edge = self.chance.choice(list(self.edges.values()))
            edge.only, edge.only_until = host.name, host.held_until + 1.0

    def work(self, host):
        super().work(host)
        voice = host.voice
        if voice is None or voice.role != raft.Role.LEADER:
            host.conduct = None
            return
        if host.conduct is None or host.conduct.term != voice.term:
            host.conduct = self.conduct(host.register, self.now)
            host.conduct.term = voice.term
        if voice.confirmed_round:
            if host.conduct.state_machine is not host.register:
                host.conduct.state_machine = host.register
            for grant in host.conduct.grant_leases(self.now, voice.confirmed_round, voice.term, host.index):
                self.to_edge(host, grant)
            order = host.conduct.next_command(self.now)
            if order is not None:
                if order["kind"] in ("decide", "end") and self.chance.random() < 0.1 and not self.healing:
                    self.step_in(voice, order["number"])
                try:
                    voice.propose(self.now, json.dumps(order).encode())
                except raft.ProposalRejectedError:
                    host.conduct.on_command_rejected()
                if order["kind"] == "decide" and not self.healing:
                    self.come_back(order["joint"])
                super().work(host)
            # Nodes hear the floor from whoever leads, some later.
            self.at(0.2, self.raise_floor, host.register.fencing_floor)

    def come_back(self, joint):
        """Aimed: who was away asks again while it is being decided without it."""
        for edge in self.edges.values():
            if edge.name not in joint and edge.holder is not None and self.chance.random() < 0.5:
                edge.held_until = edge.cut_until = 0.0
                edge.heard = self.now
                self.at(self.chance.uniform(0, 0.01), self.ask_once, edge, edge.life)

    def step_in(self, voice, number):
        """Aimed: a person withdraws a change, and another proposes one, just before it would end."""
        for order in ({"kind": "withdraw", "number": number}, {"kind": "propose", **self.drawn_policy()}):
            self.asked += 1
            known = {"client": f"c{self.asked % 3}", "n": self.asked // 3 + 1, "by": "somebody"}
            try:
                voice.propose(self.now, json.dumps({**known, **order}).encode())
            except raft.ProposalRejectedError:
                pass

    def stay_away(self, joint):
        """Aimed: who was away for one change is away for the next one too, and that comes soon."""
        for edge in self.edges.values():
            if edge.name not in joint and self.chance.random() < 0.5:
                edge.cut_until = max(edge.cut_until, self.now + AWAY)
        self.at(0.3, self.client_once)

    def raise_floor(self, floor):
        self.floor = max(self.floor, floor)

    def client(self):
        """People: the first policy, changes, withdrawals, going back; each asked again by chance."""
        self.client_once()
        wait = 0.1 if not self.decided else self.chance.uniform(0.5, 8.0)
        if not self.healing or not self.decided:
            self.at(wait, self.client)

    def client_once(self):
        for host in self.leading():
            if self.order is None or self.chance.random() < 0.8:
                self.asked += 1
                self.order = self.drawn_order(host)
            try:
                host.voice.propose(self.now, json.dumps(self.order).encode())
            except raft.ProposalRejectedError:
                pass
            self.work(host)

    def drawn_order(self, host):
        client = {"client": f"c{self.asked % 3}", "n": self.asked // 3 + 1, "by": "somebody"}
        force, staged = host.register.active, host.register.staged
        if force is None:
            return {**client, "kind": "found", "members": sorted(self.edges), **self.drawn_policy()}
        kind = self.chance.random()
        gone = [edge.name for edge in self.edges.values() if edge.mute]  # a person's word has to be true
        if gone and kind > 0.95:
            return {**client, "kind": "forget", "member": self.chance.choice(gone)}
        if staged is not None and kind < 0.1:
            return {**client, "kind": "withdraw", "number": staged.version}
        if kind < 0.2:
            return {**client, "kind": "revert", "number": self.chance.randrange(1, force.version + 2)}
        base = {"base": force.version} if kind < 0.6 else {}
        return {**client, "kind": "propose", **base, **self.drawn_policy()}

    def drawn_policy(self):
        rows = [(folder, limit := self.chance.choice(LIMITS), limit * 2) for folder in FOLDERS]
        text = f"text {self.asked}"
        if self.decided and self.chance.random() < self.member_faults.refusals:
            self.unprovable[text] = self.chance.choice(sorted(self.edges))
        return {"text": text, "rows": rows}

    # Members.

    def begin(self, edge):
        """A start: what the disk holds, narrow until a planner answers."""
        edge.life += 1
        life = edge.life

        def keep(force, staged):
            if self.now < edge.full_until:
                raise OSError("no room")
            edge.images = [*edge.images, edge.disk][-MOST_IMAGES:]
            edge.disk = force, staged

        def prove(proposed):
            return "cannot" if self.unprovable.get(proposed.text) == edge.name else None

        edge.holder = self.holder(edge.name, *edge.disk, prove, keep)
        edge.heard = self.now
        self.at(self.chance.uniform(0, ASK), self.ask, edge, life)

    def ask(self, edge, life):
        if edge.life != life:
            return
        self.at(ASK * self.chance.uniform(0.5, 1.0), self.ask, edge, life)
        self.ask_once(edge, life)

    def ask_once(self, edge, life):
        if edge.life != life or edge.holder is None:
            return
        if edge.mute or self.now < edge.held_until:
            return
        if self.now - edge.heard > NO_ANSWER:
            edge.planner, edge.heard = edge.planner + 1, self.now
        name = sorted(self.hosts)[edge.planner % len(self.hosts)]
        ask = edge.holder.lease_request(edge.time(self.now))
        if edge.reaches(name, self.now):
            self.carried(edge, self.asked_by, name, ask, self.copies())
        # Aimed: what it has just said must outlive the instant after it.
        if (
            ask.joint_version > edge.said
            and self.chance.random() < self.member_faults.kills
            and not self.healing
        ):
            self.at(0.001, self.kill_edge, edge)
        edge.said = max(edge.said, ask.joint_version)
        # Aimed: it stands still with an answer on its way to it.
        if self.chance.random() < self.member_faults.stops / 10 and not self.healing:
            self.stop_edge(edge)

    def copies(self):
        return max(
            0, 1 + (self.chance.random() < self.faults.repeated) - (self.chance.random() < self.faults.lost)
        )

    def carried(self, edge, act, *values):
        *values, copies = values
        if self.now < edge.cut_until:
            return
        for _ in range(copies):
            late = 30 if self.chance.random() < 0.05 and not self.healing else 1
            self.at(self.chance.uniform(*raft_simulation.WAY) * late, act, *values)

    def asked_by(self, name, ask):
        host = self.hosts[name]
        if self.now < host.held_until:
            self.at(host.held_until - self.now, self.asked_by, name, ask)
        elif host.voice is not None and host.conduct is not None:
            host.conduct.on_lease_request(self.now, ask, host.voice.round)
            self.work(host)

    def to_edge(self, host, grant):
        edge = self.edges[grant.member]
        if not edge.reaches(host.name, self.now):
            return
        self.carried(edge, self.granted, edge, edge.life, grant, self.copies())

    def granted(self, edge, life, grant):
        if edge.life != life or edge.holder is None:
            return
        if self.now < edge.held_until:  # it stands still: what came waits in its socket
            self.at(edge.held_until - self.now, self.granted, edge, life, grant)
            return
        edge.heard = self.now
        edge.holder.on_grant(edge.time(self.now), grant)
        self.judge_limits()

    def kill_edge(self, edge=None):
        edge = edge or self.chance.choice(list(self.edges.values()))
        edge.life, edge.holder = edge.life + 1, None
        away = 0.01 * 2_500 ** self.chance.random()  # 10 ms to 25 s
        if edge.images and self.chance.random() < self.member_faults.images:
            edge.disk, edge.image_at = self.chance.choice(edge.images), self.now + IMAGE
        away = max(away, edge.image_at - self.now)  # also where it is killed again meanwhile
        self.at(away, self.begin_again, edge, edge.life)

    def begin_again(self, edge, life):
        if edge.life == life:
            self.begin(edge)
            self.judge_limits()

    def stop_edge(self, edge=None):
        edge = edge or self.chance.choice(list(self.edges.values()))
        edge.held_until = self.now + 0.2 * 120 ** self.chance.random()  # to 24 s
        self.at(edge.held_until - self.now, self.judge_limits)

    def cut_edge(self):
        edge = self.chance.choice(list(self.edges.values()))
        edge.cut_until = self.now + 0.5 * 60 ** self.chance.random()

    def fill_disk(self):
        edge = self.chance.choice(list(self.edges.values()))
        edge.full_until = self.now + self.chance.uniform(1, 15)

    def quiet(self):
        super().quiet()
        for host in self.hosts.values():
            host.held_until = 0.0
        for edge in self.edges.values():
            edge.held_until = edge.cut_until = edge.full_until = edge.only_until = 0.0

    # The judge.

    def judge_limits(self):
        """All that members may use at this instant, against the limits decided last."""
        if not self.decided:
            return
        self.checked += 1
        known = {made.version for made in self.decided}
        limits, used = self.decided[-1].limits(), {}
        for edge in self.edges.values():
            holder = edge.holder
            if holder is None or self.now < edge.held_until or not holder.is_serving():
                continue
            if holder.active_version not in known:
                raise Breach(
                    f"{self.now:.3f} {edge.name} serves under {holder.active_version}, never decided"
                )
            if holder.newest_version < self.floor and self.fences:
                holder.on_fenced(self.floor)  # the first operation tells it
                continue
            for folder, both in holder.effective_limits(edge.time(self.now)).items():
                row = used.setdefault(folder, [0.0, 0.0])
                for place, value in enumerate(both):
                    row[place] += value / len(self.edges)
        for folder, row in used.items():
            for value, limit, what in zip(row, limits[folder], ("limit", "burst")):
                if value > limit + EPSILON:
                    who = ", ".join(
                        f"{edge.name} {edge.holder and edge.holder.active_version}"
                        for edge in self.edges.values()
                    )
                    raise Breach(
                        f"{self.now:.3f} {what} of {folder} is {limit:g} by "
                        f"{self.decided[-1].version}; members go by {value:g}: {who}"
                    )

    def settled(self):
        """After a quiet time: one number everywhere, nothing under way, nobody narrow but the mute."""
        if not self.decided:
            raise Breach("no policy was ever decided")
        for host in self.hosts.values():
            if host.register.staged is not None:
                raise Breach(f"change {host.register.staged.version} hangs at {host.name}")
        for edge in self.edges.values():
            refuses = self.unprovable.get(self.decided[-1].text) == edge.name
            if edge.mute or refuses:
                continue
            if edge.holder.active_version != self.decided[-1].version or edge.holder.is_degraded(
                edge.time(self.now)
            ):
                raise Breach(
                    f"{edge.name} goes by {edge.holder.active_version}, {self.decided[-1].version} is in force"
                )
        return self


PLAY, HEAL = 130.0, 70.0  # seconds of a seed, and when its faults end


def played(seed, **other) -> World:
    """One seed, whole: `Breach` where anything was found."""
    world = World(seed, planners=1 + 2 * (seed % 3 > 0), members=3 + seed % 4, **other)
    return world.play(PLAY, HEAL).settled()
