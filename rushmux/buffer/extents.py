"""The dirty index: the newest bytes of a file by their place; no I/O.

Pieces never lie over each other.  They stand in order in chunks of bounded length, so that a put
moves some hundred references and not all of them.  Bytes are never copied: a piece is a view of
the packet that brought it.  A barrier costs nothing here: it closes a file's layer, and later
packets go into the next one.
"""

from bisect import bisect_right, insort
from collections.abc import Iterator
from typing import NamedTuple

CHUNK = 512  # pieces in a chunk before it is cut in two: so many move in a microsecond


class Piece(NamedTuple):
    """Bytes of one packet at a place of the file."""

    start: int
    end: int
    number: int  # of the packet, in the order they came
    data: memoryview


class Extents:
    """Pieces in order of place."""

    def __init__(self):
        self.chunks, self.firsts, self.bytes = [], [], 0

    def __len__(self):
        return sum(map(len, self.chunks))

    def __iter__(self) -> Iterator[Piece]:
        for chunk in self.chunks:
            yield from chunk

    @property
    def end(self) -> int:
        """One past the last byte, 0 where there is none."""
        return self.chunks[-1][-1].end if self.chunks else 0

    def _place(self, start):
        """Chunk and place of the first piece that ends after `start`."""
        chunk = max(0, bisect_right(self.firsts, start) - 1)
        if not self.chunks:
            return 0, 0
        pieces = self.chunks[chunk]
        place = bisect_right(pieces, start, key=_start) - 1
        if place < 0 or pieces[place].end <= start:
            place += 1
        return (chunk, place) if place < len(pieces) else (chunk + 1, 0)

    def put(self, start: int, data, number: int) -> None:
        """Lays a packet over what is there."""
        data = memoryview(data)
        end = start + len(data)
        if start == end:
            return
        chunk, place = self._place(start)
        new = [Piece(start, end, number, data)]
        first_chunk, first_place, low, high = chunk, place, None, None
        while chunk < len(self.chunks):
            old = self.chunks[chunk][place]
            if old.start >= end:
                break
            if old.start < start:
                low = Piece(old.start, start, old.number, old.data[: start - old.start])
            if old.end > end:
                high = Piece(end, old.end, old.number, old.data[end - old.start :])
            self.bytes -= old.end - old.start
            place += 1
            if place == len(self.chunks[chunk]):
                chunk, place = chunk + 1, 0
        new = [piece for piece in (low, new[0], high) if piece is not None]
        self.bytes += sum(piece.end - piece.start for piece in new)
        self._replace(first_chunk, first_place, chunk, place, new)

    def _replace(self, first_chunk, first_place, chunk, place, new):
        """Puts `new` in place of what lies between two places."""
        if not self.chunks:
            self.chunks, self.firsts = [new], [new[0].start]
            return
        if first_chunk == len(self.chunks):  # past the last piece
            first_chunk, first_place = first_chunk - 1, len(self.chunks[-1])
            chunk, place = first_chunk, first_place
        if chunk == first_chunk:
            self.chunks[chunk][first_place:place] = new
        else:
            # What is covered runs over the ends of chunks: the first keeps its head and takes the tail.
            tail = self.chunks[chunk][place:] if place and chunk < len(self.chunks) else []
            past = chunk + 1 if tail else chunk
            self.chunks[first_chunk][first_place:] = new + tail
            del self.chunks[first_chunk + 1 : past], self.firsts[first_chunk + 1 : past]
        pieces = self.chunks[first_chunk]
        if not pieces:
            del self.chunks[first_chunk], self.firsts[first_chunk]
            return
        self.firsts[first_chunk] = pieces[0].start
        while len(pieces) > CHUNK:
            rest = pieces[CHUNK // 2 :]
            del pieces[CHUNK // 2 :]
            first_chunk += 1
            self.chunks.insert(first_chunk, rest)
            self.firsts.insert(first_chunk, rest[0].start)
            pieces = rest

    def within(self, start: int, end: int) -> list[Piece]:
        """The pieces that lie in a stretch, cut to it."""
        found = []
        chunk, place = self._place(start)
        while chunk < len(self.chunks):
            piece = self.chunks[chunk][place]
            if piece.start >= end:
                break
            low, high = max(start, piece.start), min(end, piece.end)
            found.append(Piece(low, high, piece.number, piece.data[low - piece.start : high - piece.start]))
            place += 1
            if place == len(self.chunks[chunk]):
                chunk, place = chunk + 1, 0
        return found

    def runs(self, most: int) -> Iterator[tuple[int, list[Piece]]]:
        """Adjacent pieces together, cut at every multiple of `most`: (start, pieces)."""
        run, at = [], None
        for piece in self:
            while piece is not None:
                edge = piece.start - piece.start % most + most
                head, rest = piece, None
                if piece.end > edge:
                    head = Piece(piece.start, edge, piece.number, piece.data[: edge - piece.start])
                    rest = Piece(edge, piece.end, piece.number, piece.data[edge - piece.start :])
                if run and (head.start != run[-1].end or head.start % most == 0):
                    yield at, run
                    run = []
                at = head.start if not run else at
                run.append(head)
                piece = rest
        if run:
            yield at, run


def _start(piece):
    return piece.start


class PlainExtents:
    """The same in a plain sorted list, gone through from its start: the measure for the other."""

    def __init__(self):
        self.pieces = []

    def __iter__(self):
        return iter(self.pieces)

    def put(self, start, data, number):
        data, end, kept = memoryview(data), start + len(data), []
        for old in self.pieces:
            if old.end <= start or old.start >= end:
                kept.append(old)
                continue
            if old.start < start:
                kept.append(Piece(old.start, start, old.number, old.data[: start - old.start]))
            if old.end > end:
                kept.append(Piece(end, old.end, old.number, old.data[end - old.start :]))
        insort(kept, Piece(start, end, number, data), key=_start)
        self.pieces = kept

    def within(self, start, end):
        return [
            Piece(
                max(start, piece.start),
                min(end, piece.end),
                piece.number,
                piece.data[max(start, piece.start) - piece.start : min(end, piece.end) - piece.start],
            )
            for piece in self.pieces
            if piece.start < end and piece.end > start
        ]
