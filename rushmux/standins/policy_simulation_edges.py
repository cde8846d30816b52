"""Edges of the policy simulation, each with its own disk and clock, and their faults."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from rushmux.fleet.policy import LeaseGrant, LeaseRequest, Policy, PolicyMember
from rushmux.standins.raft_simulation import NETWORK_DELAY

if TYPE_CHECKING:
    from rushmux.standins.policy_simulation import PolicySimulation

REQUEST_INTERVAL = 0.5  # longest time between two lease requests of an edge, seconds
SWITCH_TIMEOUT = 1.5  # seconds without a grant until an edge switches to another planner
RESTORE_TIME = 10.5  # least time to restore an older disk image, seconds: longer than a lease
MAX_CLOCK_SKEW = 0.004  # relative error of an edge's clock rate: under half of the allowed drift
MAX_IMAGES = 4  # older disk images that may be restored
FAULT_PRESENT_PROBABILITY = 0.6
SILENT_EDGE_PROBABILITY = 0.15
TARGETED_PROBABILITY = 0.5  # that a targeted fault affects an edge
SLOW_MESSAGE_FACTOR = 30
SLOW_MESSAGE_PROBABILITY = 0.05


class EdgeFaultRates(NamedTuple):
    """Fault rates; unless stated otherwise per second, over all edges."""

    crashes: float
    pauses: float
    disconnections: float
    full_disks: float
    old_images: float  # fraction of starts with an older disk image
    rejections: float  # fraction of policies that some edge cannot apply
    planner_pauses: float  # per second, over all planners
    silent_edge: bool
    """Whether one edge never sends requests."""


def draw_edge_fault_rates(rng: random.Random) -> EdgeFaultRates:
    """Draws the rates by swarm testing: each seed omits some faults and has others often."""

    def rate(maximum: float) -> float:
        return maximum * rng.random() ** 2 if rng.random() < FAULT_PRESENT_PROBABILITY else 0.0

    rates = [rate(maximum) for maximum in (0.3, 0.2, 0.3, 0.1, 0.5, 0.3, 0.2)]
    return EdgeFaultRates(*rates, silent_edge=rng.random() < SILENT_EDGE_PROBABILITY)


class SimulatedEdge:
    """An edge; its disk survives crashes, its `PolicyMember` does not."""

    def __init__(self, name: str, clock_start: float, clock_rate: float):
        self.name = name
        self.clock_start = clock_start
        self.clock_rate = clock_rate
        self.disk: tuple[Policy | None, Policy | None] = (None, None)
        """The active and the staged policy."""
        self.images: list[tuple[Policy | None, Policy | None]] = []
        """Older contents of the disk."""
        self.image_ready_at = 0.0
        self.member: PolicyMember | None = None
        self.incarnation = 0
        self.paused_until = 0.0
        self.disconnected_until = 0.0
        self.disk_full_until = 0.0
        self.last_grant_at = 0.0
        self.planner_number = 0
        self.silent = False
        self.newest_joint = 0
        """The newest version that it reported as joint (persisted)."""
        self.only_planner = ""
        self.only_planner_until = 0.0

    def clock(self, now: float) -> float:
        """The reading of its clock."""
        return self.clock_start + now * self.clock_rate

    def reaches(self, planner: str, now: float) -> bool:
        """Whether it has a route to a planner."""
        return now >= self.only_planner_until or planner == self.only_planner


class SimulatedEdges:
    """All edges of a simulation, with their messages and faults."""

    def __init__(self, simulation: "PolicySimulation", seed: int, count: int):
        self.simulation = simulation
        rng = random.Random(f"members {seed}")
        self.faults = draw_edge_fault_rates(rng)
        self.by_name: dict[str, SimulatedEdge] = {}
        self.rejecting_edge: dict[str, str] = {}
        """The edge that cannot apply a policy, by the policy's text."""
        for number in range(count):
            rate = 1 + (rng.random() * 2 - 1) * MAX_CLOCK_SKEW
            edge = SimulatedEdge(f"edge{number}", rng.uniform(0, 1e5), rate)
            edge.silent = self.faults.silent_edge and number == 0
            self.by_name[edge.name] = edge
            self.start(edge)
        simulation.schedule_faults(self.faults.crashes, self.crash)
        simulation.schedule_faults(self.faults.pauses, self.pause)
        simulation.schedule_faults(self.faults.disconnections, self.disconnect)
        simulation.schedule_faults(self.faults.full_disks, self.fill_disk)

    @property
    def now(self) -> float:
        """Seconds since the start of the simulation."""
        return self.simulation.now

    @property
    def random(self) -> random.Random:
        """The simulation's random generator."""
        return self.simulation.random

    def all(self) -> list[SimulatedEdge]:
        """All edges."""
        return list(self.by_name.values())

    def draw(self) -> SimulatedEdge:
        """A random edge."""
        return self.random.choice(self.all())

    # Starts.

    def start(self, edge: SimulatedEdge) -> None:
        """Starts an edge from its disk; it is degraded until it gets a lease."""
        edge.incarnation += 1

        def persist(active: Policy, staged: Policy | None) -> None:
            if self.now < edge.disk_full_until:
                raise OSError("no space left on device")
            edge.images = [*edge.images, edge.disk][-MAX_IMAGES:]
            edge.disk = active, staged

        def validate(policy: Policy) -> str | None:
            return "not applicable" if self.rejecting_edge.get(policy.text) == edge.name else None

        edge.member = self.simulation.parts.member(edge.name, *edge.disk, validate, persist)
        edge.last_grant_at = self.now
        delay = self.random.uniform(0, REQUEST_INTERVAL)
        self.simulation.schedule(delay, self._request_regularly, edge, edge.incarnation)

    def _restart(self, edge: SimulatedEdge, incarnation: int) -> None:
        if edge.incarnation == incarnation:
            self.start(edge)
            self.simulation.check_limits()

    # Leases.

    def _request_regularly(self, edge: SimulatedEdge, incarnation: int) -> None:
        if edge.incarnation != incarnation:
            return
        delay = REQUEST_INTERVAL * self.random.uniform(0.5, 1.0)
        self.simulation.schedule(delay, self._request_regularly, edge, incarnation)
        self.request(edge, incarnation)

    def request(self, edge: SimulatedEdge, incarnation: int) -> None:
        """Sends an edge's lease request to its current planner."""
        if edge.incarnation != incarnation or edge.member is None:
            return
        if edge.silent or self.now < edge.paused_until:
            return
        if self.now - edge.last_grant_at > SWITCH_TIMEOUT:
            edge.planner_number += 1
            edge.last_grant_at = self.now
        planners = sorted(self.simulation.members)
        planner = planners[edge.planner_number % len(planners)]
        request = edge.member.lease_request(edge.clock(self.now))
        if edge.reaches(planner, self.now):
            self._transmit(edge, self.simulation.on_lease_request, planner, request)
        self._fail_after_request(edge, request)

    def _fail_after_request(self, edge: SimulatedEdge, request: LeaseRequest) -> None:
        # Targeted: a crash just after a report must not lose what was reported.
        if request.joint_version > edge.newest_joint:
            crashes = self.random.random() < self.faults.crashes
            if crashes and not self.simulation.healed:
                self.simulation.schedule(0.001, self.crash, edge)
        edge.newest_joint = max(edge.newest_joint, request.joint_version)
        # Targeted: a pause while a grant is in flight to the edge.
        if self.random.random() < self.faults.pauses / 10 and not self.simulation.healed:
            self.pause(edge)

    def send_grant(self, planner: str, grant: LeaseGrant) -> None:
        """Sends a planner's grant to an edge."""
        edge = self.by_name[grant.member]
        if edge.reaches(planner, self.now):
            self._transmit(edge, self._on_grant, edge, edge.incarnation, grant)

    def _transmit(self, edge: SimulatedEdge, action: Callable[..., None], *arguments: Any) -> None:
        """Calls an action whenever a copy of a message arrives: never, once or twice."""
        copies = self.simulation.draw_copies()
        if self.now < edge.disconnected_until:
            return
        for _ in range(copies):
            slow = self.random.random() < SLOW_MESSAGE_PROBABILITY and not self.simulation.healed
            delay = self.random.uniform(*NETWORK_DELAY) * (SLOW_MESSAGE_FACTOR if slow else 1)
            self.simulation.schedule(delay, action, *arguments)

    def _on_grant(self, edge: SimulatedEdge, incarnation: int, grant: LeaseGrant) -> None:
        if edge.incarnation != incarnation or edge.member is None:
            return
        if self.now < edge.paused_until:  # the message waits in the socket
            delay = edge.paused_until - self.now
            self.simulation.schedule(delay, self._on_grant, edge, incarnation, grant)
            return
        edge.last_grant_at = self.now
        edge.member.on_grant(edge.clock(self.now), grant)
        self.simulation.check_limits()

    # Faults.

    def crash(self, edge: SimulatedEdge | None = None) -> None:
        """Stops an edge for 10 ms to 25 s; at times it restarts with an older disk image."""
        edge = edge or self.draw()
        edge.incarnation += 1
        edge.member = None
        downtime = 0.01 * 2_500 ** self.random.random()
        if edge.images and self.random.random() < self.faults.old_images:
            edge.disk = self.random.choice(edge.images)
            edge.image_ready_at = self.now + RESTORE_TIME
        downtime = max(downtime, edge.image_ready_at - self.now)  # also if it crashes again before
        self.simulation.schedule(downtime, self._restart, edge, edge.incarnation)

    def pause(self, edge: SimulatedEdge | None = None) -> None:
        """Pauses an edge for up to 24 s."""
        edge = edge or self.draw()
        edge.paused_until = self.now + 0.2 * 120 ** self.random.random()
        self.simulation.schedule(edge.paused_until - self.now, self.simulation.check_limits)

    def disconnect(self) -> None:
        """Disconnects an edge for up to 30 s."""
        edge = self.draw()
        edge.disconnected_until = self.now + 0.5 * 60 ** self.random.random()

    def fill_disk(self) -> None:
        """Fills an edge's disk for up to 15 s."""
        edge = self.draw()
        edge.disk_full_until = self.now + self.random.uniform(1, 15)

    def heal(self) -> None:
        """Ends all faults."""
        for edge in self.by_name.values():
            edge.paused_until = 0.0
            edge.disconnected_until = 0.0
            edge.disk_full_until = 0.0
            edge.only_planner_until = 0.0

    def wake_absent(self, joint: list[str]) -> None:
        """Targeted: edges that are not joint send requests while a change is decided without them."""
        for edge in self.by_name.values():
            absent = edge.name not in joint and edge.member is not None
            if absent and self.random.random() < TARGETED_PROBABILITY:
                edge.paused_until = edge.disconnected_until = 0.0
                edge.last_grant_at = self.now
                delay = self.random.uniform(0, 0.01)
                self.simulation.schedule(delay, self.request, edge, edge.incarnation)

    def keep_absent(self, joint: list[str], seconds: float) -> None:
        """Targeted: edges absent from one change stay disconnected for the next one."""
        for edge in self.by_name.values():
            if edge.name not in joint and self.random.random() < TARGETED_PROBABILITY:
                edge.disconnected_until = max(edge.disconnected_until, self.now + seconds)
