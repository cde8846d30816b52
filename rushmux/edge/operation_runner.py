"""What one request of a client asks of the nodes: each access is one operation of the module."""

import asyncio
import zlib

from rushmux.edge.driver import EdgeDriver, EdgeOperation
from rushmux.edge.errors import ObjectCorruptedError, ObjectMissingError, OperationShedError
from rushmux.files import paths
from rushmux.nodewire import messages

CONFLICTS = 12  # fresh looks of one request: more means a crowd that none gets through
APART = 0.002  # seconds: two edges that took turns by chance alone are apart after a few
MOST_APART = 0.2  # seconds: far under any client's time
LEAST = 0.02  # seconds: with less left an operation is not begun


class Errand:
    """One client request in one folder, or a piece of background work: its time and its tag."""

    def __init__(self, driver: EdgeDriver, folder: str, tag: str, until: float):
        self.driver, self.folder, self.tag, self.until = driver, folder, tag, until
        self.roles = driver.deployment.roles

    async def apart(self, attempt: int):
        """Waits a drawn time before a fresh look; the first of them waits for nothing."""
        if attempt:
            await asyncio.sleep(self.driver.rng.random() * min(MOST_APART, APART * 2**attempt))

    async def run(self, role, key, units, cell, fill):
        left = self.until - self.driver.loop.time()
        if left < LEAST:
            raise OperationShedError
        return await self.driver.execute(
            EdgeOperation(self.roles[role], self.folder, key, units, cell, fill), left, self.tag
        )

    async def names(self, role, key, units, fill):
        cells = self.driver.endpoint_table.cell_count
        if not cells:  # no list came yet
            raise OperationShedError
        answer = await self.run(role, key, units, paths.home(self.folder, cells), fill)
        return answer.outcome

    async def look(self, key: str, **fields) -> messages.Outcome:
        """Reads rows of the folder's names; fields as in nodewire's Look."""
        look = messages.Look(**fields)
        return await self.names(
            "look", f"{self.folder}/{key}", 1.0, lambda execute: execute.look.CopyFrom(look)
        )

    async def change(self, key: str, checks, puts=(), drops=()):
        """Changes rows, all or none; the rows put with their new versions, or None where a check
        does not hold.  OperationFailedError: it may have been done.
        """
        change = messages.Change(
            mark=self.driver.unique_name(),
            checks=[messages.Check(**check) for check in checks],
            puts=[messages.Row(key=row, value=value) for row, value in puts],
            drops=drops,
        )
        size = sum(len(value) for _, value in puts)
        outcome = await self.names(
            "change",
            f"{self.folder}/{key}",
            self.driver.deployment.units(size),
            lambda execute: execute.change.CopyFrom(change),
        )
        return None if outcome.code == messages.CONFLICT else outcome.rows

    async def fetch(self, cell: int, name: str, offset: int, length: int) -> bytes:
        """Bytes of an object; ObjectMissingError where it is not there, ObjectCorruptedError where they are not
        those written.
        """
        read = messages.ReadObject(object=name, offset=offset, length=length)
        answer = await self.run(
            "read",
            name,
            self.driver.deployment.units(length),
            cell,
            lambda execute: execute.read.CopyFrom(read),
        )
        if answer.outcome.code == messages.MISSING:
            raise ObjectMissingError(name)
        data = answer.outcome.data
        if len(data) != length or zlib.crc32(data) != answer.outcome.crc:
            raise ObjectCorruptedError(name)
        return data

    async def store(self, data: bytes, role="write") -> tuple[str, int]:
        """Writes a new object where the module's pick says; its name and its cell.  `role` names the
        lane: `write_out` for what nobody waits for.
        """
        name = self.driver.unique_name()
        write = messages.WriteObject(object=name, data=data, crc=zlib.crc32(data))
        answer = await self.run(
            role,
            name,
            self.driver.deployment.units(len(data)),
            -1,
            lambda execute: execute.write.CopyFrom(write),
        )
        for cell in answer.other_cells:
            self.driver.on_orphaned_object(self.folder, cell, name)
        return name, answer.cell

    async def clean(self, cell: int, names) -> None:
        """Drops objects of one cell."""
        drop = messages.DropObjects(objects=names)
        await self.run("clean", "", 1.0, cell, lambda execute: execute.drop.CopyFrom(drop))


async def together(*calls):
    """Runs calls side by side; the first fault is raised after the others were called off."""
    if len(calls) == 1:
        return [await calls[0]]  # no task of its own: most reads and writes are one operation
    tasks = [asyncio.ensure_future(call) for call in calls]
    try:
        return await asyncio.gather(*tasks)
    except BaseException:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        raise
