"""The log's records: whole, torn and damaged."""

import pytest
from hypothesis import given
from hypothesis import strategies as some

from rushmux.buffer import journal
from rushmux.buffer.disk import Disk, InUse

RECORDS = [
    journal.Record(journal.PUT, {"number": number, "folder": "f"}, bytes([number]) * 40)
    for number in range(1, 6)
]
PACKED = [journal.pack(record.kind, record.data, **record.fields) for record in RECORDS]
TEXT = journal.HEAD + b"".join(PACKED)


def ends():
    at, found = len(journal.HEAD), []
    for packed in PACKED:
        at += len(packed)
        found.append(at)
    return found


def test_records_come_back():
    assert journal.read(TEXT) == journal.Read(RECORDS, False, None)


@given(some.integers(0, len(TEXT)))
def test_a_kill_at_any_byte_leaves_the_whole_records_before_it(at):
    found = journal.read(TEXT[:at])
    whole = sum(end <= at for end in ends())
    assert found.records == RECORDS[:whole] and found.damaged is None
    assert found.torn == (at not in (0, len(journal.HEAD), *ends()))


@given(some.integers(len(journal.HEAD), len(TEXT) - 1), some.integers(1, 255))
def test_damage_is_told_from_a_torn_tail(place, change):
    text = bytearray(TEXT)
    text[place] ^= change
    found = journal.read(bytes(text))
    hurt = sum(end <= place for end in ends())
    assert found.records == RECORDS[:hurt]
    last = hurt == len(RECORDS) - 1
    assert found.torn == last and (found.damaged is None) == last


@given(some.binary(min_size=8, max_size=100))
def test_what_is_no_segment_is_refused(text):
    if not text.startswith(journal.HEAD):
        with pytest.raises(journal.BadSegment):
            journal.read(text)


def test_another_format_is_refused():
    with pytest.raises(journal.BadSegment):
        journal.read(b"RMXB\0\2\0\0" + TEXT[8:])


def test_a_log_is_held_by_one_program(tmp_path):
    disk = Disk(tmp_path / "log")
    with pytest.raises(InUse):
        Disk(tmp_path / "log")
    disk.append("1-1.log", b"abc")
    disk.append("1-1.log", b"def")
    assert disk.read("1-1.log") == b"abcdef" and disk.names() == ["1-1.log"]
    disk.set_aside("1-1.log")
    assert disk.names() == []
