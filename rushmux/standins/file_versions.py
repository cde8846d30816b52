"""Checks that reads return complete versions of files, no older than the last one acknowledged before."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from rushmux.scheduling.driver import NEVER

Rows = Mapping[str, Sequence[Mapping[str, Any]]]
"""Recorded rows by kind; of clients: writing, wrote, unsure, got."""


class FileVersion:
    """A version of a file: when a client's write began and ended, and whether it was acknowledged."""

    def __init__(self, begun_at: float):
        self.begun_at, self.ended_at, self.acknowledged = begun_at, NEVER, False


def breaches(rows: Rows) -> Iterator[str]:
    """Describes the reads of bytes that no version has, or of an outdated version."""
    versions = _written_versions(rows)
    for row in rows["got"]:
        read = versions[row["path"]].get(row["digest"])
        if read is None:
            yield f"{row['path']} read at {row['at']:.4f} s: bytes of no complete version"
            continue
        newer = [
            version
            for version in versions[row["path"]].values()
            if version.acknowledged and version.begun_at > read.ended_at and version.ended_at < row["begun"]
        ]
        if newer or read.begun_at > row["at"]:
            yield (
                f"{row['path']} read at {row['at']:.4f} s: the version of {read.begun_at:.4f} s, "
                f"with {len(newer)} newer ones acknowledged before"
            )


def _written_versions(rows: Rows) -> dict[str, dict[str, FileVersion]]:
    """The versions by path and digest."""
    versions: dict[str, dict[str, FileVersion]] = defaultdict(dict)
    for row in rows["writing"]:
        versions[row["path"]][row["digest"]] = FileVersion(row["begun"])
    for kind in ("wrote", "unsure"):
        for row in rows[kind]:
            version = versions[row["path"]][row["digest"]]
            version.ended_at, version.acknowledged = row["at"], kind == "wrote"
    return versions
