"""The write-back buffer of an edge: it answers writes at once, flushes and barriers when the nodes have them.

This module executes the decisions of the flush policy, and lets clients wait for the results.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from structlog.typing import FilteringBoundLogger

from rushmux.buffer import journal
from rushmux.buffer.batch_writer import BatchWriter, CommitOutcome, Counters
from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.disk import SegmentStorage
from rushmux.buffer.flush_policy import NEVER, Admission, Batch, BufferLimits, Discard, FlushPolicy
from rushmux.buffer.loss_notifier import Handle, LossNotifier, loss_reply
from rushmux.buffer.losses import BarrierWait
from rushmux.buffer.recovery import recover
from rushmux.buffer.row_cache import RowCache
from rushmux.buffer.write_ahead_log import WriteAheadLog
from rushmux.edge.driver import EdgeDriver
from rushmux.edge.errors import (
    ObjectMissingError,
    OperationFailedError,
    OperationShedError,
    RequestRejectedError,
)
from rushmux.edge.file_system import FileSystem
from rushmux.edge.operation_runner import OperationRunner
from rushmux.settings.deployment import Deployment
from rushmux.supervision import Supervisor

BATCH_TIMEOUT = 8.0  # seconds; longer than the deadlines of a batch's stores and commit
ANSWER_MARGIN = 0.1  # seconds before its deadline at which a request stops waiting for capacity
MIN_SLEEP = 0.001  # shortest pause in seconds between checks for due batches
DRAIN_POLL_INTERVAL = 0.05  # seconds
DEFAULT_LOG_BYTES = 256 << 20
BACKGROUND_TAG = "-"  # tag of operations that belong to no client request
OPERATION_ERRORS = (OperationShedError, OperationFailedError, RequestRejectedError, ObjectMissingError)
INTERNAL_ERROR = "a fault of the gateway; it was logged"
LOWER_LAYER_OVERWRITTEN = "others wrote while this edge was down"


def limits_of(settings: dict) -> BufferLimits:
    """Converts the buffer section of a deployment, with times in seconds."""
    return BufferLimits(
        edge_bytes=settings["edge_bytes"],
        folder_bytes=settings["folder_bytes"],
        max_age=settings["age"],
        max_retention=settings["keep"],
        idle_time=settings["idle"],
        batch_files=settings["batch_files"],
        batch_bytes=settings["batch_bytes"],
        max_batches=settings["out"],
        background_share=settings["background"],
    )


def write_back_factory(deployment: Deployment, storage: SegmentStorage | None = None) -> Callable | None:
    """Returns a function that creates an edge's buffer from its driver, file system and logger.

    Args:
        deployment: The deployment.
        storage: The storage of the log; None disables the log.

    Returns:
        The function, or None if the deployment has no buffer.
    """
    if deployment.buffer is None:
        return None
    return partial(
        WriteBack,
        limits=limits_of(deployment.buffer),
        storage=storage,
        max_log_bytes=deployment.buffer["log_bytes"],
    )


class WriteBack:
    """One edge's write-back buffer.

    Args:
        driver: The edge's driver.
        file_system: State that the edge's requests share.
        logger: The edge's logger.
        limits: The buffer's limits.
        storage: The storage of the log; None disables the log.
        max_log_bytes: Log size above which writes wait until it is shorter.

    Attributes:
        recovering: Folders with recovered writes, and the barriers up to which they must be flushed.
    """

    def __init__(
        self,
        driver: EdgeDriver,
        file_system: FileSystem,
        logger: FilteringBoundLogger,
        *,
        limits: BufferLimits,
        storage: SegmentStorage | None = None,
        max_log_bytes: int = DEFAULT_LOG_BYTES,
    ):
        self.driver = driver
        self.logger = logger
        self.loop = driver.loop
        deployment = driver.deployment
        plans, folders = deployment.settings.plans, deployment.folders
        self.writes = BufferedWrites(
            lambda folder: limits.background_share * plans[folders[folder].plan].nominal
        )
        self.policy = FlushPolicy(self.writes, limits, deployment.units, self._record_discards)
        self.wal = WriteAheadLog(self.writes, storage, max_log_bytes, logger)
        self.row_cache = RowCache()
        self.counters = Counters()
        self.batch_writer = BatchWriter(driver, file_system, self.row_cache, self.wal, self.counters)
        self.work_arrived = asyncio.Event()
        self.capacity_freed = asyncio.Event()
        self.batch_waiters: dict[asyncio.Future, bool] = {}
        self.supervisor = Supervisor(logger)
        self.tasks: dict[asyncio.Task, bool] = {}
        self.loss_notifier = LossNotifier(self.loop, self.wal)
        self.recovering: dict[str, int] = {}
        if storage is not None:
            self.recovering = recover(self.wal, self.writes, folders, self.loop.time(), logger)

    def open_handle(self, folder: str, file_id: str, path: str, handle: Handle) -> BufferedFile:
        """Returns the state of a handle's file, until `close_handle`."""
        file = self.writes.file(folder, file_id, path)
        file.losses.open_handle(handle)
        return file

    def close_handle(self, handle: Handle) -> None:
        """Closes a handle, and forgets the file if nothing else needs it."""
        file = handle.buffered_file
        file.losses.close_handle(handle)
        self.writes.forget_if_unused(file)
        self.row_cache.forget_if_unused(file)

    async def write(
        self,
        handle: Handle,
        runner: OperationRunner,
        start: int,
        data: bytes,
    ) -> bool:
        """Buffers a write.

        Args:
            handle: The handle, whose rows are cached for the commit.
            runner: The client's request.
            start: Offset in the file.
            data: The bytes.

        Returns:
            Whether the write is buffered.  If not, the caller must send it to the nodes: it is too large, or
            the log has failed.

        Raises:
            OperationShedError: The buffer had no capacity before the request's timeout.
            OperationFailedError: The log failed, and the write could not be flushed in time.
            RequestRejectedError: The log failed, and the write was discarded.  The next flush of the handle
                still has to fail, since its client may repeat the write.
        """
        file = handle.buffered_file
        if not await self._admit(runner, len(data)):
            await self.wait_until_flushed(file, runner)
            self.counters.bypassed += 1
            return False
        self.row_cache.remember_opened(file, handle.view)
        self._buffer_write(file, start, data, handle.view.version)
        self.work_arrived.set()
        self.wal.commit()
        if self.wal.failed:  # a crash would lose this write: answer only when it is flushed
            loss_count = file.losses.count
            await self.wait_until_flushed(file, runner)
            if file.losses.count > loss_count:
                raise loss_reply(file.losses.newest)
        return True

    async def _admit(self, runner: OperationRunner, size: int) -> bool:
        """Waits until a write is admitted; False if it must bypass the buffer."""
        while True:
            admission = self.policy.admit(runner.folder, size, self.loop.time())
            if admission is Admission.BYPASS or self.wal.failed:
                return False
            if admission is Admission.ADMIT and not self.wal.is_full:
                return True
            # In a burst the buffer fills up: writes wait for capacity, and are shed before their timeout.
            self.work_arrived.set()
            self.capacity_freed.clear()
            try:
                async with asyncio.timeout_at(runner.deadline - ANSWER_MARGIN):
                    await self.capacity_freed.wait()
            except TimeoutError:
                raise OperationShedError from None

    def _buffer_write(self, file: BufferedFile, start: int, data: bytes, version: int) -> None:
        # The edge's last batch may have made a newer version than the handle has seen.
        known_version = max(file.version, version)
        if not file.dirty:
            file.version = known_version
            self.wal.append_base(file, known_version)
        elif known_version > file.version:
            file.version = known_version
            self.wal.append_base_version(file, known_version)
        sequence = self.writes.add(file, start, data, self.loop.time())
        file.bases.add(sequence, known_version)
        self.counters.writes += 1
        self.counters.bytes += len(data)
        barrier = self.writes.folder(file.folder).barrier
        self.wal.append(journal.WriteRecord(file.folder, file.file_id, start, sequence, barrier, data))

    async def flush(self, handle: Handle, runner: OperationRunner) -> None:
        """Waits until all buffered writes of a handle's file, by any handle, are readable at any edge.

        Raises:
            RequestRejectedError: Writes were discarded; raised once for each handle.
            OperationFailedError: Too little time is left for the request; the flush goes on.
        """
        await self.wait_until_flushed(handle.buffered_file, runner)
        self.loss_notifier.raise_loss(handle)

    async def wait_until_flushed(self, file: BufferedFile, runner: OperationRunner) -> None:
        """Waits until all buffered writes of a file are on the nodes or were discarded.

        Raises:
            OperationFailedError: Too little time is left for the request; the flush goes on.
        """
        if file.dirty:
            sequence = self.writes.request_flush(file)
            await self._wait_until(runner, partial(self.writes.is_flushed, file, sequence))

    def set_barrier(self, folder: str) -> int:
        """Sets a barrier: later writes become visible only after earlier ones.  Returns its number."""
        barrier = self.writes.set_barrier(folder)
        self.wal.append(journal.BarrierRecord(folder, barrier))
        self.work_arrived.set()
        return barrier

    async def wait_for_barrier(
        self,
        folder: str,
        barrier: int,
        runner: OperationRunner,
        handles: Iterable[Handle] = (),
    ) -> None:
        """Waits until all writes before a barrier are readable through any edge.

        Args:
            folder: The folder's name.
            barrier: The barrier, which `set_barrier` has just returned.
            runner: The client's request.
            handles: The client's open handles in the folder.

        Raises:
            RequestRejectedError: One of the handles has to be told of a loss, or writes of any client that
                the barrier covers were discarded meanwhile, or were by the restart of this edge and no
                barrier was told; the latter two tell no handle.
            OperationFailedError: Too little time is left for the request; the flush goes on.
        """
        wait = BarrierWait(barrier)
        waits = self.writes.folder(folder).barrier_waits
        waits[wait] = True
        try:
            await self._wait_until(runner, partial(self.writes.is_barrier_flushed, folder, barrier))
        finally:
            del waits[wait]
        for handle in handles:
            self.loss_notifier.raise_loss(handle)
        error = wait.error or self.writes.folder(folder).take_restart_loss()
        if error is not None:
            raise loss_reply(error)

    async def wait_until_recovered(self, folder: str, until: float) -> None:
        """Waits until a folder's recovered writes are flushed or discarded.

        Raises:
            OperationShedError: They were not by `until`, on the loop's clock.
        """
        while folder in self.recovering:
            try:
                async with asyncio.timeout_at(until):
                    await self._wait_for_batch()
            except TimeoutError:
                raise OperationShedError from None

    async def drain(self, until: float) -> None:
        """Flushes everything, but stops waiting at `until` on the loop's clock."""
        for folder in self.writes.folders.values():
            folder.requested_barrier = folder.barrier
        self.work_arrived.set()
        while self.writes.byte_count and self.loop.time() < until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    async def _wait_until(self, runner: OperationRunner, is_done: Callable[[], bool]) -> None:
        """Waits for a condition that the end of a batch may fulfil."""
        self.work_arrived.set()
        if not self.policy.can_flush_within(runner.deadline - self.loop.time()):
            raise OperationFailedError  # the flush goes on, but would not end in time
        while not is_done():
            await self._wait_for_batch()

    async def _wait_for_batch(self) -> None:
        waiter = self.loop.create_future()
        self.batch_waiters[waiter] = True
        try:
            await waiter
        finally:
            self.batch_waiters.pop(waiter, None)

    async def run(self) -> None:
        """Starts each batch when it is due, until cancelled."""
        while True:
            self.work_arrived.clear()
            batch, check_at = self.policy.next_batch(self.loop.time())
            if batch is not None:
                task = self.loop.create_task(self._flush_batch(batch))
                self.tasks[task] = True
                task.add_done_callback(self.tasks.pop)
                self.supervisor.watch("buffer_batch", task)
                continue
            wait = None if check_at == NEVER else max(MIN_SLEEP, check_at - self.loop.time())
            try:
                async with asyncio.timeout(wait):
                    await self.work_arrived.wait()
            except TimeoutError:
                pass

    async def _flush_batch(self, batch: Batch) -> None:
        until = self.loop.time() + BATCH_TIMEOUT
        runner = OperationRunner(self.driver, batch.folder.name, BACKGROUND_TAG, until)
        try:
            self._on_batch_committed(batch, await self.batch_writer.write(runner, batch))
        except Exception as error:  # after any failure the writes stay buffered, and the batch is retried
            self._on_batch_failed(batch, error)
        finally:
            self._on_batch_ended(batch)

    def _on_batch_committed(self, batch: Batch, outcome: CommitOutcome) -> None:
        self.policy.on_batch_committed(batch, self.loop.time(), outcome.skipped, outcome.partly_discarded)
        if outcome.overwritten:
            self.policy.discard_recovered(
                batch.folder, batch.barrier, LOWER_LAYER_OVERWRITTEN, outcome.overwritten
            )
            file_ids = [file.file_id for file in outcome.overwritten]
            self.logger.error("buffer.recovered_writes_overwritten", files=file_ids)
        self.wal.commit_flushed(batch, outcome.skipped)

    def _record_discards(self, discards: Sequence[Discard]) -> bool:
        """Logs discards in advance; False if they could not be written to disk."""
        for discard in discards:  # earlier notifications do not cover these discards
            self.loss_notifier.cancel_record(discard.file)
        recorded = self.wal.commit_discarded(discards)
        event = "buffer.writes_discarded" if recorded else "buffer.discard_not_recorded"
        for discard in discards:
            self.logger.error(
                event, file=discard.file.file_id, reason=f"{discard.file.path}: {discard.reason}"
            )
        return recorded

    def _on_batch_failed(self, batch: Batch, error: Exception) -> None:
        if isinstance(error, OPERATION_ERRORS):
            reason = error.status_text
        else:
            reason = INTERNAL_ERROR
            self.logger.exception("buffer.internal_error", folder=batch.folder.name)
        self.policy.on_batch_failed(batch, self.loop.time(), f"could not be written out ({reason})")
        self.logger.info(
            "buffer.batch_failed",
            folder=batch.folder.name,
            files=len(batch.parts),
            reason=reason,
            failures=batch.folder.failures,
        )
        for part in batch.parts:
            self.row_cache.forget(part.file)

    def _on_batch_ended(self, batch: Batch) -> None:
        self.capacity_freed.set()
        self.work_arrived.set()
        for part in batch.parts:
            self.row_cache.forget_if_unused(part.file)
        for folder, barrier in list(self.recovering.items()):
            if self.writes.is_barrier_flushed(folder, barrier):
                del self.recovering[folder]
        for waiter in list(self.batch_waiters):
            if not waiter.done():
                waiter.set_result(None)
