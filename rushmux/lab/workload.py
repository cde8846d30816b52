"""Arrivals of a day: open loop, drawn ahead of all answers, or read from a trace.

A trace is lines of JSON: a header {"format": 1, "volumes": {name: plan}} and then one object for each
operation: at (s), volume, lane, key ("" for none), units, cell (-1: a new object), edge, left (part of
the hard stop).
"""

import json
from typing import NamedTuple

import numpy
from scipy import stats

FORMAT = 1
MOST = 5_000_000  # operations of a day
STEP = 0.25  # seconds: within them a rate stands still


class BadTrace(Exception):
    """A trace that cannot be used; the text names the line."""


class Arrival(NamedTuple):
    """One operation as its client means to send it."""

    at: float
    volume: str
    lane: str
    key: str
    units: float
    cell: int
    edge: int
    left: float = 1.0  # part of the lane's hard stop that its client waits


class Volume(NamedTuple):
    """A volume: its plan, units a second it asks for in the mean, its cells and edges."""

    name: str
    plan: str
    rate: float
    cells: tuple[int, ...]
    edges: tuple[int, ...]


# What a workload states, with what it is when left out; `numbers` in the experiment's schema.
DEFAULTS = {
    "load": 0.6,
    "write_part": 0.3,
    "mean_units": 1.5,
    "size_sigma": 0.7,
    "keys": 400,
    "zipf": 1.1,
    "rush": 0.3,
    "rush_period": 40.0,
    "batch": 2.0,
    "greedy_part": 0.25,
    "greedy_times": 2.5,
}


def volumes(nominal, counts: dict, cells: int, edges: int, capacity: float, spec: dict, seed) -> list[Volume]:
    """So many volumes of each plan, by the plans' nominal rates; together they ask for `load` of
    the capacity (units a second).
    """
    chance = numpy.random.default_rng([seed, 1])
    found = []
    for plan, count in counts.items():
        for number in range(count):
            spread = int(chance.integers(1, min(6, cells) + 1))
            mounts = int(chance.integers(1, min(4, edges) + 1))
            times = spec["greedy_times"] if chance.random() < spec["greedy_part"] else 1.0
            found.append(
                Volume(
                    f"{plan}{number}",
                    plan,
                    nominal[plan] * times,
                    tuple(int(c) for c in chance.choice(cells, spread, replace=False)),
                    tuple(int(e) for e in chance.choice(edges, mounts, replace=False)),
                )
            )
    total = sum(volume.rate for volume in found)
    return [volume._replace(rate=volume.rate * spec["load"] * capacity / total) for volume in found]


def rush(spec, at):
    """Times the mean rate at a time: a slow swing, the same for all."""
    return 1 + spec["rush"] * numpy.sin(2 * numpy.pi * at / spec["rush_period"])


def drawn(
    found: list[Volume],
    spec: dict,
    seconds: float,
    seed,
    events,
    lanes: dict,
    most_units: float,
    new="write",
    read="read",
) -> list[Arrival]:
    """All arrivals of a day in the order of time; `lanes`: the names behind `new` and `read`."""
    steps = numpy.arange(0.0, seconds, STEP)
    arrivals = []
    for place, volume in enumerate(found):
        chance = numpy.random.default_rng([seed, 2, place])
        rate = volume.rate * rush(spec, steps)
        size, hot, left = numpy.ones(len(steps)), numpy.zeros(len(steps)), numpy.ones(len(steps))
        for event in events:
            if volume.name not in event.targets:
                continue
            within = (steps >= event.at) & (steps < event.at + event.seconds)
            if event.kind == "surge":
                rate = numpy.where(within, rate * event.size, rate)
            elif event.kind == "scan":
                size = numpy.where(within, event.size, size)
            elif event.kind == "hot":
                hot = numpy.where(within, event.size, hot)
            elif event.kind == "hurried":
                left = numpy.where(within, event.size, left)
        # Programs read a few things in a row: batches come as a Poisson process, their sizes are geometric.
        batches = chance.poisson(rate * STEP / (spec["mean_units"] * spec["batch"]))
        if len(arrivals) + batches.sum() * spec["batch"] > MOST:
            raise ValueError(f"more than {MOST} operations in the day")
        for step in numpy.nonzero(batches)[0]:
            for at in steps[step] + chance.random(int(batches[step])) * STEP:
                count = int(stats.geom.ppf(chance.random(), 1 / spec["batch"]))
                writes = chance.random() < spec["write_part"]
                if chance.random() < hot[step]:
                    rank = 1
                else:
                    rank = min(
                        spec["keys"], int(chance.zipf(spec["zipf"] + 1e-9 if spec["zipf"] > 1 else 1.01))
                    )
                cell = volume.cells[rank % len(volume.cells)]
                edge = volume.edges[min(len(volume.edges) - 1, int(chance.exponential(0.6)))]
                for number in range(min(count, 8)):
                    units = (
                        chance.lognormal(-(spec["size_sigma"] ** 2) / 2, spec["size_sigma"])
                        * spec["mean_units"]
                    )
                    units = float(min(most_units, max(1.0, round(units * size[step], 1))))
                    arrivals.append(
                        Arrival(
                            float(at + number * 0.004),
                            volume.name,
                            lanes[new if writes else read],
                            "" if writes else f"{volume.name}/{rank}",
                            units,
                            -1 if writes else cell,
                            edge,
                            float(left[step]),
                        )
                    )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def write_trace(path, found: list[Volume], arrivals):
    """Writes a day as a trace."""
    with open(path, "w") as sink:
        sink.write(json.dumps({"format": FORMAT, "volumes": {v.name: v.plan for v in found}}) + "\n")
        for arrival in arrivals:
            sink.write(json.dumps(arrival._asdict()) + "\n")


def read_trace(path) -> tuple[dict, list[Arrival]]:
    """Volumes with their plans, and the arrivals; BadTrace where a line is none."""
    with open(path) as source:
        try:
            header = json.loads(source.readline())
            if header["format"] != FORMAT:
                raise BadTrace(f"{path}: format {header['format']}, this reads {FORMAT}")
            known = dict(header["volumes"])
        except (ValueError, KeyError, TypeError) as fault:
            raise BadTrace(f"{path}, line 1: no header: {fault}") from fault
        arrivals, last = [], 0.0
        for number, line in enumerate(source, 2):
            try:
                arrival = Arrival(**json.loads(line))
                if arrival.volume not in known or arrival.at < last or arrival.units <= 0:
                    raise ValueError(
                        "its volume is not in the header, it is out of order, or it has no units"
                    )
            except (ValueError, TypeError) as fault:
                raise BadTrace(f"{path}, line {number}: {fault}") from fault
            last = arrival.at
            arrivals.append(arrival)
            if len(arrivals) > MOST:
                raise BadTrace(f"{path}: more than {MOST} operations")
    return known, arrivals
