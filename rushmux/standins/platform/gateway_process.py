"""A gateway process on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from rushmux.standins.platform.client import FakeClient

GATEWAY_ARGUMENTS = ("-m", "rushmux.gateway")
READY_POLL_INTERVAL = 0.05
"""Seconds between attempts to reach a starting gateway."""
MIN_PORT, MAX_PORT = 20_000, 32_000
"""Below the ephemeral ports: a connection to a stopped gateway could get the gateway's port as its local one,
connect to itself and keep the gateway from listening."""


def free_gateway_port() -> int:
    """Returns a port on which nothing listens, or raises OSError."""
    # Not seeded: concurrent runs of the same seed would choose the same ports.
    rng = random.SystemRandom()
    for port in rng.sample(range(MIN_PORT, MAX_PORT), MAX_PORT - MIN_PORT):
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind(("127.0.0.1", port))
            return port
    raise OSError(f"no port from {MIN_PORT} to {MAX_PORT} is free")


class GatewayProcess:
    """A gateway that can be restarted without state at the same address.

    Attributes:
        log: Standard error of ended processes.
    """

    def __init__(self, name: str, file: Path, port: int, arguments: Sequence[str] = GATEWAY_ARGUMENTS):
        """Describes a gateway.

        Args:
            name: Its name.
            file: Its configuration file.
            port: Where it listens.
            arguments: Interpreter arguments that start it.
        """
        self.name = name
        self.file = file
        self.port = port
        self.arguments = tuple(arguments)
        self.log = b""
        self.process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None

    def write_configuration(self, raw: dict) -> None:
        """Replaces the configuration file."""
        self.file.write_text(json.dumps(raw))

    async def start(self) -> None:
        """Starts a new process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.arguments,
            stderr=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(self.file), "NODE_NAME": self.name},
        )
        self._reader = asyncio.ensure_future(self.process.stderr.read())

    async def is_ready(self, within: float) -> bool:
        """Returns whether it answers PING within so many seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        while loop.time() < until and self.process.returncode is None:
            try:
                client = await FakeClient().open(self.port)
                if await client.request(b"PING") == ("+", b"PONG"):
                    client.close()
                    return True
            except (OSError, TimeoutError):
                await asyncio.sleep(READY_POLL_INTERVAL)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal unless it has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> int:
        """Kills it if it is running, and returns its exit code."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log += await self._reader
        return self.process.returncode
