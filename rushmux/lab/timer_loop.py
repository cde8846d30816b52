"""A simulated clock with timers: the part of an event loop that emulated machines use."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START = 1.0  # seconds on a new clock


class Timer:
    """A call that is due at some time."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable, arguments: tuple[Any, ...]):
        self.callback: Callable | None = callback
        self.arguments = arguments

    def cancel(self) -> None:
        """Makes the loop skip this call."""
        self.callback = None


class TimerLoop:
    """Offers the timer methods of `asyncio.AbstractEventLoop` on a simulated clock; `run` advances it.

    Calls that are due at the same time happen in the order in which they were asked for.

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
        """Schedules a call at a time, or now where that time has passed."""
        timer = Timer(callback, arguments)
        self._scheduled += 1
        heappush(self._heap, (max(when, self.now), self._scheduled, timer))
        return timer

    def call_later(self, delay: float, callback: Callable, *arguments: Any) -> Timer:
        """Schedules a call after a delay in seconds."""
        return self.call_at(self.now + delay, callback, *arguments)

    def call_soon(self, callback: Callable, *arguments: Any) -> Timer:
        """Schedules a call now, after those that are already due."""
        return self.call_at(self.now, callback, *arguments)

    def run(self, until: float) -> None:
        """Makes all calls that are due until a time, and advances the clock to it."""
        while self.run_next(until):
            pass
        self.now = max(self.now, until)

    def run_next(self, until: float) -> bool:
        """Makes the next call, where it is due until a time; False where none is."""
        if not self._heap or self._heap[0][0] > until:
            return False
        when, _, timer = heappop(self._heap)
        if timer.callback is not None:
            self.now = when
            timer.callback(*timer.arguments)
        return True
