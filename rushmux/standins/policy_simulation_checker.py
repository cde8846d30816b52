"""The checker of the policy simulation, which compares the decided policies with the limits edges apply."""

from collections.abc import Iterable, Mapping
from typing import Any

from rushmux.fleet.policy import Policy, PolicyStateMachine
from rushmux.standins.policy_simulation_edges import SimulatedEdge
from rushmux.standins.raft_simulation_checker import InvariantViolationError

EPSILON = 1e-6


class PolicyChecker:
    """Checks each applied command, and the sum of the limits of all edges.

    Args:
        fencing: Whether nodes reject operations of versions below the fencing floor.
    """

    def __init__(self, *, fencing: bool = True):
        self.fencing = fencing
        self.decided: list[Policy] = []
        """Policies in the order in which they became active."""
        self.outcomes: dict[int, str] = {}
        """Kind of the command that ended each change, by version."""
        self.floor = 0
        """The fencing floor that nodes know."""
        self.limit_checks = 0

    def on_applied(
        self,
        now: float,
        machine: PolicyStateMachine,
        command: Mapping[str, Any],
        staged_before: Policy | None,
    ) -> None:
        """Checks the effect of a command at the first planner that applies it."""
        self._record_active(now, machine.active)
        if staged_before is None or machine.staged is staged_before:
            return
        version = staged_before.version
        if machine.staged is not None and machine.staged.version != version:
            raise InvariantViolationError(
                f"{now:.3f} {machine.staged.version} replaced {version}, which had not ended"
            )
        if "number" in command and command["number"] != version:
            raise InvariantViolationError(
                f"{now:.3f} {command['kind']} of {command['number']} ended {version}"
            )
        if machine.staged is None:
            if version in self.outcomes:
                raise InvariantViolationError(f"{now:.3f} change {version} ended twice")
            self.outcomes[version] = command["kind"]

    def _record_active(self, now: float, active: Policy | None) -> None:
        if active is None:
            return
        newest = self.decided[-1].version if self.decided else 0
        if active.version < newest:
            raise InvariantViolationError(f"{now:.3f} {active.version} became active after {newest}")
        if active.version > newest:
            self.decided.append(active)

    def raise_floor(self, floor: int) -> None:
        """Informs the nodes of a fencing floor."""
        self.floor = max(self.floor, floor)

    def check_limits(self, now: float, edges: Iterable[SimulatedEdge]) -> None:
        """Checks the sum of the edges' limits against the limits decided last."""
        if not self.decided:
            return
        self.limit_checks += 1
        edges = list(edges)
        used: dict[str, list[float]] = {}
        for edge in edges:
            if not self._serves(now, edge):
                continue
            for folder, limit_and_burst in edge.member.effective_limits(edge.clock(now)).items():
                sums = used.setdefault(folder, [0.0, 0.0])
                for position, value in enumerate(limit_and_burst):
                    sums[position] += value / len(edges)
        limits = self.decided[-1].limits()
        for folder, sums in used.items():
            for value, limit, name in zip(sums, limits[folder], ("limit", "burst"), strict=True):
                if value > limit + EPSILON:
                    versions = ", ".join(
                        f"{edge.name} {edge.member and edge.member.active_version}" for edge in edges
                    )
                    raise InvariantViolationError(
                        f"{now:.3f} {name} of {folder} is {limit:g} in {self.decided[-1].version}, but "
                        f"members apply {value:g}: {versions}"
                    )

    def _serves(self, now: float, edge: SimulatedEdge) -> bool:
        """Whether an edge's operations are served now; a fenced operation informs the edge of the floor."""
        member = edge.member
        if member is None or now < edge.paused_until or not member.is_serving():
            return False
        if all(policy.version != member.active_version for policy in self.decided):
            raise InvariantViolationError(
                f"{now:.3f} {edge.name} serves under {member.active_version}, which was never decided"
            )
        if member.newest_version < self.floor and self.fencing:
            member.on_fenced(self.floor)
            return False
        return True

    def check_settled(
        self,
        now: float,
        machines: Mapping[str, PolicyStateMachine],
        edges: Iterable[SimulatedEdge],
        rejecting_edge: Mapping[str, str],
    ) -> None:
        """Checks that nothing is staged after a quiet time and that edges hold leases on the newest version.

        Silent edges and the edge that rejects the newest policy (`rejecting_edge`, by text) are excepted.
        """
        if not self.decided:
            raise InvariantViolationError("no policy was ever decided")
        for planner, machine in machines.items():
            if machine.staged is not None:
                raise InvariantViolationError(f"change {machine.staged.version} is still staged at {planner}")
        newest = self.decided[-1]
        for edge in edges:
            if edge.silent or rejecting_edge.get(newest.text) == edge.name:
                continue
            member = edge.member
            if member.active_version != newest.version or member.is_degraded(edge.clock(now)):
                raise InvariantViolationError(
                    f"{edge.name} applies {member.active_version}, but {newest.version} is active"
                )
