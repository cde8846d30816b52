"""Token buckets and usage average of one volume, as this gateway sees it (Zygaria, docs/design.md)."""

from collections import deque

from rushmux.scheduling.interface import AttemptResult, VolumeEvent
from rushmux.scheduling.limit_bucket import LimitBucket
from rushmux.scheduling.records import NEVER, SECOND
from rushmux.scheduling.structures import DecayingWindow

BIN_WIDTH = 2_500  # ticks: a bin of the usage average, from the design
BIN_COUNT = 20  # five seconds, from the design
DECAY = 0.9  # weight of a bin against the next younger one, from the design
MAX_DEBT = 4  # seconds of the reserve's fill: slack taken long ago must not eat today's reserve
REMOTE_USAGE_AGE = 30_000  # ticks for which the told rate of other gateways counts: surges last longer
REACHED_NODE = (AttemptResult.SUCCEEDED, AttemptResult.FAILED)  # answers that prove that a node had the units
REMEMBERED_OPERATIONS = 64  # ended operations to know retries by: some seconds of a surge


class Volume:
    """The reserve bucket sets deadlines, the limit bucket release times, the usage average who gets slack."""

    def __init__(self, request, scheduler, now):
        self.name, self.gateway_count = request.volume, request.gateway_count
        self.plan = plan = scheduler.settings.plans[request.plan]
        self.updated_at = self.requested_at = self.metered_at = now
        self.reserve_cap = plan.reserve + scheduler.settings.max_units
        self.reserve = self.reserve_cap / self.gateway_count  # what all its gateways promise together
        share = scheduler.quota_shares.get(self.name, 1 / self.gateway_count)
        # A gateway that came back has forgotten what it used, and may come back again and again: its share of
        # the limit is empty at its start and fills from then on; a larger quota, from when it was told.
        filling_since = scheduler.quota_grown_at.get(self.name, scheduler.started_at)
        self.limit = LimitBucket(plan, share, filling_since, now)
        self.usage = DecayingWindow(BIN_WIDTH, BIN_COUNT, DECAY, now)
        self.remote_usage_rate = 0.0  # units a second
        self.held_operations = 0  # of it, that this gateway has not forgotten
        self.usage_reported, self.usage_noted_at = False, -NEVER  # whether answers tell the fleet's usage
        self.ended_operations = deque(maxlen=REMEMBERED_OPERATIONS)

    def on_gateway_count(self, count, has_quota, now):
        """Takes in how many gateways a request names; whether it is more than all before named."""
        # Requests may differ.  The most that any named counts until the volume is forgotten: a larger share
        # here would stand beside the smaller ones of gateways that were told of more.
        if count <= self.gateway_count:
            return False
        self.gateway_count = count
        if not has_quota:
            self.limit.split_further(1 / count, now)
        return True

    def event(self, kind):
        """What operators are told when something of it changes."""
        names = self.name, self.plan.name, self.gateway_count
        return VolumeEvent(kind, *names, self.limit.level, self.limit.capacity, self.limit.rate)

    def advance(self, now):
        """Fills the buckets and ages the average up to now."""
        elapsed, self.updated_at = (now - self.updated_at) / SECOND, now
        remote_time = min(elapsed, max(0, (self.metered_at + REMOTE_USAGE_AGE - now) / SECOND + elapsed))
        self.reserve = min(self.reserve_cap, self.reserve + self.plan.reserve * elapsed)
        self._charge_reserve(self.remote_usage_rate * remote_time)
        self.limit.advance(now)
        self.usage.advance(now)

    def deadline(self, units, now):
        """When the reserve bucket has, or will have, the units."""
        return now - int((self.reserve - units) / self.plan.reserve * SECOND) if self.plan.reserve else NEVER

    def reserve_limit(self, operation):
        """Lets an operation's first attempt go."""
        self.limit.reserve(operation.units)
        operation.limit_reserved = operation.units

    def settle_limit(self, operation, now, result=None):
        """Takes in how an attempt came back; None: the operation is over."""
        # An attempt that was lost or rejected need not have reached its node, and the retry still may.
        if operation.limit_reserved and (result is None or result in REACHED_NODE):
            self.limit.settle(operation.limit_reserved, now)
            operation.limit_reserved = 0.0

    def _charge_reserve(self, units):
        self.reserve = min(self.reserve_cap, max(self.reserve - units, -MAX_DEBT * self.plan.reserve))

    def charge(self, units):
        """Counts units as served; negative: they were not served after all."""
        self._charge_reserve(units)
        self.usage.add(units)

    def on_usage_meter(self, fleet_usage, remote_usage, period, now):
        """Takes in what other gateways had served, as an answer tells it (`AttemptReport`)."""
        self.advance(now)
        # A figure may be missing at any time: it tells nothing of what the limit holds.
        if period and fleet_usage:
            fleet_rate = (fleet_usage - 1) / 100 * self.plan.nominal
            self.metered_at = now
            self.remote_usage_rate = max(0.0, fleet_rate - self.usage.mean_rate(SECOND))
        elif not period:
            self._charge_reserve(remote_usage)
