"""Chooses an operation's cell: the one with its data, or the better of two random ones for a new object."""

from rushmux.scheduling.interface import EndpointState, GiveUpReason, Idempotency
from rushmux.scheduling.records import Stage

MAX_DRAWS = 10  # for two usable cells: enough if half of the nodes are suspended
CHOICES = 2  # usable cells of which the less loaded one is taken
RESERVED_FACTOR = 3  # factor of the limits for operations due by a reserve, since reserves are guaranteed


def least_loaded(cell):
    """Returns the ready node of a cell with the fewest attempts in flight, or None."""
    ready = (node for node in cell.nodes.values() if node.endpoint.state is EndpointState.READY)
    return min(ready, key=lambda node: len(node.in_flight), default=None)


class EndpointPicker(Stage):
    """The second stage: assigns a cell to each operation."""

    def accept(self, operation, now):
        """Sets the operation's cell; without any listed node the operation is given up."""
        # What may have run stays in its cell, whose nodes recognize its key.
        movable = operation.request_class.idempotency is Idempotency.IDEMPOTENT
        if operation.cell is None or operation.may_have_run_at is None or movable:
            cells, number = self.scheduler.endpoints.cells, operation.requested_cell
            operation.cell = cells[number] if number >= 0 else self.pick(operation.units, now)
        if operation.cell is None:
            self.scheduler.give_up(operation, now, GiveUpReason.NO_ENDPOINT)
        return operation.cell is not None

    def pick(self, units, now):
        """Returns the less loaded of two random usable cells, else the first one drawn, or None.

        Cells whose node is full or lacks slow start allowance are skipped, so that unresponsive nodes receive
        no new objects.
        """
        cells, usable, first_drawn = self.scheduler.endpoints.listed_cells, [], None
        for _ in range(MAX_DRAWS if cells else 0):
            cell = cells[self.scheduler.random.below(len(cells))]
            node = least_loaded(cell)
            first_drawn = first_drawn or cell
            if node and self._is_usable(cell, node, units, now):
                load = len(node.in_flight) + sum(map(len, cell.queues.values())) + 1
                usable.append((load / node.limit.size, len(usable), cell))
                if len(usable) == CHOICES:
                    break
        return min(usable)[2] if usable else first_drawn

    def _is_usable(self, cell, node, units, now):
        if node.limit.next_admission(RESERVED_FACTOR, now) > now:
            return False
        min_allowance = self.settings.max_units if cell.queues else units
        return node.slow_start_allowance(self.scheduler, units, now) >= min_allowance
