"""Fixtures: a gateway on loopback, in this process or its own, with stand-ins around it."""

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from rushmux.gateway.config import parse_config
from rushmux.gateway.endpoints import SocketAddress
from rushmux.gateway.server import GatewayServer
from rushmux.standins.platform import FakeClient, FakeDiscovery, FakeNode, configuration

ROOT = Path(__file__).resolve().parents[2]


class RecordingLog:
    """A log that keeps its events."""

    def __init__(self):
        self.rows = []

    def __getattr__(self, level):
        return lambda event, **fields: self.rows.append((level, event, fields))

    def debug(self, event, **fields):
        """Too many to keep."""

    def events(self):
        return [event for _, event, _ in self.rows]


class InProcessFleet:
    """A gateway, its nodes, discovery and clients."""

    def __init__(self):
        self.nodes, self.clients, self.log = [], [], RecordingLog()
        self.discovery, self.server, self.port = FakeDiscovery(), None, 0

    async def open(self, nodes, **options):
        loop = asyncio.get_running_loop()
        await self.discovery.open()
        for number in range(nodes):
            self.nodes.append(FakeNode())
            await self.nodes[-1].open()
            self.discovery.update(self.nodes[-1].row(f"s{number}", number))
        raw = configuration(self.discovery.port, list(self.discovery.rows.values()), **options)
        config = parse_config(json.dumps(raw).encode())
        # The gateway binds the port itself; port 0 can't stand in a file.
        self.server = GatewayServer(
            config._replace(listen=SocketAddress("127.0.0.1", 0)), 0.0, loop, self.log
        )
        await self.server.open()
        self.port = self.server.listener.listening_socket.getsockname()[1]
        return self

    async def client(self):
        self.clients.append(await FakeClient().open(self.port))
        return self.clients[-1]

    async def client_that_sends(self, *arguments):
        """A client that writes a command at once; nobody need have accepted it."""
        client = await self.client()
        client.send(*arguments)
        return client

    async def close(self):
        for client in self.clients:
            client.close()
        for part in (self.server.discovery, self.server.pool, self.discovery, *self.nodes):
            part.close()
        self.server.listener.close()
        await asyncio.sleep(0.01)


@pytest.fixture
def with_fleet():
    """Runs a scenario, a coroutine function of a `InProcessFleet`, on an event loop of its own."""

    def run_scenario(scenario, nodes=1, **options):
        async def main():
            fleet = await InProcessFleet().open(nodes, **options)
            try:
                return await scenario(fleet)
            finally:
                await fleet.close()

        return asyncio.run(main())

    return run_scenario


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class ProcessFleet:
    """A gateway's process with a node and discovery."""

    def __init__(self, folder):
        self.file, self.node, self.discovery = folder / "config.json", FakeNode(), FakeDiscovery()
        self.port, self.process, self.options = free_port(), None, {}

    def write_config(self, discovery=None):
        raw = configuration(
            discovery or self.discovery.port, list(self.discovery.rows.values()), self.port, **self.options
        )
        self.file.write_text(json.dumps(raw))

    def write_known_endpoints(self, *rows):
        """The file's own list, which may be old."""
        raw = json.loads(self.file.read_text())
        raw["known"]["servers"] = rows
        self.file.write_text(json.dumps(raw))

    async def restart(self, *arguments):
        """Starts it again from nothing, as after SIGKILL; what discovery was asked before is forgotten."""
        self.process.kill()
        await self.process.wait()
        self.discovery.requests.clear()
        await self.start(*arguments or ("-m", "rushmux.gateway"))

    async def open(self, options, nodes=1):
        """`nodes`: rows of the list; all of them lead to the one stand-in."""
        self.options = options
        await self.node.open()
        await self.discovery.open()
        self.discovery.update(*(self.node.row(f"s{number}", number) for number in range(nodes)))
        self.write_config()

    async def start(self, *arguments):
        """Starts it, with these arguments of the interpreter."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(self.file), "NODE_NAME": "n0"},
        )

    async def connect_once(self):
        return await FakeClient().open(self.port)

    async def client(self):
        for _ in range(100):
            try:
                return await self.connect_once()
            except OSError:
                await asyncio.sleep(0.05)
        raise AssertionError("the gateway does not listen")


@pytest.fixture
def with_process(tmp_path):
    """Runs a scenario, a coroutine function of a `ProcessFleet`, with the gateway's own process."""

    def run_scenario(scenario, arguments=("-m", "rushmux.gateway"), nodes=1, **options):
        async def main():
            fleet = ProcessFleet(tmp_path)
            await fleet.open(options, nodes)
            try:
                await fleet.start(*arguments)
                async with asyncio.timeout(20):
                    return await scenario(fleet)
            finally:
                if fleet.process and fleet.process.returncode is None:
                    fleet.process.kill()
                    await fleet.process.wait()
                fleet.node.close()
                fleet.discovery.close()

        return asyncio.run(main())

    return run_scenario
