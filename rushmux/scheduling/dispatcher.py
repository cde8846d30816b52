"""Starts attempts, retries and hedged requests within their budgets, and processes results."""

from rushmux.scheduling.endpoint_picker import RESERVED_FACTOR, least_loaded
from rushmux.scheduling.interface import NEVER_RAN, AttemptResult, DedupScope, GiveUpReason, Idempotency
from rushmux.scheduling.node import MAX_IN_FLIGHT
from rushmux.scheduling.records import NEVER, Stage
from rushmux.scheduling.structures import SlidingCounter

TIMEOUT_FACTOR = 10  # of the expected latency: an attempt unanswered for so long counts as lost
HEDGE_FACTOR = 3  # of the expected latency: a first attempt unanswered for so long may be hedged
HEDGE_RATIO = 0.05  # hedged requests per operation: a negligible load
MAX_HEDGE_CREDIT = 5  # hedged requests: an unresponsive node needs several in a row
BATCH_EXTRA = 3  # attempts above a node's limit for one piece of data, which are cheap in a row


def can_shed(operation):
    """Returns whether the client may be told that the operation did not run, or that it is safe to repeat."""
    request_class, never_ran = operation.request_class, operation.may_have_run_at is None
    if (never_ran and not operation.in_flight) or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    return request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope is DedupScope.ALL


class Dispatcher(Stage):
    """The last stage: sends the operations that the pacer chooses."""

    def __init__(self, scheduler):
        super().__init__(scheduler)
        self.retries, self.arrivals = SlidingCounter(), SlidingCounter()
        self.hedge_credit = MAX_HEDGE_CREDIT

    def on_arrival(self, now):
        """Adds an operation to the budgets of retries and hedged requests."""
        self.hedge_credit = min(MAX_HEDGE_CREDIT, self.hedge_credit + HEDGE_RATIO)
        if self.settings.retry_budget_ratio is not None:
            self.arrivals.add(now)

    def has_retry_budget(self, now):
        """Returns whether the deployment's budget allows one more retry."""
        oldest = now - self.settings.retry_budget_window
        retries = self.retries.count_after(oldest)
        # Arrivals exclude the oldest tick of the window, so that rounding never exceeds the budget.
        arrivals = self.arrivals.count_after(oldest + 1)
        ratio, burst = self.settings.retry_budget_ratio, self.settings.retry_budget_burst
        return ratio is None or retries + 1 <= burst + ratio * arrivals

    def may_retry(self, operation, node, now):
        """Returns whether one more attempt at a node is allowed and cannot take effect twice."""
        if operation.attempts_started >= min(self.settings.max_attempts, operation.route.max_attempts):
            return False
        if operation.route_usage.retry_credit < 1 or not self.has_retry_budget(now):
            return False
        request_class, first_at = operation.request_class, operation.may_have_run_at
        if first_at is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        within_window = now - first_at < request_class.dedup_window - self.settings.round_interval
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT or not within_window:
            return False
        scope, first_endpoint = request_class.dedup_scope, operation.may_have_run_on.endpoint
        return scope is DedupScope.ALL or getattr(first_endpoint, scope) == getattr(node.endpoint, scope)

    def drain_queue(self, cell, now):
        """Sends the queued operations of a cell that are admitted now."""
        cell.next_check = NEVER
        while cell.queues:
            node = least_loaded(cell)
            operation = node and self.scheduler.pacer.choose(cell, node, now)
            if not operation:
                return
            self._send(operation, node, now)
            self._send_batch(operation, cell, node, now)

    def _send_batch(self, first, cell, node, now):
        # Other operations on the same data are sent along: they are cheap while the node has it in memory.
        queue = cell.queues.get(first.volume, ())
        for operation in [each for each in queue if first.key == each.key != ""]:
            global_limit = RESERVED_FACTOR * self.scheduler.limit.size + 1
            bound = min(MAX_IN_FLIGHT, node.limit.size + BATCH_EXTRA, global_limit)
            if len(node.in_flight) < bound and self.scheduler.pacer.release_time(operation, node, now) <= now:
                self._send(operation, node, now)

    def _send(self, operation, node, now):
        if operation.attempts_started and not self.may_retry(operation, node, now):
            self.scheduler.give_up(operation, now, GiveUpReason.NO_RETRY)
            return
        operation.cell.remove(operation)
        self._start(operation, node, now)

    def _start(self, operation, node, now):
        if operation.attempts_started:
            self.retries.add(now)
            operation.route_usage.retry_credit -= 1
        else:
            operation.volume.reserve_limit(operation)
        operation.volume.charge(operation.units)
        self.scheduler.register_attempt(operation, node, now)
        # A lost attempt or a node that hangs must not use up the latency objective.
        expected_latency = self.scheduler.typical_latency(node) or operation.request_class.latency_objective
        expected_latency *= max(1, operation.units / self.settings.mean_units)
        lost_after = min(int(TIMEOUT_FACTOR * expected_latency), operation.route.attempt_timeout)
        timeout = min(operation.deadline_at - now, lost_after)
        self.actions.start_attempt(operation.op_id, node.endpoint.node, timeout)
        self._plan_hedge(operation, expected_latency, now)

    def _plan_hedge(self, operation, expected_latency, now):
        hedge_after = operation.route.hedge_after
        allowed = self.settings.allows_hedging and hedge_after is not None
        if allowed and operation.requested_cell < 0 and len(operation.in_flight) == 1:
            operation.hedge_at = now + max(hedge_after, int(HEDGE_FACTOR * expected_latency))
            if operation.hedge_at + expected_latency < operation.objective_at:
                self.scheduler.schedule_check(operation.hedge_at, operation)

    def hedge(self, operation, now):
        """Sends a hedged request if the fleet has capacity to spare."""
        operation.hedge_at, scheduler = NEVER, self.scheduler
        ((attempt, first),) = operation.in_flight.items()
        overloaded = scheduler.limit.size < scheduler.even_limit()
        busy = overloaded or any(cell.queues for cell in scheduler.endpoints.listed_cells)
        node = None if self.hedge_credit < 1 or busy else self._idle_node(operation, now)
        if node is None:
            return
        if operation.may_have_run_at is None:
            operation.may_have_run_at = first.in_flight[operation, attempt]
            operation.may_have_run_on = first
        if self.may_retry(operation, node, now):
            self.hedge_credit -= 1
            operation.hedged = True
            self._start(operation, node, now)

    def _idle_node(self, operation, now):
        cell = self.scheduler.picker.pick(operation.units, now)
        node = cell and cell is not operation.cell and not cell.queues and least_loaded(cell)
        if not node or node.in_flight or self.scheduler.pacer.next_admission(node, 1, now) > now:
            return None
        in_slow_start = node.slow_start_allowance(self.scheduler, operation.units, now) < NEVER
        return None if in_slow_start else node

    def on_result(self, operation, attempt, node, result, now):
        """Records where the operation may have run, and updates limits and slow start."""
        sent_at, succeeded = node.in_flight.pop((operation, attempt)), result is AttemptResult.SUCCEEDED
        if result not in NEVER_RAN and not succeeded and operation.may_have_run_at is None:
            operation.may_have_run_at, operation.may_have_run_on = sent_at, node
        for limit in node.limits:
            limit.on_result(operation, attempt, result, now, self.settings.mean_units)
        if succeeded:
            node.on_success(operation.units, now)
