"""Checking of experiment files, and expansion of factors."""

import json

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.lab import experiment


@pytest.mark.parametrize(
    "change, message",
    [
        ({"variants": []}, "/variants"),
        ({"troubles": ["nothing at all"]}, "unknown kind 'nothing'"),
        ({"variants": [{"name": "a"}, {"name": "a"}]}, "duplicate names"),
        ({"fleet": {"edges": 0}}, "/fleet/edges"),
        ({"variants": [{"name": "a", "set": {"/plans/basico/weight": 0}}]}, "/variants/0"),
    ],
)
def test_an_invalid_experiment_is_rejected_with_the_json_path(change, message, tmp_path):
    path = tmp_path / "e.json"
    path.write_text(json.dumps({"name": "x", "variants": [{"name": "module"}], **change}))
    result = CliRunner().invoke(main, ["lab", "run", str(path), "--data", str(tmp_path)])
    assert result.exit_code == 1 and message in result.output and "Traceback" not in result.output


def test_factors_expand_to_an_experiment_for_each_combination(make_experiment):
    factors = {"/workload/load": [0.3, 0.9], "/fleet/nodes": [3, 4]}
    expanded = experiment.expand(make_experiment(factors=factors))
    assert [(each["workload"]["load"], each["fleet"]["nodes"]) for each in expanded] == [
        (0.3, 3),
        (0.3, 4),
        (0.9, 3),
        (0.9, 4),
    ]
    assert len({each["name"] for each in expanded}) == 4
    with pytest.raises(experiment.ExperimentError):
        experiment.expand(make_experiment(factors={"/fleet/nodes": [0]}))
