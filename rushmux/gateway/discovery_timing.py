"""How long a gateway waits for discovery, and when it asks again after a failure.  All times in seconds.

A change must arrive within 6 s after discovery has it and can be reached.  Where changes are pushed, an agent
on the gateway's machine answers at once and at no cost.  Where they must be asked for, all gateways share one
service of fixed capacity; calls wait in turn for up to 2 s, and a call that is given up sooner and made again
only keeps it crowded.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from rushmux.backoff import Backoff


class DiscoveryTiming(NamedTuple):
    """The timing of calls to discovery."""

    watch: float
    """Time that discovery may hold a call: silence is detected well before changes are due."""
    first_byte: float
    """Time from a call until it is abandoned if no byte of its response has come."""
    response: float
    """Time from a call until its response must be complete."""
    retry: Backoff
    """Pauses after calls that failed."""
    has_jitter: bool
    """Whether each pause is drawn between 0 and its length, so that gateways do not retry together."""

    def retry_pause(self, failures: int, rng: random.Random) -> float:
        """Returns the pause after `failures` calls in a row that failed, one at least."""
        if self.has_jitter:
            return self.retry.fully_jittered_pause(failures - 1, rng)
        return self.retry.pause(failures - 1)


RECONNECT_DELAY = 0.05
"""Pause before a new connection after an orderly end: a watch must be renewed within 200 ms."""
LOCAL_AGENT = DiscoveryTiming(
    watch=1.0, first_byte=1.5, response=2.5, retry=Backoff(RECONNECT_DELAY, RECONNECT_DELAY), has_jitter=False
)
SHARED_SERVICE = DiscoveryTiming(
    watch=2.0, first_byte=4.0, response=4.5, retry=Backoff(0.25, 1.0), has_jitter=True
)
