"""Determines which requests of a session must wait for earlier ones.

SFTP allows any order that gives the same results as the order of arrival.  Reads run concurrently, and so do
writes to ranges that do not overlap.  A change of a name waits for all requests on that path and on paths
above or below it, and a lookup of attributes waits for writes there.
"""

import asyncio
from enum import Enum, auto
from typing import NamedTuple

END_OF_FILE = 1 << 64  # past any offset


class AccessKind(Enum):
    """How a request accesses its paths."""

    LOOKUP = auto()
    """Looks up a name or its attributes."""
    MODIFY = auto()
    """Changes a name or its attributes."""
    READ = auto()
    """Reads a range of a file."""
    WRITE = auto()
    """Writes a range of a file."""


class Access(NamedTuple):
    """What a request accesses: paths from the root, and a range of the file."""

    kind: AccessKind
    paths: tuple[tuple[str, ...], ...] = ()
    """Names of each path; empty: the request conflicts with no other."""
    start: int = 0
    end: int = END_OF_FILE


class QueuedRequest(NamedTuple):
    """A pending request; `done` is set when it is answered.

    Any number of later requests wait for the event, and none of them can cancel it, as it could a future.
    """

    access: Access
    done: asyncio.Event


class Admission(NamedTuple):
    """A request's number in its session, and what it must wait for."""

    number: int
    predecessors: list[asyncio.Event]


def is_same_or_above(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    """Whether two paths are equal or one lies above the other."""
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]


def conflict(one: Access, other: Access) -> bool:
    """Whether two accesses must not run concurrently."""
    kinds = (one.kind, other.kind)
    if AccessKind.MODIFY not in kinds and AccessKind.WRITE not in kinds:
        return False
    if not any(is_same_or_above(path, its_path) for path in one.paths for its_path in other.paths):
        return False
    if AccessKind.MODIFY in kinds or AccessKind.LOOKUP in kinds:
        return True
    return one.start < other.end and other.start < one.end


class RequestOrder:
    """The pending requests of one session, in order of arrival."""

    def __init__(self):
        self.requests: dict[int, QueuedRequest] = {}
        self.request_count = 0

    def __len__(self):
        return len(self.requests)

    def admit(self, access: Access) -> Admission:
        """Adds a request and returns which earlier ones it must wait for."""
        predecessors = [
            request.done for request in self.requests.values() if conflict(access, request.access)
        ]
        self.request_count += 1
        self.requests[self.request_count] = QueuedRequest(access, asyncio.Event())
        return Admission(self.request_count, predecessors)

    def complete(self, number: int) -> None:
        """Marks a request as answered, which releases those waiting for it."""
        self.requests.pop(number).done.set()
