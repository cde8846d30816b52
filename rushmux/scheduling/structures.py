"""Data structures of the scheduler; all parameters come from their callers."""

from collections import deque
from heapq import heappop, heappush
from itertools import accumulate
from typing import Any

from rushmux.scheduling.interface import UNLIMITED, Ticks

MULTIPLIER, INCREMENT, MODULUS = 6364136223846793005, 1442695040888963407, 1 << 64  # Knuth's MMIX generator
FRACTION_STEPS = 1 << 16


class RandomGenerator:
    """A linear congruential generator that returns its high bits."""

    def __init__(self, seed: int):
        self.state = seed & (MODULUS - 1)

    def below(self, bound: int) -> int:
        """Returns an integer from 0 to `bound` - 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % MODULUS
        return (self.state >> 33) * bound >> 31

    def fraction(self) -> float:
        """Returns a multiple of 1/65,536 in [0, 1)."""
        return self.below(FRACTION_STEPS) / FRACTION_STEPS


class DecayingWindow:
    """A ring of time bins; in their sum each bin has `decay` times the weight of the next younger one."""

    def __init__(self, bin_width: Ticks, bin_count: int, decay: float, now: Ticks):
        self.bin_width, self.decay = bin_width, decay
        self.oldest_weight = decay ** (bin_count - 1)
        self.bins = [0.0] * bin_count
        self.decayed_sum = 0.0
        self.bin_index = now // bin_width

    def advance(self, now: Ticks) -> None:
        """Drops the bins that are too old."""
        current = now // self.bin_width
        for index in range(max(self.bin_index, current - len(self.bins)) + 1, current + 1):
            place = index % len(self.bins)
            self.decayed_sum = (self.decayed_sum - self.bins[place] * self.oldest_weight) * self.decay
            self.bins[place] = 0.0
        self.bin_index = current

    def add(self, amount: float) -> None:
        """Adds to the youngest bin, which does not fall below zero."""
        place = self.bin_index % len(self.bins)
        amount = max(amount, -self.bins[place])
        self.bins[place] += amount
        self.decayed_sum += amount

    def mean_rate(self, period: Ticks) -> float:
        """Returns the unweighted rate, per `period` ticks."""
        return sum(self.bins) * period / (self.bin_width * len(self.bins))


class DoublingHistogram:
    """Counts of durations in bins of doubling width, halved at `halve_at` counts so that old ones decay."""

    def __init__(self, first_width: Ticks, bin_count: int, halve_at: int):
        self.first_width, self.halve_at = first_width, halve_at
        self.counts = [0] * bin_count

    def add(self, duration: Ticks) -> None:
        """Counts a duration; the last bin has no upper end."""
        self.counts[min(len(self.counts) - 1, (duration // self.first_width).bit_length())] += 1
        if sum(self.counts) >= self.halve_at:
            self.counts = [count // 2 for count in self.counts]

    def median(self) -> Ticks:
        """Returns the upper edge of the median's bin; 0 if there are no counts."""
        half = sum(self.counts) / 2
        for place, seen in enumerate(accumulate(self.counts)):
            if seen >= half > 0:
                return self.first_width << place
        return 0


class SlidingCounter:
    """Counts events in a sliding time window."""

    def __init__(self) -> None:
        self.times: deque[Ticks] = deque()

    def add(self, now: Ticks) -> None:
        """Counts an event; times must not decrease."""
        self.times.append(now)

    def count_after(self, oldest: Ticks) -> int:
        """Returns the number of events after `oldest` and drops the others."""
        while self.times and self.times[0] <= oldest:
            self.times.popleft()
        return len(self.times)


class TimerQueue:
    """A priority queue of items by time, first in first out for equal times."""

    def __init__(self) -> None:
        self.entries: list[tuple[Ticks, int, Any]] = []
        self.added = 0

    def add(self, when: Ticks, item: Any) -> None:
        """Adds an item, which may be in the queue already."""
        self.added += 1
        heappush(self.entries, (when, self.added, item))

    def next_time(self) -> Ticks:
        """Returns the earliest time, or `UNLIMITED`."""
        return self.entries[0][0] if self.entries else UNLIMITED

    def pop(self) -> Any:
        """Removes and returns the earliest item."""
        return heappop(self.entries)[2]


class WakeTimer:
    """Tracks the next wake-up that was requested."""

    def __init__(self) -> None:
        self.wake_at = UNLIMITED

    def reschedule(self, now: Ticks, next_at: Ticks) -> Ticks | None:
        """Returns the delay to request, or None if the pending wake-up is early enough."""
        if self.wake_at <= now:
            self.wake_at = UNLIMITED
        if next_at >= self.wake_at:
            return None
        self.wake_at = max(next_at, now + 1)
        return self.wake_at - now
