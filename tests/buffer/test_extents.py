"""The extent index, compared with a plain array of bytes."""

from itertools import pairwise

import pytest
from hypothesis import given, strategies

from rushmux.buffer import extents
from rushmux.buffer.extents import ExtentIndex
from rushmux.buffer.linear_extents import LinearExtentIndex

SIZE, MAX_WRITE = 400, 60  # bytes of the file, and of a write
WRITES = strategies.lists(
    strategies.tuples(strategies.integers(0, SIZE - 1), strategies.integers(1, MAX_WRITE)), max_size=120
)


@pytest.fixture(autouse=True, scope="module")
def short_chunks():
    """Makes chunks small, so that splits and insertions across chunks are common."""
    before, extents.MAX_CHUNK = extents.MAX_CHUNK, 4
    yield
    extents.MAX_CHUNK = before


def written(writes, index_type=ExtentIndex):
    """An index after some writes, and the expected newest write of each byte of the file."""
    index, expected = index_type(), [None] * (SIZE + MAX_WRITE)
    for sequence, (start, length) in enumerate(writes):
        index.insert(start, bytes([sequence % 251]) * length, sequence)
        expected[start : start + length] = [sequence] * length
    return index, expected


def sequences(index):
    """The write of each byte of the file according to the index."""
    found, last_end = [None] * (SIZE + MAX_WRITE), 0
    for extent in index:
        assert extent.start >= last_end and extent.end - extent.start == len(extent.data)
        assert set(extent.data) == {extent.sequence % 251}
        found[extent.start : extent.end] = [extent.sequence] * len(extent.data)
        last_end = extent.end
    return found


@given(WRITES)
def test_each_byte_is_that_of_the_newest_write(writes):
    index, expected = written(writes)
    assert sequences(index) == expected == sequences(written(writes, LinearExtentIndex)[0])
    assert index.byte_count == sum(sequence is not None for sequence in expected)
    assert index.chunk_starts == [chunk[0].start for chunk in index.chunks] and all(index.chunks)


@given(WRITES, strategies.integers(0, SIZE), strategies.integers(0, 100))
def test_overlapping_extents_are_clipped_to_the_range(writes, start, length):
    index, expected = written(writes)
    found = [None] * length
    for extent in index.overlapping(start, start + length):
        found[extent.start - start : extent.end - start] = [extent.sequence] * len(extent.data)
    assert found == (expected[start : start + length] + [None] * length)[:length]


@given(WRITES, strategies.integers(1, 100))
def test_runs_are_adjacent_extents_within_a_block(writes, block_size):
    index, expected = written(writes)
    found, ends = [None] * len(expected), []
    for run in index.runs(block_size):
        start = run[0].start
        assert start // block_size == (run[-1].end - 1) // block_size
        assert all(before.end == after.start for before, after in pairwise(run))
        assert not ends or start > ends[-1] or start % block_size == 0
        ends.append(run[-1].end)
        for extent in run:
            found[extent.start : extent.end] = [extent.sequence] * len(extent.data)
    assert found == expected
