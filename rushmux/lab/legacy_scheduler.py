"""Adapts schedulers of revisions with the decision logic in `rushmux/rules.py` to the current interface.

The two interfaces differ in names only: records have the same fields in the same order, and the members of
the current enums compare equal to the former strings.
"""

import types
from collections.abc import Callable

LEGACY_INTERFACE, LEGACY_RULES = "rushmux/interface.py", "rushmux/rules.py"
INTERFACE_IMPORT = "from rushmux import interface as say"


def load(interface_text: str, rules_text: str) -> Callable:
    """Returns a factory of schedulers from source texts, called like `scheduler.Scheduler`."""
    interface, rules = types.ModuleType("legacy_interface"), types.ModuleType("legacy_rules")
    # The texts come from this repository's own history.
    exec(compile(interface_text, LEGACY_INTERFACE, "exec"), interface.__dict__)
    rules.__dict__["say"] = interface
    exec(compile(rules_text.replace(INTERFACE_IMPORT, ""), LEGACY_RULES, "exec"), rules.__dict__)

    def make_scheduler(settings, seed, now, actions):
        return LegacyScheduler(interface, rules, settings=settings, seed=seed, now=now, actions=actions)

    return make_scheduler


def to_legacy(record_type, record):
    """Returns a legacy record with the values of a current one, whose last fields it may lack."""
    return record_type(*record[: len(record_type._fields)])


class LegacyActions:
    """The current actions under their legacy names."""

    def __init__(self, actions):
        self.execute = actions.start_attempt
        self.shed = actions.shed
        self.terminate = actions.fail
        self.wake = actions.wake_after
        self.watch = actions.poll_endpoints
        self.withdraw = actions.cancel_attempt
        self.probe = actions.request_load_report


class LegacyScheduler:
    """A legacy `Gateway` that is called by the current events."""

    def __init__(self, interface, rules, *, settings, seed, now, actions):
        self.interface = interface
        lanes = {name: to_legacy(interface.Lane, value) for name, value in settings.request_classes.items()}
        plans = {name: to_legacy(interface.Plan, value) for name, value in settings.plans.items()}
        settings = settings._replace(
            request_classes=lanes, plans=plans, route_policies=self._routes(settings.route_policies)
        )
        terms = to_legacy(interface.Terms, settings)
        self.gateway = rules.Gateway(terms, seed, now, LegacyActions(actions))

    def _routes(self, policies):
        return {key: to_legacy(self.interface.Route, policy) for key, policy in policies.items()}

    def on_endpoints(self, now, kind, endpoints):
        """Handles the endpoint list or updates of it."""
        entries = [to_legacy(self.interface.Listed, endpoint) for endpoint in endpoints]
        self.gateway.listed(now, kind, entries)

    def on_operation(self, now, request):
        """Handles an operation of a client."""
        self.gateway.taken(now, *request)

    def on_attempt_result(self, now, report):
        """Handles the result of an attempt."""
        self.gateway.answered(now, *report)

    def on_load_report(self, node, result, queue, service):
        """Handles a load report of a node."""
        self.gateway.reported(node, result, queue, service)

    def on_client_gone(self, now, op_id):
        """Handles the loss of the client: the operation needs no answer."""
        self.gateway.left(now, op_id)

    def on_quota(self, now, volume, share):
        """Handles a change of this gateway's share of a volume's limit."""
        self.gateway.shared(now, volume, share)

    def on_route_policies(self, policies):
        """Sets the route policies of new operations."""
        self.gateway.routed(self._routes(policies))

    def run_round(self, now):
        """Runs a round for the events since the last one."""
        self.gateway.act(now)
