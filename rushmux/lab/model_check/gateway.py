"""A modelled gateway: the real scheduler, with rounds and connections that may be late."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from rushmux.lab.client import ClientOutcome
from rushmux.lab.model_check.rule_monitor import ModelAttempt
from rushmux.scheduling.interface import (
    AttemptReport,
    AttemptResult,
    Endpoint,
    OperationRequest,
    Ticks,
    UpdateKind,
    VolumeEvent,
)

if TYPE_CHECKING:
    from rushmux.lab.model_check.schedule import Schedule

SEED_STRIDE, GATEWAY_STRIDE = 64, 8  # give every start of a schedule's gateways a seed of its own


class ModelGateway:
    """Passes events to a scheduler and carries out its decisions (`SchedulerActions`)."""

    def __init__(self, schedule: "Schedule", number: int):
        self.schedule, self.number = schedule, number
        self.last_round_at, self.start_count = 0, 0
        self.start()

    def start(self) -> None:
        """Starts or restarts the gateway with no state."""
        schedule = self.schedule
        self.start_count += 1
        self.in_flight: dict[str, set[int]] = defaultdict(set)  # attempt numbers by operation
        self.attempts_started: dict[str, int] = defaultdict(int)
        self.answered: dict[str, bool] = {}
        seed = schedule.seed * SEED_STRIDE + self.number * GATEWAY_STRIDE + self.start_count
        self.scheduler = schedule.make_scheduler(schedule.bounds.settings, seed, schedule.now, self)

    def deliver(self, at: Ticks, handler: Callable, *arguments: Any) -> None:
        """Delivers an event to the gateway at a time; the round that handles it may be late.

        A restart before that round loses the event.
        """
        schedule, start = self.schedule, self.start_count

        def run_round() -> None:
            if start == self.start_count:
                handler(*arguments)
                self.scheduler.run_round(schedule.now)

        def on_arrival() -> None:
            lateness = schedule.choices.choose(schedule.round_delays)
            self.last_round_at = max(self.last_round_at, schedule.now + lateness)
            schedule.call_at(self.last_round_at, run_round)

        schedule.call_at(at, on_arrival)

    def update_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Handles an update of the endpoint list."""
        self.scheduler.on_endpoints(self.schedule.now, UpdateKind.DELTA, endpoints)

    def submit(self, request: OperationRequest, deadline_at: Ticks) -> None:
        """Accepts an operation of a client; `request.time_left` is set from the deadline."""
        schedule = self.schedule
        # A late round has already used up part of the client's time.
        time_left = max(0, deadline_at - schedule.now)
        schedule.history.add(f"gateway {self.number} accepts {request.op_id}")
        schedule.monitor.on_submit(self.number)
        self.scheduler.on_operation(schedule.now, request._replace(time_left=time_left))

    def on_reply(self, op_id: str, number: int, result: AttemptResult) -> None:
        """Handles the reply, timeout or cancellation of an attempt, unless it is no longer in flight."""
        if number not in self.in_flight[op_id]:
            return
        self.in_flight[op_id].remove(number)
        if result is AttemptResult.SUCCEEDED and op_id not in self.answered:
            self._answer(op_id, ClientOutcome.SUCCEEDED)
        report = AttemptReport(
            op_id=op_id,
            attempt=number,
            result=result,
            operation_ended=op_id in self.answered,
            fleet_usage=self.schedule.choices.choose(self.schedule.usage_values, uniform=True),
            remote_usage=0.0,
        )
        self.scheduler.on_attempt_result(self.schedule.now, report)

    def _answer(self, op_id: str, outcome: ClientOutcome) -> None:
        self.answered[op_id] = True
        self.schedule.on_answer(op_id, outcome)

    def start_attempt(self, op_id: str, node: str, timeout: Ticks) -> None:
        """Sends an attempt to a node, perhaps after a wait for a connection."""
        schedule, now = self.schedule, self.schedule.now
        attempt = ModelAttempt(self.number, op_id, self.attempts_started[op_id], node, now)
        self.attempts_started[op_id] += 1
        in_flight = self.in_flight[op_id]
        schedule.on_attempt_start(attempt, op_id in self.answered, len(in_flight))
        in_flight.add(attempt.number)
        dial_time = schedule.choices.choose(schedule.dial_times)
        dial_time = min(dial_time, timeout + schedule.bounds.settings.round_interval)
        self.deliver(now + timeout, self.on_reply, op_id, attempt.number, AttemptResult.TIMED_OUT)

        def on_connected() -> None:
            # An attempt that ends while it waits for a connection is never sent.
            if attempt.number in self.in_flight[op_id] or not dial_time:
                schedule.send(attempt)

        schedule.call_at(now + dial_time, on_connected)

    def shed(self, op_id: str, retry_after: Ticks) -> None:
        """Answers that an operation did not run and will not."""
        self._answer(op_id, ClientOutcome.SHED)

    def fail(self, op_id: str) -> None:
        """Answers that an operation failed and may have run."""
        self._answer(op_id, ClientOutcome.FAILED)

    def cancel_attempt(self, op_id: str, attempt: int) -> None:
        """Cancels an attempt in flight."""
        self.deliver(self.schedule.now, self.on_reply, op_id, attempt, AttemptResult.CANCELLED)

    def poll_endpoints(self) -> None:
        """Does nothing: the schedule sends all updates of the endpoint list."""

    def request_load_report(self, node: str) -> None:
        """Does nothing: loads only change concurrency limits, on which no rule depends."""

    def report_volume(self, event: VolumeEvent) -> None:
        """Does nothing: no rule uses these events."""

    def wake_after(self, delay: Ticks) -> None:
        """Runs a round after a delay."""
        self.deliver(self.schedule.now + delay, self._on_wake)

    def _on_wake(self) -> None:
        """Has no event to handle; `deliver` runs the round."""
