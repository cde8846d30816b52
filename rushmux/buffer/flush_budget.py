"""A token bucket for background flushes."""

MAX_SAVED_TIME = 1.0  # seconds of unused rate that a budget can save up


class FlushBudget:
    """The units that a folder may spend on background flushes; the bucket begins full.

    Args:
        rate: Units per second.
    """

    def __init__(self, rate: float):
        self.rate = rate
        self.units = rate * MAX_SAVED_TIME
        self.updated_at = 0.0

    def refill(self, now: float) -> float:
        """Adds the units earned up to `now`, in seconds, and returns those available."""
        self.units = min(self.rate * MAX_SAVED_TIME, self.units + self.rate * (now - self.updated_at))
        self.updated_at = now
        return self.units

    def spend(self, units: float) -> None:
        """Spends units; flushes that clients wait for may overdraw the budget."""
        self.units -= units

    def time_until_unit(self) -> float:
        """Seconds from the last refill until one unit is available."""
        return (1 - self.units) / self.rate if self.units < 1 else 0.0
