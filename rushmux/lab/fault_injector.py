"""Injects the faults of a day into the nodes, gateways and endpoint updates of a scheduler simulation."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from rushmux.lab.faults import FaultEvent, FaultKind
from rushmux.lab.fleet import REPLACEMENT_DELAY
from rushmux.lab.simulated_gateway import SimulatedGateway
from rushmux.lab.simulated_node import SimulatedNode
from rushmux.scheduling.interface import EndpointState
from rushmux.standins.service_model import run_noisy_neighbour

if TYPE_CHECKING:
    from rushmux.lab.scheduler_simulation import SchedulerSimulation


EndFault = Callable[[], None]


class FaultInjector:
    """Starts the faults of a simulation and ends them after their duration.

    Kinds that only change the workload, such as surges and hot keys, have no handler: `workload` applies
    them to the arrivals.
    """

    def __init__(self, simulation: "SchedulerSimulation"):
        self.simulation, self.clock = simulation, simulation.context.clock
        self._handlers: dict[FaultKind, Callable[..., EndFault | None]] = {
            FaultKind.SILENT: self._start_silence,
            FaultKind.SLOW: self._start_slowness,
            FaultKind.ERRORS: self._start_errors,
            FaultKind.MESSAGE_LOSS: self._start_message_loss,
            FaultKind.CONNECTION_RESET: self._reset_connections,
            FaultKind.NOISY_NEIGHBOUR: self._start_noisy_neighbour,
            FaultKind.NODE_RESTART: self._restart_node,
            FaultKind.DRAIN: self._drain_node,
            FaultKind.PARTITION: self._start_partition,
            FaultKind.DISCOVERY_LAG: self._start_discovery_lag,
            FaultKind.USAGE_REPORT_LOSS: self._start_usage_report_loss,
            FaultKind.GATEWAY_CRASH: self._crash_gateway,
            FaultKind.GATEWAY_PAUSE: self._pause_gateway,
        }

    def inject(self, event: FaultEvent) -> None:
        """Starts a fault on all its targets and sets timers to end it."""
        handler = self._handlers.get(event.kind)
        if handler is None:
            return
        ends = [handler(event, self._target(target)) for target in event.targets]
        for end in ends:
            if end is not None and event.duration:
                self.clock.call_later(event.duration, end)

    def _target(self, target: str | int) -> SimulatedGateway | SimulatedNode | None:
        """Returns the gateway of a number or the node of a name; None for the endpoint list."""
        if isinstance(target, int):
            return self.simulation.gateways[target]
        return self.simulation.nodes.get(target)

    def _start_silence(self, _event: FaultEvent, node: SimulatedNode) -> EndFault:
        node.silent = True
        return lambda: setattr(node, "silent", False)

    def _start_partition(self, _event: FaultEvent, target: SimulatedGateway | SimulatedNode) -> EndFault:
        target.partitioned = True
        return lambda: setattr(target, "partitioned", False)

    def _start_usage_report_loss(self, _event: FaultEvent, node: SimulatedNode) -> EndFault:
        node.omits_usage = True
        return lambda: setattr(node, "omits_usage", False)

    def _start_errors(self, event: FaultEvent, node: SimulatedNode) -> EndFault:
        node.error_rate = min(1.0, event.size)
        return lambda: setattr(node, "error_rate", 0.0)

    def _start_message_loss(self, event: FaultEvent, node: SimulatedNode) -> EndFault:
        node.loss_rate = min(1.0, event.size)
        return lambda: setattr(node, "loss_rate", 0.0)

    def _start_slowness(self, event: FaultEvent, node: SimulatedNode) -> EndFault:
        node.service_model.slowdown = event.size
        # After a restart the node has a new service model, which is not slow.
        return lambda: setattr(node.service_model, "slowdown", 1.0)

    def _start_noisy_neighbour(self, event: FaultEvent, node: SimulatedNode) -> None:
        run_noisy_neighbour(
            self.clock, lambda: node.service_model, event.size, self.clock.time() + event.duration
        )

    def _reset_connections(self, _event: FaultEvent, node: SimulatedNode) -> None:
        node.reset_connections()

    def _restart_node(self, event: FaultEvent, node: SimulatedNode) -> None:
        if node.alive:
            node.stop()
            self.clock.call_later(event.duration, self._start_node, node)

    def _drain_node(self, _event: FaultEvent, node: SimulatedNode) -> None:
        simulation = self.simulation
        simulation.publish_state(node, EndpointState.DRAINING)
        grace = simulation.context.deployment.drain_grace + simulation.discovery_lag
        self.clock.call_later(grace + REPLACEMENT_DELAY, self._replace_node, node)

    def _start_discovery_lag(self, event: FaultEvent, _target: None) -> EndFault:
        previous, self.simulation.discovery_lag = self.simulation.discovery_lag, event.size
        return lambda: setattr(self.simulation, "discovery_lag", previous)

    def _crash_gateway(self, event: FaultEvent, gateway: SimulatedGateway) -> None:
        if gateway.alive:
            gateway.crash()
            self.clock.call_later(event.duration, gateway.start)

    def _pause_gateway(self, event: FaultEvent, gateway: SimulatedGateway) -> None:
        gateway.paused_until = self.clock.time() + event.duration

    def _start_node(self, node: SimulatedNode) -> None:
        node.start()
        self.simulation.publish_state(node, EndpointState.READY)

    def _replace_node(self, node: SimulatedNode) -> None:
        """Moves the data of a drained node to a new machine, which begins in slow start."""
        if node.alive:
            node.stop()
        self._start_node(node)
