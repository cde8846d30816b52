"""Local search: moves and swaps off the fullest nodes while they gain enough."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from rushmux.fleet.placement.assignment import BALANCE_TOLERANCE, Assignment
from rushmux.fleet.placement.records import Cell, heaviest_first, lightest_first

MIN_GAIN = 0.02  # of the mean utilization: a move that gains less is not worth its copy
MAX_SWAP_CANDIDATES = 40  # heaviest cells of a node that are tried, and lightest ones for a swap
MAX_TARGETS = 8  # emptiest nodes that are tried as targets
MAX_ROUNDS = 20_000  # steps at most: a few for each cell
EPSILON = 1e-9


class _Option(NamedTuple):
    """A move, or a swap of two cells, that eases a node."""

    gain: float
    cost: float
    moves: tuple[tuple[Cell, str], ...]

    def rank(self, mean_utilization: float) -> tuple[float, float]:
        """What eases the fullest node most goes first; of alike options the cheaper one."""
        gain_per_cost = self.gain / (self.cost + EPSILON) if self.cost > 0 else float("inf")
        return round(self.gain / mean_utilization, 2), gain_per_cost


def rebalance(assignment: Assignment, budget: float) -> float:
    """Moves and swaps from the fullest nodes while they gain enough; the size that was moved."""
    moved_size = 0.0
    stuck: set[str] = set()
    for _ in range(MAX_ROUNDS):
        ranked = sorted(assignment.nodes, key=lambda name: (-assignment.utilization(name), name))
        source = next((name for name in ranked if name not in stuck), None)
        balanced = assignment.mean_utilization * (1 + BALANCE_TOLERANCE)
        if source is None or assignment.utilization(source) <= balanced:
            break
        option = _best_option(assignment, source, ranked, budget - moved_size)
        if option is None:
            stuck.add(source)
            continue
        for cell, _ in option.moves:
            assignment.take(cell)
        for cell, target in option.moves:
            assignment.put(cell, target)
        moved_size = assignment.moved_size()
        stuck = set()
    return moved_size


def _best_option(assignment: Assignment, source: str, ranked: Sequence[str], budget: float) -> _Option | None:
    """The option that eases a node most for its cost; None where none gains enough."""
    best, best_rank = None, None
    min_gain = MIN_GAIN * assignment.mean_utilization
    cells = sorted(assignment.cells_on[source].values(), key=heaviest_first)[:MAX_SWAP_CANDIDATES]
    emptiest = ranked[::-1][:MAX_TARGETS]
    for target in emptiest:
        if target == source or assignment.utilization(target) >= assignment.utilization(source):
            continue
        for option in _options(assignment, source, target, cells):
            if option.cost > budget or option.gain < min_gain:
                continue
            rank = option.rank(assignment.mean_utilization)
            if best_rank is None or rank > best_rank:
                best, best_rank = option, rank
    return best


def _options(assignment: Assignment, source: str, target: str, cells: Sequence[Cell]) -> Iterator[_Option]:
    """Moves of cells from one node to another; swaps for those that are too heavy alone."""
    before = assignment.utilization(source)
    for cell in cells:
        after = _peak_after(assignment, source, target, cell.weight)
        if assignment.fits_zone(cell.weight, target, source):
            yield _Option(before - after, assignment.move_cost(cell, target), ((cell, target),))
        if after >= before:
            yield from _swaps(assignment, source, target, cell)


def _swaps(assignment: Assignment, source: str, target: str, cell: Cell) -> Iterator[_Option]:
    """Swaps of a cell for a lighter one."""
    before = assignment.utilization(source)
    others = sorted(assignment.cells_on[target].values(), key=lightest_first)[:MAX_SWAP_CANDIDATES]
    for other in others:
        difference = cell.weight - other.weight
        if difference <= 0:
            break
        after = _peak_after(assignment, source, target, difference)
        if after < before and assignment.fits_zone(difference, target, source):
            cost = assignment.move_cost(cell, target) + assignment.move_cost(other, source)
            yield _Option(before - after, cost, ((cell, target), (other, source)))


def _peak_after(assignment: Assignment, source: str, target: str, weight: float) -> float:
    """The greater utilization of two nodes once `weight` went from one to the other."""
    return max(
        assignment.utilization(source) - weight / assignment.nodes[source].capacity,
        assignment.utilization(target) + weight / assignment.nodes[target].capacity,
    )
