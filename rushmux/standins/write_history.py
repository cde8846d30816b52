"""Drawn histories of writes through an edge's write-back buffer, checked against a model.

A client writes numbers that only grow to slots of a few files, flushes and sets barriers while nodes fall
silent, the disk of the log refuses records, another edge writes beside it, and the edge crashes.  At the end
each acknowledged write must be stored, or superseded, or discarded with a client told of it; and what was
discarded must not be there, unless the nodes had it already when it was discarded (a batch whose answer was
lost).
"""

import asyncio
import contextlib
import errno
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from rushmux.buffer.batch_writer import OVERWRITTEN, REMOVED
from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.flush_policy import Discard
from rushmux.buffer.writeback import LOWER_LAYER_OVERWRITTEN
from rushmux.files import layout
from rushmux.nodewire import messages
from rushmux.sftp import packets as sftp
from rushmux.standins.client import Client, ConnectionClosedError, StatusError
from rushmux.standins.fleet import VirtualFleet
from rushmux.standins.kills import retry

FOLDER = "heredia"
BUFFER = {"keep_ms": 600, "age_ms": 200, "batch_files": 2}
"""Of the deployment: what cannot be flushed is discarded soon, and a layer takes several batches."""
FILES, SLOTS, SLOT_BYTES, SLOT_DISTANCE = 4, 3, 16, 64
OTHER_SLOT = SLOTS
"""The slot that the other edge writes: nobody else does."""
STEPS = 50
EDGE, OTHER_EDGE = 0, 1
NODES = 4
MAX_SILENCE = 4.0
"""Seconds for which nodes answer nothing."""
PAUSES_PER_SECOND = 6
QUIET_TIME = 12.0
"""Seconds at the end, after all faults, until everything must be flushed."""
ACTIONS = {
    "write": 50,
    "flush": 12,
    "barrier": 6,
    "silence": 8,
    "refuse_records": 2,
    "crash": 5,
    "other_write": 4,
    "pause": 13,
}
"""Weight of each step."""
UNCONDITIONAL = (OVERWRITTEN, LOWER_LAYER_OVERWRITTEN, REMOVED)
"""Reasons for which writes are discarded whether or not the log takes the record: a start finds the same."""
LOST = "written before and lost"

Place = tuple[int, int]
"""A file's number and a slot in it."""


class Discarded(NamedTuple):
    """What the edge discarded of a file, and when."""

    at: float
    file: int
    reason: str


@dataclass
class History:
    """What was written, acknowledged, discarded and told.

    Attributes:
        issued: Numbers written to each slot, in order.
        acknowledged: Numbers whose write was answered with success.
        shed: Numbers whose write was answered as not done.
        discarded: Numbers that the edge discarded.
        stored_when_discarded: Those of them that the nodes had all the same at that moment.
        discards: Each discard of a file's writes.
        notified_at: When a client was last told of a loss, by file.
        other_writes: Whether the other edge wrote.
        records_refused: Whether the disk refused records of the log.  What the edge wrote straight to the
            nodes since then is not in the log, and looks like another's write to the next start.
    """

    issued: dict[Place, list[int]] = field(default_factory=dict)
    acknowledged: set[int] = field(default_factory=set)
    shed: set[int] = field(default_factory=set)
    discarded: set[int] = field(default_factory=set)
    stored_when_discarded: set[int] = field(default_factory=set)
    discards: list[Discarded] = field(default_factory=list)
    notified_at: dict[int, float] = field(default_factory=dict)
    other_writes: bool = False
    records_refused: bool = False

    def breaches(self, found: dict[Place, int | None]) -> list[str]:
        """What is wrong with the numbers that the slots hold at the end."""
        errors = [error for place, number in found.items() for error in self._wrong(place, number)]
        others_wrote = self.other_writes or self.records_refused
        for discard in self.discards:
            if self.notified_at.get(discard.file, -1.0) < discard.at:
                errors.append(f"file {discard.file}: nobody was told of the discard at {discard.at:.3f}")
            if discard.reason in (OVERWRITTEN, LOWER_LAYER_OVERWRITTEN) and not others_wrote:
                errors.append(f"file {discard.file}: discarded as overwritten, and nobody else wrote")
        return errors

    def _wrong(self, place: Place, number: int | None) -> list[str]:
        issued = self.issued.get(place, [])
        kept = [each for each in issued if each in self.acknowledged and each not in self.discarded]
        newest = max(kept, default=0)
        if number is None or (number and number not in issued):
            return [f"slot {place} holds {number}, never written there, or not whole"]
        if number == newest:
            return []
        if number < newest:
            return [f"slot {place} holds {number}; {newest} was acknowledged and nobody was told of a loss"]
        if number in self.shed:
            return [f"slot {place} holds {number}, which was answered as not done"]
        if number in self.discarded and number not in self.stored_when_discarded:
            return [f"slot {place} holds {number}, which was discarded"]
        return []


class Round:
    """One drawn history on a fleet of two edges.

    Args:
        fleet: The fleet, on a simulated clock.
        rng: All random draws.
    """

    def __init__(self, fleet: VirtualFleet, rng: random.Random):
        self.history = History()
        self._fleet, self._rng = fleet, rng
        self._number = 0
        self._client: Client | None = None
        self._handles: list[bytes] = []
        self._file_ids: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()
        self._with_other_writer = rng.random() < 1 / 2

    async def run(self) -> list[str]:
        """Plays the history; what is wrong at its end."""
        self._spy_on_discards()
        await self._open_files()
        for _ in range(STEPS):
            (action,) = self._rng.choices(list(ACTIONS), list(ACTIONS.values()))
            try:
                await getattr(self, f"_{action}")()
            except ConnectionClosedError:
                await self._restart()
        await self._fleet.sleep(MAX_SILENCE)
        await self._crash()
        await self._fleet.sleep(QUIET_TIME)
        await asyncio.gather(*self._tasks)
        for file in range(FILES):
            await retry(partial(self._flush_and_note, file, self._handles[file]))
        return self.history.breaches(await self._read_slots())

    # Steps.

    async def _write(self) -> None:
        place = self._rng.randrange(FILES), self._rng.randrange(SLOTS)
        self._number += 1
        number = self._number
        self.history.issued.setdefault(place, []).append(number)
        try:
            await self._client.ask(
                sftp.Write, self._handles[place[0]], place[1] * SLOT_DISTANCE, content_of(number)
            )
        except StatusError as refusal:
            if refusal.status.message.startswith("shed"):
                self.history.shed.add(number)
        else:
            self.history.acknowledged.add(number)

    async def _flush(self) -> None:
        file = self._rng.randrange(FILES)
        self._begin(self._flush_and_note(file, self._handles[file]))

    async def _flush_and_note(self, file: int, handle: bytes) -> None:
        """Flushes a file; a StatusError that tells of a loss is noted, others are raised."""
        argument = len(handle).to_bytes(4, "big") + handle
        await self._note_losses(self._client.ask(sftp.Extended, "fsync@openssh.com", argument), file)

    async def _barrier(self) -> None:
        client = await self._fleet.client(EDGE)  # its own session: later writes do not wait for the answer
        path = f"/{FOLDER}".encode()
        argument = len(path).to_bytes(4, "big") + path
        self._begin(self._note_losses(client.ask(sftp.Extended, "barrier@rushmux", argument)))
        await self._fleet.sleep(0.01)

    async def _note_losses(self, request, file: int | None = None) -> None:
        try:
            await request
        except StatusError as refusal:
            if LOST not in refusal.status.message:
                raise
            named = [number for number in range(FILES) if _path(number) in refusal.status.message]
            for number in named if file is None else [file]:
                self.history.notified_at[number] = self._fleet.loop.time()

    def _begin(self, request) -> None:
        async def run() -> None:
            with contextlib.suppress(StatusError, ConnectionClosedError):
                await request

        task = asyncio.ensure_future(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _silence(self) -> None:
        seconds = self._rng.uniform(0.2, MAX_SILENCE)
        for node in self._rng.sample(range(NODES), self._rng.choice((1, 2, NODES))):
            await self._fleet.inject_fault(f"node{node}", "silent", seconds=seconds)

    async def _refuse_records(self) -> None:
        self.history.records_refused = True
        disk = self._fleet.log_disks[EDGE]
        disk.append_errno, disk.partial_append = errno.ENOSPC, self._rng.random() < 1 / 2

    async def _crash(self) -> None:
        self._fleet.kill_edge(EDGE)
        await self._restart()

    async def _restart(self) -> None:
        await self._fleet.sleep(self._rng.expovariate(1))
        self._fleet.log_disks[EDGE].append_errno = None
        await self._fleet.edge(EDGE)
        self._spy_on_discards()
        await self._open_files()

    async def _other_write(self) -> None:
        if self._with_other_writer:
            self.history.other_writes = True
            self._begin(self._write_through_other_edge(self._rng.randrange(FILES)))

    async def _write_through_other_edge(self, file: int) -> None:
        client = await self._fleet.client(OTHER_EDGE)
        handle = await client.open(_path(file), sftp.WRITE | sftp.CREATE)
        await client.ask(sftp.Write, handle, OTHER_SLOT * SLOT_DISTANCE, b"o" * SLOT_BYTES)
        await client.ask(sftp.Close, handle)

    async def _pause(self) -> None:
        await self._fleet.sleep(self._rng.expovariate(PAUSES_PER_SECOND))

    async def _open_files(self) -> None:
        self._client = await self._fleet.client(EDGE)
        flags = sftp.READ | sftp.WRITE | sftp.CREATE
        self._handles = [await retry(partial(self._client.open, _path(file), flags)) for file in range(FILES)]

    # What the edge discards, and what the nodes have.

    def _spy_on_discards(self) -> None:
        policy = self._fleet.edges[EDGE].program.buffer.policy
        record_discards = policy.record_discards

        def noted(discards: Sequence[Discard]) -> bool:
            recorded = record_discards(discards)
            for discard in discards:
                if recorded or discard.reason in UNCONDITIONAL:
                    self._on_discard(discard)
            return recorded

        policy.record_discards = noted

    def _on_discard(self, discard: Discard) -> None:
        file = discard.file
        number = next(number for number in range(FILES) if _path(number) == file.path)
        self.history.discards.append(Discarded(self._fleet.loop.time(), number, discard.reason))
        stored = stored_slots(self._fleet, file.file_id)
        lower = buffered_slots(file, below=discard.barrier)
        for slot, newest in buffered_slots(file).items():
            left = lower.get(slot, stored.get(slot, 0))
            issued = self.history.issued.get((number, slot), [])
            lost = {each for each in issued if min(left, newest) < each <= newest and each != left}
            self.history.discarded |= lost
            self.history.stored_when_discarded |= lost & set(stored.values())

    async def _read_slots(self) -> dict[Place, int | None]:
        client, found = await self._fleet.client(OTHER_EDGE), {}
        for file in range(FILES):
            data = await retry(partial(client.get, _path(file)))
            for slot in range(SLOTS):
                start = slot * SLOT_DISTANCE
                found[file, slot] = number_of(data[start : start + SLOT_BYTES])
        return found


def buffered_slots(file: BufferedFile, below: float = math.inf) -> dict[int, int]:
    """The newest number in each slot of a file that is buffered in a layer below a barrier."""
    return {
        extent.start // SLOT_DISTANCE: number_of(extent.data)
        for barrier, layer in sorted(file.layers.items())
        if barrier < below
        for index in layer.indexes()
        for extent in index
    }


def content_of(number: int) -> bytes:
    """A slot's bytes."""
    return number.to_bytes(SLOT_BYTES, "big")


def number_of(content: bytes) -> int | None:
    """The number that a slot holds, 0 where it was never written; None where it is not whole."""
    if content and len(content) != SLOT_BYTES:
        return None
    return int.from_bytes(content, "big")


def stored_slots(fleet: VirtualFleet, file_id: str) -> dict[int, int]:
    """The number in each slot of a file as the nodes' disks have it at this moment."""
    rows = [store.row(FOLDER, layout.file_key(file_id)) for store in fleet.stores.values()]
    row = next((row for row in rows if row is not None), None)
    if row is None:
        return {}
    key = layout.block_key(layout.unpack_file(row.value).data_id, 0)
    blocks = [store.row(FOLDER, key) for store in fleet.stores.values()]
    block = next((block for block in blocks if block is not None), None)
    if block is None:
        return {}
    data = bytearray(SLOTS * SLOT_DISTANCE)
    for extent in layout.unpack_block(block.value):
        request = messages.ReadObject(
            object=extent.object_name, offset=extent.object_offset, length=extent.length
        )
        part = fleet.stores[f"node{extent.cell}"].read(request).data
        data[extent.start : extent.start + extent.length] = part
    return {
        slot: int.from_bytes(data[slot * SLOT_DISTANCE : slot * SLOT_DISTANCE + SLOT_BYTES], "big")
        for slot in range(SLOTS)
    }


def _path(file: int) -> str:
    return f"/{FOLDER}/h{file}"
