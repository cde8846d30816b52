"""Checks the route verifier against the model: draws deployments near its bounds and searches schedules.

No schedule of an accepted deployment may break a rule.  A finding of a rejected one must be reproduced by a
schedule that breaks its rule, or counts as conservative.  If it is marked `guarded`, the scheduler keeps the
rule by itself and no schedule may break it.
"""

import random
from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from rushmux.lab.model_check.deployments import PLAN, REQUEST_CLASS, DrawnDeployment, draw_deployment
from rushmux.lab.model_check.history import Breach
from rushmux.lab.model_check.scenarios import SCENARIOS, Scenario
from rushmux.lab.model_check.search import find_breach
from rushmux.routes import verifier
from rushmux.routes.findings import Finding, Rule


class Count(StrEnum):
    """What a check counts; callers print the values."""

    DRAWN = "drawn"
    """Deployments."""
    ACCEPTED = "accepted"
    """Deployments without findings."""
    REFUSED = "refused"
    """Deployments with findings."""
    GUARDED = "guarded"
    """Findings whose rule the scheduler keeps by itself."""
    REPRODUCED = "played"
    """Findings whose rule is broken in a schedule."""
    CONSERVATIVE = "conservative"
    """Findings without a breach in the schedules searched."""


class Mismatch(NamedTuple):
    """A deployment on which the verifier and the scheduler disagree."""

    draw: int
    """The number of the drawn deployment."""
    text: str


class VerifierCheck(NamedTuple):
    """The result of a check."""

    counts: Counter[str]
    """By `Count`; conservative findings also by the boundary of their deployment."""
    mismatches: list[Mismatch]


def scenarios_for(drawn: DrawnDeployment, rule: Rule) -> tuple[Scenario, ...]:
    """Returns the scenarios that try to break a rule on a deployment."""
    if rule is Rule.RATE_LIMIT and not drawn.bounds.settings.plans[PLAN].limit:
        return ()
    return SCENARIOS[rule]


def find_breach_of(drawn: DrawnDeployment, rule: Rule, max_schedules: int, seed: int = 1) -> Breach | None:
    """Returns the first breach of any rule in the scenarios for one rule, or None.

    Each scenario is searched in at most `max_schedules` schedules.
    """
    for scenario in scenarios_for(drawn, rule):
        breach = find_breach(
            drawn.bounds, scenario, REQUEST_CLASS, PLAN, max_schedules=max_schedules, seed=seed
        )
        if breach is not None:
            return breach
    return None


def check_verifier(draws: int, seed: int, max_schedules: int) -> VerifierCheck:
    """Draws `draws` deployments and searches at most `max_schedules` schedules of each scenario."""
    check = VerifierCheck(Counter(), [])
    for number in range(draws):
        drawn = draw_deployment(random.Random(f"{seed}/{number}"))
        findings = verifier.verify(drawn.bounds, drawn.routes)
        check.counts[Count.DRAWN] += 1
        if findings:
            check.counts[Count.REFUSED] += 1
            for finding in findings:
                _check_refused(check, drawn, finding, number, max_schedules)
        else:
            check.counts[Count.ACCEPTED] += 1
            check.mismatches.extend(_check_accepted(drawn, number, max_schedules))
    return check


def _check_accepted(drawn: DrawnDeployment, number: int, max_schedules: int) -> Iterator[Mismatch]:
    for rule in SCENARIOS:
        breach = find_breach_of(drawn, rule, max_schedules, number)
        if breach is not None:
            yield Mismatch(number, f"{drawn.boundary}: accepted, but breaks '{breach.rule}': {breach.text}")


def _check_refused(
    check: VerifierCheck,
    drawn: DrawnDeployment,
    finding: Finding,
    number: int,
    max_schedules: int,
) -> None:
    breach = find_breach_of(drawn, finding.rule, max_schedules, number)
    if finding.guarded:
        check.counts[Count.GUARDED] += 1
        if breach is not None:
            text = f"{drawn.boundary}: guarded, but breaks '{breach.rule}': {breach.text}"
            check.mismatches.append(Mismatch(number, text))
    elif breach is not None and breach.rule == finding.rule:
        check.counts[Count.REPRODUCED] += 1
    else:
        check.counts[Count.CONSERVATIVE] += 1
        check.counts[f"{Count.CONSERVATIVE} {drawn.boundary}"] += 1
