"""A whole fleet with three planners on the virtual clock: changes of its policy under drawn faults."""
import pytest

from rushmux.standins import policy_fleet


@pytest.mark.parametrize("seed", range(4))
def test_drawn_faults_break_no_rule_and_all_go_by_one_number_at_the_end(seed, tmp_path):
    found = policy_fleet.played(seed, tmp_path)
    assert found.breaches == []
    assert found.facts["decide"] >= 2 and found.facts["answers"] > 200
