"""Checks of a whole deployment: deadlines, drains, slow start, retry budgets, capacity."""

from rushmux.routes.bounds import (
    ANSWER_MARGIN,
    Bounds,
    latest_answer_time,
    longest_connect_wait,
    nearest_slow_start_units,
    time_in_scheduler,
    worst_slow_start_units,
)
from rushmux.routes.findings import Finding, Rule, Step, format_ms, format_places
from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.interface import RequestClass


def check_answers_in_time(bounds: Bounds) -> list[Finding]:
    """Checks that final answers arrive before the deadline.

    Classes with deadlines above the answer margin are late by the network delay alone and share a finding.
    """
    interval, classes = bounds.settings.round_interval, bounds.settings.request_classes.values()
    late = [each for each in classes if latest_answer_time(bounds, each) > each.deadline]
    by_network = [each for each in late if each.deadline > ANSWER_MARGIN * interval]
    found = []
    for request_class in late:
        if request_class not in by_network:
            found.append(_short_deadline(bounds, request_class))
        elif request_class is by_network[0]:
            found.append(_slow_network(bounds, request_class, len(by_network) - 1))
    return found


def _slow_network(bounds: Bounds, request_class: RequestClass, others: int) -> Finding:
    about = f"lane '{request_class.name}'" + (f" and {others} other(s)" if others else "")
    half_interval = bounds.settings.round_interval // 2
    suggestion = f"way_ms {half_interval / 10:g}, or /fleet/tick_ms {2 * bounds.network_delay / 10:g}"
    return _late_answer(bounds, request_class, about, "/bounds/way_ms", suggestion)


def _short_deadline(bounds: Bounds, request_class: RequestClass) -> Finding:
    about, place = f"lane '{request_class.name}'", f"/lanes/{request_class.name}/hard_stop_ms"
    suggestion = f"hard_stop_ms {(2 * bounds.network_delay + bounds.settings.round_interval) / 10:g}"
    return _late_answer(bounds, request_class, about, place, suggestion)


def _late_answer(bounds: Bounds, request_class: RequestClass, about, place, suggestion) -> Finding:
    worst, deadline = latest_answer_time(bounds, request_class), request_class.deadline
    delay, interval = bounds.network_delay, bounds.settings.round_interval
    expires_at = delay + time_in_scheduler(bounds, request_class)
    text = (
        f"{about}: the latest final answer arrives {format_ms(worst)} after the client's request, but the "
        f"client waits {format_ms(deadline)}"
    )
    steps = (
        Step(0, "the client sends its request"),
        Step(delay, "the gateway accepts the operation"),
        Step(expires_at, "the operation's time in the gateway is up"),
        Step(expires_at + interval, "the gateway answers, one tick late"),
        Step(worst, "the answer reaches the client"),
    )
    return Finding(place, Rule.NO_LOSS, text, worst, deadline, suggestion, False, steps)


def check_draining(bounds: Bounds, routes: list[ResolvedRoute]) -> Finding | None:
    """Checks that no attempt reaches a node after the grace period of its drain."""
    route = max(routes, key=lambda route: longest_connect_wait(bounds, route))
    interval, wait = bounds.settings.round_interval, longest_connect_wait(bounds, route)
    worst = interval + wait + bounds.network_delay
    if worst <= bounds.drain_grace:
        return None
    suggestion = f"/fleet/drain_grace_ms {worst / 10:g}"
    connect_timeout = bounds.drain_grace - interval - bounds.network_delay
    if connect_timeout > 0:
        suggestion += f", or /fleet/dial_ms {connect_timeout / 10:g}"
    text = (
        f"an execution of {route.name} reaches a draining node {format_ms(worst)} after this gateway was "
        f"notified, {format_ms(bounds.drain_grace)} are allowed"
    )
    steps = (
        Step(0, "the gateway is notified that the node drains"),
        Step(interval, "right before the next round, an execution is dispatched to the node"),
        Step(interval + wait, "it gets a connection and is sent"),
        Step(worst, "it arrives"),
    )
    place = "/fleet/drain_grace_ms"
    return Finding(place, Rule.DRAINING, text, worst, bounds.drain_grace, suggestion, False, steps)


def check_slow_start(bounds: Bounds) -> Finding | None:
    """Checks that all gateways together can't overload a node that just started."""
    settings, worst = bounds.settings, worst_slow_start_units(bounds)
    if worst <= bounds.overload_units:
        return None
    count, window = settings.gateway_count, bounds.overload_window
    shares, dithers = settings.slow_start_units / bounds.contended_cell_fraction, count * settings.max_units
    units = nearest_slow_start_units(bounds)
    fewer = "fewer gateways, a smaller most_units, or nodes that can take more"
    suggestion = f"/fleet/cold_units {units:g}" if units else fewer
    text = (
        f"{count} gateways can send a node that just started {worst:.1f} units within {format_ms(window)}, "
        f"{bounds.overload_units:g} overload it"
    )
    high = f"each draws the largest dither for the window and sends one more largest operation: {dithers:g}"
    answers = f"the node answers {bounds.served_units:g} units, and most of the overload margin is sent again"
    steps = (
        Step(0, f"the node starts; the shares of all gateways are {shares:g} units"),
        Step(1, high),
        Step(window, answers),
        Step(window, f"{worst:.1f} units within one window overload the node"),
    )
    place = "/fleet/cold_units"
    return Finding(place, Rule.SLOW_START, text, worst, bounds.overload_units, suggestion, False, steps)


def check_retry_budgets(bounds: Bounds, routes: list[ResolvedRoute]) -> list[Finding]:
    """Checks that the routes allow no more retries than the fleet's budget."""
    stated = [route for route in routes if "budget" in route.places]
    if bounds.settings.retry_budget_ratio is None or not stated:
        return []
    one_by_place = {route.places["budget"]: route for route in stated}
    found = [each for route in one_by_place.values() for each in _check_own_budget(bounds, route)]
    together = None if found else _check_budgets_together(bounds, stated)
    return found if together is None else [together]


def _check_own_budget(bounds: Bounds, route: ResolvedRoute) -> list[Finding]:
    settings, found = bounds.settings, []
    for name, own, fleet in (
        ("free", route.policy.retry_burst, settings.retry_budget_burst),
        ("share", route.policy.retry_ratio, settings.retry_budget_ratio),
    ):
        if own > fleet:
            window = format_ms(settings.retry_budget_window)
            text = f"{route.name} may use {name} {own:g} in {window}, the fleet's budget has {fleet:g}"
            suggestion = f"{name} {fleet:g}"
            found.append(
                Finding(route.place("budget"), Rule.RETRY_BUDGET, text, own, fleet, suggestion, True)
            )
    return found


def _check_budgets_together(bounds: Bounds, stated: list[ResolvedRoute]) -> Finding | None:
    burst, together = bounds.settings.retry_budget_burst, sum(route.policy.retry_burst for route in stated)
    if together <= burst:
        return None
    places = list(dict.fromkeys(route.places["budget"] for route in stated))
    each = int(100 * burst / len(stated)) / 100
    text = (
        f"together {len(stated)} lanes and plans ({format_places(places)}) may use {together:g} additional "
        f"executions at once, the fleet's budget has {burst:g}"
    )
    steps = (
        Step(0, "a node that all routes use fails"),
        Step(1, "every route uses up its saved budget"),
    )
    suggestion = f"free {each:g} each"
    return Finding(places[-1], Rule.RETRY_BUDGET, text, together, burst, suggestion, True, steps)


def check_capacity(bounds: Bounds, routes: list[ResolvedRoute]) -> Finding | None:
    """Checks that a gateway has capacity for all operations that the routes let it hold."""
    stated = [route for route in routes if "held" in route.places]
    together = sum(route.policy.max_in_flight for route in stated)
    if together <= bounds.max_operations:
        return None
    places = list(dict.fromkeys(route.places["held"] for route in stated))
    text = (
        f"together {len(stated)} lanes and plans ({format_places(places)}) may hold {together} operations; a "
        f"gateway has capacity for {bounds.max_operations} and sheds the rest on arrival"
    )
    suggestion = f"held {bounds.max_operations // len(stated)} each"
    return Finding(places[-1], Rule.NO_LOSS, text, together, bounds.max_operations, suggestion, True)
