"""What a scheduler keeps from event to event.  Nothing is decided here, and no value is tuned here."""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

from rushmux.scheduling.interface import (
    AttemptReport,
    Endpoint,
    EndpointState,
    GiveUpReason,
    RoutePolicy,
    SchedulerActions,
    SchedulerSettings,
    Ticks,
    UpdateKind,
)
from rushmux.scheduling.records import Cell, EndedOperation, Operation, SentUnits, Stage
from rushmux.scheduling.structures import RandomGenerator, TimerQueue, WakeTimer

if TYPE_CHECKING:
    from rushmux.scheduling.volume import Volume


class EndpointTable:
    """Nodes by name and by cell, as the endpoint list shows them."""

    def __init__(self, make_node: Callable):
        self.make_node = make_node
        self.nodes: dict = {}
        self.cells: dict[int, Cell] = defaultdict(Cell)
        self.listed_cells: list[Cell] = []

    def apply(self, kind: UpdateKind, endpoints: Iterable[Endpoint]) -> list[Cell]:
        """Takes in the list or updates of it; the cells of the entries."""
        if kind is not UpdateKind.DELTA:
            for node in self.nodes.values():
                node.endpoint = node.endpoint._replace(state=EndpointState.REMOVED)
        changed = []
        for endpoint in endpoints:
            if endpoint.node not in self.nodes:
                self.nodes[endpoint.node] = self.make_node(endpoint)
            node = self.nodes[endpoint.node]
            node.update(endpoint)
            self.cells[endpoint.cell].nodes[endpoint.node] = node
            changed.append(self.cells[endpoint.cell])
        return changed

    def forget_removed(self, oldest: Ticks) -> None:
        """Forgets removed nodes that have nothing in flight and were sent nothing after a time."""
        for name, node in list(self.nodes.items()):
            if node.endpoint.state is not EndpointState.REMOVED or node.in_flight:
                continue
            if not node.recent_units or node.recent_units[-1].at <= oldest:
                del self.nodes[name], self.cells[node.endpoint.cell].nodes[name]
        self.listed_cells = list(self.cells.values())


class VolumeTable(OrderedDict):
    """Volumes by name, the one that was asked for longest ago first."""

    def touch(self, volume: Volume, now: Ticks) -> None:
        """Notes a volume as the one asked for last."""
        self.move_to_end(volume.name)
        volume.requested_at = now

    def forget_idle(self, now: Ticks, idle_time: Ticks) -> Volume | None:
        """Forgets the volume asked for longest ago, once it is idle for a time and its limit is full."""
        volume = next(iter(self.values()))
        # While an operation of it waits, it would have a second limit bucket when it is met again.
        if volume.held_operations or max(volume.requested_at + idle_time, volume.limit.full_at()) > now:
            return None
        del self[volume.name]
        return volume


class SchedulerState:
    """The tables of one scheduler: operations, volumes, endpoints, and what to look at in the next round."""

    def __init__(
        self,
        settings: SchedulerSettings,
        seed: int,
        now: Ticks,
        actions: SchedulerActions,
        make_node: Callable,
    ):
        self.settings, self.actions, self.started_at = settings, actions, now
        self.random = RandomGenerator(seed)
        self.operations: dict[str, Operation] = {}
        self.volumes = VolumeTable()
        self.endpoints = EndpointTable(make_node)
        self.changed_cells: dict[Cell, bool] = {}
        self.blocked_cells: dict[Cell, bool] = {}
        """Cells whose nodes' limits were full."""
        self.timers, self.wake = TimerQueue(), WakeTimer()
        self.route_policies, self.route_usage = settings.route_policies, {}
        self.quota_shares: dict[str, float] = {}
        """Shares of volumes' limits that this gateway was told."""
        self.quota_grown_at: dict[str, Ticks] = {}
        """When such a share last became larger: until then a part of it was another gateway's."""
        self.stages: tuple[Stage, ...] = ()
        self.given_up: Counter[GiveUpReason] = Counter()
        """Operations that ended without a success, by the reason, since the start."""

    def on_route_policies(self, policies: Mapping[tuple[str, str], RoutePolicy]) -> None:
        """Takes over route policies; operations taken before keep theirs, and what is used up stays so."""
        self.route_policies = policies

    def on_quota(self, now: Ticks, volume: str, share: float) -> None:
        """Takes over a share of a volume's limit."""
        if share > self.quota_shares.get(volume, 0.0):
            self.quota_grown_at[volume] = now
        self.quota_shares[volume] = share
        known = self.volumes.get(volume)
        if known is not None:
            known.limit.set_share(share, now)
            cells = (cell for cell in self.endpoints.listed_cells if known in cell.queues)
            self.mark_changed(cells)

    def on_client_gone(self, now: Ticks, op_id: str) -> None:
        """Ends an operation that needs no answer any more."""
        operation = self.operations.get(op_id)
        if operation is not None and not operation.ended:
            self.end(operation, now)

    def advance(self, operation: Operation, now: Ticks) -> None:
        """Passes an operation through the stages until one holds it."""
        for stage in self.stages:
            if not stage.accept(operation, now):
                return

    def look_again_at(self, when: Ticks, operation: Operation) -> None:
        """Has the next round from a time on look at an operation."""
        self.timers.add(when, operation)

    def mark_changed(self, cells: Iterable[Cell]) -> None:
        """Has the next round look at cells."""
        self.changed_cells.update(dict.fromkeys(cells, True))

    def unblock(self) -> None:
        """Has the next round look at the cells whose nodes' limits were full."""
        self.changed_cells.update(self.blocked_cells)
        self.blocked_cells = {}

    def cells_to_check(self, now: Ticks) -> Iterator[Cell]:
        """The cells whose queues are to be looked at now."""
        changed, self.changed_cells = self.changed_cells, {}
        for cell in self.endpoints.cells.values():
            if cell.queues and (cell in changed or cell.next_check <= now):
                yield cell

    def due_operations(self, now: Ticks) -> Iterator[Operation]:
        """The operations that are to be looked at now."""
        while self.timers.next_time() <= now:
            yield self.timers.pop()

    def set_wake(self, now: Ticks, latest: Ticks) -> None:
        """Asks for the next round: when something is to be looked at, and no later than `latest`."""
        queued = [cell.next_check for cell in self.endpoints.cells.values() if cell.queues]
        next_at = now + 1 if self.changed_cells else latest
        delay = self.wake.reschedule(now, min([next_at, self.timers.next_time(), *queued]))
        if delay is not None:
            self.actions.wake_after(delay)

    def register_attempt(self, operation: Operation, node, now: Ticks) -> None:
        """Notes that the operation's next attempt is in flight at a node."""
        attempt = operation.attempts_started
        operation.attempts_started += 1
        operation.in_flight[attempt] = node
        node.in_flight[operation, attempt] = now
        node.recent_units.append(SentUnits(now, operation.units))
        for limit in node.limits:
            limit.in_flight[operation, attempt] = now, node

    def take_result(self, report: AttemptReport) -> tuple[Operation, Any] | None:
        """The operation and the node of an attempt that came back; None: it is not known."""
        operation = self.operations.get(report.op_id)
        if operation is None or report.attempt not in operation.in_flight:
            return None
        node = operation.in_flight.pop(report.attempt)
        operation.route_usage.in_flight -= report.operation_ended > operation.ended
        operation.ended = operation.ended or report.operation_ended
        self.changed_cells[operation.cell] = True
        if operation.hedged:
            self.changed_cells[self.endpoints.cells[node.endpoint.cell]] = True
        self.unblock()
        return operation, node

    def end(self, operation: Operation, now: Ticks) -> None:
        """Ends an operation; it is forgotten when nothing of it is in flight."""
        operation.ended = True
        operation.route_usage.in_flight -= 1
        ended = EndedOperation(operation.key, operation.client_deadline, now, operation.objective_at)
        operation.volume.ended_operations.append(ended)
        if operation.queued:
            operation.cell.remove(operation)
        if not operation.in_flight:
            self.stages[0].on_result(operation, None, None, None, now)
        self.forget_or_cancel(operation, now)

    def forget_or_cancel(self, operation: Operation, now: Ticks) -> None:
        """Forgets an operation that ended, or cancels what is in flight of one that was hedged."""
        if not operation.in_flight:
            operation.volume.settle_limit(operation, now)
            operation.volume.held_operations -= 1
            del self.operations[operation.op_id]
        elif operation.hedged and self.settings.allows_cancellation:
            operation.hedged = False
            for attempt in operation.in_flight:
                self.actions.cancel_attempt(operation.op_id, attempt)
