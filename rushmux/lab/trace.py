"""Reads and writes traces, which are files of recorded arrivals.

A trace is lines of JSON: a header {"format": 1, "volumes": {name: plan}}, then one object for each
operation: at (s), volume, lane, key ("" for none), units, cell (-1: a new object), edge, left (fraction
of the deadline).
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from rushmux.lab.errors import LabError
from rushmux.lab.workload import MAX_OPERATIONS, Arrival, Volume

FORMAT = 1
FIELDS = {  # keys of an operation, with the fields of `Arrival` that they hold
    "at": "at",
    "volume": "volume",
    "lane": "request_class",
    "key": "key",
    "units": "units",
    "cell": "cell",
    "edge": "gateway",
    "left": "deadline_fraction",
}
REQUIRED = set(FIELDS) - {"left"}


class TraceError(LabError):
    """A trace cannot be used.

    Attributes:
        location: The file, with the line if one is invalid.
        reason: What is wrong.
    """

    def __init__(self, location: str, reason: str):
        super().__init__(f"{location}: {reason}")
        self.location, self.reason = location, reason


class Trace(NamedTuple):
    """The content of a trace file."""

    plans: dict[str, str]
    """The plan of each volume."""
    arrivals: list[Arrival]


def write(path: str | Path, volumes: Iterable[Volume], arrivals: Iterable[Arrival]) -> None:
    """Writes a day as a trace."""
    header = {"format": FORMAT, "volumes": {volume.name: volume.plan for volume in volumes}}
    with open(path, "w") as file:
        file.write(json.dumps(header) + "\n")
        for arrival in arrivals:
            file.write(json.dumps(_encode(arrival)) + "\n")


def read(path: str | Path) -> Trace:
    """Reads a trace.

    Raises:
        TraceError: A line is invalid, or there are too many operations.
        OSError: The file cannot be read.
    """
    with open(path) as file:
        plans = _read_header(path, file.readline())
        arrivals: list[Arrival] = []
        last = 0.0
        for number, line in enumerate(file, 2):
            arrival = _read_arrival(f"{path}, line {number}", line, plans, last)
            last = arrival.at
            arrivals.append(arrival)
            if len(arrivals) > MAX_OPERATIONS:
                raise TraceError(str(path), f"more than {MAX_OPERATIONS} operations")
    return Trace(plans, arrivals)


def _read_header(path: str | Path, line: str) -> dict[str, str]:
    try:
        header = json.loads(line)
        if header["format"] != FORMAT:
            raise TraceError(str(path), f"format {header['format']}, this reads {FORMAT}")
        return dict(header["volumes"])
    except (ValueError, KeyError, TypeError) as error:
        raise TraceError(f"{path}, line 1", f"not a valid header: {error}") from error


def _read_arrival(location: str, line: str, plans: dict[str, str], last: float) -> Arrival:
    try:
        arrival = _decode(json.loads(line))
        if arrival.volume not in plans or arrival.at < last or arrival.units <= 0:
            raise ValueError(
                "its volume is not in the header, its time is out of order, or its units are not positive"
            )
    except (ValueError, TypeError) as error:
        raise TraceError(location, str(error)) from error
    return arrival


def _encode(arrival: Arrival) -> dict[str, Any]:
    return {key: getattr(arrival, field) for key, field in FIELDS.items()}


def _decode(row: dict[str, Any]) -> Arrival:
    unknown, missing = set(row) - set(FIELDS), REQUIRED - set(row)
    if unknown:
        raise ValueError(f"unknown field {', '.join(sorted(unknown))}")
    if missing:
        raise ValueError(f"missing field {', '.join(sorted(missing))}")
    return Arrival(**{FIELDS[key]: value for key, value in row.items()})
