"""Checks the verifier against the real scheduler, in the schedules that the bounds allow."""

import random

import pytest

from rushmux.lab.model_check.choices import EnumeratedChoices
from rushmux.lab.model_check.deployments import draw_deployment
from rushmux.lab.model_check.verifier_check import check_verifier, find_breach_of
from rushmux.routes import verifier
from rushmux.routes.findings import Rule
from rushmux.scheduling.volume import Volume


def test_no_accepted_deployment_breaks_a_rule_and_most_rejected_ones_do():
    outcome = check_verifier(36, seed=11, max_schedules=30)
    counts = outcome.counts
    assert outcome.mismatches == []
    assert counts["accepted"] > 5 and counts["played"] > 3
    assert counts["played"] + counts["guarded"] > counts["conservative"]


def draw_deployment_near(boundary, accepted):
    generator = random.Random(5)
    while True:
        drawn = draw_deployment(generator)
        if drawn.boundary == boundary and bool(verifier.verify(drawn.bounds, drawn.routes)) != accepted:
            return drawn


volume_init = Volume.__init__


def init_with_full_limit(volume, *arguments):
    volume_init(volume, *arguments)
    volume.limit.level = volume.limit.capacity


# Each case violates an assumption of the scheduler or the verifier: a schedule must find the breach.
@pytest.mark.parametrize(
    "boundary, rule, worse",
    [
        (
            "way",
            Rule.NO_LOSS,
            lambda bounds: bounds._replace(network_delay=bounds.settings.round_interval // 2 + 1),
        ),
        (
            "drain",
            Rule.DRAINING,
            lambda bounds: bounds._replace(drain_grace=bounds.settings.round_interval - 1),
        ),
        ("limit", Rule.RATE_LIMIT, lambda bounds: bounds._replace(restarts=4)),
        (
            "cold",
            Rule.SLOW_START,
            lambda bounds: bounds._replace(overload_units=bounds.settings.max_units * 1.5),
        ),
        (
            "budget",
            Rule.RETRY_BUDGET,
            lambda bounds: bounds._replace(settings=bounds.settings._replace(retry_budget_burst=-4.0)),
        ),
    ],
)
def test_schedules_find_a_breach_when_an_assumption_is_violated(boundary, rule, worse, monkeypatch):
    drawn = draw_deployment_near(boundary, accepted=True)
    if boundary == "budget":  # disables the scheduler's own check
        monkeypatch.setattr(
            "rushmux.scheduling.dispatcher.Dispatcher.has_retry_budget", lambda self, now: True
        )
    if boundary == "limit":  # a restarted gateway no longer starts with an empty bucket
        assert find_breach_of(drawn._replace(bounds=worse(drawn.bounds)), rule, 80) is None
        monkeypatch.setattr("rushmux.scheduling.volume.Volume.__init__", init_with_full_limit)
    assert find_breach_of(drawn, rule, 40) is None or boundary in ("budget", "limit")
    breach = find_breach_of(drawn._replace(bounds=worse(drawn.bounds)), rule, 80)
    assert breach is not None and breach.rule == rule and breach.steps


def test_all_combinations_of_choices_are_enumerated():
    def combination(choices):
        return choices.choose((0, 1)), choices.choose("abc"), choices.choose((9,))

    choices, seen = EnumeratedChoices(), []
    while choices is not None:
        seen.append(combination(choices))
        choices = choices.next_choices()
    assert seen == [(number, letter, 9) for number in (0, 1) for letter in "abc"]
