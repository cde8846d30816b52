"""Extents, compared with a model that keeps every byte; paths and home cells."""

import pytest
from hypothesis import given, strategies

from rushmux.files import layout, paths
from rushmux.files.layout import Extent

SIZE = 64
WRITES = strategies.lists(
    strategies.tuples(strategies.integers(0, SIZE - 1), strategies.integers(1, SIZE)), max_size=30
)


def apply_writes(writes):
    """Returns the extents of the writes, and for each byte the object and offset to be read."""
    extents, model = [], [None] * SIZE
    for number, (start, length) in enumerate(writes):
        length = min(length, SIZE - start)
        extents = layout.overlay(extents, Extent(start, length, f"o{number}", number % 3, 0))
        model[start : start + length] = [(f"o{number}", offset) for offset in range(length)]
    return extents, model


def read(extents):
    found = [None] * SIZE
    for extent in extents:
        for offset in range(extent.length):
            assert found[extent.start + offset] is None, "extents overlap"
            found[extent.start + offset] = extent.object_name, extent.object_offset + offset
    return found


@given(WRITES)
def test_the_last_write_of_each_byte_is_read(writes):
    extents, model = apply_writes(writes)
    assert read(extents) == model and extents == sorted(extents)
    assert layout.unpack_block(layout.pack_block(extents)) == extents


@given(WRITES, strategies.integers(0, SIZE), strategies.integers(0, SIZE))
def test_extents_are_clipped_and_truncated(writes, start, length):
    extents, model = apply_writes(writes)
    expected = [byte if start <= offset < start + length else None for offset, byte in enumerate(model)]
    assert read(layout.clip(extents, start, length)) == expected
    assert read(layout.truncate(extents, length)) == model[:length] + [None] * (SIZE - length)


@given(WRITES, strategies.integers(0, SIZE))
def test_objects_without_remaining_bytes_are_unreferenced(writes, length):
    extents, _ = apply_writes(writes)
    remaining = layout.truncate(extents, length)
    dropped = {name for _, name in layout.unreferenced(extents, remaining)}
    assert dropped == {extent.object_name for extent in extents} - {
        extent.object_name for extent in remaining
    }


@given(strategies.integers(0, 1000), strategies.integers(0, 1000), strategies.integers(1, 50))
def test_block_ranges_cover_a_range_of_a_file(offset, length, block_size):
    covered = [
        number * block_size + start + position
        for number, start, length_in_block in layout.split_by_block(offset, length, block_size)
        for position in range(length_in_block)
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
