"""How files lie on storage nodes: rows of a folder's names, blocks, extents; no I/O.

Rows, all of one folder in its home cell:

    d/PARENT/NAME   entry of a directory: the id and the kind of what it names
    i/ID            a file or directory: its attributes and, for a file, the id of its data
    b/DATA/NUMBER   a block of a file: the extents that make it up, in order
    x/MARK          garbage, objects to be dropped: {"objects": [[cell, object], ...]}
                    or all of a file's: {"data": ID}

Objects are written once under a name never used again and are changed by nobody; a block's row names them
only after they were answered as written.  A write that was taken for lost and runs late makes an object that
no row names.
"""

from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum
from typing import NamedTuple

import orjson

ROOT = "0"  # id of a folder's own directory, which has no row
BLOCK_DIGITS = 9  # decimal digits of a block's number, so that keys sort as numbers do


class FileKind(StrEnum):
    """What an entry of a directory names; values as in the rows."""

    FILE = "f"
    DIRECTORY = "d"


class Extent(NamedTuple):
    """Bytes `start` to `start + length` of a block: those of an object from `object_offset` on."""

    start: int
    length: int
    object_name: str
    cell: int
    object_offset: int

    @property
    def end(self) -> int:
        """The first byte of the block past it."""
        return self.start + self.length


class FileRow(NamedTuple):
    """Row of a file or a directory; times in seconds since 1970."""

    kind: FileKind
    mode: int
    size: int = 0
    mtime: int = 0
    atime: int = 0
    uid: int = 0
    gid: int = 0
    data_id: str = ""
    """Names its blocks; it changes when the file is emptied."""
    block_size: int = 0
    """Bytes in a block."""
    batch_stamp: str = ""
    """Stamp of the write-back batch that changed it last."""


class Entry(NamedTuple):
    """Entry of a directory."""

    file_id: str
    kind: FileKind


class KeyRange(NamedTuple):
    """The keys that lie between two, neither included."""

    after: str
    below: str


class BlockRange(NamedTuple):
    """Bytes of one block."""

    number: int
    start: int
    length: int


class Garbage(NamedTuple):
    """Objects to be dropped: (cell, object) each, and all of a file's by the id of its data ("": none)."""

    objects: Sequence[tuple[int, str]]
    data_id: str


GARBAGE_KEYS = KeyRange("x/", "x0")  # "0" sorts just after "/"


# Keys.


def entry_key(parent_id: str, name: str) -> str:
    """Key of a directory's entry."""
    return f"d/{parent_id}/{name}"


def file_key(file_id: str) -> str:
    """Key of a file's or a directory's row."""
    return f"i/{file_id}"


def block_key(data_id: str, number: int) -> str:
    """Key of a block's row."""
    return f"b/{data_id}/{number:0{BLOCK_DIGITS}d}"


def block_number(key: str) -> int:
    """The number in a block's key."""
    return int(key.rsplit("/", 1)[1])


def garbage_key(unique_name: str) -> str:
    """Key of a row of garbage."""
    return f"x/{unique_name}"


def entry_keys(parent_id: str) -> KeyRange:
    """The keys of the entries of a directory."""
    return KeyRange(f"d/{parent_id}/", f"d/{parent_id}0")


def block_keys(data_id: str, first: int = 0) -> KeyRange:
    """The keys of a file's blocks from block `first` on."""
    return KeyRange(block_key(data_id, first - 1) if first else f"b/{data_id}/", f"b/{data_id}0")


def max_file_size(block_size: int) -> int:
    """Bytes of the largest file with blocks of so many bytes."""
    return block_size * 10**BLOCK_DIGITS


# Values.


def pack_entry(file_id: str, kind: FileKind) -> bytes:
    """Value of a directory's entry."""
    return orjson.dumps([file_id, kind])


def unpack_entry(value: bytes) -> Entry:
    """The entry of a row's value."""
    file_id, kind = orjson.loads(value)
    return Entry(file_id, FileKind(kind))


def pack_file(file: FileRow) -> bytes:
    """Value of a file's or a directory's row."""
    return orjson.dumps(tuple(file))


def unpack_file(value: bytes) -> FileRow:
    """The file or directory of a row's value."""
    kind, *rest = orjson.loads(value)
    return FileRow(FileKind(kind), *rest)


def pack_block(extents: Iterable[Extent]) -> bytes:
    """Value of a block's row."""
    return orjson.dumps([tuple(extent) for extent in extents])


def unpack_block(value: bytes) -> list[Extent]:
    """The extents of a block's value."""
    return [Extent(*row) for row in orjson.loads(value)]


def pack_garbage_objects(objects: Sequence[tuple[int, str]]) -> bytes:
    """Value of a row of garbage: objects as (cell, object)."""
    return orjson.dumps({"objects": objects})


def pack_garbage_data(data_id: str) -> bytes:
    """Value of a row of garbage: all objects of a file's data."""
    return orjson.dumps({"data": data_id})


def unpack_garbage(value: bytes) -> Garbage:
    """The garbage of a row's value."""
    fields = orjson.loads(value)
    return Garbage(fields.get("objects", ()), fields.get("data", ""))


# Extents.


def split_by_block(offset: int, length: int, block_size: int) -> Iterator[BlockRange]:
    """Cuts a range of a file by blocks, in order."""
    end = offset + length
    while offset < end:
        number, start = divmod(offset, block_size)
        part = min(block_size - start, end - offset)
        yield BlockRange(number, start, part)
        offset += part


def overlay(extents: Iterable[Extent], new: Extent) -> list[Extent]:
    """The extents with `new` over them: what it covers goes, what it cuts stays in part."""
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
    # An extent that lies whole on one side was appended once by one of the two lines above.
    result.append(new)
    return sorted(result)


def truncate(extents: Iterable[Extent], length: int) -> list[Extent]:
    """What is left of a block of which `length` bytes stay."""
    return [
        extent._replace(length=min(extent.length, length - extent.start))
        for extent in extents
        if extent.start < length
    ]


def clip(extents: Iterable[Extent], start: int, length: int) -> list[Extent]:
    """The parts of the extents that lie in a range, cut to it."""
    result = []
    for extent in extents:
        low, high = max(start, extent.start), min(start + length, extent.end)
        if low < high:
            skipped = low - extent.start
            result.append(
                Extent(low, high - low, extent.object_name, extent.cell, extent.object_offset + skipped)
            )
    return result


def unreferenced(before: Iterable[Extent], after: Iterable[Extent]) -> list[tuple[int, str]]:
    """Objects that the extents before name and those after do not: (cell, object), each once."""
    referenced = {extent.object_name for extent in after}
    cell_of = {extent.object_name: extent.cell for extent in before if extent.object_name not in referenced}
    return [(cell, name) for name, cell in cell_of.items()]
