"""Runs the scheduler on an event loop and carries out its decisions.

The driver makes no decisions and is independent of the wire protocol.  It collects events and delivers them
in rounds, which `run_round` closes, at least `round_interval` apart.  A gateway derives from
`OperationDriver`, passes operations to `submit`, and implements `send_attempt`.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

from rushmux.scheduling.interface import (
    MAY_STILL_RUN,
    NEVER_RAN,
    AttemptReport,
    AttemptResult,
    Endpoint,
    Idempotency,
    OperationRequest,
    SchedulerSettings,
    Ticks,
    UpdateKind,
    VolumeEvent,
)
from rushmux.scheduling.scheduler import Scheduler

TICKS_PER_SECOND = 10_000
PAUSE_THRESHOLD = 0.001  # seconds: a timer later than this shows that this process was paused
TIMEOUT_GRACE = 0.002  # seconds to read the sockets before a timeout after a pause
NEVER = float("inf")  # later than any time of the loop


class FinalAnswer(Enum):
    """The final answer to an operation's client."""

    SUCCEEDED = "succeeded"
    SHED = "shed"
    """The operation did not and will not run."""
    FAILED = "terminated"
    """The operation may have run."""


class AttemptHandle(Protocol):
    """A gateway's handle of an attempt in flight."""

    sent: bool
    """Whether all its bytes have left this process."""

    def drop(self) -> None:
        """Abandons the attempt; no reply follows."""

    def cancel(self) -> None:
        """Cancels the attempt, at its node too if the protocol can."""


class Attempt(NamedTuple):
    """An attempt in flight."""

    node: str
    timer: asyncio.TimerHandle | None
    decided_at: Ticks
    handle: AttemptHandle | None


class AttemptReply(NamedTuple):
    """The outcome of an attempt, with the contents of the node's answer."""

    result: AttemptResult
    value: Any = None
    fleet_usage: int = 0
    remote_usage: float = 0.0


@dataclass(eq=False, slots=True)
class InFlightOperation:
    """An operation from `submit` until its last attempt has finished."""

    request: OperationRequest
    payload: Any
    """The data from which the gateway builds an attempt's message."""
    client_deadline: float
    """The loop time at which its client stops waiting."""
    on_answer: Callable[[FinalAnswer, Any, Ticks], None]
    deadline_timer: asyncio.TimerHandle
    ended: bool = False
    attempts_started: int = 0
    attempts: dict[int, Attempt] = field(default_factory=dict)
    may_have_run_at: Ticks | None = None
    """When the first unsuccessful attempt that may have run was decided."""
    may_have_run: bool = False


class OperationDriver:
    """Connects a scheduler to the event loop, for one start of a gateway (`interface.SchedulerActions`)."""

    def __init__(self, settings: SchedulerSettings, seed: int, log, scheduler_type: Callable = Scheduler):
        self.settings, self.log = settings, log
        self.loop = asyncio.get_running_loop()
        self.operations: dict[str, InFlightOperation] = {}
        self.pending_events: list[tuple[Callable, tuple]] = []
        self.round_scheduled = False
        self.last_round_at = 0.0
        self.wake_timer: asyncio.TimerHandle | None = None
        self.attempt_results: Counter[AttemptResult] = Counter()
        self.scheduler = scheduler_type(settings, seed, self.now(), self)

    def now(self) -> Ticks:
        """Returns the loop time in ticks."""
        return int(self.loop.time() * TICKS_PER_SECOND)

    # Implemented by gateways.

    def send_attempt(
        self, number: int, node: str, operation: InFlightOperation, timeout: Ticks, latest_start: float
    ) -> AttemptHandle | None:
        """Starts sending an attempt; calls `on_reply` once, later.

        It may wait for a connection, but must write its first byte before the loop time `latest_start` or
        never.  Returns the attempt's handle, if any.
        """
        raise NotImplementedError

    def answer_value(self, op_id: str, node: str, value: Any) -> Any:
        """Returns the value for the client of a successful operation."""
        return value

    def on_operation_finished(self, operation: InFlightOperation) -> None:
        """Releases what the gateway holds for an operation whose last attempt has finished."""

    # Events: each waits for its round, since the scheduler must not be called from within its own calls.

    def enqueue(self, handler: Callable, *values) -> None:
        """Schedules `handler(now, *values)` for the next round."""
        self.pending_events.append((handler, values))
        if self.round_scheduled:
            return
        self.round_scheduled = True
        wait = self.last_round_at + self.settings.round_interval / TICKS_PER_SECOND - self.loop.time()
        if wait > 0:
            self.loop.call_later(wait, self.run_round)
        else:
            self.loop.call_soon(self.run_round)

    def run_round(self) -> None:
        """Delivers all pending events to the scheduler and closes the round."""
        self.round_scheduled, self.last_round_at, now = False, self.loop.time(), self.now()
        events, self.pending_events = self.pending_events, []
        for handler, values in events:
            handler(now, *values)
        self.call_scheduler(None, self.scheduler.run_round, now)

    def call_scheduler(self, op_id: str | None, call: Callable, *values) -> None:
        """Calls the scheduler; an exception is logged and aborts one operation, not the gateway."""
        try:
            call(*values)
        except Exception:  # of any kind: all other operations continue
            self.log.exception("scheduler.fault", op=op_id)
            if op_id is not None:
                self.abort(op_id)

    def update_endpoints(self, kind: UpdateKind, endpoints: Iterable[Endpoint]) -> None:
        """Delivers the endpoint list or an update of it."""
        self.enqueue(lambda now: self.call_scheduler(None, self.scheduler.on_endpoints, now, kind, endpoints))

    def submit(
        self, request: OperationRequest, payload: Any, client_deadline: float, on_answer: Callable
    ) -> None:
        """Accepts an operation whose client waits until the loop time `client_deadline`.

        `on_answer(answer, value, retry_after)` is called once, with a `FinalAnswer`.  The request's
        `time_left` is computed when its round begins.
        """
        deadline = self.settings.request_classes[request.request_class].deadline
        latest = self.loop.time() + (deadline + self.settings.round_interval) / TICKS_PER_SECOND
        timer = self.loop.call_at(min(latest, client_deadline), self._on_deadline, request.op_id)
        self.operations[request.op_id] = InFlightOperation(
            request, payload, client_deadline, on_answer, timer
        )
        # During a pause of this process a client may have sent a request and disconnected.  The second call
        # lets the loop notice the disconnect before the round begins.
        self.loop.call_soon(self.loop.call_soon, self.enqueue, self._deliver_operation, request.op_id)

    def _deliver_operation(self, now: Ticks, op_id: str) -> None:
        operation = self.operations.get(op_id)
        if operation is None or operation.ended:  # its client left before the round began
            return
        request = operation.request
        deadline = self.settings.request_classes[request.request_class].deadline
        # A late round has used up part of the client's time already.
        time_left = int(operation.client_deadline * TICKS_PER_SECOND) - now
        request = request._replace(time_left=max(0, min(deadline, time_left)))
        self.call_scheduler(op_id, self.scheduler.on_operation, now, request)

    def client_gone(self, op_id: str) -> None:
        """Ends an operation whose client disconnected; no answer is sent."""
        operation = self.operations.get(op_id)
        if operation is not None:
            operation.ended = True
            self._cancel_unsent(operation)
            self.enqueue(self._deliver_client_gone, op_id)

    def abort(self, op_id: str) -> None:
        """Ends an operation as failed, without the scheduler.

        The scheduler may still start its attempts, so it is kept until the scheduler is notified.
        """
        self._end_without_scheduler(op_id, lambda operation: FinalAnswer.FAILED)

    def withdraw(self, op_id: str) -> None:
        """Ends an operation whose client may have gone: as shed if none of its attempts was started.

        No further attempt is started.
        """
        self._end_without_scheduler(
            op_id,
            lambda operation: FinalAnswer.FAILED if operation.attempts_started else FinalAnswer.SHED,
        )

    def _end_without_scheduler(
        self, op_id: str, answer_of: Callable[[InFlightOperation], FinalAnswer]
    ) -> None:
        operation = self.operations.get(op_id)
        if operation is not None and not operation.ended:
            self._answer(operation, answer_of(operation))
            self.enqueue(self._deliver_client_gone, op_id)

    def _deliver_client_gone(self, now: Ticks, op_id: str) -> None:
        if op_id in self.operations:
            self.call_scheduler(op_id, self.scheduler.on_client_gone, now, op_id)
            self._forget_if_done(op_id)

    def _answer(
        self, operation: InFlightOperation, answer: FinalAnswer, value: Any = None, retry_after: Ticks = 0
    ) -> None:
        operation.ended = True
        operation.on_answer(answer, value, retry_after)
        self._cancel_unsent(operation)

    def _cancel_unsent(self, operation: InFlightOperation) -> None:
        # Attempts that wait for a connection would be sent later, although nobody needs their result.
        for number, attempt in operation.attempts.items():
            if attempt.handle is not None and not attempt.handle.sent:
                attempt.handle.drop()
                self.on_reply(operation.request.op_id, number, AttemptReply(AttemptResult.NOT_SENT))

    def _on_deadline(self, op_id: str) -> None:
        if not self.operations[op_id].ended:
            self.log.error("scheduler.overrun", op=op_id)
            self.abort(op_id)

    def _forget_if_done(self, op_id: str) -> None:
        operation = self.operations.get(op_id)
        if operation is not None and operation.ended and not operation.attempts:
            operation.deadline_timer.cancel()
            del self.operations[op_id]
            self.on_operation_finished(operation)

    # Attempts.

    def on_reply(self, op_id: str, number: int, reply: AttemptReply) -> None:
        """Delivers the outcome of an attempt."""
        self.enqueue(self._deliver_reply, op_id, number, reply)

    def on_timeout(self, op_id: str, number: int, due: float) -> None:
        """Times out an attempt that was due at the loop time `due`."""
        reply = AttemptReply(AttemptResult.TIMED_OUT)
        # After a pause of this process the answer may still be unread in the socket of a healthy node.
        if self.loop.time() - due > PAUSE_THRESHOLD:
            self.loop.call_later(TIMEOUT_GRACE, self.on_reply, op_id, number, reply)
        else:
            self.on_reply(op_id, number, reply)

    def _deliver_reply(self, now: Ticks, op_id: str, number: int, reply: AttemptReply) -> None:
        operation = self.operations.get(op_id)
        if operation is None or number not in operation.attempts:
            return  # it has timed out before
        attempt = operation.attempts.pop(number)
        result = self._close_attempt(attempt, reply.result)
        operation.may_have_run |= result not in NEVER_RAN
        if result not in NEVER_RAN and result is not AttemptResult.SUCCEEDED:
            earlier_at = operation.may_have_run_at
            decided_at = attempt.decided_at
            operation.may_have_run_at = decided_at if earlier_at is None else min(decided_at, earlier_at)
        if result is AttemptResult.SUCCEEDED and not operation.ended:
            value = self.answer_value(op_id, attempt.node, reply.value)
            self._answer(operation, FinalAnswer.SUCCEEDED, value)
        self.attempt_results[result] += 1
        self.log.debug("attempt.result", op=op_id, attempt=number, node=attempt.node, result=result)
        report = AttemptReport(op_id, number, result, operation.ended, reply.fleet_usage, reply.remote_usage)
        self.call_scheduler(op_id, self.scheduler.on_attempt_result, now, report)
        self._forget_if_done(op_id)

    @staticmethod
    def _close_attempt(attempt: Attempt, result: AttemptResult) -> AttemptResult:
        # An attempt given up before it was sent never ran.
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.handle is None:
            return result
        if result in MAY_STILL_RUN and not attempt.handle.sent:
            cancelled = result is AttemptResult.CANCELLED
            result = AttemptResult.NOT_SENT if cancelled else AttemptResult.CONNECT_FAILED
        attempt.handle.drop()
        return result

    # Decisions of the scheduler (`interface.SchedulerActions`).

    def start_attempt(self, op_id: str, node: str, timeout: Ticks) -> None:
        """Sends the operation's next attempt, unless the operation was answered."""
        operation = self.operations[op_id]
        number = operation.attempts_started
        operation.attempts_started += 1
        if operation.ended:
            operation.attempts[number] = Attempt(node, None, self.now(), None)
            self.loop.call_soon(self.on_reply, op_id, number, AttemptReply(AttemptResult.NOT_SENT))
            return
        due = self.loop.time() + timeout / TICKS_PER_SECOND
        timer = self.loop.call_at(due, self.on_timeout, op_id, number, due)
        latest_start = min(due, self._latest_start(operation))
        decided_at = self.now()
        handle = self.send_attempt(number, node, operation, timeout, latest_start)
        operation.attempts[number] = Attempt(node, timer, decided_at, handle)

    def _latest_start(self, operation: InFlightOperation) -> float:
        # The scheduler retries a keyed operation only while nodes remember its key.  A retry that is sent
        # later, after a wait for a connection, would take effect twice.
        request_class = self.settings.request_classes[operation.request.request_class]
        if request_class.idempotency is not Idempotency.KEYED:
            return NEVER
        first_at = operation.may_have_run_at
        if first_at is None:
            in_flight = (attempt.decided_at for attempt in operation.attempts.values())
            first_at = min(in_flight, default=None)
        if first_at is None:
            return NEVER
        latest = first_at + request_class.dedup_window - self.settings.round_interval
        return latest / TICKS_PER_SECOND

    def cancel_attempt(self, op_id: str, attempt: int) -> None:
        """Cancels an attempt; its result is delivered in the next round."""
        handle = self.operations[op_id].attempts[attempt].handle
        if handle is not None:
            handle.cancel()
        self.on_reply(op_id, attempt, AttemptReply(AttemptResult.CANCELLED))

    def shed(self, op_id: str, retry_after: Ticks) -> None:
        """Answers that the operation did not run."""
        self._end(op_id, FinalAnswer.SHED, retry_after)

    def fail(self, op_id: str) -> None:
        """Answers that the operation failed."""
        self._end(op_id, FinalAnswer.FAILED, 0)

    def _end(self, op_id: str, answer: FinalAnswer, retry_after: Ticks) -> None:
        operation = self.operations.get(op_id)
        if operation is not None and not operation.ended:
            self._answer(operation, answer, None, retry_after)
            self._forget_if_done(op_id)

    def wake_after(self, delay: Ticks) -> None:
        """Schedules a round after a delay, replacing an earlier request."""
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        self.wake_timer = self.loop.call_later(delay / TICKS_PER_SECOND, self.enqueue, self._on_wake)

    def _on_wake(self, now: Ticks) -> None:
        """Does nothing: a wake-up only triggers `run_round`."""

    def poll_endpoints(self) -> None:
        """Does nothing: updates of the endpoint list are pushed."""

    def request_load_report(self, node: str) -> None:
        """Reports in the next round that the request failed; overridden where nodes report their load."""
        failed = AttemptResult.CONNECT_FAILED
        self.enqueue(
            lambda now: self.call_scheduler(None, self.scheduler.on_load_report, node, failed, None, None)
        )

    def report_volume(self, event: VolumeEvent) -> None:
        """Logs a change in the state of a volume."""
        self.log.info(
            f"volume.{event.kind}",
            volume=event.volume,
            plan=event.plan,
            gateways=event.gateway_count,
            level=round(event.limit_level, 1),
            capacity=round(event.limit_capacity, 1),
            rate=round(event.limit_rate, 2),
        )
