"""A scripted day: clients that file and read documents, and the events of a script.

Arrivals are drawn ahead of their answers and never wait for them.  Contents follow from the path
and a number, so that every byte read can be judged.
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
"""User tasks at a time; more are counted as rejected by the load itself."""
MAX_KNOWN_FILES = 200
"""Files of a folder that readers choose from."""
LEDGER_SIZE = 4_096
"""Bytes of the file that is written over and over."""
LEDGER_READ_CHANCE = 0.5
FILE_SIZES = ((0.6, 2_000, 30_000), (0.3, 30_000, 64_000), (0.1, 64_000, 300_000))
"""Share of the files, least and most bytes."""
UNITS_PER_TASK = 6.0
"""Units of a mean task, for its rate."""
MAX_SESSIONS = 6
"""Sessions of a folder with an edge."""
BUSY_REQUESTS, MAX_REQUESTS = 8, 40
"""Requests in flight in a session before another is opened, and at the most."""
RECONNECT_DELAY = 0.5
"""Seconds until a lost session is opened again."""
DRAIN_PATIENCE = 3
"""Times the clients' patience that the last answers are waited for."""
DIGEST_BYTES, SEED_BYTES = 8, 32


class Load(NamedTuple):
    """What clients ask: `part` is the share of each folder's nominal rate."""

    nominal_share: float = 1.0
    reads: float = 0.55
    lists: float = 0.05
    ledgers: float = 0.15


def content(path: str, number: int, size: int) -> bytes:
    """The bytes of a version of a file."""
    seed = hashlib.blake2b(f"{path}#{number}".encode(), digest_size=SEED_BYTES).digest()
    return (seed * (size // SEED_BYTES + 1))[:size]


def digest(data: bytes) -> str:
    """What tells contents apart in recordings."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class FolderClients:
    """The clients of one folder: a few sessions with each edge, opened anew when they end."""

    def __init__(self, fleet, folder, edges, load, seed):
        self.fleet, self.folder, self.edges, self.load = fleet, folder, edges, load
        self.rng, self.sessions, self.files = random.Random(seed), {}, deque(maxlen=MAX_KNOWN_FILES)
        self.count, self.rate_factor, self.running, self.rejected = 0, 1.0, {}, 0
        self.ledger = {}  # edge -> number of the last version written through it

    async def run(self, until):
        """Draws arrivals until a time."""
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
        """A session with the edge that has little to do; another one where all are busy."""
        pool = self.sessions.setdefault(edge, [])
        pool[:] = [
            held
            for held in pool
            if not held.done() or (not held.exception() and not held.result().reading.done())
        ]
        free = min(pool, key=lambda held: len(held.result().waiting) if held.done() else 0, default=None)
        busy = free is None or (free.done() and len(free.result().waiting) >= BUSY_REQUESTS)
        if busy and len(pool) < MAX_SESSIONS:
            free = self.fleet.loop.create_task(self.open_session(edge))
            pool.append(free)
        elif busy and len(free.result().waiting) >= MAX_REQUESTS:
            self.rejected += 1
            raise ConnectionClosedError("all sessions are busy")
        return await asyncio.shield(free)

    async def open_session(self, edge):
        """A new session; where it fails, only after a while."""
        try:
            return await self.fleet.client(edge)
        except (OSError, ConnectionClosedError):
            await asyncio.sleep(RECONNECT_DELAY)
            raise

    async def run_task(self, number, edge):
        """One thing that a user does; what did not succeed is in the recording."""
        draw, about = self.rng.random(), {"folder": self.folder}
        size = self.draw_size()
        try:
            client = await self.session(edge)
            if draw < self.load.ledgers:
                await self.write_ledger(client, edge, about)
            elif draw < self.load.ledgers + self.load.lists:
                await client.list_directory(f"/{self.folder}", **about)
            elif draw < self.load.ledgers + self.load.lists + self.load.reads and self.files:
                await self.read(client, self.rng.choice(self.files), about)
            else:
                await self.write(client, f"/{self.folder}/{number:06}", size, about)
        except (StatusError, ConnectionClosedError, OSError):
            pass

    def draw_size(self):
        """Bytes of a new file."""
        draw = self.rng.random()
        for share, least, most in FILE_SIZES:
            if draw < share:
                return self.rng.randrange(least, most)
            draw -= share
        return FILE_SIZES[0][1]

    def record(self, kind, path, data, begun):
        """Records what was read or written, and since when."""
        self.fleet.record(kind, path=path, digest=digest(data), begun=begun)

    async def write(self, client, path, size, about):
        """Writes a new file."""
        data, begun = content(path, 0, size), self.fleet.loop.time()
        self.record("writing", path, data, begun)
        await client.put(path, data, **about)
        self.record("wrote", path, data, begun)
        self.files.append(path)

    async def read(self, client, path, about):
        """Reads a whole file."""
        begun = self.fleet.loop.time()
        data = await client.get(path, **about)
        self.record("got", path, data, begun)

    async def write_ledger(self, client, edge, about):
        """One WRITE over the whole of a file, or one READ of it: each sees one version, whole."""
        path, begun = f"/{self.folder}/ledger{edge}", self.fleet.loop.time()
        if edge in self.ledger and self.rng.random() < LEDGER_READ_CHANCE:
            handle = await client.open(path, sftp.READ, **about)
            begun = self.fleet.loop.time()
            reply = await client.ask(sftp.Read, handle, 0, LEDGER_SIZE, **about)
            self.record("got", path, reply.data, begun)
        else:
            number = self.ledger[edge] = self.ledger.get(edge, 0) + 1
            data = content(path, number, LEDGER_SIZE)
            handle = await client.open(path, sftp.WRITE | sftp.CREATE, **about)
            begun = self.fleet.loop.time()
            self.record("writing", path, data, begun)
            try:
                await client.ask(sftp.Write, handle, 0, data, **about)
            except (StatusError, ConnectionClosedError):
                self.record("unsure", path, data, begun)
                raise
            self.record("wrote", path, data, begun)
        await client.ask(sftp.Close, handle, **about)


async def carry_out(fleet, clients_of, event):
    """Carries out one event of a script."""
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
    """Plays a day on a fleet that is up; returned when the last answer has come."""
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
        event_tasks.append(loop.create_task(carry_out(fleet, clients_of, event)))
    await asyncio.gather(*tasks, *event_tasks)
    ending = loop.time() + fleet.deployment.sessions.request_timeout * DRAIN_PATIENCE
    while any(clients.running for clients in clients_of.values()) and loop.time() < ending:
        await asyncio.sleep(0.1)
    fleet.record("end", turned_away=sum(clients.rejected for clients in clients_of.values()))
    for clients in clients_of.values():
        for held in (held for pool in clients.sessions.values() for held in pool):
            if held.done() and not held.exception():
                await held.result().close()
