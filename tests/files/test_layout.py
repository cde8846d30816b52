"""Extents against a plain array of bytes; paths and home cells."""

import pytest
from hypothesis import given, strategies

from rushmux.files import layout, paths
from rushmux.files.layout import Extent

SIZE = 64
WRITES = strategies.lists(
    strategies.tuples(strategies.integers(0, SIZE - 1), strategies.integers(1, SIZE)), max_size=30
)


def overlaid(writes):
    """Extents of the writes, and for each byte the object and the place in it that should be read."""
    extents, plain = [], [None] * SIZE
    for number, (start, length) in enumerate(writes):
        length = min(length, SIZE - start)
        extents = layout.overlay(extents, Extent(start, length, f"o{number}", number % 3, 0))
        plain[start : start + length] = [(f"o{number}", place) for place in range(length)]
    return extents, plain


def read(extents):
    found = [None] * SIZE
    for extent in extents:
        for place in range(extent.length):
            assert found[extent.start + place] is None, "extents lie over each other"
            found[extent.start + place] = extent.object_name, extent.object_offset + place
    return found


@given(WRITES)
def test_the_last_write_of_each_byte_is_read(writes):
    extents, plain = overlaid(writes)
    assert read(extents) == plain and extents == sorted(extents)
    assert layout.unpack_block(layout.pack_block(extents)) == extents


@given(WRITES, strategies.integers(0, SIZE), strategies.integers(0, SIZE))
def test_extents_are_clipped_and_truncated(writes, start, length):
    extents, plain = overlaid(writes)
    wanted = [byte if start <= place < start + length else None for place, byte in enumerate(plain)]
    assert read(layout.clip(extents, start, length)) == wanted
    assert read(layout.truncate(extents, length)) == plain[:length] + [None] * (SIZE - length)


@given(WRITES, strategies.integers(0, SIZE))
def test_objects_are_dropped_when_no_byte_of_theirs_is_left(writes, length):
    extents, _ = overlaid(writes)
    left = layout.truncate(extents, length)
    gone = {name for _, name in layout.unreferenced(extents, left)}
    assert gone == {extent.object_name for extent in extents} - {extent.object_name for extent in left}


@given(strategies.integers(0, 1000), strategies.integers(0, 1000), strategies.integers(1, 50))
def test_ranges_by_block_cover_a_range_of_a_file(offset, length, block_size):
    covered = [
        number * block_size + start + place
        for number, start, length_in_block in layout.split_by_block(offset, length, block_size)
        for place in range(length_in_block)
    ]
    assert covered == list(range(offset, offset + length))


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
def test_paths_are_split_into_names(path, names):
    assert paths.split(path) == names


@pytest.mark.parametrize(
    "path", ["..", "/../etc", "a/../../b", "a\0b", "x" * 256, "a/" * 65 + "b", "a/" * 4000]
)
def test_invalid_paths_are_rejected(path):
    with pytest.raises(paths.InvalidPathError):
        paths.split(path)


def test_few_folders_move_when_a_cell_is_added():
    names = [f"folder{number}" for number in range(2_000)]
    before, after = ([paths.home_cell(name, cells) for name in names] for cells in (9, 10))
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert all(new == 9 for new in moved) and 120 < len(moved) < 280
    assert len(set(before)) == 9
