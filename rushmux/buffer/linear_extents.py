"""A simple extent index, the reference for tests and benchmarks."""

from bisect import insort
from collections.abc import Iterator

from rushmux.buffer.extents import BufferedExtent


class LinearExtentIndex:
    """As `extents.ExtentIndex`, but one sorted list that each call scans from its start."""

    def __init__(self):
        self.extents: list[BufferedExtent] = []

    def __iter__(self) -> Iterator[BufferedExtent]:
        return iter(self.extents)

    def insert(self, start: int, data: bytes | memoryview, sequence: int) -> None:
        """Inserts a write over older extents."""
        data, extents = memoryview(data), []
        end = start + len(data)
        for old in self.extents:
            if old.end <= start or old.start >= end:
                extents.append(old)
                continue
            if old.start < start:
                extents.append(old.clipped(old.start, start))
            if old.end > end:
                extents.append(old.clipped(end, old.end))
        insort(extents, BufferedExtent(start, end, sequence, data), key=lambda extent: extent.start)
        self.extents = extents

    def overlapping(self, start: int, end: int) -> list[BufferedExtent]:
        """The extents that overlap a range, clipped to it."""
        return [
            extent.clipped(start, end) for extent in self.extents if extent.start < end and extent.end > start
        ]
