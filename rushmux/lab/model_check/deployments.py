"""Draws small deployments in which one bound is nearly reached or just exceeded."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from rushmux.routes import resolve
from rushmux.routes.bounds import Bounds, longest_attempt, scheduler_window, worst_slow_start_units
from rushmux.routes.findings import TICKS_PER_MS
from rushmux.scheduling.interface import (
    DedupScope,
    Idempotency,
    QosPlan,
    RequestClass,
    SchedulerSettings,
    Ticks,
)

REQUEST_CLASS, PLAN = "w", "p"  # names of the only request class and plan
MAX_ATTEMPTS = 3
OVERLOAD_WINDOW = 20_000  # ticks
OVERLOAD_MULTIPLE = 2.5
MAX_UNITS = 4.0
DRAIN_MARGIN = 50  # ticks of drain grace beyond the minimum
HEDGING_PROBABILITY = 0.8  # that a deployment near the hedging bound allows hedging
AT_BOUND_PROBABILITY = 0.5  # that a deployment near the slow start bound differs from it by `excess` only


class Boundary(StrEnum):
    """The bound that a drawn deployment nearly reaches or just exceeds; the values appear in mismatches."""

    NETWORK_DELAY = "way"
    DEADLINE = "short"
    DEDUP_WINDOW = "window"
    DRAIN_GRACE = "drain"
    SLOW_START = "cold"
    RATE_LIMIT = "limit"
    ATTEMPT_TIMEOUTS = "ladder"
    HEDGING = "copy"
    RETRY_BUDGET = "budget"


class DrawnDeployment(NamedTuple):
    """A small deployment with one request class and one plan."""

    boundary: Boundary
    bounds: Bounds
    routes: list[resolve.ResolvedRoute]


@dataclass(slots=True)
class _Parameters:
    """Parameters of a deployment; all bounds but the drawn one are kept with a wide margin."""

    excess: int
    """Ticks or units by which the drawn bound is exceeded; negative: by which it is kept."""
    round_interval: Ticks
    network_delay: Ticks
    connect_timeout: Ticks
    latency_objective: Ticks
    deadline: Ticks
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: Ticks = 200_000
    route: dict[str, Any] = field(default_factory=dict)
    """The fields of the route in the deployment file."""
    gateway_count: int = 2
    slow_start_units: float = 10.0
    restarts: int = 1
    allows_hedging: bool = False
    limit: float = 0.0
    slack: float = 0.0
    usage_period: Ticks = 0
    retry_burst: float = 50.0


def draw_deployment(generator: random.Random) -> DrawnDeployment:
    """Draws a deployment near one bound; the others are kept with a wide margin."""
    boundary = generator.choice(tuple(Boundary))
    parameters = _draw_parameters(generator)
    draw_bound = _DRAWS.get(boundary)
    if draw_bound is not None:
        draw_bound(parameters, generator)
    request_class, plan = _request_class(parameters), _plan(parameters)
    rows = [{"lane": REQUEST_CLASS, **parameters.route}]
    routes = resolve.resolve(rows, {REQUEST_CLASS: request_class}, {PLAN: plan}, MAX_ATTEMPTS)
    settings = _settings(parameters, request_class, plan, routes)
    drain_margin = DRAIN_MARGIN
    grace = _least_drain_grace(parameters, routes)
    if boundary is Boundary.DRAIN_GRACE:
        drain_margin = max(-grace, parameters.excess)
    bounds = _bounds(parameters, settings, grace + drain_margin)
    if boundary is Boundary.SLOW_START:
        bounds = _near_overload(parameters, bounds, generator)
    return DrawnDeployment(boundary, bounds, routes)


def _draw_parameters(generator: random.Random) -> _Parameters:
    excess = generator.randrange(-3, 4)
    round_interval = generator.randrange(4, 60) * 2
    network_delay = round_interval // 2 - generator.randrange(1, 3)
    connect_timeout = generator.choice((0, 300, 2_000))
    latency_objective = generator.randrange(20, 60) * 100
    deadline = latency_objective * 3 + 4 * round_interval
    return _Parameters(excess, round_interval, network_delay, connect_timeout, latency_objective, deadline)


def _draw_network_delay(parameters: _Parameters, _generator: random.Random) -> None:
    parameters.network_delay = max(0, parameters.round_interval // 2 + parameters.excess)


def _draw_deadline(parameters: _Parameters, _generator: random.Random) -> None:
    minimum = 2 * parameters.network_delay + parameters.round_interval
    parameters.deadline = max(1, minimum + parameters.excess)
    parameters.latency_objective = max(1, min(parameters.latency_objective, parameters.deadline))


def _draw_dedup_window(parameters: _Parameters, generator: random.Random) -> None:
    parameters.idempotency = Idempotency.KEYED
    parameters.dedup_scope = generator.choice((DedupScope.ALL, DedupScope.CELL))
    timeout_ms = generator.randrange(2, 12) * 10.0
    parameters.route = {"executions": 2, "time_out_ms": timeout_ms}
    interval, excess, objective = parameters.round_interval, parameters.excess, parameters.latency_objective
    wait = min(parameters.connect_timeout, int(timeout_ms * TICKS_PER_MS) + interval)
    longest = objective + interval + wait + parameters.network_delay
    offset = generator.choice((excess, excess - objective // 2, excess - interval))
    parameters.dedup_window = max(2 * interval, longest + offset)


def _draw_slow_start(parameters: _Parameters, generator: random.Random) -> None:
    parameters.gateway_count = generator.randrange(2, 7)
    parameters.slow_start_units = generator.randrange(4, 40) * 1.0


def _draw_rate_limit(parameters: _Parameters, generator: random.Random) -> None:
    parameters.limit = 40.0
    parameters.slack = generator.randrange(0, 4) * 4.0
    parameters.restarts = generator.randrange(0, 5)
    parameters.usage_period = generator.choice((0, 10_000))


def _draw_attempt_timeouts(parameters: _Parameters, generator: random.Random) -> None:
    """Makes the attempts' timeouts and the delays between them fill the deadline or the latency objective."""
    count = generator.randrange(1, 4)
    delay_ms = generator.randrange(0, 5) * 10.0
    interval, delay = parameters.round_interval, delay_ms * TICKS_PER_MS
    longest = (parameters.deadline - 2 * interval - (count - 1) * (interval + delay)) // count
    if count > 1:
        within_objective = (parameters.latency_objective - 1) // (count - 1) - interval - delay
        longest = min(longest, within_objective)
    timeout_ms = max(1, longest + parameters.excess) / TICKS_PER_MS
    parameters.route = {"executions": count, "wait_ms": delay_ms, "time_out_ms": timeout_ms}


def _draw_hedging(parameters: _Parameters, generator: random.Random) -> None:
    parameters.allows_hedging = generator.random() < HEDGING_PROBABILITY
    parameters.idempotency, parameters.dedup_scope = generator.choice(
        (
            (Idempotency.IDEMPOTENT, DedupScope.ALL),
            (Idempotency.KEYED, DedupScope.ALL),
            (Idempotency.KEYED, DedupScope.CELL),
            (Idempotency.NOT_IDEMPOTENT, DedupScope.ALL),
        )
    )
    interval = parameters.round_interval
    latest = min(parameters.latency_objective, parameters.deadline - 2 * interval)
    longest = latest - interval - 2 * parameters.network_delay + parameters.excess
    delay = max(0, generator.choice((longest, longest // 4)))
    parameters.route = {"second_copy": {"after_ms": delay / TICKS_PER_MS}}


def _draw_retry_budget(parameters: _Parameters, _generator: random.Random) -> None:
    parameters.route = {"budget": {"share": 0.0, "free": 4.0}}
    parameters.retry_burst = 4.0 + parameters.excess


_DRAWS: dict[Boundary, Callable[[_Parameters, random.Random], None]] = {
    Boundary.NETWORK_DELAY: _draw_network_delay,
    Boundary.DEADLINE: _draw_deadline,
    Boundary.DEDUP_WINDOW: _draw_dedup_window,
    Boundary.SLOW_START: _draw_slow_start,
    Boundary.RATE_LIMIT: _draw_rate_limit,
    Boundary.ATTEMPT_TIMEOUTS: _draw_attempt_timeouts,
    Boundary.HEDGING: _draw_hedging,
    Boundary.RETRY_BUDGET: _draw_retry_budget,
}


def _request_class(parameters: _Parameters) -> RequestClass:
    return RequestClass(
        name=REQUEST_CLASS,
        latency_objective=parameters.latency_objective,
        deadline=parameters.deadline,
        priority_weight=1.0,
        idempotency=parameters.idempotency,
        dedup_scope=parameters.dedup_scope,
        dedup_window=parameters.dedup_window,
        ordered=False,
    )


def _plan(parameters: _Parameters) -> QosPlan:
    return QosPlan(
        name=PLAN,
        nominal=100.0,
        reserve=50.0,
        limit=parameters.limit,
        burst=24.0 * parameters.gateway_count if parameters.limit else 0.0,
        slack=parameters.slack,
        weight=1.0,
        price=1.0,
    )


def _settings(
    parameters: _Parameters,
    request_class: RequestClass,
    plan: QosPlan,
    routes: list[resolve.ResolvedRoute],
) -> SchedulerSettings:
    interval = parameters.round_interval
    return SchedulerSettings(
        request_classes={REQUEST_CLASS: request_class},
        plans={PLAN: plan},
        gateway_count=parameters.gateway_count,
        round_interval=interval,
        polls_endpoints=False,
        poll_interval=0,
        max_attempts=MAX_ATTEMPTS,
        max_retry_after=0,
        mean_units=2.0,
        max_units=MAX_UNITS,
        slow_start_units=parameters.slow_start_units,
        slow_start_window=scheduler_window(
            OVERLOAD_WINDOW, parameters.network_delay, parameters.connect_timeout, interval
        ),
        overload_multiple=OVERLOAD_MULTIPLE,
        initial_capacity=0.2,
        warm_up_time=160_000,
        usage_period=parameters.usage_period,
        key_cooldown=0,
        retry_budget_ratio=0.5,
        retry_budget_burst=max(0.0, parameters.retry_burst),
        retry_budget_window=100_000,
        allows_hedging=parameters.allows_hedging,
        allows_cancellation=True,
        route_policies=resolve.route_policies(routes),
    )


def _least_drain_grace(parameters: _Parameters, routes: list[resolve.ResolvedRoute]) -> Ticks:
    """Returns the shortest grace in which all attempts arrive that were sent before the drain was known."""
    interval = parameters.round_interval
    longest = max(longest_attempt(interval, route) for route in routes) + interval
    return interval + min(parameters.connect_timeout, longest) + parameters.network_delay


def _bounds(parameters: _Parameters, settings: SchedulerSettings, drain_grace: Ticks) -> Bounds:
    return Bounds(
        settings=settings,
        network_delay=parameters.network_delay,
        connect_timeout=parameters.connect_timeout,
        drain_grace=drain_grace,
        restarts=parameters.restarts,
        overload_window=OVERLOAD_WINDOW,
        overload_units=1_000.0,
        served_units=400.0,
        max_operations=20_000,
        unit_bytes=1,
    )


def _near_overload(parameters: _Parameters, bounds: Bounds, generator: random.Random) -> Bounds:
    """Sets the units that overload a node in slow start, and those it serves, which are a fraction of them.

    The bound depends on both.
    """
    minimum = parameters.slow_start_units + parameters.gateway_count * MAX_UNITS + parameters.excess
    overload_units = minimum * generator.choice((1.0, 0.8, 0.5, 2.0, 4.0))
    served_fraction = generator.choice((0.1, 0.5, 1.0))
    bounds = bounds._replace(
        overload_units=overload_units,
        served_units=overload_units / OVERLOAD_MULTIPLE * served_fraction,
    )
    if generator.random() < AT_BOUND_PROBABILITY:
        overload_units = worst_slow_start_units(bounds) + parameters.excess
    return bounds._replace(overload_units=overload_units)
