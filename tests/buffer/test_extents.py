"""The dirty index against a plain array of bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as some

from rushmux.buffer import extents
from rushmux.buffer.extents import Extents, PlainExtents

SIZE = 400
PUTS = some.lists(some.tuples(some.integers(0, SIZE - 1), some.integers(1, 60)), max_size=120)


@pytest.fixture(autouse=True, scope="module")
def short_chunks():
    """Chunks are cut and covered in short runs."""
    before, extents.CHUNK = extents.CHUNK, 4
    yield
    extents.CHUNK = before


def laid(puts, kind=Extents):
    index, plain = kind(), [None] * (SIZE + 60)
    for number, (start, length) in enumerate(puts):
        index.put(start, bytes([number % 251]) * length, number)
        plain[start : start + length] = [number] * length
    return index, plain


def shown(index):
    found, last = [None] * (SIZE + 60), 0
    for piece in index:
        assert piece.start >= last and piece.end - piece.start == len(piece.data)
        assert set(piece.data) == {piece.number % 251}
        found[piece.start : piece.end] = [piece.number] * len(piece.data)
        last = piece.end
    return found


@given(PUTS)
def test_the_newest_packet_is_found_at_each_byte(puts):
    index, plain = laid(puts)
    assert shown(index) == plain == shown(laid(puts, PlainExtents)[0])
    assert index.bytes == sum(byte is not None for byte in plain)
    assert index.firsts == [chunk[0].start for chunk in index.chunks] and all(index.chunks)


@given(PUTS, some.integers(0, SIZE), some.integers(0, 100))
def test_a_stretch(puts, start, length):
    index, plain = laid(puts)
    found = [None] * length
    for piece in index.within(start, start + length):
        found[piece.start - start : piece.end - start] = [piece.number] * len(piece.data)
    assert found == (plain[start : start + length] + [None] * length)[:length]


@given(PUTS, some.integers(1, 100))
def test_runs_are_what_lies_together_within_a_block(puts, block):
    index, plain = laid(puts)
    found, ends = [None] * len(plain), []
    for start, pieces in index.runs(block):
        assert start == pieces[0].start and start // block == (pieces[-1].end - 1) // block
        assert all(one.end == other.start for one, other in zip(pieces, pieces[1:]))
        assert not ends or start > ends[-1] or start % block == 0
        ends.append(pieces[-1].end)
        for piece in pieces:
            found[piece.start : piece.end] = [piece.number] * len(piece.data)
    assert found == plain
