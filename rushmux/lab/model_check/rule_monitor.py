"""Checks during a schedule that no rule is broken."""

from collections import defaultdict
from typing import NamedTuple

from rushmux.lab.model_check.history import History, format_ms
from rushmux.routes.bounds import Bounds
from rushmux.routes.findings import Rule
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import (
    DedupScope,
    Endpoint,
    EndpointState,
    Idempotency,
    RequestClass,
    Ticks,
)

ROUNDING_TOLERANCE = 1e-6  # units; absorbs floating-point error in sums


class ModelAttempt(NamedTuple):
    """An attempt of a modelled gateway."""

    gateway: int
    op_id: str
    number: int
    node: str
    sent_at: Ticks


class ClientOperation(NamedTuple):
    """An operation as its client sent it."""

    sent_at: Ticks
    request_class: RequestClass
    units: float


class _TokenBucket(NamedTuple):
    """A plan's limit over all gateways as a token bucket."""

    level: float
    updated_at: Ticks


class RuleMonitor:
    """Checks the events of gateways, clients and nodes against the rules and adds breaches to the history."""

    def __init__(self, bounds: Bounds, history: History):
        self.bounds, self.settings, self.history = bounds, bounds.settings, history
        self.operations: dict[str, ClientOperation] = {}
        self.nodes: dict[str, Endpoint] = {}
        self._answered: dict[str, bool] = {}
        self._first_runs: dict[str, ModelAttempt] = {}  # the first that may have run, by operation
        self._submitted_at: dict[int, list[Ticks]] = defaultdict(list)  # by gateway
        self._retried_at: dict[int, list[Ticks]] = defaultdict(list)  # by gateway
        self._not_ready_since: dict[tuple[int, str], Ticks] = {}  # by gateway told and node
        self._slow_start_arrivals: list[tuple[Ticks, float]] = []
        self._buckets: dict[str, _TokenBucket] = {}
        self._counted: set[str] = set()  # operations already charged to a bucket

    @property
    def now(self) -> Ticks:
        """The simulated time."""
        return self.history.clock.now

    def on_endpoint(self, gateway: int, endpoint: Endpoint) -> None:
        """Records that a gateway is told of a node's state."""
        if endpoint.state is EndpointState.READY:
            self._not_ready_since.pop((gateway, endpoint.node), None)
        else:
            self._not_ready_since[gateway, endpoint.node] = self.now

    def on_client_send(self, op_id: str, request_class: RequestClass, units: float) -> None:
        """Records that a client sends an operation."""
        self.operations[op_id] = ClientOperation(self.now, request_class, units)

    def on_submit(self, gateway: int) -> None:
        """Records that an operation reaches a gateway's scheduler."""
        self._submitted_at[gateway].append(self.now)

    def on_attempt_start(self, attempt: ModelAttempt, is_answered: bool, in_flight: int) -> None:
        """Checks the start of an attempt whose operation has `in_flight` others."""
        if is_answered:
            self._breach(Rule.NO_LOSS, f"{attempt.op_id} is sent after its final answer")
        if in_flight and not self.settings.allows_hedging:
            self._breach(Rule.NO_DUPLICATE, f"{attempt.op_id} has two attempts in flight")
        if attempt.number and self.settings.retry_budget_ratio is not None:
            self._check_retry_budget(attempt.gateway)

    def _check_retry_budget(self, gateway: int) -> None:
        settings = self.settings
        retried_at = self._retried_at[gateway]
        retried_at.append(self.now)
        since = self.now - settings.retry_budget_window
        retries = sum(at > since for at in retried_at)
        submitted = sum(at > since for at in self._submitted_at[gateway])
        if retries > settings.retry_budget_burst + settings.retry_budget_ratio * submitted:
            self._breach(Rule.RETRY_BUDGET, f"{retries} retries for {submitted} operations")

    def _check_rate_limit(self, attempt: ModelAttempt) -> None:
        plan = next(iter(self.settings.plans.values()))
        if not plan.limit or attempt.op_id in self._counted:
            return
        self._counted.add(attempt.op_id)
        bucket = self._buckets.get(plan.name, _TokenBucket(plan.burst, self.now))
        refilled = bucket.level + plan.limit * (self.now - bucket.updated_at) / TICKS_PER_SECOND
        level = min(plan.burst, refilled) - self.operations[attempt.op_id].units
        self._buckets[plan.name] = _TokenBucket(level, self.now)
        if level < -plan.slack - ROUNDING_TOLERANCE:
            self._breach(
                Rule.RATE_LIMIT,
                f"the limit is exceeded by {-level:g} units, {plan.slack:g} are allowed",
            )

    def on_arrival(self, attempt: ModelAttempt) -> None:
        """Checks the arrival of an attempt at its node."""
        self._check_drain(attempt)
        self._check_rate_limit(attempt)
        if self.nodes[attempt.node].online_since:
            self._check_slow_start(self.operations[attempt.op_id].units)
        self._check_duplicate(attempt)

    def on_possible_run(self, attempt: ModelAttempt) -> None:
        """Records that a node accepts an attempt, which may run from now on."""
        self._first_runs.setdefault(attempt.op_id, attempt)

    def _check_drain(self, attempt: ModelAttempt) -> None:
        since = self._not_ready_since.get((attempt.gateway, attempt.node))
        if since is not None and self.now - since > self.bounds.drain_grace:
            late = format_ms(self.now - since)
            self._breach(Rule.DRAINING, f"{attempt.op_id} arrives {late} ms after the notice of the drain")

    def _check_slow_start(self, units: float) -> None:
        window = self.bounds.overload_window
        self._slow_start_arrivals.append((self.now, units))
        total = sum(sent for at, sent in self._slow_start_arrivals if at > self.now - window)
        if total > self.bounds.overload_units:
            self._breach(
                Rule.SLOW_START,
                f"{total:g} units within {format_ms(window)} ms, {self.bounds.overload_units:g} overload it",
            )

    def _check_duplicate(self, attempt: ModelAttempt) -> None:
        """Checks that no operation may run twice, unless a node that still knows its key detects it."""
        op_id = attempt.op_id
        request_class = self.operations[op_id].request_class
        if op_id not in self._first_runs or request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        first = self._first_runs[op_id]
        age = self.now - first.sent_at
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            self._breach(Rule.NO_DUPLICATE, f"{op_id} may run twice")
        elif age > request_class.dedup_window:
            self._breach(
                Rule.NO_DUPLICATE,
                f"{op_id} arrives {format_ms(age)} ms after the first attempt was sent, "
                f"its key is known for {format_ms(request_class.dedup_window)} ms",
            )
        elif request_class.dedup_scope == DedupScope.CELL and not self._same_cell(attempt, first):
            self._breach(Rule.NO_DUPLICATE, f"{op_id} arrives in another cell")

    def _same_cell(self, first: ModelAttempt, second: ModelAttempt) -> bool:
        return self.nodes[first.node].cell == self.nodes[second.node].cell

    def on_answer(self, op_id: str) -> None:
        """Checks that an operation gets one final answer only."""
        if op_id in self._answered:
            self._breach(Rule.NO_LOSS, f"{op_id} is answered twice")
        self._answered[op_id] = True

    def on_answer_received(self, op_id: str, received_at: Ticks) -> None:
        """Checks that a client gets its final answer before the deadline."""
        operation = self.operations[op_id]
        deadline = operation.request_class.deadline
        latency = received_at - operation.sent_at
        if latency > deadline:
            self._breach(
                Rule.NO_LOSS,
                f"{op_id} is answered after {format_ms(latency)} ms, the deadline is {format_ms(deadline)}",
            )

    def check_end(self, end: Ticks) -> None:
        """Checks that every operation whose deadline has passed was answered."""
        for op_id, operation in self.operations.items():
            deadline_at = operation.sent_at + operation.request_class.deadline
            if op_id not in self._answered and deadline_at <= end:
                self._breach(Rule.NO_LOSS, f"{op_id} has no answer")

    def _breach(self, rule: Rule, text: str) -> None:
        self.history.add_breach(rule, text)
