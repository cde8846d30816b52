"""Placement plans: by local search, and a greedy baseline."""

from collections.abc import Sequence
from heapq import heapify, heappop, heappush

from rushmux.fleet.errors import NoNodesError
from rushmux.fleet.placement.assignment import ZONE_OVERCOMMIT, Assignment, peak_utilization
from rushmux.fleet.placement.rebalancing import rebalance
from rushmux.fleet.placement.records import Cell, Move, Node, PlacementPlan, heaviest_first


def plan_moves(
    cells: Sequence[Cell],
    nodes: Sequence[Node],
    budget: float = float("inf"),
    zone_overcommit: float = ZONE_OVERCOMMIT,
) -> PlacementPlan:
    """Plans moves that place all unassigned cells, then moves for balance within the budget.

    Args:
        cells: All cells with their current nodes.
        nodes: The nodes that may hold cells.
        budget: Maximum total size of moves for balance.
        zone_overcommit: Maximum zone load relative to its share by capacity, at least 1.

    Raises:
        NoNodesError: There are no nodes; a ValueError.
    """
    if not nodes:
        raise NoNodesError
    assignment = Assignment(cells, nodes, zone_overcommit)
    peak_before = assignment.peak_utilization()
    _place_unassigned(assignment, cells)
    moved_size = rebalance(assignment, budget)
    moves = _moves(assignment, cells)
    forced_size = sum(assignment.cells[move.cell].size for move in moves if move.forced)
    return PlacementPlan(moves, peak_before, assignment.peak_utilization(), moved_size + forced_size)


def greedy_plan(cells: Sequence[Cell], nodes: Sequence[Node]) -> PlacementPlan:
    """Baseline that places all cells anew, heaviest first, each on the least utilized node."""
    loads = [(0.0, node.name) for node in nodes]
    capacity = {node.name: node.capacity for node in nodes}
    heapify(loads)
    moves, placed = [], []
    for cell in sorted(cells, key=heaviest_first):
        utilization, name = heappop(loads)
        heappush(loads, (utilization + cell.weight / capacity[name], name))
        placed.append(cell._replace(node=name))
        if cell.node != name:
            moves.append(Move(cell.name, cell.node, name, cell.node not in capacity))
    moved = {move.cell for move in moves}
    return PlacementPlan(
        tuple(moves),
        peak_utilization(cells, nodes),
        peak_utilization(placed, nodes),
        sum(cell.size for cell in cells if cell.name in moved),
    )


def _place_unassigned(assignment: Assignment, cells: Sequence[Cell]) -> None:
    """Assigns unassigned cells, heaviest first, each to the least utilized node whose zone has room."""
    heap = [(assignment.utilization(name), name) for name in assignment.nodes]
    heapify(heap)
    unassigned = [cell for cell in cells if assignment.node_of[cell.name] is None]
    for cell in sorted(unassigned, key=heaviest_first):
        popped = _pop_until_zone_fits(assignment, heap, cell)
        fits = assignment.fits_zone(cell.weight, popped[-1])
        assignment.assign(cell, popped[-1] if fits else popped[0])
        for name in popped:
            heappush(heap, (assignment.utilization(name), name))


def _pop_until_zone_fits(assignment: Assignment, heap: list[tuple[float, str]], cell: Cell) -> list[str]:
    """Pops the least utilized nodes up to the first whose zone has room, or all if no zone has."""
    popped = []
    while heap:
        utilization, name = heappop(heap)
        if utilization != assignment.utilization(name):  # outdated heap entry
            heappush(heap, (assignment.utilization(name), name))
            continue
        popped.append(name)
        if assignment.fits_zone(cell.weight, name):
            break
    return popped


def _moves(assignment: Assignment, cells: Sequence[Cell]) -> tuple[Move, ...]:
    """Returns the moves from the origins: forced ones first, then those off the most utilized nodes."""
    origin = assignment.origin
    moves = [
        Move(cell.name, origin[cell.name], assignment.node_of[cell.name], origin[cell.name] is None)
        for cell in cells
        if assignment.node_of[cell.name] != origin[cell.name]
    ]
    loads = dict.fromkeys(assignment.nodes, 0.0)
    for cell in cells:
        if origin[cell.name] is not None:
            loads[origin[cell.name]] += cell.weight
    start = {name: loads[name] / node.capacity for name, node in assignment.nodes.items()}
    moves.sort(key=lambda move: (not move.forced, -start.get(move.source, 0.0), move.cell))
    return tuple(moves)
