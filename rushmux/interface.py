"""What goes into the decision module and what comes out of it.

`rushmux.rules.Gateway` is built once for each start of a gateway and then called with
what happens there; it answers through the calls of an `Outbox`.  All times are whole
tenths of a millisecond on the caller's clock, which never moves backwards.  Ids of
operations, nodes, volumes and keys are opaque text.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

# How a lane's operations may be repeated.
REPLAYABLE, REFERENCED, SINGLE_USE = "replayable", "referenced", "single-use"

# How an execution came back.
SUCCEEDED = "succeeded"
ERRORED = "errored"  # the node answered with an error; it may have run
FULL = "full"  # turned away unread
OVERDUE = "overdue"  # no answer in time; it may still run
UNREACHED = "unreached"  # no connection was made
SEVERED = "severed"  # the connection broke; it may have run
WITHDRAWN = "withdrawn"  # called off by this gateway; it may have run
MOOT = "moot"  # never sent

# Conditions of a node, and kinds of list.
READY, DRAINING, GONE = "ready", "draining", "gone"
CHANGES, WHOLE, RESTORED, UNAVAILABLE = "changes", "whole", "restored", "unavailable"


class Lane(NamedTuple):
    """One row of the table of lanes: what the module reads of a lane."""

    name: str
    quoted_time: int
    hard_stop: int
    utility: float
    repeat: str
    group: str  # who drops repeats of a referenced operation: all, zone or cell
    window: int  # how long they remember it
    in_order: bool


class Plan(NamedTuple):
    """A volume's entitlement, over all gateways and nodes (units, units a second)."""

    name: str
    nominal: float
    reserve: float
    limit: float  # 0: none
    burst: float
    slack: float
    weight: float
    price: float


class Route(NamedTuple):
    """What the settings state for a lane's operations of a plan; the module only tightens it."""

    time_out: int = 1 << 62  # the most that an execution may take
    executions: int = 1 << 62  # the most of one operation, second copies counted
    wait: int = 0  # from an execution's return until the next
    copy_after: int | None = 0  # no second copy goes before; None: none goes at all
    held: int = 1 << 62  # operations that a gateway holds at a time; others are shed
    share: float = 0.0  # further executions for each operation taken, saved up to `free`
    free: float = 1 << 62


NO_ROUTE = Route()


class Terms(NamedTuple):
    """What a deployment states at the start of a gateway."""

    lanes: dict[str, Lane]
    plans: dict[str, Plan]
    gateways: int
    tick: int  # shortest time between two rounds of events
    list_asked: bool  # changes of the list come only to those who ask
    ask_within: int
    executions: int  # most executions of one operation
    come_back: int  # longest advice that clients follow; 0: no advice is passed on
    mean_units: float
    most_units: float
    cold_units: float  # what a cold node bears within `cold_span` from all gateways
    cold_span: int
    fall_multiple: float  # of its capacity that pushes a cold node over, sent for `cold_span`
    cold_start: float  # part of its capacity that a node starts with, at least
    warm_within: int
    meter_span: int  # period of the fleet meter; 0: none
    order_rest: int  # rest of a key after an execution that may still run
    budget_share: float | None  # further executions for each operation taken; None: no budget
    budget_free: float
    budget_span: int
    copies: bool = False  # an operation may have two executions out
    cancel: bool = False  # executions may be withdrawn
    load_asked: bool = False  # nodes tell their load, the service time at least, to who asks
    routes: dict[tuple[str, str], Route] = {}  # by lane and plan; left out: NO_ROUTE


class Listed(NamedTuple):
    """A node as the list shows it."""

    node: str
    cell: int  # the shard of data it holds
    zone: str
    condition: str
    online_since: int  # 0: long ago


class Outbox(Protocol):
    """What the module may do.  Each call takes effect at the time of the event it answers."""

    def execute(self, op_id: str, node: str, time_out: int) -> None: ...
    def shed(self, op_id: str, come_back: int) -> None: ...
    def terminate(self, op_id: str) -> None: ...
    def wake(self, after: int) -> None: ...
    def watch(self) -> None: ...
    def withdraw(self, op_id: str, execution: int) -> None: ...
    def probe(self, node: str) -> None: ...


class Decisions(Protocol):
    """What the module is told.  `act` closes each round of events."""

    def listed(self, now: int, kind: str, entries: Sequence[Listed]) -> None: ...
    def taken(
        self,
        now: int,
        op_id: str,
        lane: str,
        plan: str,
        volume: str,
        key: str,
        left: int,
        units: float,
        cell: int,
        mounts: int,
        again: bool,
    ) -> None: ...
    def answered(
        self,
        now: int,
        op_id: str,
        execution: int,
        result: str,
        ended: bool,
        fleet_use: int,
        from_others: float,
    ) -> None: ...
    def reported(self, node: str, result: str, queue: float | None, service: float | None) -> None: ...
    def left(self, now: int, op_id: str) -> None: ...
    def shared(self, now: int, volume: str, part: float) -> None: ...
    def routed(self, routes: dict[tuple[str, str], Route]) -> None: ...
    def act(self, now: int) -> None: ...
