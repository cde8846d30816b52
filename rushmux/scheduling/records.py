"""Plain records of the decision logic's state; every decision on them stands in the files under `policy`."""

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
SECOND: Ticks = 10_000


class EndedOperation(NamedTuple):
    """What is remembered of an operation that ended, to know its client's retry by."""

    key: str
    client_deadline: Ticks
    ended_at: Ticks
    objective_at: Ticks


class SentUnits(NamedTuple):
    """Units sent to a node; negative: given back for what it answered."""

    at: Ticks
    units: float


@dataclass(eq=False, slots=True)
class RouteUsage:
    """What a route policy's caps count: the operations of one class and plan that this gateway holds."""

    retry_credit: float
    in_flight: int = 0

    def on_operation(self, route: RoutePolicy) -> None:
        """Counts an operation, which earns credit for retries."""
        self.in_flight += 1
        self.retry_credit = min(route.retry_burst, self.retry_credit + route.retry_ratio)


@dataclass(eq=False, slots=True)
class Cell:
    """The nodes that hold one shard of data, and what is queued for them."""

    nodes: dict[str, Node] = field(default_factory=dict)
    queues: dict[Volume, list[Operation]] = field(default_factory=dict)
    next_check: Ticks = NEVER
    """When something queued may go."""
    last_wanted_at: Ticks = -NEVER
    sharing_gateways: float = 1
    """The most gateways of a volume that wanted the cell lately."""

    def check_by(self, when: Ticks) -> None:
        """Has the queues looked at no later than a time."""
        self.next_check = min(self.next_check, when)

    def remove(self, operation: Operation) -> None:
        """Takes an operation out of its queue."""
        queue = self.queues[operation.volume]
        queue.remove(operation)
        if not queue:
            del self.queues[operation.volume]
        operation.queued = False


@dataclass(eq=False, slots=True)
class Operation:
    """An operation that this gateway has taken and not forgotten."""

    request: OperationRequest
    request_class: RequestClass
    volume: Volume
    arrived_at: Ticks
    objective_at: Ticks
    deadline_at: Ticks
    """When it ends: some rounds before its client stops waiting."""
    client_deadline: Ticks
    """When its client stops waiting."""
    route: RoutePolicy
    route_usage: RouteUsage
    op_id: str = field(init=False)
    key: str = field(init=False)
    units: float = field(init=False)
    requested_cell: int = field(init=False)
    """The cell that holds its data; negative: a new object."""
    cell: Cell | None = None
    retry_at: Ticks = 0
    """No attempt before, for the route's delay."""
    in_flight: dict[int, Node] = field(default_factory=dict)
    """Attempt's number to its node: two with a hedged request."""
    attempts_started: int = 0
    limit_reserved: float = 0.0
    """Units let go that no node is known to have."""
    hedged: bool = False
    hedge_at: Ticks = NEVER
    may_have_run_at: Ticks | None = None
    """When the first attempt left that may have run, and to which node."""
    may_have_run_on: Node | None = None
    ended: bool = False
    queued: bool = False

    def __post_init__(self) -> None:
        request = self.request
        self.op_id, self.key, self.units = request.op_id, request.key, request.units
        self.requested_cell = request.cell


class Stage:
    """A step of the way of an operation, which results pass in reverse order."""

    def __init__(self, scheduler: Scheduler):
        self.scheduler = scheduler
        self.settings = scheduler.settings
        self.actions = scheduler.actions

    def accept(self, operation: Operation, now: Ticks) -> bool:
        """Whether the operation goes on to the next stage at once."""
        raise NotImplementedError

    def on_result(self, operation: Operation, attempt, node, result, now: Ticks) -> None:
        """Sees how an attempt came back."""
