"""A clock of timers alone: the part of an event loop that emulated machines use, without tasks or sockets."""

from heapq import heappop, heappush


class Timer:
    """A call to come; `cancel` forgets it."""

    __slots__ = ("call", "values")

    def __init__(self, call, values):
        self.call, self.values = call, values

    def cancel(self):
        self.call = None


class HeapClock:
    """Same calls as an event loop's: `time`, `call_at`, `call_later`, `call_soon`; `run` plays them."""

    def __init__(self, start=1.0):
        self.now, self.count, self.heap = start, 0, []

    def time(self):
        return self.now

    def call_at(self, when, call, *values):
        timer = Timer(call, values)
        self.count += 1
        heappush(self.heap, (max(when, self.now), self.count, timer))
        return timer

    def call_later(self, delay, call, *values):
        return self.call_at(self.now + delay, call, *values)

    def call_soon(self, call, *values):
        return self.call_at(self.now, call, *values)

    def run(self, until):
        """Plays all that is due until a time, in the order it was asked for."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, timer = heappop(heap)
            if timer.call is not None:
                self.now = when
                timer.call(*timer.values)
        self.now = max(self.now, until)
