"""Decides which recovered writes other edges have overwritten; no I/O.

A recovered write may be older than what other edges wrote since.  Extents note the version of the file's row
that their change replaced.  An extent was there before the write if its change replaced a version older than
the write's base.  Any other extent in the write's range may be newer and must not be undone, unless this edge
committed it for the same batch before it was killed.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.row_cache import FileRows, StoredRun
from rushmux.files import layout


class JudgedRuns(NamedTuple):
    """The runs of a file that may be committed, and those that must be discarded."""

    kept: list[StoredRun]
    lost: list[StoredRun]


def judge_runs(file: BufferedFile, rows: FileRows, runs: Sequence[StoredRun]) -> JudgedRuns:
    """Separates a recovered file's runs; runs that share a write are kept or lost together."""
    lost = {run for run in runs if is_overwritten(file, rows, run)}
    while True:
        lost_writes = frozenset(sequence for run in lost for sequence in run.sequences)
        torn = {run for run in runs if run not in lost and run.sequences & lost_writes}
        if not torn:
            break
        lost |= torn
    kept = [run for run in runs if run not in lost]
    return JudgedRuns(kept, [run for run in runs if run in lost])


def is_overwritten(file: BufferedFile, rows: FileRows, run: StoredRun) -> bool:
    """Whether another edge may have written to a run's range after its writes were acknowledged."""
    base = file.bases.of(min(run.sequences))
    if rows.version == base:
        return False
    is_own_row = rows.file.batch_stamp in file.stamps
    if _is_since(rows.file.cut_over, base, is_own_row):
        return True
    extents = layout.clip(rows.blocks[run.number].extents, run.extent.start, run.extent.length)
    return any(
        _is_since(extent.committed_over, base, is_own_row)
        and not _is_of_batch(extent.object_name, file.stamps)
        for extent in extents
    )


def _is_since(replaced_version: int, base: int, is_own_row: bool) -> bool:
    """Whether a change came after the base; if that is unknown, unless this edge changed the file last."""
    if replaced_version == layout.UNKNOWN_VERSION:
        return not is_own_row
    return replaced_version >= base


def _is_of_batch(object_name: str, stamps: Iterable[str]) -> bool:
    """Whether this edge stored an object before it sent the change with one of the stamps.

    Both are unique names of an edge: its name, its incarnation and a count.
    """
    origin, _, count = object_name.rpartition(".")
    for stamp in stamps:
        stamp_origin, _, stamp_count = stamp.rpartition(".")
        if origin == stamp_origin and int(count) < int(stamp_count):
            return True
    return False
