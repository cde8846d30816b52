"""Simulates a day of a fleet with the real scheduler in each gateway and emulated nodes, without sockets.

Suits the largest fleets.  Scheduler and rounds are those of the real edge, machines those of
`standins.service_model`; an operation is one access.  The records let `standins.checker` check the rules.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rushmux.lab import client
from rushmux.lab.client import ClientOutcome, CompletedOperation
from rushmux.lab.fault_injector import FaultInjector
from rushmux.lab.faults import FaultEvent
from rushmux.lab.fleet import DISCOVERY_LAG, Fleet, draw_node_speeds, node_name, zone_name
from rushmux.lab.simulated_gateway import SimulatedGateway, SimulatedOperation
from rushmux.lab.simulated_network import SimulatedNetwork
from rushmux.lab.simulated_node import SimulatedNode
from rushmux.lab.simulation_context import EventRecorder, SimulationContext
from rushmux.lab.timer_loop import START, TimerLoop
from rushmux.lab.workload import Arrival
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import Endpoint, EndpointState
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.deployment import Deployment

SAMPLE_INTERVAL = 0.5  # seconds between two samples of the nodes
SAMPLED_GATEWAYS = 40  # gateways whose concurrency limits are sampled
EXTRA_TIME = 4.0  # seconds simulated after the day, in addition to the longest deadline


class NodeSample(NamedTuple):
    """A sample of one node."""

    in_flight: int
    """Attempts at the node."""
    median_limit: float
    """Median of the sampled gateways' concurrency limits for the node."""


class Sample(NamedTuple):
    """A sample of all nodes."""

    at: float
    """Seconds from the start of the day."""
    nodes: dict[str, NodeSample]


class SchedulerSimulation:
    """One day of one fleet.

    Attributes:
        completed: The outcome of each operation.
        samples: Samples of the nodes, `SAMPLE_INTERVAL` apart.
        discovery_lag: Seconds until a node's change of state reaches the gateways.
    """

    def __init__(
        self,
        deployment: Deployment,
        fleet: Fleet,
        seed: int,
        make_scheduler: Callable = Scheduler,
        *,
        keep_records: bool = True,
    ):
        clock = TimerLoop()
        recorder = EventRecorder(clock, keep_records)
        self.context = SimulationContext(deployment, fleet, seed, recorder, clock)
        self.completed: list[CompletedOperation] = []
        self.samples: list[Sample] = []
        self.discovery_lag = DISCOVERY_LAG
        self.gateways: list[SimulatedGateway] = []
        network = SimulatedNetwork(self.context)
        self.nodes = self._make_nodes(network)
        for number in range(fleet.gateway_count):
            gateway = SimulatedGateway(
                self.context,
                network,
                number=number,
                nodes=self.nodes,
                make_scheduler=make_scheduler,
                on_answer=self._on_answer,
            )
            self.gateways.append(gateway)
        self._faults = FaultInjector(self)

    def _make_nodes(self, network: SimulatedNetwork) -> dict[str, SimulatedNode]:
        fleet = self.context.fleet
        return {
            node_name(cell): SimulatedNode(
                self.context,
                network,
                cell=cell,
                zone=zone_name(cell, fleet),
                machine=fleet.machine._replace(speed=speed),
                on_state_change=self.publish_state,
            )
            for cell, speed in draw_node_speeds(fleet, self.context.seed).items()
        }

    @property
    def records(self) -> list[dict[str, Any]]:
        """Records of the day for `standins.checker`."""
        return self.context.recorder.records

    @property
    def keeps_records(self) -> bool:
        """Whether records are kept."""
        return self.context.recorder.enabled

    def publish_state(self, node: SimulatedNode, state: EndpointState) -> None:
        """Sends a node's new state to every gateway after the discovery lag."""
        online_since = int(node.online_since * TICKS_PER_SECOND)
        node.endpoint = Endpoint(node.name, node.cell, node.zone, state, online_since)
        for gateway in self.gateways:
            self.context.clock.call_later(
                self.discovery_lag, gateway.deliver, gateway.update_endpoints, [node.endpoint]
            )

    def run(
        self,
        arrivals: Iterable[Arrival],
        events: Iterable[FaultEvent],
        seconds: float,
        on_progress: Callable[[int], None] = lambda second: None,
    ) -> None:
        """Simulates a day and fills `completed`, `samples` and `records`.

        Args:
            arrivals: Operations of the clients, ordered by time.
            events: Faults of the day.
            seconds: Length of the day.
            on_progress: Called with each simulated second.
        """
        clock = self.context.clock
        start = clock.time()
        self.context.recorder.record("day", begun=start, length=seconds)
        clock.call_soon(self._sample)
        for event in events:
            clock.call_at(start + event.at, self._faults.inject, event)
        self._schedule_next_arrival(iter(arrivals), start)
        for second in range(int(seconds) + 1):
            clock.run(start + second)
            on_progress(second)
        request_classes = self.context.deployment.settings.request_classes
        longest = max(request_class.deadline for request_class in request_classes.values())
        clock.run(start + seconds + EXTRA_TIME + longest / TICKS_PER_SECOND)

    def _schedule_next_arrival(self, arrivals: Iterable[Arrival], start: float) -> None:
        """Schedules only the next arrival, since a day has millions."""
        for arrival in arrivals:
            self.context.clock.call_at(start + arrival.at, self._on_arrival, arrival, arrivals, start)
            return

    def _on_arrival(self, arrival: Arrival, later: Iterable[Arrival], start: float) -> None:
        self._schedule_next_arrival(later, start)
        self._send(arrival)

    def _send(self, arrival: Arrival, client_attempt: int = 1) -> None:
        """Sends a client's operation to its gateway."""
        gateway = self.gateways[arrival.gateway % len(self.gateways)]
        operation = SimulatedOperation(arrival, self.context.clock.time(), client_attempt)
        if gateway.alive:
            gateway.deliver(gateway.submit, operation)
        else:
            self._on_answer(gateway, operation, ClientOutcome.LOST, 0)

    def _on_answer(
        self,
        gateway: SimulatedGateway,
        operation: SimulatedOperation,
        outcome: ClientOutcome,
        retry_after: float,
    ) -> None:
        """Handles a final answer, or the loss of it: the client retries or the operation is complete."""
        context, arrival = self.context, operation.arrival
        now = context.clock.time()
        if operation.op_id and outcome is not ClientOutcome.LOST:
            context.recorder.record(
                "answer", session=gateway.session, number=operation.number, status=0, text=outcome
            )
        request_class = context.deployment.settings.request_classes[arrival.request_class]
        retry_at = client.next_attempt_at(now, retry_after, context.generator)
        give_up_at = client.gives_up_at(arrival.at + START, request_class)
        if client.should_retry(outcome, operation.client_attempt, retry_at, give_up_at):
            context.clock.call_at(retry_at, self._send, arrival, operation.client_attempt + 1)
            return
        self.completed.append(
            CompletedOperation(
                arrival.at,
                arrival.volume,
                arrival.request_class,
                arrival.units,
                now - START - arrival.at,
                outcome,
                operation.client_attempt,
            )
        )

    def _sample(self) -> None:
        clock, limits = self.context.clock, self._concurrency_limits()
        nodes = {
            name: NodeSample(node.service_model.in_flight if node.alive else 0, _upper_median(limits[name]))
            for name, node in self.nodes.items()
        }
        self.samples.append(Sample(clock.time() - START, nodes))
        clock.call_later(SAMPLE_INTERVAL, self._sample)

    def _concurrency_limits(self) -> dict[str, list[float]]:
        """The sampled gateways' limits for each node; baseline schedulers have none."""
        limits = defaultdict(list)
        for gateway in self.gateways[:SAMPLED_GATEWAYS]:
            endpoints = getattr(gateway.scheduler, "endpoints", None)
            if endpoints is not None:
                for name, node in endpoints.nodes.items():
                    limits[name].append(node.limit.size)
        return limits


def _upper_median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0
