"""How files lie on the nodes: rows of a folder's names, blocks, extents; no I/O.

Rows, all of one folder in its home cell:

    d/PARENT/NAME   entry of a directory: the id and the kind of what it names
    i/ID            a file or directory: its attributes and, for a file, where its blocks begin
    b/DATA/NUMBER   a block of a file: the extents that make it up, in order
    x/MARK          objects of no more use, to be dropped: {"objects": [[cell, object], ...]}
                    or a whole file's: {"data": ID}

Objects are written once under a name never used again and are changed by nobody; a block's row
names them only after they were answered as written.  A write that was held for lost and runs
late makes an object that no row names.
"""

from typing import NamedTuple

import orjson

ROOT = "0"  # id of a folder's own directory, which has no row
BLOCK_DIGITS = 9  # decimal digits of a block's number, so that keys sort as numbers do


class Extent(NamedTuple):
    """Bytes `start` to `start + length` of a block: those from `skip` on of an object at a cell."""

    start: int
    length: int
    object: str
    cell: int
    skip: int

    @property
    def end(self):
        return self.start + self.length


class File(NamedTuple):
    """Row of a file or a directory.  `data` names its blocks; it changes when the file is emptied."""

    kind: str  # "f" or "d"
    mode: int
    size: int = 0
    mtime: int = 0
    atime: int = 0
    uid: int = 0
    gid: int = 0
    data: str = ""
    block: int = 0  # bytes in a block
    by: str = ""  # stamp of the write-back batch that changed it last


def entry_key(parent: str, name: str) -> str:
    return f"d/{parent}/{name}"


def file_key(number: str) -> str:
    return f"i/{number}"


def block_key(data: str, number: int) -> str:
    return f"b/{data}/{number:0{BLOCK_DIGITS}d}"


def entries_of(parent: str) -> tuple[str, str]:
    """The keys between which the entries of a directory lie; "0" sorts just after "/"."""
    return f"d/{parent}/", f"d/{parent}0"


def blocks_of(data: str, first: int = 0) -> tuple[str, str]:
    """The keys between which a file's blocks lie, from block `first` on."""
    return (block_key(data, first - 1) if first else f"b/{data}/"), f"b/{data}0"


def most_bytes(block: int) -> int:
    """The largest size of a file with blocks of so many bytes."""
    return block * 10**BLOCK_DIGITS


def pack_entry(number: str, kind: str) -> bytes:
    return orjson.dumps([number, kind])


def unpack_entry(value: bytes) -> tuple[str, str]:
    number, kind = orjson.loads(value)
    return number, kind


def pack_file(file: File) -> bytes:
    return orjson.dumps(tuple(file))


def unpack_file(value: bytes) -> File:
    return File(*orjson.loads(value))


def pack_block(extents) -> bytes:
    return orjson.dumps([tuple(extent) for extent in extents])


def unpack_block(value: bytes) -> list[Extent]:
    return [Extent(*row) for row in orjson.loads(value)]


def pieces(offset: int, length: int, block: int):
    """Cuts a stretch of a file by blocks: (number of the block, start in it, length) in order."""
    end = offset + length
    while offset < end:
        number, start = divmod(offset, block)
        part = min(block - start, end - offset)
        yield number, start, part
        offset += part


def lay(extents, new: Extent) -> list[Extent]:
    """The extents with `new` over them: what it covers goes, what it cuts stays in part."""
    laid = []
    for old in extents:
        if old.start < new.start:
            laid.append(old._replace(length=min(old.length, new.start - old.start)))
        if old.end > new.end:
            cut = max(0, new.end - old.start)
            laid.append(old._replace(start=old.start + cut, length=old.length - cut, skip=old.skip + cut))
    # An extent that lies whole on one side was appended once by one of the two lines above.
    laid.append(new)
    return sorted(laid)


def cut(extents, length: int) -> list[Extent]:
    """What is left of a block of which `length` bytes stay."""
    return [
        extent._replace(length=min(extent.length, length - extent.start))
        for extent in extents
        if extent.start < length
    ]


def within(extents, start: int, length: int) -> list[Extent]:
    """The parts of the extents that lie in a stretch, cut to it."""
    found = []
    for extent in extents:
        low, high = max(start, extent.start), min(start + length, extent.end)
        if low < high:
            found.append(
                Extent(low, high - low, extent.object, extent.cell, extent.skip + low - extent.start)
            )
    return found


def dropped(before, after) -> list[tuple[int, str]]:
    """Objects that the extents before name and those after do not: (cell, object), each once."""
    kept = {extent.object for extent in after}
    gone = {}
    for extent in before:
        if extent.object not in kept:
            gone[extent.object] = extent.cell
    return [(cell, name) for name, cell in gone.items()]
