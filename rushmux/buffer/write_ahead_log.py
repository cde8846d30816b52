"""The write-ahead log of a write-back buffer.

An epoch is a series of segments that can be read without earlier ones.  A new epoch begins when all writes
are on the nodes, or when the log has grown much larger than the buffered bytes.  It begins with a snapshot of
what is buffered, and counts once the record at the snapshot's end is written: until then a crash leaves the
epoch before it in force.
"""

from collections.abc import Container, Iterable

from structlog.typing import FilteringBoundLogger

from rushmux.buffer import journal
from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.disk import SEGMENT_SUFFIX, SegmentStorage
from rushmux.buffer.flush_policy import Batch, Discard

SEGMENT_BYTES = 4 << 20  # size beyond which a new segment begins
COMPACTION_FACTOR = 2  # a log larger than this times the buffered bytes, plus the slack, is rewritten
COMPACTION_SLACK = 4 * SEGMENT_BYTES


def epoch_of(segment: str) -> int:
    """The epoch in a segment's name."""
    return int(segment.split("-")[0])


class WriteAheadLog:
    """The log of one edge.

    Args:
        writes: The buffered writes, which are copied to each new epoch.
        storage: The storage of the segments; None disables the log.
        max_bytes: Size above which the log is full, and writes wait.
        logger: The edge's logger.

    Attributes:
        failed: Whether an append failed: nothing more is logged, and nothing more may be buffered.
    """

    def __init__(
        self,
        writes: BufferedWrites,
        storage: SegmentStorage | None,
        max_bytes: int,
        logger: FilteringBoundLogger,
    ):
        self.writes = writes
        self.storage = storage
        self.max_bytes = max_bytes
        self.logger = logger
        self.failed = False
        self.epoch = 1
        self.segment_count = 0  # of this epoch
        self.segment = ""
        self.segment_sizes: dict[str, int] = {}  # bytes by segment of this epoch
        self.pending: list[bytes] = []  # encoded records that are not on disk yet

    @property
    def size(self) -> int:
        """Bytes in this epoch's segments."""
        return sum(self.segment_sizes.values())

    @property
    def is_full(self) -> bool:
        """Whether writes have to wait for the log to shrink."""
        return self.size > self.max_bytes

    def append(self, record: journal.Record) -> None:
        """Adds a record, which `commit` writes to disk."""
        if self.storage is not None:
            self.pending.append(journal.encode(record))

    def append_base_version(self, file: BufferedFile, version: int) -> None:
        """Adds the version of a file's row that its next writes build on."""
        self.append(journal.BaseRecord(file.folder, file.file_id, file.path, version))

    def append_base(self, file: BufferedFile, version: int) -> None:
        """Adds the state that a file's writes build on; called before the write that makes the file dirty."""
        self.append_base_version(file, version)
        for stamp in file.stamps:
            self.append(journal.IntentRecord(file.folder, stamp, [file.file_id]))

    def commit(self) -> None:
        """Writes the records added so far to disk; sets `failed` if that fails."""
        pending, self.pending = self.pending, []
        if not pending or self.failed:
            return
        if not self.segment_sizes:  # the epoch has no snapshot, since nothing was buffered
            pending = [*self._snapshot_frame([]), *pending]
        self._write(b"".join(pending))

    def _snapshot_frame(self, snapshot: list[bytes]) -> list[bytes]:
        return [
            journal.encode(journal.SnapshotBeginRecord(self.epoch)),
            *snapshot,
            journal.encode(journal.SnapshotEndRecord(self.epoch)),
        ]

    def _write(self, data: bytes) -> None:
        if not self.segment_sizes or self.segment_sizes[self.segment] > SEGMENT_BYTES:
            self._begin_segment()
            data = journal.HEADER + data
        try:
            self.storage.append(self.segment, data)
        except OSError as error:
            self.failed = True
            self.logger.error("buffer.log_append_failed", segment=self.segment, reason=str(error))
        else:
            self.segment_sizes[self.segment] += len(data)

    def _begin_segment(self) -> None:
        self.segment_count += 1
        self.segment = f"{self.epoch:08}-{self.segment_count:06}{SEGMENT_SUFFIX}"
        self.segment_sizes[self.segment] = 0

    def commit_intent(self, folder: str, stamp: str, file_ids: list[str]) -> None:
        """Logs that a change of these files' rows is about to be sent."""
        self.append(journal.IntentRecord(folder, stamp, file_ids))
        self.commit()

    def commit_discarded(self, discards: Iterable[Discard]) -> bool:
        """Logs that writes are about to be discarded; False if the log has failed."""
        for discard in discards:
            file = discard.file
            self.append(
                journal.DiscardedRecord(file.folder, file.file_id, discard.barrier, file.path, discard.reason)
            )
        self.commit()
        return not self.failed

    def commit_flushed(self, batch: Batch, skipped: Container[BufferedFile]) -> None:
        """Logs that a batch, without the skipped files, is on the nodes.

        Begins a new epoch if the log has grown long or nothing is buffered.
        """
        if self.storage is None:
            return
        for part in batch.parts:
            file = part.file
            if file not in skipped:
                self.append(
                    journal.FlushedRecord(batch.folder.name, file.file_id, part.last_sequence, file.version)
                )
        self.commit()
        buffered = self.writes.byte_count
        if not buffered or self.size > COMPACTION_FACTOR * buffered + COMPACTION_SLACK:
            self.begin_epoch()

    def begin_epoch(self) -> None:
        """Rewrites the log as a new epoch."""
        old_segments = list(self.segment_sizes)
        self.segment_sizes = {}
        self.epoch += 1
        self.segment_count = 0
        self.replace(old_segments)

    def replace(self, old_segments: Iterable[str]) -> None:
        """Writes all state that a crash must not lose to this epoch, then removes the old segments.

        A crash in between leaves both epochs complete, and the later one counts.
        """
        self._write_snapshot()
        if not self.failed:
            for name in old_segments:
                self.storage.remove(name)

    def _write_snapshot(self) -> None:
        self.pending = []  # records of the earlier epoch
        for file in self.writes.files_with_errors():
            reason = file.losses.error.reason
            self.append(journal.DiscardedRecord(file.folder, file.file_id, 0, file.path, reason))
        for file in self.writes.dirty_files():
            self._append_writes(file)
        snapshot, self.pending = self.pending, []
        if snapshot and not self.failed:
            self._write(b"".join(self._snapshot_frame(snapshot)))

    def _append_writes(self, file: BufferedFile) -> None:
        """Adds a file's buffered writes in their order, each after the version that it builds on."""
        extents = [
            (barrier, extent)
            for barrier, layer in file.layers.items()
            for index in layer.indexes()
            for extent in index
        ]
        extents.sort(key=lambda item: item[1].sequence)
        base = None
        for barrier, extent in extents:
            version = file.bases.of(extent.sequence)
            if base is None:
                self.append_base(file, version)
            elif version != base:
                self.append_base_version(file, version)
            base = version
            self.append(
                journal.WriteRecord(
                    file.folder, file.file_id, extent.start, extent.sequence, barrier, extent.data
                )
            )
