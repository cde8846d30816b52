"""Where cells lie: which node holds which, moved as little as makes loads even.  No I/O.

A cell has a weight (what is asked of its data) and a size (what a move costs); a node has a capacity and
a zone.  A plan of moves makes the fullest node as empty as it can within a budget of moved size, keeps
each zone under its part, and changes nothing where the gain is small.  All follows from the arguments.
"""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

BALANCE_TOLERANCE = 0.05  # over the even load at which a node counts as full enough to take from
MIN_GAIN = 0.02  # of the even load: a move that gains less is not worth its copy
MAX_SWAP_CANDIDATES = 40  # fullest cells of a node that are tried for a swap
MAX_ROUNDS = 20_000  # steps at most: a few for each cell


class Cell(NamedTuple):
    """A shard of data: what is asked of it, what a move costs, and where it lies (None: nowhere now)."""

    name: int
    weight: float
    size: float
    node: str | None


class Node(NamedTuple):
    """A node that may hold cells."""

    name: str
    capacity: float
    zone: str


class Move(NamedTuple):
    """A cell that goes to another node; `forced`: it lies nowhere now."""

    cell: int
    source: str | None
    target: str
    forced: bool


class PlacementPlan(NamedTuple):
    """Moves in the order that they are to be made, and how full the fullest node is before and after."""

    moves: tuple[Move, ...]
    peak_before: float
    peak_after: float
    moved_size: float  # size, forced moves included


def peak_utilization(cells, nodes) -> float:
    """Load of the fullest node over its capacity."""
    loads = {node.name: 0.0 for node in nodes}
    for cell in cells:
        if cell.node in loads:
            loads[cell.node] += cell.weight
    return max((loads[node.name] / node.capacity for node in nodes), default=0.0)


class _Work:
    """A placement in the making."""

    def __init__(self, cells, nodes, zone_part):
        self.nodes = {node.name: node for node in nodes}
        self.cells = {cell.name: cell for cell in cells}
        self.at = {cell.name: cell.node if cell.node in self.nodes else None for cell in cells}
        self.held = {name: {} for name in self.nodes}
        self.load = dict.fromkeys(self.nodes, 0.0)
        self.zone = {}
        self.whole = sum(cell.weight for cell in cells)
        capacity = sum(node.capacity for node in nodes)
        self.even = self.whole / capacity
        zones = {}
        for node in nodes:
            zones[node.zone] = zones.get(node.zone, 0.0) + node.capacity
        # A zone may hold its part by capacity and a little more: the loss of one is not the loss of most.
        self.most = {zone: max(zone_part, 1.0) * self.whole * part / capacity for zone, part in zones.items()}
        for cell in cells:
            if self.at[cell.name] is not None:
                self.put(cell, self.at[cell.name])

    def put(self, cell, node):
        self.at[cell.name] = node
        self.held[node][cell.name] = cell
        self.load[node] += cell.weight
        zone = self.nodes[node].zone
        self.zone[zone] = self.zone.get(zone, 0.0) + cell.weight

    def take(self, cell):
        node = self.at[cell.name]
        del self.held[node][cell.name]
        self.load[node] -= cell.weight
        self.zone[self.nodes[node].zone] -= cell.weight
        self.at[cell.name] = None

    def full(self, node):
        return self.load[node] / self.nodes[node].capacity

    def fits_zone(self, weight, node, source=None):
        zone = self.nodes[node].zone
        if source is not None and self.nodes[source].zone == zone:
            return True
        return self.zone.get(zone, 0.0) + weight <= self.most[zone] * (1 + BALANCE_TOLERANCE)


def plan_moves(cells, nodes, budget=float("inf"), zone_part=1.15) -> PlacementPlan:
    """Moves for cells that lie nowhere, whatever the budget, and then for evenness within it.

    `budget`: size that may be moved for evenness.  ValueError where there is no node at all.
    """
    if not nodes:
        raise ValueError("no node to place cells on")
    work = _Work(cells, nodes, zone_part)
    before = max(work.full(name) for name in work.nodes)
    origin = dict(work.at)
    # What lies nowhere goes first, the heaviest first, to the node that it leaves the least full.
    heap = [(work.full(name), name) for name in work.nodes]
    heapify(heap)
    for cell in sorted(
        (cell for cell in cells if work.at[cell.name] is None), key=lambda cell: (-cell.weight, cell.name)
    ):
        skipped, chosen = [], None
        while heap:
            level, name = heappop(heap)
            if level != work.full(name):
                heappush(heap, (work.full(name), name))
                continue
            skipped.append((level, name))
            if work.fits_zone(cell.weight, name):
                chosen = name
                break
        chosen = chosen if chosen is not None else skipped[0][1]
        work.put(cell, chosen)
        for _, name in skipped:
            heappush(heap, (work.full(name), name))
    spent = _evened(work, origin, budget)
    moves = []
    for cell in cells:
        if work.at[cell.name] != origin[cell.name]:
            moves.append(Move(cell.name, origin[cell.name], work.at[cell.name], origin[cell.name] is None))
    # Those that lie nowhere cannot be served at all; then what eases the fullest nodes.
    start = {
        name: sum(cell.weight for cell in cells if origin[cell.name] == name) / node.capacity
        for name, node in work.nodes.items()
    }
    moves.sort(key=lambda move: (not move.forced, -start.get(move.source, 0.0), move.cell))
    forced = sum(work.cells[move.cell].size for move in moves if move.forced)
    return PlacementPlan(tuple(moves), before, max(work.full(name) for name in work.nodes), spent + forced)


def _evened(work, origin, budget) -> float:
    """Moves and swaps from the fullest nodes while they gain enough; the size that was spent."""
    spent, stuck = 0.0, {}

    def cost(cell, target):
        """What a move adds: nothing for a cell that lay nowhere, or that only goes elsewhere; back home "
        "pays.
        """
        home, at = origin[cell.name], work.at[cell.name]
        if home is None:
            return 0.0
        return (cell.size if at == home else 0.0) - (cell.size if target == home else 0.0)

    for _ in range(MAX_ROUNDS):
        ranked = sorted(work.nodes, key=lambda name: (-work.full(name), name))
        source = next((name for name in ranked if name not in stuck), None)
        if source is None or work.full(source) <= work.even * (1 + BALANCE_TOLERANCE):
            break
        best = _best(work, source, ranked, cost, budget - spent)
        if best is None:
            stuck[source] = True
            continue
        _, moves = best
        for cell, _ in moves:
            work.take(cell)
        for cell, target in moves:
            work.put(cell, target)
        spent = sum(
            cell.size
            for cell in work.cells.values()
            if origin[cell.name] is not None and work.at[cell.name] != origin[cell.name]
        )
        stuck = {}
    return spent


def _best(work, source, ranked, cost, left):
    """The move or swap out of a node that gains most for its cost; None where none gains enough."""
    best, level = None, work.full(source)
    cells = sorted(work.held[source].values(), key=lambda cell: (-cell.weight, cell.name))[
        :MAX_SWAP_CANDIDATES
    ]
    emptiest = ranked[::-1]
    for target in emptiest[:8]:
        node = work.nodes[target]
        if target == source or work.full(target) >= level:
            continue
        for cell in cells:
            price = cost(cell, target)
            after = max(
                level - cell.weight / work.nodes[source].capacity,
                work.full(target) + cell.weight / node.capacity,
            )
            if price <= left and work.fits_zone(cell.weight, target, source):
                best = _better(best, level - after, price, ((cell, target),), work)
            if after < level:
                continue
            # Too heavy alone: something lighter comes back for it.
            for other in sorted(work.held[target].values(), key=lambda held: (held.weight, held.name))[
                :MAX_SWAP_CANDIDATES
            ]:
                gap = cell.weight - other.weight
                if gap <= 0:
                    break
                after = max(
                    level - gap / work.nodes[source].capacity, work.full(target) + gap / node.capacity
                )
                both = price + cost(other, source)
                if after < level and both <= left and work.fits_zone(gap, target, source):
                    best = _better(best, level - after, both, ((cell, target), (other, source)), work)
    return best


def _better(best, gain, price, moves, work):
    if gain < MIN_GAIN * work.even:
        return best
    worth = gain / (price + 1e-9) if price > 0 else float("inf")
    # What eases the fullest node most goes first; of alike ones the cheaper.
    key = (round(gain / work.even, 2), worth)
    return (key, moves) if best is None or key > best[0] else best


def greedy_plan(cells, nodes) -> PlacementPlan:
    """A plain one to measure against: all cells anew, the heaviest first to the emptiest node."""
    before = peak_utilization(cells, nodes)
    loads = [(0.0, node.name) for node in nodes]
    capacity = {node.name: node.capacity for node in nodes}
    heapify(loads)
    moves, placed = [], []
    for cell in sorted(cells, key=lambda cell: (-cell.weight, cell.name)):
        level, name = heappop(loads)
        heappush(loads, (level + cell.weight / capacity[name], name))
        placed.append(cell._replace(node=name))
        if cell.node != name:
            moves.append(Move(cell.name, cell.node, name, cell.node not in capacity))
    return PlacementPlan(
        tuple(moves),
        before,
        peak_utilization(placed, nodes),
        sum(cell.size for cell in cells if any(move.cell == cell.name for move in moves)),
    )
