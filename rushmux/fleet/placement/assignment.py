"""The assignment of cells to nodes while a plan is computed, with the loads of nodes and zones."""

from collections.abc import Sequence

from rushmux.fleet.placement.records import Cell, Node

BALANCE_TOLERANCE = 0.05  # a node is relieved only if it is this fraction above the mean utilization
ZONE_OVERCOMMIT = 1.15  # maximum zone load relative to its share by capacity


def peak_utilization(cells: Sequence[Cell], nodes: Sequence[Node]) -> float:
    """Returns the highest utilization (load over capacity) of the nodes."""
    loads = {node.name: 0.0 for node in nodes}
    for cell in cells:
        if cell.node in loads:
            loads[cell.node] += cell.weight
    return max((loads[node.name] / node.capacity for node in nodes), default=0.0)


class Assignment:
    """An assignment of cells to nodes, changed by `assign` and `unassign`.

    Args:
        cells: All cells with their current nodes.
        nodes: The nodes that may hold cells; at least one.
        zone_overcommit: Maximum zone load relative to its share by capacity, at least 1.
    """

    def __init__(self, cells: Sequence[Cell], nodes: Sequence[Node], zone_overcommit: float):
        self.nodes = {node.name: node for node in nodes}
        self.cells = {cell.name: cell for cell in cells}
        self.origin = {cell.name: cell.node if cell.node in self.nodes else None for cell in cells}
        self.node_of = dict(self.origin)
        self.cells_on: dict[str, dict[int, Cell]] = {name: {} for name in self.nodes}
        self.load = dict.fromkeys(self.nodes, 0.0)
        self.zone_load: dict[str, float] = {}
        total_weight = sum(cell.weight for cell in cells)
        capacity = sum(node.capacity for node in nodes)
        self.mean_utilization = total_weight / capacity
        zone_capacity: dict[str, float] = {}
        for node in nodes:
            zone_capacity[node.zone] = zone_capacity.get(node.zone, 0.0) + node.capacity
        # Zones are kept near their share, so that the loss of one zone does not lose most of the load.
        overcommit = max(zone_overcommit, 1.0)
        self.zone_limit = {
            zone: overcommit * total_weight * share / capacity for zone, share in zone_capacity.items()
        }
        for cell in cells:
            if self.node_of[cell.name] is not None:
                self.assign(cell, self.node_of[cell.name])

    def assign(self, cell: Cell, node: str) -> None:
        """Assigns an unassigned cell to a node."""
        self.node_of[cell.name] = node
        self.cells_on[node][cell.name] = cell
        self.load[node] += cell.weight
        zone = self.nodes[node].zone
        self.zone_load[zone] = self.zone_load.get(zone, 0.0) + cell.weight

    def unassign(self, cell: Cell) -> None:
        """Removes a cell from its node."""
        node = self.node_of[cell.name]
        del self.cells_on[node][cell.name]
        self.load[node] -= cell.weight
        self.zone_load[self.nodes[node].zone] -= cell.weight
        self.node_of[cell.name] = None

    def utilization(self, node: str) -> float:
        """Returns a node's load over its capacity."""
        return self.load[node] / self.nodes[node].capacity

    def peak_utilization(self) -> float:
        """Returns the highest utilization of the nodes."""
        return max(self.utilization(name) for name in self.nodes)

    def fits_zone(self, weight: float, node: str, source: str | None = None) -> bool:
        """Whether the node's zone has room for `weight` more; a move within a zone always fits."""
        zone = self.nodes[node].zone
        if source is not None and self.nodes[source].zone == zone:
            return True
        return self.zone_load.get(zone, 0.0) + weight <= self.zone_limit[zone] * (1 + BALANCE_TOLERANCE)

    def move_cost(self, cell: Cell, target: str) -> float:
        """Returns how much a move changes the total moved size.

        Zero for cells without an origin or already away from it; negative for a move back to it.
        """
        origin = self.origin[cell.name]
        if origin is None:
            return 0.0
        added = cell.size if self.node_of[cell.name] == origin else 0.0
        refunded = cell.size if target == origin else 0.0
        return added - refunded

    def moved_size(self) -> float:
        """Returns the total size of cells away from their origins, excluding cells without one."""
        return sum(
            cell.size
            for cell in self.cells.values()
            if self.origin[cell.name] is not None and self.node_of[cell.name] != self.origin[cell.name]
        )
