"""Adaptive concurrency limits (AIMD), with pauses between attempts for limits below one."""

from rushmux.scheduling.interface import LOST_CONNECTIONS, NODE_FAULTS, AttemptResult
from rushmux.scheduling.structures import DoublingHistogram

MIN_LIMIT = 0.15  # attempts; a limit below one is enforced by pauses after answers
INCREASE = 1  # attempts per early answer at a full limit, over all gateways of the volume
DECREASE = 0.3  # fraction removed by a late answer: two of them halve the limit
DECREASE_FAILED = 0.7  # fraction removed by a failure: the third in a row suspends the node
LATE_BASE = 0.1  # of the latency objective: an answer within it is never late
LATE_BY_SIZE = 0.1  # of the latency objective, per mean operation's units: large ones take longer
LATE_GLOBAL = 1.5  # lateness factor of the global limit, where only an overload should count
NODE_PAUSE_DIVISOR = 4  # a node's pause is at most the latency objective divided by this
FIRST_BIN, BIN_COUNT = 250, 8  # ticks, bins of latencies; the last starts at 1.6 s, where detail is useless
HALVE_AT = 32  # latencies until the counts are halved: a memory of some seconds

LOAD_SIGNALS = (AttemptResult.SUCCEEDED, AttemptResult.TIMED_OUT, AttemptResult.CANCELLED)
# Results that remove only `DECREASE`; a success that does is a late one.
SOFT_FAILURES = (AttemptResult.SUCCEEDED, AttemptResult.FAILED, AttemptResult.CANCELLED)


class ConcurrencyLimit:
    """Limits the attempts in flight at a node, or from this gateway over all nodes (`is_global`).

    Hundreds of gateways with one attempt each can overload a node without seeing each other, so late answers
    decrease the limit.  An attempt past its latency objective is late and no longer counted.
    """

    def __init__(self, size, is_global):
        self.size, self.is_global = size, is_global
        self.in_flight = {}  # (operation, attempt) -> (time sent, node), oldest first
        self.decreased_at = self.paused_from = self.pause = 0
        self.last_failed = False
        self.latencies = DoublingHistogram(FIRST_BIN, BIN_COUNT, HALVE_AT)

    def next_admission(self, factor, now):
        """Returns when the next attempt may be sent under `factor` times the limit."""
        while self.in_flight:
            (operation, attempt), (sent_at, _) = next(iter(self.in_flight.items()))
            late_at = sent_at + operation.request_class.latency_objective
            if now < late_at:
                break
            self.on_result(operation, attempt, AttemptResult.TIMED_OUT, now, 1)
        size = factor * self.size
        admitted_at = self.paused_from + int(self.pause * max(0, 1 / size - 1))
        return max(admitted_at, late_at) if len(self.in_flight) >= max(1, int(size)) else admitted_at

    def on_result(self, operation, attempt, result, now, mean_units):
        """Adapts the limit to an attempt that finished or is late, once."""
        was_full = len(self.in_flight) >= int(self.size)
        sent_at, node = self.in_flight.pop((operation, attempt), (None, None))
        # Nodes that are gone, unreachable or failing must not decrease the global limit for the others.
        if sent_at is None or result is AttemptResult.NOT_SENT or (self.is_global and result in NODE_FAULTS):
            return
        succeeded, latency = result is AttemptResult.SUCCEEDED, now - sent_at
        failed_before, self.last_failed = self.last_failed, not succeeded
        slow, reports_load = latency > self._late_after(operation, mean_units), node.reports_load
        # A cancellation or a client's short deadline that ends an attempt early says nothing about load.
        cut_short = result is AttemptResult.CANCELLED or (reports_load and result is AttemptResult.TIMED_OUT)
        if cut_short and not slow:
            return
        late = slow or not succeeded
        divisor = 1 if self.is_global or reports_load else NODE_PAUSE_DIVISOR
        max_pause = operation.request_class.latency_objective // divisor
        self.paused_from, self.pause = now, min(latency, max_pause) if succeeded else max_pause
        if reports_load and result in LOAD_SIGNALS:
            node.on_latency(late)
        elif late and sent_at >= self.decreased_at:
            self._decrease(result, failed_before, now)
        elif not late and was_full and not reports_load:
            self.size += INCREASE / operation.volume.gateway_count * min(self.size, 1 / self.size)
        if succeeded:
            self.latencies.add(latency)

    def _late_after(self, operation, mean_units):
        fraction = LATE_BASE + LATE_BY_SIZE * operation.units / mean_units
        factor = LATE_GLOBAL if self.is_global else 1
        return factor * (operation.request_class.latency_objective * fraction)

    def _decrease(self, result, failed_before, now):
        # In the global limit an attempt counts only for its share of those in flight.
        fraction = 1 / (len(self.in_flight) + 1) if self.is_global else 1
        fraction *= DECREASE if self.is_global or result in SOFT_FAILURES else DECREASE_FAILED
        # A single lost connection must not suspend a node that serves other attempts well.
        isolated_loss = not failed_before and result in LOST_CONNECTIONS
        min_size = min(1, self.size) if isolated_loss else MIN_LIMIT
        self.size, self.decreased_at = max(min_size, self.size * (1 - fraction)), now
