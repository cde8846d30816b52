"""A fleet of real processes on loopback; each part is a process of `python -m rushmux`."""

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

import orjson

from rushmux import atomic_write
from rushmux.edge.node_connections import Address
from rushmux.nodewire import VERSION, FrameReader, frame, messages
from rushmux.settings.deployment import Deployment
from rushmux.standins.client import Client
from rushmux.standins.fleet_operations import FleetOperations

HOST = "127.0.0.1"
START_TIMEOUT = 30.0
"""Seconds for a process to print its port; imports are slow on a busy machine."""
STOP_TIMEOUT = 15.0
"""Seconds for a process to end after SIGTERM; longer than its clients wait for answers."""
LIST_TIMEOUT = 30.0
"""Seconds for every edge to get an endpoint list."""
POLL_INTERVAL = 0.05
READ_SIZE = 1 << 16
SEED_BITS = 48
MAX_LOG_SHOWN = 2_000
"""Characters of a log's end that an error quotes."""


class ProcessStartError(Exception):
    """A process of the fleet did not start; the text quotes the end of its log."""


class Part:
    """A process of the fleet."""

    def __init__(self, name, process, port, log, *, cell=None, start=""):
        self.name, self.process, self.port, self.log = name, process, port, log
        self.cell, self.start = cell, start

    @property
    def address(self):
        """The address at which it listens."""
        return Address(HOST, self.port)


class ProcessFleet(FleetOperations):
    """The fleet; `folder` holds data, logs and recordings (if `records` is set)."""

    def __init__(
        self,
        deployment_file,
        deployment: Deployment,
        folder: Path,
        seed: int,
        *,
        lag=1.0,
        records=False,
        scheduler="module",
        unit=0.02,
        planner=False,
    ):
        self.file, self.deployment = Path(deployment_file), deployment
        self.folder, self.lag = Path(folder), lag
        self.rng, self.records, self.scheduler, self.unit = random.Random(seed), records, scheduler, unit
        self.loop = asyncio.get_running_loop()
        self.nodes, self.edges, self.endpoint_source, self.process_count, self.rows = {}, {}, None, 0, []
        self.planner = planner  # whether a planner replaces the list source
        self.cells = 0
        self.interpreter_options = {}  # subcommand -> interpreter options
        for name in ("data", "logs", "records"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)

    def record(self, kind, **fields):
        """Records an event at the current time."""
        self.rows.append({"kind": kind, "at": self.loop.time(), **fields})

    async def start_process(self, name, *words):
        """Starts a process with a subcommand, and waits until it prints its port."""
        self.process_count += 1
        log = self.folder / "logs" / f"{self.process_count:03}-{name}.jsonl"
        rows = self.folder / "records" / f"{self.process_count:03}-{name}.jsonl"
        more = ["--records", str(rows)] if self.records else []
        with open(log, "wb") as log_file:
            # Each process ends when its standard input closes, so that none outlives a killed parent.
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.interpreter_options.get(words[0], ()),
                "-m",
                "rushmux",
                *map(str, words),
                *more,
                "--with-parent",
                "--seed",
                str(self.rng.getrandbits(SEED_BITS)),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
            )
        try:
            async with asyncio.timeout(START_TIMEOUT):
                line = await process.stdout.readline()
            announced = json.loads(line)
        except (TimeoutError, ValueError):
            await self.stop_process(Part(name, process, 0, log))
            raise ProcessStartError(f"{name} did not start: {log.read_text()[-MAX_LOG_SHOWN:]}") from None
        return Part(name, process, announced["port"], log, start=announced.get("start", ""))

    async def start(self, nodes: int, edges: int):
        """Starts all parts, with warm nodes, and waits until every edge has an endpoint list."""
        self.cells = nodes
        await (self.start_single_planner() if self.planner else self.start_list_source())
        await asyncio.gather(*(self.start_node(f"node{cell}", cell, cold=False) for cell in range(nodes)))
        await asyncio.gather(*(self.start_edge(number) for number in range(edges)))
        async with asyncio.timeout(LIST_TIMEOUT):
            while not all(b'"endpoints.updated"' in part.log.read_bytes() for part in self.edges.values()):
                await asyncio.sleep(POLL_INTERVAL)

    async def start_list_source(self):
        """Starts the list source."""
        self.endpoint_source = await self.start_process(
            "lists", "lists", "--deployment", self.file, "--cells", self.cells, "--lag", self.lag, "--obeys"
        )

    async def start_single_planner(self, port=0):
        """Starts or restarts the planner."""
        self.endpoint_source = await self.start_process(
            "planner",
            "planner",
            "--deployment",
            self.file,
            "--cells",
            self.cells,
            "--listen",
            f"{HOST}:{port}",
            "--data",
            self.folder / "data" / "planner.db",
        )

    async def start_node(self, name, cell, cold=True):
        """Starts a node; a restarted one keeps its data."""
        words = [
            "node",
            "--deployment",
            self.file,
            "--name",
            name,
            "--cell",
            cell,
            "--unit",
            self.unit,
            "--lists",
            f"{HOST}:{self.endpoint_source.port}",
            "--obeys",
            "--data",
            self.folder / "data" / f"{name}.db",
        ]
        part = await self.start_process(name, *words, *(() if cold else ("--warm",)))
        part.cell, self.nodes[name] = cell, part
        return part

    async def start_edge(self, number, port=0):
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
            f"{HOST}:{self.endpoint_source.port}",
            "--decisions",
            self.scheduler,
            "--data",
            self.folder / "data" / f"edge{number}",
        )
        self.edges[number] = part
        return part

    def reload(self, numbers, raw):
        """Replaces the deployment file and has edges reload it."""
        atomic_write.replace_file(self.file, json.dumps(raw, indent=2).encode())
        for number in numbers:
            if self.edges[number].process.returncode is None:
                self.edges[number].process.send_signal(signal.SIGHUP)

    def cell_of(self, name):
        """Returns the cell that a node stores."""
        return self.nodes[name].cell

    def kill_node(self, name):
        """Kills a node."""
        self.record("killed", node=name)
        self.nodes[name].process.kill()

    def kill_edge(self, number):
        """Kills an edge."""
        self.record("killed", edge=f"edge{number}", start=self.edges[number].start)
        self.edges[number].process.kill()

    async def inject_fault(self, target, kind, size=0.0, seconds=0.0):
        """Sends a node or the list source (`lists`) a request to start a fault."""
        part = self.endpoint_source if target == "lists" else self.nodes[target]
        reader, writer = await asyncio.open_connection(*part.address)
        hello = messages.Hello(version=VERSION, peer="script", start="0")
        writer.write(frame(messages.Message(hello=hello)))
        request = messages.Trouble(kind=kind, size=size, seconds=seconds)
        writer.write(frame(messages.Message(trouble=request)))
        frames, found = FrameReader(), []
        while kind != "resets" and not any(message.WhichOneof("body") == "obeyed" for message in found):
            data = await reader.read(READ_SIZE)
            if not data:
                break
            found = frames.feed(data)
        await writer.drain()
        writer.close()

    async def client(self, number) -> Client:
        """Opens a session with an edge."""
        return await Client(self.record).connect(*self.edges[number].address)

    async def stop_process(self, part):
        """Stops a process by SIGTERM, or by SIGKILL after a timeout."""
        if part.process.returncode is None:
            part.process.stdin.close()
            part.process.terminate()
            try:
                async with asyncio.timeout(STOP_TIMEOUT):
                    await part.process.wait()
            except TimeoutError:
                part.process.kill()
        await part.process.wait()

    async def stop(self):
        """Stops all parts, edges first so that they answer pending requests."""
        for parts in (
            self.edges.values(),
            self.nodes.values(),
            [self.endpoint_source] if self.endpoint_source else [],
        ):
            await asyncio.gather(*(self.stop_process(part) for part in parts))

    def all_records(self):
        """Returns the recorded events of clients, nodes and edges in order of time."""
        rows = list(self.rows)
        for path in sorted((self.folder / "records").glob("*.jsonl")):
            rows += read_rows(path)
        return sorted(rows, key=lambda row: row["at"])


def read_rows(path):
    """Returns the rows of a recording, without a last line that a kill truncated."""
    rows = []
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            rows.append(orjson.loads(line))
    return rows
