"""A stand-in for the decision module that decides next to nothing: first come, first sent.

It is a baseline to hold the module against, never a choice for service.
"""

import random

from rushmux.scheduling.interface import NEVER_RAN, EndpointState, Idempotency


class PassThroughScheduler:
    """Sends each operation at once to a node of its cell, once, until its hard stop."""

    def __init__(self, settings, seed, now, actions):
        self.settings, self.actions, self.random = settings, actions, random.Random(seed)
        self.cells, self.request_classes = {}, {}  # of nodes' states; of operations in flight

    def on_endpoints(self, now, kind, endpoints):
        """Takes in endpoints, whatever kind of update they are."""
        for endpoint in endpoints:
            self.cells.setdefault(endpoint.cell, {})[endpoint.node] = endpoint.state

    def on_operation(self, now, request):
        """Sends the operation, or sheds it where its cell has no ready node."""
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
        """Gives the final answer of an operation that did not succeed."""
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
        """Nothing waits here."""

    def on_quota(self, now, volume, share):
        """Limits are the scheduler's."""

    def on_route_policies(self, policies):
        """Route policies are the scheduler's."""
