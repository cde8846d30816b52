"""The record format of the write-ahead log; no I/O.

A segment begins with eight bytes: `RMXB`, the format version in two bytes, and two zero bytes.
A record is the length and the CRC-32 of its body, four bytes each, and the body: the kind in one byte, the
length of the fields in four, the fields as JSON, and the data of a write.  Numbers are big-endian.
"""

import struct
import zlib
from enum import IntEnum
from typing import NamedTuple

import orjson

from rushmux.buffer.errors import RecordError, SegmentError

FORMAT = 1
HEADER = b"RMXB" + FORMAT.to_bytes(2, "big") + b"\0\0"
FRAME_HEADER = struct.Struct(">II")  # length and CRC-32 of the body
BODY_PREFIX = struct.Struct(">BI")  # kind, length of the fields
MAX_BODY = 2 << 20  # bytes; more than the largest write needs


class RecordKind(IntEnum):
    """Kinds of records, with their values in the log."""

    BASE = 1
    WRITE = 2
    BARRIER = 3
    INTENT = 4
    FLUSHED = 5
    DISCARDED = 6
    EPOCH = 7
    NOTIFIED = 8
    SNAPSHOT_BEGIN = 9
    SNAPSHOT_END = 10


# The field names of the records below are the JSON keys in the log, in this order.


class BaseRecord(NamedTuple):
    """A file becomes dirty, or a newer version is known of it; its next writes build on this `version`."""

    folder: str
    file: str
    path: str
    version: int


class WriteRecord(NamedTuple):
    """A write of a file; `number` is its sequence number, `barrier` its layer."""

    folder: str
    file: str
    start: int
    number: int
    barrier: int
    data: bytes = b""


class BarrierRecord(NamedTuple):
    """A barrier of a folder was set."""

    folder: str
    barrier: int


class IntentRecord(NamedTuple):
    """A change of these files' rows, with this stamp, is about to be sent."""

    folder: str
    stamp: str
    files: list[str]


class FlushedRecord(NamedTuple):
    """A file's writes up to `number` are on the nodes, and its row has `version`."""

    folder: str
    file: str
    number: int
    version: int


class DiscardedRecord(NamedTuple):
    """A file's writes so far were discarded, from layer `barrier` on.

    Earlier program versions wrote only `folder` and `file`, which covered all layers.  The error of which a
    client has to be notified names `path` and `reason`; without a reason there is none.
    """

    folder: str
    file: str
    barrier: int = 0
    path: str = ""
    reason: str = ""


class NotifiedRecord(NamedTuple):
    """All clients that have to be notified were, that writes of the file were discarded."""

    folder: str
    file: str


class EpochRecord(NamedTuple):
    """An epoch of an earlier program version begins, which counts from this record on; no longer written."""

    epoch: int


class SnapshotBeginRecord(NamedTuple):
    """An epoch begins that can be read without earlier ones, once its `SnapshotEndRecord` is there."""

    epoch: int


class SnapshotEndRecord(NamedTuple):
    """The epoch holds all that it takes over from earlier ones, which are not needed any more."""

    epoch: int


Record = (
    BaseRecord
    | WriteRecord
    | BarrierRecord
    | IntentRecord
    | FlushedRecord
    | DiscardedRecord
    | EpochRecord
    | SnapshotBeginRecord
    | SnapshotEndRecord
    | NotifiedRecord
)

RECORD_TYPES = {
    RecordKind.BASE: BaseRecord,
    RecordKind.WRITE: WriteRecord,
    RecordKind.BARRIER: BarrierRecord,
    RecordKind.INTENT: IntentRecord,
    RecordKind.FLUSHED: FlushedRecord,
    RecordKind.DISCARDED: DiscardedRecord,
    RecordKind.EPOCH: EpochRecord,
    RecordKind.NOTIFIED: NotifiedRecord,
    RecordKind.SNAPSHOT_BEGIN: SnapshotBeginRecord,
    RecordKind.SNAPSHOT_END: SnapshotEndRecord,
}
RECORD_KINDS = {record_type: kind for kind, record_type in RECORD_TYPES.items()}


class SegmentContents(NamedTuple):
    """The decoded contents of a segment.

    Attributes:
        records: The records before the first incomplete or damaged one.
        torn: Whether the segment ends within a record, as after a crash.
        corrupt_at: Offset of a damaged record that complete ones follow, or None.
    """

    records: list[Record]
    torn: bool
    corrupt_at: int | None


class _Frame(NamedTuple):
    """A record with a valid checksum but unchecked fields; `end` is where the next one begins."""

    kind: RecordKind
    fields: dict
    data: bytes
    end: int


def encode(record: Record) -> bytes:
    """Encodes a record."""
    fields = record._asdict()
    data = fields.pop("data", b"")
    encoded_fields = orjson.dumps(fields)
    body = BODY_PREFIX.pack(RECORD_KINDS[type(record)], len(encoded_fields)) + encoded_fields + bytes(data)
    return FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_segment(segment: bytes) -> SegmentContents:
    """Decodes a segment.

    Raises:
        SegmentError: It does not begin with the header of this format.
        RecordError: A record with a valid checksum lacks fields of its kind.
    """
    if len(segment) < len(HEADER) and HEADER.startswith(segment):
        return SegmentContents([], bool(segment), None)  # the program was killed while creating it
    if segment[: len(HEADER)] != HEADER:
        raise SegmentError(segment[:8], HEADER)
    view, offset, records = memoryview(segment), len(HEADER), []
    while offset < len(segment):
        frame = _frame_at(view, offset)
        if frame is None:
            # Corruption mistaken for a torn end would silently lose the records after it.
            corrupt = any(
                _frame_at(view, later_offset)
                for later_offset in range(offset + 1, len(segment) - FRAME_HEADER.size)
            )
            return SegmentContents(records, not corrupt, offset if corrupt else None)
        records.append(_record_of(frame))
        offset = frame.end
    return SegmentContents(records, False, None)


def _frame_at(view: memoryview, offset: int) -> _Frame | None:
    """The record at an offset; None if it is incomplete or damaged."""
    if len(view) - offset < FRAME_HEADER.size:
        return None
    length, checksum = FRAME_HEADER.unpack_from(view, offset)
    start = offset + FRAME_HEADER.size
    if not BODY_PREFIX.size <= length <= MAX_BODY or len(view) - start < length:
        return None
    body = view[start : start + length]
    if zlib.crc32(body) != checksum:
        return None
    kind, fields_length = BODY_PREFIX.unpack_from(body)
    data_start = BODY_PREFIX.size + fields_length
    if data_start > length or kind not in RECORD_TYPES:
        return None
    try:
        fields = orjson.loads(body[BODY_PREFIX.size : data_start])
    except orjson.JSONDecodeError:
        return None
    return _Frame(RecordKind(kind), fields, bytes(body[data_start:]), start + length)


def _record_of(frame: _Frame) -> Record:
    record_type = RECORD_TYPES[frame.kind]
    try:
        fields = {**record_type._field_defaults, **frame.fields}
        values = [fields[name] for name in record_type._fields if name != "data"]
    except (KeyError, TypeError) as error:
        raise RecordError(frame.kind.name, frame.fields) from error
    return record_type(*values, frame.data) if record_type is WriteRecord else record_type(*values)
