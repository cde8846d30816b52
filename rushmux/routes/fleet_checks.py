"""Checks of a whole deployment: answers in time, drains, slow start, rate limits, budgets, places."""

from rushmux.routes.bounds import (
    END_MARGIN,
    Bounds,
    latest_answer,
    longest_connect,
    nearest_slow_start_units,
    time_in_scheduler,
    worst_slow_start_units,
)
from rushmux.routes.findings import Finding, Rule, Step, enumerated, milliseconds
from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.interface import RequestClass


def check_answers_in_time(bounds: Bounds) -> list[Finding]:
    """Classes whose answers could come late: those with two intervals to spare share one cause."""
    interval, classes = bounds.settings.round_interval, bounds.settings.request_classes.values()
    late = [each for each in classes if latest_answer(bounds, each) > each.deadline]
    with_time = [each for each in late if each.deadline > END_MARGIN * interval]
    found = []
    for request_class in late:
        if request_class not in with_time:
            found.append(_short_deadline(bounds, request_class))
        elif request_class is with_time[0]:
            found.append(_slow_network(bounds, request_class, len(with_time) - 1))
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
    worst, deadline = latest_answer(bounds, request_class), request_class.deadline
    delay, interval = bounds.network_delay, bounds.settings.round_interval
    over = delay + time_in_scheduler(bounds, request_class)
    text = (
        f"{about}: the latest final answer comes {milliseconds(worst)} after the client's send, and it waits "
        f"{milliseconds(deadline)}"
    )
    steps = (
        Step(0, "the client sends"),
        Step(delay, "the gateway takes the operation"),
        Step(over, "its time here is over"),
        Step(over + interval, "the round that says so is late by a tick"),
        Step(worst, "the answer reaches the client"),
    )
    return Finding(place, Rule.NO_LOSS, text, worst, deadline, suggestion, False, steps)


def check_draining(bounds: Bounds, routes: list[ResolvedRoute]) -> Finding | None:
    """Whether anything can reach a node later than the grace after its drain was told."""
    route = max(routes, key=lambda route: longest_connect(bounds, route))
    interval, wait = bounds.settings.round_interval, longest_connect(bounds, route)
    worst = interval + wait + bounds.network_delay
    if worst <= bounds.drain_grace:
        return None
    suggestion = f"/fleet/drain_grace_ms {worst / 10:g}"
    dial_timeout = bounds.drain_grace - interval - bounds.network_delay
    if dial_timeout > 0:
        suggestion += f", or /fleet/dial_ms {dial_timeout / 10:g}"
    text = (
        f"an execution of {route.name} reaches a draining node {milliseconds(worst)} after this gateway was "
        f"told, {milliseconds(bounds.drain_grace)} are allowed"
    )
    steps = (
        Step(0, "the gateway is told that the node drains"),
        Step(interval, "before the round that takes it in, an execution is sent there"),
        Step(interval + wait, "it had waited for a connection"),
        Step(worst, "it arrives"),
    )
    place = "/fleet/drain_grace_ms"
    return Finding(place, Rule.DRAINING, text, worst, bounds.drain_grace, suggestion, False, steps)


def check_slow_start(bounds: Bounds) -> Finding | None:
    """Whether all gateways together can overload a node that just started."""
    settings, worst = bounds.settings, worst_slow_start_units(bounds)
    if worst <= bounds.overload_units:
        return None
    count, window = settings.gateway_count, bounds.overload_window
    shares, dithers = settings.slow_start_units / bounds.contended_cell_fraction, count * settings.max_units
    units = nearest_slow_start_units(bounds)
    fewer = "fewer gateways, a smaller most_units, or nodes that bear more"
    suggestion = f"/fleet/cold_units {units:g}" if units else fewer
    text = (
        f"{count} gateways can send a just-started node {worst:.1f} units within {milliseconds(window)}, "
        f"{bounds.overload_units:g} push it over"
    )
    high = f"each draws a high lot for the span, and sends one largest operation more: {dithers:g}"
    answers = (
        f"it answers {bounds.served_units:g} units, and most of what the rule leaves above that is sent again"
    )
    steps = (
        Step(0, f"the node starts; the parts of all gateways are {shares:g} units"),
        Step(1, high),
        Step(window, answers),
        Step(window, f"{worst:.1f} units within one span, and it falls over"),
    )
    place = "/fleet/cold_units"
    return Finding(place, Rule.SLOW_START, text, worst, bounds.overload_units, suggestion, False, steps)


def check_retry_budgets(bounds: Bounds, routes: list[ResolvedRoute]) -> list[Finding]:
    """Whether the routes promise more retries than the fleet's budget holds."""
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
            window = milliseconds(settings.retry_budget_window)
            text = f"{route.name} may take {name} {own:g} in {window}, the fleet's budget has {fleet:g}"
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
        f"together {len(stated)} lanes and plans ({enumerated(places)}) may take {together:g} further "
        f"executions at once, the fleet's budget has {burst:g}"
    )
    steps = (
        Step(0, "one node that all use fails"),
        Step(1, "every route takes what it has saved up"),
    )
    suggestion = f"free {each:g} each"
    return Finding(places[-1], Rule.RETRY_BUDGET, text, together, burst, suggestion, True, steps)


def check_places(bounds: Bounds, routes: list[ResolvedRoute]) -> Finding | None:
    """Whether what the routes let a gateway hold has a place; the rest is shed whatever its route says."""
    stated = [route for route in routes if "held" in route.places]
    together = sum(route.policy.max_in_flight for route in stated)
    if together <= bounds.max_operations:
        return None
    places = list(dict.fromkeys(route.places["held"] for route in stated))
    text = (
        f"together {len(stated)} lanes and plans ({enumerated(places)}) may hold {together} operations, a "
        f"gateway has place for {bounds.max_operations} and sheds the rest at its door"
    )
    suggestion = f"held {bounds.max_operations // len(stated)} each"
    return Finding(places[-1], Rule.NO_LOSS, text, together, bounds.max_operations, suggestion, True)
