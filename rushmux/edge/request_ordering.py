"""Which requests of one session must wait for earlier ones.

The protocol lets a server answer in any order as long as the result is that of one at a time.
Reads go side by side, and so do writes to stretches that do not touch; what changes a name waits
for all that goes on at that name, above it or below it, and what asks for attributes waits for
writes there.
"""

import asyncio
from typing import NamedTuple

LOOK, ALTER, READ, WRITE = "look", "alter", "read", "write"
END = 1 << 64


class Claim(NamedTuple):
    """What a request touches: names from the root, and a stretch of the file."""

    kind: str
    paths: tuple = ()  # each a tuple of names; none: nothing that others could touch
    low: int = 0
    high: int = END


def related(one: tuple, other: tuple) -> bool:
    """Whether one name is the other, or lies above it."""
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]


def conflict(one: Claim, other: Claim) -> bool:
    """Whether the two must not run side by side."""
    kinds = (one.kind, other.kind)
    if ALTER not in kinds and WRITE not in kinds:
        return False
    if not any(related(mine, its) for mine in one.paths for its in other.paths):
        return False
    return ALTER in kinds or LOOK in kinds or (one.low < other.high and other.low < one.high)


class Turns:
    """The requests of one session that are not answered yet, in the order they came."""

    def __init__(self):
        self.held = {}  # number -> (claim, future set when it is over)
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
