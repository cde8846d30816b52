"""Kills an edge in the middle of its write-back and checks what it had promised.

A writer keeps slots of a few files filled with numbers that only grow, flushes some files and sets
barriers.  After the kill the slots are read through another edge: each must hold one number, whole;
none may be older than a flush or a barrier that was answered; and where one shows a number from
after a barrier, all must show theirs from before it.
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
"""Files of a folder, and slots of a file."""
SLOT_SIZES = (700, 4_096, 30_000, 70_000)
"""Bytes of a slot: within a block and over the ends of one."""
SLOT_GAPS = (0, 0, 5_000)
BLOCK_SIZE = 262_144
FIRST_SLOT = BLOCK_SIZE - 150_000
"""Where the first slot lies: the slots lie around the end of a block."""
NUMBER_BYTES = 8
MAX_TRIES, RETRY_PAUSE = 40, 0.25
"""Tries of a request until it succeeds, and seconds between them."""
WRITE_CHANCE, FLUSH_CHANCE = 0.7, 0.15
"""Of a step of the writer; what is left sets a barrier."""
MAX_BATCH = 5
PAUSE_CHANCE, PAUSES_PER_SECOND = 0.3, 10
MIN_TIME_TO_KILL = 0.05
OTHER_WRITER_CHANCE, OTHER_WRITES = 0.5, 3
SETTLE_TIME = 1.0
EDGE, OTHER_EDGE = 0, 1

Place = tuple[int, int]
"""A file's number and a slot in it."""
Result = TypeVar("Result")


class Write(NamedTuple):
    """A write: its number and where it goes."""

    number: int
    file: int
    slot: int

    @property
    def place(self) -> Place:
        """Where it goes."""
        return self.file, self.slot


class RequestStuckError(Exception):
    """A fleet that serves again should have done something, and did not."""


@dataclass
class Barrier:
    """A barrier: the number of the last write before it, and the newest answered number in each slot."""

    last_number: int
    before: Mapping[Place, int]


@dataclass
class Promises:
    """What the writer knows: its writes in order, those answered, and what flushes and barriers promise."""

    writes: list[Write] = field(default_factory=list)
    answered: set[int] = field(default_factory=set)
    flushed: dict[Place, int] = field(default_factory=dict)
    """The least number that must be found in a slot."""
    barriers: list[Barrier] = field(default_factory=list)

    def newest_answered(self, file: int | None = None) -> dict[Place, int]:
        """The newest answered number in each slot of a file, or of all."""
        return {
            write.place: write.number
            for write in self.writes
            if write.number in self.answered and file in (None, write.file)
        }


class Extent(NamedTuple):
    """Where a slot lies in its file, bytes."""

    start: int
    size: int


def draw_slots(rng: random.Random) -> list[Extent]:
    """Where the slots of a file lie: none touches another, some lie over the end of a block."""
    slots, start = [], FIRST_SLOT
    for _ in range(SLOTS):
        size = rng.choice(SLOT_SIZES)
        slots.append(Extent(start, size))
        start += size + rng.choice(SLOT_GAPS)
    return slots


def slot_content(number: int, size: int) -> bytes:
    """A slot's bytes: the number over and over."""
    return (number.to_bytes(NUMBER_BYTES, "big") * (size // NUMBER_BYTES + 1))[:size]


def slot_number(content: bytes) -> int | None:
    """The number that a slot holds, 0 where it was never written; None where it is not one, whole."""
    content = bytes(content)
    whole = len(content) >= NUMBER_BYTES
    number = int.from_bytes(content[:NUMBER_BYTES], "big") if whole else 0
    return number if content == slot_content(number, len(content)) else None


class Writer:
    """Writes, flushes and sets barriers in a folder until its edge dies.

    Attributes:
        promises: What it knows.

    Args:
        client: A session with the edge.
        folder: The folder.
        slots: Where the slots of each file lie.
        rng: Its random draws.
        first_number: Its numbers begin after this one.
    """

    def __init__(
        self,
        client: Client,
        folder: str,
        slots: Sequence[Sequence[Extent]],
        rng: random.Random,
        first_number: int,
    ):
        self.promises = Promises()
        self._client, self._folder, self._slots, self._rng = client, folder, slots, rng
        self._last_number = first_number
        self._handles: list[bytes] = []

    async def run(self) -> None:
        """Works until the connection ends, with ConnectionClosedError or OSError."""
        flags = sftp.READ | sftp.WRITE | sftp.CREATE
        for file in range(FILES):
            open_file = partial(self._client.open, f"/{self._folder}/k{file}", flags)
            self._handles.append(await retry(open_file))
        while True:
            draw = self._rng.random()
            if draw < WRITE_CHANCE:
                await self._write_some()
            elif draw < WRITE_CHANCE + FLUSH_CHANCE:
                await self._flush(self._rng.randrange(FILES))
            else:
                await self._set_barrier()
            if self._rng.random() < PAUSE_CHANCE:
                await asyncio.sleep(self._rng.expovariate(PAUSES_PER_SECOND))

    async def _write_some(self) -> None:
        """Writes to a few slots at the same time."""
        batch = []
        for index in self._rng.sample(range(FILES * SLOTS), self._rng.randint(1, MAX_BATCH)):
            self._last_number += 1
            batch.append(Write(self._last_number, *divmod(index, SLOTS)))
        self.promises.writes.extend(batch)
        await asyncio.gather(*(self._write(write) for write in batch))

    async def _write(self, write: Write) -> None:
        start, size = self._slots[write.file][write.slot]
        content = slot_content(write.number, size)
        with contextlib.suppress(StatusError):
            await self._client.ask(sftp.Write, self._handles[write.file], start, content)
            self.promises.answered.add(write.number)

    async def _flush(self, file: int) -> None:
        covered = self.promises.newest_answered(file)
        with contextlib.suppress(StatusError):
            await self._extended("fsync@openssh.com", self._handles[file])
            self.promises.flushed.update(covered)

    async def _set_barrier(self) -> None:
        barrier = Barrier(self._last_number, self.promises.newest_answered())
        self.promises.barriers.append(barrier)
        with contextlib.suppress(StatusError):
            await self._extended("barrier@rushmux", f"/{self._folder}".encode())
            self.promises.flushed.update(barrier.before)

    async def _extended(self, name: str, argument: bytes) -> None:
        """An extended request with one string."""
        await self._client.ask(sftp.Extended, name, len(argument).to_bytes(4, "big") + argument)


async def retry(request: Callable[[], Awaitable[Result]]) -> Result:
    """The result of a request, retried while it fails for now.

    Raises:
        StatusError: It failed for good.
        RequestStuckError: It did not succeed in MAX_TRIES tries.
    """
    for _ in range(MAX_TRIES):
        try:
            return await request()
        except StatusError as error:
            if error.status.code != sftp.FAILURE:
                raise
            await asyncio.sleep(RETRY_PAUSE)
    raise RequestStuckError(f"{request} was refused {MAX_TRIES} times")


async def read_slots(
    client: Client, folder: str, slots: Sequence[Sequence[Extent]]
) -> dict[Place, int | None]:
    """The number in each slot; None where it is not one, whole."""
    found: dict[Place, int | None] = {}
    for file in range(FILES):
        try:
            handle = await retry(partial(client.open, f"/{folder}/k{file}", sftp.READ))
        except StatusError:  # there is no such file
            handle = None
        for slot, extent in enumerate(slots[file]):
            found[file, slot] = 0 if handle is None else await _read_slot(client, handle, extent)
    return found


async def _read_slot(client: Client, handle: bytes, extent: Extent) -> int | None:
    try:
        return slot_number((await retry(partial(client.ask, sftp.Read, handle, *extent))).data)
    except StatusError:  # past the end
        return 0


def broken_promises(
    promises: Promises, found: Mapping[Place, int | None], written: Mapping[Place, set[int]]
) -> list[str]:
    """What is wrong with what was found.

    Args:
        promises: What the writer knows.
        found: The number in each slot.
        written: All numbers that were ever written to each slot.
    """
    errors = []
    for place, number in found.items():
        if number is None or (number and number not in written[place]):
            errors.append(f"slot {place} holds {number}, never written there, or not whole")
        elif number < promises.flushed.get(place, 0):
            errors.append(f"slot {place} holds {number}; {promises.flushed[place]} was flushed")
    for barrier in promises.barriers:
        errors += _broken_barrier(barrier, found)
    return errors


def _broken_barrier(barrier: Barrier, found: Mapping[Place, int | None]) -> list[str]:
    """Slots that lack a number from before a barrier though another holds one from after it."""
    after = [place for place, number in found.items() if number and number > barrier.last_number]
    if not after:
        return []
    return [
        f"slot {place} holds {found[place]} and {after[0]} holds {found[after[0]]}, "
        f"from after the barrier at {barrier.last_number}; {number} came before it"
        for place, number in barrier.before.items()
        if found[place] is not None and found[place] < number
    ]


async def run_round(
    fleet: FleetOperations, folder: str, rng: random.Random, first_number: int, kill_window: float
) -> tuple[list[str], int]:
    """One kill on a fleet that is up.

    Writes through one edge, kills it, checks through another, has it started again and checks once more.

    Args:
        fleet: The fleet, with two edges.
        folder: The folder that is used.
        rng: All random draws.
        first_number: The round's numbers begin after this one.
        kill_window: Seconds within which the kill comes.

    Returns:
        What was wrong, and the round's last number.
    """
    slots = [draw_slots(rng) for _ in range(FILES)]
    writer = Writer(await fleet.client(EDGE), folder, slots, rng, first_number)
    promises = await _write_until_killed(fleet, writer, rng, kill_window)
    written: dict[Place, set[int]] = {(file, slot): set() for file in range(FILES) for slot in range(SLOTS)}
    for write in promises.writes:
        written[write.place].add(write.number)
    last_number = first_number + len(promises.writes)
    other = await fleet.client(OTHER_EDGE)
    errors = broken_promises(promises, await read_slots(other, folder, slots), written)
    if rng.random() < OTHER_WRITER_CHANCE:
        for _ in range(OTHER_WRITES):
            last_number += 1
            write = Write(last_number, rng.randrange(FILES), rng.randrange(SLOTS))
            written[write.place].add(write.number)
            await _write_through(other, folder, slots, write, promises)
        promises.barriers.clear()  # what others wrote has no place among this writer's barriers
    await _wait_for_recovery(fleet, folder, slots)
    found = await read_slots(other, folder, slots)
    errors += [f"after the return: {text}" for text in broken_promises(promises, found, written)]
    await _remove_files(other, folder)
    await other.close()
    return errors, last_number


async def _remove_files(client: Client, folder: str) -> None:
    for file in range(FILES):
        with contextlib.suppress(StatusError):
            await retry(partial(client.ask, sftp.Remove, f"/{folder}/k{file}"))


async def _write_until_killed(
    fleet: FleetOperations, writer: Writer, rng: random.Random, kill_window: float
) -> Promises:
    writing = asyncio.ensure_future(writer.run())
    await asyncio.sleep(rng.uniform(MIN_TIME_TO_KILL, kill_window))
    fleet.kill_edge(EDGE)
    with contextlib.suppress(ConnectionClosedError, OSError):
        await writing
    return writer.promises


async def _write_through(
    client: Client, folder: str, slots: Sequence[Sequence[Extent]], write: Write, promises: Promises
) -> None:
    """Writes and flushes through another edge: what the first one's log holds must not undo it."""
    start, size = slots[write.file][write.slot]
    open_file = partial(client.open, f"/{folder}/k{write.file}", sftp.WRITE | sftp.CREATE)
    handle = await retry(open_file)
    with contextlib.suppress(StatusError):
        await client.ask(sftp.Write, handle, start, slot_content(write.number, size))
        await client.ask(sftp.Close, handle)
        promises.flushed[write.place] = write.number


async def _wait_for_recovery(fleet: FleetOperations, folder: str, slots: Sequence[Sequence[Extent]]) -> None:
    """Starts the edge again and waits until what its log held is written out."""
    await fleet.edge(EDGE)
    client = await fleet.client(EDGE)
    await read_slots(client, folder, slots)
    await client.close()
    await asyncio.sleep(SETTLE_TIME)
