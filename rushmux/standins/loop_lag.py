"""Measures how late an event loop runs its callbacks: times that it takes are no more accurate."""

import asyncio
from collections.abc import Callable

INTERVAL = 0.01
"""Seconds between two measurements."""
SHORTEST_STALL = 0.05
"""Delay in seconds from which `on_stall` is called."""


class LoopLagWatch:
    """Measures the delay of the running event loop until `run` is cancelled.

    Attributes:
        longest: The largest delay so far, in seconds.

    Args:
        on_stall: Called at the end of each stall with the time (event loop clock, seconds) at which the loop
            was last seen running.
    """

    def __init__(self, on_stall: Callable[[float], None] = lambda since: None):
        self.longest = 0.0
        self._on_stall = on_stall

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            since = loop.time()
            await asyncio.sleep(INTERVAL)
            lag = loop.time() - since - INTERVAL
            self.longest = max(self.longest, lag)
            if lag >= SHORTEST_STALL:
                self._on_stall(since)
