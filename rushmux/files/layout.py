"""The layout of files on storage nodes: rows, blocks and extents; no I/O.

A folder's rows are all stored in its home cell:

    d/PARENT/NAME   directory entry: id and kind of a file or directory
    i/ID            file or directory: attributes and, for a file, its data id
    b/DATA/NUMBER   block of a file: its extents, in order
    x/MARK          garbage, objects to drop: {"objects": [[cell, object], ...]},
                    or all objects of a file: {"data": ID}

Objects are immutable and their names are never reused.  A block's row refers to an object only after its
write was acknowledged, so a write that was given up and runs late creates an object that no row refers to.
"""

from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum
from typing import NamedTuple

import orjson

ROOT = "0"  # id of a folder's top directory, which has no row
BLOCK_DIGITS = 9  # block numbers are zero-padded, so that keys sort numerically
UNKNOWN_VERSION = -1
"""In rows of earlier program versions, and of deployments in which no edge buffers writes; not encoded."""


class FileKind(StrEnum):
    """The kind of a directory entry, as stored in rows."""

    FILE = "f"
    DIRECTORY = "d"


class Extent(NamedTuple):
    """Bytes `start` to `start + length` of a block, stored in an object at `object_offset`."""

    start: int
    length: int
    object_name: str
    cell: int
    object_offset: int
    committed_over: int = UNKNOWN_VERSION
    """Version of the file's row that was replaced when the extent became visible."""

    @property
    def end(self) -> int:
        """Block offset just past the extent."""
        return self.start + self.length


class FileRow(NamedTuple):
    """Row of a file or directory; times in seconds since 1970."""

    kind: FileKind
    mode: int
    size: int = 0
    mtime: int = 0
    atime: int = 0
    uid: int = 0
    gid: int = 0
    data_id: str = ""
    """Id in the keys of the file's blocks; replaced when an open truncates the file."""
    block_size: int = 0
    """Block size in bytes."""
    batch_stamp: str = ""
    """Stamp of the last write-back batch that changed the file; cleared by other writes."""
    cut_over: int = UNKNOWN_VERSION
    """Version of this row that was replaced when the file was last truncated."""


class Entry(NamedTuple):
    """A directory entry."""

    file_id: str
    kind: FileKind


class KeyRange(NamedTuple):
    """The keys strictly between two keys."""

    after: str
    below: str


class BlockRange(NamedTuple):
    """A byte range of one block."""

    number: int
    start: int
    length: int


class Garbage(NamedTuple):
    """Objects to drop, each (cell, object), and all objects of a data id (empty: none)."""

    objects: Sequence[tuple[int, str]]
    data_id: str


GARBAGE_KEYS = KeyRange("x/", "x0")  # "0" sorts just after "/"


# Keys.


def entry_key(parent_id: str, name: str) -> str:
    """Returns a directory entry's key."""
    return f"d/{parent_id}/{name}"


def file_key(file_id: str) -> str:
    """Returns a file or directory row's key."""
    return f"i/{file_id}"


def block_key(data_id: str, number: int) -> str:
    """Returns a block row's key."""
    return f"b/{data_id}/{number:0{BLOCK_DIGITS}d}"


def block_number(key: str) -> int:
    """Returns the number in a block row's key."""
    return int(key.rsplit("/", 1)[1])


def garbage_key(unique_name: str) -> str:
    """Returns a garbage row's key."""
    return f"x/{unique_name}"


def entry_keys(parent_id: str) -> KeyRange:
    """Returns the keys of a directory's entries."""
    return KeyRange(f"d/{parent_id}/", f"d/{parent_id}0")


def block_keys(data_id: str, first: int = 0) -> KeyRange:
    """Returns the keys of a file's blocks from `first` on."""
    return KeyRange(block_key(data_id, first - 1) if first else f"b/{data_id}/", f"b/{data_id}0")


def max_file_size(block_size: int) -> int:
    """Returns the maximum size of a file."""
    return block_size * 10**BLOCK_DIGITS


# Values.


def pack_entry(file_id: str, kind: FileKind) -> bytes:
    """Encodes a directory entry's value."""
    return orjson.dumps([file_id, kind])


def unpack_entry(value: bytes) -> Entry:
    """Decodes a directory entry's value."""
    file_id, kind = orjson.loads(value)
    return Entry(file_id, FileKind(kind))


def pack_file(file: FileRow) -> bytes:
    """Encodes a file or directory row's value."""
    return orjson.dumps(_encoded_fields(file))


def unpack_file(value: bytes) -> FileRow:
    """Decodes a file or directory row's value."""
    kind, *rest = orjson.loads(value)
    return FileRow(FileKind(kind), *rest)


def pack_block(extents: Iterable[Extent]) -> bytes:
    """Encodes a block row's value."""
    return orjson.dumps([_encoded_fields(extent) for extent in extents])


def unpack_block(value: bytes) -> list[Extent]:
    """Decodes a block row's value."""
    return [Extent(*row) for row in orjson.loads(value)]


def pack_garbage_objects(objects: Sequence[tuple[int, str]]) -> bytes:
    """Encodes a garbage row's value for objects, each (cell, object)."""
    return orjson.dumps({"objects": objects})


def pack_garbage_data(data_id: str) -> bytes:
    """Encodes a garbage row's value for all objects of a data id."""
    return orjson.dumps({"data": data_id})


def unpack_garbage(value: bytes) -> Garbage:
    """Decodes a garbage row's value."""
    fields = orjson.loads(value)
    return Garbage(fields.get("objects", ()), fields.get("data", ""))


def _encoded_fields(value: FileRow | Extent) -> tuple:
    """Returns the fields to encode; the last one is a version, and left out if it is unknown."""
    fields = tuple(value)
    return fields[:-1] if fields[-1] == UNKNOWN_VERSION else fields


# Extents.


def split_by_block(offset: int, length: int, block_size: int) -> Iterator[BlockRange]:
    """Splits a range of a file at block boundaries, in order."""
    end = offset + length
    while offset < end:
        number, start = divmod(offset, block_size)
        part = min(block_size - start, end - offset)
        yield BlockRange(number, start, part)
        offset += part


def overlay(extents: Iterable[Extent], new: Extent) -> list[Extent]:
    """Returns the extents with `new` written over them."""
    result = []
    for old in extents:
        if old.start < new.start:
            result.append(old._replace(length=min(old.length, new.start - old.start)))
        if old.end > new.end:
            cut = max(0, new.end - old.start)
            result.append(
                old._replace(
                    start=old.start + cut, length=old.length - cut, object_offset=old.object_offset + cut
                )
            )
    # An extent that does not overlap `new` met one of the conditions and is unchanged.
    result.append(new)
    return sorted(result)


def truncate(extents: Iterable[Extent], length: int) -> list[Extent]:
    """Returns the extents of a block that is truncated to `length` bytes."""
    return [
        extent._replace(length=min(extent.length, length - extent.start))
        for extent in extents
        if extent.start < length
    ]


def clip(extents: Iterable[Extent], start: int, length: int) -> list[Extent]:
    """Returns the parts of extents that lie within a range."""
    result = []
    for extent in extents:
        low, high = max(start, extent.start), min(start + length, extent.end)
        if low < high:
            object_offset = extent.object_offset + low - extent.start
            result.append(extent._replace(start=low, length=high - low, object_offset=object_offset))
    return result


def unreferenced(before: Iterable[Extent], after: Iterable[Extent]) -> list[tuple[int, str]]:
    """Returns each (cell, object) that extents refer to before and not after."""
    referenced = {extent.object_name for extent in after}
    cell_of = {extent.object_name: extent.cell for extent in before if extent.object_name not in referenced}
    return [(cell, name) for name, cell in cell_of.items()]
