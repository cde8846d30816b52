"""Queues operations by cell and volume; says which goes next as buckets, averages and limits have it."""

from bisect import insort

from rushmux.scheduling.endpoint_picker import RESERVED_FACTOR
from rushmux.scheduling.interface import AttemptResult, GiveUpReason
from rushmux.scheduling.node import MAX_IN_FLIGHT
from rushmux.scheduling.records import NEVER, Stage
from rushmux.scheduling.volume import BIN_WIDTH


class Pacer(Stage):
    """The third stage."""

    def __init__(self, scheduler):
        super().__init__(scheduler)
        self.highest_weight = self.settings.highest_weight

    def accept(self, operation, now):
        """Queues it: of one volume the highest priority weight goes first, then the first that arrived."""
        cell, queue = operation.cell, operation.cell.queues.setdefault(operation.volume, [])
        insort(queue, operation, key=lambda each: (-each.request_class.priority_weight, each.arrived_at))
        operation.queued = True
        wanted_lately = now - cell.last_wanted_at < self.settings.slow_start_window
        cell.sharing_gateways = max(operation.volume.gateway_count, cell.sharing_gateways * wanted_lately)
        cell.last_wanted_at = now
        self.scheduler.changed_cells[cell] = True
        return False

    def on_result(self, operation, attempt, node, result, now):
        """Takes back what a failed attempt was charged: fast errors would make a failing volume look fed."""
        operation.volume.settle_limit(operation, now, result)
        if result is not AttemptResult.SUCCEEDED:
            operation.volume.charge(-operation.units)

    def release_time(self, operation, node, now):
        """When to look whether the limit bucket and the node's slow start let it go."""
        if operation.units > node.slow_start_allowance(self.scheduler, operation.units, now):
            return now + BIN_WIDTH
        return (
            now if operation.attempts_started else operation.volume.limit.release_time(operation.units, now)
        )

    def next_admission(self, node, factor, now):
        """When its limits, `factor` times as large, let the next attempt go to a node."""
        return max(limit.next_admission(factor, now) for limit in node.limits)

    def choose(self, cell, node, now):
        """The operation to go to a node next, or None; sets when to look at the cell again."""
        reserved_at = self.next_admission(node, RESERVED_FACTOR, now)
        slack_at = self.next_admission(node, 1, now)
        if slack_at > now:
            self.scheduler.blocked_cells[cell] = True
            node.wants_report = True
            cell.check_by(reserved_at if reserved_at > now else slack_at)
        if reserved_at > now or len(node.in_flight) >= MAX_IN_FLIGHT:
            return None
        # An idle node's own report tells better than answer times.
        latency = 0 if node.reports_load and not node.in_flight else self.scheduler.typical_latency(node)
        due, earliest, slack, lowest = None, NEVER, None, NEVER
        for volume, queue in list(cell.queues.items()):
            self._drop_hopeless(queue, node, latency, now)
            if not queue or not self._is_released(queue[0], node, now):
                continue
            operation = queue[0]
            due_opens, slack_opens = self._admission_times(operation, node, reserved_at, slack_at, now)
            deadline = max(operation.arrived_at, volume.deadline(operation.units, now))
            if due_opens > now:
                cell.check_by(due_opens)
            elif deadline <= now and deadline < earliest:
                due, earliest = operation, deadline
            average = volume.usage.decayed_sum / volume.plan.weight
            if slack_opens > now:
                cell.check_by(slack_opens)
            elif average < lowest:
                slack, lowest = operation, average
        return due or slack

    def _drop_hopeless(self, queue, node, latency, now):
        # What cannot be in time takes the place of what can: late retries, the oldest of a backlog, hurried
        # clients that leave before the node, as it reports, can end their work.
        while queue:
            usual = latency * (queue[0].arrived_at < now)
            by_report = node.expected_service * queue[0].units / self.settings.mean_units
            if queue[0].objective_at > now + max(usual, by_report):
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
        # Where nodes report load, less weight means less of the limits: what can wait must leave room.
        part = operation.request_class.priority_weight / self.highest_weight if node.reports_load else 1
        if part >= 1:
            return reserved_at, slack_at
        return self.next_admission(node, RESERVED_FACTOR * part, now), self.next_admission(node, part, now)
