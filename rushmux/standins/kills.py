"""Kills an edge during its write-back and checks the guarantees of flushes and barriers.

A writer fills slots of a few files with increasing numbers, flushes files and sets barriers.  After the kill
the slots are read through another edge.  Each must hold one complete number, no older than an acknowledged
flush or barrier.  If any slot holds a number from after a barrier, all must have theirs from before it.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple, TypeVar

from rushmux.sftp import packets as sftp
from rushmux.standins.client import Client, ConnectionClosedError, StatusError
from rushmux.standins.fleet_operations import FleetOperations

FILES, SLOTS = 4, 6
"""Files in a folder, and slots in a file."""
SLOT_SIZES = (700, 4_096, 30_000, 70_000)
"""Bytes of a slot: within a block and across block boundaries."""
SLOT_GAPS = (0, 0, 5_000)
BLOCK_SIZE = 262_144
FIRST_SLOT = BLOCK_SIZE - 150_000
"""Offset of the first slot: the slots lie around a block boundary."""
NUMBER_BYTES = 8
MAX_TRIES, RETRY_DELAY = 40, 0.25
"""Attempts at a request until it succeeds, and seconds between them."""
WRITE_PROBABILITY, FLUSH_PROBABILITY = 0.7, 0.15
"""Of a write and of a flush as the writer's next step; the rest are barriers."""
MAX_BATCH = 5
PAUSE_PROBABILITY, PAUSES_PER_SECOND = 0.3, 10
MIN_KILL_DELAY = 0.05
OTHER_WRITER_PROBABILITY, OTHER_WRITES = 0.5, 3
SETTLE_TIME = 1.0
EDGE, OTHER_EDGE = 0, 1

SlotKey = tuple[int, int]
"""A file's index and the index of a slot in it."""
Result = TypeVar("Result")


class Write(NamedTuple):
    """A write of a number to a slot of a file."""

    number: int
    file: int
    slot: int

    @property
    def slot_key(self) -> SlotKey:
        """The written slot's key."""
        return self.file, self.slot


class RequestStuckError(Exception):
    """A request still fails though the fleet should have recovered."""


@dataclass
class Barrier:
    """The last number written before a barrier, and the newest acknowledged in each slot."""

    last_number: int
    before: Mapping[SlotKey, int]


@dataclass
class Guarantees:
    """The writes in order, those acknowledged, and what must be found of them."""

    writes: list[Write] = field(default_factory=list)
    acknowledged: set[int] = field(default_factory=set)
    flushed: dict[SlotKey, int] = field(default_factory=dict)
    """Lowest number that each slot may hold."""
    barriers: list[Barrier] = field(default_factory=list)

    def newest_acknowledged(self, file: int | None = None) -> dict[SlotKey, int]:
        """Returns the newest acknowledged number in each slot of one file or all."""
        return {
            write.slot_key: write.number
            for write in self.writes
            if write.number in self.acknowledged and file in (None, write.file)
        }


class Extent(NamedTuple):
    """A slot's byte range in its file."""

    start: int
    size: int


def draw_slots(rng: random.Random) -> list[Extent]:
    """Draws the slots of a file: none overlap, and some cross a block boundary."""
    slots, start = [], FIRST_SLOT
    for _ in range(SLOTS):
        size = rng.choice(SLOT_SIZES)
        slots.append(Extent(start, size))
        start += size + rng.choice(SLOT_GAPS)
    return slots


def slot_content(number: int, size: int) -> bytes:
    """Returns a slot's bytes: the number, repeated."""
    return (number.to_bytes(NUMBER_BYTES, "big") * (size // NUMBER_BYTES + 1))[:size]


def slot_number(content: bytes) -> int | None:
    """Returns a slot's number: 0 if never written, None if incomplete."""
    content = bytes(content)
    whole = len(content) >= NUMBER_BYTES
    number = int.from_bytes(content[:NUMBER_BYTES], "big") if whole else 0
    return number if content == slot_content(number, len(content)) else None


class Writer:
    """Writes, flushes and sets barriers in a folder until its edge is killed.

    Attributes:
        guarantees: What it wrote and may rely on.

    Args:
        client: A session with the edge.
        folder: The folder to write in.
        slots: The slots of each file.
        rng: Source of all random draws.
        first_number: The numbers begin after this one.
    """

    def __init__(
        self,
        client: Client,
        folder: str,
        slots: Sequence[Sequence[Extent]],
        rng: random.Random,
        first_number: int,
    ):
        self.guarantees = Guarantees()
        self._client, self._folder, self._slots, self._rng = client, folder, slots, rng
        self._last_number = first_number
        self._handles: list[bytes] = []

    async def run(self) -> None:
        """Runs until the connection ends with ConnectionClosedError or OSError."""
        flags = sftp.READ | sftp.WRITE | sftp.CREATE
        for file in range(FILES):
            open_file = partial(self._client.open, f"/{self._folder}/k{file}", flags)
            self._handles.append(await retry(open_file))
        while True:
            draw = self._rng.random()
            if draw < WRITE_PROBABILITY:
                await self._write_batch()
            elif draw < WRITE_PROBABILITY + FLUSH_PROBABILITY:
                await self._flush(self._rng.randrange(FILES))
            else:
                await self._set_barrier()
            if self._rng.random() < PAUSE_PROBABILITY:
                await asyncio.sleep(self._rng.expovariate(PAUSES_PER_SECOND))

    async def _write_batch(self) -> None:
        """Writes to a few slots concurrently."""
        batch = []
        for index in self._rng.sample(range(FILES * SLOTS), self._rng.randint(1, MAX_BATCH)):
            self._last_number += 1
            batch.append(Write(self._last_number, *divmod(index, SLOTS)))
        self.guarantees.writes.extend(batch)
        await asyncio.gather(*(self._write(write) for write in batch))

    async def _write(self, write: Write) -> None:
        start, size = self._slots[write.file][write.slot]
        content = slot_content(write.number, size)
        with contextlib.suppress(StatusError):
            await self._client.ask(sftp.Write, self._handles[write.file], start, content)
            self.guarantees.acknowledged.add(write.number)

    async def _flush(self, file: int) -> None:
        covered = self.guarantees.newest_acknowledged(file)
        with contextlib.suppress(StatusError):
            await self._send_extended("fsync@openssh.com", self._handles[file])
            self.guarantees.flushed.update(covered)

    async def _set_barrier(self) -> None:
        barrier = Barrier(self._last_number, self.guarantees.newest_acknowledged())
        self.guarantees.barriers.append(barrier)
        with contextlib.suppress(StatusError):
            await self._send_extended("barrier@rushmux", f"/{self._folder}".encode())
            self.guarantees.flushed.update(barrier.before)

    async def _send_extended(self, name: str, argument: bytes) -> None:
        """Sends an extended request with a string argument."""
        await self._client.ask(sftp.Extended, name, len(argument).to_bytes(4, "big") + argument)


async def retry(request: Callable[[], Awaitable[Result]]) -> Result:
    """Returns the result of a request, retried while it fails temporarily.

    Raises:
        StatusError: The request failed permanently.
        RequestStuckError: The request failed MAX_TRIES times.
    """
    for _ in range(MAX_TRIES):
        try:
            return await request()
        except StatusError as error:
            if error.status.code != sftp.FAILURE:
                raise
            await asyncio.sleep(RETRY_DELAY)
    raise RequestStuckError(f"{request} failed {MAX_TRIES} times")


async def read_slots(
    client: Client, folder: str, slots: Sequence[Sequence[Extent]]
) -> dict[SlotKey, int | None]:
    """Returns the number in each slot; None if incomplete."""
    found: dict[SlotKey, int | None] = {}
    for file in range(FILES):
        try:
            handle = await retry(partial(client.open, f"/{folder}/k{file}", sftp.READ))
        except StatusError:  # the file does not exist
            handle = None
        for slot, extent in enumerate(slots[file]):
            found[file, slot] = 0 if handle is None else await _read_slot(client, handle, extent)
    return found


async def _read_slot(client: Client, handle: bytes, extent: Extent) -> int | None:
    try:
        return slot_number((await retry(partial(client.ask, sftp.Read, handle, *extent))).data)
    except StatusError:  # past the file's end
        return 0


def find_violations(
    guarantees: Guarantees, found: Mapping[SlotKey, int | None], written: Mapping[SlotKey, set[int]]
) -> list[str]:
    """Describes the slots that break a guarantee.

    Args:
        guarantees: The writes and their guarantees.
        found: The number in each slot.
        written: All numbers ever written to each slot.
    """
    errors = []
    for slot_key, number in found.items():
        if number is None or (number and number not in written[slot_key]):
            errors.append(f"slot {slot_key} holds {number}, which was never written there or is incomplete")
        elif number < guarantees.flushed.get(slot_key, 0):
            errors.append(f"slot {slot_key} holds {number}; {guarantees.flushed[slot_key]} was flushed")
    for barrier in guarantees.barriers:
        errors += _barrier_violations(barrier, found)
    return errors


def _barrier_violations(barrier: Barrier, found: Mapping[SlotKey, int | None]) -> list[str]:
    """Describes slots that lack a write from before a barrier though another has a later one."""
    after = [slot_key for slot_key, number in found.items() if number and number > barrier.last_number]
    if not after:
        return []
    return [
        f"slot {slot_key} holds {found[slot_key]} and {after[0]} holds {found[after[0]]}, "
        f"from after the barrier at {barrier.last_number}; {number} came before it"
        for slot_key, number in barrier.before.items()
        if found[slot_key] is not None and found[slot_key] < number
    ]


async def run_round(
    fleet: FleetOperations, folder: str, rng: random.Random, first_number: int, kill_window: float
) -> tuple[list[str], int]:
    """Runs one round on a running fleet.

    Writes through one edge, kills it, checks through another, restarts it and checks again.

    Args:
        fleet: A fleet with two edges.
        folder: The folder to write in.
        rng: Source of all random draws.
        first_number: The round's numbers begin after this one.
        kill_window: Seconds within which the edge is killed.

    Returns:
        The violations found, and the round's last number.
    """
    slots = [draw_slots(rng) for _ in range(FILES)]
    writer = Writer(await fleet.client(EDGE), folder, slots, rng, first_number)
    guarantees = await _write_until_killed(fleet, writer, rng, kill_window)
    written: dict[SlotKey, set[int]] = {(file, slot): set() for file in range(FILES) for slot in range(SLOTS)}
    for write in guarantees.writes:
        written[write.slot_key].add(write.number)
    last_number = first_number + len(guarantees.writes)
    other = await fleet.client(OTHER_EDGE)
    errors = find_violations(guarantees, await read_slots(other, folder, slots), written)
    if rng.random() < OTHER_WRITER_PROBABILITY:
        for _ in range(OTHER_WRITES):
            last_number += 1
            write = Write(last_number, rng.randrange(FILES), rng.randrange(SLOTS))
            written[write.slot_key].add(write.number)
            await _write_through_other_edge(other, folder, slots, write, guarantees)
        guarantees.barriers.clear()  # the writer's barriers do not order writes of other clients
    await _wait_for_recovery(fleet, folder, slots)
    found = await read_slots(other, folder, slots)
    errors += [f"after the return: {text}" for text in find_violations(guarantees, found, written)]
    await _remove_files(other, folder)
    await other.close()
    return errors, last_number


async def _remove_files(client: Client, folder: str) -> None:
    for file in range(FILES):
        with contextlib.suppress(StatusError):
            await retry(partial(client.ask, sftp.Remove, f"/{folder}/k{file}"))


async def _write_until_killed(
    fleet: FleetOperations, writer: Writer, rng: random.Random, kill_window: float
) -> Guarantees:
    writing = asyncio.ensure_future(writer.run())
    await asyncio.sleep(rng.uniform(MIN_KILL_DELAY, kill_window))
    fleet.kill_edge(EDGE)
    with contextlib.suppress(ConnectionClosedError, OSError):
        await writing
    return writer.guarantees


async def _write_through_other_edge(
    client: Client, folder: str, slots: Sequence[Sequence[Extent]], write: Write, guarantees: Guarantees
) -> None:
    """Writes and flushes through another edge; the first one's recovery must not undo this."""
    start, size = slots[write.file][write.slot]
    open_file = partial(client.open, f"/{folder}/k{write.file}", sftp.WRITE | sftp.CREATE)
    handle = await retry(open_file)
    with contextlib.suppress(StatusError):
        await client.ask(sftp.Write, handle, start, slot_content(write.number, size))
        await client.ask(sftp.Close, handle)
        guarantees.flushed[write.slot_key] = write.number


async def _wait_for_recovery(fleet: FleetOperations, folder: str, slots: Sequence[Sequence[Extent]]) -> None:
    """Restarts the edge and waits until the writes in its log are flushed."""
    await fleet.start_edge(EDGE)
    client = await fleet.client(EDGE)
    await read_slots(client, folder, slots)
    await client.close()
    await asyncio.sleep(SETTLE_TIME)
