"""Which requests of one session must wait for earlier ones.

The protocol lets a server answer in any order as long as the result is that of one at a time.  Reads run
concurrently, and so do writes to ranges that do not overlap; a change of a name waits for all that runs at
that name, above it or below it, and a lookup of attributes waits for writes there.
"""

import asyncio
from enum import Enum, auto
from typing import NamedTuple

END_OF_FILE = 1 << 64  # bytes: past any offset


class AccessKind(Enum):
    """What a request does to what it touches."""

    LOOKUP = auto()
    """Looks a name or its attributes up."""
    MODIFY = auto()
    """Changes a name or its attributes."""
    READ = auto()
    """Reads a range of a file."""
    WRITE = auto()
    """Writes a range of a file."""


class Access(NamedTuple):
    """What a request touches: paths from the root, and a range of the file."""

    kind: AccessKind
    paths: tuple[tuple[str, ...], ...] = ()
    """Each path as its names; empty: nothing that others could touch."""
    start: int = 0
    end: int = END_OF_FILE


class QueuedRequest(NamedTuple):
    """A request that is not answered yet; `done` is set when it is."""

    access: Access
    done: asyncio.Future


class Admission(NamedTuple):
    """A request's number in its session, and what it has to wait for."""

    number: int
    predecessors: list[asyncio.Future]


def is_same_or_above(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    """Whether one path is the other, or one lies above the other."""
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]


def conflict(one: Access, other: Access) -> bool:
    """Whether the two must not run concurrently."""
    kinds = (one.kind, other.kind)
    if AccessKind.MODIFY not in kinds and AccessKind.WRITE not in kinds:
        return False
    if not any(is_same_or_above(path, its_path) for path in one.paths for its_path in other.paths):
        return False
    if AccessKind.MODIFY in kinds or AccessKind.LOOKUP in kinds:
        return True
    return one.start < other.end and other.start < one.end


class RequestOrder:
    """The requests of one session that are not answered yet, in the order they came."""

    def __init__(self):
        self.requests: dict[int, QueuedRequest] = {}
        self.request_count = 0

    def __len__(self):
        return len(self.requests)

    def admit(self, access: Access) -> Admission:
        """Takes in a request."""
        predecessors = [
            request.done for request in self.requests.values() if conflict(access, request.access)
        ]
        self.request_count += 1
        done = asyncio.get_running_loop().create_future()
        self.requests[self.request_count] = QueuedRequest(access, done)
        return Admission(self.request_count, predecessors)

    def complete(self, number: int) -> None:
        """A request was answered; what waits for it may go on."""
        self.requests.pop(number).done.set_result(None)
