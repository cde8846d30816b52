"""Randomized histories of writes through an edge's write-back buffer, checked against a model.

Clients with a handle of each file write increasing numbers to slots of a few files and flush, and others set
barriers, while nodes stop responding, the log's disk rejects records, another edge writes to a slot of its
own in the same files, and each edge crashes.  A flush or barrier that succeeds covers every write that its
handles had acknowledged before; a barrier also those that a restart discarded and no barrier reported.  At
the end each acknowledged write must be stored, superseded, or discarded with a client notified.  A discarded
write must not be stored unless the nodes already had it at the discard (a batch whose reply was lost).
"""

import asyncio
import contextlib
import errno
import math
import random
from collections.abc import Awaitable, Sequence
from functools import partial

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
from rushmux.standins.write_history_judge import Discarded, HandleKey, History, SlotKey

FOLDER = "heredia"
BUFFER = {"keep_ms": 600, "age_ms": 200, "batch_files": 2}
"""Deployment settings: unflushable writes are discarded soon, and a layer takes several batches."""
FILES, SLOTS, SLOT_BYTES, SLOT_DISTANCE = 4, 3, 16, 64
OTHER_SLOT = SLOTS
"""The slot that only the other edge writes."""
CLIENTS = 2
"""Each has a handle of each file, through the same edge."""
OWN_BARRIER_PROBABILITY = 1 / 3
"""That a barrier is set by one of the clients, and not by one without handles."""
STEPS = 50
EDGE, OTHER_EDGE = 0, 1
NODES = 4
MAX_SILENCE = 4.0
"""Longest time without answers from nodes, in seconds."""
PAUSES_PER_SECOND = 6
QUIET_TIME = 12.0
"""Seconds after the last fault within which everything must be flushed."""
ACTIONS = {
    "write": 50,
    "flush": 12,
    "barrier": 6,
    "silence": 8,
    "refuse_records": 2,
    "crash": 5,
    "other_write": 8,
    "other_crash": 2,
    "pause": 13,
}
"""Weight of each kind of step."""
UNCONDITIONAL_REASONS = (OVERWRITTEN, LOWER_LAYER_OVERWRITTEN, REMOVED)
"""Reasons that hold even if the log rejects the record of a discard: recovery finds the same."""
LOSS_MESSAGE = "written before and lost"


class Round:
    """One randomized history on a fleet of two edges.

    Args:
        fleet: The fleet, on a simulated clock.
        rng: Source of all random draws.
    """

    def __init__(self, fleet: VirtualFleet, rng: random.Random):
        self.history = History()
        self._fleet, self._rng = fleet, rng
        self._number = 0
        self._clients: list[Client] = []
        self._handles: dict[HandleKey, bytes] = {}
        self._file_ids: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()
        self._other_writes: set[int] = set()
        """Files to which a write through the other edge is under way."""
        self._with_other_writer = rng.random() < 1 / 2

    async def run(self) -> list[str]:
        """Executes the history and returns the errors found at its end."""
        self._observe_discards()
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
        for handle in list(self._handles):
            await retry(partial(self._flush_and_record_loss, handle))
        return self.history.breaches(await self._read_slots())

    # Steps.

    async def _write(self) -> None:
        slot_key = self._rng.randrange(FILES), self._rng.randrange(SLOTS)
        handle = HandleKey(slot_key[0], self._rng.randrange(CLIENTS))
        self._number += 1
        number = self._number
        self.history.issued.setdefault(slot_key, []).append(number)
        try:
            await self._clients[handle.client].ask(
                sftp.Write, self._handles[handle], slot_key[1] * SLOT_DISTANCE, content_of(number)
            )
        except StatusError as refusal:
            if refusal.status.message.startswith("shed"):
                self.history.shed.add(number)
        else:
            self.history.acknowledged.add(number)
            self.history.writers[number] = handle

    async def _flush(self) -> None:
        handle = HandleKey(self._rng.randrange(FILES), self._rng.randrange(CLIENTS))
        self._start_task(self._flush_and_record_loss(handle))

    async def _flush_and_record_loss(self, handle: HandleKey) -> None:
        """Flushes a file; records a StatusError that reports a loss and raises any other."""
        argument = _sftp_string(self._handles[handle])
        request = self._clients[handle.client].ask(sftp.Extended, "fsync@openssh.com", argument)
        await self._record_losses(request, [handle])

    async def _barrier(self) -> None:
        if self._rng.random() < OWN_BARRIER_PROBABILITY:
            number = self._rng.randrange(CLIENTS)
            client = self._clients[number]
            handles = [handle for handle in self._handles if handle.client == number]
        else:
            client, handles = await self._fleet.client(EDGE), []
        argument = _sftp_string(f"/{FOLDER}".encode())
        request = client.ask(sftp.Extended, "barrier@rushmux", argument)
        self._start_task(self._record_barrier(request, handles))
        await self._fleet.sleep(0.01)

    async def _record_barrier(self, request: Awaitable, handles: Sequence[HandleKey]) -> None:
        """Awaits a barrier, which also has to report what a restart of the edge discarded."""
        restart_losses = set(self.history.restart_losses)
        if await self._record_losses(request, handles):
            self.history.on_barrier_loss(self._fleet.loop.time())
        else:
            self.history.on_barrier_success(restart_losses, self._fleet.loop.time())

    async def _record_losses(self, request: Awaitable, handles: Sequence[HandleKey]) -> bool:
        """Awaits a flush or barrier that covers some handles' writes; returns whether it reports a loss."""
        history = self.history
        covered = history.acknowledged_to(handles)
        try:
            await request
        except StatusError as refusal:
            if LOSS_MESSAGE not in refusal.status.message:
                raise
            named = [number for number in range(FILES) if _path(number) in refusal.status.message]
            for file in named:
                history.notified_at[file] = self._fleet.loop.time()
            for handle in handles:
                if handle.file in named:
                    history.untold.pop(handle, None)
            return True
        history.on_success(handles, covered)
        return False

    def _start_task(self, request) -> None:
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
        await self._fleet.start_edge(EDGE)
        self._observe_discards()
        await self._open_files()

    async def _other_write(self) -> None:
        file = self._rng.randrange(FILES)
        if self._with_other_writer and file not in self._other_writes:
            self._other_writes.add(file)
            self._start_task(self._write_through_other_edge(file))

    async def _write_through_other_edge(self, file: int) -> None:
        try:
            client = await self._fleet.client(OTHER_EDGE)
            handle = await client.open(_path(file), sftp.WRITE | sftp.CREATE)
            self._number += 1
            number = self._number
            self.history.issued.setdefault((file, OTHER_SLOT), []).append(number)
            await client.ask(sftp.Write, handle, OTHER_SLOT * SLOT_DISTANCE, content_of(number))
            await client.ask(sftp.Close, handle)
            self.history.acknowledged.add(number)
        finally:
            self._other_writes.remove(file)

    async def _other_crash(self) -> None:
        if self._with_other_writer:
            self._fleet.kill_edge(OTHER_EDGE)
            await self._fleet.start_edge(OTHER_EDGE)

    async def _pause(self) -> None:
        await self._fleet.sleep(self._rng.expovariate(PAUSES_PER_SECOND))

    async def _open_files(self) -> None:
        self.history.on_handles_opened()
        self._clients = [await self._fleet.client(EDGE) for _ in range(CLIENTS)]
        flags = sftp.READ | sftp.WRITE | sftp.CREATE
        self._handles = {
            HandleKey(file, number): await retry(partial(client.open, _path(file), flags))
            for number, client in enumerate(self._clients)
            for file in range(FILES)
        }

    # Discards by the edge, and the nodes' content.

    def _observe_discards(self) -> None:
        policy = self._fleet.edges[EDGE].program.buffer.policy
        record_discards = policy.record_discards

        def record_and_observe(discards: Sequence[Discard]) -> bool:
            recorded = record_discards(discards)
            for discard in discards:
                if recorded or discard.reason in UNCONDITIONAL_REASONS:
                    self._on_discard(discard)
                elif self._fleet.log_disks[EDGE].partial_append:
                    self.history.on_half_recorded(self._lost_numbers(discard), self._fleet.loop.time())
            return recorded

        policy.record_discards = record_and_observe

    def _on_discard(self, discard: Discard) -> None:
        file, lost = discard.file, self._lost_numbers(discard)
        self.history.discards.append(Discarded(self._fleet.loop.time(), _number_of(file), discard.reason))
        self.history.on_discarded(lost)
        stored = stored_slots(self._fleet, file.file_id)
        self.history.stored_when_discarded |= lost & set(stored.values())
        if file.recovered:
            self.history.restart_losses |= lost & self.history.acknowledged

    def _lost_numbers(self, discard: Discard) -> set[int]:
        """Returns the numbers that a discard takes away, before it is executed."""
        file = discard.file
        stored = stored_slots(self._fleet, file.file_id)
        lower = buffered_slots(file, below=discard.barrier)
        lost = set()
        for slot, newest in buffered_slots(file).items():
            left = lower.get(slot, stored.get(slot, 0))
            issued = self.history.issued.get((_number_of(file), slot), [])
            lost |= {each for each in issued if min(left, newest) < each <= newest and each != left}
        return lost

    async def _read_slots(self) -> dict[SlotKey, int | None]:
        client, found = await self._fleet.client(OTHER_EDGE), {}
        for file in range(FILES):
            data = await retry(partial(client.get, _path(file)))
            for slot in (*range(SLOTS), OTHER_SLOT):
                start = slot * SLOT_DISTANCE
                found[file, slot] = number_of(data[start : start + SLOT_BYTES])
        return found


def buffered_slots(file: BufferedFile, below: float = math.inf) -> dict[int, int]:
    """Returns the newest number in each slot, as buffered in layers below a barrier."""
    return {
        extent.start // SLOT_DISTANCE: number_of(extent.data)
        for barrier, layer in sorted(file.layers.items())
        if barrier < below
        for index in layer.indexes()
        for extent in index
    }


def content_of(number: int) -> bytes:
    """Returns a slot's bytes."""
    return number.to_bytes(SLOT_BYTES, "big")


def number_of(content: bytes) -> int | None:
    """Returns a slot's number: 0 if never written, None if incomplete."""
    if content and len(content) != SLOT_BYTES:
        return None
    return int.from_bytes(content, "big")


def stored_slots(fleet: VirtualFleet, file_id: str) -> dict[int, int]:
    """Returns the number in each slot of a file as stored on the nodes."""
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


def _sftp_string(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


def _number_of(file: BufferedFile) -> int:
    return next(number for number in range(FILES) if _path(number) == file.path)


def _path(file: int) -> str:
    return f"/{FOLDER}/h{file}"
