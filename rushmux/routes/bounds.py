"""The bounds that a deployment states, and the worst delays and amounts that follow from them.

All times are ticks (0.1 ms).  docs/routes.md derives each closed form.
"""

from typing import NamedTuple

from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.interface import RequestClass, SchedulerSettings, Ticks
from rushmux.scheduling.node import ANSWER_CREDIT

END_MARGIN = 2  # rounds before its deadline at which the scheduler ends an operation


class Bounds(NamedTuple):
    """What the deployment states besides its routes."""

    settings: SchedulerSettings
    network_delay: Ticks
    """The longest that a message is on its way, one way."""
    dial_timeout: Ticks
    """The longest that an attempt waits for a connection."""
    drain_grace: Ticks
    restarts: int
    """Starts anew of one gateway while a limit's burst fills."""
    overload_window: Ticks
    """In which the rule on nodes in slow start counts; the scheduler keeps to a longer one."""
    overload_units: float
    """Units within the window that overload a node that just started, at least."""
    served_units: float
    """Units that such a node answers within the window, at most."""
    max_operations: int
    """Operations that a gateway has place for."""
    unit_bytes: int
    contended_cell_fraction: float = 1.0
    """The least part of all cells that gateways with work for a node in slow start work on."""


def scheduler_window(window: Ticks, delay: Ticks, dial_timeout: Ticks, interval: Ticks) -> Ticks:
    """The window that the scheduler must keep to, so that what it sent covers all that arrives in `window`.

    Delays bunch what was sent apart.
    """
    return window + delay + dial_timeout + interval


def time_in_scheduler(bounds: Bounds, request_class: RequestClass) -> Ticks:
    """How long an operation may be queued or in flight."""
    return max(0, request_class.deadline - END_MARGIN * bounds.settings.round_interval)


def latest_answer(bounds: Bounds, request_class: RequestClass) -> Ticks:
    """From a client's send until its final answer, at the latest.

    On its way there; queued or in flight; one late round; on its way back.
    """
    interval = bounds.settings.round_interval
    return 2 * bounds.network_delay + interval + time_in_scheduler(bounds, request_class)


def longest_attempt(interval: Ticks, route: ResolvedRoute) -> Ticks:
    """How long one attempt may take."""
    remaining = route.request_class.deadline - END_MARGIN * interval
    return max(0, min(route.policy.attempt_timeout, remaining))


def longest_connect(bounds: Bounds, route: ResolvedRoute) -> Ticks:
    """After how long an attempt may still be sent.

    It waits for a connection until the round, late by an interval, that gives it up.
    """
    interval = bounds.settings.round_interval
    return min(bounds.dial_timeout, longest_attempt(interval, route) + interval)


def _units_beyond_shares(bounds: Bounds) -> float:
    """Units that come to a node in slow start within a window besides the gateways' shares.

    The dithers, were all of them highest, and what answers give back: a node's answers of a window and of the
    delays by which sends and answers can bunch, and one that was nearly done.
    """
    settings, window = bounds.settings, bounds.overload_window
    bunch = 1 + (settings.slow_start_window - window + bounds.network_delay) / window
    answered = bounds.served_units * bunch + settings.max_units
    credit = ANSWER_CREDIT * (settings.overload_multiple - 1) * answered
    return settings.gateway_count * settings.max_units + credit


def worst_slow_start_units(bounds: Bounds) -> float:
    """Units that all gateways together can send a node that just started within a window."""
    return bounds.settings.slow_start_units / bounds.contended_cell_fraction + _units_beyond_shares(bounds)


def nearest_slow_start_units(bounds: Bounds) -> float:
    """The most `cold_units` that pass, to a tenth; 0: none."""
    left = bounds.overload_units - _units_beyond_shares(bounds)
    return max(0, int(left * bounds.contended_cell_fraction * 10) / 10)
