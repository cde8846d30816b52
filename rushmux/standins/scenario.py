"""A scripted day: clients that store and read documents, and the events of a script.

Tasks arrive at random, whether or not earlier ones are answered.  A file's content follows from its path and
a version number, so that every byte read can be verified.
"""

import asyncio
import hashlib
import json
import random
from collections import deque
from typing import NamedTuple

from rushmux.sftp import packets as sftp
from rushmux.standins.client import Client, ConnectionClosedError, StatusError
from rushmux.standins.script import DAYS, Script

MAX_TASKS = 4_000
"""Concurrent tasks of a folder; further ones are counted as rejected."""
MAX_KNOWN_FILES = 200
"""Latest files of a folder that readers choose from."""
LEDGER_SIZE = 4_096
"""Bytes of a ledger, a file that is overwritten repeatedly."""
LEDGER_READ_PROBABILITY = 0.5
FILE_SIZES = ((0.6, 2_000, 30_000), (0.3, 30_000, 64_000), (0.1, 64_000, 300_000))
"""(share of files, smallest and largest size in bytes)"""
UNITS_PER_TASK = 6.0
"""Mean units of a task."""
MAX_SESSIONS = 6
"""Sessions of a folder with an edge."""
BUSY_REQUESTS, MAX_REQUESTS = 8, 40
"""Pending requests from which on another session is opened, and the limit."""
RECONNECT_DELAY = 0.5
"""Seconds before a session that could not be opened may be tried again."""
FINAL_WAIT_TIMEOUTS = 3
"""Request timeouts for which the end of the day waits for the last answers."""
DIGEST_BYTES, SEED_BYTES = 8, 32


class Load(NamedTuple):
    """The load of clients.

    Attributes:
        nominal_share: Rate relative to the nominal rate of each folder's plan.
        reads: Share of tasks that read a file.
        lists: Share that list the folder.
        ledgers: Share that use a ledger; the rest write a new file.
    """

    nominal_share: float = 1.0
    reads: float = 0.55
    lists: float = 0.05
    ledgers: float = 0.15


def content(path: str, number: int, size: int) -> bytes:
    """The content of a version of a file."""
    seed = hashlib.blake2b(f"{path}#{number}".encode(), digest_size=SEED_BYTES).digest()
    return (seed * (size // SEED_BYTES + 1))[:size]


def digest(data: bytes) -> str:
    """Identifies a content in recordings."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class FolderClients:
    """The clients of a folder, which share a few sessions with each edge."""

    def __init__(self, fleet, folder, edges, load, seed):
        self.fleet, self.folder, self.edges, self.load = fleet, folder, edges, load
        self.rng, self.sessions, self.files = random.Random(seed), {}, deque(maxlen=MAX_KNOWN_FILES)
        self.count, self.rate_factor, self.running, self.rejected = 0, 1.0, {}, 0
        self.ledger_versions = {}  # edge -> number of its ledger's last version

    async def run(self, until):
        """Starts tasks at random until a time."""
        loop, plan = self.fleet.loop, self.fleet.deployment.settings.plans
        rate = (
            plan[self.fleet.deployment.folders[self.folder].plan].nominal
            * self.load.nominal_share
            / UNITS_PER_TASK
        )
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(rate * self.rate_factor))
            if len(self.running) >= MAX_TASKS:
                self.rejected += 1
                continue
            self.count += 1
            task = loop.create_task(self.run_task(self.count, self.rng.choice(self.edges)))
            self.running[task] = True
            task.add_done_callback(self.running.pop)

    async def session(self, edge) -> Client:
        """Returns the least busy session with an edge, or a new one if all are busy."""
        pool = self.sessions.setdefault(edge, [])
        pool[:] = [
            task
            for task in pool
            if not task.done() or (not task.exception() and not task.result().reader_task.done())
        ]
        least_busy = min(
            pool, key=lambda task: len(task.result().pending) if task.done() else 0, default=None
        )
        busy = least_busy is None or (least_busy.done() and len(least_busy.result().pending) >= BUSY_REQUESTS)
        if busy and len(pool) < MAX_SESSIONS:
            least_busy = self.fleet.loop.create_task(self.open_session(edge))
            pool.append(least_busy)
        elif busy and len(least_busy.result().pending) >= MAX_REQUESTS:
            self.rejected += 1
            raise ConnectionClosedError("all sessions are busy")
        return await asyncio.shield(least_busy)

    async def open_session(self, edge):
        """Opens a session; a failure is delayed, so that it is not retried at once."""
        try:
            return await self.fleet.client(edge)
        except (OSError, ConnectionClosedError):
            await asyncio.sleep(RECONNECT_DELAY)
            raise

    async def run_task(self, number, edge):
        """Runs a task of a user; its failures are in the recording."""
        draw, record_fields = self.rng.random(), {"folder": self.folder}
        size = self.draw_size()
        try:
            client = await self.session(edge)
            if draw < self.load.ledgers:
                await self.use_ledger(client, edge, record_fields)
            elif draw < self.load.ledgers + self.load.lists:
                await client.list_directory(f"/{self.folder}", **record_fields)
            elif draw < self.load.ledgers + self.load.lists + self.load.reads and self.files:
                await self.read(client, self.rng.choice(self.files), record_fields)
            else:
                await self.write(client, f"/{self.folder}/{number:06}", size, record_fields)
        except (StatusError, ConnectionClosedError, OSError):
            pass

    def draw_size(self):
        """Draws the size of a new file."""
        draw = self.rng.random()
        for share, least, most in FILE_SIZES:
            if draw < share:
                return self.rng.randrange(least, most)
            draw -= share
        return FILE_SIZES[0][1]

    def record(self, kind, path, data, begun):
        """Records a read or write and its start."""
        self.fleet.record(kind, path=path, digest=digest(data), begun=begun)

    async def write(self, client, path, size, record_fields):
        """Writes a new file."""
        data, begun = content(path, 0, size), self.fleet.loop.time()
        self.record("writing", path, data, begun)
        await client.put(path, data, **record_fields)
        self.record("wrote", path, data, begun)
        self.files.append(path)

    async def read(self, client, path, record_fields):
        """Reads a whole file."""
        begun = self.fleet.loop.time()
        data = await client.get(path, **record_fields)
        self.record("got", path, data, begun)

    async def use_ledger(self, client, edge, record_fields):
        """Overwrites or reads a ledger in one request: a read must return one version."""
        path, begun = f"/{self.folder}/ledger{edge}", self.fleet.loop.time()
        if edge in self.ledger_versions and self.rng.random() < LEDGER_READ_PROBABILITY:
            handle = await client.open(path, sftp.READ, **record_fields)
            begun = self.fleet.loop.time()
            reply = await client.ask(sftp.Read, handle, 0, LEDGER_SIZE, **record_fields)
            self.record("got", path, reply.data, begun)
        else:
            number = self.ledger_versions[edge] = self.ledger_versions.get(edge, 0) + 1
            data = content(path, number, LEDGER_SIZE)
            handle = await client.open(path, sftp.WRITE | sftp.CREATE, **record_fields)
            begun = self.fleet.loop.time()
            self.record("writing", path, data, begun)
            try:
                await client.ask(sftp.Write, handle, 0, data, **record_fields)
            except (StatusError, ConnectionClosedError):
                self.record("unsure", path, data, begun)
                raise
            self.record("wrote", path, data, begun)
        await client.ask(sftp.Close, handle, **record_fields)


async def run_event(fleet, clients_of, event):
    """Executes an event of a script."""
    fleet.record("event", verb=event.verb, target=event.target, what=event.kind)
    if event.verb == "trouble":
        await fleet.inject_fault(event.target, event.kind, event.size, event.seconds)
    elif event.verb == "surge":
        clients_of[event.target].rate_factor = event.size
        await asyncio.sleep(event.seconds)
        clients_of[event.target].rate_factor = 1.0
    elif event.verb == "replace":
        await fleet.replace_node(event.target, event.kind)
    elif event.verb == "reload":
        routes = json.loads((DAYS / f"{event.kind}.json").read_text())
        numbers = sorted(fleet.edges) if event.target == "edges" else [int(event.target[4:])]
        fleet.reload(numbers, {**fleet.deployment.raw, "routes": routes})
    else:
        part = "edge" if event.target.startswith("edge") else "node"
        name = int(event.target[4:]) if part == "edge" else event.target
        if event.verb == "kill":
            getattr(fleet, f"kill_{part}")(name)
        elif part == "edge":
            await fleet.start_edge(name)
        else:
            await fleet.start_node(name, fleet.cell_of(name))


async def run_day(fleet, script: Script, load: Load, seed: int):
    """Runs a day on a started fleet; returns after the last answer."""
    loop, rng = fleet.loop, random.Random(seed)
    begun, numbers = loop.time(), sorted(fleet.edges)
    clients_of = {
        name: FolderClients(fleet, name, numbers, load, rng.getrandbits(48))
        for name in fleet.deployment.folders
    }
    fleet.record("day", begun=begun, length=script.length)
    tasks = [loop.create_task(clients.run(begun + script.length)) for clients in clients_of.values()]
    event_tasks = []
    for event in script.events:
        await asyncio.sleep(max(0, begun + event.at - loop.time()))
        event_tasks.append(loop.create_task(run_event(fleet, clients_of, event)))
    await asyncio.gather(*tasks, *event_tasks)
    deadline = loop.time() + fleet.deployment.sessions.request_timeout * FINAL_WAIT_TIMEOUTS
    while any(clients.running for clients in clients_of.values()) and loop.time() < deadline:
        await asyncio.sleep(0.1)
    fleet.record("end", turned_away=sum(clients.rejected for clients in clients_of.values()))
    for clients in clients_of.values():
        for task in (task for pool in clients.sessions.values() for task in pool):
            if task.done() and not task.exception():
                await task.result().close()
