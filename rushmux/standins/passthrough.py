"""A minimal scheduler that sends operations as they arrive.

It is a baseline to compare the real scheduler with, and not meant for service.
"""

import random

from rushmux.scheduling.interface import NEVER_RAN, EndpointState, Idempotency


class PassThroughScheduler:
    """Sends each operation once, at its arrival, to a node of its cell, to time out before its deadline."""

    def __init__(self, settings, seed, now, actions):
        self.settings, self.actions, self.random = settings, actions, random.Random(seed)
        self.cells, self.request_classes = {}, {}  # cell -> states by node; operation -> its class

    def on_endpoints(self, now, kind, endpoints):
        """Records the endpoints' states, for either kind of update."""
        for endpoint in endpoints:
            self.cells.setdefault(endpoint.cell, {})[endpoint.node] = endpoint.state

    def on_operation(self, now, request):
        """Sends the operation, or sheds it if its cell has no ready node."""
        cell = request.cell
        if cell < 0 and self.cells:
            cell = self.random.choice(sorted(self.cells))
        ready = [node for node, state in self.cells.get(cell, {}).items() if state is EndpointState.READY]
        if not ready:
            self.actions.shed(request.op_id, 0)
            return
        self.request_classes[request.op_id] = self.settings.request_classes[request.request_class]
        timeout = max(0, request.time_left - 2 * self.settings.round_interval)
        self.actions.start_attempt(request.op_id, ready[0], timeout)

    def on_attempt_result(self, now, report):
        """Ends an operation that did not succeed."""
        request_class = self.request_classes.pop(report.op_id, None)
        if request_class is None or report.operation_ended:
            return
        if report.result in NEVER_RAN or request_class.idempotency is Idempotency.IDEMPOTENT:
            self.actions.shed(report.op_id, 0)
        else:
            self.actions.fail(report.op_id)

    def on_client_gone(self, now, op_id):
        """Forgets an operation."""
        self.request_classes.pop(op_id, None)

    def run_round(self, now):
        """Does nothing: no operations wait."""

    def on_quota(self, now, volume, share):
        """Does nothing: limits are not enforced."""

    def on_route_policies(self, policies):
        """Does nothing: route policies are not applied."""
