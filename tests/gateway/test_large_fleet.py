"""The largest fleets: a gateway process with 1,024 nodes and settings for 1,024 gateways."""

import asyncio
import re
from pathlib import Path

import pytest

from rushmux.standins.platform import read_command, write_command

NODES = 1_024
MAX_MEMORY = 64 * 1024  # KiB
MAX_PING_TIME = 0.3  # seconds until a PONG while endpoint lists arrive, on a busy machine


def peak_memory(process) -> int:
    """Returns the process's peak resident memory in KiB."""
    return int(re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{process.pid}/status").read_text())[1])


@pytest.mark.parametrize("indent", [None, 2])
def test_1024_nodes_and_gateways_stay_within_time_and_memory_limits(with_process, indent):
    async def scenario(fleet):
        loop, ping_times = asyncio.get_running_loop(), []
        fleet.discovery.indent = indent
        begun = loop.time()
        client, pinger = await fleet.client(), await fleet.client()
        assert await client.request(b"PING") == ("+", b"PONG")
        ready, replies, stop = loop.time() - begun, [], False

        async def ping():
            while not stop:
                at = loop.time()
                await pinger.request(b"PING")
                ping_times.append(loop.time() - at)
                await asyncio.sleep(0.005)

        task = asyncio.ensure_future(ping())
        for number in range(0, NODES, 16):  # nodes all over the initial list
            replies.append(await client.request(*read_command(number + 1, cell=number)))
        half = range(NODES // 2)
        fleet.discovery.update(*(fleet.node.row(f"s{number}", number, "removed") for number in half))
        fleet.discovery.update(*(fleet.node.row(f"t{number}", number) for number in half))
        await asyncio.sleep(0.3)
        for number in range(0, NODES, 16):  # half of these nodes arrived as changes
            replies.append(await client.request(*write_command(5_000 + number, cell=number)))
        stop = True
        await task
        return ready, replies, max(ping_times), peak_memory(fleet.process), len(fleet.discovery.rows)

    ready, replies, longest, memory, rows = with_process(scenario, nodes=NODES, gateways=NODES, shards=NODES)
    assert rows == NODES and ready < 5
    assert set(replies) == {("$", b"data")} and len(replies) == 2 * NODES // 16
    assert longest < MAX_PING_TIME and memory < MAX_MEMORY
