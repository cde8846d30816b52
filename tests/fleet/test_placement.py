"""Placement plans are balanced, cheap, stable and within limits; small ones match an exact solver."""

import random

import numpy
import pytest
from scipy.optimize import Bounds, LinearConstraint, milp

from rushmux.fleet.placement import BALANCE_TOLERANCE, Cell, Node, greedy_plan, peak_utilization, plan_moves


def draw_fleet(seed, cells, nodes, zones=3, spread=0.6):
    """Returns cells placed at random on nodes of different capacities."""
    rng = random.Random(seed)
    drawn_nodes = [
        Node(f"n{number}", rng.choice((1.0, 1.0, 2.0)), f"z{number % zones}") for number in range(nodes)
    ]
    return [
        Cell(number, rng.lognormvariate(0, spread), 1.0, rng.choice(drawn_nodes).name)
        for number in range(cells)
    ], drawn_nodes


def after_moves(cells, plan):
    target = {move.cell: move.target for move in plan.moves}
    return [cell._replace(node=target.get(cell.name, cell.node)) for cell in cells]


def optimal_peak(cells, nodes, budget):
    """Returns the lowest possible peak utilization within a budget, found by an exact solver."""
    cell_count, node_count = len(cells), len(nodes)
    size = cell_count * node_count + 1
    objective = numpy.zeros(size)
    objective[-1] = 1.0
    rows, lower, upper = [], [], []
    for cell_index in range(cell_count):
        row = numpy.zeros(size)
        row[cell_index * node_count : (cell_index + 1) * node_count] = 1
        rows.append(row), lower.append(1), upper.append(1)
    for number, node in enumerate(nodes):
        row = numpy.zeros(size)
        for cell_index, cell in enumerate(cells):
            row[cell_index * node_count + number] = cell.weight / node.capacity
        row[-1] = -1
        rows.append(row), lower.append(-numpy.inf), upper.append(0)
    row = numpy.zeros(size)
    for cell_index, cell in enumerate(cells):
        for number, node in enumerate(nodes):
            row[cell_index * node_count + number] = cell.size * (cell.node != node.name)
    rows.append(row), lower.append(0), upper.append(budget)
    integrality = numpy.ones(size)
    integrality[-1] = 0
    solution = milp(
        objective,
        constraints=LinearConstraint(numpy.array(rows), lower, upper),
        integrality=integrality,
        bounds=Bounds(0, numpy.append(numpy.ones(size - 1), numpy.inf)),
        options={"time_limit": 10},
    )
    return solution.fun


@pytest.mark.parametrize("seed", range(6))
def test_the_peak_is_near_the_optimum_on_small_cases(seed):
    cells, nodes = draw_fleet(seed, 14, 4, zones=1)
    for budget in (2.0, 4.0, 14.0):
        best, plan = optimal_peak(cells, nodes, budget), plan_moves(cells, nodes, budget)
        assert plan.moved_size <= budget
        assert best - 1e-6 <= plan.peak_after <= max(best * 1.25, best + BALANCE_TOLERANCE * 3)


@pytest.mark.parametrize("seed", range(4))
def test_the_plan_states_the_peaks_that_its_moves_make(seed):
    cells, nodes = draw_fleet(seed, 200, 12)
    plan = plan_moves(cells, nodes)
    after = after_moves(cells, plan)
    assert peak_utilization(after, nodes) == pytest.approx(plan.peak_after) and peak_utilization(
        cells, nodes
    ) == pytest.approx(plan.peak_before)
    assert plan.peak_after < plan.peak_before and plan.moved_size == len(plan.moves)
    mean_utilization = sum(cell.weight for cell in cells) / sum(node.capacity for node in nodes)
    assert plan.peak_after <= mean_utilization * 1.12


def test_a_second_plan_moves_nothing_and_a_small_change_moves_little():
    cells, nodes = draw_fleet(3, 300, 15)
    after = after_moves(cells, plan_moves(cells, nodes))
    assert plan_moves(after, nodes).moves == ()
    rng = random.Random(1)
    perturbed = [cell._replace(weight=cell.weight * rng.uniform(0.97, 1.03)) for cell in after]
    assert len(plan_moves(perturbed, nodes).moves) <= 0.03 * len(cells)


def test_a_lost_node_moves_its_own_cells_and_few_others():
    cells, nodes = draw_fleet(4, 300, 15)
    after = after_moves(cells, plan_moves(cells, nodes))
    lost_node, remaining_nodes = nodes[0].name, nodes[1:]
    plan = plan_moves(after, remaining_nodes)
    lost_cells = {cell.name for cell in after if cell.node == lost_node}
    assert lost_cells == {move.cell for move in plan.moves if move.forced}
    assert len(plan.moves) <= 1.5 * len(lost_cells)
    assert [move.forced for move in plan.moves] == sorted((move.forced for move in plan.moves), reverse=True)


def test_zones_stay_within_their_shares():
    cells, nodes = draw_fleet(5, 240, 12, zones=3)
    crowded = [cell._replace(node="n0") for cell in cells]
    after = after_moves(crowded, plan_moves(crowded, nodes))
    zone = {node.name: node.zone for node in nodes}
    total_weight, capacity = sum(cell.weight for cell in cells), sum(node.capacity for node in nodes)
    for name in ("z0", "z1", "z2"):
        capacity_share = sum(node.capacity for node in nodes if node.zone == name) / capacity
        assert (
            sum(cell.weight for cell in after if zone[cell.node] == name)
            <= 1.15 * 1.1 * capacity_share * total_weight
        )


def test_a_budget_is_kept_and_no_nodes_are_an_error():
    cells, nodes = draw_fleet(6, 200, 10)
    for budget in (0.0, 5.0, 30.0):
        assert plan_moves(cells, nodes, budget).moved_size <= budget
    assert plan_moves(cells, nodes, 0.0).moves == ()
    with pytest.raises(ValueError):
        plan_moves(cells, [])


def test_a_plan_moves_far_less_than_placing_all_cells_anew():
    cells, nodes = draw_fleet(7, 400, 20)
    after = after_moves(cells, plan_moves(cells, nodes))
    grown = [*nodes, Node("new", 1.0, "z0")]
    plan, baseline = plan_moves(after, grown), greedy_plan(after, grown)
    assert plan.moved_size < 0.2 * baseline.moved_size
    assert plan.peak_after <= 1.15 * baseline.peak_after
