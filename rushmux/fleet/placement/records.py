"""Cells, nodes, moves and placement plans."""

from typing import NamedTuple


class Cell(NamedTuple):
    """A shard of data: its load, the cost of moving it, and the node that holds it, if any."""

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
    """A move of a cell to another node; `forced` if no node holds the cell now."""

    cell: int
    source: str | None
    target: str
    forced: bool


class PlacementPlan(NamedTuple):
    """Moves in order of execution, and the peak utilization before and after.

    `moved_size` includes forced moves.
    """

    moves: tuple[Move, ...]
    peak_before: float
    peak_after: float
    moved_size: float


def heaviest_first(cell: Cell) -> tuple[float, int]:
    """Sort key by descending weight, then name."""
    return -cell.weight, cell.name


def lightest_first(cell: Cell) -> tuple[float, int]:
    """Sort key by ascending weight, then name."""
    return cell.weight, cell.name
