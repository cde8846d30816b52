"""Plain schedulers to compare with: each keeps the bound of ten in flight and drains, and no more.

They are baselines of the laboratory only; no program uses them.
"""

from collections import defaultdict
from dataclasses import dataclass
from itertools import count

from rushmux.scheduling.interface import (
    NEVER_RAN,
    EndpointState,
    Idempotency,
    QosPlan,
    RequestClass,
    Ticks,
    UpdateKind,
)
from rushmux.scheduling.node import MAX_IN_FLIGHT
from rushmux.scheduling.structures import RandomGenerator


@dataclass(eq=False, slots=True)
class QueuedOperation:
    """An operation, queued or in flight."""

    op_id: str
    request_class: RequestClass
    plan: QosPlan
    volume: str
    units: float
    cell: int
    objective_at: Ticks
    deadline_at: Ticks
    number: int
    node: str | None = None
    """Where its attempt is in flight."""
    client_gone: bool = False


class Baseline:
    """Queues operations by cell; a subclass says which goes next, the least of its `order`."""

    def __init__(self, settings, seed, now, actions):
        self.settings, self.actions, self.random = settings, actions, RandomGenerator(seed)
        self.cells, self.operations = {}, {}
        self.queues, self.in_flight = defaultdict(dict), defaultdict(int)
        self.numbers, self.served = count(), defaultdict(float)

    def order(self, operation):
        """What an operation is ordered by: the least goes first."""
        raise NotImplementedError

    def on_endpoints(self, now, kind, endpoints):
        """Takes in the endpoint list or updates of it."""
        if kind is UpdateKind.SNAPSHOT:
            self.cells = {}
        for endpoint in endpoints:
            self.cells.setdefault(endpoint.cell, {})[endpoint.node] = endpoint.state

    def on_operation(self, now, request):
        """Queues an operation; a new object goes to any cell."""
        request_class, cell = self.settings.request_classes[request.request_class], request.cell
        if cell < 0:
            cells = list(self.cells)
            if not cells:
                self.actions.shed(request.op_id, 0)
                return
            cell = cells[self.random.below(len(cells))]
        deadline_at = now + max(0, request.time_left - 2 * self.settings.round_interval)
        operation = QueuedOperation(
            request.op_id,
            request_class,
            self.settings.plans[request.plan],
            request.volume,
            request.units,
            cell,
            min(now + request_class.latency_objective, deadline_at),
            deadline_at,
            next(self.numbers),
        )
        self.operations[request.op_id] = self.queues[cell][request.op_id] = operation

    def on_attempt_result(self, now, report):
        """Gives the final answer of an operation that did not succeed."""
        operation = self.operations.pop(report.op_id, None)
        if operation is None:
            return
        self.in_flight[operation.node] -= 1
        if report.operation_ended or operation.client_gone:
            return
        idempotent = operation.request_class.idempotency is Idempotency.IDEMPOTENT
        if report.result in NEVER_RAN or idempotent:
            self.actions.shed(report.op_id, 0)
        else:
            self.actions.fail(report.op_id)

    def on_client_gone(self, now, op_id):
        """Forgets an operation that is queued."""
        operation = self.operations.get(op_id)
        if operation is not None and operation.node is None:
            del self.operations[op_id]
            self.queues[operation.cell].pop(op_id, None)
        elif operation is not None:
            operation.client_gone = True

    def on_quota(self, now, volume, share):
        """Limits are the scheduler's."""

    def on_route_policies(self, policies):
        """Route policies are the scheduler's."""

    def run_round(self, now):
        """Sheds what is late, sends what may go, and wakes for the next that would be late."""
        for cell, queue in self.queues.items():
            self._shed_late(queue, now)
            self._send(queue, self.cells.get(cell, {}), now)
        waiting = [operation.objective_at for queue in self.queues.values() for operation in queue.values()]
        if waiting:
            self.actions.wake_after(max(1, min(waiting) - now))

    def _shed_late(self, queue, now):
        for operation in [operation for operation in queue.values() if operation.objective_at <= now]:
            del queue[operation.op_id], self.operations[operation.op_id]
            self.actions.shed(operation.op_id, 0)

    def _send(self, queue, nodes, now):
        ready = [node for node, state in nodes.items() if state is EndpointState.READY]
        while queue and ready and self.in_flight[ready[0]] < MAX_IN_FLIGHT:
            operation = min(queue.values(), key=self.order)
            del queue[operation.op_id]
            operation.node = ready[0]
            self.in_flight[operation.node] += 1
            self.served[operation.volume] += operation.units / operation.plan.weight
            self.actions.start_attempt(operation.op_id, operation.node, operation.deadline_at - now)


class FirstCome(Baseline):
    """The first that arrived goes first."""

    def order(self, operation):
        """By arrival."""
        return operation.number


class RandomNext(Baseline):
    """Any goes."""

    def order(self, operation):
        """By chance."""
        return self.random.below(1 << 20)


class FairShare(Baseline):
    """The volume that had least for its weight goes first."""

    def order(self, operation):
        """By what the volume had, then by arrival."""
        return self.served[operation.volume], operation.number


class EarliestDeadline(Baseline):
    """The nearest latency objective goes first."""

    def order(self, operation):
        """By objective, then by arrival."""
        return operation.objective_at, operation.number


BASELINES = {
    "first-come": FirstCome,
    "random": RandomNext,
    "fair-share": FairShare,
    "earliest-deadline": EarliestDeadline,
}
