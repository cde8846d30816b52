"""Finds an operation's cell: the one that holds its data, or for a new object the better of two drawn."""

from rushmux.scheduling.interface import EndpointState, GiveUpReason, Idempotency
from rushmux.scheduling.records import Stage

MAX_DRAWS = 10  # for two nodes that are fit: enough with half of them resting
CHOICES = 2  # fit cells of which the better one is taken, from the design
RESERVED_FACTOR = 3  # room for passed deadlines against room for slack: reserves are what is owed


def least_loaded(cell):
    """The ready node of a cell with the fewest attempts in flight, or None."""
    ready = (node for node in cell.nodes.values() if node.endpoint.state is EndpointState.READY)
    return min(ready, key=lambda node: len(node.in_flight), default=None)


class EndpointPicker(Stage):
    """The second stage."""

    def accept(self, operation, now):
        """Sets the operation's cell; it is given up where no node is listed."""
        # What may have run and is known by its key stays with its cell.
        movable = operation.request_class.idempotency is Idempotency.IDEMPOTENT
        if operation.cell is None or operation.may_have_run_at is None or movable:
            cells, number = self.scheduler.endpoints.cells, operation.requested_cell
            operation.cell = cells[number] if number >= 0 else self.pick(operation.units, now)
        if operation.cell is None:
            self.scheduler.give_up(operation, now, GiveUpReason.NO_ENDPOINT)
        return operation.cell is not None

    def pick(self, units, now):
        """The better of two drawn cells with a fit node, else the first with a ready one, or None.

        A cell whose node has no room or is in slow start is drawn again, else silent nodes would get objects.
        """
        cells, fit, ready = self.scheduler.endpoints.listed_cells, [], None
        for _ in range(MAX_DRAWS if cells else 0):
            cell = cells[self.scheduler.random.below(len(cells))]
            node = least_loaded(cell)
            ready = ready or cell
            if node and self._is_fit(cell, node, units, now):
                load = len(node.in_flight) + sum(map(len, cell.queues.values())) + 1
                fit.append((load / node.limit.size, len(fit), cell))
                if len(fit) == CHOICES:
                    break
        return min(fit)[2] if fit else ready

    def _is_fit(self, cell, node, units, now):
        if node.limit.next_admission(RESERVED_FACTOR, now) > now:
            return False
        needed = self.settings.max_units if cell.queues else units
        return node.slow_start_allowance(self.scheduler, units, now) >= needed
