"""Token buckets and usage average of a volume at this gateway, after Zygaria (docs/design.md)."""

from collections import deque

from rushmux.scheduling.interface import AttemptResult, VolumeEvent
from rushmux.scheduling.limit_bucket import LimitBucket
from rushmux.scheduling.records import NEVER, TICKS_PER_SECOND
from rushmux.scheduling.structures import DecayingWindow

BIN_WIDTH = 2_500  # ticks: a bin of the usage average
BIN_COUNT = 20  # bins, five seconds
DECAY = 0.9  # weight of a bin relative to the next younger one
MAX_DEBT = 4  # seconds of the reserve's rate: slack used long ago must not use up the current reserve
REMOTE_USAGE_AGE = 30_000  # ticks for which a reported rate of other gateways counts: surges last longer
REACHED_NODE = (AttemptResult.SUCCEEDED, AttemptResult.FAILED)  # results that prove that the node was reached
REMEMBERED_OPERATIONS = 64  # ended ones, to recognize retries: some seconds of a surge


class Volume:
    """A volume's reserve bucket (deadlines), limit bucket (release times) and usage average (slack)."""

    def __init__(self, request, scheduler, now):
        self.name, self.gateway_count = request.volume, request.gateway_count
        self.plan = plan = scheduler.settings.plans[request.plan]
        self.updated_at = self.requested_at = self.metered_at = now
        self.reserve_cap = plan.reserve + scheduler.settings.max_units
        self.reserve = self.reserve_cap / self.gateway_count  # all gateways together guarantee it once
        share = scheduler.quota_shares.get(self.name, 1 / self.gateway_count)
        # A restarted gateway no longer knows its usage, and may restart again and again: its share of the
        # limit is empty at the start, or when the quota was raised, and fills from then on.
        filling_since = scheduler.quota_raised_at.get(self.name, scheduler.started_at)
        self.limit = LimitBucket(plan, share, filling_since, now)
        self.usage = DecayingWindow(BIN_WIDTH, BIN_COUNT, DECAY, now)
        self.remote_usage_rate = 0.0  # units per second
        self.operation_count = 0  # operations of the volume in the scheduler's table
        self.usage_reported, self.usage_event_at = False, -NEVER  # whether answers contain the fleet's usage
        self.ended_operations = deque(maxlen=REMEMBERED_OPERATIONS)

    def on_gateway_count(self, count, has_quota, now):
        """Processes the gateway count of a request; returns whether it is the highest so far."""
        # Requests may differ.  The highest count holds until the volume is forgotten: other gateways may have
        # received it, and a larger share here would exceed the limit together with theirs.
        if count <= self.gateway_count:
            return False
        self.gateway_count = count
        if not has_quota:
            self.limit.split_further(1 / count, now)
        return True

    def event(self, kind):
        """Returns an event for operators."""
        names = self.name, self.plan.name, self.gateway_count
        return VolumeEvent(kind, *names, self.limit.level, self.limit.capacity, self.limit.rate)

    def advance(self, now):
        """Refills the buckets and ages the usage average up to now."""
        elapsed, self.updated_at = (now - self.updated_at) / TICKS_PER_SECOND, now
        remote_time = min(
            elapsed, max(0, (self.metered_at + REMOTE_USAGE_AGE - now) / TICKS_PER_SECOND + elapsed)
        )
        self.reserve = min(self.reserve_cap, self.reserve + self.plan.reserve * elapsed)
        self._charge_reserve(self.remote_usage_rate * remote_time)
        self.limit.advance(now)
        self.usage.advance(now)

    def deadline(self, units, now):
        """Returns when the reserve bucket had or will have the units."""
        return (
            now - int((self.reserve - units) / self.plan.reserve * TICKS_PER_SECOND)
            if self.plan.reserve
            else NEVER
        )

    def reserve_limit(self, operation):
        """Reserves units of an operation's first attempt."""
        self.limit.reserve(operation.units)
        operation.limit_reserved = operation.units

    def settle_limit(self, operation, now, result=None):
        """Settles reserved units after an attempt; `result` is None if the operation is over."""
        # An attempt that was lost or rejected may not have reached its node, and its retry still may.
        if operation.limit_reserved and (result is None or result in REACHED_NODE):
            self.limit.settle(operation.limit_reserved, now)
            operation.limit_reserved = 0.0

    def _charge_reserve(self, units):
        self.reserve = min(self.reserve_cap, max(self.reserve - units, -MAX_DEBT * self.plan.reserve))

    def charge(self, units):
        """Counts units as served; a negative number refunds units that were not."""
        self._charge_reserve(units)
        self.usage.add(units)

    def on_usage_meter(self, fleet_usage, remote_usage, period, now):
        """Processes reported usage through other gateways (`AttemptReport`)."""
        self.advance(now)
        # The usage may be missing at any time, so the limit bucket does not depend on it.
        if period and fleet_usage:
            fleet_rate = (fleet_usage - 1) / 100 * self.plan.nominal
            self.metered_at = now
            self.remote_usage_rate = max(0.0, fleet_rate - self.usage.mean_rate(TICKS_PER_SECOND))
        elif not period:
            self._charge_reserve(remote_usage)
