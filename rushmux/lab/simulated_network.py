"""The emulated network between gateways and nodes: one-way delays and partitions."""

from typing import TYPE_CHECKING, NamedTuple

from rushmux.lab.simulation_context import SimulationContext
from rushmux.scheduling.interface import AttemptResult, Ticks

if TYPE_CHECKING:
    from rushmux.lab.simulated_gateway import SimulatedGateway, SimulatedOperation
    from rushmux.lab.simulated_node import SimulatedNode

IN_ZONE_DELAY = (0.0002, 0.0015)  # seconds one way within a zone
CROSS_ZONE_DELAY = (0.0008, 0.003)  # seconds one way between two
CONNECT_FAILURE_DELAY = IN_ZONE_DELAY[1]  # seconds until a gateway knows that it got no connection


class SimulatedAttempt(NamedTuple):
    """An attempt on its way from a gateway to a node."""

    gateway: "SimulatedGateway"
    operation: "SimulatedOperation"
    number: int
    timeout: Ticks


class SimulatedNetwork:
    """Carries attempts to nodes and replies to gateways, each after a drawn delay."""

    def __init__(self, context: SimulationContext):
        self.clock, self.generator = context.clock, context.generator

    def send(self, node: "SimulatedNode", attempt: SimulatedAttempt) -> None:
        """Carries an attempt to a node, or tells its gateway that there is no connection."""
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
        """Carries a result back, unless a partition is between the two."""
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
