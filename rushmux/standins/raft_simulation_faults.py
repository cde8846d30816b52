"""Fault rates of the Raft simulation, drawn by swarm testing (Groce et al., ISSTA 2012)."""

import random
from enum import IntEnum
from typing import NamedTuple

FAULT_PRESENT_PROBABILITY = 0.7


class FaultRates(NamedTuple):
    """Fault rates of a seed."""

    loss: float  # fraction of messages
    duplication: float  # fraction of messages
    crashes: float  # per second, over all members
    partitions: float  # per second; each lasts up to three seconds
    membership_changes: float  # per second


NO_FAULTS = FaultRates(0, 0, 0, 0, 0)


def draw_fault_rates(rng: random.Random) -> FaultRates:
    """Draws the rates of a seed, which omits some faults and has others often."""

    def rate(maximum: float) -> float:
        return maximum * rng.random() ** 2 if rng.random() < FAULT_PRESENT_PROBABILITY else 0.0

    return FaultRates(rate(0.4), rate(0.3), rate(1.5), rate(1.0), rate(0.8))


class CrashPoint(IntEnum):
    """Steps of processing a `Ready` batch at which a member may crash."""

    BEFORE_PERSIST = 0
    AFTER_PERSIST = 1
    WHILE_SENDING = 2
    AFTER_APPLY = 3
    NEVER = 9


CRASHES = tuple(point for point in CrashPoint if point != CrashPoint.NEVER)
