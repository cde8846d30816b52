"""The shares of a limit over several gateways never hold more than one bucket of the whole limit.

In random histories units are sent, arrive at any later time or never, and their outcome is learned later
still; gateways restart and lose their state.
"""

import random

import pytest

from rushmux.scheduling.interface import QosPlan
from rushmux.scheduling.limit_bucket import LimitBucket
from rushmux.scheduling.records import NEVER, TICKS_PER_SECOND

PLAN = QosPlan("base", 10.0, 0.0, limit=10.0, burst=48.0, slack=8.0, weight=1.0, price=1.0)
STEP = 500  # ticks
STEPS = 2_000


class FleetBucket:
    """The bucket of the whole volume, full at the start."""

    def __init__(self):
        self.level, self.updated_at, self.lowest = PLAN.burst, 0, PLAN.burst

    def take(self, units, now):
        elapsed = (now - self.updated_at) / TICKS_PER_SECOND
        self.level = min(PLAN.burst, self.level + PLAN.limit * elapsed) - units
        self.updated_at, self.lowest = now, min(self.lowest, self.level)


class Gateway:
    """Sends random operations as its bucket admits them."""

    def __init__(self, share, now):
        self.share = share
        self.start(now)

    def start(self, now):
        self.bucket, self.in_flight = LimitBucket(PLAN, self.share, now, now), []

    def step(self, rng, now, fleet):
        self.bucket.advance(now)
        for operation in list(self.in_flight):
            outcome = rng.random()
            if outcome < 0.2 and not operation["arrived"]:
                operation["arrived"] = True
                fleet.take(operation["units"], now)
            elif outcome < 0.4 and (operation["arrived"] or outcome > 0.35):
                self.bucket.settle(operation["units"], now)
                self.in_flight.remove(operation)
        units = rng.choice((1, 2, 8))
        while rng.random() < 0.8 and self.bucket.release_time(units, now) <= now:
            self.bucket.reserve(units)
            self.in_flight.append({"units": units, "arrived": False})


@pytest.mark.parametrize("seed", range(20))
def test_all_gateways_together_keep_the_limit_in_random_histories(seed):
    rng, fleet = random.Random(seed), FleetBucket()
    count = rng.randint(1, 4)
    gateways = [Gateway(1 / count, 0) for _ in range(count)]
    for number in range(STEPS):
        now = number * STEP
        quiet = number % 400 < 150
        for gateway in gateways:
            if rng.random() < 0.01 and not any(each["arrived"] is False for each in gateway.in_flight):
                gateway.start(now)
            if not quiet:
                gateway.step(rng, now, fleet)
        assert sum(each.bucket.level + each.bucket.reserved for each in gateways) <= PLAN.burst + 1e-6
    assert fleet.lowest >= -1e-6
    assert fleet.lowest < PLAN.burst / 2  # the limit was used


def test_a_smaller_share_cuts_the_level_and_counts_reserved_units():
    bucket = LimitBucket(PLAN, 0.5, 0, 10 * TICKS_PER_SECOND)
    bucket.reserve(8)
    assert (bucket.level, bucket.reserved) == (16, 8)
    bucket.set_share(0.25, 10 * TICKS_PER_SECOND)
    assert (bucket.level, bucket.capacity) == (4, 12)
    bucket.set_share(0.125, 10 * TICKS_PER_SECOND)
    assert (bucket.level, bucket.capacity) == (-2, 6)
    bucket.advance(20 * TICKS_PER_SECOND)
    assert bucket.level == -2
    bucket.settle(8, 20 * TICKS_PER_SECOND)
    bucket.advance(22 * TICKS_PER_SECOND)
    assert bucket.level == pytest.approx(0.5)


def test_a_larger_share_fills_from_the_change_on():
    bucket = LimitBucket(PLAN, 0.25, 0, 10 * TICKS_PER_SECOND)
    bucket.set_share(0.5, 10 * TICKS_PER_SECOND)
    assert bucket.level == 12
    bucket.advance(11 * TICKS_PER_SECOND)
    assert bucket.level == pytest.approx(17)


def test_times_at_which_units_are_available_or_the_bucket_is_full():
    bucket = LimitBucket(PLAN, 0.5, 0, 0)
    assert bucket.release_time(1, 0) == 2_001 and bucket.full_at() == 48_001
    bucket.advance(48_001)
    assert bucket.full_at() == 48_002 and bucket.release_time(24, 48_001) == 48_001
    bucket.reserve(1)
    assert bucket.full_at() == NEVER
    assert LimitBucket(PLAN, 0.0, 0, TICKS_PER_SECOND).release_time(1, TICKS_PER_SECOND) == NEVER


def test_a_plan_without_a_limit_admits_everything():
    bucket = LimitBucket(PLAN._replace(limit=0.0, burst=0.0), 0.5, 0, 0)
    bucket.reserve(1_000)
    assert bucket.release_time(1_000, 5) == 5 and bucket.full_at() == 0


def test_rounding_errors_do_not_keep_the_bucket_from_being_full():
    bucket = LimitBucket(PLAN, 0.5, 0, 100 * TICKS_PER_SECOND)
    for units in (0.1, 0.2, 0.3):
        bucket.reserve(units)
    for units in (0.3, 0.1, 0.2):
        bucket.settle(units, 100 * TICKS_PER_SECOND)
    assert bucket.reserved == 0
    assert bucket.full_at() < 101 * TICKS_PER_SECOND


def test_an_empty_share_counts_as_full():
    assert LimitBucket(PLAN, 0.0, 0, TICKS_PER_SECOND).full_at() == TICKS_PER_SECOND
