"""A simulated clock with the timer methods of an event loop."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START = 1.0  # seconds, time of a new clock


class Timer:
    """A scheduled call."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable, arguments: tuple[Any, ...]):
        self.callback: Callable | None = callback
        self.arguments = arguments

    def cancel(self) -> None:
        """Cancels the call."""
        self.callback = None


class TimerLoop:
    """Timer methods of `asyncio.AbstractEventLoop` on a simulated clock, which `run` advances.

    Calls due at the same time run in the order in which they were scheduled.

    Attributes:
        now: The simulated time, in seconds.
    """

    def __init__(self, start: float = START):
        self.now = start
        self._scheduled = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def time(self) -> float:
        """The simulated time, in seconds."""
        return self.now

    def call_at(self, when: float, callback: Callable, *arguments: Any) -> Timer:
        """Schedules a call at a time, or now if that time has passed."""
        timer = Timer(callback, arguments)
        self._scheduled += 1
        heappush(self._heap, (max(when, self.now), self._scheduled, timer))
        return timer

    def call_later(self, delay: float, callback: Callable, *arguments: Any) -> Timer:
        """Schedules a call after a delay in seconds."""
        return self.call_at(self.now + delay, callback, *arguments)

    def call_soon(self, callback: Callable, *arguments: Any) -> Timer:
        """Schedules a call now, after those already due."""
        return self.call_at(self.now, callback, *arguments)

    def run(self, until: float) -> None:
        """Runs all calls due until a time, and advances the clock to it."""
        while self.run_next(until):
            pass
        self.now = max(self.now, until)

    def run_next(self, until: float) -> bool:
        """Runs the next call if it is due until a time; returns False if none is."""
        if not self._heap or self._heap[0][0] > until:
            return False
        when, _, timer = heappop(self._heap)
        if timer.callback is not None:
            self.now = when
            timer.callback(*timer.arguments)
        return True
