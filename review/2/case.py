"""Bad clients send hundreds of commands at once; the platform ends a gateway over its limit of memory."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import (
    HOST,
    TROUBLE,
    Discovery,
    Gateway,
    Node,
    Record,
    encode,
    read_value,
    request,
    run_case,
    served,
    settings,
)

RECORD_FILE = Path(__file__).resolve().parent / "record.txt"
"""What was sent, answered and run, of the last run."""
MEMORY_MB = 128
"""Of the 32 to 192 MB that the pages name."""
SOCKETS = 1024
NODES = 9
SERVICE_S = 0.03
USUAL_CLIENTS = 8
USUAL_INTERVAL_S = 0.1
USUAL_WAIT_MS = 2_000
BAD_CLIENTS = 40
COMMANDS_AT_ONCE = 200
BODY = b"x" * 65_536
"""The largest value of the protocol."""
QUIET_S, TROUBLE_S = 2.0, 8.0
SAMPLE_S = 0.02


async def serve_in_turn(node: Node, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Serves a request in the usual time."""
    await asyncio.sleep(SERVICE_S)
    writer.write(served(b"value-of-" + words[2]))
    await writer.drain()


class Platform:
    """Watches the gateway's memory, and ends it outright over the limit, as the deployment page says."""

    def __init__(self, gateway: Gateway, record: Record):
        self.gateway, self.record = gateway, record
        self.peak_kb = 0
        self.killed = False

    def resident_kb(self) -> int:
        """Returns the gateway's resident memory."""
        status = Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        lines = [line.split() for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(lines[0][1]) if lines else 0

    async def watch(self) -> None:
        """Samples until cancelled or until the gateway has ended."""
        noted_at = 0.0
        while self.gateway.process.returncode is None:
            with contextlib.suppress(OSError):
                self.peak_kb = max(self.peak_kb, resident := self.resident_kb())
                if time.monotonic() - noted_at > 1 / 4:
                    noted_at = time.monotonic()
                    self.record.write("platform", f"the gateway holds {resident / 1024:.0f} MB")
                if resident > MEMORY_MB * 1024 and not self.killed:
                    self.killed = True
                    self.record.write(
                        "platform", f"the gateway holds {resident / 1024:.0f} MB, over {MEMORY_MB} MB"
                    )
                    self.gateway.send_signal(signal.SIGKILL)
            await asyncio.sleep(SAMPLE_S)


class Usual:
    """The usual clients: small reads, one at a time on a connection."""

    def __init__(self, gateway: Gateway, record: Record):
        self.gateway, self.record = gateway, record
        self.sent = self.answered = 0
        self.unanswered: list[str] = []

    async def run(self, number: int, until: float) -> None:
        """Asks again and again until `until`."""
        reader, writer = await asyncio.open_connection(HOST, self.gateway.port)
        count = 0
        while time.monotonic() < until:
            count += 1
            op = number * 100_000 + count
            self.sent += 1
            self.record.write(f"client {number}", f"sends {op:016x}")
            try:
                writer.write(request(op, shard=op % NODES, wait_ms=USUAL_WAIT_MS, volume=1 + op % 5))
                async with asyncio.timeout(USUAL_WAIT_MS / 1000 + 1):
                    kind, value = await read_value(reader)
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
                self.unanswered.append(f"{op:016x}")
                self.record.write(f"client {number}", f"{op:016x} has no answer: {type(error).__name__}")
                return
            self.answered += 1
            self.record.write(f"client {number}", f"{op:016x} is answered {kind}{value!r:.40}")
            await asyncio.sleep(USUAL_INTERVAL_S)
        writer.close()


async def bad_client(gateway: Gateway, number: int, record: Record) -> None:
    """Sends hundreds of commands at once, and reads whatever it is sent."""
    reader, writer = await asyncio.open_connection(HOST, gateway.port)
    record.write(f"bad {number}", f"sends {COMMANDS_AT_ONCE} writes of {len(BODY)} bytes at once")

    async def read_all() -> None:
        with contextlib.suppress(ConnectionError):
            while await reader.read(65_536):
                pass

    reading = asyncio.create_task(read_all())
    try:
        for count in range(COMMANDS_AT_ONCE):
            op = (1 << 32) + number * 10_000 + count
            writer.write(
                request(
                    op,
                    lane="escritura",
                    shard=op % NODES,
                    wait_ms=3_000,
                    volume=100 + number,
                    body=BODY,
                )
            )
            await writer.drain()
        await reading
    except ConnectionError as error:
        record.write(f"bad {number}", f"its connection ended: {type(error).__name__}")
    finally:
        reading.cancel()
        writer.close()


async def case(record: Record, folder: Path) -> list[str]:
    """Plays the case and returns the breaks."""
    nodes = [Node(f"s-{shard:08x}", shard, record, serve_in_turn) for shard in range(NODES)]
    for node in nodes:
        await node.open()
    discovery = Discovery(record, nodes)
    await discovery.open()
    gateway = Gateway(record, folder, discovery, settings(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    try:
        await gateway.start()
        return await play(gateway, record)
    finally:
        await gateway.stop()


async def play(gateway: Gateway, record: Record) -> list[str]:
    """Lets the clients run, and returns the breaks."""
    platform, usual = Platform(gateway, record), Usual(gateway, record)
    watching = asyncio.create_task(platform.watch())
    until = time.monotonic() + QUIET_S + TROUBLE_S
    clients = [asyncio.create_task(usual.run(number, until)) for number in range(1, USUAL_CLIENTS + 1)]
    await asyncio.sleep(QUIET_S)
    bad = []
    if TROUBLE:
        bad = [asyncio.create_task(bad_client(gateway, number, record)) for number in range(BAD_CLIENTS)]
    await asyncio.gather(*clients, return_exceptions=True)
    for task in bad:
        task.cancel()
    await asyncio.gather(*bad, return_exceptions=True)
    watching.cancel()
    record.write("platform", f"the gateway held {platform.peak_kb / 1024:.0f} MB at most")
    if not platform.killed and gateway.process.returncode is None:
        reader, writer = await asyncio.open_connection(HOST, gateway.port)
        writer.write(encode(b"PING"))
        record.write("platform", f"PING is answered {await read_value(reader)}")
        writer.close()
    breaks = []
    if platform.killed:
        breaks.append(
            f"the gateway held {platform.peak_kb / 1024:.0f} MB, over its limit of {MEMORY_MB} MB, and was "
            f"killed; {len(usual.unanswered)} requests of usual clients had no answer then"
        )
    elif gateway.process.returncode is not None:
        breaks.append(f"the gateway ended with {gateway.process.returncode}")
    elif usual.unanswered:
        breaks.append(f"requests of usual clients had no answer: {' '.join(usual.unanswered)}")
    return breaks


if __name__ == "__main__":
    run_case(RECORD_FILE, case)
