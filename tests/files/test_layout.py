"""Blocks and extents against a plain array of bytes; names of cells."""

import pytest
from hypothesis import given
from hypothesis import strategies as some

from rushmux.files import layout, paths
from rushmux.files.layout import Extent

SIZE = 64
WRITES = some.lists(some.tuples(some.integers(0, SIZE - 1), some.integers(1, SIZE)), max_size=30)


def laid(writes):
    """Extents of the writes, and for each byte the object and the place in it that should be read."""
    extents, plain = [], [None] * SIZE
    for number, (start, length) in enumerate(writes):
        length = min(length, SIZE - start)
        extents = layout.lay(extents, Extent(start, length, f"o{number}", number % 3, 0))
        plain[start : start + length] = [(f"o{number}", place) for place in range(length)]
    return extents, plain


def read(extents):
    found = [None] * SIZE
    for extent in extents:
        for place in range(extent.length):
            assert found[extent.start + place] is None, "extents lie over each other"
            found[extent.start + place] = extent.object, extent.skip + place
    return found


@given(WRITES)
def test_the_last_write_of_each_byte_is_read(writes):
    extents, plain = laid(writes)
    assert read(extents) == plain and extents == sorted(extents)
    assert layout.unpack_block(layout.pack_block(extents)) == extents


@given(WRITES, some.integers(0, SIZE), some.integers(0, SIZE))
def test_parts_of_a_block(writes, start, length):
    extents, plain = laid(writes)
    wanted = [byte if start <= place < start + length else None for place, byte in enumerate(plain)]
    assert read(layout.within(extents, start, length)) == wanted
    assert read(layout.cut(extents, length)) == plain[:length] + [None] * (SIZE - length)


@given(WRITES, some.integers(0, SIZE))
def test_objects_are_dropped_when_no_byte_of_theirs_is_left(writes, length):
    extents, _ = laid(writes)
    left = layout.cut(extents, length)
    gone = {name for _, name in layout.dropped(extents, left)}
    assert gone == {extent.object for extent in extents} - {extent.object for extent in left}


@given(some.integers(0, 1000), some.integers(0, 1000), some.integers(1, 50))
def test_pieces_cover_a_stretch(offset, length, block):
    bytes_ = [
        number * block + start + place
        for number, start, part in layout.pieces(offset, length, block)
        for place in range(part)
    ]
    assert bytes_ == list(range(offset, offset + length))


@pytest.mark.parametrize(
    "path, names",
    [
        ("", ()),
        ("/", ()),
        (".", ()),
        ("a/b", ("a", "b")),
        ("/a//b/./c/", ("a", "b", "c")),
        ("/a/../b", ("b",)),
    ],
)
def test_paths(path, names):
    assert paths.split(path) == names


@pytest.mark.parametrize(
    "path", ["..", "/../etc", "a/../../b", "a\0b", "x" * 256, "a/" * 65 + "b", "a/" * 4000]
)
def test_paths_that_are_not_taken(path):
    with pytest.raises(paths.BadPath):
        paths.split(path)


def test_few_folders_move_when_a_cell_is_added():
    names = [f"folder{number}" for number in range(2_000)]
    before, after = ([paths.home(name, cells) for name in names] for cells in (9, 10))
    moved = [new for old, new in zip(before, after) if old != new]
    assert all(new == 9 for new in moved) and 120 < len(moved) < 280
    assert len(set(before)) == 9
