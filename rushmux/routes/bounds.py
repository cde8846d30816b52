"""The bounds that a deployment states, and the worst delays and loads that follow from them.

All times are ticks (0.1 ms).  docs/routes.md derives each closed form.
"""

from typing import NamedTuple

from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.interface import RequestClass, SchedulerSettings, Ticks
from rushmux.scheduling.node import ANSWER_CREDIT

ANSWER_MARGIN = 2  # rounds before a deadline at which the scheduler ends the operation


class Bounds(NamedTuple):
    """Bounds on the environment, beside the scheduler's settings."""

    settings: SchedulerSettings
    network_delay: Ticks
    """The longest delay of a message in one direction."""
    connect_timeout: Ticks
    """The longest that an attempt waits for a connection."""
    drain_grace: Ticks
    """How long after a drain's notice attempts may reach the node."""
    restarts: int
    """Restarts of one gateway while a limit's burst refills."""
    overload_window: Ticks
    """Window of the overload rule for slow start; the scheduler uses a longer one."""
    overload_units: float
    """The least units within the window that overload a node that just started."""
    served_units: float
    """The most units that such a node answers within the window."""
    max_operations: int
    """Operations that a gateway has capacity for."""
    unit_bytes: int
    contended_cell_fraction: float = 1.0
    """The least fraction of all cells that gateways with work for a node in slow start serve."""


def scheduler_window(window: Ticks, delay: Ticks, connect_timeout: Ticks, interval: Ticks) -> Ticks:
    """Returns the window over which sends must be limited to limit the arrivals in `window`.

    Attempts sent at different times may arrive together, because their delays differ.
    """
    return window + delay + connect_timeout + interval


def time_in_scheduler(bounds: Bounds, request_class: RequestClass) -> Ticks:
    """Returns how long an operation may be queued or in flight."""
    return max(0, request_class.deadline - ANSWER_MARGIN * bounds.settings.round_interval)


def latest_answer_time(bounds: Bounds, request_class: RequestClass) -> Ticks:
    """Returns the longest time from a client's request until its final answer.

    Network delay, time in the scheduler, one late round, network delay.
    """
    interval = bounds.settings.round_interval
    return 2 * bounds.network_delay + interval + time_in_scheduler(bounds, request_class)


def longest_attempt(interval: Ticks, route: ResolvedRoute) -> Ticks:
    """Returns how long one attempt may take."""
    remaining = route.request_class.deadline - ANSWER_MARGIN * interval
    return max(0, min(route.policy.attempt_timeout, remaining))


def longest_connect_wait(bounds: Bounds, route: ResolvedRoute) -> Ticks:
    """Returns how long an attempt may wait for a connection and still be sent.

    A round notices its timeout up to one interval late.
    """
    interval = bounds.settings.round_interval
    return min(bounds.connect_timeout, longest_attempt(interval, route) + interval)


def _units_beyond_shares(bounds: Bounds) -> float:
    """Returns the units beyond the gateways' shares that a node in slow start may receive in a window.

    The largest dithers, and the credit for answers within a window, for those that delays bunch up with them,
    and for one largest operation that was nearly complete.
    """
    settings, window = bounds.settings, bounds.overload_window
    bunching = 1 + (settings.slow_start_window - window + bounds.network_delay) / window
    answered = bounds.served_units * bunching + settings.max_units
    credit = ANSWER_CREDIT * (settings.overload_multiple - 1) * answered
    return settings.gateway_count * settings.max_units + credit


def worst_slow_start_units(bounds: Bounds) -> float:
    """Returns the most units that all gateways can send a node that just started, in a window."""
    return bounds.settings.slow_start_units / bounds.contended_cell_fraction + _units_beyond_shares(bounds)


def nearest_slow_start_units(bounds: Bounds) -> float:
    """Returns the largest `cold_units` that pass, rounded down to a tenth; 0 if none do."""
    left = bounds.overload_units - _units_beyond_shares(bounds)
    return max(0, int(left * bounds.contended_cell_fraction * 10) / 10)
