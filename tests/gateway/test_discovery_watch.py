"""The watch over discovery's endpoint list."""

import asyncio
import itertools

import pytest

from rushmux.gateway.discovery import DiscoveryWatch
from rushmux.gateway.discovery_connection import PATH
from rushmux.gateway.discovery_timing import LOCAL_AGENT
from rushmux.gateway.endpoints import SocketAddress
from rushmux.standins.platform import FakeDiscovery


def row(name, state="up"):
    return {
        "id": name,
        "addr": "127.0.0.1:6379",
        "zone": "a",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class Log:
    def info(self, event, **fields):
        """Discards the event."""

    warning = info


def run_scenario(scenario):
    async def main():
        source, updates = FakeDiscovery(), []
        await source.open()
        source.update(row("a"), row("b"))
        watch = DiscoveryWatch(
            asyncio.get_running_loop(),
            SocketAddress("127.0.0.1", source.port),
            Log(),
            lambda is_snapshot, endpoints: updates.append(
                (is_snapshot, [(endpoint.node, endpoint.state) for endpoint in endpoints])
            ),
            timing=LOCAL_AGENT._replace(watch=0.3, first_byte=0.45),
        )
        watch.start()
        try:
            return await scenario(source, watch, updates)
        finally:
            watch.close()
            source.close()
            await asyncio.sleep(0.01)

    return asyncio.run(main())


SNAPSHOT = (True, [("a", "ready"), ("b", "ready")])


def test_a_snapshot_then_each_change_is_passed_on_with_less_than_200_ms_between_requests():
    async def scenario(source, watch, updates):
        await asyncio.sleep(0.1)
        source.update(row("b", "draining"))
        await asyncio.sleep(0.9)
        source.update(row("b", "removed"), row("c"))
        await asyncio.sleep(0.1)
        return updates, [target for _, target in source.requests], [at for at, _ in source.requests]

    updates, targets, times = run_scenario(scenario)
    assert updates == [SNAPSHOT, (False, [("b", "draining")]), (False, [("b", "gone"), ("c", "ready")])]
    assert targets[0] == PATH and all("after=" in target for target in targets[1:])
    assert max(late - early for early, late in itertools.pairwise(times)) < 0.3 + 0.2


def test_a_silent_discovery_is_detected_and_missed_changes_are_passed_on():
    async def scenario(source, watch, updates):
        await asyncio.sleep(0.1)
        source.is_silent = True
        source.update(row("a", "draining"))
        await asyncio.sleep(0.8)
        calls = len(source.requests)
        source.is_silent = False
        await asyncio.sleep(0.3)
        return updates, calls

    updates, calls = run_scenario(scenario)
    assert updates == [SNAPSHOT, (False, [("a", "draining")])] and calls > 3


@pytest.mark.parametrize(
    "broken", [b"", b"{", b"[]", b"7", b'{"version":3,"full":true,"servers":[{"id":"x"}]}']
)
def test_a_malformed_response_leaves_the_last_list_in_force(broken):
    async def scenario(source, watch, updates):
        await asyncio.sleep(0.1)
        source.malformed_body = broken
        source.update(row("c"))
        await asyncio.sleep(0.3)
        before = list(updates)
        source.malformed_body = None
        await asyncio.sleep(0.3)
        return before, updates

    before, updates = run_scenario(scenario)
    assert before == [SNAPSHOT] and updates[-1] == (False, [("c", "ready")])


def test_a_new_address_is_used_at_once_without_losing_a_change():
    async def scenario(source, watch, updates):
        await asyncio.sleep(0.1)
        other = FakeDiscovery()
        await other.open()
        other.version, other.rows = source.version, dict(source.rows)
        other.update(row("c"))  # known to the new discovery only
        watch.change_address(SocketAddress("127.0.0.1", other.port))
        watch.change_address(SocketAddress("127.0.0.1", other.port))
        await asyncio.sleep(0.15)
        calls = len(source.requests)
        await asyncio.sleep(0.4)
        former_is_unused = len(source.requests) == calls
        other.close()
        return updates, former_is_unused

    updates, former_is_unused = run_scenario(scenario)
    assert updates == [SNAPSHOT, (False, [("c", "ready")])] and former_is_unused


def test_an_address_that_does_not_answer_is_replaced_by_one_that_does():
    async def scenario(source, watch, updates):
        await asyncio.sleep(0.1)
        watch.change_address(SocketAddress("127.0.0.1", 1))
        await asyncio.sleep(0.2)
        source.update(row("a", "draining"))
        watch.change_address(SocketAddress("127.0.0.1", source.port))
        await asyncio.sleep(0.1)
        return updates[-1]

    assert run_scenario(scenario) == (False, [("a", "draining")])
