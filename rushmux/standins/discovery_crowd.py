"""Watches of many gateways on a discovery of fixed capacity, over sockets on loopback.

`python -m rushmux.standins.discovery_crowd GATEWAYS CAPACITY` prints the shares that learn of each change in
time; the capacity is given as the seconds that one call from each gateway takes.
"""

import asyncio
import sys
from collections.abc import Iterable
from typing import NamedTuple

from rushmux import log
from rushmux.gateway.discovery import DiscoveryWatch
from rushmux.gateway.discovery_timing import LOCAL_AGENT, SHARED_SERVICE, DiscoveryTiming
from rushmux.gateway.endpoints import DiscoveredEndpoint, SocketAddress
from rushmux.standins.platform import FakeDiscovery
from rushmux.standins.platform.discovery import endpoint_row

TOLD_WITHIN = 6.0
"""Seconds after which a change counts as told."""
SETTLE_TIME = 10.0
"""Seconds of calls before the first change."""
CHANGES = 3
NODE_PORT = 6379
"""Port of the listed node, to which nothing connects."""


class CrowdResult(NamedTuple):
    """How the gateways fared."""

    shares: tuple[float, ...]
    """For each change, the share of the gateways that knew of it within TOLD_WITHIN."""
    calls_per_second: float
    """Calls of one gateway."""


async def run_crowd(
    gateways: int, capacity: float, timing: DiscoveryTiming, changes: int = CHANGES
) -> CrowdResult:
    """Runs the watches of `gateways` gateways, whose calls take `capacity` seconds if each makes one."""
    loop, source = asyncio.get_running_loop(), FakeDiscovery()
    await source.open()
    source.call_time = capacity / gateways
    versions = [0] * gateways
    begun_at = loop.time()

    def note_change(number: int, endpoints: Iterable[DiscoveredEndpoint]) -> None:
        for endpoint in endpoints:
            versions[number] = max(versions[number], endpoint.cell)

    watches = [
        DiscoveryWatch(
            loop,
            SocketAddress("127.0.0.1", source.port),
            log.to_list([], "error"),
            lambda is_snapshot, endpoints, number=number: note_change(number, endpoints),
            timing=timing,
            seed=number,
        )
        for number in range(gateways)
    ]
    for watch in watches:
        watch.start()
    await asyncio.sleep(SETTLE_TIME)
    shares = []
    for version in range(1, changes + 1):
        source.update(endpoint_row("s0", NODE_PORT, cell=version))
        await asyncio.sleep(TOLD_WITHIN)
        shares.append(sum(known >= version for known in versions) / gateways)
    calls_per_second = len(source.requests) / gateways / (loop.time() - begun_at)
    for watch in watches:
        watch.close()
    source.close()
    await asyncio.sleep(0)
    return CrowdResult(tuple(shares), calls_per_second)


def main() -> None:
    """Prints the results of a shared service's timing and of a local agent's."""
    gateways, capacity = int(sys.argv[1]), float(sys.argv[2])
    for name, timing in (("shared service", SHARED_SERVICE), ("local agent", LOCAL_AGENT)):
        result = asyncio.run(run_crowd(gateways, capacity, timing))
        shares = ", ".join(f"{share:.2f}" for share in result.shares)
        print(f"{gateways} gateways, {capacity:g} s, {name}: {shares}; {result.calls_per_second:.2f} calls/s")


if __name__ == "__main__":
    main()
