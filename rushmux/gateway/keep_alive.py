"""Estimates how long a connection to a node may be idle and still be reused."""

REUSE_COOLDOWN = 0.02
"""Seconds from a reply until its connection is reused, so that unsolicited replies are detected first."""
BIN_COUNT = 12
"""Histogram bins: the first ends at `REUSE_COOLDOWN`, each next one is twice as long."""
MIN_RESETS = 3
"""Fewer resets than this in a bin count as chance."""
EXCESS_RESET_RATIO = 0.1
"""A bin's reset ratio may exceed twice the ratio of new connections by this much."""
DECAY_SWEEPS = 10
"""Sweeps between halvings of all counts, so that an idle time found too long is tried again later."""
UNLIMITED = float("inf")


class KeepAliveEstimator:
    """Learns from resets how long an idle connection stays usable.

    A middlebox may forget an idle connection and reset it at the next request, which may have run; a node may
    close idle connections early.  Too low an estimate closes good connections, and each new one costs the
    node work.

    Attributes:
        uses: Uses by bin of idle time.
        resets: Uses that ended in a reset, by bin.
        max_idle_time: Seconds of idle time after which a connection is not reused.
    """

    def __init__(self):
        self.uses = [0.0] * BIN_COUNT
        self.resets = [0.0] * BIN_COUNT
        self.max_idle_time = UNLIMITED
        self.sweeps = 0

    @staticmethod
    def bin_index(idle_time: float) -> int:
        """Returns the bin of an idle time in seconds; 0 for a new connection."""
        return min(BIN_COUNT - 1, int(idle_time / REUSE_COOLDOWN).bit_length())

    def record_use(self, idle_time: float, was_reset: bool) -> None:
        """Counts one use of a connection that had been idle for `idle_time` seconds."""
        index = self.bin_index(idle_time)
        self.uses[index] += 1
        if was_reset:
            self.resets[index] += 1
            self._update_estimate()

    def sweep(self) -> None:
        """Decays the counts; called periodically."""
        self.sweeps += 1
        if self.sweeps % DECAY_SWEEPS == 0:
            self.uses = [count / 2 for count in self.uses]
            self.resets = [count / 2 for count in self.resets]
            self._update_estimate()

    def _update_estimate(self) -> None:
        base_ratio = self.resets[0] / self.uses[0] if self.uses[0] else 0.0
        ratio_limit = 2 * base_ratio + EXCESS_RESET_RATIO
        for index in range(1, BIN_COUNT):
            if self.resets[index] >= MIN_RESETS and self.resets[index] / self.uses[index] > ratio_limit:
                self.max_idle_time = max(REUSE_COOLDOWN, REUSE_COOLDOWN * 2 ** (index - 1))
                return
        self.max_idle_time = UNLIMITED
