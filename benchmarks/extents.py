"""Compares the extent index with a plain list and a library's interval tree, at 10^3 to 10^6 extents.

pip install intervaltree; python benchmarks/extents.py [--most 1000000]
"""

import argparse
import random
import time
from typing import NamedTuple

from intervaltree import IntervalTree

from rushmux.buffer.extents import ExtentIndex
from rushmux.buffer.linear_extents import LinearExtentIndex

DATA = bytes(64)
SPACING = 100  # bytes between the starts of two extents
RANGE = 1_000  # bytes of a lookup
CALLS = 300  # timed calls of each kind
US_PER_SECOND = 1e6
SMALLEST, GROWTH = 1_000, 10  # extents in the first run, and the factor to the next


class IntervalTreeIndex:
    """Adapts a library's interval tree to the methods of the extent index."""

    def __init__(self):
        self.tree = IntervalTree()

    def insert(self, start, data, sequence):
        """Inserts a write over older extents."""
        self.tree.chop(start, start + len(data))
        self.tree.addi(start, start + len(data), (sequence, data))

    def overlapping(self, start, end):
        """Returns the extents that overlap a range."""
        return sorted(self.tree.overlap(start, end))


class Timings(NamedTuple):
    """Mean microseconds of a call."""

    fill: float
    insert: float
    look_up: float


def mean_time(calls):
    """Returns the mean microseconds of a call."""
    started_at = time.perf_counter()
    for call in calls:
        call()
    return (time.perf_counter() - started_at) / len(calls) * US_PER_SECOND


def fill(index, starts):
    """Inserts an extent at each offset."""
    for sequence, start in enumerate(starts):
        index.insert(start, DATA, sequence)
    return index


def measure(index_type, size, rng):
    """Measures an index with `size` extents."""
    index, space = index_type(), size * SPACING
    starts = list(range(0, space, SPACING))
    rng.shuffle(starts)
    if index_type is LinearExtentIndex:  # copied from a sorted index: single inserts would take hours
        index.extents = list(fill(ExtentIndex(), sorted(starts)))
        fill_time = float("nan")
    else:
        started_at = time.perf_counter()
        fill(index, starts)
        fill_time = (time.perf_counter() - started_at) / size * US_PER_SECOND
    writes = [(rng.randrange(space), size + call) for call in range(CALLS)]
    insert_time = mean_time(
        [lambda at=at, number=number: index.insert(at, DATA, number) for at, number in writes]
    )
    look_up_time = mean_time([lambda at=at: index.overlapping(at, at + RANGE) for at, _ in writes])
    return Timings(fill_time, insert_time, look_up_time)


def main():
    """Prints a row for each size and index."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--most", type=int, default=1_000_000)
    max_extents = parser.parse_args().most
    header = f"{'extents':>9} {'index':17} {'fill, each':>12} {'insert':>12} {'look up 1,000 B':>15}"
    print(f"{header}  microseconds")
    size = SMALLEST
    while size <= max_extents:
        for index_type in (ExtentIndex, LinearExtentIndex, IntervalTreeIndex):
            timings = measure(index_type, size, random.Random(1))
            print(
                f"{size:9} {index_type.__name__:17} {timings.fill:12.1f} {timings.insert:12.1f} "
                f"{timings.look_up:15.1f}",
                flush=True,
            )
        size *= GROWTH


if __name__ == "__main__":
    main()
