"""Cells, nodes, and plans of moves."""

from typing import NamedTuple


class Cell(NamedTuple):
    """A shard of data: the load on it, what a move costs, and the node that has it (None: none now)."""

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
    """A cell that goes to another node; `forced`: no node has it now."""

    cell: int
    source: str | None
    target: str
    forced: bool


class PlacementPlan(NamedTuple):
    """Moves in the order that they are to be made, and the peak utilization before and after.

    `moved_size` includes forced moves.
    """

    moves: tuple[Move, ...]
    peak_before: float
    peak_after: float
    moved_size: float


def heaviest_first(cell: Cell) -> tuple[float, int]:
    """Sort key of cells, ties by name."""
    return -cell.weight, cell.name


def lightest_first(cell: Cell) -> tuple[float, int]:
    """Sort key of cells, ties by name."""
    return cell.weight, cell.name
