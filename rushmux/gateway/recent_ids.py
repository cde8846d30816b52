"""Ids of finished operations that may not be repeated.  No I/O."""

from collections import deque

MAX_IDS = 8_192
"""Ids that are remembered; a client that sends one again does so soon."""
HEXADECIMAL = 16


class RecentIds:
    """The last `MAX_IDS` ids that were added, oldest first."""

    def __init__(self):
        # As numbers the ids take half the memory.
        self._known: set[int] = set()
        self._order: deque[int] = deque()

    def __contains__(self, op_id: str) -> bool:
        return int(op_id, HEXADECIMAL) in self._known

    def add(self, op_id: str) -> None:
        """Remembers an id, and forgets the oldest if there are too many."""
        number = int(op_id, HEXADECIMAL)
        if number in self._known:
            return
        if len(self._order) >= MAX_IDS:
            self._known.discard(self._order.popleft())
        self._order.append(number)
        self._known.add(number)
