"""This gateway's share of the token bucket that holds a volume's limit over all gateways.

The shares of all gateways, what is reserved of them included, never hold more together than the volume's one
bucket.  So each gateway keeps the limit by itself, whatever restarts, is lost, comes late or is told untruly.
"""

from rushmux.scheduling.records import NEVER, SECOND

ROUNDING = 1e-6  # units by which sums of floats may be off


class LimitBucket:
    """A token bucket whose units count as used once a node has them.

    Units that were let go are reserved until it is known that a node has them, or that none will get them.
    They may come at any moment until then, and leave no place that could be filled meanwhile.  A plan without
    a limit lets everything go.
    """

    def __init__(self, plan, share, filling_since, now):
        """A share that was empty at a time and has filled since; `share`: a part of the plan's limit."""
        self.plan = plan
        self.updated_at = filling_since
        self.level = self.reserved = 0.0
        self.rate, self.capacity = plan.limit * share, plan.burst * share
        self.advance(now)

    def set_share(self, share, now):
        """Takes over another share: what is above a smaller one is another gateway's by now."""
        self.advance(now)
        self.rate, self.capacity = self.plan.limit * share, self.plan.burst * share
        self.level = min(self.level, self.capacity - self.reserved)

    def split_further(self, share, now):
        """Takes over a smaller share beside others that begin with shares of their own; owes theirs."""
        lost_capacity = self.capacity - self.plan.burst * share
        self.advance(now)
        self.level -= lost_capacity
        self.set_share(share, now)

    def advance(self, now):
        """Fills it up to now."""
        elapsed, self.updated_at = (now - self.updated_at) / SECOND, now
        self.level = min(self.capacity - self.reserved, self.level + self.rate * elapsed)

    def release_time(self, units, now):
        """When to look whether it has the units."""
        if not self.plan.limit or self.level >= units:
            return now
        return now + 1 + int((units - self.level) / self.rate * SECOND) if self.rate else NEVER

    def reserve(self, units):
        """Lets units go to a node."""
        self.level -= units
        self.reserved += units

    def settle(self, units, now):
        """Counts reserved units as used: a node has them, or none will get them."""
        self.advance(now)
        self.reserved -= units
        if self.reserved < ROUNDING:  # else it would never be full again
            self.reserved = 0.0

    def full_at(self):
        """When it is full if nothing more is let go; with units reserved that is not known."""
        if not self.plan.limit or not self.capacity:
            return self.updated_at
        if self.reserved or not self.rate:
            return NEVER
        return self.updated_at + 1 + int((self.capacity - self.level) / self.rate * SECOND)
