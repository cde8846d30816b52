"""Kills an edge in the middle of its write-back and checks what it had promised.

A writer keeps slots of a few files filled with numbers that only grow, flushes some files and sets
barriers.  After the kill the slots are read through another edge: each must hold one number, whole;
none may be older than a flush or a barrier that was answered; and where one shows a number from
after a barrier, all must show theirs from before it.
"""

import asyncio
from functools import partial
from typing import NamedTuple

from rushmux.sftp import packets as sftp
from rushmux.standins.client import Gone, Refusal

FILES, SLOTS = 4, 6  # files of a folder, and slots of a file
SIZES = (700, 4_096, 30_000, 70_000)  # bytes of a slot: within a block and over the ends of one
BLOCK = 262_144  # bytes of an object: the slots lie around its ends
TRIES, AGAIN = 40, 0.25  # looks at a slot until it can be read, and seconds between them


class Written(NamedTuple):
    """A write: its number, file and slot, and whether it was answered."""

    number: int
    file: int
    slot: int


class Stuck(Exception):
    """A fleet that serves again should do a thing, and did not."""


class Told(NamedTuple):
    """What the writer knows: its writes in order, those answered, what each flush covered, and the
    barriers: the number of the last write before, and whether it was answered.
    """

    writes: list
    answered: set
    flushed: dict  # (file, slot) -> least number that must be found
    barriers: list


class Slots:
    """Where the slots of a file lie: none touches another, some lie over the end of a block."""

    def __init__(self, chance):
        self.places, at = [], BLOCK - 150_000
        for _ in range(SLOTS):
            size = chance.choice(SIZES)
            self.places.append((at, size))
            at += size + chance.choice((0, 0, 5_000))


def fill(number, size):
    """A slot's bytes: the number over and over."""
    return (number.to_bytes(8, "big") * (size // 8 + 1))[:size]


def value(data):
    """The number that a slot holds, 0 where it was never written; None where it is not one, whole."""
    data = bytes(data)
    number = int.from_bytes(data[:8], "big") if len(data) >= 8 else 0
    return number if data == fill(number, len(data)) else None


async def write(client, folder, slots, chance, told, first):
    """Writes, flushes and sets barriers until the edge dies."""
    handles = [
        await tried(partial(client.open, f"/{folder}/k{file}", sftp.READ | sftp.WRITE | sftp.CREATE))
        for file in range(FILES)
    ]
    count = first

    async def one(number, file, slot):
        start, size = slots[file].places[slot]
        try:
            await client.ask(sftp.Write, handles[file], start, fill(number, size))
            told.answered.add(number)
        except Refusal:
            pass

    while True:
        draw = chance.random()
        if draw < 0.7:
            batch = []
            for place in chance.sample(range(FILES * SLOTS), chance.randint(1, 5)):
                count += 1
                batch.append(Written(count, *divmod(place, SLOTS)))
            told.writes.extend(batch)
            await asyncio.gather(*(one(*written) for written in batch))
        elif draw < 0.85:
            file = chance.randrange(FILES)
            covered = newest(told, file)
            try:
                handle = handles[file]
                await client.ask(sftp.Extended, "fsync@openssh.com", len(handle).to_bytes(4, "big") + handle)
                told.flushed.update(covered)
            except Refusal:
                pass
        else:
            barrier = [count, False, newest(told)]
            told.barriers.append(barrier)
            name = f"/{folder}".encode()
            try:
                await client.ask(sftp.Extended, "barrier@rushmux", len(name).to_bytes(4, "big") + name)
                barrier[1] = True
                told.flushed.update(barrier[2])
            except Refusal:
                pass
        if chance.random() < 0.3:
            await asyncio.sleep(chance.expovariate(10))


async def tried(call):
    """What a call gives, tried again while it is refused for now."""
    for _ in range(TRIES):
        try:
            return await call()
        except Refusal as refusal:
            if refusal.status.code != sftp.FAILURE:
                raise
            await asyncio.sleep(AGAIN)
    raise Stuck(f"{call} was refused {TRIES} times")


def newest(told, file=None):
    """(file, slot) -> number of the newest answered write."""
    found = {}
    for written in told.writes:
        if written.number in told.answered and file in (None, written.file):
            found[written.file, written.slot] = written.number
    return found


async def read(client, folder, slots):
    """The number in each slot, and the size of what could not be read as one."""
    found = {}
    for file in range(FILES):
        try:
            handle = await tried(partial(client.open, f"/{folder}/k{file}", sftp.READ))
        except Refusal:  # there is no such file
            handle = None
        for slot, (start, size) in enumerate(slots[file].places):
            found[file, slot] = 0 if handle is None else await read_slot(client, handle, start, size)
    return found


async def read_slot(client, handle, start, size):
    try:
        return value((await tried(partial(client.ask, sftp.Read, handle, start, size))).data)
    except Refusal:  # past the end
        return 0


def judge(told, found, numbers):
    """What is wrong with what was found, in words."""
    wrong = []
    for place, number in found.items():
        if number is None or (number and number not in numbers[place]):
            wrong.append(f"slot {place} holds {number}, never written there, or not whole")
        elif number < told.flushed.get(place, 0):
            wrong.append(f"slot {place} holds {number}; {told.flushed[place]} was flushed")
    for last, _, before in told.barriers:
        after = [place for place, number in found.items() if number and number > last]
        if after:
            wrong += [
                f"slot {place} holds {found[place]} and {after[0]} holds {found[after[0]]}, "
                f"from after the barrier at {last}; {number} came before it"
                for place, number in before.items()
                if found[place] is not None and found[place] < number
            ]
    return wrong


async def round_of(fleet, folder, chance, first, span):
    """One kill on a fleet that is up: writes through edge 0, kills it within `span` seconds, checks
    through edge 1, has it started again and checks once more.  What was wrong, and the next number.
    """
    slots = [Slots(chance) for _ in range(FILES)]
    told = Told([], set(), {}, [])
    client = await fleet.client(0)
    writer = asyncio.ensure_future(write(client, folder, slots, chance, told, first))
    await asyncio.sleep(chance.uniform(0.05, span))
    fleet.kill_edge(0)
    try:
        await writer
    except (Gone, OSError):
        pass
    numbers = {(file, slot): set() for file in range(FILES) for slot in range(SLOTS)}
    for written in told.writes:
        numbers[written.file, written.slot].add(written.number)
    count = first + len(told.writes)
    other = await fleet.client(1)
    wrong = judge(told, await read(other, folder, slots), numbers)
    # Others may write while it is down; what they flushed must not be undone by what its log holds.
    if chance.random() < 0.5:
        for file, slot in ((chance.randrange(FILES), chance.randrange(SLOTS)) for _ in range(3)):
            count += 1
            start, size = slots[file].places[slot]
            handle = await tried(partial(other.open, f"/{folder}/k{file}", sftp.WRITE | sftp.CREATE))
            try:
                await other.ask(sftp.Write, handle, start, fill(count, size))
                numbers[file, slot].add(count)
                await other.ask(sftp.Close, handle)
                told.flushed[file, slot] = count
            except Refusal:
                numbers[file, slot].add(count)
        told.barriers.clear()  # what others wrote has no place among this writer's barriers
    await fleet.edge(0)
    again = await fleet.client(0)
    await read(again, folder, slots)  # waits until its log is written out
    await again.close()
    await asyncio.sleep(1.0)
    wrong += [f"after the return: {text}" for text in judge(told, await read(other, folder, slots), numbers)]
    for file in range(FILES):
        try:
            await tried(partial(other.ask, sftp.Remove, f"/{folder}/k{file}"))
        except Refusal:
            pass
    await other.close()
    return wrong, count
