"""Local search over moves and swaps that relieve the most utilized nodes."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from rushmux.fleet.placement.assignment import BALANCE_TOLERANCE, Assignment
from rushmux.fleet.placement.records import Cell, heaviest_first, lightest_first

MIN_GAIN = 0.02  # of the mean utilization; a smaller gain is not worth copying the data
MAX_SWAP_CANDIDATES = 40  # heaviest cells of the source and lightest cells of the target that are tried
MAX_TARGETS = 8  # least utilized nodes that are tried as targets
MAX_STEPS = 20_000  # a few per cell
EPSILON = 1e-9


class _Option(NamedTuple):
    """A move or a swap that lowers the higher utilization of two nodes."""

    gain: float
    cost: float
    moves: tuple[tuple[Cell, str], ...]

    def rank(self, mean_utilization: float) -> tuple[float, float]:
        """Returns the sort key: the gain, then the gain per cost among similar gains."""
        gain_per_cost = self.gain / (self.cost + EPSILON) if self.cost > 0 else float("inf")
        return round(self.gain / mean_utilization, 2), gain_per_cost


def rebalance(assignment: Assignment, budget: float) -> float:
    """Applies moves and swaps within the budget while they gain enough; returns the moved size."""
    moved_size = 0.0
    exhausted: set[str] = set()
    for _ in range(MAX_STEPS):
        ranked = sorted(assignment.nodes, key=lambda name: (-assignment.utilization(name), name))
        source = next((name for name in ranked if name not in exhausted), None)
        balance_limit = assignment.mean_utilization * (1 + BALANCE_TOLERANCE)
        if source is None or assignment.utilization(source) <= balance_limit:
            break
        option = _best_option(assignment, source, ranked, budget - moved_size)
        if option is None:
            exhausted.add(source)
            continue
        for cell, _ in option.moves:
            assignment.unassign(cell)
        for cell, target in option.moves:
            assignment.assign(cell, target)
        moved_size = assignment.moved_size()
        exhausted = set()
    return moved_size


def _best_option(assignment: Assignment, source: str, ranked: Sequence[str], budget: float) -> _Option | None:
    """Returns the best option within the budget, or None if none gains enough."""
    best, best_rank = None, None
    min_gain = MIN_GAIN * assignment.mean_utilization
    cells = sorted(assignment.cells_on[source].values(), key=heaviest_first)[:MAX_SWAP_CANDIDATES]
    targets = ranked[::-1][:MAX_TARGETS]
    for target in targets:
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
    """Yields moves from `source` to `target`, and swaps for cells that are too heavy to move alone."""
    before = assignment.utilization(source)
    for cell in cells:
        after = _peak_after(assignment, source, target, cell.weight)
        if assignment.fits_zone(cell.weight, target, source):
            yield _Option(before - after, assignment.move_cost(cell, target), ((cell, target),))
        if after >= before:
            yield from _swaps(assignment, source, target, cell)


def _swaps(assignment: Assignment, source: str, target: str, cell: Cell) -> Iterator[_Option]:
    """Yields swaps of `cell` for a lighter cell of the target."""
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
    """Returns the higher utilization of both nodes after moving `weight`."""
    return max(
        assignment.utilization(source) - weight / assignment.nodes[source].capacity,
        assignment.utilization(target) + weight / assignment.nodes[target].capacity,
    )
