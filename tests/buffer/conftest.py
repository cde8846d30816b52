"""Fixtures of the buffer's tests: the example's deployment with its buffer on, its fleets and its clients."""

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
    """The example's text with the buffer on, to be changed at will."""
    return {**copy.deepcopy(EXAMPLE), "buffer": {}}


@pytest.fixture
def play(raw):
    """Plays a story on a fleet of the deployment; the fleet and the story's result."""

    def played(story, seed=3, **settings):
        return fleet.play(deployment.build(raw), seed, story, **{"nodes": 4, "unit": 0.004, **settings})

    return played


class FileOperations:
    """What the tests' clients do beside plain reads and writes."""

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
    """A string of the SFTP wire."""
    return len(raw).to_bytes(4, "big") + raw


@pytest.fixture
def files():
    """Operations on files by an SFTP client."""
    return FileOperations()


@pytest.fixture
def buffered_bytes():
    """Gives the bytes that an edge of a fleet has buffered."""
    return lambda fleet, edge=0: fleet.edges[edge].program.buffer.writes.byte_count
