"""Computes the worst cases that a file's routes allow and reports those that could break a rule.

Each check compares a closed form, the longest chain of delays within the stated bounds in whole ticks, with
what the rule allows (docs/routes.md derives each).  The rule of a `guarded` finding is kept by the scheduler,
which does not do all that the route states.  A simulated schedule can reproduce the others
(`lab/model_check`).
"""

from rushmux.routes import fleet_checks, route_checks
from rushmux.routes.bounds import Bounds, latest_answer_time, longest_connect_wait, worst_slow_start_units
from rushmux.routes.findings import Finding, WorstCase, format_ms
from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.node import MAX_IN_FLIGHT

ROUTE_CHECKS = (
    route_checks.check_attempts,
    route_checks.check_hedging,
    route_checks.check_dedup_window,
)


def verify(bounds: Bounds, routes: list[ResolvedRoute]) -> list[Finding]:
    """Returns all findings; if there are none, no schedule within the bounds breaks a rule."""
    found = [
        *fleet_checks.check_answers_in_time(bounds),
        *_worst_by_place(bounds, routes),
        fleet_checks.check_draining(bounds, routes),
        fleet_checks.check_slow_start(bounds),
        *fleet_checks.check_retry_budgets(bounds, routes),
        fleet_checks.check_capacity(bounds, routes),
    ]
    return [finding for finding in found if finding is not None]


def _worst_by_place(bounds: Bounds, routes: list[ResolvedRoute]) -> list[Finding]:
    """Checks each route; of the findings of one row for several plans only the worst is kept."""
    worst: dict[tuple, Finding] = {}
    for route in routes:
        for check in ROUTE_CHECKS:
            finding = check(bounds, route)
            if finding is None:
                continue
            key = finding.place, finding.rule, check, route.request_class.name
            known = worst.get(key)
            if known is None or finding.worst - finding.bound > known.worst - known.bound:
                worst[key] = finding
    return list(worst.values())


def worst_cases(bounds: Bounds, routes: list[ResolvedRoute]) -> list[WorstCase]:
    """Returns the worst cases that an accepted file allows."""
    settings = bounds.settings
    classes = settings.request_classes.values()
    latest = max(classes, key=lambda each: latest_answer_time(bounds, each) - each.deadline)
    in_flight = settings.gateway_count * MAX_IN_FLIGHT
    connect = max((longest_connect_wait(bounds, route) for route in routes), default=0)
    draining = settings.round_interval + connect + bounds.network_delay
    found = [
        WorstCase(
            f"latest final answer, nearest to its hard stop (lane '{latest.name}')",
            latest_answer_time(bounds, latest) / 10,
            latest.deadline / 10,
            "ms",
            True,
        ),
        WorstCase("executions in flight at a node", in_flight, None, "", True),
        WorstCase(
            "bytes of these executions",
            in_flight * settings.max_units * bounds.unit_bytes,
            None,
            "bytes",
            False,
        ),
        WorstCase(
            "arrival at a draining node after notice", draining / 10, bounds.drain_grace / 10, "ms", True
        ),
        WorstCase(
            "sent to a node that just started, within a window",
            worst_slow_start_units(bounds),
            bounds.overload_units,
            "units",
            False,
        ),
    ]
    if settings.retry_budget_ratio is not None:
        window = format_ms(settings.retry_budget_window)
        quantity = f"additional executions of a gateway in {window}, with 1000 operations"
        retries = settings.retry_budget_burst + 1000 * settings.retry_budget_ratio
        found.append(WorstCase(quantity, retries, None, "", True))
    for plan in settings.plans.values():
        if plan.limit:
            found.append(WorstCase(f"over the limit of plan '{plan.name}'", 0, plan.slack, "units", True))
    return found
