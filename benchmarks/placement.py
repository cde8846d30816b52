"""Measures rebalancing of up to 1,000 cells: moves against the minimum, balance and time.

python -m benchmarks.placement [--seed N]
"""

import argparse
import random
import time
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from rushmux.fleet.placement import (
    Cell,
    Node,
    PlacementPlan,
    greedy_plan,
    peak_utilization,
    plan_moves,
)

WEIGHT_SIGMA = 0.6  # of the cells' lognormal weights
CAPACITIES = (1.0, 1.0, 1.5)
ZONES = 5
LOST_ZONE = "z2"
HOT_EVERY, HOT_FACTOR = 20, 4  # one cell in HOT_EVERY has HOT_FACTOR times its weight
SIZES = (100, 300, 1_000)  # cells
COLUMNS = {"cells": 7, "fullest before": 15, "after": 8, "moved": 8, "least": 8, "anew": 8, "s": 8}
"""Headings and their widths; `anew`: size moved by `greedy_plan`."""
CASE_WIDTH = 34
EPSILON = 1e-9


class Case(NamedTuple):
    """Cells on their current nodes, and the available nodes."""

    name: str
    cells: Sequence[Cell]
    nodes: Sequence[Node]


def after_moves(cells: Sequence[Cell], plan: PlacementPlan) -> list[Cell]:
    """Returns the cells as a plan places them."""
    target = {move.cell: move.target for move in plan.moves}
    return [cell._replace(node=target.get(cell.name, cell.node)) for cell in cells]


def draw_cells(rng: random.Random, count: int, nodes: Sequence[Node]) -> list[Cell]:
    """Draws cells and places them on nodes."""
    cells = [Cell(number, rng.lognormvariate(0, WEIGHT_SIGMA), 1.0, None) for number in range(count)]
    return after_moves(cells, plan_moves(cells, nodes))


def draw_nodes(rng: random.Random, count: int, first: int = 0) -> list[Node]:
    """Draws nodes `first` to `count - 1`."""
    return [
        Node(f"n{number}", rng.choice(CAPACITIES), f"z{number % ZONES}") for number in range(first, count)
    ]


def min_moves(cells: Sequence[Cell], nodes: Sequence[Node], peak: float) -> int:
    """Returns the minimum number of cells that must move.

    These are cells without an available node, and a node's heaviest until it is at most `peak` full.
    """
    capacity = {node.name: node.capacity for node in nodes}
    moved = 0
    for name in dict.fromkeys(cell.node for cell in cells):
        weights = sorted((cell.weight for cell in cells if cell.node == name), reverse=True)
        if name not in capacity:
            moved += len(weights)
            continue
        load = sum(weights)
        while load > peak * capacity[name] + EPSILON:
            load -= weights.pop(0)
            moved += 1
    return moved


def cases(rng: random.Random, count: int, ten_nodes: Sequence[Node]) -> Iterator[Case]:
    """Yields the cases of one size."""
    cells = draw_cells(rng, count, ten_nodes)
    fifty_nodes = [*ten_nodes, *draw_nodes(rng, 50, 10)]
    spread_cells = draw_cells(rng, count, fifty_nodes)
    remaining = [node for node in fifty_nodes if node.zone != LOST_ZONE]
    hot_cells = [
        cell._replace(weight=cell.weight * (HOT_FACTOR if cell.name % HOT_EVERY == 0 else 1))
        for cell in spread_cells
    ]
    yield Case("10 nodes grow to 50", cells, fifty_nodes)
    yield Case("10 grow to 11", cells, fifty_nodes[:11])
    yield Case("a rack of 10 of 50 is lost", spread_cells, remaining)
    yield Case("a twentieth is four times hotter", hot_cells, fifty_nodes)


def print_case(case: Case) -> None:
    """Plans a case and prints its row."""
    started_at = time.perf_counter()
    plan = plan_moves(case.cells, case.nodes)
    took = time.perf_counter() - started_at
    mean_utilization = sum(cell.weight for cell in case.cells) / sum(node.capacity for node in case.nodes)
    before = peak_utilization(case.cells, case.nodes) / mean_utilization
    minimum = min_moves(case.cells, case.nodes, plan.peak_after)
    greedy_size = greedy_plan(case.cells, case.nodes).moved_size
    print(
        f"{case.name:{CASE_WIDTH}}{len(case.cells):7}{before:15.2f}{plan.peak_after / mean_utilization:8.2f}"
        f"{plan.moved_size:8.0f}{minimum:8}{greedy_size:8.0f}{took:8.2f}"
    )


def main() -> None:
    """Prints a table of all cases."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    print(f"{'case':{CASE_WIDTH}}" + "".join(f"{heading:>{width}}" for heading, width in COLUMNS.items()))
    for count in SIZES:
        for case in cases(rng, count, draw_nodes(rng, 10)):
            print_case(case)


if __name__ == "__main__":
    main()
