"""The scheduler's inputs and outputs.

A `scheduler.Scheduler` is created at each start of a gateway.  It receives the events of `SchedulerEvents`
and responds by calling a `SchedulerActions`.  All times and durations are `Ticks` on the caller's clock,
which never moves backwards.  Ids of operations, nodes, volumes and keys are opaque.

Enum values are stored in deployment files, scenarios and recorded histories, so they must not change.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

Ticks = int
"""A time or a duration in tenths of a millisecond."""

UNLIMITED: Ticks = 1 << 62


class Idempotency(StrEnum):
    """Whether an operation that may have run can be attempted again."""

    IDEMPOTENT = "replayable"
    KEYED = "referenced"
    """Nodes ignore a repeat by its key, within a time window and a scope."""
    NOT_IDEMPOTENT = "single-use"


class DedupScope(StrEnum):
    """Which nodes share the keys of operations that they have run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptResult(StrEnum):
    """The outcome of an attempt."""

    SUCCEEDED = "succeeded"
    FAILED = "errored"
    """The node answered with an error; the operation may have run."""
    REJECTED = "full"
    """The node rejected it without running it."""
    TIMED_OUT = "overdue"
    """No answer in time; the operation may still run."""
    CONNECT_FAILED = "unreached"
    """No connection could be made."""
    CONNECTION_LOST = "severed"
    """The connection broke; the operation may have run."""
    CANCELLED = "withdrawn"
    """Cancelled by this gateway; the operation may have run."""
    NOT_SENT = "moot"
    """Never sent."""


NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
MAY_STILL_RUN = (AttemptResult.TIMED_OUT, AttemptResult.CONNECTION_LOST, AttemptResult.CANCELLED)
LOST_CONNECTIONS = (AttemptResult.CONNECTION_LOST, AttemptResult.CONNECT_FAILED)
NODE_FAULTS = (*LOST_CONNECTIONS, AttemptResult.FAILED)


class EndpointState(StrEnum):
    """A node's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class GiveUpReason(StrEnum):
    """Why an operation ended without success."""

    RATE_LIMIT = "rate_limit"
    """The volume's limit did not admit it before its latency objective."""
    CAPACITY = "capacity"
    """No node could accept it before its latency objective, or would answer in time."""
    ROUTE_FULL = "route_full"
    """Its route has too many operations in flight."""
    VOLUMES_FULL = "volumes_full"
    """Its volume is new, and no other could be forgotten for it."""
    NO_ENDPOINT = "no_endpoint"
    """No listed node can serve it."""
    NO_RETRY = "no_retry"
    """An attempt failed and no other is allowed."""


class VolumeEventKind(StrEnum):
    """A change in a gateway's state of a volume."""

    STARTED = "started"
    """The first request for it, or the first since it was forgotten."""
    USAGE_REPORTED = "usage_reported"
    """Answers began to contain the fleet's usage."""
    USAGE_MISSING = "usage_missing"
    """Answers no longer contain the fleet's usage."""
    SPLIT_FURTHER = "split_further"
    """A request names more gateways than any before it."""
    FORGOTTEN = "forgotten"
    """It was idle for long."""


class UpdateKind(StrEnum):
    """The kind of an endpoint list update."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    RECOVERED = "restored"
    """A snapshot stored before this start."""
    UNAVAILABLE = "unavailable"
    """Discovery could not be reached."""


class RequestClass(NamedTuple):
    """The properties of a request class that the scheduler uses."""

    name: str
    latency_objective: Ticks
    deadline: Ticks
    """Time from arrival by which the final answer is due."""
    priority_weight: float
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window: Ticks
    """How long nodes remember the key of an operation."""
    ordered: bool
    """Operations with the same key run one at a time, in order of arrival."""


class QosPlan(NamedTuple):
    """A volume's entitlement over all gateways and nodes, in units and units per second."""

    name: str
    nominal: float
    reserve: float
    limit: float
    """0: no limit."""
    burst: float
    slack: float
    """Tolerance of the rule on limits, in units; the scheduler does not use it."""
    weight: float
    price: float


class RoutePolicy(NamedTuple):
    """Configured bounds for operations of a class and plan; the scheduler may only tighten them."""

    attempt_timeout: Ticks = UNLIMITED
    max_attempts: int = UNLIMITED
    """Per operation, including hedged requests."""
    retry_delay: Ticks = 0
    hedge_after: Ticks | None = 0
    """Minimum delay before a hedged request; None: hedging is off."""
    max_in_flight: int = UNLIMITED
    """Unfinished operations per gateway; further ones are shed."""
    retry_ratio: float = 0.0
    """Retry credit earned per operation, up to `retry_burst`."""
    retry_burst: float = UNLIMITED


NO_ROUTE_POLICY = RoutePolicy()
NO_ROUTE_POLICIES: Mapping[tuple[str, str], RoutePolicy] = {}


class SchedulerSettings(NamedTuple):
    """Settings of a deployment, fixed at the start of a gateway."""

    request_classes: dict[str, RequestClass]
    plans: dict[str, QosPlan]
    gateway_count: int
    round_interval: Ticks
    """Minimum time between two rounds."""
    polls_endpoints: bool
    """Whether updates of the endpoint list have to be polled for."""
    poll_interval: Ticks
    max_attempts: int
    """Per operation."""
    max_retry_after: Ticks
    """The longest Retry-After that clients honor; 0: none is sent."""
    mean_units: float
    max_units: float
    """Units of the largest operation."""
    slow_start_units: float
    """Capacity of a node in slow start within `slow_start_window`, over all gateways."""
    slow_start_window: Ticks
    overload_multiple: float
    """Load that overloads a node in slow start over a window, as a multiple of its capacity."""
    initial_capacity: float
    """Minimum fraction of its capacity that a node has when it starts."""
    warm_up_time: Ticks
    usage_period: Ticks
    """Period of the fleet's usage meter; 0: none."""
    key_cooldown: Ticks
    """Pause of a key after an attempt that may still run."""
    retry_budget_ratio: float | None
    """Retries per operation within `retry_budget_window`; None: no budget."""
    retry_budget_burst: float
    retry_budget_window: Ticks
    allows_hedging: bool = False
    """Whether an operation may have two attempts in flight."""
    allows_cancellation: bool = False
    reports_load: bool = False
    """Whether nodes report their load on request, at least the service time."""
    route_policies: Mapping[tuple[str, str], RoutePolicy] = NO_ROUTE_POLICIES
    """By names of class and plan; all others have `NO_ROUTE_POLICY`."""

    @property
    def shortest_objective(self) -> Ticks:
        """The shortest latency objective of any class."""
        return min(each.latency_objective for each in self.request_classes.values())

    @property
    def highest_weight(self) -> float:
        """The highest priority weight of any class."""
        return max(each.priority_weight for each in self.request_classes.values())


class Endpoint(NamedTuple):
    """A node's entry in the endpoint list."""

    node: str
    cell: int
    """The shard of data that the node holds."""
    zone: str
    state: EndpointState
    online_since: Ticks
    """0: long ago."""


class OperationRequest(NamedTuple):
    """A client's request for an operation."""

    op_id: str
    request_class: str
    plan: str
    volume: str
    key: str
    """Identifies the piece of data; empty: none."""
    time_left: Ticks
    """Time until the client stops waiting."""
    units: float
    cell: int
    """The cell that holds the data; negative: a new object, which may be placed anywhere."""
    gateway_count: int
    """Number of gateways that serve the volume."""
    is_retry: bool


class AttemptReport(NamedTuple):
    """The outcome of an attempt, with usage reported by its node."""

    op_id: str
    attempt: int
    """Its number, 0 for the first."""
    result: AttemptResult
    operation_ended: bool
    """Whether the client was answered or stopped waiting."""
    fleet_usage: int
    """1 + the percentage of the plan's rate that the fleet used in a finished period; 0: not reported."""
    remote_usage: float
    """Units served for the volume through other gateways since the last answer."""


class VolumeEvent(NamedTuple):
    """A change in a gateway's state of a volume that has a limit."""

    kind: VolumeEventKind
    volume: str
    plan: str
    gateway_count: int
    limit_level: float
    """Units in its limit bucket."""
    limit_capacity: float
    limit_rate: float
    """Units per second."""


class SchedulerActions(Protocol):
    """Calls from the scheduler.  Each takes effect at the time of the event that caused it."""

    def start_attempt(self, op_id: str, node: str, timeout: Ticks) -> None:
        """Sends the operation's next attempt to a node."""

    def shed(self, op_id: str, retry_after: Ticks) -> None:
        """Answers that the operation did not and will not run; 0: without Retry-After."""

    def fail(self, op_id: str) -> None:
        """Answers that the operation failed; it may have run."""

    def wake_after(self, delay: Ticks) -> None:
        """Requests a round after a delay, replacing any earlier request."""

    def poll_endpoints(self) -> None:
        """Requests the endpoint list and its updates."""

    def cancel_attempt(self, op_id: str, attempt: int) -> None:
        """Cancels an attempt; its result is still reported."""

    def request_load_report(self, node: str) -> None:
        """Asks a node for its load."""

    def report_volume(self, event: VolumeEvent) -> None:
        """Informs operators of a change; no action is required."""


class SchedulerEvents(Protocol):
    """Calls to the scheduler.  `run_round` closes each round of events."""

    def on_endpoints(self, now: Ticks, kind: UpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """The endpoint list or an update of it arrived."""

    def on_operation(self, now: Ticks, request: OperationRequest) -> None:
        """A client requested an operation."""

    def on_attempt_result(self, now: Ticks, report: AttemptReport) -> None:
        """An attempt finished."""

    def on_load_report(
        self, node: str, result: AttemptResult, queue: float | None, service: float | None
    ) -> None:
        """A node reported its queue length and its recent service time in ticks; None: not reported."""

    def on_client_gone(self, now: Ticks, op_id: str) -> None:
        """The operation's client no longer waits for an answer."""

    def on_quota(self, now: Ticks, volume: str, share: float) -> None:
        """This gateway's share of a volume's limit changed."""

    def on_route_policies(self, policies: Mapping[tuple[str, str], RoutePolicy]) -> None:
        """The route policies of new operations changed."""

    def run_round(self, now: Ticks) -> None:
        """Acts on all events since the previous round."""
