"""All orders of a few events, on the very parts that run; `benchmarks/policy.py states` goes further."""

import pytest

from rushmux.standins import policy_mutants
from rushmux.standins.policy_model_checker import BEGINS, Bounds, begun, check

STATES = 6_000


@pytest.mark.parametrize("begin", BEGINS)
def test_no_order_of_events_passes_the_limit(begin):
    for limits in ((90.0, 30.0), (30.0, 90.0)):
        found = check(Bounds(states=STATES), limits=limits, begin=BEGINS[begin])
        assert found.breach is None and found.states == STATES and found.events >= 4
        assert "under way" in found.ends


@pytest.mark.parametrize(
    "defect, begin, limits",
    [
        (policy_mutants.UpBeforeDown, "all there", (30.0, 90.0)),
        (policy_mutants.NeverNarrow, "one away, its lease over", (90.0, 30.0)),
        (policy_mutants.MostAreEnough, "two joint, the third serves on", (90.0, 30.0)),
        (policy_mutants.OldLeasesForgotten, "planner 2 leads, the third has the lease of 1", (90.0, 30.0)),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_the_check_finds_what_is_wrong_by_a_shortest_way(defect, begin, limits):
    found = check(Bounds(states=STATES), policy_mutants.parts(defect), limits, BEGINS[begin])
    assert found.breach is not None and 0 < len(found.way) < 12


def test_a_way_that_cannot_be_is_said():
    with pytest.raises(ValueError, match="cannot be here"):
        begun(policy_mutants.parts(policy_mutants.NeverNarrow), (90.0, 30.0), ["planner 9 sings"])
