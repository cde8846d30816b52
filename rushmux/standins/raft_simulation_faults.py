"""Fault rates of the Raft simulation, drawn by swarm testing (Groce et al., ISSTA 2012)."""

import random
from enum import IntEnum
from typing import NamedTuple

FAULT_PRESENT_PROBABILITY = 0.7


class FaultRates(NamedTuple):
    """How much goes wrong; a seed has its own."""

    loss: float  # fraction of messages
    duplication: float  # fraction of messages
    crashes: float  # a second, over all members
    partitions: float  # a second; each for up to three seconds
    membership_changes: float  # a second


NO_FAULTS = FaultRates(0, 0, 0, 0, 0)


def draw_fault_rates(rng: random.Random) -> FaultRates:
    """Swarm testing: each seed leaves some faults out and has much of others."""

    def rate(most: float) -> float:
        return most * rng.random() ** 2 if rng.random() < FAULT_PRESENT_PROBABILITY else 0.0

    return FaultRates(rate(0.4), rate(0.3), rate(1.5), rate(1.0), rate(0.8))


class CrashPoint(IntEnum):
    """Steps of handling a `Ready` after which a member may crash."""

    BEFORE_PERSIST = 0
    AFTER_PERSIST = 1
    WHILE_SENDING = 2
    AFTER_APPLY = 3
    NEVER = 9


CRASHES = tuple(point for point in CrashPoint if point != CrashPoint.NEVER)
