"""Texts of experiments: their faults and their factors."""

import json

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.lab import experiment


@pytest.mark.parametrize(
    "change, words",
    [
        ({"variants": []}, "/variants"),
        ({"troubles": ["nothing at all"]}, "there is no kind 'nothing'"),
        ({"variants": [{"name": "a"}, {"name": "a"}]}, "two of one name"),
        ({"fleet": {"edges": 0}}, "/fleet/edges"),
        ({"variants": [{"name": "a", "set": {"/plans/basico/weight": 0}}]}, "/variants/0"),
    ],
)
def test_an_invalid_experiment_is_refused_with_the_place(change, words, tmp_path):
    path = tmp_path / "e.json"
    path.write_text(json.dumps({"name": "x", "variants": [{"name": "module"}], **change}))
    result = CliRunner().invoke(main, ["lab", "run", str(path), "--data", str(tmp_path)])
    assert result.exit_code == 1 and words in result.output and "Traceback" not in result.output


def test_factors_make_an_experiment_of_each_combination(make_experiment):
    factors = {"/workload/load": [0.3, 0.9], "/fleet/nodes": [3, 4]}
    expanded = experiment.expand(make_experiment(factors=factors))
    assert [(one["workload"]["load"], one["fleet"]["nodes"]) for one in expanded] == [
        (0.3, 3),
        (0.3, 4),
        (0.9, 3),
        (0.9, 4),
    ]
    assert len({one["name"] for one in expanded}) == 4
    with pytest.raises(experiment.ExperimentError):
        experiment.expand(make_experiment(factors={"/fleet/nodes": [0]}))
