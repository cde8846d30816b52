"""Checks from what storage nodes received that all gateways together kept the volumes' limits.

Each volume has one token bucket for the whole fleet, full at the start.  The first arrival of a complete
request at any node takes its units, whatever the answer and later attempts.  The bucket may be overdrawn by
the plan's tolerance and the rate's units in `SOCKET_SLACK`.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

SOCKET_SLACK = 0.15
"""Seconds by which sockets may delay arrivals."""
ROUNDING_TOLERANCE = 1e-6
"""Rounding error of summed units."""


class VolumeLimit(NamedTuple):
    """The limit of a volume's plan."""

    rate: float
    """Units a second."""
    burst: float
    tolerance: float


class UnitArrival(NamedTuple):
    """The arrival of a command's last byte at a node."""

    at: float
    """Seconds."""
    volume: str
    op_id: str
    units: float
    node: str


class LimitBreach(NamedTuple):
    """A request that overdrew its volume's bucket by more than allowed."""

    arrival: UnitArrival
    overdraft: float
    """Units below zero."""
    allowed: float

    def __str__(self) -> str:
        request = f"request {self.arrival.op_id} at {self.arrival.node}"
        return f"{request}: {self.overdraft:.1f} units below zero, {self.allowed:.1f} allowed"


class LimitVerdict(NamedTuple):
    """The breaches of a run and its largest overdraft."""

    breaches: list[LimitBreach]
    largest_overdraft: float
    """Units below zero; 0 if the bucket was never overdrawn."""


def check_limits(
    arrivals: Iterable[UnitArrival], limits: Mapping[str, VolumeLimit], begin: float, lag: float
) -> LimitVerdict:
    """Replays a run's arrivals against each volume's bucket.

    Args:
        arrivals: In any order.
        limits: By volume; other volumes have no limit.
        begin: When all buckets were full, in seconds.
        lag: The observer's largest delay in seconds, by which arrivals look closer together.
    """
    levels = {volume: limit.burst for volume, limit in limits.items()}
    updated_at = dict.fromkeys(limits, begin)
    counted: set[str] = set()
    breaches, largest = [], 0.0
    for arrival in sorted(arrivals):
        limit = limits.get(arrival.volume)
        if limit is None or arrival.op_id in counted:
            continue
        counted.add(arrival.op_id)
        elapsed = arrival.at - updated_at[arrival.volume]
        updated_at[arrival.volume] = arrival.at
        level = min(limit.burst, levels[arrival.volume] + limit.rate * elapsed) - arrival.units
        levels[arrival.volume] = level
        largest = max(largest, -level)
        allowed = limit.tolerance + limit.rate * (SOCKET_SLACK + lag)
        if -level > allowed + ROUNDING_TOLERANCE:
            breaches.append(LimitBreach(arrival, -level, allowed))
    return LimitVerdict(breaches, largest)
