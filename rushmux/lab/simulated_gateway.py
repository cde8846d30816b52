"""An emulated gateway with the real scheduler on the simulated clock."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from rushmux.lab.client import ClientOutcome
from rushmux.lab.fleet import zone_name
from rushmux.lab.simulated_network import SimulatedAttempt, SimulatedNetwork
from rushmux.lab.simulated_node import SimulatedNode
from rushmux.lab.simulation_context import SimulationContext
from rushmux.lab.timer_loop import Timer
from rushmux.lab.workload import Arrival
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import (
    AttemptReport,
    AttemptResult,
    Endpoint,
    OperationRequest,
    Ticks,
    UpdateKind,
    VolumeEvent,
)
from rushmux.standins.service_model import LoadSample

SEED_BITS = 48  # of a scheduler's seed


@dataclass(eq=False, slots=True)
class SimulatedOperation:
    """One attempt of a client's operation at its gateway."""

    arrival: Arrival
    sent_at: float
    """Simulated time, in seconds."""
    client_attempt: int
    op_id: str = ""
    """"" until the gateway accepts it."""
    number: int = 0
    attempts_started: int = 0
    timeouts: dict[int, Timer] = field(default_factory=dict)
    """The timer of each attempt in flight, by its number."""
    answered: bool = False


OnAnswer = Callable[["SimulatedGateway", SimulatedOperation, ClientOutcome, float], None]
"""Called with the final answer of an operation and the Retry-After in seconds (0: none)."""


class SimulatedGateway:
    """Delivers events to a scheduler in rounds and carries out its decisions (`SchedulerActions`).

    Attributes:
        partitioned: Whether no message gets through.
        paused_until: Simulated time at which its process runs again.
    """

    def __init__(
        self,
        context: SimulationContext,
        network: SimulatedNetwork,
        *,
        number: int,
        nodes: Mapping[str, SimulatedNode],
        make_scheduler: Callable,
        on_answer: OnAnswer,
    ):
        self.context, self.network, self.nodes = context, network, nodes
        self.make_scheduler, self.on_answer = make_scheduler, on_answer
        self.number, self.zone, self.name = number, zone_name(number, context.fleet), f"edge{number}"
        self.start_count, self.paused_until, self.partitioned = 0, 0.0, False
        self.start()

    def start(self) -> None:
        """Starts its process with no state except the endpoint list."""
        self.start_count += 1
        self.alive = True
        self.operations: dict[str, SimulatedOperation] = {}
        self.operation_count = 0
        self.wake_timer: Timer | None = None
        self.round_scheduled = False
        self.op_id_prefix = f"{self.name}.{self.start_count:x}"
        context = self.context
        seed = random.Random(f"{context.seed}/{self.op_id_prefix}").getrandbits(SEED_BITS)
        self.scheduler = self.make_scheduler(context.deployment.settings, seed, self.now(), self)
        self.update_endpoints([node.endpoint for node in self.nodes.values()], UpdateKind.SNAPSHOT)

    def now(self) -> Ticks:
        """The simulated time."""
        return int(self.context.clock.time() * TICKS_PER_SECOND)

    def crash(self) -> None:
        """Kills its process; its operations are lost."""
        self.context.recorder.record("killed", edge=self.name, start=f"{self.start_count:x}")
        self.alive = False
        operations, self.operations = self.operations, {}
        for operation in operations.values():
            if not operation.answered:
                operation.answered = True
                self.on_answer(self, operation, ClientOutcome.LOST, 0)

    def deliver(self, handler: Callable, *arguments: Any) -> None:
        """Handles an event, after any pause, and runs a round after all events due now."""
        clock = self.context.clock
        if clock.time() < self.paused_until:
            clock.call_at(self.paused_until, self.deliver, handler, *arguments)
            return
        if not self.alive:
            return
        handler(*arguments)
        if not self.round_scheduled:
            self.round_scheduled = True
            clock.call_soon(self._run_round)

    def _run_round(self) -> None:
        self.round_scheduled = False
        if self.alive:
            self.scheduler.run_round(self.now())

    def update_endpoints(self, endpoints: Sequence[Endpoint], kind: UpdateKind = UpdateKind.DELTA) -> None:
        """Handles an update of the endpoint list."""
        self.context.recorder.record(
            "told",
            edge=self.name,
            start=f"{self.start_count:x}",
            nodes=[[endpoint.node, endpoint.state] for endpoint in endpoints],
        )
        self.scheduler.on_endpoints(self.now(), kind, endpoints)

    def submit(self, operation: SimulatedOperation) -> None:
        """Accepts an operation of a client."""
        if not self.alive:
            self.on_answer(self, operation, ClientOutcome.LOST, 0)
            return
        self.operation_count += 1
        operation.number = self.operation_count
        operation.op_id = f"{self.op_id_prefix}.{self.operation_count}/c.{self.operation_count}"
        self.operations[operation.op_id] = operation
        self._record_operation(operation)
        arrival, deployment = operation.arrival, self.context.deployment
        request = OperationRequest(
            op_id=operation.op_id,
            request_class=arrival.request_class,
            plan=deployment.folders[arrival.volume].plan,
            volume=arrival.volume,
            key=arrival.key,
            time_left=self._time_left(operation),
            units=arrival.units,
            cell=arrival.cell,
            gateway_count=deployment.edge_count(arrival.volume),
            is_retry=False,
        )
        self.scheduler.on_operation(self.now(), request)

    def _record_operation(self, operation: SimulatedOperation) -> None:
        recorder = self.context.recorder
        recorder.record("took", edge=self.name, start=f"{self.start_count:x}")
        recorder.record(
            "ask", session=self.session, number=operation.number, what=operation.arrival.request_class
        )

    @property
    def session(self) -> str:
        """Session of the clients since the last start, as in the records."""
        return f"{self.op_id_prefix}/c"

    def _time_left(self, operation: SimulatedOperation) -> Ticks:
        """Time left to the client's deadline; a paused gateway may have used some."""
        arrival = operation.arrival
        request_class = self.context.deployment.settings.request_classes[arrival.request_class]
        time_left = int(request_class.deadline * arrival.deadline_fraction)
        waited = int((self.context.clock.time() - operation.sent_at) * TICKS_PER_SECOND)
        return max(0, time_left - waited)

    def on_reply(
        self,
        operation: SimulatedOperation,
        number: int,
        result: AttemptResult,
        remote_usage: float = 0.0,
    ) -> None:
        """Handles the result of an attempt; ignored if the attempt is no longer in flight."""
        if number not in operation.timeouts or not operation.op_id.startswith(self.op_id_prefix):
            return
        operation.timeouts.pop(number).cancel()
        if result is AttemptResult.SUCCEEDED and not operation.answered:
            self._answer(operation, ClientOutcome.SUCCEEDED, 0)
        report = AttemptReport(
            op_id=operation.op_id,
            attempt=number,
            result=result,
            operation_ended=operation.answered,
            fleet_usage=0,
            remote_usage=remote_usage,
        )
        self.scheduler.on_attempt_result(self.now(), report)
        self._forget_if_done(operation)

    def _answer(self, operation: SimulatedOperation, outcome: ClientOutcome, retry_after: float) -> None:
        if not operation.answered:
            operation.answered = True
            self.on_answer(self, operation, outcome, retry_after)
            self._forget_if_done(operation)

    def _forget_if_done(self, operation: SimulatedOperation) -> None:
        if operation.answered and not operation.timeouts:
            self.operations.pop(operation.op_id, None)

    def start_attempt(self, op_id: str, node: str, timeout: Ticks) -> None:
        """Sends an attempt of an operation to a node."""
        operation = self.operations[op_id]
        number = operation.attempts_started
        operation.attempts_started += 1
        operation.timeouts[number] = self.context.clock.call_later(
            timeout / TICKS_PER_SECOND,
            self.deliver,
            self.on_reply,
            operation,
            number,
            AttemptResult.TIMED_OUT,
        )
        self.network.send(self.nodes[node], SimulatedAttempt(self, operation, number, timeout))

    def shed(self, op_id: str, retry_after: Ticks) -> None:
        """Tells the client that its operation did not and will not run."""
        self._answer(self.operations[op_id], ClientOutcome.SHED, retry_after / TICKS_PER_SECOND)

    def fail(self, op_id: str) -> None:
        """Tells the client that its operation was abandoned and may have run."""
        self._answer(self.operations[op_id], ClientOutcome.FAILED, 0)

    def cancel_attempt(self, op_id: str, attempt: int) -> None:
        """Cancels an attempt in flight."""
        operation = self.operations[op_id]
        self.context.clock.call_soon(self.deliver, self.on_reply, operation, attempt, AttemptResult.CANCELLED)

    def request_load_report(self, node: str) -> None:
        """Requests a node's load; the report arrives in the next round."""
        target = self.nodes.get(node)
        load = target.service_model.load_sample() if target is not None and target.alive else None
        self.context.clock.call_soon(self.deliver, self._on_load_report, node, load)

    def _on_load_report(self, node: str, load: LoadSample | None) -> None:
        if load is None:
            self.scheduler.on_load_report(node, AttemptResult.CONNECT_FAILED, None, None)
        else:
            self.scheduler.on_load_report(node, AttemptResult.SUCCEEDED, load.queue, load.service)

    def wake_after(self, delay: Ticks) -> None:
        """Schedules a round after a delay; replaces an earlier request."""
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        self.wake_timer = self.context.clock.call_later(delay / TICKS_PER_SECOND, self.deliver, self._on_wake)

    def _on_wake(self) -> None:
        """Has nothing to do: `deliver` runs the round."""

    def poll_endpoints(self) -> None:
        """Does nothing: updates of the endpoint list are pushed."""

    def report_volume(self, event: VolumeEvent) -> None:
        """Does nothing: a simulation has no log."""
