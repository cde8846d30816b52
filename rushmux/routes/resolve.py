"""Resolves the file's rows to one route policy for each request class and plan.

A row names a class (`lane` in the file), a plan, or both.  Each field is taken from the most specific row
that states it: one that names both, then the class, then the plan, then the fleet's default.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rushmux.scheduling.interface import NO_ROUTE_POLICY, RequestClass, RoutePolicy, Ticks

TICKS_PER_MS = 10
FIELDS = ("time_out_ms", "executions", "wait_ms", "second_copy", "held", "budget")


class ResolvedRoute(NamedTuple):
    """The policy of one request class and plan."""

    request_class: RequestClass
    plan: str
    policy: RoutePolicy
    places: dict[str, str]
    """JSON pointers into the file, by field that it states."""

    @property
    def name(self) -> str:
        """The class and the plan in the terms of the file."""
        return f"lane '{self.request_class.name}' of plan '{self.plan}'"

    def place(self, *fields: str) -> str:
        """Returns the JSON pointer of the first of these fields that is stated."""
        return next((self.places[field] for field in fields if field in self.places), "/routes")


def ticks(milliseconds: float) -> Ticks:
    """Converts a time to whole ticks, rounded up."""
    return -int(-milliseconds * TICKS_PER_MS // 1)


def _policy(stated: dict, max_attempts: int) -> RoutePolicy:
    hedge, budget = stated.get("second_copy"), stated.get("budget")
    policy = RoutePolicy(
        max_attempts=stated.get("executions", max_attempts),
        retry_delay=ticks(stated.get("wait_ms", 0)),
        hedge_after=None if hedge is None or hedge is False else ticks(hedge.get("after_ms", 0)),
        max_in_flight=stated.get("held", NO_ROUTE_POLICY.max_in_flight),
    )
    if "time_out_ms" in stated:
        policy = policy._replace(attempt_timeout=ticks(stated["time_out_ms"]))
    if budget:
        policy = policy._replace(retry_ratio=budget["share"], retry_burst=budget["free"])
    return policy


def find_row_faults(rows: list[dict], classes: Mapping, plans: Mapping) -> list[tuple[str, str]]:
    """Returns (place, text) for rows that name an unknown class or plan or repeat an earlier row."""
    found, seen = [], {}
    for number, row in enumerate(rows):
        for kind, known in (("lane", classes), ("plan", plans)):
            if kind in row and row[kind] not in known:
                text = f"there is no {kind} '{row[kind]}'; there are {', '.join(known)}"
                found.append((f"/routes/{number}/{kind}", text))
        names = row.get("lane"), row.get("plan")
        if names in seen and names != (None, None):
            found.append((f"/routes/{number}", f"has the same lane and plan as /routes/{seen[names]}"))
        seen.setdefault(names, number)
    return found


def resolve(
    rows: list[dict], classes: Mapping[str, RequestClass], plans: Iterable[str], max_attempts: int
) -> list[ResolvedRoute]:
    """Returns a route for each class and plan, in the order of the file.

    Args:
        rows: The file's rows, without faults.
        classes: All request classes by name.
        plans: The names of all plans.
        max_attempts: The fleet's default, where no row states another.
    """
    numbers = {(row.get("lane"), row.get("plan")): number for number, row in enumerate(rows)}
    found = []
    for request_class in classes.values():
        for plan in plans:
            stated, places = {}, {}
            for names in ((None, plan), (request_class.name, None), (request_class.name, plan)):
                number = numbers.get(names)
                if number is None:
                    continue
                for field in FIELDS:
                    if field in rows[number]:
                        stated[field] = rows[number][field]
                        places[field] = f"/routes/{number}/{field}"
            found.append(ResolvedRoute(request_class, plan, _policy(stated, max_attempts), places))
    return found


def route_policies(routes: list[ResolvedRoute]) -> dict[tuple[str, str], RoutePolicy]:
    """Returns the policies by class and plan, for `SchedulerSettings`."""
    return {(route.request_class.name, route.plan): route.policy for route in routes}
