"""The emulated network between gateways and nodes, with one-way delays and partitions."""

from typing import TYPE_CHECKING, NamedTuple

from rushmux.lab.simulation_context import SimulationContext
from rushmux.scheduling.interface import AttemptResult, Ticks

if TYPE_CHECKING:
    from rushmux.lab.simulated_gateway import SimulatedGateway, SimulatedOperation
    from rushmux.lab.simulated_node import SimulatedNode

IN_ZONE_DELAY = (0.0002, 0.0015)  # one-way seconds within a zone
CROSS_ZONE_DELAY = (0.0008, 0.003)  # one-way seconds between two zones
CONNECT_FAILURE_DELAY = IN_ZONE_DELAY[1]  # seconds until a gateway notices it


class SimulatedAttempt(NamedTuple):
    """An attempt sent from a gateway to a node."""

    gateway: "SimulatedGateway"
    operation: "SimulatedOperation"
    number: int
    timeout: Ticks


class SimulatedNetwork:
    """Delivers attempts to nodes and replies to gateways, each after a random delay."""

    def __init__(self, context: SimulationContext):
        self.clock, self.generator = context.clock, context.generator

    def send(self, node: "SimulatedNode", attempt: SimulatedAttempt) -> None:
        """Delivers an attempt to a node, or a connection failure to its gateway."""
        gateway = attempt.gateway
        if not node.accepts_connection(gateway):
            self.clock.call_later(
                CONNECT_FAILURE_DELAY,
                gateway.deliver,
                gateway.on_reply,
                attempt.operation,
                attempt.number,
                AttemptResult.CONNECT_FAILED,
            )
            return
        self.clock.call_later(self._draw_delay(gateway, node), node.on_attempt, attempt)

    def reply(
        self,
        node: "SimulatedNode",
        attempt: SimulatedAttempt,
        result: AttemptResult,
        remote_usage: float = 0.0,
    ) -> None:
        """Delivers a result to the gateway, unless either end is partitioned."""
        gateway = attempt.gateway
        if node.partitioned or gateway.partitioned:
            return
        self.clock.call_later(
            self._draw_delay(gateway, node),
            gateway.deliver,
            gateway.on_reply,
            attempt.operation,
            attempt.number,
            result,
            remote_usage,
        )

    def _draw_delay(self, gateway: "SimulatedGateway", node: "SimulatedNode") -> float:
        span = IN_ZONE_DELAY if gateway.zone == node.zone else CROSS_ZONE_DELAY
        return self.generator.uniform(*span)
