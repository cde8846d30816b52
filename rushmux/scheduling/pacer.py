"""Queues operations by cell and volume; chooses the next one by buckets, usage and limits."""

from bisect import insort

from rushmux.scheduling.endpoint_picker import RESERVED_FACTOR
from rushmux.scheduling.interface import AttemptResult, GiveUpReason
from rushmux.scheduling.node import MAX_IN_FLIGHT
from rushmux.scheduling.records import NEVER, Stage
from rushmux.scheduling.volume import BIN_WIDTH


class Pacer(Stage):
    """The third stage: queues operations."""

    def __init__(self, scheduler):
        super().__init__(scheduler)
        self.highest_weight = self.settings.highest_weight

    def accept(self, operation, now):
        """Queues the operation by priority weight, then by arrival."""
        cell, queue = operation.cell, operation.cell.queues.setdefault(operation.volume, [])
        insort(queue, operation, key=lambda each: (-each.request_class.priority_weight, each.arrived_at))
        operation.queued = True
        is_recent = now - cell.last_requested_at < self.settings.slow_start_window
        cell.sharing_gateways = max(operation.volume.gateway_count, cell.sharing_gateways * is_recent)
        cell.last_requested_at = now
        self.scheduler.changed_cells[cell] = True
        return False

    def on_result(self, operation, attempt, node, result, now):
        """Refunds a failed attempt: fast errors would make a volume seem well served."""
        operation.volume.settle_limit(operation, now, result)
        if result is not AttemptResult.SUCCEEDED:
            operation.volume.charge(-operation.units)

    def release_time(self, operation, node, now):
        """Returns when to check the limit bucket and slow start; `now` if they admit it."""
        if operation.units > node.slow_start_allowance(self.scheduler, operation.units, now):
            return now + BIN_WIDTH
        return (
            now if operation.attempts_started else operation.volume.limit.release_time(operation.units, now)
        )

    def next_admission(self, node, factor, now):
        """Returns when the node's limits, scaled by `factor`, admit the next attempt."""
        return max(limit.next_admission(factor, now) for limit in node.limits)

    def choose(self, cell, node, now):
        """Returns the next operation for a node or None, and schedules the cell's next check."""
        reserved_at = self.next_admission(node, RESERVED_FACTOR, now)
        slack_at = self.next_admission(node, 1, now)
        if slack_at > now:
            self.scheduler.blocked_cells[cell] = True
            node.wants_report = True
            cell.check_by(reserved_at if reserved_at > now else slack_at)
        if reserved_at > now or len(node.in_flight) >= MAX_IN_FLIGHT:
            return None
        # For an idle node its report tells more than past latencies.
        latency = 0 if node.reports_load and not node.in_flight else self.scheduler.typical_latency(node)
        due, earliest_deadline, slack, lowest_usage = None, NEVER, None, NEVER
        for volume, queue in list(cell.queues.items()):
            self._shed_hopeless(queue, node, latency, now)
            if not queue or not self._is_released(queue[0], node, now):
                continue
            operation = queue[0]
            due_from, slack_from = self._admission_times(operation, node, reserved_at, slack_at, now)
            deadline = max(operation.arrived_at, volume.deadline(operation.units, now))
            if due_from > now:
                cell.check_by(due_from)
            elif deadline <= now and deadline < earliest_deadline:
                due, earliest_deadline = operation, deadline
            weighted_usage = volume.usage.decayed_sum / volume.plan.weight
            if slack_from > now:
                cell.check_by(slack_from)
            elif weighted_usage < lowest_usage:
                slack, lowest_usage = operation, weighted_usage
        return due or slack

    def _shed_hopeless(self, queue, node, latency, now):
        # Operations that cannot be in time take the place of others: late retries, the oldest of a backlog,
        # and those with less time left than the node reports to need.
        while queue:
            expected_latency = latency * (queue[0].arrived_at < now)
            reported_time = node.expected_service * queue[0].units / self.settings.mean_units
            if queue[0].objective_at > now + max(expected_latency, reported_time):
                return
            node.wants_report = True
            self.scheduler.give_up(queue[0], now, GiveUpReason.CAPACITY, late=True)

    def _is_released(self, operation, node, now):
        operation.volume.advance(now)
        released_at = self.release_time(operation, node, now)
        if released_at > now:
            operation.cell.check_by(released_at)
        return released_at <= now

    def _admission_times(self, operation, node, reserved_at, slack_at, now):
        # Where nodes report load, classes of lower weight get a smaller part of the limits: they can wait.
        share = operation.request_class.priority_weight / self.highest_weight if node.reports_load else 1
        if share >= 1:
            return reserved_at, slack_at
        return self.next_admission(node, RESERVED_FACTOR * share, now), self.next_admission(node, share, now)
