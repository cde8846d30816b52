"""This gateway's share of the token bucket that enforces a volume's limit over all gateways.

All shares together, reserved units included, never hold more than a single bucket of the volume would.  So
each gateway enforces the limit on its own, whatever restarts or is lost, late or misreported.
"""

from rushmux.scheduling.records import NEVER, TICKS_PER_SECOND

ROUNDING = 1e-6  # units: tolerance for rounding errors of float sums


class LimitBucket:
    """A token bucket whose units count as used when they reach a node.

    Units that were sent stay reserved until they are known to have reached a node or to be lost.  They may
    arrive at any moment until then, so the bucket must not refill in their place.  A plan without a limit
    admits everything.
    """

    def __init__(self, plan, share, filling_since, now):
        """Creates a bucket that was empty at `filling_since`; `share` is its fraction of the limit."""
        self.plan = plan
        self.updated_at = filling_since
        self.level = self.reserved = 0.0
        self.rate, self.capacity = plan.limit * share, plan.burst * share
        self.advance(now)

    def set_share(self, share, now):
        """Changes the share; units above it now belong to another gateway."""
        self.advance(now)
        self.rate, self.capacity = self.plan.limit * share, self.plan.burst * share
        self.level = min(self.level, self.capacity - self.reserved)

    def split_further(self, share, now):
        """Shrinks the share, and debits the capacity that went to other gateways."""
        lost_capacity = self.capacity - self.plan.burst * share
        self.advance(now)
        self.level -= lost_capacity
        self.set_share(share, now)

    def advance(self, now):
        """Refills the bucket up to now."""
        elapsed, self.updated_at = (now - self.updated_at) / TICKS_PER_SECOND, now
        self.level = min(self.capacity - self.reserved, self.level + self.rate * elapsed)

    def release_time(self, units, now):
        """Returns when to check for units; `now` if there are enough."""
        if not self.plan.limit or self.level >= units:
            return now
        return now + 1 + int((units - self.level) / self.rate * TICKS_PER_SECOND) if self.rate else NEVER

    def reserve(self, units):
        """Reserves units."""
        self.level -= units
        self.reserved += units

    def settle(self, units, now):
        """Ends the reservation of units that reached a node or never will; they count as used."""
        self.advance(now)
        self.reserved -= units
        if self.reserved < ROUNDING:  # or it would never be full again
            self.reserved = 0.0

    def full_at(self):
        """Returns when it will be full if nothing is sent; `NEVER` while units are reserved."""
        if not self.plan.limit or not self.capacity:
            return self.updated_at
        if self.reserved or not self.rate:
            return NEVER
        return self.updated_at + 1 + int((self.capacity - self.level) / self.rate * TICKS_PER_SECOND)
