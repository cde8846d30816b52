"""Shares of a limit over several schedulers whose requests or quotas of one volume differ.

Requests of one volume may name different numbers of gateways.  A gateway that kept the first number used the
whole limit beside another gateway with half of it, if its first request named one gateway only.
"""

import pytest

from rushmux.scheduling.interface import VolumeEventKind

SECONDS = 10_000  # ticks
RATE, BURST = 10.0, 48.0


def start_all(scenarios):
    for scenario in scenarios:
        scenario.play(f"lane read stop=60000 quoted=50000\nplan base limit={RATE} burst={BURST} slack=8")
        scenario.play("start\nlist whole n/0")


def request_operation(scenario, name, gateways, units=8):
    scenario.play(f"take {name} units={units} mounts={gateways}")
    scenario.scheduler.run_round(scenario.now)


def answer_all(scenario):
    """Answers all attempts in flight and returns their units."""
    used = 0
    while operations := [each for each in scenario.scheduler.operations.values() if each.in_flight]:
        for operation in operations:
            scenario.play(f"back {operation.op_id} succeeded")
            used += operation.units
        scenario.scheduler.run_round(scenario.now)
    return used


def saturate(scenarios, seconds, counts):
    """Returns the units sent under a constant backlog; requests name the gateway counts in turn."""
    used, number = 0, 0
    for _ in range(seconds * 10):
        for scenario in scenarios:
            scenario.until(scenario.now + SECONDS // 10)
            for count in counts * 3:
                number += 1
                request_operation(scenario, f"o{number}", count)
            used += answer_all(scenario)
    return used


@pytest.mark.parametrize("counts", [(2,), (2, 1), (1, 2), (1, 1, 2)])
def test_requests_that_name_different_numbers_of_gateways_keep_the_limit(scenario, second_scenario, counts):
    scenarios = [scenario, second_scenario]
    start_all(scenarios)
    for each in scenarios:
        each.until(20 * SECONDS)
    used = saturate(scenarios, 20, counts)
    # The first request may name too few gateways; its excess is debited when the second arrives.
    assert used <= BURST + RATE * 20 + 8
    assert used > RATE * 15


def test_units_used_under_a_larger_share_are_debited(scenario):
    start_all([scenario])
    scenario.until(20 * SECONDS)
    for number in range(6):
        request_operation(scenario, f"a{number}", 1)
    assert answer_all(scenario) == BURST
    request_operation(scenario, "b", 3)
    assert scenario.volume_events[-1].kind is VolumeEventKind.SPLIT_FURTHER
    assert scenario.volume_events[-1].limit_level == pytest.approx(-32)
    assert scenario.volume_events[-1].limit_rate == pytest.approx(RATE / 3)
    scenario.until(31 * SECONDS)
    scenario.scheduler.run_round(scenario.now)
    assert answer_all(scenario) == 0
    scenario.until(33 * SECONDS)
    scenario.scheduler.run_round(scenario.now)
    assert answer_all(scenario) == 8


def test_fewer_gateways_do_not_raise_the_share(scenario):
    start_all([scenario])
    scenario.until(20 * SECONDS)
    request_operation(scenario, "a", 4)
    request_operation(scenario, "b", 1)
    assert answer_all(scenario) == 8
    assert scenario.scheduler.volumes["v"].limit.capacity == BURST / 4


def test_a_quota_raised_before_the_first_request_fills_from_then_on(scenario):
    """A new volume must not start with units that a raised quota would have earned since the gateway's start.

    The added part belonged to another gateway until then and may have been used there.
    """
    start_all([scenario])
    scenario.scheduler.on_quota(0, "v", 0.1)
    scenario.until(100 * SECONDS)
    scenario.scheduler.on_quota(scenario.now, "v", 0.9)
    scenario.until(102 * SECONDS)
    request_operation(scenario, "a", 2, units=1)
    assert scenario.volume_events[0].limit_level == pytest.approx(RATE * 0.9 * 2)
    assert scenario.volume_events[0].limit_capacity == pytest.approx(BURST * 0.9)


def test_a_quota_lowered_before_the_first_request_is_full_at_its_size(scenario):
    start_all([scenario])
    scenario.scheduler.on_quota(0, "v", 0.9)
    scenario.until(100 * SECONDS)
    scenario.scheduler.on_quota(scenario.now, "v", 0.1)
    request_operation(scenario, "a", 2, units=1)
    assert scenario.volume_events[0].limit_level == pytest.approx(BURST * 0.1)
