"""Days with real edges and several faults at once, verified by the checker."""

import pytest

from rushmux.lab.client import ClientOutcome
from rushmux.lab.day import draw_day
from rushmux.lab.system_simulation import simulate
from rushmux.standins.checker import Checker

COMBINED_FAULTS = {
    "nodes": [
        "silent node at 0.5 for 1",
        "slow node size 5 at 1 for 1",
        "errors node size 0.5 at 0.2 for 1",
        "lost nodes 2 size 0.2 at 1 for 1",
        "resets nodes 3 at 1.5",
        "neighbour nodes 2 size 4 at 0.5 for 2",
        "reports nodes 2 at 0.5 for 2",
    ],
    "restarts": ["restart nodes 2 at 1 for 0.7", "lag lists size 2 at 0.5 for 2"],
    "drains": ["drain nodes 1 size 1 at 0.5"],
    "edges": ["die edges 2 at 1 for 1", "still edge at 2.2 for 0.6"],
    "cut": ["cut zone at 1 for 1.5", "cut edge at 3 for 0.5"],
    "clients": [
        "hurried all size 0.1 at 0.5 for 1",
        "surge all size 4 at 1 for 1",
        "hot all size 0.8 at 2 for 1",
        "scan volume size 4 at 1 for 2",
    ],
}


@pytest.mark.parametrize("name", COMBINED_FAULTS)
def test_combined_faults_with_real_edges_keep_the_rules(name, make_experiment):
    experiment = make_experiment(COMBINED_FAULTS[name])
    day = draw_day(experiment, experiment["variants"][0], 2)
    completed, standins = simulate(day, 2)
    breaches = Checker(standins.all_records(), day.deployment, 0.005).breaches()
    assert not breaches
    assert len(completed) == len(day.arrivals)
    succeeded = sum(row.outcome is ClientOutcome.SUCCEEDED for row in completed)
    assert succeeded > 0.3 * len(completed)


def test_the_same_seed_gives_the_same_day(make_experiment):
    experiment = make_experiment(["silent node at 0.5 for 1", "die edge at 1 for 1"])
    day = draw_day(experiment, experiment["variants"][0], 3)
    assert simulate(day, 3).completed == simulate(day, 3).completed


def test_a_partition_lets_nothing_through_until_it_ends(make_experiment):
    experiment = make_experiment(["cut zone at 1 for 2"])
    day = draw_day(experiment, experiment["variants"][0], 2)
    records = simulate(day, 2).standins.records
    begun = next(row["at"] for row in records if row["kind"] == "day")
    names = {f"node{target[1:]}" for target in day.events[0].targets}
    attempts = [row for row in records if row["kind"] == "execution"]
    inside = [row for row in attempts if row["node"] in names and begun + 1.01 < row["at"] < begun + 2.99]
    assert not inside
    assert any(row["at"] > begun + 3 for row in attempts)
