"""Placement: which node holds which cell, rebalanced by as few moves as make the loads even.

A cell (a shard of data) has a weight, which is the load on it, and a size, which is the cost of a move; a
node has a capacity and a zone.  A plan makes the fullest node as empty as it can within a budget of moved
size, keeps each zone under its share, and changes nothing where the gain is small.  This is a local search
of moves and swaps, as in Aggarwal, Motwani and Zhu, "The Load Rebalancing Problem" (SPAA 2003).

Sans I/O and deterministic: all follows from the arguments.
"""

from rushmux.fleet.placement.assignment import BALANCE_TOLERANCE, ZONE_OVERCOMMIT, peak_utilization
from rushmux.fleet.placement.plan import greedy_plan, plan_moves
from rushmux.fleet.placement.records import Cell, Move, Node, PlacementPlan

__all__ = [
    "BALANCE_TOLERANCE",
    "ZONE_OVERCOMMIT",
    "Cell",
    "Move",
    "Node",
    "PlacementPlan",
    "greedy_plan",
    "peak_utilization",
    "plan_moves",
]
