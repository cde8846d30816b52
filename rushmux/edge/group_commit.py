"""Group commit of one handle's writes: one row change makes several writes visible.

A write first stores its data as new objects, and is complete when the rows refer to them.  Writes that arrive
while a change is running are committed together by the next one.

The outcome of a change belongs to all its writes.  If it is unknown, it is unknown for each of them until the
rows are read again, and none of them may be answered as shed.
"""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from rushmux.edge.block_io import BlockExtent, compact_block, write_blocks
from rushmux.edge.errors import (
    ContentionError,
    EdgeError,
    ObjectMissingError,
    OperationFailedError,
    OperationShedError,
    RequestRejectedError,
)
from rushmux.edge.file_system import FileSystem
from rushmux.edge.file_view import Block, FileView
from rushmux.edge.operation_runner import MAX_CONFLICTS, OperationRunner, RowChange, check_version
from rushmux.files import layout
from rushmux.files.layout import Extent
from rushmux.nodewire import messages

MAX_BATCH = 32  # writes in one commit; 1 MiB at the write size of stock clients


@dataclass(eq=False)
class StoredWrite:
    """A write whose objects are stored, from then until it is visible or has failed."""

    extents: Sequence[BlockExtent]
    end: int
    """File offset just past the write."""
    sent_over: int | None = None
    """Version of the file's row that a change with this write replaces, if its outcome is unknown."""
    finished: bool = False
    error: EdgeError | None = None
    """Why it failed; None: it did not."""

    def finish(self, error: EdgeError | None = None) -> None:
        """Notes that the write is visible, or why it failed."""
        self.finished, self.error = True, error

    def fail(self, error: EdgeError) -> None:
        """Notes that the write failed; it may be visible nevertheless if an earlier outcome is unknown."""
        self.finish(error if self.sent_over is None else OperationFailedError())


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
        self.committing: asyncio.Event | None = None  # set when the running commit ends

    async def write(self, runner: OperationRunner, offset: int, data: bytes) -> None:
        """Writes data; returns when any edge can read it."""
        extents = await write_blocks(runner, offset, data, self.view.file.block_size)
        write = StoredWrite(extents, offset + len(data))
        self.pending.append(write)
        try:
            while not write.finished:
                if self.committing is None:
                    await self._commit_pending(runner)
                else:
                    await self.committing.wait()
        except EdgeError as error:
            if not write.finished:
                write.fail(error)
        finally:
            if write in self.pending:
                self.pending.remove(write)
        if write.error is not None:
            raise write.error

    async def append(self, runner: OperationRunner, data: bytes) -> None:
        """Writes at the end of the file; concurrent appends through other edges are not lost."""
        view = self.view
        for attempt in range(MAX_CONFLICTS):
            await runner.back_off(attempt)
            await view.refresh(runner, (), self.loop.time())
            offset, version = view.file.size, view.version
            extents = await write_blocks(runner, offset, data, view.file.block_size)
            write = StoredWrite(extents, offset + len(data))
            if await self._commit(runner, [write], version):
                return
        raise ContentionError("the file")

    async def _commit_pending(self, runner: OperationRunner) -> None:
        """Commits a batch within this writer's deadline; it stays pending if only this writer fails."""
        batch, self.pending = self.pending[:MAX_BATCH], self.pending[MAX_BATCH:]
        self.committing = asyncio.Event()
        try:
            await self._commit(runner.for_others(), batch)
        except RequestRejectedError as error:  # applies to the whole batch: file removed, or contention
            for write in _unfinished(batch):
                write.fail(error)
        except BaseException:  # applies to this writer only; includes cancellation
            self.pending = _unfinished(batch) + self.pending
            raise
        else:
            for write in _unfinished(batch):
                write.finish()
        finally:
            self.committing.set()
            self.committing = None

    async def _commit(
        self, runner: OperationRunner, batch: Sequence[StoredWrite], only_version: int | None = None
    ) -> bool:
        """Makes a batch visible; returns False if the file's version is not `only_version`."""
        since = self.loop.time()
        if all(write.sent_over is None for write in batch):
            since -= self.file_system.settings.max_row_age
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
        await view.refresh(runner, _block_numbers(batch), since)
        batch = self._settle_unknown(batch)
        if not batch:
            return True
        numbers = _block_numbers(batch)
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
        rows = await self._send(runner, change, batch)
        if rows is None:
            return None
        now = self.loop.time()
        view.set_file(file, rows[0].version, now)
        for row, (number, extents) in zip(rows[1:], blocks.extents.items(), strict=False):  # garbage row last
            view.set_block(number, Block(extents, row.version, now))
        if blocks.garbage:
            self.file_system.schedule_collection(self.folder)
        return True

    async def _send(
        self, runner: OperationRunner, change: RowChange, batch: Sequence[StoredWrite]
    ) -> Sequence[messages.Row] | None:
        """Sends the change of a batch; unless it returns or is shed, its outcome is unknown."""
        earlier = [write.sent_over for write in batch]
        for write in batch:
            write.sent_over = self.view.version
        rows = None
        try:
            rows = await runner.change_rows(self.view.file_id, change)
        except OperationShedError:
            _restore_sent_over(batch, earlier)
            raise
        if rows is None:
            _restore_sent_over(batch, earlier)
        return rows

    def _settle_unknown(self, batch: Sequence[StoredWrite]) -> list[StoredWrite]:
        """Finishes writes of earlier changes by the rows just read; returns those still to be committed.

        A change that was not done yet can only be done over the version that it was sent over.  If the file
        has another version by now, the change was done, or never will be.  Without its objects in the rows, a
        write may have been visible and overwritten since: to commit it again could undo newer bytes.
        """
        unsettled = []
        for write in batch:
            if write.sent_over in (None, self.view.version):
                unsettled.append(write)
            else:
                write.finish(None if self._is_visible(write) else OperationFailedError())
        return unsettled

    def _is_visible(self, write: StoredWrite) -> bool:
        return all(
            any(extent.object_name == written.object_name for extent in self.view.blocks[number].extents)
            for number, written in write.extents
        )

    async def _block_updates(
        self, runner: OperationRunner, data_id: str, numbers: Iterable[int], batch: Sequence[StoredWrite]
    ) -> BlockUpdates | None:
        """Applies a batch to the blocks; returns None if an object was replaced meanwhile."""
        updates = BlockUpdates()
        committed_over = self.file_system.noted_version(self.view.version)
        for number in numbers:
            block = self.view.blocks[number]
            extents = block.extents
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


def _unfinished(batch: Iterable[StoredWrite]) -> list[StoredWrite]:
    return [write for write in batch if not write.finished]


def _block_numbers(batch: Iterable[StoredWrite]) -> list[int]:
    return list(dict.fromkeys(number for write in batch for number, _ in write.extents))


def _restore_sent_over(batch: Iterable[StoredWrite], earlier: Iterable[int | None]) -> None:
    """Undoes the mark of a change that was certainly not done."""
    for write, sent_over in zip(batch, earlier, strict=True):
        write.sent_over = sent_over
