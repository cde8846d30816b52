"""The verifier at the limits of what it accepts, and the precedence of rows."""

import pytest

from rushmux.routes import resolve, verifier
from rushmux.routes.findings import Rule
from rushmux.scheduling.interface import RoutePolicy
from rushmux.settings import deployment


def test_the_most_specific_row_wins_field_by_field(raw):
    raw["routes"] = [
        {"lane": "lectura", "plan": "basico", "executions": 1},
        {"plan": "basico", "executions": 3, "held": 7, "wait_ms": 1},
        {"lane": "lectura", "executions": 2, "wait_ms": 5},
    ]
    built = deployment.build(raw)
    route = built.settings.route_policies["lectura", "basico"]
    assert (route.max_attempts, route.retry_delay, route.max_in_flight) == (1, 50, 7)
    assert built.settings.route_policies["lectura", "estandar"].max_attempts == 2
    assert built.settings.route_policies["consulta", "basico"]._replace(max_in_flight=0) == RoutePolicy(
        max_attempts=3, retry_delay=10, hedge_after=None, max_in_flight=0
    )
    route = next(
        route for route in built.routes if (route.request_class.name, route.plan) == ("lectura", "basico")
    )
    assert route.places == {
        "executions": "/routes/0/executions",
        "wait_ms": "/routes/2/wait_ms",
        "held": "/routes/1/held",
    }


def test_a_file_without_routes_sends_no_hedged_requests(raw):
    assert raw["fleet"]["second_copies"]
    assert all(route.hedge_after is None for route in deployment.build(raw).settings.route_policies.values())


# A field, its last value that passes, and the next one, which breaks the rule.
LIMIT_VALUES = [
    (("bounds", "way_ms"), 2.5, 2.6, Rule.NO_LOSS),
    (("fleet", "drain_grace_ms"), 307, 306.9, Rule.DRAINING),
    (("fleet", "cold_units"), 16.7, 16.8, Rule.SLOW_START),
    (("lanes", "registro", "window_ms"), 707, 706.9, Rule.NO_DUPLICATE),
]


@pytest.mark.parametrize("limit_value", LIMIT_VALUES, ids=str)
def test_a_value_is_rejected_one_tick_or_unit_past_its_limit(raw, findings_on, limit_value):
    place, passes, breaks, rule = limit_value
    part = raw
    for name in place[:-1]:
        part = part[name]
    part[place[-1]] = passes
    assert findings_on() == []
    part[place[-1]] = breaks
    assert [finding.rule for finding in findings_on()] == [rule]


def test_rate_limits_need_no_bound_on_restarts(raw, findings_on):
    raw["bounds"]["restarts"] = 9
    assert findings_on() == []
    built = deployment.build(raw)
    over = [
        case for case in verifier.worst_cases(built.bounds, built.routes) if "over the limit" in case.quantity
    ]
    assert over and all(case.worst == 0 <= case.bound for case in over)


def test_the_last_attempt_is_rejected_one_tick_past_the_objective(findings_on):
    # Two timeouts, two late ticks and two waits before the third attempt must fit the objective of 400 ms.
    row = {"lane": "lectura", "executions": 3, "wait_ms": 20}
    assert findings_on([{**row, "time_out_ms": 174.9}]) == []
    assert [finding.rule for finding in findings_on([{**row, "time_out_ms": 175}])] == [Rule.NO_LOSS]


def test_a_hedged_request_is_rejected_one_tick_past_its_last_delay(findings_on):
    # It is sent one tick late and needs the network delay both ways: 9 ms of the objective of 600 ms.
    assert findings_on([{"lane": "archivo-nuevo", "second_copy": {"after_ms": 590.9}}]) == []
    assert findings_on([{"lane": "archivo-nuevo", "second_copy": {"after_ms": 591}}]) != []


def test_a_deadline_shorter_than_two_ticks_is_rejected(raw, findings_on):
    raw["lanes"]["limpieza"].update(quoted_ms=8.9, hard_stop_ms=8.9)
    (finding,) = findings_on()
    assert finding.place == "/lanes/limpieza/hard_stop_ms" and finding.suggestion == "hard_stop_ms 9"


def test_routes_that_are_safe_alone_are_rejected_together(findings_on):
    rows = [{"lane": "lectura", "time_out_ms": 200}, {"plan": "prioritario", "executions": 3, "wait_ms": 150}]
    assert findings_on(rows[:1]) == findings_on(rows[1:]) == []
    (finding,) = findings_on(rows)
    assert "lane 'lectura' of plan 'prioritario'" in finding.text


def test_the_largest_operation_of_each_gateway_counts_in_slow_start(raw, findings_on):
    raw["fleet"]["gateways"], raw["plans"]["basico"]["burst"] = 24, 24 * 8
    (finding,) = findings_on()
    assert finding.rule == Rule.SLOW_START and finding.worst > 24 * 8 and "24 gateways" in finding.text
    raw["bounds"]["cold_falls_units"] = 800
    assert findings_on() == []


def test_a_thousand_routes_are_resolved_and_verified(raw, findings_on):
    for number in range(25):
        raw["lanes"][f"l{number}"] = dict(raw["lanes"]["lectura"])
    for number in range(40):
        raw["plans"][f"p{number}"] = dict(raw["plans"]["estandar"])
    rows = [
        {"lane": f"l{lane}", "plan": f"p{plan}", "time_out_ms": 100 + lane, "executions": 2}
        for lane in range(25)
        for plan in range(40)
    ]
    assert findings_on(rows) == []
    rows[777]["time_out_ms"] = 5_000
    (finding,) = findings_on(rows)
    assert finding.place == "/routes/777/executions"


def test_worst_cases_of_an_accepted_file_are_within_their_bounds(raw):
    built = deployment.build(raw)
    for case in verifier.worst_cases(built.bounds, built.routes):
        assert case.bound is None or case.worst <= case.bound, case


def test_ticks_are_rounded_up():
    assert [resolve.ticks(value) for value in (0, 0.1, 0.11, 2.5)] == [0, 1, 2, 25]
