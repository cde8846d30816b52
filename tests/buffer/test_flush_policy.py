"""What the buffer decides, on a clock of the test's own."""

import pytest

from rushmux.buffer.flush_policy import REFUSE, TAKE, WAIT, Buffer, Caps

CAPS = Caps(
    edge_bytes=3_000,
    folder_bytes=2_000,
    age=2.0,
    keep=10.0,
    idle=0.3,
    batch_files=3,
    batch_bytes=1_000,
    out=2,
    background=0.5,
)


@pytest.fixture
def buffer():
    return Buffer(CAPS, lambda folder: 10.0, lambda size: 1.0 + size // 1_000)


def put(buffer, number, size=100, now=0.0, folder="f", start=0):
    file = buffer.file(folder, number, f"/{folder}/{number}")
    buffer.put(file, start, b"x" * size, now)
    return file


def names(batch):
    return [part.file.number for part in batch.parts]


def test_what_is_held_is_bounded(buffer):
    assert buffer.admit("f", 2_001, 0.0) == REFUSE
    put(buffer, "a", 1_500)
    assert buffer.admit("f", 500, 0.0) == TAKE and buffer.admit("f", 501, 0.0) == WAIT
    put(buffer, "b", 1_400, folder="g")
    assert buffer.admit("h", 101, 0.0) == WAIT and buffer.admit("h", 100, 0.0) == TAKE
    put(buffer, "a", 1_500, start=0)  # over the same bytes: nothing more is held
    assert buffer.bytes == 2_900


def test_what_cannot_get_out_stops_new_packets_until_it_does(buffer):
    put(buffer, "a")
    batch, _ = buffer.next(1.0)
    assert buffer.admit("f", 1, 9.0) == TAKE  # old, but nothing has failed
    buffer.failed(batch, 1.0, "no")
    assert buffer.admit("f", 1, 2.9) == TAKE and buffer.admit("f", 1, 3.1) == WAIT
    assert buffer.admit("g", 1, 3.1) == TAKE
    batch, _ = buffer.next(3.2)
    buffer.committed(batch, 3.3, {})
    assert buffer.admit("f", 1, 3.4) == TAKE


def test_an_idle_file_waits_for_more_and_goes_then(buffer):
    put(buffer, "a")
    assert buffer.next(0.0) == (None, pytest.approx(0.3))
    batch, _ = buffer.next(0.31)
    assert names(batch) == ["a"] and not batch.hurried


def test_a_busy_file_goes_when_its_oldest_packet_is_old(buffer):
    for step in range(11):
        file = put(buffer, "a", now=step * 0.2, start=step * 50)
        if step < 10:
            assert buffer.next(step * 0.2)[0] is None
    assert names(buffer.next(2.0)[0]) == ["a"] and not file.layers[0].index.chunks


def test_unhurried_batches_keep_to_the_budget(buffer):
    buffer.caps = CAPS._replace(age=100.0)
    taken = 0
    for step in range(100):
        now = step * 0.1
        put(buffer, f"a{step}", now=now - 0.5)
        batch, _ = buffer.next(now)
        if batch is not None:
            taken += 1
            buffer.committed(batch, now, {})
    # Five units a second for ten seconds, one or two for a batch, and one second saved up.
    assert 25 <= taken <= 56


def test_a_flush_goes_before_all_else_and_raises_what_it_waits_for(buffer):
    put(buffer, "old", now=-5.0, folder="g")
    put(buffer, "a")
    buffer.barrier("f")
    wanted = put(buffer, "b")
    buffer.folder("f").wanted_barrier = -1
    number = buffer.want(wanted)
    first, _ = buffer.next(0.0)
    assert first.folder.name == "f" and names(first) == ["a"] and first.hurried
    assert not buffer.is_out(wanted, number)
    buffer.committed(first, 0.1, {})
    second, _ = buffer.next(0.1)
    assert names(second) == ["b"] and second.hurried
    buffer.committed(second, 0.2, {})
    assert buffer.is_out(wanted, number)


def test_no_layer_goes_before_the_one_below_it_is_out(buffer):
    file = put(buffer, "a")
    barrier = buffer.barrier("f")
    put(buffer, "a", start=50)
    put(buffer, "b")
    first, _ = buffer.next(0.0)
    assert names(first) == ["a"] and first.barrier == barrier
    assert buffer.next(0.0)[0] is None  # one batch for a folder
    buffer.failed(first, 0.0, "no")
    again, _ = buffer.next(0.2)
    assert names(again) == ["a"] and again.barrier == barrier and not buffer.is_past("f", barrier)
    buffer.committed(again, 0.3, {})
    assert buffer.is_past("f", barrier) and file.dirty
    assert sorted(names(buffer.next(3.0)[0])) == ["a", "b"]


def test_packets_that_come_while_a_batch_is_out_are_not_in_it(buffer):
    file = put(buffer, "a")
    number = buffer.want(file)
    batch, _ = buffer.next(0.0)
    put(buffer, "a", start=50, now=0.1)
    assert [(piece.start, piece.end) for piece in file.overlay(0, 1_000)] == [(0, 100), (50, 150)]
    assert batch.parts[0].index.end == 100
    buffer.committed(batch, 0.2, {})
    assert buffer.is_out(file, number) and file.dirty and buffer.bytes == 100
    batch, _ = buffer.next(3.0)
    buffer.committed(batch, 3.0, {})
    assert buffer.bytes == 0 and buffer.known("f", "a") is None


def test_a_failed_batch_comes_back_under_what_is_newer(buffer):
    file = put(buffer, "a")
    batch, _ = buffer.next(1.0)
    buffer.put(file, 50, b"y" * 100, 1.0)
    buffer.failed(batch, 1.1, "no")
    assert bytes(b"".join(piece.data for piece in file.overlay(0, 200))) == b"x" * 50 + b"y" * 100
    assert buffer.bytes == 150 and buffer.next(1.15)[0] is None and buffer.next(1.3)[0] is not None


def test_what_cannot_be_written_out_is_given_up_with_all_above_it_and_told_once(buffer):
    put(buffer, "a")
    buffer.barrier("f")
    above = put(buffer, "b")
    other = put(buffer, "c", folder="g")
    now = 0.0
    while buffer.folder("f").bytes:
        batch, again = buffer.next(now)
        if batch is None:
            now = max(again, now + 0.01)
        elif batch.folder.name == "f":
            buffer.failed(batch, now, "no node")
        else:
            buffer.committed(batch, now, {})
    assert 10.0 <= now <= 16.0
    lost = buffer.known("f", "a")
    assert "no node" in buffer.take_error(lost) and buffer.take_error(lost) is None
    assert "/f/b" in buffer.take_error(above) and buffer.take_error(other) is None
    assert buffer.bytes == 0 and not buffer.folder("f").files


def test_a_batch_is_bounded(buffer):
    for number in range(5):
        put(buffer, f"f{number}", 400, folder="f", now=number / 10)
    batch, _ = buffer.next(5.0)
    assert names(batch) == ["f0", "f1"]


def test_a_file_that_is_gone_drops_its_own_packets_only(buffer):
    gone, kept = put(buffer, "a"), put(buffer, "b")
    batch, _ = buffer.next(5.0)
    buffer.committed(batch, 5.0, {gone: "the file was removed"})
    assert buffer.take_error(gone) == "/f/a: the file was removed" and buffer.take_error(kept) is None


def test_a_flush_that_cannot_make_it_is_known(buffer):
    assert buffer.can_make_it(0.01)
    for _ in range(6):
        put(buffer, "a")
        batch, _ = buffer.next(buffer.count * 10.0)
        buffer.committed(batch, batch.begun + 0.5, {})
    assert buffer.can_make_it(0.6) and not buffer.can_make_it(0.4)
