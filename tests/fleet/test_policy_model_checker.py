"""Explores all orders of a few events on the real classes; `benchmarks/policy.py states` goes deeper."""

import pytest

from rushmux.standins import policy_mutants
from rushmux.standins.policy_model_checker import (
    LIMIT_GOES_DOWN,
    LIMIT_GOES_UP,
    STARTS,
    Bounds,
    check,
    start_state,
)
from rushmux.standins.policy_parts import REAL_PARTS

STATES = 6_000
MIN_DEPTH = 4
MAX_TRACE = 12


@pytest.mark.parametrize("start", STARTS)
def test_no_order_of_events_exceeds_the_limit(start):
    for limits in (LIMIT_GOES_DOWN, LIMIT_GOES_UP):
        result = check(Bounds(states=STATES), limits=limits, start=STARTS[start])
        assert result.violation is None and result.states == STATES and result.depth >= MIN_DEPTH
        assert "in progress" in result.outcomes


@pytest.mark.parametrize(
    "mutant, start, limits",
    [
        (policy_mutants.RaisesBeforeDecided, "all have leases", LIMIT_GOES_UP),
        (policy_mutants.NeverDegraded, "one is without a lease", LIMIT_GOES_DOWN),
        (policy_mutants.MajorityIsEnough, "two are joint, the third serves on", LIMIT_GOES_DOWN),
        (
            policy_mutants.IgnoresPredecessorLeases,
            "planner 2 leads, the third has a lease of planner 1",
            LIMIT_GOES_DOWN,
        ),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_mutant_is_found_by_a_shortest_trace(mutant, start, limits):
    parts = REAL_PARTS.with_mutant(mutant)
    result = check(Bounds(states=STATES), parts=parts, limits=limits, start=STARTS[start])
    assert result.violation is not None and 0 < len(result.trace) < MAX_TRACE


def test_an_impossible_move_at_the_start_is_an_error():
    parts = REAL_PARTS.with_mutant(policy_mutants.NeverDegraded)
    with pytest.raises(ValueError, match="not possible here"):
        start_state(parts, LIMIT_GOES_DOWN, ["planner 9 proposes"])
