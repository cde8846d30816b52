"""Reads and writes the bytes of blocks: extents to objects and back."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rushmux.edge.operation_runner import OperationRunner, gather_or_cancel
from rushmux.files import layout
from rushmux.files.layout import Extent


class BlockPart(NamedTuple):
    """A range of one block that is to be read."""

    block_offset: int
    """Where the block begins in what is read; negative: before it."""
    extents: Sequence[Extent]
    start: int
    length: int


class BlockExtent(NamedTuple):
    """An extent of a block that a write made."""

    number: int
    extent: Extent


async def read_parts(runner: OperationRunner, length: int, parts: Iterable[BlockPart]) -> bytes:
    """`length` bytes put together from parts of blocks; what no extent covers is zeros.

    Raises:
        ObjectMissingError: An object is not there.
        ObjectCorruptedError: An object came back other than it was written.
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
    """Writes a block of many extents anew as one object; the extent that replaces them."""
    end = max(extent.end for extent in extents)
    data = await read_parts(runner, end, [BlockPart(0, extents, 0, end)])
    stored = await runner.write_object(data)
    return Extent(0, end, stored.name, stored.cell, 0)


async def write_blocks(
    runner: OperationRunner, offset: int, data: bytes, block_size: int
) -> list[BlockExtent]:
    """Writes bytes from an offset of a file on as new objects, one for each block that they touch."""
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
