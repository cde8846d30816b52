"""When the received bytes of a connection that have not been processed arrived.  No I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

RESOLUTION = 0.005
"""Seconds within which bytes count as having arrived together, so that single bytes don't fill the memory."""


class _Chunk(NamedTuple):
    end: int
    """Bytes received up to the end of the chunk, since the start of the connection."""
    at: float


class ArrivalTimes:
    """The arrival times of a connection's unprocessed bytes."""

    def __init__(self):
        self._received = 0
        self._chunks: deque[_Chunk] = deque()

    def add(self, size: int, now: float) -> None:
        """Notes that `size` bytes have arrived at the event loop time `now`."""
        self._received += size
        if self._chunks and now - self._chunks[-1].at < RESOLUTION:
            now = self._chunks.pop().at
        self._chunks.append(_Chunk(self._received, now))

    def first_of(self, unread: int) -> float:
        """Returns the event loop time at which the first of the last `unread` bytes arrived.

        Earlier bytes are forgotten. `unread` must be positive.
        """
        position = self._received - unread
        while self._chunks[0].end <= position:
            self._chunks.popleft()
        return self._chunks[0].at
