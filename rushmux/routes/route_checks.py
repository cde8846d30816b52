"""Checks of one route: whether its attempts, hedged requests and repeats can keep the rules."""

from rushmux.routes.bounds import END_MARGIN, Bounds, longest_connect
from rushmux.routes.findings import Finding, Rule, Step, milliseconds
from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.interface import DedupScope, Idempotency, Ticks


def attempts_fit(route: ResolvedRoute, count: int, interval: Ticks) -> bool:
    """Whether so many attempts end before the operation's time is up, the last sent before it is late."""
    policy, request_class = route.policy, route.request_class
    last = (count - 1) * (policy.attempt_timeout + interval + policy.retry_delay)
    ends = last + policy.attempt_timeout
    if ends > request_class.deadline - END_MARGIN * interval:
        return False
    return count == 1 or last < request_class.latency_objective


def _nearest_fit(route: ResolvedRoute, count: int, interval: Ticks) -> str:
    """A time-out, or a count of attempts, that fits."""
    policy, request_class = route.policy, route.request_class
    stop = request_class.deadline - END_MARGIN * interval
    timeout = (stop - (count - 1) * (interval + policy.retry_delay)) // count
    if count > 1:
        by_objective = (request_class.latency_objective - 1) // (count - 1) - interval - policy.retry_delay
        timeout = min(timeout, by_objective)
    suggestion = f"{route.places['time_out_ms']} {timeout / 10:g}" if timeout > 0 else ""
    fewer = next((less for less in range(count - 1, 0, -1) if attempts_fit(route, less, interval)), 0)
    if fewer:
        suggestion += f"{', or ' if suggestion else ''}{route.places['executions']} {fewer}"
    return suggestion or "no time-out"


def _attempt_steps(route: ResolvedRoute, count: int, interval: Ticks) -> tuple[Step, ...]:
    """The timeline of attempts that all time out."""
    policy, deadline = route.policy, route.request_class.deadline
    step = policy.attempt_timeout + interval + policy.retry_delay
    steps = [Step(0, "the first execution goes")]
    for number in range(1, count):
        lost = f"it is held for lost after {milliseconds(policy.attempt_timeout)}, told a tick late"
        steps.append(Step(number * step - policy.retry_delay, lost))
        steps.append(Step(number * step, f"execution {number + 1} goes"))
    stop = deadline - END_MARGIN * interval
    steps.append(Step(stop, f"two ticks before the hard stop of {milliseconds(deadline)} all ends"))
    steps.append(Step((count - 1) * step + policy.attempt_timeout, "the last one's time-out would end"))
    return tuple(steps)


def check_attempts(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    """Whether all stated attempts can be made one after the other."""
    policy, request_class, interval = route.policy, route.request_class, bounds.settings.round_interval
    if "time_out_ms" not in route.places:
        return None
    stated = "executions" in route.places
    count = min(policy.max_attempts, bounds.settings.max_attempts) if stated else 1
    if attempts_fit(route, count, interval):
        return None
    last = (count - 1) * (policy.attempt_timeout + interval + policy.retry_delay)
    end, stop = last + policy.attempt_timeout, request_class.deadline - END_MARGIN * interval
    objective = request_class.latency_objective
    if end > stop:
        worst, bound = end, stop
        text = (
            f"{count} execution(s) of {milliseconds(policy.attempt_timeout)} and waits of "
            f"{milliseconds(policy.retry_delay)} end after {milliseconds(end)}; {route.name} has "
            f"{milliseconds(stop)}"
        )
    else:
        worst, bound = last, objective - 1
        text = (
            f"execution {count} would go after {milliseconds(last)}; {route.name} is answered by its quoted "
            f"time of {milliseconds(objective)}, and none goes after it"
        )
    place = route.place("executions" if count > 1 else "time_out_ms", "time_out_ms")
    suggestion, steps = _nearest_fit(route, count, interval), _attempt_steps(route, count, interval)
    return Finding(place, Rule.NO_LOSS, text, worst, bound, suggestion, True, steps)


def check_hedging(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    """Whether a hedged request may go at all, and whether it can still be answered."""
    if route.policy.hedge_after is None:
        return None
    return _check_hedging_allowed(bounds, route) or _check_hedging_in_time(bounds, route)


def _check_hedging_allowed(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    policy, request_class, settings = route.policy, route.request_class, bounds.settings

    def twice(text, suggestion, *steps):
        place = route.place("second_copy")
        return Finding(place, Rule.NO_DUPLICATE, f"{route.name}{text}", 2, 1, suggestion, True, steps)

    if not settings.allows_hedging:
        text = ": two executions would be out at a time, the fleet allows one"
        return twice(text, "second_copy false, or /fleet/second_copies true")
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        text = " must never run twice, a second copy would run beside the first"
        return twice(
            text,
            "second_copy false",
            Step(0, "the first execution goes"),
            Step(policy.hedge_after, "the second copy goes"),
            Step(policy.hedge_after, "both may run"),
        )
    keyed = request_class.idempotency is Idempotency.KEYED
    if keyed and request_class.dedup_scope is DedupScope.CELL:
        text = (
            ": a second copy of a new object goes to another cell, and only its own cell knows its mark again"
        )
        return twice(text, "second_copy false, or group 'all'")
    if min(policy.max_attempts, settings.max_attempts) <= 1:
        text = " has one execution, a second copy would be another"
        return twice(text, "executions 2, or second_copy false")
    return None


def _check_hedging_in_time(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    request_class, interval = route.request_class, bounds.settings.round_interval
    hedge_after = route.policy.hedge_after
    answered = hedge_after + interval + 2 * bounds.network_delay
    awaited = min(request_class.latency_objective, request_class.deadline - END_MARGIN * interval)
    if answered < awaited:
        return None
    latest = awaited - 1 - interval - 2 * bounds.network_delay
    suggestion = f"after_ms {latest / 10:g}, or second_copy false" if latest >= 0 else "second_copy false"
    text = (
        f"{route.name}: a copy sent after {milliseconds(hedge_after)} is answered after "
        f"{milliseconds(answered)} at the earliest, and nothing is awaited past {milliseconds(awaited)}"
    )
    steps = (
        Step(0, "the first execution goes"),
        Step(hedge_after, "the second copy is due"),
        Step(hedge_after + interval, "it goes, a tick late"),
        Step(awaited, "the client's time is up, or nearly so"),
        Step(answered, "its answer could come"),
    )
    place = route.place("second_copy")
    return Finding(place, Rule.NO_LOSS, text, answered, awaited - 1, suggestion, True, steps)


def check_dedup_window(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    """Whether a repeat of a keyed operation reaches its node while its key is known."""
    request_class, interval = route.request_class, bounds.settings.round_interval
    attempts = min(route.policy.max_attempts, bounds.settings.max_attempts)
    if request_class.idempotency is not Idempotency.KEYED or attempts <= 1:
        return None
    window, objective = request_class.dedup_window, request_class.latency_objective
    # The scheduler sends none after the objective (a batch: one round late) nor in the window's last tick.
    repeat_at = min(objective + interval, window - interval - 1)
    delay = longest_connect(bounds, route) + bounds.network_delay
    arrives_at = repeat_at + delay
    if repeat_at < 0 or arrives_at <= window:
        return None
    class_place = f"/lanes/{request_class.name}/window_ms"
    suggestion = f"{class_place} {(objective + interval + delay) / 10:g}, or executions 1"
    timeout = window - repeat_at - bounds.network_delay - interval
    if timeout > 0:
        suggestion += f", or time_out_ms {timeout / 10:g}"
    text = (
        f"{route.name}: a repeat reaches its node {milliseconds(arrives_at)} after the first was sent, and "
        f"its mark is known for {milliseconds(window)}"
    )
    steps = (
        Step(0, "the first execution goes and may run at once"),
        Step(repeat_at, "the repeat is sent and waits for a connection"),
        Step(window, "the mark is forgotten"),
        Step(arrives_at, "the repeat arrives and runs anew"),
    )
    place = route.place("executions", "time_out_ms") if route.places else class_place
    return Finding(place, Rule.NO_DUPLICATE, text, arrives_at, window, suggestion, False, steps)
