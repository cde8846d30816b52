"""Which requests of one session must wait for earlier ones.

The protocol lets a server answer in any order as long as the result is that of one at a time.
Reads go side by side, and so do writes to stretches that do not touch; what changes names waits
for all, and what asks for attributes waits for writes.
"""
import asyncio
from typing import NamedTuple

LOOK, ALTER, READ, WRITE = "look", "alter", "read", "write"
END = 1 << 64


class Claim(NamedTuple):
    """What a request touches: a file by its id (None: any), and a stretch of it."""
    kind: str
    file: object = None
    low: int = 0
    high: int = END


def conflict(one: Claim, other: Claim) -> bool:
    """Whether the two must not run side by side."""
    if one.file is not None and other.file is not None and one.file != other.file:
        return False
    kinds = (one.kind, other.kind)
    if ALTER in kinds:
        return True
    if WRITE not in kinds:
        return False
    return LOOK in kinds or one.low < other.high and other.low < one.high


class Turns:
    """The requests of one session that are not answered yet, in the order they came."""

    def __init__(self):
        self.held = {}                   # number -> (claim, future set when it is over)
        self.count = 0

    def __len__(self):
        return len(self.held)

    def enter(self, claim: Claim) -> tuple[int, list[asyncio.Future]]:
        """Takes a place: its number, and what it has to wait for."""
        before = [over for other, over in self.held.values() if conflict(claim, other)]
        self.count += 1
        self.held[self.count] = claim, asyncio.get_running_loop().create_future()
        return self.count, before

    def leave(self, number: int):
        self.held.pop(number)[1].set_result(None)
