"""Fixtures of the buffer tests: the example deployment with a buffer, its fleets and clients."""

import copy
import json
from pathlib import Path

import pytest

from rushmux.settings import deployment
from rushmux.sftp import packets as sftp
from rushmux.standins import fleet

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())


@pytest.fixture
def raw():
    """The example deployment with the buffer enabled, as JSON that tests may change."""
    return {**copy.deepcopy(EXAMPLE), "buffer": {}}


@pytest.fixture
def run_fleet(raw):
    """Runs `steps(fleet)` on a simulated fleet; returns the fleet and the result of the steps."""

    def run(steps, seed=3, **settings):
        return fleet.run_fleet(deployment.build(raw), seed, steps, **{"nodes": 4, "unit": 0.004, **settings})

    return run


class FileOperations:
    """Client operations beyond plain reads and writes."""

    @staticmethod
    async def open(client, path, flags=sftp.READ | sftp.WRITE | sftp.CREATE):
        return await client.open(path, flags)

    @staticmethod
    async def fsync(client, handle):
        await client.ask(sftp.Extended, "fsync@openssh.com", _string(handle))

    @staticmethod
    async def set_barrier(client, folder):
        await client.ask(sftp.Extended, "barrier@rushmux", _string(folder.encode()))


def _string(raw):
    """An SFTP string."""
    return len(raw).to_bytes(4, "big") + raw


@pytest.fixture
def files():
    """Operations of an SFTP client on files."""
    return FileOperations()


@pytest.fixture
def buffered_bytes():
    """Returns the number of bytes that an edge of a fleet has buffered."""
    return lambda fleet, edge=0: fleet.edges[edge].program.buffer.writes.byte_count
