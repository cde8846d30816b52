"""The log's record format: complete, torn and damaged segments."""

import zlib

import pytest
from hypothesis import given, strategies

from rushmux.buffer import journal
from rushmux.buffer.errors import RecordError, SegmentError

RECORDS = [journal.WriteRecord("f", "file", 0, number, 0, bytes([number]) * 40) for number in range(1, 6)]
ENCODED = [journal.encode(record) for record in RECORDS]
SEGMENT = journal.HEADER + b"".join(ENCODED)


def record_ends():
    """The offset at which each record ends."""
    offset, ends = len(journal.HEADER), []
    for encoded in ENCODED:
        offset += len(encoded)
        ends.append(offset)
    return ends


def test_records_are_decoded_as_encoded():
    assert journal.decode_segment(SEGMENT) == journal.SegmentContents(RECORDS, False, None)


@pytest.mark.parametrize(
    "record",
    [
        journal.BaseRecord("f", "file", "/f/name", 3),
        journal.WriteRecord("f", "file", 10, 1, 2, b"data"),
        journal.BarrierRecord("f", 2),
        journal.IntentRecord("f", "stamp", ["file", "other"]),
        journal.FlushedRecord("f", "file", 1, 4),
        journal.DiscardedRecord("f", "file"),
        journal.EpochRecord(7),
        journal.SnapshotBeginRecord(7),
        journal.SnapshotEndRecord(7),
    ],
)
def test_each_kind_of_record_is_decoded_as_encoded(record):
    contents = journal.decode_segment(journal.HEADER + journal.encode(record))
    assert contents.records == [record] and type(contents.records[0]) is type(record)


def test_a_record_without_its_fields_is_an_error():
    text = b"{}"
    body = journal.BODY_PREFIX.pack(journal.RecordKind.BARRIER, len(text)) + text
    frame = journal.FRAME_HEADER.pack(len(body), zlib.crc32(body))
    with pytest.raises(RecordError, match=r"a BARRIER record of the log has the fields \{\}"):
        journal.decode_segment(journal.HEADER + frame + body)


@given(strategies.integers(0, len(SEGMENT)))
def test_a_crash_at_any_byte_leaves_the_complete_records_before_it(length):
    contents = journal.decode_segment(SEGMENT[:length])
    complete = sum(end <= length for end in record_ends())
    assert contents.records == RECORDS[:complete] and contents.corrupt_at is None
    assert contents.torn == (length not in (0, len(journal.HEADER), *record_ends()))


@given(strategies.integers(len(journal.HEADER), len(SEGMENT) - 1), strategies.integers(1, 255))
def test_damage_is_told_from_a_torn_end(offset, change):
    segment = bytearray(SEGMENT)
    segment[offset] ^= change
    contents = journal.decode_segment(bytes(segment))
    damaged = sum(end <= offset for end in record_ends())
    assert contents.records == RECORDS[:damaged]
    is_last = damaged == len(RECORDS) - 1
    assert contents.torn == is_last and (contents.corrupt_at is None) == is_last


@given(strategies.binary(min_size=8, max_size=100))
def test_a_file_that_is_no_segment_is_rejected(text):
    if not text.startswith(journal.HEADER):
        with pytest.raises(SegmentError):
            journal.decode_segment(text)


def test_another_format_is_rejected():
    with pytest.raises(SegmentError):
        journal.decode_segment(b"RMXB\0\2\0\0" + SEGMENT[8:])
