"""Simulation of the policy's rollout: planners with their replicated log, edges, operators and faults.

All follows from the seed.  Mutants of the three parts may be handed in: the checker has to find them.
"""

import json
from typing import Any, Self

from rushmux.fleet import policy, raft
from rushmux.standins.policy_parts import REAL_PARTS, PolicyParts
from rushmux.standins.policy_simulation_checker import PolicyChecker
from rushmux.standins.policy_simulation_edges import SimulatedEdges
from rushmux.standins.raft_simulation import RaftSimulation
from rushmux.standins.raft_simulation_member import SimulatedMember

ABSENCE = 15.0  # seconds that an edge stays away for a second change
FLOOR_DELAY = 0.2  # seconds until nodes hear of a fencing floor
WAKE_DELAY = 0.001  # seconds: a planner that wakes reads its full sockets before its timers run
ISOLATION_PROBABILITY = 0.5  # that an edge reaches only a planner that is paused
INTERVENTION_PROBABILITY = 0.1  # that an operator withdraws a change as it would end
NEW_COMMAND_PROBABILITY = 0.8  # that operators go on to their next command
FORGET_ABOVE = 0.95  # bounds of the draw that says what operators do next
WITHDRAW_BELOW = 0.1
REVERT_BELOW = 0.2
BASED_BELOW = 0.6
FOLDERS = ("a", "b")
LIMITS = (200.0, 100.0, 60.0, 30.0, 12.0, 4.0)
DURATION = 130.0  # seconds of a seed
HEAL_AT = 70.0  # seconds at which its faults end


class SimulatedPlanner(SimulatedMember):
    """A planner: a member of the log, the state that the log makes, and the coordinator while it leads."""

    def __init__(self, name: str, disk: raft.PersistentState):
        super().__init__(name, disk)
        self.state_machine = policy.PolicyStateMachine()
        self.coordinator: policy.RolloutCoordinator | None = None
        self.coordinator_term = 0
        self.applied_index = 0
        self.paused_until = 0.0


class PolicySimulation(RaftSimulation):
    """Planners and edges that run together on simulated time.

    Args:
        seed: All follows from it.
        planners: How many there are.
        edges: How many there are.
        parts: The classes that run.
        fencing: Whether nodes reject operations of versions below the fencing floor.
    """

    member_class = SimulatedPlanner

    def __init__(
        self,
        seed: int,
        planners: int = 3,
        edges: int = 4,
        *,
        parts: PolicyParts = REAL_PARTS,
        fencing: bool = True,
    ):
        self.parts = parts
        self.checker = PolicyChecker(fencing=fencing)
        self.newest_applied_index = 0
        self.operator_command: dict[str, Any] | None = None
        super().__init__(seed, planners)
        self.faults = self.faults._replace(membership_changes=0.0)
        self.edges = SimulatedEdges(self, seed, edges)
        self.schedule_faults(self.edges.faults.planner_pauses, self.pause_planner)

    def change_membership(self) -> None:
        """Planners stay the same here; `raft_simulation` has them come and go."""

    def heal(self) -> None:
        """All faults end."""
        super().heal()
        for planner in self.members.values():
            planner.paused_until = 0.0
        self.edges.heal()

    def check_limits(self) -> None:
        """Has the checker look at the limits of this instant."""
        self.checker.check_limits(self.now, self.edges.all())

    def check_settled(self) -> Self:
        """Has the checker look at the end of a quiet time."""
        machines = {planner.name: planner.state_machine for planner in self.members.values()}
        rejecting = self.edges.rejecting_edge
        self.checker.check_settled(self.now, machines, self.edges.all(), rejecting)
        return self

    # Planners.

    def start_member(self, name: str) -> None:
        """Starts a planner from its disk."""
        self.members[name].coordinator = None
        super().start_member(name)

    def restore(self, member: SimulatedPlanner, snapshot: raft.Snapshot) -> None:
        """Gives a planner the state of a snapshot."""
        raw = json.loads(snapshot.state) if snapshot.state else {"machine": "", "sessions": []}
        member.state_machine = self.parts.state_machine.from_snapshot(raw["machine"].encode())
        member.sessions = raft.ClientSessions([tuple(row) for row in raw["sessions"]])
        member.applied_index = snapshot.index

    def snapshot_state(self, member: SimulatedPlanner) -> bytes:
        """A planner's state, as `restore` takes it."""
        machine = member.state_machine.to_snapshot().decode()
        return json.dumps({"machine": machine, "sessions": member.sessions.to_rows()}).encode()

    def apply(self, member: SimulatedPlanner, index: int, entry: raft.Entry) -> None:
        """Applies a committed entry; the first planner to apply it tells the checker."""
        self.log_checker.on_applied(self.now, member.name, index, entry)
        member.applied_index = index
        if entry.kind != raft.EntryKind.COMMAND:
            return
        command = json.loads(entry.body)
        machine = member.state_machine
        staged_before = machine.staged
        if "client" in command:
            member.sessions.apply_once(command["client"], command["n"], lambda: machine.apply(command))
        else:
            machine.apply(command)
        if index > self.newest_applied_index:
            self.newest_applied_index = index
            self.checker.on_applied(self.now, machine, command, staged_before)
            if staged_before is not None and machine.staged is None:
                self._on_change_ended(command)
            self.check_limits()

    def _on_change_ended(self, command: dict[str, Any]) -> None:
        # Aimed: edges that were absent for one change are absent for the next one too, and that comes soon.
        partial = command["kind"] == "decide" and len(command["joint"]) < len(self.edges.by_name)
        if partial and not self.healed:
            self.edges.keep_absent(command["joint"], ABSENCE)
            self.schedule(0.3, self.propose_as_operator)

    def tick(self, member: SimulatedPlanner, node: raft.RaftNode) -> None:
        """Ticks a planner, unless it is paused."""
        if self.now < member.paused_until:
            delay = member.paused_until - self.now + WAKE_DELAY
            self.schedule(delay, self.tick, member, node)
            return
        super().tick(member, node)

    def deliver(self, message: raft.Message) -> None:
        """A message arrives, or waits while its receiver is paused."""
        member = self.members.get(message.receiver)
        if member is not None and self.now < member.paused_until:
            self.schedule(member.paused_until - self.now, self.deliver, message)
            return
        super().deliver(message)

    def leaders(self) -> list[SimulatedPlanner]:
        """Planners that believe to lead and are not paused."""
        return [planner for planner in super().leaders() if self.now >= planner.paused_until]

    def pause_planner(self) -> None:
        """A planner stands still for up to 25 s."""
        # Aimed: a leader is the one that may promise too much when it wakes.
        planners = [self.members[name] for name in sorted(self.members)]
        planner = self.random.choice(self.leaders() * 3 + planners)
        planner.paused_until = self.now + 0.5 * 50 ** self.random.random()
        if self.random.random() < ISOLATION_PROBABILITY:  # and some edge reaches nobody else
            edge = self.edges.draw()
            edge.only_planner = planner.name
            edge.only_planner_until = planner.paused_until + 1.0

    def on_lease_request(self, planner_name: str, request: policy.LeaseRequest) -> None:
        """A lease request arrives at a planner."""
        planner = self.members[planner_name]
        if self.now < planner.paused_until:
            delay = planner.paused_until - self.now
            self.schedule(delay, self.on_lease_request, planner_name, request)
        elif planner.node is not None and planner.coordinator is not None:
            planner.coordinator.on_lease_request(self.now, request, planner.node.round)
            self.process_ready(planner)

    def process_ready(self, member: SimulatedPlanner) -> None:
        """Does what the log hands out, and the work of a leader."""
        super().process_ready(member)
        node = member.node
        if node is None or node.role != raft.Role.LEADER:
            member.coordinator = None
            return
        if member.coordinator is None or member.coordinator_term != node.term:
            member.coordinator = self.parts.coordinator(member.state_machine, self.now)
            member.coordinator_term = node.term
        if node.confirmed_round:
            self._coordinate(member, node)

    def _coordinate(self, planner: SimulatedPlanner, node: raft.RaftNode) -> None:
        """Grants leases and proposes the coordinator's next command."""
        coordinator = planner.coordinator
        coordinator.state_machine = planner.state_machine
        grants = coordinator.grant_leases(self.now, node.confirmed_round, node.term, planner.applied_index)
        for grant in grants:
            self.edges.send_grant(planner.name, grant)
        command = coordinator.next_command(self.now)
        if command is not None:
            self._propose_for_coordinator(planner, command)
            super().process_ready(planner)
        self.schedule(FLOOR_DELAY, self.checker.raise_floor, planner.state_machine.fencing_floor)

    def _propose_for_coordinator(self, planner: SimulatedPlanner, command: dict[str, Any]) -> None:
        coordinator = planner.coordinator
        ends_change = command["kind"] in ("decide", "end")
        if ends_change and self.random.random() < INTERVENTION_PROBABILITY and not self.healed:
            self._intervene(planner, command["number"])
        if not self.propose(planner, json.dumps(command).encode()):
            coordinator.on_command_rejected()
        if command["kind"] == "decide" and not self.healed:
            self.edges.wake_absent(command["joint"])

    # Operators.

    def run_client(self) -> None:
        """Operators: the first policy, changes, withdrawals, reverts; each repeated by chance."""
        self.propose_as_operator()
        delay = self.random.uniform(0.5, 8.0) if self.checker.decided else 0.1
        if not self.healed or not self.checker.decided:
            self.schedule(delay, self.run_client)

    def propose_as_operator(self) -> None:
        """Gives a new command, or the last one again, to whoever believes to lead."""
        for planner in self.leaders():
            if self.operator_command is None or self.random.random() < NEW_COMMAND_PROBABILITY:
                self.last_command += 1
                self.operator_command = self._draw_command(planner.state_machine)
            self.propose(planner, json.dumps(self.operator_command).encode())
            self.process_ready(planner)

    def _intervene(self, planner: SimulatedPlanner, version: int) -> None:
        """Aimed: an operator withdraws a change, and another proposes one, just before it would end."""
        withdraw = {"kind": "withdraw", "number": version}
        propose = {"kind": "propose", **self._draw_policy()}
        for command in (withdraw, propose):
            self.last_command += 1
            self.propose(planner, json.dumps({**self._client_fields(), **command}).encode())

    def _client_fields(self) -> dict[str, Any]:
        number = self.last_command
        return {"client": f"c{number % 3}", "n": number // 3 + 1, "by": "somebody"}

    def _draw_command(self, machine: policy.PolicyStateMachine) -> dict[str, Any]:
        client = self._client_fields()
        active, staged = machine.active, machine.staged
        if active is None:
            members = sorted(self.edges.by_name)
            return {**client, "kind": "found", "members": members, **self._draw_policy()}
        kind = self.random.random()
        silent = [edge.name for edge in self.edges.all() if edge.silent]  # what operators say has to be true
        if silent and kind > FORGET_ABOVE:
            return {**client, "kind": "forget", "member": self.random.choice(silent)}
        if staged is not None and kind < WITHDRAW_BELOW:
            return {**client, "kind": "withdraw", "number": staged.version}
        if kind < REVERT_BELOW:
            return {**client, "kind": "revert", "number": self.random.randrange(1, active.version + 2)}
        base = {"base": active.version} if kind < BASED_BELOW else {}
        return {**client, "kind": "propose", **base, **self._draw_policy()}

    def _draw_policy(self) -> dict[str, Any]:
        limits = [(folder, self.random.choice(LIMITS)) for folder in FOLDERS]
        text = f"text {self.last_command}"
        if self.checker.decided and self.random.random() < self.edges.faults.rejections:
            self.edges.rejecting_edge[text] = self.random.choice(sorted(self.edges.by_name))
        return {"text": text, "rows": [(folder, limit, limit * 2) for folder, limit in limits]}


def run_seed(seed: int, *, parts: PolicyParts = REAL_PARTS, fencing: bool = True) -> PolicySimulation:
    """Runs one seed to its end.

    Raises:
        InvariantViolationError: The checker found something.
    """
    planners = 1 + 2 * (seed % 3 > 0)
    simulation = PolicySimulation(seed, planners, edges=3 + seed % 4, parts=parts, fencing=fencing)
    return simulation.run(DURATION, HEAL_AT).check_settled()
