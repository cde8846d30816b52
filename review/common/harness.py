"""Shared parts of the cases: a gateway started by the deploy file, and stand-ins on loopback.

The stand-ins follow the operators' protocol page.  Everything that is sent, answered and run is written to
the record of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NS_PER_MS = 1_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseCouldNotRunError(Exception):
    """The case's own conditions were not met, so it says nothing about the gateway."""


class Record:
    """The record of one run: one line for each event, with seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, who: str, what: str) -> None:
        """Writes one event."""
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {who:12} {what}\n")
        self._file.flush()


def free_port() -> int:
    """Returns a port below the ephemeral ones on which nothing listens."""
    for port in random.SystemRandom().sample(range(20_000, 32_000), 2_000):
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind((HOST, port))
            return port
    raise CaseCouldNotRunError("no free port")


def settings(**changes) -> dict:
    """Returns the settings of a small deployment, with the figures of the site limon-puerto.

    `changes` replaces whole sections or, for dictionaries, values in them.
    """
    ms = NS_PER_MS
    base = {
        "Classes": [
            {
                "Name": "lectura",
                "Aim": 400 * ms,
                "Deadline": 2_000 * ms,
                "Worth": 3,
                "Idempotency": "safe",
                "LateWorth": 0.15,
                "Stream": False,
            },
            {
                "Name": "escritura",
                "Aim": 400 * ms,
                "Deadline": 3_000 * ms,
                "Worth": 2,
                "Idempotency": "keyed",
                "Group": "zone",
                "Window": 3_000 * ms,
                "LateWorth": 0.15,
                "Stream": False,
            },
        ],
        "ClientHabits": {"MarksRetry": False},
        "Discovery": "push",
        "Extra": {
            "ChangesData": [False, True],
            "ColdUnits": 20,
            "MostUnits": 8,
            "SaysOthers": False,
            "SlotsTotal": 9,
            "SpareWorth": 0.08,
            "UnitMean": 2.16,
            "UsePeriod": 1_000 * ms,
            "WithinShare": 0.35,
        },
        "Grades": [
            {
                "CapDepth": 0.0,
                "FloorRate": 30.0,
                "Name": "prioritario",
                "NeverOver": 0.0,
                "Nominal": 60.0,
                "Parts": 3.0,
                "Tolerance": 0.0,
                "WorthFactor": 0.9,
            }
        ],
        "Kinds": ["caja-normal"],
        "Layer": 0,
        "Limits": {
            "Cancel": True,
            "ConnIdle": 15_000 * ms,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 300_000,
            "DialTimeout": 250 * ms,
            "MaxAttempts": 3,
            "MaxRetryAfter": 0,
            "MayProbe": False,
            "MostHeld": 20_000,
            "PeerMessages": False,
            "RetryAfter": False,
            "SecondCopies": False,
            "StreamsPerConn": 32,
        },
        "Localities": ["edificio-a", "edificio-b", "edificio-c"],
        "Me": 0,
        "Period": 2 * ms,
        "ReplicasOfMe": 3,
        "Report": {"Columns": ["outstanding"], "How": "answers"},
        "Rules": {
            "AskWithin": 10_000 * ms,
            "FallMultiple": 3,
            "GraceToAnswer": 8 * ms,
            "OverloadFor": 3_000 * ms,
            "StartCapacity": 0.17,
            "StopSendingWithin": 250 * ms,
            "WarmWithin": 16_000 * ms,
        },
        "Tiers": ["almacen-docs"],
        "Weights": "rough",
        "Workload": "stores",
        "Zone": "edificio-a",
    }
    for name, value in changes.items():
        if isinstance(value, dict) and isinstance(base.get(name), dict):
            base[name].update(value)
        else:
            base[name] = value
    return base


# RESP2, written independently of the project's codec.


def encode(*words: bytes) -> bytes:
    """Returns a command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def served(value: bytes) -> bytes:
    """Returns a storage node's answer to a request that it served."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$10\r\ninflight=1\r\n" % (len(value), value)


async def read_value(reader: asyncio.StreamReader) -> tuple[str, object]:
    """Returns the type byte and the value of the next RESP2 value; raises IncompleteReadError at the end."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = chr(line[0]), line[1:]
    if kind == "$":
        if int(rest) < 0:
            return kind, None
        return kind, (await reader.readexactly(int(rest) + 2))[:-2]
    if kind == "*":
        return kind, [(await read_value(reader))[1] for _ in range(int(rest))]
    return kind, rest


def request(
    number: int,
    *,
    lane: str = "lectura",
    wait_ms: int = 2_000,
    shard: int = 0,
    body: bytes | None = None,
    plan: str = "prioritario",
    volume: int = 1,
    key: int | None = None,
    piece: int | None = None,
    keyed: bool = True,
    units: int = 2,
    hosts: int = 1,
) -> bytes:
    """Returns a client's request; one with a body is a write."""
    options = f"c={lane},t={plan},d={wait_ms}"
    if body is not None and keyed:
        options += f",k={key if key is not None else number:016x}"
    options += f",volume={volume:016x},units={units},shard={shard},hosts={hosts}"
    words = [
        b"BLK.READ" if body is None else b"BLK.WRITE",
        b"%016x" % (piece if piece is not None else number + 0x1000),
        b"%016x" % number,
        options.encode(),
    ]
    return encode(*words, *([] if body is None else [body]))


class Node:
    """A storage node.

    `behave(node, words, writer)` answers one request; requests on a connection are answered in turn.

    Attributes:
        ran: Time, id and words of each request whose last byte has come.
    """

    def __init__(self, name: str, shard: int, record: Record, behave: Callable[..., Awaitable[None]]):
        self.name, self.shard, self.record, self.behave = name, shard, record, behave
        self.ran: list[tuple[float, str, list[bytes]]] = []
        self.port = free_port()
        self.zone = "edificio-a"
        self.state, self.started_ms = "up", 0
        self.server: asyncio.Server | None = None
        self.connections = 0

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                _, words = await read_value(reader)
                op_id = words[2].decode()
                self.ran.append((time.monotonic(), op_id, words))
                self.record.write(self.name, f"begins {op_id} {words[3].decode()}")
                await self.behave(self, words, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def row(self) -> dict:
        """Returns the node's entry in the list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "kind": "caja-normal",
            "cell": self.shard,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


async def serve_at_once(node: Node, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Serves a request within some milliseconds with a value that names its id."""
    await asyncio.sleep(0.005)
    writer.write(served(b"value-of-" + words[2]))
    await writer.drain()


class Discovery:
    """Discovery's agent: the list, and watches on its changes."""

    def __init__(self, record: Record, nodes: list[Node]):
        self.record, self.nodes = record, nodes
        self.version = 41
        self.changes: list[tuple[int, dict]] = []
        self.changed = asyncio.Event()
        self.port = free_port()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def tell(self, *nodes: Node) -> None:
        """Tells a change of the nodes' entries."""
        self.version += 1
        for node in nodes:
            self.changes.append((self.version, node.row()))
            self.record.write("discovery", f"tells {node.name} {node.state} started_ms={node.started_ms}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1].decode()
                body = json.dumps(await self._answer(target)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> dict:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "after" not in query:
            return {"version": self.version, "full": True, "servers": [node.row() for node in self.nodes]}
        after = int(query["after"])
        if after >= self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query.get("wait_ms", 0)) / 1000)
        newest = {row["id"]: row for version, row in self.changes if version > after}
        return {"version": self.version, "full": False, "servers": list(newest.values())}


class Gateway:
    """One gateway, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: Discovery, config_settings: dict, **limits):
        self.record = record
        self.port = free_port()
        self.name = "n0"
        self.folder = folder
        self.config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "known": {
                "version": discovery.version,
                "full": True,
                "servers": [node.row() for node in discovery.nodes],
            },
            "settings": config_settings,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts it and waits for its `+PONG`."""
        file = self.folder / "config.json"
        file.write_text(json.dumps(self.config))
        with (ROOT / "deploy" / "balancer.toml").open("rb") as deploy:
            run = tomllib.load(deploy)["run"]
        private = self.folder / f"tmp-{time.monotonic_ns()}"
        private.mkdir()
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(file),
            "TMPDIR": str(private),
        }
        log = (self.folder / "gateway.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CaseCouldNotRunError(f"the gateway ended with {self.process.returncode} at its start")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode(b"PING"))
                async with asyncio.timeout(1):
                    kind, value = await read_value(reader)
                writer.close()
                if (kind, value) == ("+", b"PONG"):
                    self.record.write("gateway", f"ready at {self.config['listen']}")
                    return
            await asyncio.sleep(0.05)
        raise CaseCouldNotRunError("the gateway was not ready within 30 s")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to it."""
        self.record.write("platform", f"sends {number.name}")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Kills it if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_text(self) -> str:
        """Returns what it logged."""
        file = self.folder / "gateway.log"
        return file.read_text(errors="replace") if file.exists() else ""


def run_case(
    record_file: Path, case: Callable[[Record, Path], Awaitable[list[str]]], limit_s: float = 100
) -> None:
    """Runs a case and ends the process with its verdict.

    `case(record, folder)` returns the breaks that it saw, as sentences.  Its events replace `record_file`.
    Whatever else ends it means that the case could not run.
    """
    try:
        record = Record(record_file)
        folder = Path(tempfile.mkdtemp(prefix="review-"))
    except OSError as error:
        print(f"could not run: {error}")
        sys.exit(NOT_RUN)
    record.write("case", f"TROUBLE={int(TROUBLE)}")

    async def limited() -> list[str]:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, folder)

    try:
        breaks = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.write("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    for text in breaks:
        record.write("verdict", text)
        print(text)
    record.write("verdict", "broken" if breaks else "held")
    print("broken" if breaks else "held")
    sys.exit(BROKEN if breaks else HELD)
