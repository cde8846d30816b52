"""A model of a node's service times: cores, queue, slow start, pauses and deferred work of writes.

It only determines when an attempt ends.  Random generator and clock are arguments.
"""

import asyncio
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from rushmux.scheduling.driver import NEVER, TICKS_PER_SECOND

NEIGHBOUR_PERIOD = 1.0
"""Seconds for which a noisy neighbour alternately runs and pauses."""
SERVICE_TIME_SIGMA = 0.3
"""The sigma of the lognormal distribution of service times."""
SERVICE_TIME_WEIGHT = 8
"""One over the newest service time's weight in the moving average."""

OnDone = Callable[[bool], None]
"""Called when work ends; True: it was dropped at its timeout."""


class Clock(Protocol):
    """The methods of an event loop that the model uses."""

    def time(self) -> float:
        """Seconds."""

    def call_later(self, delay: float, callback: Callable, *arguments: object) -> asyncio.TimerHandle:
        """Calls back after a delay."""

    def call_at(self, when: float, callback: Callable, *arguments: object) -> asyncio.TimerHandle:
        """Calls back at a time."""

    def call_soon(self, callback: Callable, *arguments: object) -> asyncio.Handle:
        """Calls back in the next iteration."""


class Shape(NamedTuple):
    """The parameters of a machine; times in seconds, work in units.  Experiment files use these names."""

    cores: int = 2
    unit: float = 0.015  # core seconds for a unit of work at speed 1
    speed: float = 1.0
    room: int = 40  # length of the queue; further attempts are rejected
    cold_start: float = 0.17  # share of the capacity at the start
    warm_within: float = 16.0
    fall_multiple: float = 2.5  # overloading load over `cold_span`, relative to the capacity
    cold_span: float = 2.0
    pause_every: tuple[float, float] = (3.0, 8.0)
    pause: tuple[float, float] = (0.03, 0.12)
    recent: int = 3  # number of recent keys whose work is cheaper
    saved: float = 0.5  # share of the work saved for a recent key
    put_off: float = 0.3  # share of a write's work that is deferred and done in batches
    put_off_every: tuple[float, float] = (1.5, 3.5)
    crowd: float = 0.0  # slowdown for each queued attempt: machines thrash
    most_crowd: float = 3.0  # largest factor of that slowdown


class Work(NamedTuple):
    """The work of an attempt."""

    seconds: float
    deadline: float  # dropped then if it is still queued
    on_done: OnDone


class LoadSample(NamedTuple):
    """The load that a node reports."""

    queue: int  # number of queued attempts
    service: float  # mean of recent service times, ticks


class ServiceModel:
    """A machine from its start to its stop.

    Attributes:
        slowdown: The factor by which a fault prolongs work.
        neighbour_slowdown: The same for another program on the machine.
    """

    def __init__(
        self,
        shape: Shape,
        rng: random.Random,
        cold: bool,
        on_overload: Callable[[], None],
        loop: Clock | None = None,
    ):
        self.shape = shape
        self.slowdown = 1.0
        self.neighbour_slowdown = 1.0
        self._rng, self._on_overload = rng, on_overload
        self._loop: Clock = loop or asyncio.get_running_loop()
        self._started_at = self._loop.time() if cold else self._loop.time() - shape.warm_within
        self._queue: deque[Work] = deque()
        self._running = 0
        self._recent_keys: OrderedDict[str, bool] = OrderedDict()
        self._arrivals: deque[tuple[float, float]] = deque()  # (time, units) within the overload window
        self._arrived_units = 0.0
        self._paused_until = 0.0
        self._deferred_seconds = 0.0
        self._stopped = False
        self._mean_service_time = 0.0
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._schedule("pause", shape.pause_every, self._pause)
        self._schedule("deferred", shape.put_off_every, self._run_deferred)

    def _schedule(self, name: str, interval: tuple[float, float], callback: Callable[[], None]) -> None:
        self._timers[name] = self._loop.call_later(self._rng.uniform(*interval), callback)

    def _pause(self) -> None:
        self._paused_until = self._loop.time() + self._rng.uniform(*self.shape.pause)
        self._schedule("pause", self.shape.pause_every, self._pause)

    def _run_deferred(self) -> None:
        if self._deferred_seconds:
            self._queue.appendleft(Work(self._deferred_seconds, NEVER, lambda dropped: None))
            self._deferred_seconds = 0.0
            self._run_queue()
        self._schedule("deferred", self.shape.put_off_every, self._run_deferred)

    def _capacity(self, at: float) -> float:
        """The share of the full capacity at a time."""
        age = max(0.0, at - self._started_at)
        initial = self.shape.cold_start
        return min(1.0, initial + (1 - initial) * age / self.shape.warm_within)

    def units_per_second(self) -> float:
        """The capacity of the warm machine."""
        return self.shape.cores * self.shape.speed / self.shape.unit

    def _is_overloaded_by(self, units: float, now: float) -> bool:
        """Counts units sent to a cold machine; whether they overload it."""
        window = self.shape.cold_span
        if now - self._started_at >= self.shape.warm_within + window:
            return False
        self._arrivals.append((now, units))
        self._arrived_units += units
        while self._arrivals[0][0] <= now - window:
            self._arrived_units -= self._arrivals.popleft()[1]
        limit = self.shape.fall_multiple * self._capacity(now) * self.units_per_second() * window
        return self._arrived_units > limit

    @property
    def in_flight(self) -> int:
        """The number of running and queued attempts."""
        return self._running + len(self._queue)

    def load_sample(self) -> LoadSample:
        """The current load."""
        return LoadSample(len(self._queue), self._mean_service_time * TICKS_PER_SECOND)

    def submit(self, units: float, key: str, is_write: bool, timeout: float, on_done: OnDone) -> bool:
        """Queues the work of an attempt.

        Args:
            units: The amount of work.
            key: The key that it accesses, or empty; work on a recent key is cheaper.
            is_write: Whether a part of the work is deferred.
            timeout: Seconds after which it is dropped if still queued.
            on_done: Called when the work ends.

        Returns:
            Whether it was accepted; an overloaded machine calls `on_overload` and accepts no more.
        """
        now = self._loop.time()
        if self._is_overloaded_by(units, now):
            self.stop()
            self._on_overload()
            return False
        if len(self._queue) >= self.shape.room:
            return False
        self._queue.append(Work(self._draw_seconds(units, key, is_write), now + timeout, on_done))
        self._run_queue()
        return True

    def _draw_seconds(self, units: float, key: str, is_write: bool) -> float:
        """Draws an attempt's time on a core; a write defers a part of it."""
        seconds = units * self.shape.unit / self.shape.speed
        seconds *= self._rng.lognormvariate(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA)
        if key in self._recent_keys:
            seconds *= 1 - self.shape.saved
        if key:
            self._remember(key)
        if is_write:
            self._deferred_seconds += seconds * self.shape.put_off
            seconds *= 1 - self.shape.put_off
        return seconds

    def _remember(self, key: str) -> None:
        self._recent_keys[key] = True
        self._recent_keys.move_to_end(key)
        if len(self._recent_keys) > self.shape.recent:
            self._recent_keys.popitem(last=False)

    def cancel(self, on_done: OnDone) -> bool:
        """Drops queued work by its `on_done`; returns whether it was queued."""
        for work in self._queue:
            if work.on_done is on_done:
                self._queue.remove(work)
                return True
        return False

    def _run_queue(self) -> None:
        while self._running < self.shape.cores and self._queue and not self._stopped:
            work, now = self._queue.popleft(), self._loop.time()
            if work.deadline <= now:
                self._loop.call_soon(work.on_done, True)
                continue
            self._running += 1
            crowding = min(self.shape.most_crowd, 1 + self.shape.crowd * len(self._queue))
            seconds = work.seconds * self.slowdown * self.neighbour_slowdown * crowding / self._capacity(now)
            weight = SERVICE_TIME_WEIGHT if self._mean_service_time else 1
            self._mean_service_time += (seconds - self._mean_service_time) / weight
            self._loop.call_later(seconds, self._finish, work)

    def _finish(self, work: Work) -> None:
        if self._stopped:
            return
        if self._loop.time() < self._paused_until:
            self._loop.call_at(self._paused_until, self._finish, work)
            return
        self._running -= 1
        work.on_done(False)
        self._run_queue()

    def stop(self) -> None:
        """Stops the machine: it drops all its work."""
        self._stopped = True
        self._queue.clear()
        for timer in self._timers.values():
            timer.cancel()


def run_noisy_neighbour(
    clock: Clock,
    current_model: Callable[[], ServiceModel],
    slowdown: float,
    until: float,
    active: bool = True,
) -> None:
    """Runs another program on a machine in every other period, until a time.

    Args:
        clock: The clock.
        current_model: Returns the machine's model, which a restart replaces.
        slowdown: Factor by which work takes longer while the program runs.
        until: The end, seconds.
        active: Whether it runs in the first period.
    """
    now = clock.time()
    current_model().neighbour_slowdown = slowdown if active and now < until else 1.0
    if now < until:
        clock.call_later(
            NEIGHBOUR_PERIOD, run_noisy_neighbour, clock, current_model, slowdown, until, not active
        )
