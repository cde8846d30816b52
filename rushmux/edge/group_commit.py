"""Writes of one handle to the nodes: new objects first, then one change that makes several writes visible.

A write is done when its bytes lie on a node and the rows that name them are changed; writes that come while a
change runs go into the next one together.
"""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from rushmux.edge.block_io import BlockExtent, compact_block, write_blocks
from rushmux.edge.errors import ContentionError, ObjectMissingError, RequestRejectedError
from rushmux.edge.file_system import FileSystem
from rushmux.edge.file_view import Block, FileView
from rushmux.edge.operation_runner import MAX_CONFLICTS, OperationRunner, RowChange, check_version
from rushmux.files import layout
from rushmux.files.layout import Extent
from rushmux.nodewire import messages

MAX_BATCH = 32  # writes made visible by one change: a megabyte of a stock client's


class StoredWrite(NamedTuple):
    """A write whose objects are stored and whose rows are not changed yet."""

    extents: Sequence[BlockExtent]
    end: int
    """The first byte of the file past it."""
    done: asyncio.Future | None
    """Set when it is visible; None: nobody waits on it."""


@dataclass
class BlockUpdates:
    """What a change makes of the blocks that a batch writes to."""

    checks: list[messages.Check] = field(default_factory=list)
    puts: list[tuple[str, bytes]] = field(default_factory=list)
    extents: dict[int, Sequence[Extent]] = field(default_factory=dict)
    """Block number -> its extents afterwards."""
    garbage: list[tuple[int, str]] = field(default_factory=list)


class GroupCommit:
    """The writes of one handle."""

    def __init__(self, view: FileView, file_system: FileSystem, folder: str):
        self.view, self.file_system, self.folder = view, file_system, folder
        self.loop = asyncio.get_running_loop()
        self.pending: list[StoredWrite] = []
        self.committing: asyncio.Future | None = None  # set when the change that runs has ended

    async def write(self, runner: OperationRunner, offset: int, data: bytes) -> None:
        """Writes bytes; returns when any edge can read them."""
        extents = await write_blocks(runner, offset, data, self.view.file.block_size)
        write = StoredWrite(extents, offset + len(data), self.loop.create_future())
        self.pending.append(write)
        try:
            while not write.done.done():
                if self.committing is None:
                    await self._lead(runner)
                else:
                    await asyncio.wait((write.done, self.committing), return_when=asyncio.FIRST_COMPLETED)
        finally:
            if write in self.pending:
                self.pending.remove(write)
        write.done.result()

    async def append(self, runner: OperationRunner, data: bytes) -> None:
        """Writes at the end, wherever that is by then: two edges that append lose nothing."""
        view = self.view
        for attempt in range(MAX_CONFLICTS):
            await runner.back_off(attempt)
            await view.refresh(runner, (), self.loop.time())
            offset, version = view.file.size, view.version
            extents = await write_blocks(runner, offset, data, view.file.block_size)
            write = StoredWrite(extents, offset + len(data), None)
            if await self._commit(runner, [write], version):
                return
        raise ContentionError("the file")

    async def _lead(self, runner: OperationRunner) -> None:
        """Commits what is pending, with this writer's time; the others' writes go on if it fails."""
        batch, self.pending = self.pending[:MAX_BATCH], self.pending[MAX_BATCH:]
        self.committing = self.loop.create_future()
        try:
            await self._commit(runner, batch)
        except RequestRejectedError as error:  # holds for all: the file is gone, or contended
            for write in batch:
                if not write.done.done():
                    write.done.set_exception(error)
        except BaseException:  # this writer's own end, a cancellation too
            self.pending = batch + self.pending
            raise
        else:
            for write in batch:
                if not write.done.done():
                    write.done.set_result(None)
        finally:
            self.committing.set_result(None)
            self.committing = None

    async def _commit(
        self, runner: OperationRunner, batch: Sequence[StoredWrite], only_version: int | None = None
    ) -> bool:
        """Changes the rows that make a batch visible; False: the file is not of `only_version`."""
        since = self.loop.time() - self.file_system.settings.max_row_age
        for attempt in range(MAX_CONFLICTS):
            await runner.back_off(attempt)
            committed = await self._try_commit(runner, batch, since, only_version)
            if committed is not None:
                return committed
            since = self.loop.time()
        raise ContentionError("the file")

    async def _try_commit(
        self,
        runner: OperationRunner,
        batch: Sequence[StoredWrite],
        since: float,
        only_version: int | None,
    ) -> bool | None:
        """As `_commit`, once; None: others changed the rows since they were read."""
        view = self.view
        numbers = list(dict.fromkeys(number for write in batch for number, _ in write.extents))
        await view.refresh(runner, numbers, since)
        if only_version is not None and view.version != only_version:
            return False
        # A file emptied after these bytes were stored must not get them back by accident; the write is newer
        # than what the client saw, so it goes into the file as it is now.
        file, key = view.file, layout.file_key(view.file_id)
        change = RowChange([check_version(key, view.version)])
        blocks = await self._block_updates(runner, file.data_id, numbers, batch)
        if blocks is None:
            return None
        size = max([file.size, *(write.end for write in batch)])
        # Without a stamp: an edge that recovers older buffered writes must not take this for its own batch.
        file = file._replace(size=size, mtime=self.file_system.wall_clock(), batch_stamp="")
        change.checks += blocks.checks
        change.puts = [(key, layout.pack_file(file)), *blocks.puts]
        if blocks.garbage:
            change.puts.append(self.file_system.garbage_objects_row(blocks.garbage))
        rows = await runner.change_rows(view.file_id, change)
        if rows is None:
            return None
        now = self.loop.time()
        view.set_file(file, rows[0].version, now)
        for row, (number, extents) in zip(rows[1:], blocks.extents.items(), strict=False):  # garbage last
            view.set_block(number, Block(extents, row.version, now))
        if blocks.garbage:
            self.file_system.schedule_collection(self.folder)
        return True

    async def _block_updates(
        self, runner: OperationRunner, data_id: str, numbers: Iterable[int], batch: Sequence[StoredWrite]
    ) -> BlockUpdates | None:
        """The blocks with a batch over them; None: an object was replaced meanwhile."""
        updates = BlockUpdates()
        for number in numbers:
            block = self.view.blocks[number]
            extents = block.extents
            for write in batch:
                for written in write.extents:
                    if written.number == number:
                        extents = layout.overlay(extents, written.extent)
            if len(extents) > self.file_system.settings.max_extents:
                try:
                    extents = [await compact_block(runner, extents)]
                except ObjectMissingError:  # this version's check would not hold
                    return None
            key = layout.block_key(data_id, number)
            updates.checks.append(check_version(key, block.version))
            updates.puts.append((key, layout.pack_block(extents)))
            updates.extents[number] = extents
            updates.garbage += layout.unreferenced(block.extents, extents)
        return updates
