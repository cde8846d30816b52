"""An upper bound on what a scheduler with full knowledge of a day could serve in time.

A linear program divides time into slots, in each of which a node offers its core-seconds at its speed then.
An operation may be served in any slot from its arrival to the end of its latency objective, by the node that
holds its data, or by any node for a new object.  All simplifications favour the scheduler: sizes are rounded
down to classes, keys accessed before have the lower cost, deferred work costs nothing, operations may be
split over slots, messages take no time, and a node in slow start may be loaded up to its capacity.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import numpy
from scipy import sparse
from scipy.optimize import linprog

from rushmux.lab.day import Day
from rushmux.lab.errors import LabError
from rushmux.lab.faults import FaultEvent, FaultKind
from rushmux.lab.fleet import Fleet, node_name
from rushmux.lab.workload import Arrival
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import RequestClass
from rushmux.standins.service_model import Shape

SLOT = 0.5  # seconds
SIZE_CLASS_RATIO = 1.3  # between neighbouring size classes
EXTRA_TIME = 5  # seconds after the day in which work may still be done
COST_DIGITS = 6  # of core-seconds, so that equal costs are grouped
DOWN_KINDS = (FaultKind.SILENT, FaultKind.PARTITION, FaultKind.NODE_RESTART)
SOLVED = 0  # status of scipy's `linprog`


class SolverError(LabError):
    """The solver found no bound.

    Attributes:
        reason: Its message.
    """

    def __init__(self, reason: str):
        super().__init__(f"the solver found no bound: {reason}")
        self.reason = reason


class _OperationGroup(NamedTuple):
    """Operations that the linear program does not distinguish."""

    first_slot: int
    last_slot: int
    cell: int
    cost: float
    """Core-seconds of each operation."""


def _node_capacity(
    cell: int, fleet: Fleet, speed: float, events: Iterable[FaultEvent], slot_count: int
) -> numpy.ndarray:
    """Core-seconds of a node in each slot."""
    middles = (numpy.arange(slot_count) + 0.5) * SLOT
    fraction = numpy.ones(slot_count)
    for event in events:
        if node_name(cell) in event.targets:
            fraction = _fraction_after_fault(fraction, event, middles, fleet.machine)
    return fraction * fleet.machine.cores * speed * SLOT


def _fraction_after_fault(
    fraction: numpy.ndarray, event: FaultEvent, middles: numpy.ndarray, machine: Shape
) -> numpy.ndarray:
    """Applies a fault to the fraction of a node's capacity left in each slot."""
    end = event.at + event.duration
    # Slots only partly within the fault keep their capacity, in favour of the scheduler.
    within = (middles - SLOT / 2 >= event.at) & (middles + SLOT / 2 <= end)
    if event.kind in DOWN_KINDS:
        fraction = numpy.where(within, 0.0, fraction)
    elif event.kind is FaultKind.SLOW:
        fraction = numpy.where(within, fraction / max(1.0, event.size), fraction)
    if event.kind is FaultKind.NODE_RESTART:
        age = numpy.clip(middles + SLOT / 2 - end, 0, None)
        slow_start = machine.cold_start + (1 - machine.cold_start) * age / machine.warm_within
        after = numpy.minimum(fraction, numpy.minimum(1.0, slow_start))
        fraction = numpy.where(middles >= end, after, fraction)
    return fraction


def _group_operations(
    arrivals: Iterable[Arrival],
    machine: Shape,
    request_classes: Mapping[str, RequestClass],
    slot_count: int,
) -> dict[_OperationGroup, int]:
    """Counts the operations of each group."""
    seen: set[str] = set()
    groups: dict[_OperationGroup, int] = defaultdict(int)
    for arrival in arrivals:
        objective = request_classes[arrival.request_class].latency_objective / TICKS_PER_SECOND
        last_slot = min(int((arrival.at + objective) / SLOT), slot_count - 1)
        cost = round(float(_least_cost(arrival, machine, seen)), COST_DIGITS)
        groups[_OperationGroup(int(arrival.at / SLOT), last_slot, arrival.cell, cost)] += 1
    return groups


def _least_cost(arrival: Arrival, machine: Shape, seen: set[str]) -> float:
    """The lowest cost of an operation, in core-seconds at speed 1; adds its key to those `seen`."""
    size_class = numpy.floor(numpy.log(arrival.units) / numpy.log(SIZE_CLASS_RATIO))
    cost = SIZE_CLASS_RATIO**size_class * machine.unit
    if arrival.key:
        cost *= (1 - machine.saved) if arrival.key in seen else 1.0
        seen.add(arrival.key)
    if arrival.is_write:
        cost *= 1 - machine.put_off
    return cost


class _LinearProgram:
    """Variables are a group's operations served in a slot; constraints are capacities and counts."""

    def __init__(self, capacities: Sequence[numpy.ndarray], slot_count: int):
        self.rows: list[int] = []
        self.columns: list[int] = []
        self.coefficients: list[float] = []
        self.limits: list[float] = []
        self.upper_bounds: list[int] = []
        self.cell_rows = {
            (slot, cell): self._add_constraint(capacity[slot])
            for slot in range(slot_count)
            for cell, capacity in enumerate(capacities)
        }
        # A new object may go to any node: treating all nodes as one favours the scheduler.
        self.fleet_rows = [
            self._add_constraint(sum(capacity[slot] for capacity in capacities)) for slot in range(slot_count)
        ]

    def _add_constraint(self, limit: float) -> int:
        self.limits.append(limit)
        return len(self.limits) - 1

    def _add_coefficient(self, row: int, column: int, value: float) -> None:
        self.rows.append(row)
        self.columns.append(column)
        self.coefficients.append(value)

    def add_group(self, group: _OperationGroup, count: int) -> None:
        """Adds a group's operations, each served at most once, in any of its slots."""
        count_row = self._add_constraint(count)
        for slot in range(group.first_slot, group.last_slot + 1):
            column = len(self.upper_bounds)
            self.upper_bounds.append(count)
            if group.cell >= 0:
                self._add_coefficient(self.cell_rows[slot, group.cell], column, group.cost)
            self._add_coefficient(self.fleet_rows[slot], column, group.cost)
            self._add_coefficient(count_row, column, 1.0)

    def solve(self) -> float:
        """The most operations that can be served; infinity if there are none."""
        variable_count = len(self.upper_bounds)
        if not variable_count:
            return float("inf")
        shape = (len(self.limits), variable_count)
        matrix = sparse.csr_matrix((self.coefficients, (self.rows, self.columns)), shape=shape)
        solved = linprog(
            -numpy.ones(variable_count),
            A_ub=matrix,
            b_ub=numpy.array(self.limits),
            bounds=[(0.0, upper) for upper in self.upper_bounds],
            method="highs",
        )
        if solved.status != SOLVED:
            raise SolverError(solved.message)
        return -solved.fun


def upper_bound(day: Day, seconds: float, speeds: Mapping[int, float] | None = None) -> float:
    """The largest fraction of all operations that could be served in time.

    Args:
        day: The day.
        seconds: Its length.
        speeds: Machine speed by cell; None: the speed that the fleet states for all.

    Raises:
        SolverError: The solver found no bound.
    """
    fleet = day.fleet
    speeds = speeds or dict.fromkeys(range(fleet.node_count), fleet.machine.speed)
    slot_count = int(numpy.ceil((seconds + EXTRA_TIME) / SLOT)) + 1
    capacities = [
        _node_capacity(cell, fleet, speeds[cell], day.events, slot_count) for cell in range(fleet.node_count)
    ]
    program = _LinearProgram(capacities, slot_count)
    request_classes = day.deployment.settings.request_classes
    groups = _group_operations(day.arrivals, fleet.machine, request_classes, slot_count)
    for group, count in groups.items():
        program.add_group(group, count)
    return min(1.0, program.solve() / max(1, len(day.arrivals)))
