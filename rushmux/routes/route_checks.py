"""Checks of one route: whether its attempts, hedged requests and retries can keep the rules."""

from rushmux.routes.bounds import ANSWER_MARGIN, Bounds, longest_connect_wait
from rushmux.routes.findings import Finding, Rule, Step, format_ms
from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.interface import DedupScope, Idempotency, Ticks


def attempts_fit(route: ResolvedRoute, count: int, interval: Ticks) -> bool:
    """Whether `count` attempts end before the deadline, the last one sent before the latency objective."""
    policy, request_class = route.policy, route.request_class
    last = (count - 1) * (policy.attempt_timeout + interval + policy.retry_delay)
    ends = last + policy.attempt_timeout
    if ends > request_class.deadline - ANSWER_MARGIN * interval:
        return False
    return count == 1 or last < request_class.latency_objective


def _suggest_fit(route: ResolvedRoute, count: int, interval: Ticks) -> str:
    """Suggests a timeout or a number of attempts that fits."""
    policy, request_class = route.policy, route.request_class
    stop = request_class.deadline - ANSWER_MARGIN * interval
    timeout = (stop - (count - 1) * (interval + policy.retry_delay)) // count
    if count > 1:
        by_objective = (request_class.latency_objective - 1) // (count - 1) - interval - policy.retry_delay
        timeout = min(timeout, by_objective)
    suggestion = f"{route.places['time_out_ms']} {timeout / 10:g}" if timeout > 0 else ""
    fewer = next((number for number in range(count - 1, 0, -1) if attempts_fit(route, number, interval)), 0)
    if fewer:
        suggestion += f"{', or ' if suggestion else ''}{route.places['executions']} {fewer}"
    return suggestion or "no time-out"


def _attempt_steps(route: ResolvedRoute, count: int, interval: Ticks) -> tuple[Step, ...]:
    """Returns the timeline of attempts that all time out."""
    policy, deadline = route.policy, route.request_class.deadline
    step = policy.attempt_timeout + interval + policy.retry_delay
    steps = [Step(0, "the first execution is sent")]
    for number in range(1, count):
        lost = f"its time-out of {format_ms(policy.attempt_timeout)} is noticed, one tick late"
        steps.append(Step(number * step - policy.retry_delay, lost))
        steps.append(Step(number * step, f"execution {number + 1} is sent"))
    stop = deadline - ANSWER_MARGIN * interval
    steps.append(Step(stop, f"two ticks before the hard stop of {format_ms(deadline)} the operation ends"))
    steps.append(Step((count - 1) * step + policy.attempt_timeout, "the last execution would time out"))
    return tuple(steps)


def check_attempts(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    """Checks that all stated attempts fit one after the other."""
    policy, request_class, interval = route.policy, route.request_class, bounds.settings.round_interval
    if "time_out_ms" not in route.places:
        return None
    stated = "executions" in route.places
    count = min(policy.max_attempts, bounds.settings.max_attempts) if stated else 1
    if attempts_fit(route, count, interval):
        return None
    last = (count - 1) * (policy.attempt_timeout + interval + policy.retry_delay)
    end, stop = last + policy.attempt_timeout, request_class.deadline - ANSWER_MARGIN * interval
    objective = request_class.latency_objective
    if end > stop:
        worst, bound = end, stop
        text = (
            f"{count} execution(s) of {format_ms(policy.attempt_timeout)} with waits of "
            f"{format_ms(policy.retry_delay)} end after {format_ms(end)}; {route.name} has "
            f"{format_ms(stop)}"
        )
    else:
        worst, bound = last, objective - 1
        text = (
            f"execution {count} would be sent after {format_ms(last)}; {route.name} has a quoted time of "
            f"{format_ms(objective)}, and none is sent after it"
        )
    place = route.place("executions" if count > 1 else "time_out_ms", "time_out_ms")
    suggestion, steps = _suggest_fit(route, count, interval), _attempt_steps(route, count, interval)
    return Finding(place, Rule.NO_LOSS, text, worst, bound, suggestion, True, steps)


def check_hedging(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    """Checks that hedged requests are allowed and can be answered in time."""
    if route.policy.hedge_after is None:
        return None
    return _check_hedging_allowed(bounds, route) or _check_hedging_in_time(bounds, route)


def _check_hedging_allowed(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    policy, request_class, settings = route.policy, route.request_class, bounds.settings

    def duplicate(text, suggestion, *steps):
        place = route.place("second_copy")
        return Finding(place, Rule.NO_DUPLICATE, f"{route.name}{text}", 2, 1, suggestion, True, steps)

    if not settings.allows_hedging:
        text = ": two executions would be in flight at a time, the fleet allows one"
        return duplicate(text, "second_copy false, or /fleet/second_copies true")
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        text = " must never run twice, but a second copy could run as well as the first"
        return duplicate(
            text,
            "second_copy false",
            Step(0, "the first execution is sent"),
            Step(policy.hedge_after, "the second copy is sent"),
            Step(policy.hedge_after, "both may run"),
        )
    keyed = request_class.idempotency is Idempotency.KEYED
    if keyed and request_class.dedup_scope is DedupScope.CELL:
        text = ": a second copy of a new object goes to another cell, and only its first cell knows its mark"
        return duplicate(text, "second_copy false, or group 'all'")
    if min(policy.max_attempts, settings.max_attempts) <= 1:
        text = " has one execution, but a second copy would be a second one"
        return duplicate(text, "executions 2, or second_copy false")
    return None


def _check_hedging_in_time(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    request_class, interval = route.request_class, bounds.settings.round_interval
    hedge_after = route.policy.hedge_after
    answered = hedge_after + interval + 2 * bounds.network_delay
    awaited = min(request_class.latency_objective, request_class.deadline - ANSWER_MARGIN * interval)
    if answered < awaited:
        return None
    latest = awaited - 1 - interval - 2 * bounds.network_delay
    suggestion = f"after_ms {latest / 10:g}, or second_copy false" if latest >= 0 else "second_copy false"
    text = (
        f"{route.name}: a copy sent after {format_ms(hedge_after)} is answered after "
        f"{format_ms(answered)} at the earliest, but no answer is awaited after {format_ms(awaited)}"
    )
    steps = (
        Step(0, "the first execution is sent"),
        Step(hedge_after, "the second copy is due"),
        Step(hedge_after + interval, "it is sent, one tick late"),
        Step(awaited, "no answer is awaited any more"),
        Step(answered, "its answer could arrive"),
    )
    place = route.place("second_copy")
    return Finding(place, Rule.NO_LOSS, text, answered, awaited - 1, suggestion, True, steps)


def check_dedup_window(bounds: Bounds, route: ResolvedRoute) -> Finding | None:
    """Checks that a keyed operation's retry reaches its node while the key is known there."""
    request_class, interval = route.request_class, bounds.settings.round_interval
    attempts = min(route.policy.max_attempts, bounds.settings.max_attempts)
    if request_class.idempotency is not Idempotency.KEYED or attempts <= 1:
        return None
    window, objective = request_class.dedup_window, request_class.latency_objective
    # The scheduler sends no retry after the objective (in a batch: one round later) or in the window's last
    # tick.
    retry_at = min(objective + interval, window - interval - 1)
    delay = longest_connect_wait(bounds, route) + bounds.network_delay
    arrives_at = retry_at + delay
    if retry_at < 0 or arrives_at <= window:
        return None
    class_place = f"/lanes/{request_class.name}/window_ms"
    suggestion = f"{class_place} {(objective + interval + delay) / 10:g}, or executions 1"
    timeout = window - retry_at - bounds.network_delay - interval
    if timeout > 0:
        suggestion += f", or time_out_ms {timeout / 10:g}"
    text = (
        f"{route.name}: a repeat reaches its node {format_ms(arrives_at)} after the first was sent, but "
        f"its mark is known for {format_ms(window)}"
    )
    steps = (
        Step(0, "the first execution is sent and may run at once"),
        Step(retry_at, "the repeat is dispatched and waits for a connection"),
        Step(window, "the node forgets the mark"),
        Step(arrives_at, "the repeat arrives and runs again"),
    )
    place = route.place("executions", "time_out_ms") if route.places else class_place
    return Finding(place, Rule.NO_DUPLICATE, text, arrives_at, window, suggestion, False, steps)
