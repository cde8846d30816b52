"""Plans of moves for all cells: by local search, and a greedy baseline."""

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
    """Plans moves for cells that no node has, whatever the budget, and then for balance within it.

    Args:
        cells: All cells, where they are now.
        nodes: The nodes that may hold cells.
        budget: Size that may be moved for balance.
        zone_overcommit: Times its share by capacity that a zone may hold, 1 at least.

    Raises:
        NoNodesError: A ValueError: there is no node at all.
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
    """A baseline: places all cells anew, the heaviest first on the emptiest node."""
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
    """Places cells that no node has, the heaviest first, each on the node that it leaves the least full."""
    heap = [(assignment.utilization(name), name) for name in assignment.nodes]
    heapify(heap)
    unassigned = [cell for cell in cells if assignment.node_of[cell.name] is None]
    for cell in sorted(unassigned, key=heaviest_first):
        popped = _emptiest_until_zone_fits(assignment, heap, cell)
        fits = assignment.fits_zone(cell.weight, popped[-1])
        assignment.put(cell, popped[-1] if fits else popped[0])
        for name in popped:
            heappush(heap, (assignment.utilization(name), name))


def _emptiest_until_zone_fits(assignment: Assignment, heap: list[tuple[float, str]], cell: Cell) -> list[str]:
    """Pops the emptiest nodes up to one whose zone has room; all of them where no zone has."""
    popped = []
    while heap:
        utilization, name = heappop(heap)
        if utilization != assignment.utilization(name):  # an outdated entry
            heappush(heap, (assignment.utilization(name), name))
            continue
        popped.append(name)
        if assignment.fits_zone(cell.weight, name):
            break
    return popped


def _moves(assignment: Assignment, cells: Sequence[Cell]) -> tuple[Move, ...]:
    """The moves from where cells were: forced ones first, then what eases the fullest nodes."""
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
