"""The load that 20, 30 and 200 gateways together put on a cold node, simulated on one clock.

The node has the smallest capacity that the settings support: the stated units that a cold node can always
take are 1.2 times what such a node completes within the span right after its start.  The rule allows the
settings' multiple of its capacity.  Each gateway has its own scheduler, seed and clients.
"""

import heapq
import itertools
import random

import pytest

from rushmux.scheduling.interface import (
    AttemptReport,
    AttemptResult,
    DedupScope,
    Endpoint,
    EndpointState,
    Idempotency,
    OperationRequest,
    QosPlan,
    RequestClass,
    SchedulerSettings,
    UpdateKind,
)
from rushmux.scheduling.records import TICKS_PER_SECOND
from rushmux.scheduling.scheduler import Scheduler

MEAN_UNITS, COLD_SPAN, START_CAPACITY, WARM_TIME, COLD_MULTIPLE = 2.2, 30_000, 0.17, 160_000, 3.0
COLD_UNITS_FACTOR = 1.2  # stated cold units, relative to the smallest node's work in its first span
COLD_START_AT = 35_000  # ticks; the node's start, when the gateways already know their cells
CONNECT_INTERVAL = 2_500  # ticks; delayed connections all open at multiples of this
REQUEST_CLASSES = {
    "read": RequestClass("read", 4_000, 20_000, 3, Idempotency.IDEMPOTENT, DedupScope.ALL, 0, False)
}
PLANS = {"base": QosPlan("base", 1e6, 5e5, 0, 0, 0, 1, 1)}


class Fleet:
    """Gateways, and one cold node among warm ones.

    `demand(rng, now, gateway)` returns a request's cell, and whether all gateways use its volume.
    """

    def __init__(self, gateways, cells, rate, calls, demand, *, seed, listed_cold, restarted):
        self.rng, self.now, self.heap, self.order = random.Random(seed), 0, [], itertools.count()
        self.cells, self.rate, self.demand, self.seed = cells, rate, demand, seed
        cold_units = calls * MEAN_UNITS
        # In units per second, when warm.
        self.full_capacity = cold_units / COLD_UNITS_FACTOR / (COLD_SPAN / TICKS_PER_SECOND) / START_CAPACITY
        self.settings = SchedulerSettings(
            REQUEST_CLASSES,
            PLANS,
            gateways,
            20,
            False,
            0,
            3,
            0,
            MEAN_UNITS,
            8,
            cold_units,
            COLD_SPAN,
            COLD_MULTIPLE,
            START_CAPACITY,
            WARM_TIME,
            TICKS_PER_SECOND,
            0,
            None,
            0,
            0,
            allows_cancellation=True,
        )
        self.arrivals, self.served, self.busy_until = [], 0, 0.0
        self.cold_at = 1 if listed_cold else COLD_START_AT
        self.gateways = [None] * gateways
        for number in range(gateways):
            self.schedule(self.rng.randrange(100), self.start, number, seed)
            self.schedule(100 + self.rng.randrange(TICKS_PER_SECOND), self.submit_request, number)
            if restarted:
                self.schedule(
                    self.cold_at + self.rng.randrange(2 * TICKS_PER_SECOND), self.start, number, seed + 1_000
                )
            if not listed_cold:
                self.schedule(COLD_START_AT + self.rng.randrange(3_000), self.apply_delta, number)

    def schedule(self, when, call, *values):
        heapq.heappush(self.heap, (when, next(self.order), call, values))

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, values = heapq.heappop(self.heap)
            call(*values)
        return self

    def start(self, number, seed):
        gateway = Gateway(self, number)
        self.gateways[number] = gateway
        gateway.scheduler = Scheduler(self.settings, seed * 7_919 + number, self.now, gateway)
        cold = self.now >= self.cold_at or self.cold_at == 1
        gateway.scheduler.on_endpoints(
            self.now,
            UpdateKind.SNAPSHOT,
            [
                Endpoint(
                    "cold" if cold and not cell else f"s{cell}",
                    cell,
                    "a",
                    EndpointState.READY,
                    self.cold_at if cold and not cell else 0,
                )
                for cell in range(self.cells)
            ],
        )

    def apply_delta(self, number):
        self.gateways[number].scheduler.on_endpoints(
            self.now,
            UpdateKind.DELTA,
            [
                Endpoint("s0", 0, "a", EndpointState.REMOVED, 0),
                Endpoint("cold", 0, "a", EndpointState.READY, self.cold_at),
            ],
        )
        self.gateways[number].scheduler.run_round(self.now)

    def submit_request(self, number):
        self.schedule(
            self.now + 1 + int(self.rng.expovariate(self.rate) * TICKS_PER_SECOND),
            self.submit_request,
            number,
        )
        scheduler, name = self.gateways[number].scheduler, f"o{next(self.order)}"
        cell, everywhere = self.demand(self.rng, self.now, number)
        units = min(8, 1 + int(self.rng.expovariate(1 / MEAN_UNITS)))
        volume, mounts = ("hot", len(self.gateways)) if everywhere else (f"v{number}.{cell}", 1)
        request = OperationRequest(name, "read", "base", volume, name, 20_000, units, cell, mounts, False)
        scheduler.on_operation(self.now, request)
        scheduler.run_round(self.now)

    def capacity(self, when):
        """The cold node's capacity in units per second."""
        return self.full_capacity * min(
            1, START_CAPACITY + (1 - START_CAPACITY) * max(0, when - self.cold_at) / WARM_TIME
        )

    def serve(self, units, until):
        """Serves a call that arrived at the cold node; returns its end, or None if it is after `until`."""
        self.arrivals.append((self.now, units / MEAN_UNITS))
        done = max(self.busy_until, self.now) + units / self.capacity(self.now) * TICKS_PER_SECOND
        if done > until:
            return None
        self.busy_until = done
        return int(done) + 1

    def excess(self):
        """Returns the largest excess of calls in a span over N + 2 sqrt(N) + 2.

        N is the number of calls allowed by the node's capacity in the middle of the span.
        """
        first, total, worst = 0, 0.0, float("-inf")
        for time, calls in self.arrivals:
            total += calls
            while self.arrivals[first][0] <= time - COLD_SPAN:
                total -= self.arrivals[first][1]
                first += 1
            allowed = (
                COLD_MULTIPLE
                * self.capacity(time - COLD_SPAN // 2)
                * COLD_SPAN
                / TICKS_PER_SECOND
                / MEAN_UNITS
            )
            worst = max(worst, total - allowed - 2 * allowed**0.5 - 2)
        return worst


class Gateway:
    """Runs one scheduler's attempts on the simulated clock."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.scheduler, self.attempt_counts = fleet, number, None, {}

    def start_attempt(self, op_id, node, timeout):
        fleet, count = self.fleet, self.attempt_counts.get(op_id, 0)
        self.attempt_counts[op_id] = count + 1
        until = fleet.now + timeout
        if node == "cold":
            connected_at = (
                -(-fleet.now // CONNECT_INTERVAL) * CONNECT_INTERVAL
                if fleet.rng.random() < 0.3
                else fleet.now + 20
            )
            fleet.schedule(
                connected_at, self.on_arrival, op_id, count, self.scheduler.operations[op_id].units, until
            )
        else:
            fleet.schedule(
                fleet.now + fleet.rng.randrange(300, 900),
                self.complete,
                op_id,
                count,
                AttemptResult.SUCCEEDED,
            )

    def on_arrival(self, op_id, count, units, until):
        if self.fleet.gateways[self.number] is self:
            done = self.fleet.serve(units, until)
            self.fleet.schedule(
                done or until,
                self.complete,
                op_id,
                count,
                AttemptResult.SUCCEEDED if done else AttemptResult.TIMED_OUT,
            )

    def complete(self, op_id, count, result):
        if self.fleet.gateways[self.number] is self:
            self.fleet.served += result == AttemptResult.SUCCEEDED
            succeeded = result is AttemptResult.SUCCEEDED
            report = AttemptReport(op_id, count, result, succeeded, 5, 0.0)
            self.scheduler.on_attempt_result(self.fleet.now, report)
            self.scheduler.run_round(self.fleet.now)

    def wake_after(self, delay):
        self.fleet.schedule(self.fleet.now + delay, self.on_wake)

    def on_wake(self):
        if self.fleet.gateways[self.number] is self:
            self.scheduler.run_round(self.fleet.now)

    def ignore(self, *_):
        """Ignores answers to clients, and actions that these settings do not use."""

    shed = fail = poll_endpoints = cancel_attempt = request_load_report = ignore


def even(cells):
    return lambda rng, now, number: (rng.randrange(cells), False)


def few_cells(cells):
    """Each gateway's volumes lie in six cells."""
    return lambda rng, now, number: ((number * 7 + rng.randrange(6) * 13) % cells, False)


def hot_key(cells):
    """Two in five requests of every gateway are for one volume in one cell."""
    return lambda rng, now, number: (0, True) if rng.random() < 0.4 else (rng.randrange(cells), False)


def one_cell(cells):
    return lambda rng, now, number: (0, True)


def sudden_shift(cells):
    """Even demand, which goes entirely to the cold node's cell from its start on, as when a scan ends."""
    return lambda rng, now, number: (0, True) if now >= COLD_START_AT else (rng.randrange(cells), False)


@pytest.mark.parametrize("demand", [even, few_cells, hot_key, one_cell, sudden_shift])
@pytest.mark.parametrize(
    "gateways, cells, rate, calls", [(20, 16, 16, 60), (30, 16, 5, 25), (200, 100, 1.5, 9)]
)
@pytest.mark.parametrize("listed_cold, restarted", [(False, False), (False, True), (True, False)])
def test_all_gateways_together_do_not_overload_a_cold_node(
    *, demand, gateways, cells, rate, calls, listed_cold, restarted
):
    for seed in range(3):
        fleet = Fleet(
            gateways,
            cells,
            rate,
            calls,
            demand(cells),
            seed=seed,
            listed_cold=listed_cold,
            restarted=restarted,
        )
        fleet.run(fleet.cold_at + 60_000)
        assert fleet.arrivals and fleet.excess() <= 0, seed
