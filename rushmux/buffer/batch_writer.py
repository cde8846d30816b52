"""Writes a batch to the nodes: stores its bytes as new objects, then commits one change of rows.

The change covers all files of the batch, so that they become visible together, and checks the versions of
their rows.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from rushmux.buffer.batch_change import BatchChange
from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.extents import BufferedExtent
from rushmux.buffer.flush_policy import Batch
from rushmux.buffer.overwritten_runs import judge_runs
from rushmux.buffer.row_cache import NO_BLOCK, BlockRow, FileRows, RowCache, StoredRun
from rushmux.buffer.write_ahead_log import WriteAheadLog
from rushmux.edge.block_io import compact_block
from rushmux.edge.driver import EdgeDriver
from rushmux.edge.errors import ContentionError, ObjectMissingError
from rushmux.edge.file_system import FileSystem
from rushmux.edge.operation_runner import (
    MAX_CONFLICTS,
    OperationRunner,
    gather_or_cancel,
)
from rushmux.files import layout
from rushmux.files.layout import Extent
from rushmux.nodewire import messages

MAX_PARALLEL_STORES = 6  # objects of a batch; below the ten attempts that a node may have in flight
MAX_KEYS_PER_READ = 400  # keeps the reply far below the largest frame
OPERATION_KEY = "buffer"  # ordering key of the row operations
REQUESTED_ROLE = "write"
BACKGROUND_ROLE = "write_out"
REMOVED = "the file was removed"
OVERWRITTEN = "others wrote to the file while this edge was down"


@dataclass
class Counters:
    """Counters of a write-back buffer since its start, for benchmarks."""

    writes: int = 0
    bytes: int = 0
    objects: int = 0
    object_bytes: int = 0
    commits: int = 0
    bypassed: int = 0


@dataclass
class CommitOutcome:
    """The writes of a batch that were left out of its commit.

    Attributes:
        skipped: The files of which nothing was committed, and the reasons.
        partly_discarded: Those of which only a part was committed, and the reasons.
        overwritten: Those of which other edges have overwritten something since.
        lost_runs: Stored bytes that no row will refer to.
    """

    skipped: dict[BufferedFile, str] = field(default_factory=dict)
    partly_discarded: dict[BufferedFile, str] = field(default_factory=dict)
    overwritten: list[BufferedFile] = field(default_factory=list)
    lost_runs: list[StoredRun] = field(default_factory=list)


class Run(NamedTuple):
    """Adjacent bytes within a block of a file, which are stored as one object."""

    file: BufferedFile
    block: int
    start: int  # offset in the block
    extents: list[BufferedExtent]


class BatchWriter:
    """Writes the batches of an edge.

    Args:
        driver: The edge's driver.
        file_system: State that the edge's requests share.
        row_cache: The last known rows.
        wal: The log, to which each change is written before it is sent.
        counters: The counters to update.
    """

    def __init__(
        self,
        driver: EdgeDriver,
        file_system: FileSystem,
        row_cache: RowCache,
        wal: WriteAheadLog,
        counters: Counters,
    ):
        self.driver = driver
        self.file_system = file_system
        self.row_cache = row_cache
        self.wal = wal
        self.counters = counters

    async def write(self, runner: OperationRunner, batch: Batch) -> CommitOutcome:
        """Makes a batch readable through any edge.

        Raises:
            ContentionError: Other edges changed the files at each attempt.
            OperationShedError, OperationFailedError, ObjectMissingError: An operation failed.
        """
        return await self._commit(runner, batch, await self._store(runner, batch))

    async def _store(self, runner: OperationRunner, batch: Batch) -> dict[BufferedFile, list[StoredRun]]:
        """Stores each run of a batch as one object."""
        semaphore = asyncio.Semaphore(MAX_PARALLEL_STORES)
        role = REQUESTED_ROLE if batch.is_requested else BACKGROUND_ROLE
        runs = self._runs(batch)
        stored = await gather_or_cancel(*(self._store_run(runner, run, role, semaphore) for run in runs))
        stored_runs = {part.file: [] for part in batch.parts}
        for run, extent in zip(runs, stored, strict=True):
            sequences = frozenset(extent.sequence for extent in run.extents)
            stored_runs[run.file].append(StoredRun(run.block, extent, sequences))
        return stored_runs

    def _runs(self, batch: Batch) -> list[Run]:
        block_size = self.file_system.settings.object_bytes
        return [
            Run(part.file, *divmod(extents[0].start, block_size), extents)
            for part in batch.parts
            for extents in part.index.runs(block_size)
        ]

    async def _store_run(
        self, runner: OperationRunner, run: Run, role: str, semaphore: asyncio.Semaphore
    ) -> Extent:
        data = b"".join(extent.data for extent in run.extents)
        async with semaphore:
            stored = await runner.write_object(data, role)
        self.counters.objects += 1
        self.counters.object_bytes += len(data)
        return Extent(run.start, len(data), stored.name, stored.cell, 0)

    async def _commit(
        self, runner: OperationRunner, batch: Batch, stored: dict[BufferedFile, list[StoredRun]]
    ) -> CommitOutcome:
        """Changes the rows of the batch's files; retries with fresh rows if others changed them."""
        for attempt in range(MAX_CONFLICTS):
            await runner.back_off(attempt)
            outcome, runs = CommitOutcome(), dict(stored)
            files = self.row_cache.expected_rows(runs) if attempt == 0 else None
            if files is None:
                files = await self._read_rows(runner, runs)
                self._leave_out_removed(files, runs, outcome)
                self._leave_out_overwritten(files, runs, outcome)
            if not files:
                self._drop_lost_runs(runner, outcome)
                return outcome
            try:
                blocks = await self._new_blocks(runner, files, runs)
            except ObjectMissingError:  # another edge replaced an object: read the rows again
                continue
            stamp = self.driver.unique_name()  # after the batch's objects: recovery relies on the order
            change = self._row_change(files, runs, blocks, stamp)
            self._log_intent(batch, files, stamp)
            done = await runner.change_rows(OPERATION_KEY, change)
            if done is None:
                continue
            self._on_committed(runner, change, done)
            self._drop_lost_runs(runner, outcome)
            return outcome
        raise ContentionError("the files")

    def _on_committed(
        self, runner: OperationRunner, change: BatchChange, done: Sequence[messages.Row]
    ) -> None:
        self.counters.commits += 1
        if change.garbage:
            self.file_system.schedule_collection(runner.folder)
        for file, rows in change.committed_files(done).items():
            file.version = rows.version
            file.bases.raise_to(rows.version)
            file.stamps.clear()
            self.row_cache.remember(file, rows)

    async def _read_rows(
        self, runner: OperationRunner, runs: dict[BufferedFile, list[StoredRun]]
    ) -> dict[BufferedFile, FileRows]:
        """Reads the rows to change, of the files that exist."""
        rows = await self._read_keys(runner, [layout.file_key(file.file_id) for file in runs])
        files, blocks = {}, {}
        for file, stored in runs.items():
            row = rows.get(layout.file_key(file.file_id))
            if row is None:
                continue
            file_row = layout.unpack_file(row.value)
            files[file] = FileRows(row.version, file_row, {})
            for run in stored:
                blocks[layout.block_key(file_row.data_id, run.number)] = file, run.number
        rows = await self._read_keys(runner, list(blocks))
        for key, (file, number) in blocks.items():
            row = rows.get(key)
            files[file].blocks[number] = (
                BlockRow(row.version, layout.unpack_block(row.value)) if row else NO_BLOCK
            )
        return files

    @staticmethod
    def _leave_out_removed(
        files: dict[BufferedFile, FileRows],
        runs: dict[BufferedFile, list[StoredRun]],
        outcome: CommitOutcome,
    ) -> None:
        for file in [file for file in runs if file not in files]:
            outcome.skipped[file] = REMOVED
            outcome.lost_runs += runs.pop(file)

    @staticmethod
    def _leave_out_overwritten(
        files: dict[BufferedFile, FileRows],
        runs: dict[BufferedFile, list[StoredRun]],
        outcome: CommitOutcome,
    ) -> None:
        """Leaves out recovered writes that would undo newer ones of other edges."""
        for file in [file for file in files if file.recovered]:
            kept, lost = judge_runs(file, files[file], runs[file])
            if not lost:
                continue
            outcome.overwritten.append(file)
            outcome.lost_runs += lost
            if kept:
                outcome.partly_discarded[file] = OVERWRITTEN
                runs[file] = kept
                rows, numbers = files[file], {run.number for run in kept}
                blocks = {number: block for number, block in rows.blocks.items() if number in numbers}
                files[file] = rows._replace(blocks=blocks)
            else:
                outcome.skipped[file] = OVERWRITTEN
                del files[file], runs[file]

    def _drop_lost_runs(self, runner: OperationRunner, outcome: CommitOutcome) -> None:
        for run in outcome.lost_runs:
            self.driver.on_orphaned_object(runner.folder, run.extent.cell, run.extent.object_name)

    async def _read_keys(self, runner: OperationRunner, keys: list[str]) -> dict[str, messages.Row]:
        found = {}
        for first in range(0, len(keys), MAX_KEYS_PER_READ):
            outcome = await runner.read_rows(OPERATION_KEY, keys=keys[first : first + MAX_KEYS_PER_READ])
            found.update((row.key, row) for row in outcome.rows)
        return found

    async def _new_blocks(
        self,
        runner: OperationRunner,
        files: dict[BufferedFile, FileRows],
        runs: dict[BufferedFile, list[StoredRun]],
    ) -> dict[tuple[BufferedFile, int], list[Extent]]:
        """Overlays the batch's extents on those of each block; a block with too many is compacted."""
        found = {}
        for file, rows in files.items():
            committed_over = self.file_system.noted_version(rows.version)
            for number, block in rows.blocks.items():
                extents = block.extents
                for run in runs[file]:
                    if run.number == number:
                        extents = layout.overlay(extents, run.extent._replace(committed_over=committed_over))
                if len(extents) > self.file_system.settings.max_extents:
                    extents = [await compact_block(runner, extents)]
                found[file, number] = extents
        return found

    def _row_change(
        self,
        files: dict[BufferedFile, FileRows],
        runs: dict[BufferedFile, list[StoredRun]],
        blocks: dict[tuple[BufferedFile, int], list[Extent]],
        stamp: str,
    ) -> BatchChange:
        change = BatchChange()
        for file, rows in files.items():
            ends = [run.number * rows.file.block_size + run.extent.end for run in runs[file]]
            size = max(rows.file.size, *ends)
            row = self.file_system.written_file(rows.file, rows.version, size, batch_stamp=stamp)
            change.put_file(file, rows.version, row)
            for number, before in rows.blocks.items():
                change.put_block(file, number, before, blocks[file, number])
        if change.garbage:
            change.puts.append(self.file_system.garbage_objects_row(change.garbage))
        return change

    def _log_intent(self, batch: Batch, files: dict[BufferedFile, FileRows], stamp: str) -> None:
        """Logs a change before it is sent, so that the edge knows it as its own after a crash."""
        for part in batch.parts:
            part.file.stamps.append(stamp)
        file_ids = [part.file.file_id for part in batch.parts if part.file in files]
        self.wal.commit_intent(batch.folder.name, stamp, file_ids)
