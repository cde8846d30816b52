"""The whole level: troubles through real edges, several at once, judged by the checker."""

import pytest

from rushmux.lab import spec, system_simulation
from rushmux.standins.checker import Checker

TOGETHER = {
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


@pytest.mark.parametrize("name", TOGETHER)
def test_troubles_together_through_real_edges(name, small):
    raw = small(TOGETHER[name])
    built, stood, arrivals, events = spec.day(raw, raw["variants"][0], 2)
    ended, fleet = system_simulation.play(built, stood, arrivals, events, 2)
    breaches = Checker(fleet.all_records(), built, 0.005).breaches()
    assert not breaches
    assert len(ended) == len(arrivals) and sum(row.how == "succeeded" for row in ended) > 0.3 * len(ended)


def test_same_seed_same_day(small):
    raw = small(["silent node at 0.5 for 1", "die edge at 1 for 1"])
    day = spec.day(raw, raw["variants"][0], 3)
    assert system_simulation.play(*day, 3)[0] == system_simulation.play(*day, 3)[0]


def test_a_cut_keeps_what_was_on_its_way(small):
    raw = small(["cut zone at 1 for 2"])
    built, stood, arrivals, events = spec.day(raw, raw["variants"][0], 2)
    _, fleet = system_simulation.play(built, stood, arrivals, events, 2)
    cut, begun = events[0], next(row["at"] for row in fleet.records if row["kind"] == "day")
    names = {f"node{target[1:]}" for target in cut.targets}
    inside = [
        row
        for row in fleet.records
        if row["kind"] == "execution" and row["node"] in names and begun + 1.01 < row["at"] < begun + 2.99
    ]
    assert not inside
    assert any(row["at"] > begun + 3 for row in fleet.records if row["kind"] == "execution")
