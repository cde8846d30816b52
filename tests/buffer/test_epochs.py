"""A crash while the log begins a new epoch loses no acknowledged write.

An edge was killed while it rewrote its log, and 162 of 1,452 acknowledged writes were gone after its restart,
while barriers succeeded. The new epoch counted from its first record on, the copies of the buffered writes
followed in the same append, and the restart removed the complete epoch before it.
"""

import contextlib
import errno
import zlib

import pytest
import structlog

from rushmux.buffer import journal
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.disk import SimulatedSegments
from rushmux.buffer.recovery import recover
from rushmux.buffer.write_ahead_log import WriteAheadLog

FOLDER = "heredia"
FILES = 7
MAX_BYTES = 1 << 30
LOGGER = structlog.get_logger()


class KilledError(Exception):
    """The program was killed."""


class KillableSegments(SimulatedSegments):
    """Segments of a program that is killed at one operation.

    Attributes:
        operations_left: Operations up to the kill, which is the last of them; None for no kill.
        keep: Returns what the disk keeps of the append that the kill interrupts.
    """

    def __init__(self):
        super().__init__()
        self.operations_left = None
        self.keep = bytes

    def kill_at(self, operation, keep):
        self.operations_left, self.keep = operation, keep

    def _is_killed(self):
        if self.operations_left is None:
            return False
        self.operations_left -= 1
        if self.operations_left < 0:
            raise KilledError
        return self.operations_left == 0

    def append(self, name, data):
        if self._is_killed():
            if kept := self.keep(data):
                super().append(name, kept)
            raise KilledError
        super().append(name, data)

    def remove(self, name):
        if self._is_killed():
            raise KilledError
        super().remove(name)


def open_log(disk):
    writes = BufferedWrites(lambda folder: 1.0)
    return WriteAheadLog(writes, disk, MAX_BYTES, LOGGER), writes


def acknowledge_writes(wal, writes, count):
    """Buffers and logs writes as an edge does; returns their data by file and offset."""
    acknowledged = {}
    for number in range(count):
        file = writes.file(FOLDER, f"id{number % FILES}", f"/{FOLDER}/{number % FILES}")
        if not file.dirty:
            wal.append_base(file, file.version)
        data = b"%08d" % number
        sequence = writes.add(file, number * len(data), data, 0.0)
        barrier = writes.folder(FOLDER).barrier
        wal.append(journal.WriteRecord(FOLDER, file.file_id, number * len(data), sequence, barrier, data))
        wal.commit()
        acknowledged[file.file_id, number * len(data)] = data
    return acknowledged


def recovered_writes(disk):
    """Recovers the log of a disk; returns the data of the writes by file and offset."""
    wal, writes = open_log(disk)
    recover(wal, writes, [FOLDER], 0.0, LOGGER)
    return {
        (file.file_id, extent.start): bytes(extent.data)
        for file in writes.dirty_files()
        for layer in file.layers.values()
        for index in layer.indexes()
        for extent in index
    }


KEPT_PARTS = {
    "nothing": lambda data: b"",
    "first-byte": lambda data: data[:1],
    "epoch-record": lambda data: data[: len(data) // 20 + 64],
    "half": lambda data: data[: len(data) // 2],
    "all-but-a-byte": lambda data: data[:-1],
    "a-hole": lambda data: data[: len(data) // 3] + bytes(len(data) // 3) + data[2 * (len(data) // 3) :],
    "all": lambda data: data,
}
every_part = pytest.mark.parametrize("keep", KEPT_PARTS.values(), ids=KEPT_PARTS)
every_size = pytest.mark.parametrize("count", [1, 10, 1_000])
MAX_OPERATIONS = 6
"""More than a rewrite of one segment needs."""


@every_part
@every_size
def test_a_kill_at_any_operation_of_a_rewrite_loses_no_acknowledged_write(count, keep):
    killed = 0
    for operation in range(1, MAX_OPERATIONS):
        disk = KillableSegments()
        wal, writes = open_log(disk)
        acknowledged = acknowledge_writes(wal, writes, count)
        disk.kill_at(operation, keep)
        try:
            wal.begin_epoch()
        except KilledError:
            killed += 1
        disk.operations_left = None
        assert recovered_writes(disk) == acknowledged
        assert recovered_writes(disk) == acknowledged  # and after one more start
    assert killed == 2  # at the snapshot and at the removal of the old segment


@every_part
@every_size
def test_kills_at_any_operation_of_two_recoveries_in_a_row_lose_no_acknowledged_write(count, keep):
    for operation in range(1, MAX_OPERATIONS):
        for later_operation in range(1, MAX_OPERATIONS):
            disk = KillableSegments()
            acknowledged = acknowledge_writes(*open_log(disk), count if count < 100 else 100)
            for kill_at in (operation, later_operation):
                disk.kill_at(kill_at, keep)
                with contextlib.suppress(KilledError):
                    recovered_writes(disk)
            disk.operations_left = None
            assert recovered_writes(disk) == acknowledged


@every_part
def test_a_kill_after_a_rewrite_that_failed_loses_no_acknowledged_write(keep):
    disk = KillableSegments()
    wal, writes = open_log(disk)
    acknowledged = acknowledge_writes(wal, writes, 10)
    disk.append_errno, disk.partial_append = errno.ENOSPC, True
    wal.begin_epoch()
    assert wal.failed
    disk.append_errno = None
    disk.kill_at(1, keep)
    with pytest.raises(KilledError):
        recovered_writes(disk)
    disk.operations_left = None
    assert recovered_writes(disk) == acknowledged


def test_the_log_of_an_earlier_program_version_is_read():
    disk = KillableSegments()
    fields = b'{"epoch":4}'
    body = journal.BODY_PREFIX.pack(journal.RecordKind.EPOCH, len(fields)) + fields
    frames = [
        journal.FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body,
        journal.encode(journal.BaseRecord(FOLDER, "id", f"/{FOLDER}/a", 3)),
        journal.encode(journal.WriteRecord(FOLDER, "id", 0, 1, 0, b"earlier")),
    ]
    disk.append("00000004-000001.log", journal.HEADER + b"".join(frames))
    assert recovered_writes(disk) == {("id", 0): b"earlier"}


def test_a_damaged_epoch_without_one_before_it_is_read_up_to_the_damage():
    """Guards against dropping what can be read because the end of the snapshot can't."""
    disk = KillableSegments()
    acknowledge_writes(*open_log(disk), 10)
    recovered_writes(disk)  # rewrites the log as one snapshot
    [name] = disk.names()
    segment = disk.files[name]
    segment[segment.index(b"00000009")] ^= 1
    assert len(recovered_writes(disk)) in range(1, 10)
