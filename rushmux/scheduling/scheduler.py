"""The scheduler of one gateway: passes operations through the stages, after Zygaria (docs/design.md)."""

from rushmux.scheduling.concurrency_limit import ConcurrencyLimit
from rushmux.scheduling.dispatcher import Dispatcher, is_harmless
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

RETRY_JITTER = 50  # ticks: how far a retry's deadline may be from its first try's
POLL_RETRY_PART = 0.1  # of the interval within which the list must be polled: for a lost or failed poll
VOLUME_IDLE_TIME = 600_000  # ticks: volumes come and go for hours; one idle so long is as never seen
USAGE_NOTE_INTERVAL = 100_000  # ticks between two notes of one volume: figures that come and go fill no log
REPORT_INTERVAL = 20_000  # ticks until a node is asked for its load again: tens of gateways ask, it caps them
ANSWER_MARGIN = 2  # rounds before its client stops waiting that an operation ends


def with_reserves(settings):
    """The settings, with nominal rates for reserves where no plan has one: else surges crowd out the rest."""
    if not settings.reports_load or any(plan.reserve for plan in settings.plans.values()):
        return settings
    rate = max(plan.nominal / plan.weight for plan in settings.plans.values())
    plans = {name: plan._replace(reserve=rate * plan.weight) for name, plan in settings.plans.items()}
    return settings._replace(plans=plans)


class Scheduler(SchedulerState):
    """One gateway's decisions, from one start to the next (`interface.SchedulerEvents`)."""

    def __init__(self, settings, seed, now, actions):
        super().__init__(with_reserves(settings), seed, now, actions, lambda endpoint: Node(endpoint, self))
        self.limit = ConcurrencyLimit(0, is_global=True)
        self.poll_at = now if settings.polls_endpoints else NEVER
        self.picker, self.pacer, self.dispatcher = EndpointPicker(self), Pacer(self), Dispatcher(self)
        self.stages = (KeySerializer(self), self.picker, self.pacer, self.dispatcher)

    def on_endpoints(self, now, kind, endpoints):
        """Takes in the endpoint list or updates of it."""
        if kind is UpdateKind.UNAVAILABLE:
            # A failed poll may have ended the watch.  The pause is drawn, against all gateways at once.
            pause = int(self.settings.poll_interval * POLL_RETRY_PART)
            self.poll_at = now + pause + self.random.below(pause + 1)
            return
        self.poll_at = self.poll_at if kind is UpdateKind.RECOVERED else NEVER
        self.mark_changed(self.endpoints.apply(kind, endpoints))
        self.endpoints.forget_removed(now - self.settings.slow_start_window)
        self.limit.size = self.limit.size or self.even_limit()

    def even_limit(self):
        """This gateway's even share of what all nodes may have in flight."""
        sharing = 1 if self.settings.reports_load else self.settings.gateway_count
        return MAX_IN_FLIGHT * len(self.endpoints.cells) / sharing

    def typical_latency(self, node):
        """Median answer time of a node, else of all nodes, in ticks; 0 while none is known."""
        return node.limit.latencies.median() or self.limit.latencies.median()

    def on_operation(self, now, request):
        """Takes an operation; it is shed at once where its route has too many in flight."""
        request_class = self.settings.request_classes[request.request_class]
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
        volume.held_operations += 1
        self.dispatcher.on_arrival(now)
        if usage.in_flight > route.max_in_flight:
            self.give_up(operation, now, GiveUpReason.ROUTE_FULL)
            return
        self.look_again_at(operation.objective_at, operation)
        self.advance(operation, now)

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
        # A retry is in time as its first try was: its client's deadline is the same, or it gave up just now.
        hurried = request.time_left < request_class.deadline
        for ended in reversed(volume.ended_operations):
            same_deadline = abs(ended.client_deadline - now - request.time_left) <= RETRY_JITTER
            gave_up = hurried and now - ended.ended_at <= RETRY_JITTER
            if ended.key == request.key and (request.is_retry or same_deadline or gave_up):
                return ended.objective_at
        # After a pause of this gateway's own, told by an overdue wake, what came meanwhile seems new.
        paused = max(0, min(now - self.wake.wake_at, request_class.deadline - request.time_left))
        return now + request_class.latency_objective - paused

    def on_attempt_result(self, now, report):
        """Takes in how an attempt came back; unknown ones are ignored."""
        operation, node = self.take_result(report) or (None, None)
        if operation is None:
            return
        if report.result is AttemptResult.SUCCEEDED:
            period = self.settings.usage_period
            operation.volume.on_usage_meter(report.fleet_usage, report.remote_usage, period, now)
            self._note_usage_report(operation.volume, report.fleet_usage > 0, now)
        for stage in reversed(self.stages):
            stage.on_result(operation, report.attempt, node, report.result, now)
        if operation.ended:
            self.forget_or_cancel(operation, now)
        elif not operation.in_flight:  # else the other attempt may still succeed
            self._retry(operation, node, now)

    def _note_usage_report(self, volume, is_reported, now):
        if is_reported != volume.usage_reported and now >= volume.usage_noted_at + USAGE_NOTE_INTERVAL:
            volume.usage_reported, volume.usage_noted_at = is_reported, now
            kind = VolumeEventKind.USAGE_REPORTED if is_reported else VolumeEventKind.USAGE_MISSING
            self._report_volume(volume, kind)

    def _retry(self, operation, node, now):
        operation.retry_at = now + operation.route.retry_delay
        in_time = operation.retry_at < operation.objective_at
        if not in_time or not self.dispatcher.may_retry(operation, node, now):
            self.give_up(operation, now, GiveUpReason.NO_RETRY)
        elif operation.route.retry_delay:
            self.look_again_at(operation.retry_at, operation)
        else:
            self.advance(operation, now)

    def on_load_report(self, node, result, queue, service):
        """Takes in a node's load; None for what it does not tell, or all when it was asked in vain."""
        if node in self.endpoints.nodes:
            self.endpoints.nodes[node].on_load_report(result, queue, service)
            self.unblock()

    def give_up(self, operation, now, reason, late=False):
        """Gives a final answer: shed where that is true, else failed; a late client may stay away a while."""
        self.given_up[reason] += 1
        if is_harmless(operation):
            late = late or now >= operation.objective_at
            self.actions.shed(operation.op_id, self.settings.max_retry_after if late else 0)
        else:
            self.actions.fail(operation.op_id)
        self.end(operation, now)

    def run_round(self, now):
        """Closes a round: sends what may go, ends what is past use, and sets the next wake."""
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
        waits = not (operation.ended or operation.in_flight)
        if waits and now >= operation.objective_at:
            self.give_up(operation, now, self._hindrance(operation, now))
        elif waits and not operation.queued and now >= operation.retry_at:
            self.advance(operation, now)
        elif not operation.ended and len(operation.in_flight) == 1 and now >= operation.hedge_at:
            self.dispatcher.hedge(operation, now)

    def _hindrance(self, operation, now):
        if operation.attempts_started:
            return GiveUpReason.NO_RETRY
        waits_for_limit = operation.queued and operation.volume.limit.release_time(operation.units, now) > now
        return GiveUpReason.RATE_LIMIT if waits_for_limit else GiveUpReason.CAPACITY

    def _request_reports(self, now):
        for node in self.endpoints.nodes.values():
            rested = now - node.report_requested_at >= REPORT_INTERVAL
            if node.wants_report and rested and node.endpoint.state is EndpointState.READY:
                node.wants_report, node.report_requested_at = False, now
                self.actions.request_load_report(node.endpoint.node)
