"""An index of the newest bytes written to each place of a file; no I/O.

Extents never overlap.  They are kept in order in chunks of bounded length, so that an insertion moves some
hundred references, not all of them.  Bytes are never copied: an extent is a view of its write's data.
"""

from bisect import bisect_right
from collections.abc import Iterator
from typing import NamedTuple

MAX_CHUNK = 512  # extents per chunk before it is split: this many are moved in a microsecond


class BufferedExtent(NamedTuple):
    """A range of bytes of one write."""

    start: int  # offset in the file
    end: int  # one past the last byte
    sequence: int  # sequence number of the write
    data: memoryview

    def clipped(self, start: int, end: int) -> "BufferedExtent":
        """The part within a range that overlaps this extent."""
        if start <= self.start and self.end <= end:
            return self
        low, high = max(start, self.start), min(end, self.end)
        return BufferedExtent(low, high, self.sequence, self.data[low - self.start : high - self.start])


class Position(NamedTuple):
    """The position of an extent: index of its chunk, and index in it."""

    chunk: int
    place: int


class ExtentIndex:
    """Extents in the order of their offsets.

    Attributes:
        chunks: Non-empty lists of extents.
        chunk_starts: Offset of the first extent of each chunk.
        byte_count: Bytes in all extents.
    """

    def __init__(self):
        self.chunks: list[list[BufferedExtent]] = []
        self.chunk_starts: list[int] = []
        self.byte_count = 0

    def __len__(self) -> int:
        return sum(map(len, self.chunks))

    def __iter__(self) -> Iterator[BufferedExtent]:
        for chunk in self.chunks:
            yield from chunk

    @property
    def end(self) -> int:
        """One past the last byte, 0 where there is none."""
        return self.chunks[-1][-1].end if self.chunks else 0

    def _first_ending_after(self, offset: int) -> Position:
        if not self.chunks:
            return Position(0, 0)
        chunk = max(0, bisect_right(self.chunk_starts, offset) - 1)
        extents = self.chunks[chunk]
        place = bisect_right(extents, offset, key=_start) - 1
        if place < 0 or extents[place].end <= offset:
            place += 1
        return Position(chunk, place) if place < len(extents) else Position(chunk + 1, 0)

    def _next(self, position: Position) -> Position:
        chunk, place = position.chunk, position.place + 1
        return Position(chunk, place) if place < len(self.chunks[chunk]) else Position(chunk + 1, 0)

    def _extents_from(self, position: Position) -> Iterator[BufferedExtent]:
        place = position.place
        for chunk in range(position.chunk, len(self.chunks)):
            extents = self.chunks[chunk]
            while place < len(extents):
                yield extents[place]
                place += 1
            place = 0

    def insert(self, start: int, data: bytes | memoryview, sequence: int) -> None:
        """Inserts a write over older extents."""
        data = memoryview(data)
        end = start + len(data)
        if start == end:
            return
        first = position = self._first_ending_after(start)
        head = tail = None
        while position.chunk < len(self.chunks):
            old = self.chunks[position.chunk][position.place]
            if old.start >= end:
                break
            if old.start < start:
                head = old.clipped(old.start, start)
            if old.end > end:
                tail = old.clipped(end, old.end)
            self.byte_count -= old.end - old.start
            position = self._next(position)
        written = BufferedExtent(start, end, sequence, data)
        new = [extent for extent in (head, written, tail) if extent is not None]
        self.byte_count += sum(extent.end - extent.start for extent in new)
        self._replace(first, position, new)

    def _replace(self, first: Position, last: Position, new: list[BufferedExtent]) -> None:
        """Replaces the extents from `first` up to, not including, `last`."""
        if not self.chunks:
            self.chunks, self.chunk_starts = [new], [new[0].start]
            return
        if first.chunk == len(self.chunks):  # past the last extent
            first = last = Position(first.chunk - 1, len(self.chunks[-1]))
        if first.chunk == last.chunk:
            self.chunks[first.chunk][first.place : last.place] = new
        else:
            self._replace_across_chunks(first, last, new)
        self.chunk_starts[first.chunk] = self.chunks[first.chunk][0].start
        self._split(first.chunk)

    def _replace_across_chunks(self, first: Position, last: Position, new: list[BufferedExtent]) -> None:
        """Joins the start of the first chunk, the new extents and the rest of the last chunk."""
        rest = self.chunks[last.chunk][last.place :] if last.place and last.chunk < len(self.chunks) else []
        past = last.chunk + 1 if rest else last.chunk
        self.chunks[first.chunk][first.place :] = new + rest
        del self.chunks[first.chunk + 1 : past], self.chunk_starts[first.chunk + 1 : past]

    def _split(self, chunk: int) -> None:
        """Splits a chunk that is too long."""
        extents = self.chunks[chunk]
        while len(extents) > MAX_CHUNK:
            rest = extents[MAX_CHUNK // 2 :]
            del extents[MAX_CHUNK // 2 :]
            chunk += 1
            self.chunks.insert(chunk, rest)
            self.chunk_starts.insert(chunk, rest[0].start)
            extents = rest

    def overlapping(self, start: int, end: int) -> list[BufferedExtent]:
        """The extents that overlap a range, clipped to it."""
        found = []
        for extent in self._extents_from(self._first_ending_after(start)):
            if extent.start >= end:
                break
            found.append(extent.clipped(start, end))
        return found

    def runs(self, block_size: int) -> Iterator[list[BufferedExtent]]:
        """Groups adjacent extents, split at every multiple of `block_size` bytes."""
        run: list[BufferedExtent] = []
        for extent in self._split_by_block(block_size):
            if run and (extent.start != run[-1].end or extent.start % block_size == 0):
                yield run
                run = []
            run.append(extent)
        if run:
            yield run

    def _split_by_block(self, block_size: int) -> Iterator[BufferedExtent]:
        for extent in self:
            start = extent.start
            while start < extent.end:
                end = min(extent.end, start - start % block_size + block_size)
                yield extent.clipped(start, end)
                start = end


def _start(extent: BufferedExtent) -> int:
    return extent.start
