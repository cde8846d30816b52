"""A token bucket for the flushes that nobody waits for."""

MAX_SAVED = 1.0  # seconds of the rate that a budget can save up


class FlushBudget:
    """Units of background flushes that a folder may start; the bucket begins full.

    Args:
        rate: Units a second.
    """

    def __init__(self, rate: float):
        self.rate = rate
        self.units = rate * MAX_SAVED
        self.updated_at = 0.0

    def refill(self, now: float) -> float:
        """Adds what has come in up to `now` (seconds) and returns the units available."""
        self.units = min(self.rate * MAX_SAVED, self.units + self.rate * (now - self.updated_at))
        self.updated_at = now
        return self.units

    def spend(self, units: float) -> None:
        """Uses units; flushes that clients wait for may overdraw the budget."""
        self.units -= units

    def time_until_one(self) -> float:
        """Seconds from the last refill until one unit is available."""
        return (1 - self.units) / self.rate if self.units < 1 else 0.0
