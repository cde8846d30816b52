"""Decides which writes are admitted, when they are flushed, and which are discarded.

There is no I/O and no clock; times are seconds on the caller's clock.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from enum import Enum, IntEnum
from typing import NamedTuple

from rushmux.backoff import Backoff
from rushmux.buffer.buffered_files import BufferedFile, BufferedFolder, Layer
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.extents import ExtentIndex

PRESSURE_FRACTION = 0.5  # of a byte limit: above it the oldest writes are flushed regardless of the budget
STALE_FRACTION = 0.3  # of the retention: older writes block new ones while flushes fail
INITIAL_BACKOFF = 0.1  # seconds until a failed batch is retried; doubles with each consecutive failure
MAX_BACKOFF = 5.0  # seconds
RETRY_BACKOFF = Backoff(INITIAL_BACKOFF, MAX_BACKOFF)
REMEMBERED_BATCHES = 32  # recent batches whose durations are kept
MIN_SAMPLES = 4  # durations needed for an estimate
NEVER = float("inf")


class Admission(Enum):
    """What happens to a new write."""

    ADMIT = "admit"
    WAIT = "wait"  # until there is capacity
    BYPASS = "bypass"  # larger than the buffer: goes to the nodes at once


class FlushPriority(IntEnum):
    """Why a folder is flushed; lower values go first."""

    REQUESTED = 0  # a client waits for it
    OVERDUE = 1  # its oldest write is old, the buffer is filling up, or a barrier follows
    BACKGROUND = 2  # its files are idle and the budget allows it


class BufferLimits(NamedTuple):
    """The limits of a buffer."""

    edge_bytes: int = 64 << 20
    folder_bytes: int = 8 << 20
    max_age: float = 2.0  # seconds after which a write is flushed regardless of the budget
    max_retention: float = 30.0  # seconds after which a write that cannot be flushed is discarded
    idle_time: float = 0.3  # seconds since its last write after which a file may be flushed
    batch_files: int = 64
    batch_bytes: int = 4 << 20
    max_batches: int = 8  # in flight, at most one per folder
    background_share: float = 0.5  # of a plan's nominal rate, for background flushes


class FlushRank(NamedTuple):
    """The order of due folders: by priority, then by age."""

    priority: FlushPriority
    oldest_at: float


class FlushCheck(NamedTuple):
    """The rank of a folder that is due, or None and when to check again."""

    rank: FlushRank | None
    check_at: float


class BatchPart(NamedTuple):
    """The writes of one file in a batch."""

    file: BufferedFile
    index: ExtentIndex
    last_sequence: int  # sequence number of the newest write


class Batch(NamedTuple):
    """Writes of one folder and layer, which a single change of rows makes visible."""

    folder: BufferedFolder
    barrier: int
    parts: tuple[BatchPart, ...]
    is_requested: bool  # whether a client waits for it
    started_at: float
    oldest_at: float


class Discard(NamedTuple):
    """A file's writes from a layer on that will never reach the nodes."""

    file: BufferedFile
    barrier: int
    reason: str


def accept_discards(discards: Sequence[Discard]) -> bool:
    """Accepts all discards, for a buffer without a log."""
    return True


class FlushPolicy:
    """The flush policy of one edge.

    Args:
        writes: The buffered writes.
        limits: The buffer's limits.
        units_of: Maps the size of a write in bytes to its cost in units.
        record_discards: Records discards in advance; returns whether they will outlast a crash.
    """

    def __init__(
        self,
        writes: BufferedWrites,
        limits: BufferLimits,
        units_of: Callable[[int], float],
        record_discards: Callable[[Sequence[Discard]], bool] = accept_discards,
    ):
        self.writes = writes
        self.limits = limits
        self.units_of = units_of
        self.record_discards = record_discards
        self.batches_in_flight = 0
        self.batch_durations: deque[float] = deque(maxlen=REMEMBERED_BATCHES)

    def admit(self, name: str, size: int, now: float) -> Admission:
        """Decides on a new write of `size` bytes into a folder."""
        folder, limits = self.writes.folder(name), self.limits
        if size > min(limits.folder_bytes, limits.edge_bytes):
            return Admission.BYPASS
        if (
            self.writes.byte_count + size > limits.edge_bytes
            or folder.byte_count + size > limits.folder_bytes
        ):
            return Admission.WAIT
        # Otherwise clients would not notice failing flushes, and more answered writes would be at risk.
        if folder.failures and now - folder.oldest_write_at(now) > STALE_FRACTION * limits.max_retention:
            return Admission.WAIT
        return Admission.ADMIT

    def can_flush_within(self, time_left: float) -> bool:
        """Whether a flush probably ends within `time_left` seconds: half of the recent batches did."""
        durations = sorted(self.batch_durations)
        return len(durations) < MIN_SAMPLES or time_left >= durations[len(durations) // 2]

    def check(self, folder: BufferedFolder, now: float) -> FlushCheck:
        """Whether and why a folder should be flushed now."""
        lowest = folder.lowest_layer()
        if lowest is None or folder.flushing:
            return FlushCheck(None, NEVER)
        if now < folder.retry_at:
            return FlushCheck(None, folder.retry_at)
        files = folder.files_in_layer(lowest)
        oldest_at = min(file.layers[lowest].oldest_at for file in files)
        if _is_requested(folder, lowest, files):
            return FlushCheck(FlushRank(FlushPriority.REQUESTED, oldest_at), now)
        if self._is_nearly_full(folder) or now - oldest_at >= self.limits.max_age or folder.barrier > lowest:
            return FlushCheck(FlushRank(FlushPriority.OVERDUE, oldest_at), now)
        idle_at = max(file.last_write_at for file in files) + self.limits.idle_time
        if idle_at <= now and folder.budget.refill(now) >= 1:
            return FlushCheck(FlushRank(FlushPriority.BACKGROUND, oldest_at), now)
        affordable_at = now + folder.budget.time_until_unit()
        return FlushCheck(None, min(oldest_at + self.limits.max_age, max(idle_at, affordable_at)))

    def _is_nearly_full(self, folder: BufferedFolder) -> bool:
        if folder.byte_count > PRESSURE_FRACTION * self.limits.folder_bytes:
            return True
        return self.writes.byte_count > PRESSURE_FRACTION * self.limits.edge_bytes

    def next_batch(self, now: float) -> tuple[Batch | None, float]:
        """Starts the most urgent batch that is due.

        Returns:
            The batch and `now`, or None and when to call again.
        """
        if self.batches_in_flight >= self.limits.max_batches:
            return None, NEVER
        best_rank, best_folder, check_at = None, None, NEVER
        for folder in self.writes.nonempty_folders.values():
            check = self.check(folder, now)
            check_at = min(check_at, check.check_at)
            if check.rank is not None and (best_rank is None or check.rank < best_rank):
                best_rank, best_folder = check.rank, folder
        if best_folder is None:
            return None, check_at
        is_requested = best_rank.priority is FlushPriority.REQUESTED
        return self._start_batch(best_folder, is_requested, now), now

    def _start_batch(self, folder: BufferedFolder, is_requested: bool, now: float) -> Batch:
        """Takes files of the lowest layer: first those that clients wait for, then by age."""
        lowest = folder.lowest_layer()
        files = folder.files_in_layer(lowest)
        files.sort(key=lambda file: (not file.flush_requested, file.layers[lowest].oldest_at))
        parts, size, oldest_at = [], 0, now
        for file in files[: self.limits.batch_files]:
            layer = file.layers[lowest]
            if parts and size + layer.index.byte_count > self.limits.batch_bytes:
                break
            size += layer.index.byte_count
            oldest_at = min(oldest_at, layer.oldest_at)
            parts.append(BatchPart(file, layer.start_flush(), layer.in_flight_last))
        folder.flushing = True
        self.batches_in_flight += 1
        folder.budget.spend(self.units_of(size))
        return Batch(folder, lowest, tuple(parts), is_requested, now, oldest_at)

    def _end_batch(self, batch: Batch) -> list[tuple[BufferedFile, Layer]]:
        """Returns the batch's files whose writes were not discarded meanwhile."""
        batch.folder.flushing = False
        self.batches_in_flight -= 1
        files = [part.file for part in batch.parts]
        return [(file, file.layers[batch.barrier]) for file in files if batch.barrier in file.layers]

    def on_batch_committed(
        self,
        batch: Batch,
        now: float,
        skipped: dict[BufferedFile, str],
        partly_discarded: dict[BufferedFile, str] | None = None,
    ) -> None:
        """Notes that a batch is visible to all edges, except for discarded writes.

        Args:
            batch: The batch.
            now: The current time.
            skipped: Files of which nothing was committed, and the reasons.
            partly_discarded: Files of which some writes were not committed, and the reasons.
        """
        discarded = skipped | (partly_discarded or {})
        remaining = self._end_batch(batch)
        batch.folder.failures = 0
        self.batch_durations.append(now - batch.started_at)
        discards = [
            Discard(file, batch.barrier, discarded[file]) for file, _ in remaining if file in discarded
        ]
        # Even if this is not recorded they are discarded, because recovery would skip them again.
        self._record(discards)
        for file, layer in remaining:
            self.writes.adjust_byte_count(batch.folder, -layer.in_flight.byte_count)
            layer.finish_flush(now)
            file.committed_at = now
            if file not in skipped and not layer.write_count:
                del file.layers[batch.barrier]
        self._discard(discards)
        for file, _ in remaining:
            self.writes.release_flushed(file)

    def on_batch_failed(self, batch: Batch, now: float, reason: str) -> None:
        """Notes that a batch failed, or that its outcome is unknown.

        It is retried after a backoff.  Writes that are too old are discarded with all layers above, unless
        that cannot be recorded: a crash must not bring back what a client was told is lost.
        """
        remaining = self._end_batch(batch)
        folder = batch.folder
        folder.failures += 1
        folder.retry_at = now + RETRY_BACKOFF.pause(folder.failures - 1)
        for _, layer in remaining:
            before = layer.byte_count
            layer.undo_flush()
            self.writes.adjust_byte_count(folder, layer.index.byte_count - before)
        if now - batch.oldest_at >= self.limits.max_retention:
            discards = _discards_from(folder, batch.barrier, reason, [part.file for part in batch.parts])
            if self._record(discards):
                self._discard(discards)

    def discard_recovered(
        self, folder: BufferedFolder, barrier: int, reason: str, files: Collection[BufferedFile]
    ) -> None:
        """Discards the files' writes of a layer, and all layers above it.

        For recovered files: if this is not recorded, the next recovery comes to the same result.
        """
        discards = _discards_from(folder, barrier, reason, files)
        self._record(discards)
        self._discard(discards)

    def _record(self, discards: Sequence[Discard]) -> bool:
        return not discards or self.record_discards(discards)

    def _discard(self, discards: Iterable[Discard]) -> None:
        for discard in discards:
            self.writes.discard(discard.file, discard.barrier, discard.reason)
            self.writes.release_flushed(discard.file)


def _discards_from(
    folder: BufferedFolder, barrier: int, reason: str, files: Collection[BufferedFile]
) -> list[Discard]:
    """The files' writes of a layer, and all layers above it."""
    # A layer above a discarded one would become visible without the writes before its barrier.
    discards = [
        Discard(file, barrier if file in files else barrier + 1, reason) for file in folder.files.values()
    ]
    return [discard for discard in discards if max(discard.file.layers, default=-1) >= discard.barrier]


def _is_requested(folder: BufferedFolder, lowest: int, files: list[BufferedFile]) -> bool:
    if lowest <= folder.requested_barrier:
        return True
    return any(
        file.flush_requested >= file.layers[lowest].first_sequence for file in files if file.flush_requested
    )
