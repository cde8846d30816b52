"""Runs one case: a small fleet of the project's own processes on loopback, and a record of what passes.

A case calls `main` with a coroutine function that gets a `Trial` and returns whether the rule held.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

from rushmux.cli.local_fleet import write_deployment
from rushmux.cli.parameters import EXAMPLE
from rushmux.nodewire import FrameReader
from rushmux.sftp import packets as sftp
from rushmux.sftp.fields import ENCODERS
from rushmux.standins.client import Client
from rushmux.standins.processes import HOST, ProcessFleet

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes."""
TIME_LIMIT = 110.0
"""Seconds for a whole case."""
LIST_LAG = 0.5
"""Seconds until a list source announces a change."""
UNIT_TIME = 0.001
"""Core seconds of a node for one unit of work."""
SEED_BITS = 40
FSYNC = "fsync@openssh.com"
BARRIER = "barrier@rushmux"
READ_SIZE = 1 << 16


class ListTap:
    """Passes the connections of edges on to the planner, and notes the endpoint lists that it writes to them.

    Attributes:
        port: Where the edges connect.
        on_listing: Called with each list, once it is written.
    """

    def __init__(self, planner_port: int, on_listing: Callable):
        self.planner_port, self.on_listing = planner_port, on_listing
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            planner_reader, planner_writer = await asyncio.open_connection(HOST, self.planner_port)
            copies = (
                self._copy(reader, planner_writer, lambda data: None),
                self._copy(planner_reader, writer, self._observer()),
            )
            await asyncio.gather(*copies, return_exceptions=True)

    def _observer(self) -> Callable[[bytes], None]:
        frames = FrameReader()

        def observe(data: bytes) -> None:
            for message in frames.feed(data):
                if message.WhichOneof("body") == "listing":
                    self.on_listing(message.listing)

        return observe

    @staticmethod
    async def _copy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, observe: Callable[[bytes], None]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_SIZE):
                writer.write(data)
                await writer.drain()
                observe(data)
        writer.close()


class TappedFleet(ProcessFleet):
    """A fleet whose edges reach the planner through a `ListTap`.

    Attributes:
        list_tap: The tap, set before the first edge starts.
    """

    list_tap: ListTap | None = None

    async def start_edge(self, number: int, port: int = 0):
        """Starts an edge; `port` is its former port for a restart."""
        part = await self.start_process(
            f"edge{number}",
            "edge",
            "--listen",
            f"{HOST}:{port}",
            "--deployment",
            self.file,
            "--number",
            number,
            "--lists",
            f"{HOST}:{self.list_tap.port}",
            "--data",
            self.folder / "data" / f"edge{number}",
        )
        self.edges[number] = part
        return part

    async def start_single_planner(self, port: int = 0) -> None:
        """Starts or restarts the planner, and the tap at the first time."""
        await super().start_single_planner(port)
        if self.list_tap is None:
            self.list_tap = ListTap(self.endpoint_source.port, self._on_listing)
            await self.list_tap.open()

    def _on_listing(self, listing) -> None:
        self.record(
            "listed", whole=listing.whole, nodes={each.node: each.condition for each in listing.entries}
        )


class Trial:
    """One run of a case.

    Attributes:
        has_trouble: Whether the disruption takes place.
        folder: A temporary folder.
        fleet: The processes, after `start`.
    """

    def __init__(self, folder: Path, record_file: Path):
        self.has_trouble = os.environ.get("TROUBLE") != "0"
        self.folder = folder
        self.fleet: TappedFleet | None = None
        self._started_at = time.monotonic()
        self._sink = record_file.open("w")
        self.note("run", trouble=self.has_trouble)

    def now(self) -> float:
        """Returns seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def since_start(self, at: float) -> float:
        """Converts a time of the monotonic clock, which all processes share, to one of this case."""
        return at - self._started_at

    def note(self, kind: str, **fields) -> None:
        """Adds a line to the record."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._sink.write(f"{self.now():9.4f} {kind} {words}\n")
        self._sink.flush()

    async def start(
        self,
        *,
        nodes: int,
        edges: int,
        change: Callable[[dict], None] = lambda raw: None,
        unit_time: float = UNIT_TIME,
    ) -> TappedFleet:
        """Starts planner, nodes and edges; `change` adapts the example's deployment file."""
        raw = json.loads(Path(EXAMPLE).read_text())
        change(raw)
        template = self.folder / "template.json"
        template.write_text(json.dumps(raw))
        path, deployment = write_deployment(template, edges, self.folder, unit_time)
        seed = random.SystemRandom().getrandbits(SEED_BITS)
        self.fleet = TappedFleet(
            path, deployment, self.folder, seed, lag=LIST_LAG, records=True, unit=unit_time, planner=True
        )
        await self.fleet.start(nodes, edges)
        self.note("fleet", nodes=nodes, edges=edges)
        return self.fleet

    async def client(self, edge: int) -> Client:
        """Opens a session with an edge, whose requests and answers are recorded."""
        client = await self.fleet.client(edge)
        client.record = self.note
        return client

    def parts(self) -> list:
        """Returns the processes of the fleet."""
        if self.fleet is None:
            return []
        parts = [*self.fleet.edges.values(), *self.fleet.nodes.values(), self.fleet.endpoint_source]
        return [part for part in parts if part is not None]

    def signal(self, part, number: signal.Signals) -> None:
        """Sends a signal to a process of the fleet."""
        self.note("signal", process=part.name, signal=number.name)
        part.process.send_signal(number)

    async def end(self) -> None:
        """Ends all processes, and copies what the edges logged into the record."""
        for part in self.parts():
            if part.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    part.process.kill()
                await part.process.wait()
        for log in sorted((self.folder / "logs").glob("*edge*.jsonl")):
            for line in log.read_text(errors="replace").splitlines():
                self._sink.write(f"log {log.stem}: {self._without_paths(line)}\n")

    def _without_paths(self, line: str) -> str:
        for path in (self.folder, Path(sys.prefix).parent, Path(sys.base_prefix)):
            line = line.replace(f"{path}/", "")
        return line

    def close(self) -> None:
        """Ends the record."""
        self._sink.close()


def handle_field(handle: bytes) -> bytes:
    """Returns the data of an extended request about a handle."""
    return ENCODERS["raw"](handle)


def path_field(path: str) -> bytes:
    """Returns the data of an extended request about a path."""
    return ENCODERS["text"](path)


async def barrier(client: Client, folder: str) -> None:
    """Sets a barrier over a folder and waits for its success."""
    await client.ask(sftp.Extended, BARRIER, path_field(f"/{folder}"))


async def fsync(client: Client, handle: bytes) -> None:
    """Flushes a file and waits for its success."""
    await client.ask(sftp.Extended, FSYNC, handle_field(handle))


async def _run(case: Callable[[Trial], Coroutine], record_file: Path) -> int:
    held = None
    loop, this_task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, this_task.cancel)
    with tempfile.TemporaryDirectory(prefix="case-") as folder:
        trial = Trial(Path(folder), record_file)
        try:
            async with asyncio.timeout(TIME_LIMIT):
                held = await case(trial)
        except (Exception, asyncio.CancelledError) as error:  # the case could not run to its end
            trial.note("not_run", error=repr(error))
        finally:
            await trial.end()
        code = NOT_RUN if held is None else HELD if held else BROKEN
        trial.note("verdict", exit_code=code)
        trial.close()
    return code


def main(case: Callable[[Trial], Coroutine]) -> None:
    """Runs a case, prints its verdict and exits: 0 if the rule held, 1 if not, 2 if it could not run."""
    record_file = Path(sys.argv[0]).resolve().with_name("record.txt")
    code = asyncio.run(_run(case, record_file))
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
