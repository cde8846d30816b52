"""Backoff pauses are bounded, and a seed gives the same first pauses as in earlier versions."""

import random

import pytest

from rushmux.backoff import Backoff
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.flush_policy import MAX_BACKOFF, BufferLimits, FlushPolicy
from rushmux.edge.node_connections import next_backoff

DAYS_OF_FAILURES = 200_000


@pytest.mark.parametrize("failures", [1_023, 1_024, DAYS_OF_FAILURES])
def test_a_pause_is_bounded_after_any_number_of_failures(failures):
    assert Backoff(0.05, 2.0).pause(failures) == 2.0
    assert 1.0 <= Backoff(0.05, 2.0).jittered_pause(failures, random.Random(1)) <= 2.0


def test_the_first_pauses_of_a_seed_are_those_of_earlier_versions():
    rng, other = random.Random(7), random.Random(7)
    for failures in range(1_000):
        expected = min(2.0, 0.05 * 2**failures) * (0.5 + other.random() / 2)
        assert next_backoff(failures, rng) == expected


def test_a_batch_that_fails_for_days_is_retried_after_the_longest_pause():
    """Guards against `2 ** (failures - 1)` overflowing at the 1,025th failure while a node is away."""
    writes = BufferedWrites(lambda folder: 5.0)
    policy = FlushPolicy(writes, BufferLimits(max_retention=float("inf")), lambda size: 1.0)
    file = writes.file("f", "a", "/f/a")
    writes.add(file, 0, b"data", 0.0)
    now = 10.0
    for _ in range(1_100):
        batch, _ = policy.next_batch(now)
        policy.on_batch_failed(batch, now, "no node")
        assert policy.check(writes.folder("f"), now).check_at <= now + MAX_BACKOFF
        now += MAX_BACKOFF
    assert file.dirty
