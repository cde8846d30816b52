"""Crashes at random moments: no flushed write is lost, and no write passes a barrier.

The same checks detect buffers without a part of their protocol.
"""

import random

import pytest

from rushmux.buffer import overwritten_runs
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.writeback import WriteBack
from rushmux.standins import kills

FOLDER = "heredia"
MAX_DELAY = 1.2  # seconds until the kill


def crash_round(seed):
    """Steps that kill edge 0 while a client writes; their result begins with the breaches."""

    async def steps(fleet):
        return await kills.run_round(fleet, FOLDER, random.Random(seed), 0, MAX_DELAY)

    return steps


def find_breaches(run_fleet, seeds, **settings):
    return [
        f"seed {seed}: {text}"
        for seed in seeds
        for text in run_fleet(crash_round(seed), seed=seed, **settings)[1][0]
    ]


def test_no_answered_flush_is_lost(run_fleet):
    assert find_breaches(run_fleet, range(40)) == []


def test_no_answered_flush_is_lost_without_a_log(run_fleet):
    assert find_breaches(run_fleet, range(40, 60), buffer_logs=False) == []


def test_a_flush_answered_too_early_is_detected(run_fleet, monkeypatch):
    async def return_at_once(self, *arguments):
        pass

    monkeypatch.setattr(WriteBack, "flush", return_at_once)
    monkeypatch.setattr(WriteBack, "wait_for_barrier", return_at_once)
    assert find_breaches(run_fleet, range(10))


def test_recovered_writes_over_newer_ones_are_detected(run_fleet, monkeypatch):
    monkeypatch.setattr(overwritten_runs, "is_overwritten", lambda file, rows, run: False)
    assert any("after the return" in text for text in find_breaches(run_fleet, range(30)))


def test_barriers_without_effect_are_detected(run_fleet, monkeypatch):
    monkeypatch.setattr(BufferedWrites, "set_barrier", lambda self, name: -1)
    assert any("barrier" in text or "flushed" in text for text in find_breaches(run_fleet, range(20)))


@pytest.mark.parametrize("seed", [1, 2])
def test_a_seed_replays_the_same_crash(run_fleet, seed):
    (fleet, result), (other_fleet, other_result) = (run_fleet(crash_round(seed), seed=seed) for _ in range(2))
    assert fleet.records == other_fleet.records and result == other_result
