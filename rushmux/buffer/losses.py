"""Tells each open handle of a file that buffered writes of the file were discarded.

As with `errseq_t` in Linux since 4.13, a file counts its losses and each handle remembers up to which it was
told, so that telling one handle clears nothing for another.  There is no I/O and no clock.
"""

from __future__ import annotations

from rushmux.buffer.errors import WritesDiscardedError


class FileLosses:
    """The losses of one file, and which of its open handles were told of them.

    Attributes:
        newest: The newest loss.
        error: The same, until every handle that has to be told was told.
        count: Number of losses so far.
        is_reported: Whether a handle was told of the newest loss, and none that had to be told closed untold.
            Until then handles opened after the loss are told as well.
        told_counts: By open handle, the number of losses that it was told of.
    """

    def __init__(self):
        self.newest: WritesDiscardedError | None = None
        self.error: WritesDiscardedError | None = None
        self.count = 0
        self.is_reported = False
        self.told_counts: dict[object, int] = {}

    def record(self, error: WritesDiscardedError) -> None:
        """Records a loss, of which each open handle has to be told."""
        self.newest = self.error = error
        self.count += 1
        self.is_reported = False

    def open_handle(self, handle: object) -> None:
        """Adds a handle; it has to be told of an earlier loss only if that was not reported."""
        is_owed = self.error is not None and not self.is_reported
        self.told_counts[handle] = self.count - is_owed

    def close_handle(self, handle: object) -> None:
        """Removes a handle; if it was not told, the next one opened is told in its place."""
        told_count = self.told_counts.pop(handle)
        if self.error is not None and told_count < self.count:
            self.is_reported = False

    def take_error(self, handle: object) -> WritesDiscardedError | None:
        """Returns the loss that a handle has to be told of, if any, and counts it as told."""
        # A handle that was closed while its request waited has left its loss to the next one.
        if self.told_counts.get(handle, self.count) == self.count:
            return None
        error = self.error
        self.told_counts[handle] = self.count
        self.is_reported = True
        if all(told_count == self.count for told_count in self.told_counts.values()):
            self.error = None
        return error


class BarrierWait:
    """A barrier that a client waits for.

    Attributes:
        barrier: Its number.
        error: A loss of writes that it covers, since it was set.
    """

    def __init__(self, barrier: int):
        self.barrier = barrier
        self.error: WritesDiscardedError | None = None

    def on_loss(self, layer: int, error: WritesDiscardedError) -> None:
        """Notes that writes from a layer on were discarded."""
        if layer <= self.barrier and self.error is None:
            self.error = error
