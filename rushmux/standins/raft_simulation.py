"""Simulation of a Raft cluster under faults, with a checker of its safety and liveness.

The network loses, duplicates and delays messages and has partitions; members crash at any step and restart
from what they had synced.  `raft_simulation_checker` checks safety at each step, and progress once the faults
have ended.  Runs are deterministic for a seed.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any, Self

from rushmux.fleet import raft
from rushmux.standins.raft_simulation_checker import RaftChecker
from rushmux.standins.raft_simulation_faults import CRASHES, NO_FAULTS, CrashPoint, draw_fault_rates
from rushmux.standins.raft_simulation_member import SimulatedMember

TICK_INTERVAL = 0.1  # mean time between two ticks of a member, seconds
NETWORK_DELAY = (0.0005, 0.03)  # minimum and maximum, seconds
SLOW_MESSAGE_FACTOR = 10
SLOW_MESSAGE_PROBABILITY = 0.1
SEPARATION_PROBABILITY = 0.4  # that a partition separates a given member
BOTH_WAYS_PROBABILITY = 0.6  # that a partition blocks both directions
NEW_COMMAND_PROBABILITY = 0.7  # that a client sends a new command instead of repeating the last one
MAX_EVENTS = 200_000  # ends a run regardless of what members do
MAX_MEMBERS_BEFORE_REMOVAL = 3
COMPACT_AT_ENTRIES = 40  # entries in memory above which the log is compacted, if half of them are applied


class RaftSimulation:
    """Raft members on simulated time.

    Args:
        seed: Seed of all random numbers.
        members: Number of members at the start.
        node_class: `RaftNode`, or a mutant of it.
    """

    member_class = SimulatedMember

    def __init__(self, seed: int, members: int = 3, node_class: type[raft.RaftNode] = raft.RaftNode):
        self.random = random.Random(seed)
        self.node_class = node_class
        self.faults = draw_fault_rates(self.random)
        self.now = 0.0
        self.healed = False
        self.scheduled = 0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.blocked_links: dict[tuple[str, str], bool] = {}
        """Blocked links, each from a sender to a receiver."""
        self.log_checker = RaftChecker()
        self.last_command = 0
        self.next_member_number = members
        names = [f"p{number}/1" for number in range(members)]
        self.members = {name: self.member_class(name, raft.bootstrap(names)) for name in names}
        for name in names:
            self.start_member(name)
        self.schedule(0.5, self.run_client)
        self.schedule_faults(self.faults.crashes, self.crash_random_member)
        self.schedule_faults(self.faults.partitions, self.partition_network)
        self.schedule_faults(self.faults.membership_changes, self.change_membership)

    # Time.

    def schedule(self, delay: float, action: Callable[..., Any], *arguments: Any) -> None:
        """Calls an action after a delay in simulated seconds."""
        self.scheduled += 1
        heapq.heappush(self.events, (self.now + delay, self.scheduled, action, arguments))

    def schedule_faults(self, rate: float, action: Callable[[], None]) -> None:
        """Repeats a fault at a mean rate per second until the faults end."""
        if not rate:
            return

        def inject() -> None:
            if not self.healed:
                action()
                self.schedule_faults(rate, action)

        self.schedule(self.random.expovariate(rate), inject)

    def run(self, until: float, heal_at: float | None = None) -> Self:
        """Runs with faults up to `heal_at`, then without; the log must then advance.

        Raises:
            InvariantViolationError: The checker found a violation.
        """
        if heal_at is not None:
            self.schedule(heal_at, self.heal)
        for _ in range(MAX_EVENTS):
            if not self.events or self.events[0][0] > until:
                break
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        if heal_at is not None:
            self.log_checker.check_progress(heal_at, until)
        return self

    def heal(self) -> None:
        """Ends all faults."""
        self.healed = True
        self.blocked_links = {}
        self.faults = NO_FAULTS

    # Members.

    def start_member(self, name: str) -> None:
        """Starts a member from its disk."""
        member = self.members[name]
        member.node = self.node_class(name, member.disk, self.now, self.random.randrange)
        self.restore(member, member.disk.snapshot)
        self.schedule(self.random.uniform(0, TICK_INTERVAL), self.tick, member, member.node)

    def restore(self, member: SimulatedMember, snapshot: raft.Snapshot) -> None:
        """Loads a snapshot into a member."""
        commands, *sessions = snapshot.state.decode().split("\n")
        member.commands = [command for command in commands.split(" ") if command]
        rows = (row.split(" ") for row in sessions if row)
        member.sessions = raft.ClientSessions(
            [(client, int(sequence), answer) for client, sequence, answer in rows]
        )

    def snapshot_state(self, member: SimulatedMember) -> bytes:
        """A member's state in the form that `restore` loads."""
        sessions = [" ".join(map(str, row)) for row in member.sessions.to_rows()]
        return "\n".join([" ".join(member.commands), *sessions]).encode()

    def tick(self, member: SimulatedMember, node: raft.RaftNode) -> None:
        """Ticks a member regularly while it runs."""
        if member.node is node:
            node.tick(self.now)
            self.process_ready(member)
            delay = TICK_INTERVAL * self.random.uniform(0.8, 1.2)
            self.schedule(delay, self.tick, member, node)

    def process_ready(self, member: SimulatedMember) -> None:
        """Processes a member's `Ready` batches until there are none, or crashes it at one of the steps."""
        node = member.node
        while node is not None and member.node is node and (ready := node.ready()) is not None:
            if not self._process_batch(member, node, ready):
                self.crash(member)
                return
            node.on_persisted(self.now, ready)
            self.log_checker.check_leader(self.now, node)
            if len(node.log) > COMPACT_AT_ENTRIES:
                applied = node.last_applied - node.snapshot.index
                if applied > COMPACT_AT_ENTRIES / 2:
                    node.compact(node.last_applied, self.snapshot_state(member))

    def _process_batch(self, member: SimulatedMember, node: raft.RaftNode, ready: raft.Ready) -> bool:
        """Persists, sends and applies a batch; False if the member is to crash meanwhile."""
        crash_point = self._draw_crash_point(ready)
        if crash_point == CrashPoint.BEFORE_PERSIST:
            return False
        member.persist(ready)
        if crash_point == CrashPoint.AFTER_PERSIST:
            return False
        for number, message in enumerate(ready.messages):
            if crash_point == CrashPoint.WHILE_SENDING and number >= len(ready.messages) / 2:
                return False
            self.send(message)
        if ready.restore is not None:
            self.restore(member, ready.restore)
        for index, entry in ready.committed:
            self.apply(member, index, entry)
        return crash_point != CrashPoint.AFTER_APPLY

    def _draw_crash_point(self, ready: raft.Ready) -> CrashPoint:
        # Targeted: more crashes while a term or vote is persisted, since these must survive them.
        probability = self.faults.crashes / (10 if ready.hard_state else 100)
        crashes = self.random.random() < probability
        return CRASHES[self.random.randrange(len(CRASHES))] if crashes else CrashPoint.NEVER

    def apply(self, member: SimulatedMember, index: int, entry: raft.Entry) -> None:
        """Applies a committed entry and checks that it is the same at every member."""
        self.log_checker.on_applied(self.now, member.name, index, entry)
        if entry.kind != raft.EntryKind.COMMAND:
            return
        client, sequence, command = entry.body.decode().split(" ")

        def append() -> str:
            member.commands.append(command)
            return "done"

        member.sessions.apply_once(client, int(sequence), append)
        self.log_checker.check_commands(self.now, member.name, member.commands)

    # Network.

    def send(self, message: raft.Message) -> None:
        """Sends a message, which arrives never, once or twice after a delay."""
        for _ in range(self.draw_copies()):
            delay = self.random.uniform(*NETWORK_DELAY)
            if self.random.random() < SLOW_MESSAGE_PROBABILITY and not self.healed:
                delay *= SLOW_MESSAGE_FACTOR
            self.schedule(delay, self.deliver, message)

    def draw_copies(self) -> int:
        """Draws how often a message arrives."""
        duplicated = self.random.random() < self.faults.duplication
        lost = self.random.random() < self.faults.loss
        return max(0, 1 + duplicated - lost)

    def deliver(self, message: raft.Message) -> None:
        """Delivers a message if its receiver is up and the link is not blocked."""
        member = self.members.get(message.receiver)
        if member is None or member.node is None:
            return
        if (message.sender, message.receiver) in self.blocked_links:
            return
        member.node.receive(self.now, message)
        self.process_ready(member)

    # Faults.

    def crash(self, member: SimulatedMember) -> None:
        """Crashes a member, which restarts after 2 ms to 2 s."""
        member.node = None
        self.schedule(0.002 * 1000 ** self.random.random(), self.start_member, member.name)

    def crash_random_member(self) -> None:
        """Crashes a random member, unless it is down already."""
        member = self.random.choice([self.members[name] for name in sorted(self.members)])
        if member.node is not None:
            self.crash(member)

    def partition_network(self) -> None:
        """Separates some members from the others, in one direction or both."""
        names = sorted(self.members)
        group = [name for name in names if self.random.random() < SEPARATION_PROBABILITY]
        both_ways = self.random.random() < BOTH_WAYS_PROBABILITY
        for name in group:
            for other in names:
                if other not in group:
                    self.blocked_links[name, other] = True
                    if both_ways:
                        self.blocked_links[other, name] = True
        self.schedule(self.random.uniform(0.2, 3.0), self.blocked_links.clear)

    def change_membership(self) -> None:
        """Adds or removes a member."""
        for member in self.leaders():
            try:
                if len(member.node.members) <= MAX_MEMBERS_BEFORE_REMOVAL:
                    self._add_member(member.node)
                else:
                    self._remove_member(member.node)
            except raft.ProposalRejectedError:
                pass
            self.process_ready(member)

    def _add_member(self, leader: raft.RaftNode) -> None:
        learner = min(leader.learners, default=None)
        if learner is not None:
            leader.change_members(self.now, [*leader.members, learner])
            return
        name = f"p{self.next_member_number}/1"
        self.next_member_number += 1
        empty = raft.PersistentState(0, None, raft.Snapshot(0, 0, (), b""))
        self.members[name] = self.member_class(name, empty)
        self.start_member(name)
        leader.add_learner(self.now, name)

    def _remove_member(self, leader: raft.RaftNode) -> None:
        removed = self.random.choice(leader.members)
        leader.change_members(self.now, [name for name in leader.members if name != removed])

    def leaders(self) -> list[SimulatedMember]:
        """Members that are leader in their own view."""
        return [
            member
            for _, member in sorted(self.members.items())
            if member.node is not None and member.node.role == raft.Role.LEADER
        ]

    # Clients.

    def run_client(self) -> None:
        """Proposes a new command, or the last one again, at each leader."""
        for member in self.leaders():
            if self.random.random() < NEW_COMMAND_PROBABILITY:
                self.last_command += 1
            number = self.last_command
            self.propose(member, f"c{number % 3} {number // 3 + 1} o{number}".encode())
            self.process_ready(member)
        self.schedule(self.random.uniform(0.02, 0.2), self.run_client)

    def propose(self, member: SimulatedMember, body: bytes) -> bool:
        """Proposes a command to a member; returns whether it was accepted."""
        try:
            member.node.propose(self.now, body)
        except raft.ProposalRejectedError:
            return False
        return True
