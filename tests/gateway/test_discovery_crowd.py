"""Gateways that have to ask for changes share one discovery, and don't crowd each other out.

Each gateway asked once a second, gave a call up after 1.5 s although calls wait in turn for 2 s, and asked
again after 50 ms. Discovery answered calls that had been given up, and most gateways learnt of no change.
"""

import asyncio
import itertools
import random

import pytest

from rushmux.gateway.discovery_timing import LOCAL_AGENT, SHARED_SERVICE
from rushmux.standins.discovery_crowd import run_crowd

SERVICE_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("capacity", [2.0, 4.0])
def test_gateways_learn_of_changes_from_a_discovery_of_fixed_capacity(capacity):
    async def run_both():
        return await asyncio.gather(
            run_crowd(8, capacity, SHARED_SERVICE, changes=2), run_crowd(8, capacity, LOCAL_AGENT, changes=2)
        )

    shared, local = asyncio.run(run_both())
    assert min(shared.shares) == 1.0
    # The service is used to capacity at most, and the timing for a local agent shows that it can be crowded.
    assert shared.calls_per_second <= 1.3 / capacity + 0.1
    assert min(local.shares) < 0.5


def test_calls_that_fail_are_repeated_after_drawn_pauses_that_grow(with_process):
    async def scenario(fleet):
        await fleet.client()
        fleet.discovery.script = lambda target, body: [SERVICE_UNAVAILABLE]
        fleet.discovery.update(fleet.node.row("s0", 0, "draining"))  # ends the watch that is held
        await asyncio.sleep(4)
        times = [at for at, _ in fleet.discovery.requests]
        targets = [target for _, target in fleet.discovery.requests]
        fleet.discovery.script = None
        await asyncio.sleep(1.5)
        return (
            [late - early for early, late in itertools.pairwise(times[2:])],
            targets,
            len(fleet.discovery.requests) - len(times),
        )

    pauses, targets, later = with_process(scenario, asks_discovery=True)
    assert 4 <= len(pauses) <= 30 and max(pauses) <= SHARED_SERVICE.retry.max_pause + 0.3
    assert len({round(pause, 2) for pause in pauses}) > 2
    assert "wait_ms=2000" in targets[1] and later >= 1


def test_pauses_of_gateways_that_failed_together_are_spread_over_the_whole_pause():
    pauses = [SHARED_SERVICE.retry_pause(9, random.Random(seed)) for seed in range(1_000)]
    longest = SHARED_SERVICE.retry.max_pause
    assert max(pauses) <= longest
    for quarter in range(4):
        count = sum(quarter * longest / 4 <= pause < (quarter + 1) * longest / 4 for pause in pauses)
        assert 200 < count < 300
    assert {LOCAL_AGENT.retry_pause(failures, random.Random(1)) for failures in (1, 2, 2_000)} == {0.05}
