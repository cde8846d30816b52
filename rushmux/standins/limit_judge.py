"""Judges whether all gateways together kept the limits of volumes, from what storage nodes received.

Each volume has one token bucket for the whole fleet, full at the start.  The first arrival of a request's
last byte at any node takes its units, whatever the node answers and however many attempts follow.  The bucket
may be overdrawn by the plan's tolerance and by what the limit allows in `SOCKET_SLACK`.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

SOCKET_SLACK = 0.15
"""Seconds of the limit's rate by which the tolerance grows on sockets."""
ROUNDING = 1e-6
"""Units by which sums of floats may be off."""


class VolumeLimit(NamedTuple):
    """The limit of a volume's plan."""

    rate: float
    """Units a second."""
    burst: float
    tolerance: float


class UnitArrival(NamedTuple):
    """A command's last byte came to a node."""

    at: float
    """Seconds."""
    volume: str
    op_id: str
    units: float
    node: str


class LimitBreach(NamedTuple):
    """A request that took its volume past the limit and what is allowed beyond it."""

    arrival: UnitArrival
    overdraft: float
    """Units under zero."""
    allowed: float

    def __str__(self) -> str:
        request = f"request {self.arrival.op_id} at {self.arrival.node}"
        return f"{request}: {self.overdraft:.1f} units under zero, {self.allowed:.1f} allowed"


class LimitVerdict(NamedTuple):
    """The breaches of a run, and how near it came to one."""

    breaches: list[LimitBreach]
    largest_overdraft: float
    """Units under zero; 0: never."""


def judge_limits(
    arrivals: Iterable[UnitArrival], limits: Mapping[str, VolumeLimit], begin: float, lag: float
) -> LimitVerdict:
    """Plays the bucket of each volume over a run's arrivals.

    Args:
        arrivals: In any order.
        limits: By volume; others have none.
        begin: When all buckets were full, in seconds.
        lag: Seconds by which the observer was late at the most; it takes arrivals for closer than they were.
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
        if -level > allowed + ROUNDING:
            breaches.append(LimitBreach(arrival, -level, allowed))
    return LimitVerdict(breaches, largest)
