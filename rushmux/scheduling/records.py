"""Records of the scheduler's state."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from rushmux.scheduling.interface import UNLIMITED, OperationRequest, RequestClass, RoutePolicy, Ticks

if TYPE_CHECKING:
    from rushmux.scheduling.node import Node
    from rushmux.scheduling.scheduler import Scheduler
    from rushmux.scheduling.volume import Volume

NEVER: Ticks = UNLIMITED
"""Later than any time."""
TICKS_PER_SECOND: Ticks = 10_000


class EndedOperation(NamedTuple):
    """An operation that ended, kept to recognize a retry by its client."""

    key: str
    client_deadline: Ticks
    ended_at: Ticks
    objective_at: Ticks


class SentUnits(NamedTuple):
    """Units sent to a node; negative: credit for units that it answered."""

    at: Ticks
    units: float


@dataclass(eq=False, slots=True)
class RouteUsage:
    """This gateway's usage of one route policy: operations in flight and credit for retries."""

    retry_credit: float
    in_flight: int = 0

    def on_operation(self, route: RoutePolicy) -> None:
        """Counts an operation and adds its retry credit."""
        self.in_flight += 1
        self.retry_credit = min(route.retry_burst, self.retry_credit + route.retry_ratio)


@dataclass(eq=False, slots=True)
class Cell:
    """The nodes that hold one shard of data, and the operations queued for them."""

    nodes: dict[str, Node] = field(default_factory=dict)
    queues: dict[Volume, list[Operation]] = field(default_factory=dict)
    next_check: Ticks = NEVER
    """When a queued operation may become ready to send."""
    last_requested_at: Ticks = -NEVER
    sharing_gateways: float = 1
    """The highest gateway count of the volumes that used the cell recently."""

    def check_by(self, when: Ticks) -> None:
        """Schedules a check of the queues no later than `when`."""
        self.next_check = min(self.next_check, when)

    def remove(self, operation: Operation) -> None:
        """Removes an operation from its queue."""
        queue = self.queues[operation.volume]
        queue.remove(operation)
        if not queue:
            del self.queues[operation.volume]
        operation.queued = False


@dataclass(eq=False, slots=True)
class Operation:
    """An operation, until it has ended with nothing in flight."""

    request: OperationRequest
    request_class: RequestClass
    volume: Volume
    arrived_at: Ticks
    objective_at: Ticks
    deadline_at: Ticks
    """When it must have ended: some rounds before `client_deadline`."""
    client_deadline: Ticks
    """When its client stops waiting."""
    route: RoutePolicy
    route_usage: RouteUsage
    op_id: str = field(init=False)
    key: str = field(init=False)
    units: float = field(init=False)
    requested_cell: int = field(init=False)
    """The cell that holds the data; negative: a new object."""
    cell: Cell | None = None
    retry_at: Ticks = 0
    """Earliest time of the next attempt, after the route's retry delay."""
    in_flight: dict[int, Node] = field(default_factory=dict)
    """Nodes by attempt number; two with a hedged request."""
    attempts_started: int = 0
    limit_reserved: float = 0.0
    """Units reserved in the limit bucket."""
    hedged: bool = False
    hedge_at: Ticks = NEVER
    may_have_run_at: Ticks | None = None
    """When the first attempt that may have run was sent."""
    may_have_run_on: Node | None = None
    """The node of that attempt."""
    ended: bool = False
    queued: bool = False

    def __post_init__(self) -> None:
        request = self.request
        self.op_id, self.key, self.units = request.op_id, request.key, request.units
        self.requested_cell = request.cell


class Stage:
    """A stage of the scheduler; results pass the stages in reverse order."""

    def __init__(self, scheduler: Scheduler):
        self.scheduler = scheduler
        self.settings = scheduler.settings
        self.actions = scheduler.actions

    def accept(self, operation: Operation, now: Ticks) -> bool:
        """Returns whether the operation passes to the next stage at once."""
        raise NotImplementedError

    def on_result(self, operation: Operation, attempt, node, result, now: Ticks) -> None:
        """Processes the result of an attempt."""
