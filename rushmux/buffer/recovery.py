"""Restores the writes that an earlier run of an edge had buffered from its write-ahead log."""

from collections import defaultdict, deque
from collections.abc import Container, Iterable
from typing import NamedTuple

from structlog.typing import FilteringBoundLogger

from rushmux.buffer import journal
from rushmux.buffer.buffered_files import MAX_STAMPS
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.disk import SegmentStorage
from rushmux.buffer.errors import MissingBaseError, SegmentError, WritesDiscardedError
from rushmux.buffer.write_ahead_log import WriteAheadLog, epoch_of


class RecoveredWrite(NamedTuple):
    """A write that was not flushed; instances sort by sequence number."""

    sequence: int
    barrier: int
    folder: str
    file_id: str
    start: int
    data: bytes
    base: int
    """Version of the file's row that the write builds on."""


class RecoveredFile:
    """The state of a file after the log's records."""

    def __init__(self, path: str, version: int):
        self.path = path
        self.version = version
        self.stamps: list[str] = []
        self.writes: list[RecoveredWrite] = []


class RecoveredFiles:
    """Rebuilds the dirty files from the records of an epoch."""

    def __init__(self, records: Iterable[journal.Record]):
        # Both by folder and file id.
        self.files: dict[tuple[str, str], RecoveredFile] = {}
        self.discards: dict[tuple[str, str], journal.DiscardedRecord] = {}  # not all clients were notified
        handlers = {
            journal.BaseRecord: self._on_base,
            journal.WriteRecord: self._on_write,
            journal.IntentRecord: self._on_intent,
            journal.FlushedRecord: self._on_flushed,
            journal.DiscardedRecord: self._on_discarded,
            journal.NotifiedRecord: self._on_notified,
        }
        for record in records:
            handler = handlers.get(type(record))
            if handler is not None:
                handler(record)

    def writes(self) -> list[RecoveredWrite]:
        """The writes that were not flushed, by sequence number."""
        return sorted(write for file in self.files.values() for write in file.writes)

    def _on_base(self, record: journal.BaseRecord) -> None:
        file = self.files.get((record.folder, record.file))
        if file is not None and file.writes:
            file.version = record.version
        else:
            self.files[record.folder, record.file] = RecoveredFile(record.path, record.version)

    def _on_write(self, record: journal.WriteRecord) -> None:
        file = self.files.get((record.folder, record.file))
        if file is None:
            raise MissingBaseError(record.folder, record.file)
        file.writes.append(
            RecoveredWrite(
                record.number,
                record.barrier,
                record.folder,
                record.file,
                record.start,
                record.data,
                file.version,
            )
        )

    def _on_intent(self, record: journal.IntentRecord) -> None:
        for file_id in record.files:
            file = self.files.get((record.folder, file_id))
            if file is not None:
                file.stamps.append(record.stamp)

    def _on_flushed(self, record: journal.FlushedRecord) -> None:
        file = self.files.get((record.folder, record.file))
        if file is not None:
            file.version = record.version
            file.stamps = []
            file.writes = [
                write._replace(base=max(write.base, record.version))
                for write in file.writes
                if write.sequence > record.number
            ]

    def _on_discarded(self, record: journal.DiscardedRecord) -> None:
        key = record.folder, record.file
        if record.reason:
            self.discards[key] = record
        file = self.files.get(key)
        if file is not None:  # its lower layers still have to be flushed
            file.writes = [write for write in file.writes if write.barrier < record.barrier]

    def _on_notified(self, record: journal.NotifiedRecord) -> None:
        self.discards.pop((record.folder, record.file), None)


def recover(
    wal: WriteAheadLog,
    writes: BufferedWrites,
    known_folders: Container[str],
    now: float,
    logger: FilteringBoundLogger,
) -> dict[str, int]:
    """Buffers the unflushed writes of an earlier run, and replaces the log's epochs with a new one.

    Args:
        wal: The log, not used before.
        writes: Takes the recovered writes, as of `now`.
        known_folders: The deployment's folders; writes in others are logged and skipped.
        now: Time on the loop's clock, in seconds.
        logger: The edge's logger.

    Returns:
        By folder with recovered writes, the barrier up to which it must be flushed before it is served.
    """
    old_segments = wal.storage.names()
    segments_of_epoch = defaultdict(list)
    for name in old_segments:
        segments_of_epoch[epoch_of(name)].append(name)
    wal.epoch = max(segments_of_epoch, default=0) + 1
    barriers = _buffer_records(
        _read_last_epoch(wal, segments_of_epoch, logger), writes, known_folders, now, logger
    )
    remaining = wal.storage.names()
    wal.replace(name for name in old_segments if name in remaining)
    return barriers


def _read_last_epoch(
    wal: WriteAheadLog, segments_of_epoch: dict[int, list[str]], logger: FilteringBoundLogger
) -> list[journal.Record]:
    newest: list[journal.Record] = []
    for epoch in sorted(segments_of_epoch, reverse=True):
        records = _read_segments(wal.storage, segments_of_epoch[epoch], logger)
        if _is_complete(records):
            return records
        newest = newest or records
        if records:
            logger.info("buffer.log_epoch_incomplete", epoch=epoch, records=len(records))
    # The disk has damaged the only epoch: what can be read of it is better than nothing.
    return newest


def _is_complete(records: list[journal.Record]) -> bool:
    """Whether an epoch holds all that it took over from the one before it, which may be removed already."""
    match records[:1]:
        case [journal.EpochRecord()]:  # written by an earlier program version
            return True
        case [journal.SnapshotBeginRecord()]:
            return any(isinstance(record, journal.SnapshotEndRecord) for record in records)
    return False


def _read_segments(
    storage: SegmentStorage, names: list[str], logger: FilteringBoundLogger
) -> list[journal.Record]:
    records = []
    for name in names:
        try:
            contents = journal.decode_segment(storage.read(name))
        except SegmentError as error:
            contents = journal.SegmentContents([], False, 0)
            logger.error("buffer.log_segment_invalid", segment=name, reason=str(error))
        records += contents.records
        if contents.corrupt_at is not None:
            # Later records are ignored: without the lost ones, writes could become visible out of order.
            logger.error("buffer.log_segment_corrupt", segment=name, offset=contents.corrupt_at)
            storage.quarantine(name)
            break
        if contents.torn:
            logger.info("buffer.log_segment_torn", segment=name)
    return records


def _buffer_records(
    records: list[journal.Record],
    writes: BufferedWrites,
    known_folders: Container[str],
    now: float,
    logger: FilteringBoundLogger,
) -> dict[str, int]:
    recovered = RecoveredFiles(records)
    recovered_writes = recovered.writes()
    for write in recovered_writes:
        if write.folder not in known_folders:
            logger.error("buffer.recovered_folder_unknown", folder=write.folder, file=write.file_id)
            continue
        _buffer_write(recovered.files[write.folder, write.file_id], write, writes, now)
    barriers = {name: folder.close_layer() for name, folder in writes.folders.items()}
    for record in recovered.discards.values():
        if record.folder in known_folders:
            file = writes.file(record.folder, record.file, record.path)
            error = WritesDiscardedError(record.path, record.reason)
            file.losses.record(error)
            writes.folder(record.folder).restart_loss = error
    if recovered_writes:
        logger.info(
            "buffer.log_recovered",
            writes=len(recovered_writes),
            bytes=writes.byte_count,
            folders=len(barriers),
        )
    return barriers


def _buffer_write(file: RecoveredFile, write: RecoveredWrite, writes: BufferedWrites, now: float) -> None:
    folder = writes.folder(write.folder)
    folder.barrier = max(folder.barrier, write.barrier)
    buffered = writes.file(write.folder, write.file_id, file.path)
    buffered.version, buffered.recovered = file.version, True
    buffered.stamps = deque(file.stamps, MAX_STAMPS)
    writes.last_sequence = write.sequence - 1
    writes.add(buffered, write.start, write.data, now)
    buffered.bases.add(write.sequence, write.base)
