"""What all gateways together send to a cold node: twenty, thirty and two hundred modules on one clock.

The node has the least capacity that the platform's settings go with: seen on limon-puerto (`fit`), the units
that a cold node always bears are 1.2 times what the least node does at its start within the span, and the
rule allows it as many times that as the settings' multiple.  Each module has its own seed and clients.
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
from rushmux.scheduling.records import SECOND
from rushmux.scheduling.scheduler import Scheduler

MEAN, SPAN, START, WARM, MULTIPLE = 2.2, 30_000, 0.17, 160_000, 3.0
STATED = 1.2  # of the least node's work at its start within the span: the units stated as borne
COLD_AT = 35_000  # ticks: when the node starts; the gateways know their cells by then
DIALS = 2_500  # ticks: connections that come up late come up together, so far apart
LANES = {"read": RequestClass("read", 4_000, 20_000, 3, Idempotency.IDEMPOTENT, DedupScope.ALL, 0, False)}
PLANS = {"base": QosPlan("base", 1e6, 5e5, 0, 0, 0, 1, 1)}


class Fleet:
    """Gateways, and one cold node among warm ones.

    `demand(chance, now, gateway)` gives the cell, and whether the volume goes through all gateways.
    """

    def __init__(self, gateways, cells, rate, calls, demand, *, seed, listed_cold, restarted):
        self.chance, self.now, self.heap, self.order = random.Random(seed), 0, [], itertools.count()
        self.cells, self.rate, self.demand, self.seed = cells, rate, demand, seed
        stated = calls * MEAN
        self.full = stated / STATED / (SPAN / SECOND) / START  # units a second once warm
        self.settings = SchedulerSettings(
            LANES,
            PLANS,
            gateways,
            20,
            False,
            0,
            3,
            0,
            MEAN,
            8,
            stated,
            SPAN,
            MULTIPLE,
            START,
            WARM,
            SECOND,
            0,
            None,
            0,
            0,
            allows_cancellation=True,
        )
        self.sent, self.served, self.free = [], 0, 0.0
        self.cold_at = 1 if listed_cold else COLD_AT
        self.gates = [None] * gateways
        for number in range(gateways):
            self.at(self.chance.randrange(100), self.start, number, seed)
            self.at(100 + self.chance.randrange(SECOND), self.ask, number)
            if restarted:
                self.at(self.cold_at + self.chance.randrange(2 * SECOND), self.start, number, seed + 1_000)
            if not listed_cold:
                self.at(COLD_AT + self.chance.randrange(3_000), self.told, number)

    def at(self, when, call, *values):
        heapq.heappush(self.heap, (when, next(self.order), call, values))

    def play(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, values = heapq.heappop(self.heap)
            call(*values)
        return self

    def start(self, number, seed):
        gate = Gate(self, number)
        self.gates[number] = gate
        gate.module = Scheduler(self.settings, seed * 7_919 + number, self.now, gate)
        cold = self.now >= self.cold_at or self.cold_at == 1
        gate.module.on_endpoints(
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

    def told(self, number):
        self.gates[number].module.on_endpoints(
            self.now,
            UpdateKind.DELTA,
            [
                Endpoint("s0", 0, "a", EndpointState.REMOVED, 0),
                Endpoint("cold", 0, "a", EndpointState.READY, self.cold_at),
            ],
        )
        self.gates[number].module.run_round(self.now)

    def ask(self, number):
        self.at(self.now + 1 + int(self.chance.expovariate(self.rate) * SECOND), self.ask, number)
        module, name = self.gates[number].module, f"o{next(self.order)}"
        cell, everywhere = self.demand(self.chance, self.now, number)
        units = min(8, 1 + int(self.chance.expovariate(1 / MEAN)))
        volume, mounts = ("hot", len(self.gates)) if everywhere else (f"v{number}.{cell}", 1)
        request = OperationRequest(name, "read", "base", volume, name, 20_000, units, cell, mounts, False)
        module.on_operation(self.now, request)
        module.run_round(self.now)

    def capacity(self, when):
        """Units a second."""
        return self.full * min(1, START + (1 - START) * max(0, when - self.cold_at) / WARM)

    def arrives(self, units, until):
        """A call's last byte has come to the cold node; when it is done, or None: not by `until`."""
        self.sent.append((self.now, units / MEAN))
        done = max(self.free, self.now) + units / self.capacity(self.now) * SECOND
        if done > until:
            return None
        self.free = done
        return int(done) + 1

    def over(self):
        """The most calls past N + 2 root of N + 2 that came within a span, N by the capacity amid it."""
        first, total, worst = 0, 0.0, float("-inf")
        for at, calls in self.sent:
            total += calls
            while self.sent[first][0] <= at - SPAN:
                total -= self.sent[first][1]
                first += 1
            allowed = MULTIPLE * self.capacity(at - SPAN // 2) * SPAN / SECOND / MEAN
            worst = max(worst, total - allowed - 2 * allowed**0.5 - 2)
        return worst


class Gate:
    """What one module decides: its executions come back by the clock."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.module, self.sent = fleet, number, None, {}

    def start_attempt(self, op_id, node, timeout):
        fleet, count = self.fleet, self.sent.get(op_id, 0)
        self.sent[op_id] = count + 1
        until = fleet.now + timeout
        if node == "cold":
            up = -(-fleet.now // DIALS) * DIALS if fleet.chance.random() < 0.3 else fleet.now + 20
            fleet.at(up, self.arrives, op_id, count, self.module.operations[op_id].units, until)
        else:
            fleet.at(
                fleet.now + fleet.chance.randrange(300, 900), self.back, op_id, count, AttemptResult.SUCCEEDED
            )

    def arrives(self, op_id, count, units, until):
        if self.fleet.gates[self.number] is self:
            done = self.fleet.arrives(units, until)
            self.fleet.at(
                done or until,
                self.back,
                op_id,
                count,
                AttemptResult.SUCCEEDED if done else AttemptResult.TIMED_OUT,
            )

    def back(self, op_id, count, result):
        if self.fleet.gates[self.number] is self:
            self.fleet.served += result == AttemptResult.SUCCEEDED
            succeeded = result is AttemptResult.SUCCEEDED
            report = AttemptReport(op_id, count, result, succeeded, 5, 0.0)
            self.module.on_attempt_result(self.fleet.now, report)
            self.module.run_round(self.fleet.now)

    def wake_after(self, delay):
        self.fleet.at(self.fleet.now + delay, self.woken)

    def woken(self):
        if self.fleet.gates[self.number] is self:
            self.module.run_round(self.fleet.now)

    def ignored(self, *_):
        """Answers to clients, and what these settings do not have."""

    shed = fail = poll_endpoints = cancel_attempt = request_load_report = ignored


def even(cells):
    return lambda chance, now, number: (chance.randrange(cells), False)


def few_cells(cells):
    """Each gateway's volumes lie in six cells, as seen on the platform's days."""
    return lambda chance, now, number: ((number * 7 + chance.randrange(6) * 13) % cells, False)


def hot_key(cells):
    """Two in five requests are for one volume's cell, from every gateway."""
    return lambda chance, now, number: (
        (0, True) if chance.random() < 0.4 else (chance.randrange(cells), False)
    )


def one_cell(cells):
    return lambda chance, now, number: (0, True)


def suddenly(cells):
    """A scan's end: even, and from the node's start on all for one cell."""
    return lambda chance, now, number: (0, True) if now >= COLD_AT else (chance.randrange(cells), False)


@pytest.mark.parametrize("demand", [even, few_cells, hot_key, one_cell, suddenly])
@pytest.mark.parametrize(
    "gateways, cells, rate, calls", [(20, 16, 16, 60), (30, 16, 5, 25), (200, 100, 1.5, 9)]
)
@pytest.mark.parametrize("listed_cold, restarted", [(False, False), (False, True), (True, False)])
def test_all_gateways_together_keep_to_what_a_cold_node_bears(
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
        fleet.play(fleet.cold_at + 60_000)
        assert fleet.sent and fleet.over() <= 0, seed
