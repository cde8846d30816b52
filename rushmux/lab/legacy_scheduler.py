"""Schedulers of revisions that had the decision logic in `rushmux/rules.py`, behind today's interface.

The two interfaces differ in names only: records have the same fields in the same order, and the members of
today's enums compare equal to the strings of before.
"""

import types
from collections.abc import Callable

LEGACY_INTERFACE, LEGACY_RULES = "rushmux/interface.py", "rushmux/rules.py"
INTERFACE_IMPORT = "from rushmux import interface as say"


def load(interface_text: str, rules_text: str) -> Callable:
    """What makes a scheduler of these texts, called as `scheduler.Scheduler` is."""
    interface, rules = types.ModuleType("legacy_interface"), types.ModuleType("legacy_rules")
    # Texts of this repository's own history.
    exec(compile(interface_text, LEGACY_INTERFACE, "exec"), interface.__dict__)
    rules.__dict__["say"] = interface
    exec(compile(rules_text.replace(INTERFACE_IMPORT, ""), LEGACY_RULES, "exec"), rules.__dict__)

    def make(settings, seed, now, actions):
        return LegacyScheduler(interface, rules, settings=settings, seed=seed, now=now, actions=actions)

    return make


def converted(record_type, record):
    """A record of before with the values of today's; the older may lack the last fields."""
    return record_type(*record[: len(record_type._fields)])


class LegacyOutbox:
    """Today's actions under the names of before."""

    def __init__(self, actions):
        self.execute = actions.start_attempt
        self.shed = actions.shed
        self.terminate = actions.fail
        self.wake = actions.wake_after
        self.watch = actions.poll_endpoints
        self.withdraw = actions.cancel_attempt
        self.probe = actions.request_load_report


class LegacyScheduler:
    """A `Gateway` of before, called by today's events."""

    def __init__(self, interface, rules, *, settings, seed, now, actions):
        self.interface = interface
        lanes = {name: converted(interface.Lane, each) for name, each in settings.request_classes.items()}
        plans = {name: converted(interface.Plan, each) for name, each in settings.plans.items()}
        settings = settings._replace(
            request_classes=lanes, plans=plans, route_policies=self._routes(settings.route_policies)
        )
        terms = converted(interface.Terms, settings)
        self.gateway = rules.Gateway(terms, seed, now, LegacyOutbox(actions))

    def _routes(self, policies):
        return {key: converted(self.interface.Route, policy) for key, policy in policies.items()}

    def on_endpoints(self, now, kind, endpoints):
        """The endpoint list, or updates of it, arrived."""
        entries = [converted(self.interface.Listed, endpoint) for endpoint in endpoints]
        self.gateway.listed(now, kind, entries)

    def on_operation(self, now, request):
        """A client asks for an operation."""
        self.gateway.taken(now, *request)

    def on_attempt_result(self, now, report):
        """An attempt came back."""
        self.gateway.answered(now, *report)

    def on_load_report(self, node, result, queue, service):
        """A node told its load."""
        self.gateway.reported(node, result, queue, service)

    def on_client_gone(self, now, op_id):
        """The operation needs no answer any more."""
        self.gateway.left(now, op_id)

    def on_quota(self, now, volume, share):
        """This gateway's share of a volume's limit changed."""
        self.gateway.shared(now, volume, share)

    def on_route_policies(self, policies):
        """Route policies for operations from now on."""
        self.gateway.routed(self._routes(policies))

    def run_round(self, now):
        """Acts on all events since the last round."""
        self.gateway.act(now)
