"""The scheduler's state and its bookkeeping, without decisions."""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import islice
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
    """The nodes of the endpoint list, by name and by cell."""

    def __init__(self, make_node: Callable):
        self.make_node = make_node
        self.nodes: dict = {}
        self.cells: dict[int, Cell] = defaultdict(Cell)
        self.listed_cells: list[Cell] = []

    def apply(self, kind: UpdateKind, endpoints: Iterable[Endpoint]) -> list[Cell]:
        """Applies the list or an update of it and returns the cells of its entries."""
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
        """Deletes removed nodes that have nothing in flight and were sent nothing after `oldest`."""
        for name, node in list(self.nodes.items()):
            if node.endpoint.state is not EndpointState.REMOVED or node.in_flight:
                continue
            if not node.recent_units or node.recent_units[-1].at <= oldest:
                del self.nodes[name], self.cells[node.endpoint.cell].nodes[name]
        self.listed_cells = list(self.cells.values())


class VolumeTable(OrderedDict):
    """Volumes by name, least recently requested first."""

    def touch(self, volume: Volume, now: Ticks) -> None:
        """Marks a volume as the most recently requested."""
        self.move_to_end(volume.name)
        volume.requested_at = now

    def forget_idle(self, now: Ticks, idle_time: Ticks) -> Volume | None:
        """Deletes and returns the least recently requested volume if it is idle and its limit is full."""
        volume = next(iter(self.values()))
        return self._forget(volume) if self._is_unused(volume, now, idle_time) else None

    def forget_unused(self, now: Ticks, searched: int) -> Volume | None:
        """Deletes and returns a volume without operations whose limit is full, if one of the oldest is.

        Args:
            now: The current time.
            searched: Number of volumes to look at, least recently requested first.
        """
        oldest = islice(self.values(), searched)
        unused = next((volume for volume in oldest if self._is_unused(volume, now, 0)), None)
        return None if unused is None else self._forget(unused)

    @staticmethod
    def _is_unused(volume: Volume, now: Ticks, idle_time: Ticks) -> bool:
        # With unfinished operations it is kept: its next request would create a second limit bucket.
        full_at = volume.limit.full_at()
        return not volume.operation_count and max(volume.requested_at + idle_time, full_at) <= now

    def _forget(self, volume: Volume) -> Volume:
        del self[volume.name]
        return volume


class SchedulerState:
    """The state of one scheduler: operations, volumes, endpoints, and the checks due in the next round."""

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
        """Cells whose nodes' limits were reached."""
        self.timers, self.wake = TimerQueue(), WakeTimer()
        self.route_policies, self.route_usage = settings.route_policies, {}
        self.quota_shares: dict[str, float] = {}
        """Assigned shares of volumes' limits."""
        self.quota_raised_at: dict[str, Ticks] = {}
        """When a share was last raised: until then a part of it belonged to another gateway."""
        self.stages: tuple[Stage, ...] = ()
        self.given_up: Counter[GiveUpReason] = Counter()
        """Operations that ended without success since the start, by reason."""

    def on_route_policies(self, policies: Mapping[tuple[str, str], RoutePolicy]) -> None:
        """Replaces the route policies of new operations; usage counts are kept."""
        self.route_policies = policies

    def on_quota(self, now: Ticks, volume: str, share: float) -> None:
        """Sets this gateway's share of a volume's limit."""
        if share > self.quota_shares.get(volume, 0.0):
            self.quota_raised_at[volume] = now
        self.quota_shares[volume] = share
        known = self.volumes.get(volume)
        if known is not None:
            known.limit.set_share(share, now)
            cells = (cell for cell in self.endpoints.listed_cells if known in cell.queues)
            self.mark_changed(cells)

    def on_client_gone(self, now: Ticks, op_id: str) -> None:
        """Ends an operation whose client no longer waits."""
        operation = self.operations.get(op_id)
        if operation is not None and not operation.ended:
            self.end(operation, now)

    def advance(self, operation: Operation, now: Ticks) -> None:
        """Passes an operation through the stages until one of them keeps it."""
        for stage in self.stages:
            if not stage.accept(operation, now):
                return

    def schedule_check(self, when: Ticks, operation: Operation) -> None:
        """Schedules a check of an operation for the first round from `when` on."""
        self.timers.add(when, operation)

    def mark_changed(self, cells: Iterable[Cell]) -> None:
        """Schedules a check of cells in the next round."""
        self.changed_cells.update(dict.fromkeys(cells, True))

    def recheck_blocked(self) -> None:
        """Schedules a check of the blocked cells in the next round."""
        self.changed_cells.update(self.blocked_cells)
        self.blocked_cells = {}

    def cells_to_check(self, now: Ticks) -> Iterator[Cell]:
        """Yields the cells whose queues are due for a check."""
        changed, self.changed_cells = self.changed_cells, {}
        for cell in self.endpoints.cells.values():
            if cell.queues and (cell in changed or cell.next_check <= now):
                yield cell

    def due_operations(self, now: Ticks) -> Iterator[Operation]:
        """Yields the operations that are due for a check."""
        while self.timers.next_time() <= now:
            yield self.timers.pop()

    def set_wake(self, now: Ticks, latest: Ticks) -> None:
        """Requests the next round for the earliest scheduled check, no later than `latest`."""
        queued = [cell.next_check for cell in self.endpoints.cells.values() if cell.queues]
        next_at = now + 1 if self.changed_cells else latest
        delay = self.wake.reschedule(now, min([next_at, self.timers.next_time(), *queued]))
        if delay is not None:
            self.actions.wake_after(delay)

    def register_attempt(self, operation: Operation, node, now: Ticks) -> None:
        """Records the operation's next attempt as in flight at a node."""
        attempt = operation.attempts_started
        operation.attempts_started += 1
        operation.in_flight[attempt] = node
        node.in_flight[operation, attempt] = now
        node.recent_units.append(SentUnits(now, operation.units))
        for limit in node.limits:
            limit.in_flight[operation, attempt] = now, node

    def take_result(self, report: AttemptReport) -> tuple[Operation, Any] | None:
        """Removes an attempt that finished; returns its operation and node, or None if it is unknown."""
        operation = self.operations.get(report.op_id)
        if operation is None or report.attempt not in operation.in_flight:
            return None
        node = operation.in_flight.pop(report.attempt)
        operation.route_usage.in_flight -= report.operation_ended > operation.ended
        operation.ended = operation.ended or report.operation_ended
        self.changed_cells[operation.cell] = True
        if operation.hedged:
            self.changed_cells[self.endpoints.cells[node.endpoint.cell]] = True
        self.recheck_blocked()
        return operation, node

    def end(self, operation: Operation, now: Ticks) -> None:
        """Ends an operation; it is deleted once none of its attempts is in flight."""
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
        """Deletes an operation that ended, or cancels the remaining attempt if it was hedged."""
        if not operation.in_flight:
            operation.volume.settle_limit(operation, now)
            operation.volume.operation_count -= 1
            del self.operations[operation.op_id]
        elif operation.hedged and self.settings.allows_cancellation:
            operation.hedged = False
            for attempt in operation.in_flight:
                self.actions.cancel_attempt(operation.op_id, attempt)
