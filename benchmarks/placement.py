"""Rebalancing: moves against the least that could do, evenness, and time up to 1,000 cells.

python -m benchmarks.placement [--seed N]
"""

import argparse
import random
import time

from rushmux.fleet.placement import Cell, Node, greedy_plan, peak_utilization, plan_moves

SPREAD = 0.6  # sigma of the cells' weights


def placed(cells, found):
    to = {move.cell: move.target for move in found.moves}
    return [cell._replace(node=to.get(cell.name, cell.node)) for cell in cells]


def start(chance, count, nodes):
    cells = [Cell(number, chance.lognormvariate(0, SPREAD), 1.0, None) for number in range(count)]
    return placed(cells, plan_moves(cells, nodes))


def nodes_of(chance, count, first=0):
    return [
        Node(f"n{number}", chance.choice((1.0, 1.0, 1.5)), f"z{number % 5}") for number in range(first, count)
    ]


def least(cells, nodes, level):
    """Cells that must move at least: on each node the heaviest first until it is no fuller than `level`, and
    all that lie nowhere.
    """
    capacity, moved = {node.name: node.capacity for node in nodes}, 0
    for name in {cell.node: True for cell in cells}:
        own = sorted((cell.weight for cell in cells if cell.node == name), reverse=True)
        if name not in capacity:
            moved += len(own)
            continue
        load = sum(own)
        while load > level * capacity[name] + 1e-9:
            load -= own.pop(0)
            moved += 1
    return moved


def main():
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--seed", type=int, default=1)
    chance = random.Random(asked.parse_args().seed)
    heads = ("cells", "fullest before", "after", "moved", "least", "anew", "s")
    print(f"{'case':34}" + "".join(f"{head:>{width}}" for head, width in zip(heads, (7, 15, 8, 8, 8, 8, 8))))
    for count in (100, 300, 1_000):
        ten, fifty = nodes_of(chance, 10), None
        cells = start(chance, count, ten)
        fifty = ten + nodes_of(chance, 50, 10)
        grown = start(chance, count, fifty)
        rack = [node for node in fifty if node.zone != "z2"]
        hot = [cell._replace(weight=cell.weight * (4 if cell.name % 20 == 0 else 1)) for cell in grown]
        for name, before, stood in (
            ("10 nodes grow to 50", cells, fifty),
            ("10 grow to 11", cells, fifty[:11]),
            ("a rack of 10 of 50 is lost", grown, rack),
            ("a twentieth is four times hotter", hot, fifty),
        ):
            begun = time.perf_counter()
            found = plan_moves(before, stood)
            took = time.perf_counter() - begun
            even = sum(cell.weight for cell in before) / sum(node.capacity for node in stood)
            peak, anew = peak_utilization(before, stood), greedy_plan(before, stood)
            print(
                f"{name:34}{count:7}{peak / even:15.2f}{found.peak_after / even:8.2f}"
                f"{found.moved_size:8.0f}{least(before, stood, found.peak_after):8}{anew.moved_size:8.0f}"
                f"{took:8.2f}"
            )


if __name__ == "__main__":
    main()
