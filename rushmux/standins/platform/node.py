"""A fake storage node with scripted responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rushmux.resp import CommandReader
from rushmux.standins.platform.discovery import endpoint_row
from rushmux.standins.platform.messages import success_reply

HANG_TIME = 60
"""Seconds that a command hangs; longer than a test."""


def _serve(arguments: list[bytes]) -> Iterable:
    return [success_reply()]


class NodeServerConnection(asyncio.Protocol):
    """A gateway's connection to a fake node (`asyncio.Protocol`)."""

    def __init__(self, node: FakeNode):
        self.node = node
        self.reader = CommandReader()
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection."""
        self.transport = transport
        self.node.connections[self] = True
        self.node.connections_opened += 1

    def data_received(self, data: bytes) -> None:
        """Runs the script of each command."""
        self.reader.receive_data(data)
        while (arguments := self.reader.next_command()) is not None:
            self.node.received.append(arguments)
            self.task = asyncio.ensure_future(self._run_script(arguments))

    async def _run_script(self, arguments: list[bytes]) -> None:
        self.node.running += 1
        self.node.max_running = max(self.node.max_running, self.node.running)
        try:
            for step in self.node.script(arguments):
                if step == "close":
                    self.transport.abort()
                elif step == "hang":
                    await asyncio.sleep(HANG_TIME)
                elif isinstance(step, bytes):
                    self.transport.write(step)
                else:
                    await asyncio.sleep(step)
        finally:
            self.node.running -= 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels its last script."""
        self.node.connections.pop(self, None)
        if self.task is not None:
            self.task.cancel()  # nodes stop abandoned work


class FakeNode:
    """A storage node on loopback.

    Attributes:
        script: Returns the steps for a command, given its arguments: bytes to send, seconds to wait, "close"
            or "hang".
        received: The arguments of each command.
        running: Number of running scripts.
        max_running: Largest value of `running`.
        connections_opened: Number of connections so far.
    """

    def __init__(self, script: Callable[[list[bytes]], Iterable] = _serve):
        self.script = script
        self.received: list[list[bytes]] = []
        self.connections: dict[NodeServerConnection, bool] = {}
        self.running = 0
        self.max_running = 0
        self.connections_opened = 0
        self.port = 0
        self.server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        """Listens; port 0 chooses a free one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: NodeServerConnection(self), "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, name: str, cell: int, state: str = "up", started_ms: int = 0) -> dict:
        """Returns the node's row in discovery's list."""
        return endpoint_row(name, self.port, cell, state, started_ms)

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
