"""Runs the operations of one client request on storage nodes through the scheduler."""

import asyncio
import zlib
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeVar

from rushmux.backoff import Backoff
from rushmux.edge.driver import EdgeDriver, EdgeOperation, OperationResult
from rushmux.edge.errors import (
    ContentionError,
    ObjectCorruptedError,
    ObjectMissingError,
    OperationShedError,
)
from rushmux.files import paths
from rushmux.files.layout import KeyRange
from rushmux.nodewire import messages

MAX_CONFLICTS = 12  # attempts at one change; more would not help under such contention
CONFLICT_BACKOFF = 0.002  # seconds; a few attempts separate two edges that collide by chance
MAX_CONFLICT_BACKOFF = 0.2  # seconds; far less than any client's time limit
CONTENTION_BACKOFF = Backoff(CONFLICT_BACKOFF, MAX_CONFLICT_BACKOFF)
MIN_TIME_LEFT = 0.02  # seconds; with less left, an operation is shed instead of started
ANY_CELL = -1  # for operations that write a new object
BACKGROUND_TAG = "-"  # tag of operations that belong to no client request

FillExecute = Callable[[messages.Execute], None]
Result = TypeVar("Result")


class StoredObject(NamedTuple):
    """A new object and the cell that stores it."""

    name: str
    cell: int


@dataclass
class RowChange:
    """An atomic change of rows of one folder, applied only if all checks hold."""

    checks: list[messages.Check] = field(default_factory=list)
    puts: list[tuple[str, bytes]] = field(default_factory=list)
    """Keys and values."""
    drops: list[str] = field(default_factory=list)
    """Keys."""


def check_version(key: str, version: int) -> messages.Check:
    """Checks that a row has this version; 0: that it does not exist."""
    return messages.Check(key=key, version=version)


def check_exists(key: str) -> messages.Check:
    """Checks that a row exists, in any version."""
    return messages.Check(key=key, exists=True)


def check_empty(keys: KeyRange) -> messages.Check:
    """Checks that a key range holds no rows."""
    return messages.Check(key=keys.after, empty_below=keys.below)


class OperationRunner:
    """Runs the operations of one client request or background task in one folder.

    Attributes:
        driver: The edge's driver.
        folder: The folder that the operations are charged to.
        tag: Suffix of the operations' ids.
        deadline: The loop time by which the request must be answered.
        may_have_changed: Whether a change for the request was done, or may have been.
    """

    def __init__(self, driver: EdgeDriver, folder: str, tag: str, deadline: float):
        self.driver, self.folder, self.tag, self.deadline = driver, folder, tag, deadline
        self.roles = driver.deployment.roles
        self.may_have_changed = False

    def for_others(self) -> "OperationRunner":
        """Returns a runner of the same request whose changes are on behalf of several requests."""
        return OperationRunner(self.driver, self.folder, self.tag, self.deadline)

    async def back_off(self, attempt: int) -> None:
        """Waits a random time before a repeated attempt; attempt 0 is not delayed."""
        if attempt:
            await asyncio.sleep(self.driver.rng.random() * CONTENTION_BACKOFF.pause(attempt))

    async def read_rows(self, key: str, **fields) -> messages.Outcome:
        """Reads rows of the folder; the fields are those of `messages.Look`."""
        look = messages.Look(**fields)
        return await self._run_on_home_cell("look", key, 1.0, lambda execute: execute.look.CopyFrom(look))

    async def change_rows(self, key: str, change: RowChange) -> Sequence[messages.Row] | None:
        """Changes rows atomically if all checks hold.

        Returns:
            The rows that were put, with their new versions; None if a check failed.

        Raises:
            OperationFailedError: The change may have been made.
        """
        message = messages.Change(
            mark=self.driver.unique_name(),
            checks=change.checks,
            puts=[messages.Row(key=row, value=value) for row, value in change.puts],
            drops=change.drops,
        )
        units = self.driver.deployment.units(sum(len(value) for _, value in change.puts))
        changed_before, self.may_have_changed = self.may_have_changed, True
        try:
            outcome = await self._run_on_home_cell(
                "change", key, units, lambda execute: execute.change.CopyFrom(message)
            )
        except OperationShedError:
            self.may_have_changed = changed_before
            raise
        if outcome.code == messages.CONFLICT:
            self.may_have_changed = changed_before
            return None
        return outcome.rows

    async def read_object(self, cell: int, name: str, offset: int, length: int) -> bytes:
        """Reads bytes of an object.

        Raises:
            ObjectMissingError: The object does not exist.
            ObjectCorruptedError: The bytes differ from those written.
        """
        read = messages.ReadObject(object=name, offset=offset, length=length)
        units = self.driver.deployment.units(length)
        result = await self._run("read", name, units, cell, lambda execute: execute.read.CopyFrom(read))
        if result.outcome.code == messages.MISSING:
            raise ObjectMissingError(name)
        data = result.outcome.data
        if len(data) != length or zlib.crc32(data) != result.outcome.crc:
            raise ObjectCorruptedError(name)
        return data

    async def write_object(self, data: bytes, role: str = "write") -> StoredObject:
        """Writes a new object to a cell that the scheduler chooses.

        `role` selects the request class in the deployment's roles; `write_out` is for writes that no client
        waits for.
        """
        name = self.driver.unique_name()
        write = messages.WriteObject(object=name, data=data, crc=zlib.crc32(data))
        units = self.driver.deployment.units(len(data))
        result = await self._run(role, name, units, ANY_CELL, lambda execute: execute.write.CopyFrom(write))
        for cell in result.other_cells:
            self.driver.on_orphaned_object(self.folder, cell, name)
        return StoredObject(name, result.cell)

    async def drop_objects(self, cell: int, names: Iterable[str]) -> None:
        """Drops objects of one cell."""
        drop = messages.DropObjects(objects=names)
        await self._run("clean", "", 1.0, cell, lambda execute: execute.drop.CopyFrom(drop))

    async def _run_on_home_cell(
        self, role: str, key: str, units: float, fill: FillExecute
    ) -> messages.Outcome:
        cell_count = self.driver.endpoint_table.cell_count
        if not cell_count:  # no endpoint list was received yet
            raise OperationShedError
        cell = paths.home_cell(self.folder, cell_count)
        result = await self._run(role, f"{self.folder}/{key}", units, cell, fill)
        return result.outcome

    async def _run(self, role: str, key: str, units: float, cell: int, fill: FillExecute) -> OperationResult:
        time_left = self.deadline - self.driver.loop.time()
        if time_left < MIN_TIME_LEFT:
            raise OperationShedError
        operation = EdgeOperation(self.roles[role], self.folder, key, units, cell, fill)
        return await self.driver.execute(operation, time_left, self.tag)


async def retry_on_conflict(
    runner: OperationRunner, target: str, attempt: Callable[[], Awaitable[Result | None]]
) -> Result:
    """Repeats `attempt` while it returns None, which signals a conflict with other changes.

    Raises:
        ContentionError: Every attempt conflicted; the error names `target`, which was to be changed.
    """
    for number in range(MAX_CONFLICTS):
        await runner.back_off(number)
        result = await attempt()
        if result is not None:
            return result
    raise ContentionError(target)


async def gather_or_cancel(*calls: Awaitable) -> list[Any]:
    """Runs calls concurrently; on an error, cancels the others and raises it."""
    if len(calls) == 1:
        return [await calls[0]]  # saves a task; most reads and writes are a single operation
    tasks = [asyncio.ensure_future(call) for call in calls]
    try:
        return await asyncio.gather(*tasks)
    except BaseException:  # includes cancellation, which must not leave calls running
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        raise
