"""What goes into the scheduler and what comes out of it.

A `scheduler.Scheduler` is built once for each start of a gateway and then called with the events of
`SchedulerEvents`; it answers through the calls of a `SchedulerActions`.  All times and durations are `Ticks`
on the caller's clock, which never moves backwards.  Ids of operations, nodes, volumes and keys are opaque.

The value of each enum member is its spelling in stored notations (deployment files, scenarios, recorded
histories), which stays as it is.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

Ticks = int
"""A time or a duration in tenths of a millisecond."""

UNLIMITED: Ticks = 1 << 62


class Idempotency(StrEnum):
    """Whether an operation may be attempted again once it may have run."""

    IDEMPOTENT = "replayable"
    KEYED = "referenced"
    """Nodes drop a repeat by its key, within a window and a scope."""
    NOT_IDEMPOTENT = "single-use"


class DedupScope(StrEnum):
    """Which nodes share what they remember of a keyed operation."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptResult(StrEnum):
    """How an attempt came back."""

    SUCCEEDED = "succeeded"
    FAILED = "errored"
    """The node answered with an error; it may have run."""
    REJECTED = "full"
    """The node turned it away unread."""
    TIMED_OUT = "overdue"
    """No answer in time; it may still run."""
    CONNECT_FAILED = "unreached"
    """No connection was made."""
    CONNECTION_LOST = "severed"
    """The connection broke; it may have run."""
    CANCELLED = "withdrawn"
    """Called off by this gateway; it may have run."""
    NOT_SENT = "moot"
    """Never sent."""


NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
MAY_STILL_RUN = (AttemptResult.TIMED_OUT, AttemptResult.CONNECTION_LOST, AttemptResult.CANCELLED)
LOST_CONNECTIONS = (AttemptResult.CONNECTION_LOST, AttemptResult.CONNECT_FAILED)
NODE_FAULTS = (*LOST_CONNECTIONS, AttemptResult.FAILED)


class EndpointState(StrEnum):
    """What a node's entry says of it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class GiveUpReason(StrEnum):
    """Why an operation got its final answer without a success."""

    RATE_LIMIT = "rate_limit"
    """Its volume's limit did not let it go before its latency objective."""
    CAPACITY = "capacity"
    """No node let it go before its latency objective, or would answer it in time."""
    ROUTE_FULL = "route_full"
    """Its route has too many in flight."""
    NO_ENDPOINT = "no_endpoint"
    """No node is listed that could take it."""
    NO_RETRY = "no_retry"
    """An attempt came back without a success, and no other may be made."""


class VolumeEventKind(StrEnum):
    """What changed in what a gateway keeps of a volume."""

    STARTED = "started"
    """It was not known, or forgotten."""
    USAGE_REPORTED = "usage_reported"
    """Answers hold a figure of the fleet's usage, after none before."""
    USAGE_MISSING = "usage_missing"
    """They hold none, after a figure before."""
    SPLIT_FURTHER = "split_further"
    """A request names more gateways than those before."""
    FORGOTTEN = "forgotten"
    """It was idle for long."""


class UpdateKind(StrEnum):
    """What an update of the endpoint list is."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    RECOVERED = "restored"
    """A snapshot of before this start."""
    UNAVAILABLE = "unavailable"
    """Discovery could not be asked."""


class RequestClass(NamedTuple):
    """One class of requests: what the scheduler reads of it."""

    name: str
    latency_objective: Ticks
    deadline: Ticks
    """From arrival to the last moment for a final answer."""
    priority_weight: float
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window: Ticks
    """How long nodes remember a keyed operation."""
    ordered: bool
    """Operations of one key run one at a time, in order of arrival."""


class QosPlan(NamedTuple):
    """A volume's entitlement over all gateways and nodes, in units and units a second."""

    name: str
    nominal: float
    reserve: float
    limit: float
    """0: none."""
    burst: float
    slack: float
    """Units by which the rule on limits may be passed; no decision uses them up."""
    weight: float
    price: float


class RoutePolicy(NamedTuple):
    """What the settings state for the operations of a class and plan; the scheduler only tightens it."""

    attempt_timeout: Ticks = UNLIMITED
    max_attempts: int = UNLIMITED
    """Of one operation, hedged requests counted."""
    retry_delay: Ticks = 0
    hedge_after: Ticks | None = 0
    """No hedged request is sent before; None: none is sent at all."""
    max_in_flight: int = UNLIMITED
    """Operations that a gateway holds at a time; others are shed."""
    retry_ratio: float = 0.0
    """Retries earned by each operation, saved up to `retry_burst`."""
    retry_burst: float = UNLIMITED


NO_ROUTE_POLICY = RoutePolicy()
NO_ROUTE_POLICIES: Mapping[tuple[str, str], RoutePolicy] = {}


class SchedulerSettings(NamedTuple):
    """What a deployment states at the start of a gateway."""

    request_classes: dict[str, RequestClass]
    plans: dict[str, QosPlan]
    gateway_count: int
    round_interval: Ticks
    """The shortest time between two rounds of events."""
    polls_endpoints: bool
    """Updates of the endpoint list come only to those who poll for them."""
    poll_interval: Ticks
    max_attempts: int
    """Of one operation."""
    max_retry_after: Ticks
    """The longest Retry-After that clients follow; 0: none is passed on."""
    mean_units: float
    max_units: float
    """The largest operation."""
    slow_start_units: float
    """What a node in slow start bears within `slow_start_window` from all gateways."""
    slow_start_window: Ticks
    overload_multiple: float
    """Of its capacity: what overloads a node in slow start when it is sent for a whole window."""
    initial_capacity: float
    """Part of its capacity that a node starts with, at least."""
    warm_up_time: Ticks
    usage_period: Ticks
    """Period of the fleet's usage meter; 0: none."""
    key_cooldown: Ticks
    """How long a key rests after an attempt that may still run."""
    retry_budget_ratio: float | None
    """Retries for each operation within `retry_budget_window`; None: no budget."""
    retry_budget_burst: float
    retry_budget_window: Ticks
    allows_hedging: bool = False
    """An operation may have two attempts in flight."""
    allows_cancellation: bool = False
    reports_load: bool = False
    """Nodes tell their load, the service time at least, to who asks."""
    route_policies: Mapping[tuple[str, str], RoutePolicy] = NO_ROUTE_POLICIES
    """By names of class and plan; others have `NO_ROUTE_POLICY`."""

    @property
    def shortest_objective(self) -> Ticks:
        """The shortest latency objective of all classes."""
        return min(each.latency_objective for each in self.request_classes.values())

    @property
    def highest_weight(self) -> float:
        """The highest priority weight of all classes."""
        return max(each.priority_weight for each in self.request_classes.values())


class Endpoint(NamedTuple):
    """A node as the endpoint list shows it."""

    node: str
    cell: int
    """The shard of data that it holds."""
    zone: str
    state: EndpointState
    online_since: Ticks
    """0: long ago."""


class OperationRequest(NamedTuple):
    """An operation that a client asks for."""

    op_id: str
    request_class: str
    plan: str
    volume: str
    key: str
    """Operations on one piece of data share it; empty: none."""
    time_left: Ticks
    """Until its client stops waiting."""
    units: float
    cell: int
    """The cell that holds its data; negative: a new object, which may be placed anywhere."""
    gateway_count: int
    """Gateways that share the volume."""
    is_retry: bool


class AttemptReport(NamedTuple):
    """How an attempt of an operation came back."""

    op_id: str
    attempt: int
    """Its number, 0 for the first."""
    result: AttemptResult
    operation_ended: bool
    """Its client was answered, or nobody waits for the answer any more."""
    fleet_usage: int
    """1 + percent of the plan's rate that the fleet used in a finished period; 0: not told."""
    remote_usage: float
    """Units served for the volume through other gateways since the last answer."""


class VolumeEvent(NamedTuple):
    """A change in what a gateway keeps of a volume that has a limit."""

    kind: VolumeEventKind
    volume: str
    plan: str
    gateway_count: int
    limit_level: float
    """Units that its limit bucket holds."""
    limit_capacity: float
    limit_rate: float
    """Units a second."""


class SchedulerActions(Protocol):
    """What the scheduler may do.  Each call takes effect at the time of the event it answers."""

    def start_attempt(self, op_id: str, node: str, timeout: Ticks) -> None:
        """Sends the operation's next attempt to a node."""

    def shed(self, op_id: str, retry_after: Ticks) -> None:
        """Gives the final answer that the operation did not and will not run; 0: no Retry-After."""

    def fail(self, op_id: str) -> None:
        """Gives the final answer that the operation failed; it may have run."""

    def wake_after(self, delay: Ticks) -> None:
        """Asks for a round after a delay; replaces what was asked for before."""

    def poll_endpoints(self) -> None:
        """Asks for the endpoint list and its updates."""

    def cancel_attempt(self, op_id: str, attempt: int) -> None:
        """Calls an attempt off; it still comes back."""

    def request_load_report(self, node: str) -> None:
        """Asks a node for its load."""

    def report_volume(self, event: VolumeEvent) -> None:
        """Tells operators of a change; nothing has to be done."""


class SchedulerEvents(Protocol):
    """What the scheduler is told.  `run_round` closes each round of events."""

    def on_endpoints(self, now: Ticks, kind: UpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """The endpoint list, or updates of it, arrived."""

    def on_operation(self, now: Ticks, request: OperationRequest) -> None:
        """A client asks for an operation."""

    def on_attempt_result(self, now: Ticks, report: AttemptReport) -> None:
        """An attempt came back."""

    def on_load_report(
        self, node: str, result: AttemptResult, queue: float | None, service: float | None
    ) -> None:
        """A node told its load: operations queued, ticks of a recent one's service; None: not told."""

    def on_client_gone(self, now: Ticks, op_id: str) -> None:
        """The operation needs no answer any more."""

    def on_quota(self, now: Ticks, volume: str, share: float) -> None:
        """This gateway's share of a volume's limit changed."""

    def on_route_policies(self, policies: Mapping[tuple[str, str], RoutePolicy]) -> None:
        """Route policies for operations from now on."""

    def run_round(self, now: Ticks) -> None:
        """Acts on all events since the last round."""
