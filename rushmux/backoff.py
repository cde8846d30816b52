"""Exponential backoff: how long to wait after a number of failures in a row."""

import random
from typing import NamedTuple

MAX_DOUBLINGS = 64
"""More are not computed: 2 to the power of 1,024 is no float, and failures may go on for days."""


class Backoff(NamedTuple):
    """Pauses that double with each failure in a row, up to a longest one.

    Attributes:
        initial: Seconds before any doubling.
        max_pause: Upper bound in seconds; must be reached within MAX_DOUBLINGS doublings.
    """

    initial: float
    max_pause: float

    def pause(self, doublings: int) -> float:
        """Seconds to wait after so many doublings; any number of them is allowed."""
        return min(self.max_pause, self.initial * 2 ** min(doublings, MAX_DOUBLINGS))

    def jittered_pause(self, doublings: int, rng: random.Random) -> float:
        """As `pause`, its second half drawn, so that many who failed together do not return together."""
        return self.pause(doublings) * (0.5 + rng.random() / 2)
