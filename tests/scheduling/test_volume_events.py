"""Events of volumes that have a limit, and counts of operations that ended without success."""

import pytest

from rushmux.scheduling import scheduler as scheduling
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


MAX_VOLUMES = 4
NEW_VOLUMES = 40


@pytest.fixture
def few_volumes(monkeypatch):
    """Sets the bound on volumes to `MAX_VOLUMES`."""
    monkeypatch.setattr(scheduling, "MAX_VOLUMES", MAX_VOLUMES)


def serve(scenario, number, volume, units=1):
    scenario.play(f"take {number} vol={volume} units={units} mounts=1\nback {number} succeeded use=3")


def test_volumes_that_are_not_used_are_forgotten_for_new_ones(scenario, few_volumes):
    """Guards against a table that grows with every new name.

    A client that asked for ever new volumes, 480 a second, took a gateway from 24 to 30 MB in eight seconds,
    and each volume was kept for a minute.
    """
    scenario.play(LIMITED + "at 10000")
    for number in range(NEW_VOLUMES):
        serve(scenario, f"a{number}", f"v{number}")
        scenario.play(f"at {10_000 + (number + 1) * 2_000}")
        assert len(scenario.scheduler.volumes) <= MAX_VOLUMES
    assert not scenario.scheduler.given_up


def test_a_new_volume_is_shed_while_the_limits_of_all_known_ones_fill(scenario, few_volumes):
    """Guards against a forgotten volume that gets the units of its limit again."""
    scenario.play(LIMITED + "at 10000")
    for number in range(MAX_VOLUMES):
        serve(scenario, f"a{number}", f"v{number}", units=8)
    scenario.play("take b vol=w units=1 mounts=1")
    assert scenario.scheduler.given_up == {GiveUpReason.VOLUMES_FULL: 1}
    assert "w" not in scenario.scheduler.volumes and not scenario.scheduler.operations
    serve(scenario, "c", "v0")  # a known one is served
    scenario.play("at 20000")  # the limits are full again
    serve(scenario, "d", "w")
    assert list(scenario.scheduler.volumes) == ["v2", "v3", "v0", "w"]
    assert scenario.scheduler.given_up == {GiveUpReason.VOLUMES_FULL: 1}


def test_a_volume_with_operations_in_flight_is_not_forgotten(scenario, few_volumes):
    """Guards against a second limit of a volume beside that of its operations in flight."""
    scenario.play(LIMITED + "at 10000\ntake a vol=v0 units=1 mounts=1")
    for number in range(1, NEW_VOLUMES):
        scenario.play(f"at {10_000 + number * 1_000}")
        serve(scenario, f"a{number}", f"v{number}")
    assert "v0" in scenario.scheduler.volumes and len(scenario.scheduler.volumes) == MAX_VOLUMES
