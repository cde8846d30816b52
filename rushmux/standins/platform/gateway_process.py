"""A gateway as a real process on loopback."""

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
"""Seconds between two attempts to reach a gateway that is starting."""
FIRST_PORT, LAST_PORT = 20_000, 32_000
"""Below those that the system gives to connections: one on its way to a gateway that is down could get the
gateway's own port, connect to itself, and keep the gateway from listening."""


def free_gateway_port() -> int:
    """Returns a port on which nothing listens; OSError."""
    # Not from a run's seed: runs of one seed beside each other would get the same ports.
    chance = random.SystemRandom()
    for port in chance.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT):
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind(("127.0.0.1", port))
            return port
    raise OSError(f"no port from {FIRST_PORT} to {LAST_PORT} is free")


class GatewayProcess:
    """One gateway, which may be started again from nothing at the same address.

    Attributes:
        log: What its earlier starts wrote to standard error.
    """

    def __init__(self, name: str, file: Path, port: int, arguments: Sequence[str] = GATEWAY_ARGUMENTS):
        """Describes a gateway.

        Args:
            name: Its name.
            file: Where its configuration lies.
            port: Where it listens.
            arguments: Of the interpreter, that start it.
        """
        self.name = name
        self.file = file
        self.port = port
        self.arguments = tuple(arguments)
        self.log = b""
        self.process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None

    def write_configuration(self, raw: dict) -> None:
        """Replaces its configuration."""
        self.file.write_text(json.dumps(raw))

    async def start(self) -> None:
        """Starts it, with nothing of an earlier start."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.arguments,
            stderr=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(self.file), "NODE_NAME": self.name},
        )
        self._reader = asyncio.ensure_future(self.process.stderr.read())

    async def is_ready(self, within: float) -> bool:
        """Whether it answers PING within so many seconds."""
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
        """Sends a signal, unless it has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> int:
        """Kills it if it lives, and returns its exit code."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log += await self._reader
        return self.process.returncode
