"""Simulation of the policy rollout: planners with their replicated log, edges, operators and faults.

Runs are deterministic for a seed.  Classes may be replaced by mutants, which the checker has to find.
"""

import json
from typing import Any, Self

from rushmux.fleet import policy, raft
from rushmux.standins.policy_parts import REAL_PARTS, PolicyParts
from rushmux.standins.policy_simulation_checker import PolicyChecker
from rushmux.standins.policy_simulation_edges import SimulatedEdges
from rushmux.standins.raft_simulation import RaftSimulation
from rushmux.standins.raft_simulation_member import SimulatedMember

ABSENCE = 15.0  # seconds for which edges that are absent from a change stay disconnected
FLOOR_DELAY = 0.2  # seconds until nodes know a fencing floor
WAKE_DELAY = 0.001  # seconds; after a pause, a planner reads its sockets before its timers run
ISOLATION_PROBABILITY = 0.5  # that some edge reaches only the paused planner
INTERVENTION_PROBABILITY = 0.1  # that an operator withdraws a change that is about to end
NEW_COMMAND_PROBABILITY = 0.8  # that an operator sends a new command instead of repeating the last one
# Thresholds of the random number that selects an operator's next command.
FORGET_ABOVE = 0.95
WITHDRAW_BELOW = 0.1
REVERT_BELOW = 0.2
BASED_BELOW = 0.6
FOLDERS = ("a", "b")
LIMITS = (200.0, 100.0, 60.0, 30.0, 12.0, 4.0)
DURATION = 130.0  # simulated seconds of a run
HEAL_AT = 70.0  # simulated time at which faults end, seconds


class SimulatedPlanner(SimulatedMember):
    """A Raft member with the policy state machine, and with a coordinator while it leads."""

    def __init__(self, name: str, disk: raft.PersistentState):
        super().__init__(name, disk)
        self.state_machine = policy.PolicyStateMachine()
        self.coordinator: policy.RolloutCoordinator | None = None
        self.coordinator_term = 0
        self.applied_index = 0
        self.paused_until = 0.0


class PolicySimulation(RaftSimulation):
    """Planners and edges on simulated time.

    Args:
        seed: Seed of all random numbers.
        planners: Number of planners.
        edges: Number of edges.
        parts: The classes under test.
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
        """Does nothing: membership changes of the log are tested in `raft_simulation`."""

    def heal(self) -> None:
        """Ends all faults."""
        super().heal()
        for planner in self.members.values():
            planner.paused_until = 0.0
        self.edges.heal()

    def check_limits(self) -> None:
        """Checks the limits that edges apply now."""
        self.checker.check_limits(self.now, self.edges.all())

    def check_settled(self) -> Self:
        """Checks the state at the end of the run."""
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
        """Loads a snapshot into a planner."""
        raw = json.loads(snapshot.state) if snapshot.state else {"machine": "", "sessions": []}
        member.state_machine = self.parts.state_machine.from_snapshot(raw["machine"].encode())
        member.sessions = raft.ClientSessions([tuple(row) for row in raw["sessions"]])
        member.applied_index = snapshot.index

    def snapshot_state(self, member: SimulatedPlanner) -> bytes:
        """A planner's state in the form that `restore` loads."""
        machine = member.state_machine.to_snapshot().decode()
        return json.dumps({"machine": machine, "sessions": member.sessions.to_rows()}).encode()

    def apply(self, member: SimulatedPlanner, index: int, entry: raft.Entry) -> None:
        """Applies a committed entry; the checker sees each one when the first planner applies it."""
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
        # Targeted: edges absent from one change are also absent from the next one, which follows soon.
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
        """Delivers a message, after the pause of its receiver if there is one."""
        member = self.members.get(message.receiver)
        if member is not None and self.now < member.paused_until:
            self.schedule(member.paused_until - self.now, self.deliver, message)
            return
        super().deliver(message)

    def leaders(self) -> list[SimulatedPlanner]:
        """Planners that are leader in their own view and not paused."""
        return [planner for planner in super().leaders() if self.now >= planner.paused_until]

    def pause_planner(self) -> None:
        """Pauses a planner for up to 25 s."""
        # Leaders are preferred: after a pause, they may grant leases that they should not.
        planners = [self.members[name] for name in sorted(self.members)]
        planner = self.random.choice(self.leaders() * 3 + planners)
        planner.paused_until = self.now + 0.5 * 50 ** self.random.random()
        if self.random.random() < ISOLATION_PROBABILITY:
            edge = self.edges.draw()
            edge.only_planner = planner.name
            edge.only_planner_until = planner.paused_until + 1.0

    def on_lease_request(self, planner_name: str, request: policy.LeaseRequest) -> None:
        """Delivers a lease request to a planner, after its pause if there is one."""
        planner = self.members[planner_name]
        if self.now < planner.paused_until:
            delay = planner.paused_until - self.now
            self.schedule(delay, self.on_lease_request, planner_name, request)
        elif planner.node is not None and planner.coordinator is not None:
            planner.coordinator.on_lease_request(self.now, request, planner.node.round)
            self.process_ready(planner)

    def process_ready(self, member: SimulatedPlanner) -> None:
        """Processes the log's output and, at the leader, runs the coordinator."""
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
        """Sends operators' commands at random intervals until faults have ended and a policy is decided."""
        self.propose_as_operator()
        delay = self.random.uniform(0.5, 8.0) if self.checker.decided else 0.1
        if not self.healed or not self.checker.decided:
            self.schedule(delay, self.run_client)

    def propose_as_operator(self) -> None:
        """Proposes a new command, or the last one again, at each leader."""
        for planner in self.leaders():
            if self.operator_command is None or self.random.random() < NEW_COMMAND_PROBABILITY:
                self.last_command += 1
                self.operator_command = self._draw_command(planner.state_machine)
            self.propose(planner, json.dumps(self.operator_command).encode())
            self.process_ready(planner)

    def _intervene(self, planner: SimulatedPlanner, version: int) -> None:
        """Targeted: just before a change ends, one operator withdraws it and another proposes a new one."""
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
        # Operators may only forget members that have really stopped.
        silent = [edge.name for edge in self.edges.all() if edge.silent]
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
    """Runs the simulation of one seed.

    Raises:
        InvariantViolationError: The checker found a violation.
    """
    planners = 1 + 2 * (seed % 3 > 0)
    simulation = PolicySimulation(seed, planners, edges=3 + seed % 4, parts=parts, fencing=fencing)
    return simulation.run(DURATION, HEAL_AT).check_settled()
