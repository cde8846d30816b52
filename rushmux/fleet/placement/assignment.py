"""Which node has which cell while a plan is made: loads, zones, and what was moved so far."""

from collections.abc import Sequence

from rushmux.fleet.placement.records import Cell, Node

BALANCE_TOLERANCE = 0.05  # over the mean utilization at which a node counts as full enough to take from
ZONE_OVERCOMMIT = 1.15  # of its share by capacity: what a zone may hold


def peak_utilization(cells: Sequence[Cell], nodes: Sequence[Node]) -> float:
    """Load over capacity of the fullest node."""
    loads = {node.name: 0.0 for node in nodes}
    for cell in cells:
        if cell.node in loads:
            loads[cell.node] += cell.weight
    return max((loads[node.name] / node.capacity for node in nodes), default=0.0)


class Assignment:
    """An assignment of cells to nodes, changed by `put` and `take`.

    Args:
        cells: All cells, where they are now.
        nodes: The nodes that may hold cells; one at least.
        zone_overcommit: Times its share by capacity that a zone may hold, 1 at least.
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
        # A zone may hold its share and a little more, so that the loss of one is not the loss of most.
        overcommit = max(zone_overcommit, 1.0)
        self.zone_limit = {
            zone: overcommit * total_weight * share / capacity for zone, share in zone_capacity.items()
        }
        for cell in cells:
            if self.node_of[cell.name] is not None:
                self.put(cell, self.node_of[cell.name])

    def put(self, cell: Cell, node: str) -> None:
        """Gives a cell that no node has to a node."""
        self.node_of[cell.name] = node
        self.cells_on[node][cell.name] = cell
        self.load[node] += cell.weight
        zone = self.nodes[node].zone
        self.zone_load[zone] = self.zone_load.get(zone, 0.0) + cell.weight

    def take(self, cell: Cell) -> None:
        """Takes a cell off its node."""
        node = self.node_of[cell.name]
        del self.cells_on[node][cell.name]
        self.load[node] -= cell.weight
        self.zone_load[self.nodes[node].zone] -= cell.weight
        self.node_of[cell.name] = None

    def utilization(self, node: str) -> float:
        """Load over capacity of a node."""
        return self.load[node] / self.nodes[node].capacity

    def peak_utilization(self) -> float:
        """Utilization of the fullest node."""
        return max(self.utilization(name) for name in self.nodes)

    def fits_zone(self, weight: float, node: str, source: str | None = None) -> bool:
        """Whether a zone may take `weight` more; a move within a zone always fits."""
        zone = self.nodes[node].zone
        if source is not None and self.nodes[source].zone == zone:
            return True
        return self.zone_load.get(zone, 0.0) + weight <= self.zone_limit[zone] * (1 + BALANCE_TOLERANCE)

    def move_cost(self, cell: Cell, target: str) -> float:
        """Size that a move adds to what is moved in all.

        Nothing for a cell that no node had, or that only goes elsewhere; a move back to its origin refunds.
        """
        origin = self.origin[cell.name]
        if origin is None:
            return 0.0
        added = cell.size if self.node_of[cell.name] == origin else 0.0
        refunded = cell.size if target == origin else 0.0
        return added - refunded

    def moved_size(self) -> float:
        """Size of the cells that are not where they were, those that no node had excluded."""
        return sum(
            cell.size
            for cell in self.cells.values()
            if self.origin[cell.name] is not None and self.node_of[cell.name] != self.origin[cell.name]
        )
