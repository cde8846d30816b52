"""The versions of a file's row that its buffered writes build on; no I/O."""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

MAX_BASE_VERSIONS = 64  # per file; writes beyond them count from the last one kept, which is older


class BaseVersion(NamedTuple):
    """The newest version of a file's row that was known when a write was acknowledged."""

    first_sequence: int
    """Sequence number of the first write with this base."""
    version: int


class BaseVersions:
    """The bases of one file's buffered writes, in order; both numbers of `entries` increase."""

    def __init__(self):
        self.entries: list[BaseVersion] = []

    def add(self, sequence: int, version: int) -> None:
        """Adds a write that is newer than all before."""
        is_newer = not self.entries or version > self.entries[-1].version
        if is_newer and len(self.entries) < MAX_BASE_VERSIONS:
            self.entries.append(BaseVersion(sequence, version))

    def of(self, sequence: int) -> int:
        """The version that a write builds on; 0 if the write is unknown."""
        place = bisect_right(self.entries, sequence, key=_first_sequence) - 1
        return self.entries[place].version if place >= 0 else 0

    def raise_to(self, version: int) -> None:
        """Notes that this edge has seen a version after all these writes were acknowledged."""
        if not self.entries:
            return
        newer = [entry for entry in self.entries if entry.version > version]
        if len(newer) < len(self.entries):
            newer.insert(0, BaseVersion(self.entries[0].first_sequence, version))
        self.entries = newer

    def clear(self) -> None:
        """Forgets all writes."""
        self.entries.clear()


def _first_sequence(entry: BaseVersion) -> int:
    return entry.first_sequence
