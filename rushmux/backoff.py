"""Exponential backoff after consecutive failures."""

import random
from typing import NamedTuple

MAX_DOUBLINGS = 64
"""Caps the exponent: 2 ** 1024 does not fit in a float, and failures can go on for days."""


class Backoff(NamedTuple):
    """Pauses that double with each consecutive failure, up to a maximum.

    Attributes:
        initial: Pause in seconds before any doubling.
        max_pause: Longest pause in seconds; reached within MAX_DOUBLINGS doublings.
    """

    initial: float
    max_pause: float

    def pause(self, doublings: int) -> float:
        """The pause in seconds after any number of doublings."""
        return min(self.max_pause, self.initial * 2 ** min(doublings, MAX_DOUBLINGS))

    def jittered_pause(self, doublings: int, rng: random.Random) -> float:
        """As `pause`, but randomly shortened by up to half, so that simultaneous failures retry apart."""
        return self.pause(doublings) * (0.5 + rng.random() / 2)

    def fully_jittered_pause(self, doublings: int, rng: random.Random) -> float:
        """As `pause`, but drawn between 0 and its length, for many that share what failed."""
        return rng.uniform(0, self.pause(doublings))
