"""A client sends requests and then noise, and leaves: nothing more may be sent to nodes for it.

The first request goes to a node that hangs, so that no answer comes before the client's.  The others go to a
sound node, which takes them up a few at a time.
"""

import asyncio
import socket

from trial import Trial, main

from rushmux.resp import encode_command
from rushmux.standins.loop_lag import LoopLagWatch
from rushmux.standins.platform import (
    FakeClient,
    FakeDiscovery,
    FakeNode,
    configuration,
    read_command,
    success_reply,
)
from rushmux.standins.platform.gateway_process import GatewayProcess, free_gateway_port

NODES, HANGING_NODE, BUSY_NODE = 8, 0, 1
REQUESTS = 60
NOISE = b"\xff" * 8_000_000
"""Bytes that can't be read, as many as a bad client gets rid of before it goes."""
OBJECTIVE, DEADLINE, TIME_LEFT = 800, 2_500, 2_400
"""Milliseconds."""
SERVICE_TIME = 0.08
"""Seconds of a node for one request."""
SEND_TIME = 0.05
"""Seconds from the first byte to the client's close."""
GRACE = 0.1 + 0.05
"""Seconds from a client's close after which no attempt may begin, with the slack of every time limit."""
WATCH_TIME = 4.0
"""Seconds for which the nodes are watched after the close."""
READY_TIME = 20.0
SOCKETS, MEMORY_MB = 1_024, 192


class Platform:
    """Discovery, the nodes and one gateway.

    Attributes:
        arrivals: Time and id of each request that a node got.
    """

    def __init__(self, trial: Trial):
        self.trial, self.loop = trial, asyncio.get_running_loop()
        self.discovery = FakeDiscovery()
        self.nodes = [FakeNode(self._script_of(cell)) for cell in range(NODES)]
        self.port = free_gateway_port()
        self.gateway = GatewayProcess("n0", trial.folder / "config.json", self.port)
        self.arrivals: list[tuple[float, str]] = []

    def _script_of(self, cell: int):
        def script(arguments: list[bytes]) -> list:
            self.arrivals.append((self.loop.time(), arguments[2].decode()))
            self.trial.note("arrives", node=cell, id=arguments[2].decode())
            if cell == HANGING_NODE and self.trial.has_trouble:
                return ["hang"]
            return [SERVICE_TIME, success_reply()]

        return script

    async def open(self) -> None:
        """Starts all."""
        await self.discovery.open()
        for cell, node in enumerate(self.nodes):
            await node.open()
            self.discovery.rows[f"s{cell}"] = node.row(f"s{cell}", cell)
        rows = list(self.discovery.rows.values())
        options = {"deadline": DEADLINE, "objective": OBJECTIVE, "shards": NODES, "MostHeld": 20_000}
        limits = {"sockets": SOCKETS, "memory_mb": MEMORY_MB}
        self.gateway.write_configuration(
            configuration(self.discovery.port, rows, self.port, **limits, **options)
        )
        await self.gateway.start()
        if not await self.gateway.is_ready(READY_TIME):
            raise TimeoutError("the gateway does not answer")

    async def close(self) -> None:
        """Ends the gateway and closes the stand-ins."""
        if self.gateway.process is not None:
            await self.gateway.end()
        self.discovery.close()
        for node in self.nodes:
            node.close()


def commands() -> bytes:
    """Returns the requests; the first one goes to the node that hangs."""
    cells = [HANGING_NODE] + [BUSY_NODE] * (REQUESTS - 1)
    return b"".join(
        encode_command(read_command(1 + number, cell=cell, time_left=TIME_LEFT))
        for number, cell in enumerate(cells)
    )


async def send_and_leave(platform: Platform) -> None:
    """Sends the requests and the noise at full speed, and closes the connection."""
    data = memoryview(commands() + NOISE)
    until = platform.loop.time() + SEND_TIME
    with socket.create_connection(("127.0.0.1", platform.port)) as client:
        client.setblocking(False)
        position = 0
        while platform.loop.time() < until:
            try:
                position += client.send(data[position:])
            except BlockingIOError:
                await asyncio.sleep(0.001)
        platform.trial.note("sent", bytes=position, requests=REQUESTS)


async def send_and_wait(platform: Platform) -> None:
    """Sends the requests, and closes the connection when all are answered."""
    client = await FakeClient().open(platform.port)
    client.writer.write(commands())
    for _ in range(REQUESTS):
        platform.trial.note("answered", reply=await client.reply())
    client.close()


async def case(trial: Trial) -> bool:
    """Returns whether no attempt began for the client later than the grace after its close."""
    platform = Platform(trial)
    lag = LoopLagWatch()
    lag_task = asyncio.create_task(lag.run())
    try:
        await platform.open()
        await (send_and_leave if trial.has_trouble else send_and_wait)(platform)
        closed_at = platform.loop.time()
        trial.note("closed")
        await asyncio.sleep(WATCH_TIME)
    finally:
        lag_task.cancel()
        await platform.close()
    late = [at - closed_at for at, _ in platform.arrivals if at > closed_at + GRACE + lag.longest]
    trial.note(
        "counted", attempts=len(platform.arrivals), late=len(late), latest=f"{max(late, default=0):.3f}"
    )
    trial.note("own_stalls", longest=f"{lag.longest:.4f}")
    return not late


if __name__ == "__main__":
    main(case)
