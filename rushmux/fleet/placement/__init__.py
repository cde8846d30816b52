"""Placement of cells on nodes, balanced with few moves.

A cell (a shard of data) has a weight, the load on it, and a size, the cost of moving it; a node has a
capacity and a zone.  A plan lowers the peak utilization as far as a budget of moved size allows, limits the
load of each zone, and omits moves with little gain.  The algorithm is a local search over moves and swaps, as
in Aggarwal, Motwani and Zhu, "The Load Rebalancing Problem" (SPAA 2003).

Sans I/O and deterministic.
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
