"""Holds the prover against the model: draws deployments near its borders and plays them.

Every accepted one must keep the rules in all schedules found; a refused one must have a schedule
that breaks its rule, or count as conservative; or be marked `guarded`, where the module keeps the rule
by itself.
"""

import random
from collections import Counter
from typing import NamedTuple

from rushmux.lab import schedules
from rushmux.routes import resolve, verifier
from rushmux.routes.bounds import Bounds, longest_attempt, scheduler_window, worst_slow_start_units
from rushmux.routes.findings import Rule
from rushmux.scheduling.interface import DedupScope, Idempotency, QosPlan, RequestClass, SchedulerSettings

MATTERS = ("way", "short", "window", "drain", "cold", "limit", "ladder", "copy", "budget")
STORIES = {  # rule -> stories that try to break it, what nodes do there, whether ways are drawn
    Rule.NO_LOSS: ((schedules.late, (schedules.SILENT, schedules.FAILED, schedules.DONE), True),),
    Rule.NO_DUPLICATE: (
        (schedules.late, (schedules.SILENT, schedules.FAILED, schedules.TURNED_AWAY), True),
        (schedules.held_back, (schedules.SILENT, schedules.FAILED), True),
    ),
    Rule.DRAINING: ((schedules.drained, (schedules.SILENT,), True),),
    Rule.SLOW_START: (
        (schedules.started, (schedules.SILENT,), True),
        (schedules.started, (schedules.DONE,), True),
    ),
    Rule.RETRY_BUDGET: ((schedules.late, (schedules.FAILED, schedules.SILENT), True),),
    Rule.RATE_LIMIT: ((schedules.forgotten, (schedules.DONE,), False),),
}


SINGLE = (schedules.late, schedules.drained, schedules.held_back)  # stories of one gateway


class Drawn(NamedTuple):
    """A small deployment: one lane, one plan."""

    matter: str
    bounds: Bounds
    routes: list[resolve.ResolvedRoute]


def draw(chance: random.Random) -> Drawn:
    """A deployment in which one matter is near its border, the others well inside."""
    matter = chance.choice(MATTERS)
    near = chance.randrange(-3, 4)  # ticks, or units, past the border
    tick = chance.randrange(4, 60) * 2
    way, dial = tick // 2 - chance.randrange(1, 3), chance.choice((0, 300, 2_000))
    quoted = chance.randrange(20, 60) * 100
    stop, window, repeat, group = quoted * 3 + 4 * tick, 200_000, Idempotency.IDEMPOTENT, "all"
    row, gateways, cold, restarts, copies = {}, 2, 10.0, 1, False
    limit, slack, free = 0.0, 0.0, 50.0
    if matter == "way":
        way = max(0, tick // 2 + near)
    elif matter == "short":
        stop = max(1, 2 * way + tick + near)
        quoted = max(1, min(quoted, stop))
    elif matter == "window":
        repeat, group = Idempotency.KEYED, chance.choice(("all", "cell"))
        row = {"executions": 2, "time_out_ms": chance.randrange(2, 12) * 10.0}
        wait = min(dial, int(row["time_out_ms"] * 10) + tick)
        window = max(
            2 * tick, quoted + tick + wait + way + chance.choice((near, near - quoted // 2, near - tick))
        )
    elif matter == "cold":
        gateways, cold = chance.randrange(2, 7), chance.randrange(4, 40) * 1.0
    elif matter == "limit":
        limit, slack, restarts = 40.0, chance.randrange(0, 4) * 4.0, chance.randrange(0, 3)
    elif matter == "ladder":
        count = chance.randrange(1, 4)
        row = {"executions": count, "wait_ms": chance.randrange(0, 5) * 10.0}
        most = (stop - 2 * tick - (count - 1) * (tick + row["wait_ms"] * 10)) // count
        if count > 1:
            most = min(most, (quoted - 1) // (count - 1) - tick - row["wait_ms"] * 10)
        row["time_out_ms"] = max(1, most + near) / 10
    elif matter == "copy":
        copies = chance.random() < 0.8
        repeat, group = chance.choice(
            (
                (Idempotency.IDEMPOTENT, "all"),
                (Idempotency.KEYED, "all"),
                (Idempotency.KEYED, "cell"),
                (Idempotency.NOT_IDEMPOTENT, "all"),
            )
        )
        due = min(quoted, stop - 2 * tick) - tick - 2 * way + near
        row = {"second_copy": {"after_ms": max(0, chance.choice((due, due // 4))) / 10}}
    elif matter == "budget":
        row, free = {"budget": {"share": 0.0, "free": 4.0}}, 4.0 + near
    lane = RequestClass("w", quoted, stop, 1.0, repeat, DedupScope(group), window, False)
    plan = QosPlan("p", 100.0, 50.0, limit, 24.0 * gateways if limit else 0.0, slack, 1.0, 1.0)
    routes = resolve.resolve([{"lane": "w", **row}], {"w": lane}, {"p": plan}, 3)
    grace = tick + min(dial, max(longest_attempt(tick, route) for route in routes) + tick) + way
    settings = SchedulerSettings(
        request_classes={"w": lane},
        plans={"p": plan},
        gateway_count=gateways,
        round_interval=tick,
        polls_endpoints=False,
        poll_interval=0,
        max_attempts=3,
        max_retry_after=0,
        mean_units=2.0,
        max_units=4.0,
        slow_start_units=cold,
        slow_start_window=scheduler_window(20_000, way, dial, tick),
        overload_multiple=2.5,
        initial_capacity=0.2,
        warm_up_time=160_000,
        usage_period=0,
        key_cooldown=0,
        retry_budget_ratio=0.5,
        retry_budget_burst=max(0.0, free),
        retry_budget_window=100_000,
        allows_hedging=copies,
        allows_cancellation=True,
        route_policies=resolve.route_policies(routes),
    )
    grace += max(-grace, near) if matter == "drain" else 50
    bounds = Bounds(settings, way, dial, grace, restarts, 20_000, 1_000.0, 400.0, 20_000, 1)
    if matter == "cold":
        # What it answers is a part of what pushes it over, and both stand in the border.
        falls = (cold + gateways * 4.0 + near) * chance.choice((1.0, 0.8, 0.5, 2.0, 4.0))
        bounds = bounds._replace(
            overload_units=falls,
            served_units=falls / settings.overload_multiple * chance.choice((0.1, 0.5, 1.0)),
        )
        falls = worst_slow_start_units(bounds) + near if chance.random() < 0.5 else falls
        bounds = bounds._replace(overload_units=falls)
    return Drawn(matter, bounds, routes)


def play(drawn: Drawn, rule: str, most: int, seed=1):
    """The first breach of any rule found by the stories for one rule."""
    for story, acts, way in STORIES[rule]:
        if rule == Rule.RATE_LIMIT and not drawn.bounds.settings.plans["p"].limit:
            continue
        gateways = 1 if story in SINGLE else drawn.bounds.settings.gateway_count
        breach = schedules.search(drawn.bounds, story, "w", "p", acts, most, seed, gateways, way)
        if breach is not None:
            return breach
    return None


class Outcome(NamedTuple):
    """What holding the prover against the model came to."""

    counts: Counter
    wrong: list  # (number of the draw, what is wrong)


def hold(number: int, seed: int, most: int) -> Outcome:
    """Draws so many deployments and plays each through at most so many schedules a story."""
    counts, wrong = Counter(), []
    for place in range(number):
        drawn = draw(random.Random(f"{seed}/{place}"))
        findings = verifier.verify(drawn.bounds, drawn.routes)
        counts["drawn"] += 1
        if not findings:
            counts["accepted"] += 1
            for rule in STORIES:
                breach = play(drawn, rule, most, place)
                if breach is not None:
                    wrong.append((place, f"{drawn.matter}: accepted, and {breach.rule}: {breach.text}"))
            continue
        counts["refused"] += 1
        for finding in findings:
            breach = play(drawn, finding.rule, most, place)
            if finding.guarded:
                counts["guarded"] += 1
                if breach is not None:
                    wrong.append((place, f"{drawn.matter}: guarded, and {breach.rule}: {breach.text}"))
            elif breach is not None and breach.rule == finding.rule:
                counts["played"] += 1
            else:
                counts["conservative"] += 1
                counts[f"conservative {drawn.matter}"] += 1
    return Outcome(counts, wrong)
