"""Group commit of one handle's writes: one row change makes several writes visible.

A write first stores its data as new objects, and is complete when the rows refer to them.  Writes that arrive
while a change is running are committed together by the next one.
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

MAX_BATCH = 32  # writes in one commit; 1 MiB at the write size of stock clients


class StoredWrite(NamedTuple):
    """A write whose objects are stored but not yet visible."""

    extents: Sequence[BlockExtent]
    end: int
    """File offset just past the write."""
    done: asyncio.Future | None
    """Set when the write is visible; None: nothing waits for it."""


@dataclass
class BlockUpdates:
    """The updates that a batch makes to the blocks it writes to."""

    checks: list[messages.Check] = field(default_factory=list)
    puts: list[tuple[str, bytes]] = field(default_factory=list)
    extents: dict[int, Sequence[Extent]] = field(default_factory=dict)
    """Block number -> its new extents."""
    garbage: list[tuple[int, str]] = field(default_factory=list)


class GroupCommit:
    """Commits the writes of one handle."""

    def __init__(self, view: FileView, file_system: FileSystem, folder: str):
        self.view, self.file_system, self.folder = view, file_system, folder
        self.loop = asyncio.get_running_loop()
        self.pending: list[StoredWrite] = []
        self.committing: asyncio.Future | None = None  # set when the running commit ends

    async def write(self, runner: OperationRunner, offset: int, data: bytes) -> None:
        """Writes data; returns when any edge can read it."""
        extents = await write_blocks(runner, offset, data, self.view.file.block_size)
        write = StoredWrite(extents, offset + len(data), self.loop.create_future())
        self.pending.append(write)
        try:
            while not write.done.done():
                if self.committing is None:
                    await self._commit_pending(runner)
                else:
                    await asyncio.wait((write.done, self.committing), return_when=asyncio.FIRST_COMPLETED)
        finally:
            if write in self.pending:
                self.pending.remove(write)
        write.done.result()

    async def append(self, runner: OperationRunner, data: bytes) -> None:
        """Writes at the end of the file; concurrent appends through other edges are not lost."""
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

    async def _commit_pending(self, runner: OperationRunner) -> None:
        """Commits a batch within this writer's deadline; it stays pending if only this writer fails."""
        batch, self.pending = self.pending[:MAX_BATCH], self.pending[MAX_BATCH:]
        self.committing = self.loop.create_future()
        try:
            await self._commit(runner, batch)
        except RequestRejectedError as error:  # applies to the whole batch: file removed, or contention
            for write in batch:
                if not write.done.done():
                    write.done.set_exception(error)
        except BaseException:  # applies to this writer only; includes cancellation
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
        """Makes a batch visible; returns False if the file's version is not `only_version`."""
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
        """Like `_commit`, but tries once; returns None if the rows have changed since they were read."""
        view = self.view
        numbers = list(dict.fromkeys(number for write in batch for number, _ in write.extents))
        await view.refresh(runner, numbers, since)
        if only_version is not None and view.version != only_version:
            return False
        # Uses the file's current row: if the file was truncated after the objects were stored, the write is
        # applied to the truncated file and does not restore older data.
        file, key = view.file, layout.file_key(view.file_id)
        change = RowChange([check_version(key, view.version)])
        blocks = await self._block_updates(runner, file.data_id, numbers, batch)
        if blocks is None:
            return None
        size = max([file.size, *(write.end for write in batch)])
        file = self.file_system.written_file(file, view.version, size)
        change.checks += blocks.checks
        change.puts = [(key, layout.pack_file(file)), *blocks.puts]
        if blocks.garbage:
            change.puts.append(self.file_system.garbage_objects_row(blocks.garbage))
        rows = await runner.change_rows(view.file_id, change)
        if rows is None:
            return None
        now = self.loop.time()
        view.set_file(file, rows[0].version, now)
        for row, (number, extents) in zip(rows[1:], blocks.extents.items(), strict=False):  # garbage row last
            view.set_block(number, Block(extents, row.version, now))
        if blocks.garbage:
            self.file_system.schedule_collection(self.folder)
        return True

    async def _block_updates(
        self, runner: OperationRunner, data_id: str, numbers: Iterable[int], batch: Sequence[StoredWrite]
    ) -> BlockUpdates | None:
        """Applies a batch to the blocks; returns None if an object was replaced meanwhile."""
        updates = BlockUpdates()
        for number in numbers:
            block = self.view.blocks[number]
            extents = block.extents
            committed_over = self.file_system.noted_version(self.view.version)
            for write in batch:
                for written in write.extents:
                    if written.number == number:
                        new = written.extent._replace(committed_over=committed_over)
                        extents = layout.overlay(extents, new)
            if len(extents) > self.file_system.settings.max_extents:
                try:
                    extents = [await compact_block(runner, extents)]
                except ObjectMissingError:  # the block has changed, so its version check would fail
                    return None
            key = layout.block_key(data_id, number)
            updates.checks.append(check_version(key, block.version))
            updates.puts.append((key, layout.pack_block(extents)))
            updates.extents[number] = extents
            updates.garbage += layout.unreferenced(block.extents, extents)
        return updates
