"""Events of volumes that have a limit, and counts of operations that ended without success."""

import pytest

from rushmux.scheduling.interface import GiveUpReason, VolumeEventKind

LIMITED = """
lane read stop=60000 quoted=50000
plan base limit=10 burst=32 slack=8
plan free
terms meter_span=10000
start
list whole n/0
"""


def kinds(scenario):
    return [(event.kind, event.volume) for event in scenario.volume_events]


def test_a_limited_volume_is_reported_when_it_starts_and_when_usage_reports_start_or_stop(scenario):
    scenario.play(LIMITED + "at 10000\ntake a units=4 mounts=2\nback a succeeded use=3")
    scenario.play("take b units=2 mounts=2\nback b succeeded use=3\nat 19990\ntake c units=2 mounts=2")
    scenario.play(
        "back c succeeded\ntake d units=2 mounts=2\nback d succeeded use=3"
    )  # too soon after the last event
    scenario.play("at 20010\ntake e units=2 mounts=2\nback e succeeded")
    assert kinds(scenario) == [
        (VolumeEventKind.STARTED, "v"),
        (VolumeEventKind.USAGE_REPORTED, "v"),
        (VolumeEventKind.USAGE_MISSING, "v"),
    ]
    started = scenario.volume_events[0]
    assert (started.plan, started.gateway_count) == ("base", 2)
    assert (started.limit_level, started.limit_capacity, started.limit_rate) == (16, 16, 5)


def test_an_idle_volume_is_reported_as_forgotten(scenario):
    scenario.play(LIMITED + "at 10000\ntake a units=4 mounts=2\nback a succeeded use=3")
    scenario.play("at 80000\ntake b vol=w units=2 mounts=2")
    assert kinds(scenario)[-2:] == [(VolumeEventKind.STARTED, "w"), (VolumeEventKind.FORGOTTEN, "v")]


def test_a_volume_without_a_limit_is_not_reported(scenario):
    scenario.play(LIMITED + "take a plan=free\nback a succeeded use=3")
    assert scenario.volume_events == []


@pytest.mark.parametrize(
    "steps, reason",
    [
        ("list whole n/0\ntake a units=8 mounts=2", GiveUpReason.RATE_LIMIT),
        ("list whole n/0\ntake a units=2\nback a errored", GiveUpReason.NO_RETRY),
        ("list whole n/0/draining\ntake a", GiveUpReason.CAPACITY),
        ("take a cell=-1", GiveUpReason.NO_ENDPOINT),
        ("list whole n/0\nroute read base held=0\ntake a", GiveUpReason.ROUTE_FULL),
    ],
)
def test_operations_without_success_are_counted_by_reason(scenario, steps, reason):
    scenario.play(
        "lane read quoted=400\nplan base limit=1 burst=16 slack=0\nterms meter_span=10000 executions=1"
    )
    scenario.play("start\nat 9000\n" + steps + "\nat 12000")
    assert scenario.scheduler.given_up == {reason: 1}
