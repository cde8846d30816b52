"""The scheduler of one gateway; its stages follow Zygaria (docs/design.md)."""

from rushmux.scheduling.concurrency_limit import ConcurrencyLimit
from rushmux.scheduling.dispatcher import Dispatcher, can_shed
from rushmux.scheduling.endpoint_picker import EndpointPicker
from rushmux.scheduling.interface import (
    NO_ROUTE_POLICY,
    AttemptResult,
    EndpointState,
    GiveUpReason,
    UpdateKind,
    VolumeEventKind,
)
from rushmux.scheduling.key_serializer import KeySerializer
from rushmux.scheduling.node import MAX_IN_FLIGHT, Node
from rushmux.scheduling.pacer import Pacer
from rushmux.scheduling.records import NEVER, Operation, RouteUsage
from rushmux.scheduling.state import SchedulerState
from rushmux.scheduling.volume import Volume

RETRY_JITTER = 50  # ticks by which deadlines of a retry and its first try may differ
POLL_RETRY_FRACTION = 0.1  # of the poll interval: minimum pause after a failed poll
VOLUME_IDLE_TIME = 600_000  # ticks until an idle volume is forgotten, since over hours many come and go
MAX_VOLUMES = 2_048  # bounds the memory that ever new names take; a volume takes 1.6 KB
SEARCHED_VOLUMES = 16  # of the oldest, to find one that may be forgotten
USAGE_EVENT_INTERVAL = 100_000  # ticks between usage events of one volume, so that they do not flood the log
REPORT_INTERVAL = 20_000  # ticks between load requests to a node: tens of gateways ask, and it rejects excess
ANSWER_MARGIN = 2  # rounds between an operation's deadline and the client's


def with_default_reserves(settings):
    """Adds reserves by weight if nodes report load and no plan has any, or a surge would starve others."""
    if not settings.reports_load or any(plan.reserve for plan in settings.plans.values()):
        return settings
    rate = max(plan.nominal / plan.weight for plan in settings.plans.values())
    plans = {name: plan._replace(reserve=rate * plan.weight) for name, plan in settings.plans.items()}
    return settings._replace(plans=plans)


class Scheduler(SchedulerState):
    """Makes the decisions of one gateway, from one start to the next (`interface.SchedulerEvents`)."""

    def __init__(self, settings, seed, now, actions):
        super().__init__(
            with_default_reserves(settings), seed, now, actions, lambda endpoint: Node(endpoint, self)
        )
        self.limit = ConcurrencyLimit(0, is_global=True)
        self.poll_at = now if settings.polls_endpoints else NEVER
        self.picker, self.pacer, self.dispatcher = EndpointPicker(self), Pacer(self), Dispatcher(self)
        self.stages = (KeySerializer(self), self.picker, self.pacer, self.dispatcher)

    def on_endpoints(self, now, kind, endpoints):
        """Applies the endpoint list or an update of it."""
        if kind is UpdateKind.UNAVAILABLE:
            # A failed poll may have ended the subscription.  Jitter keeps gateways from polling all at once.
            pause = int(self.settings.poll_interval * POLL_RETRY_FRACTION)
            self.poll_at = now + pause + self.random.below(pause + 1)
            return
        self.poll_at = self.poll_at if kind is UpdateKind.RECOVERED else NEVER
        self.mark_changed(self.endpoints.apply(kind, endpoints))
        self.endpoints.forget_removed(now - self.settings.slow_start_window)
        self.limit.size = self.limit.size or self.even_limit()

    def even_limit(self):
        """Returns an even share of the attempts in flight in all cells; all of them if nodes report load."""
        sharing_gateways = 1 if self.settings.reports_load else self.settings.gateway_count
        return MAX_IN_FLIGHT * len(self.endpoints.cells) / sharing_gateways

    def typical_latency(self, node):
        """Returns the median latency of a node, else of all nodes, in ticks; 0 if none is known."""
        return node.limit.latencies.median() or self.limit.latencies.median()

    def on_operation(self, now, request):
        """Accepts an operation, or sheds it at once if its route or the volumes are too many."""
        request_class = self.settings.request_classes[request.request_class]
        if request.volume not in self.volumes and not self._has_room_for_volume(now):
            self.given_up[GiveUpReason.VOLUMES_FULL] += 1
            self.actions.shed(request.op_id, 0)
            return
        volume = self._volume_of(request, now)
        margin = ANSWER_MARGIN * self.settings.round_interval
        deadline_at = now + max(0, request.time_left - margin)
        objective_at = min(deadline_at, self._objective_time(request, request_class, volume, now))
        route_key = request.request_class, request.plan
        route = self.route_policies.get(route_key, NO_ROUTE_POLICY)
        usage = self.route_usage.setdefault(route_key, RouteUsage(route.retry_burst))
        usage.on_operation(route)
        times = now, objective_at, deadline_at, deadline_at + margin
        operation = Operation(request, request_class, volume, *times, route, usage)
        self.operations[request.op_id] = operation
        volume.operation_count += 1
        self.dispatcher.on_arrival(now)
        if usage.in_flight > route.max_in_flight:
            self.give_up(operation, now, GiveUpReason.ROUTE_FULL)
            return
        self.schedule_check(operation.objective_at, operation)
        self.advance(operation, now)

    def _has_room_for_volume(self, now):
        # A volume that is not in use may be forgotten early if its limit is full, as a new one's would be.
        if len(self.volumes) < MAX_VOLUMES:
            return True
        forgotten = self.volumes.forget_unused(now, SEARCHED_VOLUMES)
        if forgotten is not None:
            self._report_volume(forgotten, VolumeEventKind.FORGOTTEN)
        return forgotten is not None

    def _volume_of(self, request, now):
        volume = self.volumes.get(request.volume)
        if volume is None:
            volume = self.volumes[request.volume] = Volume(request, self, now)
            self._report_volume(volume, VolumeEventKind.STARTED)
        elif volume.on_gateway_count(request.gateway_count, request.volume in self.quota_shares, now):
            self._report_volume(volume, VolumeEventKind.SPLIT_FURTHER)
        self.volumes.touch(volume, now)
        forgotten = self.volumes.forget_idle(now, VOLUME_IDLE_TIME)
        if forgotten is not None:
            self._report_volume(forgotten, VolumeEventKind.FORGOTTEN)
        return volume

    def _report_volume(self, volume, kind):
        if volume.plan.limit:
            self.actions.report_volume(volume.event(kind))

    def _objective_time(self, request, request_class, volume, now):
        # A retry keeps the objective of its first try.  It is recognized by the same client deadline, or by
        # a shortened deadline right after the first try ended.
        shortened = request.time_left < request_class.deadline
        for ended in reversed(volume.ended_operations):
            same_deadline = abs(ended.client_deadline - now - request.time_left) <= RETRY_JITTER
            ended_lately = shortened and now - ended.ended_at <= RETRY_JITTER
            if ended.key == request.key and (request.is_retry or same_deadline or ended_lately):
                return ended.objective_at
        # After a pause of this gateway, shown by an overdue wake-up, the operation may have waited unseen.
        pause_time = max(0, min(now - self.wake.wake_at, request_class.deadline - request.time_left))
        return now + request_class.latency_objective - pause_time

    def on_attempt_result(self, now, report):
        """Processes an attempt's result; unknown attempts are ignored."""
        operation, node = self.take_result(report) or (None, None)
        if operation is None:
            return
        if report.result is AttemptResult.SUCCEEDED:
            period = self.settings.usage_period
            operation.volume.on_usage_meter(report.fleet_usage, report.remote_usage, period, now)
            self._track_usage_reports(operation.volume, report.fleet_usage > 0, now)
        for stage in reversed(self.stages):
            stage.on_result(operation, report.attempt, node, report.result, now)
        if operation.ended:
            self.forget_or_cancel(operation, now)
        elif not operation.in_flight:  # else the other may still succeed
            self._retry(operation, node, now)

    def _track_usage_reports(self, volume, is_reported, now):
        if is_reported != volume.usage_reported and now >= volume.usage_event_at + USAGE_EVENT_INTERVAL:
            volume.usage_reported, volume.usage_event_at = is_reported, now
            kind = VolumeEventKind.USAGE_REPORTED if is_reported else VolumeEventKind.USAGE_MISSING
            self._report_volume(volume, kind)

    def _retry(self, operation, node, now):
        operation.retry_at = now + operation.route.retry_delay
        in_time = operation.retry_at < operation.objective_at
        if not in_time or not self.dispatcher.may_retry(operation, node, now):
            self.give_up(operation, now, GiveUpReason.NO_RETRY)
        elif operation.route.retry_delay:
            self.schedule_check(operation.retry_at, operation)
        else:
            self.advance(operation, now)

    def on_load_report(self, node, result, queue, service):
        """Processes a node's load report; None: not reported, or the request failed."""
        if node in self.endpoints.nodes:
            self.endpoints.nodes[node].on_load_report(result, queue, service)
            self.recheck_blocked()

    def give_up(self, operation, now, reason, late=False):
        """Ends an operation as shed if possible, else as failed; a late one gets the full Retry-After."""
        self.given_up[reason] += 1
        if can_shed(operation):
            late = late or now >= operation.objective_at
            self.actions.shed(operation.op_id, self.settings.max_retry_after if late else 0)
        else:
            self.actions.fail(operation.op_id)
        self.end(operation, now)

    def run_round(self, now):
        """Closes a round: sends admitted operations, ends expired ones, and sets the next wake-up."""
        if now >= self.poll_at:
            self.actions.poll_endpoints()
            self.poll_at = now + int(self.settings.poll_interval / 2)
        for cell in self.cells_to_check(now):
            self.dispatcher.drain_queue(cell, now)
        for operation in self.due_operations(now):
            self._on_timer(operation, now)
        if self.settings.reports_load:
            self._request_reports(now)
        self.set_wake(now, self.poll_at)

    def _on_timer(self, operation, now):
        is_waiting = not (operation.ended or operation.in_flight)
        if is_waiting and now >= operation.objective_at:
            self.give_up(operation, now, self._give_up_reason(operation, now))
        elif is_waiting and not operation.queued and now >= operation.retry_at:
            self.advance(operation, now)
        elif not operation.ended and len(operation.in_flight) == 1 and now >= operation.hedge_at:
            self.dispatcher.hedge(operation, now)

    def _give_up_reason(self, operation, now):
        if operation.attempts_started:
            return GiveUpReason.NO_RETRY
        limited = operation.queued and operation.volume.limit.release_time(operation.units, now) > now
        return GiveUpReason.RATE_LIMIT if limited else GiveUpReason.CAPACITY

    def _request_reports(self, now):
        for node in self.endpoints.nodes.values():
            may_request = now - node.report_requested_at >= REPORT_INTERVAL
            if node.wants_report and may_request and node.endpoint.state is EndpointState.READY:
                node.wants_report, node.report_requested_at = False, now
                self.actions.request_load_report(node.endpoint.node)
