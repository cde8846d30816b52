"""Plain text of routes and of what the verifier found, for people, in the deployment file's words."""

from collections.abc import Iterable, Iterator

from rushmux.routes.findings import WorstCase, milliseconds
from rushmux.routes.resolve import ResolvedRoute
from rushmux.scheduling.interface import NO_ROUTE_POLICY

UNSET = "-"


def _values(route: ResolvedRoute) -> Iterator[tuple[str, str]]:
    """Each field of the file with its value as text."""
    policy, unset = route.policy, NO_ROUTE_POLICY
    has_timeout = policy.attempt_timeout != unset.attempt_timeout
    yield "time_out_ms", milliseconds(policy.attempt_timeout) if has_timeout else UNSET
    yield "executions", str(policy.max_attempts)
    yield "wait_ms", milliseconds(policy.retry_delay) if policy.retry_delay else UNSET
    hedges = policy.hedge_after is not None
    yield "second_copy", f"after {milliseconds(policy.hedge_after)}" if hedges else UNSET
    yield "held", UNSET if policy.max_in_flight == unset.max_in_flight else str(policy.max_in_flight)
    has_budget = policy.retry_burst != unset.retry_burst
    yield "budget", f"{policy.retry_ratio:g} each, {policy.retry_burst:g} saved" if has_budget else UNSET


def describe_routes(resolved: Iterable[ResolvedRoute]) -> Iterator[str]:
    """Lines: each class and plan with what it got and the row that said so."""
    for route in resolved:
        parts = []
        for field, value in _values(route):
            if value == UNSET:
                continue
            row = f" ({route.places[field].split('/')[2]})" if field in route.places else ""
            parts.append(f"{field.removesuffix('_ms')} {value}{row}")
        yield f"{route.request_class.name} / {route.plan}: {', '.join(parts)}"


def describe_worst_cases(found: Iterable[WorstCase]) -> Iterator[str]:
    """Lines: the worst of each matter against its bound."""
    for case in found:
        bound = "" if case.bound is None else f" of {case.bound:g}"
        sure = "" if case.exact else "   (at most; not known to be reached)"
        yield f"{case.matter:72} {case.worst:>12.6g}{bound} {case.unit}{sure}".rstrip()
