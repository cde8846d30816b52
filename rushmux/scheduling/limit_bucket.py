"""This gateway's share of the token bucket that enforces a volume's limit over all gateways.

All gateways' shares together, including reserved units, never hold more than one bucket of the whole volume
would.  So each gateway enforces the limit on its own, whatever restarts or is lost, late or misreported.
"""

from rushmux.scheduling.records import NEVER, SECOND

ROUNDING = 1e-6  # units: tolerance for rounding errors of float sums


class LimitBucket:
    """A token bucket whose units count as used when they reach a node.

    Units of operations that were sent stay reserved until they are known to have reached a node, or never to
    do so.  They may arrive at any moment until then, so the bucket must not refill in their place.  A plan
    without a limit admits everything.
    """

    def __init__(self, plan, share, filling_since, now):
        """Creates the bucket, empty at `filling_since`, with the fraction `share` of the plan's limit."""
        self.plan = plan
        self.updated_at = filling_since
        self.level = self.reserved = 0.0
        self.rate, self.capacity = plan.limit * share, plan.burst * share
        self.advance(now)

    def set_share(self, share, now):
        """Changes the share; units above a smaller one now belong to another gateway."""
        self.advance(now)
        self.rate, self.capacity = self.plan.limit * share, self.plan.burst * share
        self.level = min(self.level, self.capacity - self.reserved)

    def split_further(self, share, now):
        """Shrinks the share as more gateways hold shares, and debits the capacity that they start with."""
        lost_capacity = self.capacity - self.plan.burst * share
        self.advance(now)
        self.level -= lost_capacity
        self.set_share(share, now)

    def advance(self, now):
        """Refills the bucket up to now."""
        elapsed, self.updated_at = (now - self.updated_at) / SECOND, now
        self.level = min(self.capacity - self.reserved, self.level + self.rate * elapsed)

    def release_time(self, units, now):
        """Returns when to check for the units; the current time if they are available."""
        if not self.plan.limit or self.level >= units:
            return now
        return now + 1 + int((units - self.level) / self.rate * SECOND) if self.rate else NEVER

    def reserve(self, units):
        """Reserves units that are sent to a node."""
        self.level -= units
        self.reserved += units

    def settle(self, units, now):
        """Counts reserved units as used: they reached a node, or no node will receive them."""
        self.advance(now)
        self.reserved -= units
        if self.reserved < ROUNDING:  # otherwise the bucket would never be full again
            self.reserved = 0.0

    def full_at(self):
        """Returns when the bucket will be full if nothing more is sent; `NEVER` while units are reserved."""
        if not self.plan.limit or not self.capacity:
            return self.updated_at
        if self.reserved or not self.rate:
            return NEVER
        return self.updated_at + 1 + int((self.capacity - self.level) / self.rate * SECOND)
