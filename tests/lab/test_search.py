"""The search for the worst day is repeatable; its result can be shrunk and replayed."""

import json

import pytest

from rushmux.lab import saved_day, search, variants
from rushmux.lab.search import Candidate


def test_the_search_is_repeatable_and_its_day_is_shrunk_and_replayed(make_experiment, tmp_path):
    experiment = make_experiment(
        ["silent nodes 3 at 0.5..2 for 1..3", "reports node at 1 for 1", "slow node size 2..9 at 1 for 2"]
    )
    days = [search.search(experiment, 12, 5, 2) for _ in range(2)]
    assert days[0] == days[1]
    variant = experiment["variants"][0]
    lines = ("silent nodes 3 at 0.5 for 3", "reports node at 1 for 1", "resets node at 0.2")
    worst = search.simulate_day(experiment, variant, variants.load_source(variant), Candidate(3, lines))
    shrunk = search.shrink(experiment, worst, 2)
    assert shrunk.lines == ("silent nodes 3 at 0.5 for 3",)
    path = tmp_path / "case.json"
    saved_day.save(path, experiment, shrunk)
    assert saved_day.replay(path).passes
    content = json.loads(path.read_text())
    path.write_text(json.dumps({**content, "served": content["served"] + 0.1}))
    assert not saved_day.replay(path).passes
    path.write_text("{}")
    with pytest.raises(saved_day.SavedDayError):
        saved_day.replay(path)
