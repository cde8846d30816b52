"""Kills at random moments: nothing flushed is lost, no barrier is crossed, and checks that are taken out
are missed.
"""

import random

import pytest

from rushmux.buffer.writeback import WriteBack
from rushmux.standins import kills


def breaches(play, seeds, **settings):
    found = []
    for seed in seeds:

        async def story(fleet):
            return (await kills.round_of(fleet, "heredia", random.Random(seed), 0, 1.2))[0]

        found += [f"seed {seed}: {text}" for text in play(story, seed=seed, **settings)[1]]
    return found


def test_nothing_promised_is_lost(play):
    assert breaches(play, range(40)) == []


def test_nothing_promised_is_lost_without_a_log(play):
    assert breaches(play, range(40, 60), logs=False) == []


def test_a_buffer_that_does_not_wait_for_its_flush_is_found_out(play, monkeypatch):
    async def at_once(self, *words):
        pass

    monkeypatch.setattr(WriteBack, "flush", at_once)
    monkeypatch.setattr(WriteBack, "past", at_once)
    assert breaches(play, range(10))


def test_a_buffer_without_its_fence_is_found_out(play, monkeypatch):
    monkeypatch.setattr(WriteBack, "overtaken", lambda self, file, version, row: False)
    assert any("after the return" in text for text in breaches(play, range(30)))


def test_a_buffer_that_forgets_its_barriers_is_found_out(play, monkeypatch):
    from rushmux.buffer.flush_policy import Buffer

    monkeypatch.setattr(Buffer, "barrier", lambda self, name: -1)
    assert any("barrier" in text or "flushed" in text for text in breaches(play, range(20)))


@pytest.mark.parametrize("seed", [1, 2])
def test_a_seed_replays(play, seed):
    async def story(fleet):
        return await kills.round_of(fleet, "heredia", random.Random(seed), 0, 1.2)

    (one, result), (two, other) = (play(story, seed=seed) for _ in range(2))
    assert one.records == two.records and result == other
