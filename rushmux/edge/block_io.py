"""Reads and writes file blocks, whose extents are stored as objects."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rushmux.edge.operation_runner import OperationRunner, gather_or_cancel
from rushmux.files import layout
from rushmux.files.layout import Extent


class BlockPart(NamedTuple):
    """A range of one block to read."""

    block_offset: int
    """Offset of the block's start in the result; negative if the block starts before it."""
    extents: Sequence[Extent]
    start: int
    length: int


class BlockExtent(NamedTuple):
    """An extent that a write created, and the number of its block."""

    number: int
    extent: Extent


async def read_parts(runner: OperationRunner, length: int, parts: Iterable[BlockPart]) -> bytes:
    """Reads `length` bytes that span parts of blocks; bytes that no extent covers are zero.

    Raises:
        ObjectMissingError: An object does not exist.
        ObjectCorruptedError: An object's bytes differ from those written.
    """
    wanted = [
        (part.block_offset + extent.start, extent)
        for part in parts
        for extent in layout.clip(part.extents, part.start, part.length)
    ]
    fetched = await gather_or_cancel(
        *(
            runner.read_object(extent.cell, extent.object_name, extent.object_offset, extent.length)
            for _, extent in wanted
        )
    )
    if len(wanted) == 1 and wanted[0][1].length == length:
        return fetched[0]
    data = bytearray(length)
    for (offset, extent), piece in zip(wanted, fetched, strict=True):
        data[offset : offset + extent.length] = piece
    return bytes(data)


async def compact_block(runner: OperationRunner, extents: Sequence[Extent]) -> Extent:
    """Rewrites a block as one object and returns the extent that replaces the given ones.

    It counts as committed with the newest of them, since its parts can't be told apart any more.
    """
    end = max(extent.end for extent in extents)
    data = await read_parts(runner, end, [BlockPart(0, extents, 0, end)])
    stored = await runner.write_object(data)
    versions = [extent.committed_over for extent in extents]
    committed_over = layout.UNKNOWN_VERSION if layout.UNKNOWN_VERSION in versions else max(versions)
    return Extent(0, end, stored.name, stored.cell, 0, committed_over)


async def write_blocks(
    runner: OperationRunner, offset: int, data: bytes, block_size: int
) -> list[BlockExtent]:
    """Writes data at a file offset as new objects, one for each block it touches."""
    ranges = list(layout.split_by_block(offset, len(data), block_size))
    position, pieces = 0, []
    for block_range in ranges:
        pieces.append(data[position : position + block_range.length])
        position += block_range.length
    stored = await gather_or_cancel(*(runner.write_object(piece) for piece in pieces))
    return [
        BlockExtent(number, Extent(start, length, object_.name, object_.cell, 0))
        for (number, start, length), object_ in zip(ranges, stored, strict=True)
    ]
