"""Simple schedulers that experiments compare with; nothing else uses them.

They respect nothing but each node's in-flight limit and its state.
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
    """An operation that is queued or in flight."""

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
    """The node with its attempt in flight."""
    client_gone: bool = False


class Baseline:
    """Queues operations by cell and sends the one with the smallest `sort_key` next."""

    def __init__(self, settings, seed, now, actions):
        self.settings, self.actions, self.random = settings, actions, RandomGenerator(seed)
        self.node_states, self.operations = {}, {}
        self.queues, self.in_flight = defaultdict(dict), defaultdict(int)
        self.numbers, self.served = count(), defaultdict(float)

    def sort_key(self, operation):
        """Returns the sort key of a queued operation; the smallest goes first."""
        raise NotImplementedError

    def on_endpoints(self, now, kind, endpoints):
        """Applies the endpoint list or updates of it."""
        if kind is UpdateKind.SNAPSHOT:
            self.node_states = {}
        for endpoint in endpoints:
            self.node_states.setdefault(endpoint.cell, {})[endpoint.node] = endpoint.state

    def on_operation(self, now, request):
        """Queues an operation; a new object goes to a random cell."""
        request_class, cell = self.settings.request_classes[request.request_class], request.cell
        if cell < 0:
            cells = list(self.node_states)
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
        """Sheds or fails an operation whose attempt did not succeed; there are no retries."""
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
        """Drops an operation that is still queued; one in flight gets no answer."""
        operation = self.operations.get(op_id)
        if operation is not None and operation.node is None:
            del self.operations[op_id]
            self.queues[operation.cell].pop(op_id, None)
        elif operation is not None:
            operation.client_gone = True

    def on_quota(self, now, volume, share):
        """Does nothing: baselines enforce no limits."""

    def on_route_policies(self, policies):
        """Does nothing: baselines have no route policies."""

    def run_round(self, now):
        """Sheds late operations, sends others, and wakes when the next one would be late."""
        for cell, queue in self.queues.items():
            self._shed_late(queue, now)
            self._send(queue, self.node_states.get(cell, {}), now)
        objectives = [
            operation.objective_at for queue in self.queues.values() for operation in queue.values()
        ]
        if objectives:
            self.actions.wake_after(max(1, min(objectives) - now))

    def _shed_late(self, queue, now):
        for operation in [operation for operation in queue.values() if operation.objective_at <= now]:
            del queue[operation.op_id], self.operations[operation.op_id]
            self.actions.shed(operation.op_id, 0)

    def _send(self, queue, states, now):
        ready = [node for node, state in states.items() if state is EndpointState.READY]
        while queue and ready and self.in_flight[ready[0]] < MAX_IN_FLIGHT:
            operation = min(queue.values(), key=self.sort_key)
            del queue[operation.op_id]
            operation.node = ready[0]
            self.in_flight[operation.node] += 1
            self.served[operation.volume] += operation.units / operation.plan.weight
            self.actions.start_attempt(operation.op_id, operation.node, operation.deadline_at - now)


class FirstCome(Baseline):
    """First come, first served."""

    def sort_key(self, operation):
        """Sorts by arrival."""
        return operation.number


class RandomOrder(Baseline):
    """Sends a random operation."""

    def sort_key(self, operation):
        """Sorts at random."""
        return self.random.below(1 << 20)


class FairShare(Baseline):
    """Weighted fair sharing: the volume served least in proportion to its weight goes first."""

    def sort_key(self, operation):
        """Sorts by the service that the volume got, then by arrival."""
        return self.served[operation.volume], operation.number


class EarliestDeadline(Baseline):
    """The operation with the nearest end of its latency objective goes first."""

    def sort_key(self, operation):
        """Sorts by the end of the objective, then by arrival."""
        return operation.objective_at, operation.number


BASELINES = {
    "first-come": FirstCome,
    "random": RandomOrder,
    "fair-share": FairShare,
    "earliest-deadline": EarliestDeadline,
}
