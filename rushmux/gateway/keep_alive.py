"""Estimates for how long a connection to a node may be idle and still be used again."""

REUSE_COOLDOWN = 0.02
"""Seconds after a reply until a connection is used again: an unsolicited reply arrives before."""
BIN_COUNT = 12
"""Bins of idle times: the first ends at `REUSE_COOLDOWN`, each next one is twice as long."""
MIN_RESETS = 3
"""Resets in a bin below which chance explains them."""
EXCESS_RESET_RATIO = 0.1
"""What a bin's ratio of resets may exceed twice the ratio on new connections by."""
DECAY_SWEEPS = 10
"""Sweeps between two halvings of all counts: an idle time once found too long is tried again later."""
UNLIMITED = float("inf")


class KeepAliveEstimator:
    """Learns from resets how long an idle connection stays usable: two small histograms by idle time.

    A middlebox may forget an idle connection and reset it at the next request, which may have run.  A node
    may close idle connections early.  The cost of a wrong estimate: resets by chance close good
    connections, and each new one costs its node work.

    Attributes:
        max_idle_time: Seconds of idle time from which on a connection is not used again.
    """

    def __init__(self):
        self.uses = [0.0] * BIN_COUNT
        self.resets = [0.0] * BIN_COUNT
        self.max_idle_time = UNLIMITED
        self.sweeps = 0

    @staticmethod
    def bin_index(idle_time: float) -> int:
        """Returns the bin of an idle time in seconds; 0 for a connection that is new."""
        return min(BIN_COUNT - 1, int(idle_time / REUSE_COOLDOWN).bit_length())

    def record_use(self, idle_time: float, was_reset: bool) -> None:
        """Counts a use of a connection that had been idle for `idle_time` seconds."""
        index = self.bin_index(idle_time)
        self.uses[index] += 1
        if was_reset:
            self.resets[index] += 1
            self._update_estimate()

    def sweep(self) -> None:
        """Decays the counts; called at regular intervals."""
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
