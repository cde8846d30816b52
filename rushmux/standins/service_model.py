"""The machine of a stand-in node: cores, waiting room, cold start, pauses, put-off writes.

It says when an execution's work is done; it does none itself.  All its chance comes from the
generator handed in, all its time from the running loop.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

NEIGHBOUR = 1.0  # seconds that a neighbour on the machine is in, and out
RECENT_SPREAD = 0.3  # sigma of the lognormal draw of a service time around its mean


class Shape(NamedTuple):
    """What a machine is like; times in seconds, work in units."""

    cores: int = 2
    unit: float = 0.015  # seconds of a core for a unit of work at speed 1
    speed: float = 1.0
    room: int = 40  # executions that wait; beyond it they are turned away
    cold_start: float = 0.17  # part of the capacity at the start
    warm_within: float = 16.0
    fall_multiple: float = 2.5  # of the present capacity, sent for `cold_span`, pushes it over
    cold_span: float = 2.0
    pause_every: tuple = (3.0, 8.0)
    pause: tuple = (0.03, 0.12)
    recent: int = 3  # keys whose work is cheaper
    saved: float = 0.5  # part of the work saved then
    put_off: float = 0.3  # part of a write's work done later, in one go
    put_off_every: tuple = (1.5, 3.5)
    crowd: float = 0.0  # of its speed lost for each execution that waits: machines thrash
    most_crowd: float = 3.0  # times longer at most for that


class Job(NamedTuple):
    """An execution's work as the engine holds it."""

    seconds: float
    until: float  # when it is dropped if it still waits
    done: Callable


def neighbour(clock, engine_now: Callable, size: float, until: float, comes=True):
    """Another program comes to a machine and goes, until a time; `engine_now()`: its engine by then."""
    now = clock.time()
    engine_now().neighbour = size if comes and now < until else 1.0
    if now < until:
        clock.call_later(NEIGHBOUR, neighbour, clock, engine_now, size, until, not comes)


class Engine:
    """One machine from one start.  `fell` is called once, if it is pushed over."""

    def __init__(self, shape: Shape, chance, cold: bool, fell: Callable, loop=None):
        self.shape, self.chance, self.fell = shape, chance, fell
        self.loop = loop or asyncio.get_running_loop()
        self.began = self.loop.time() if cold else self.loop.time() - shape.warm_within
        self.waiting, self.running, self.recent = deque(), 0, OrderedDict()
        self.arrived, self.pushed = deque(), 0.0
        self.still_until, self.later, self.slowed, self.stopped = 0.0, 0.0, 1.0, False
        self.service = 0.0  # seconds of recent executions in work, the newest an eighth
        self.neighbour = 1.0  # times longer, for another program on the machine
        self.timers = {}
        self.again("pause", shape.pause_every, self.pause)
        self.again("put_off", shape.put_off_every, self.put_off)

    def again(self, name, span, call):
        self.timers[name] = self.loop.call_later(self.chance.uniform(*span), call)

    def pause(self):
        self.still_until = self.loop.time() + self.chance.uniform(*self.shape.pause)
        self.again("pause", self.shape.pause_every, self.pause)

    def put_off(self):
        if self.later:
            self.waiting.appendleft(Job(self.later, float("inf"), lambda late: None))
            self.later = 0.0
            self.next()
        self.again("put_off", self.shape.put_off_every, self.put_off)

    def capacity(self, at):
        """Part of the full capacity at a time."""
        age = max(0.0, at - self.began)
        return min(1.0, self.shape.cold_start + (1 - self.shape.cold_start) * age / self.shape.warm_within)

    def per_second(self):
        """Units a second of a warm machine."""
        return self.shape.cores * self.shape.speed / self.shape.unit

    def push(self, units, now):
        """Counts what was sent to a cold machine; True where that pushed it over."""
        span = self.shape.cold_span
        if now - self.began >= self.shape.warm_within + span:
            return False
        self.arrived.append((now, units))
        self.pushed += units
        while self.arrived[0][0] <= now - span:
            self.pushed -= self.arrived.popleft()[1]
        return self.pushed > self.shape.fall_multiple * self.capacity(now) * self.per_second() * span

    @property
    def inflight(self):
        return self.running + len(self.waiting)

    def load(self):
        """What a node tells of its load: what waits, and recent service in tenths of a millisecond."""
        return {"queue": len(self.waiting), "service": self.service * 10_000}

    def offer(self, units: float, key: str, writes: bool, time_out: float, done: Callable) -> bool:
        """Takes an execution; `done(late)` is called when its work is over, with whether it was
        dropped for its time-out.  False: turned away.
        """
        now = self.loop.time()
        if self.push(units, now):
            self.stop()
            self.fell()
            return False
        if len(self.waiting) >= self.shape.room:
            return False
        seconds = units * self.shape.unit / self.shape.speed
        seconds *= self.chance.lognormvariate(-(RECENT_SPREAD**2) / 2, RECENT_SPREAD)
        if key in self.recent:
            seconds *= 1 - self.shape.saved
        if key:
            self.recent[key] = True
            self.recent.move_to_end(key)
            if len(self.recent) > self.shape.recent:
                self.recent.popitem(last=False)
        if writes:
            self.later += seconds * self.shape.put_off
            seconds *= 1 - self.shape.put_off
        self.waiting.append(Job(seconds, now + time_out, done))
        self.next()
        return True

    def withdraw(self, done: Callable) -> bool:
        """Drops what still waits and was offered with `done`; False: it runs or has run."""
        for job in self.waiting:
            if job.done is done:
                self.waiting.remove(job)
                return True
        return False

    def next(self):
        while self.running < self.shape.cores and self.waiting and not self.stopped:
            job, now = self.waiting.popleft(), self.loop.time()
            if job.until <= now:
                self.loop.call_soon(job.done, True)
                continue
            self.running += 1
            crowd = min(self.shape.most_crowd, 1 + self.shape.crowd * len(self.waiting))
            seconds = job.seconds * self.slowed * self.neighbour * crowd / self.capacity(now)
            self.service += (seconds - self.service) / (8 if self.service else 1)
            self.loop.call_later(seconds, self.finish, job)

    def finish(self, job):
        if self.stopped:
            return
        if self.loop.time() < self.still_until:
            self.loop.call_at(self.still_until, self.finish, job)
            return
        self.running -= 1
        job.done(False)
        self.next()

    def stop(self):
        self.stopped = True
        self.waiting.clear()
        for timer in self.timers.values():
            timer.cancel()
