"""An emulated storage node of the scheduler simulation, across its restarts."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from rushmux.lab.fleet import node_name
from rushmux.lab.simulated_network import SimulatedAttempt, SimulatedNetwork
from rushmux.lab.simulation_context import SimulationContext
from rushmux.nodewire import messages
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import AttemptResult, Endpoint, EndpointState
from rushmux.standins.service_model import ServiceModel, Shape
from rushmux.standins.usage_meter import UsageMeter

if TYPE_CHECKING:
    from rushmux.lab.simulated_gateway import SimulatedGateway

IDLE_TIMEOUT = 30.0  # seconds after which a node closes an unused connection


class SimulatedNode:
    """Receives attempts, runs them on an emulated machine, and replies.

    Attributes:
        endpoint: Its last published entry of the endpoint list.
        silent: Whether it accepts attempts without answering.
        partitioned: Whether no message gets through.
        omits_usage: Whether its replies omit the usage through other gateways.
        error_rate: Fraction of the attempts that fail.
        loss_rate: Fraction of the attempts that are lost.
        connections: Time of the last use (seconds) by each connected gateway's number.
    """

    def __init__(
        self,
        context: SimulationContext,
        network: SimulatedNetwork,
        *,
        cell: int,
        zone: str,
        machine: Shape,
        on_state_change: Callable[["SimulatedNode", EndpointState], None],
    ):
        self.context, self.network, self.on_state_change = context, network, on_state_change
        self.name, self.cell, self.zone, self.machine = node_name(cell), cell, zone, machine
        self.endpoint = Endpoint(self.name, cell, zone, EndpointState.READY, 0)
        self.start_count = 0
        self.in_flight: dict[SimulatedAttempt, bool] = {}
        self.usage_meter = UsageMeter()
        self.silent = self.partitioned = self.omits_usage = False
        self.error_rate = self.loss_rate = 0.0
        self.connections: dict[int, float] = {}
        self.start(cold=False)

    def start(self, cold: bool = True) -> None:
        """Starts its process, in slow start if `cold`, as after a restart."""
        context = self.context
        self.start_count += 1
        self.alive = True
        self.service_model = ServiceModel(
            self.machine,
            random.Random(f"{context.seed}/{self.name}/{self.start_count}"),
            cold,
            self._on_overload,
            context.clock,
        )
        self.online_since = context.clock.time() if cold else 0.0
        context.recorder.record(
            "start",
            node=self.name,
            cell=self.cell,
            cold=cold,
            start=str(self.start_count),
            per_second=self.service_model.units_per_second(),
            cold_start=self.machine.cold_start,
            warm_within=self.machine.warm_within,
        )

    def _on_overload(self) -> None:
        self.context.recorder.record("fell", node=self.name)
        self.stop()

    def stop(self) -> None:
        """Kills its process: resets its connections and publishes its removal."""
        self.alive = False
        self.service_model.stop()
        self.context.recorder.record("killed", node=self.name)
        self.reset_connections()
        self.on_state_change(self, EndpointState.REMOVED)

    def reset_connections(self) -> None:
        """Resets all connections; the attempts in flight on them are lost."""
        self.context.recorder.record("reset", node=self.name)
        in_flight, self.in_flight = self.in_flight, {}
        for attempt in in_flight:
            self.network.reply(self, attempt, AttemptResult.CONNECTION_LOST)

    def accepts_connection(self, gateway: "SimulatedGateway") -> bool:
        """Whether a gateway has a connection or can open one; records its use."""
        if not self.alive or self.partitioned or gateway.partitioned:
            return False
        limit, now = self.context.fleet.max_connections, self.context.clock.time()
        if limit and gateway.number not in self.connections and len(self.connections) >= limit:
            self._close_idle_connections(now)
            if len(self.connections) >= limit:
                return False
        self.connections[gateway.number] = now
        return True

    def _close_idle_connections(self, now: float) -> None:
        idle = [number for number, used_at in self.connections.items() if used_at < now - IDLE_TIMEOUT]
        for number in idle:
            del self.connections[number]

    def on_attempt(self, attempt: SimulatedAttempt) -> None:
        """Handles an attempt that arrives."""
        if not self.alive:
            self.network.reply(self, attempt, AttemptResult.CONNECTION_LOST)
            return
        self._record_attempt(attempt)
        self.in_flight[attempt] = True
        generator = self.context.generator
        if self.loss_rate and generator.random() < self.loss_rate:
            return
        if self.error_rate and generator.random() < self.error_rate:
            self._answer(attempt, AttemptResult.FAILED, messages.FAILED)
            return
        self._run(attempt)

    def _record_attempt(self, attempt: SimulatedAttempt) -> None:
        arrival = attempt.operation.arrival
        self.context.recorder.record(
            "execution",
            node=self.name,
            cell=self.cell,
            edge=attempt.gateway.name,
            op=attempt.operation.op_id,
            execution=attempt.number,
            volume=arrival.volume,
            lane=arrival.request_class,
            key=arrival.key,
            units=arrival.units,
            what="write" if arrival.is_write else "read",
            time_out=attempt.timeout,
        )

    def _run(self, attempt: SimulatedAttempt) -> None:
        arrival = attempt.operation.arrival

        def on_done(dropped: bool) -> None:
            if not dropped:
                self._answer(attempt, AttemptResult.SUCCEEDED, messages.DONE)

        timeout = attempt.timeout / TICKS_PER_SECOND
        accepted = self.service_model.submit(arrival.units, arrival.key, arrival.is_write, timeout, on_done)
        if not accepted and self.alive:
            self._answer(attempt, AttemptResult.REJECTED, messages.BUSY)

    def _answer(self, attempt: SimulatedAttempt, result: AttemptResult, wire_code: int) -> None:
        if self.silent or not self.alive:
            return
        self.in_flight.pop(attempt, None)
        operation, remote_usage = attempt.operation, 0.0
        if result is AttemptResult.SUCCEEDED:
            arrival = operation.arrival
            remote_usage = self.usage_meter.add(arrival.volume, attempt.gateway.name, arrival.units)
        self.context.recorder.record(
            "outcome", node=self.name, op=operation.op_id, execution=attempt.number, code=wire_code
        )
        self.network.reply(self, attempt, result, 0.0 if self.omits_usage else remote_usage)
