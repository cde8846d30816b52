"""The dirty index against a plain list and a library's interval tree, at 10^3 to 10^6 extents.

pip install intervaltree; python benchmarks/extents.py [--most 1000000]
"""

import argparse
import random
import time

from intervaltree import IntervalTree

from rushmux.buffer.extents import Extents, PlainExtents

DATA = bytes(64)
FEW = 300  # operations timed of a kind whose single one takes long


class Tree:
    """A library's interval tree, put and asked the same way."""

    def __init__(self):
        self.tree = IntervalTree()

    def put(self, start, data, number):
        self.tree.chop(start, start + len(data))
        self.tree.addi(start, start + len(data), (number, data))

    def within(self, start, end):
        return sorted(self.tree.overlap(start, end))


def timed(index, calls):
    begun = time.perf_counter()
    for call in calls:
        call()
    return (time.perf_counter() - begun) / len(calls) * 1e6


def measure(kind, size, chance):
    index, space = kind(), size * 100
    places = list(range(0, space, 100))
    chance.shuffle(places)
    if kind is PlainExtents:  # filled in order at once: one by one would take hours
        index.pieces = list(filled(Extents(), sorted(places)))
        fill = float("nan")
    else:
        begun = time.perf_counter()
        filled(index, places)
        fill = (time.perf_counter() - begun) / size * 1e6
    count = FEW
    over = [(chance.randrange(space), size + place) for place in range(count)]
    put = timed(index, [lambda at=at, number=number: index.put(at, DATA, number) for at, number in over])
    find = timed(index, [lambda at=at: index.within(at, at + 1_000) for at, _ in over])
    return fill, put, find


def filled(index, places):
    for number, place in enumerate(places):
        index.put(place, DATA, number)
    return index


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--most", type=int, default=1_000_000)
    size = 1_000
    print(
        f"{'extents':>9} {'index':10} {'fill, each':>12} {'put over':>12} {'find 1,000 B':>13}  microseconds"
    )
    while size <= parser.parse_args().most:
        for kind in (Extents, PlainExtents, Tree):
            fill, put, find = measure(kind, size, random.Random(1))
            print(f"{size:9} {kind.__name__:10} {fill:12.1f} {put:12.1f} {find:13.1f}", flush=True)
        size *= 10


if __name__ == "__main__":
    main()
