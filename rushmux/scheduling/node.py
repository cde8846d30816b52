"""A node's entry in the endpoint list, and what this gateway learned from its own attempts."""

from collections import deque

from rushmux.scheduling.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from rushmux.scheduling.interface import AttemptResult
from rushmux.scheduling.records import NEVER, SentUnits

MAX_IN_FLIGHT = 10  # attempts in flight at a node
INITIAL_LIMIT = 3  # attempts: keeps the cores of a small node busy before its capacity is known
REPORTED_LIMIT = 0.5  # attempts: the highest limit set by a load report with tens of gateways
REPORT_STEP = 3  # the largest factor by which a report changes a limit
OVERLOAD_FRACTION = 0.5  # of the latency objective: with a longer service and queue time a node is overloaded
ANSWER_CREDIT = 0.8  # of the overload rule's margin over capacity, granted in slow start for answered units


class Node:
    """A storage node: its list entry, concurrency limit, slow start and load reports."""

    def __init__(self, endpoint, scheduler):
        settings = self.settings = scheduler.settings
        self.endpoint, self.reports_load = endpoint, settings.reports_load
        self.in_flight = {}  # (operation, attempt) -> time sent, oldest first
        # Gateways do not see each other's attempts: with load reports, all together begin with ten.
        even_share = MAX_IN_FLIGHT / settings.gateway_count
        self.limit = ConcurrencyLimit(
            min(INITIAL_LIMIT, even_share) if self.reports_load else INITIAL_LIMIT, False
        )
        self.limits = (self.limit,) if self.reports_load else (self.limit, scheduler.limit)
        self.min_reported_limit = 1 / settings.gateway_count
        self.max_reported_limit = min(INITIAL_LIMIT, max(REPORTED_LIMIT, even_share))
        self.overload_time = OVERLOAD_FRACTION * settings.shortest_objective
        self.recent_units = deque()  # `SentUnits` within the slow start window
        self.window_index = self.dither = 0  # of the slow start window, and its random fraction
        self.reported_service = self.expected_service = 0  # ticks for a mean operation
        self.saw_late = self.wants_report = False  # since the last request for a report
        self.report_requested_at = -NEVER

    def update(self, endpoint):
        """Sets the list entry; the limit of a node that restarted falls to `MIN_LIMIT`."""
        if self.endpoint.online_since != endpoint.online_since:
            self.limit.size, self.expected_service = min(MIN_LIMIT, self.limit.size), 0
        self.endpoint = endpoint

    def on_latency(self, late):
        """Records whether an attempt was late, if load reports set the limit."""
        self.saw_late = self.saw_late or late
        self.wants_report = self.wants_report or self.saw_late

    def on_success(self, units, now):
        """Credits answered units to the slow start allowance."""
        credit = ANSWER_CREDIT * (self.settings.overload_multiple - 1) * units
        self.recent_units.append(SentUnits(now, -credit))

    def on_load_report(self, result, queue, service):
        """Sets the limit by a report; without one, a late attempt or a timeout means overload."""
        saw_late, self.saw_late = self.saw_late, False
        load = 0.0  # relative to overload
        if service is not None:
            self.expected_service = min(service, self.reported_service or service)
            self.reported_service = service
            load = service * (1 + (queue or 0) / INITIAL_LIMIT) / self.overload_time
        elif saw_late or result is AttemptResult.TIMED_OUT:
            load = REPORT_STEP
        size = self.limit.size / max(1 / REPORT_STEP, min(REPORT_STEP, load))
        if load > 1:
            self.limit.size = max(self.min_reported_limit, size)
        elif service is not None:
            self.limit.size = max(self.limit.size, min(self.max_reported_limit, size))

    def slow_start_allowance(self, scheduler, units, now):
        """Returns the units that may still be sent in this slow start window; `NEVER` once the node is warm.

        Gateways do not know of each other and must not overload the node together: each uses its share of the
        growing capacity, and credit for answered units.  It is assumed to share the node with the fraction of
        all gateways that equals the fraction of cells that it uses, and at least with the gateways of the
        cell's most shared volume.  Shares below one operation are used at random.
        """
        settings, age = self.settings, now - self.endpoint.online_since
        window, cells = settings.slow_start_window, scheduler.endpoints.listed_cells
        while self.recent_units and self.recent_units[0].at <= now - window:
            self.recent_units.popleft()  # for warm nodes too, to bound memory
        if not self.endpoint.online_since or age >= settings.warm_up_time:
            return NEVER
        if now - scheduler.started_at < window:  # a restarted gateway no longer knows what it sent
            return 0
        if self.window_index != now // window:
            self.window_index = now // window
            self.dither = scheduler.random.fraction()
        warm_up_factor = (
            1 + (1 / settings.initial_capacity - 1) * max(0, age - window) / settings.warm_up_time
        )
        requested_cells = max(1, sum(cell.last_requested_at > now - window for cell in cells))
        own_cell = scheduler.endpoints.cells[self.endpoint.cell]
        sharing_gateways = max(
            own_cell.sharing_gateways, requested_cells * settings.gateway_count / len(cells)
        )
        allowance = settings.slow_start_units * warm_up_factor / sharing_gateways + self.dither * units
        return allowance - sum(sent.units for sent in self.recent_units)
