"""Drawn workloads and their traces."""

import json

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.lab import trace, variants
from rushmux.lab.day import draw_day, draw_volumes, fleet_capacity
from rushmux.lab.experiment import ExperimentError
from rushmux.lab.run import simulate


def test_a_written_trace_is_read_again(make_experiment, tmp_path):
    experiment = make_experiment()
    arrivals = draw_day(experiment, experiment["variants"][0], 1).arrivals
    volumes = draw_volumes(experiment, 1)
    trace.write(tmp_path / "t", volumes, arrivals)
    plans, read = trace.read(tmp_path / "t")
    assert read == arrivals and plans == {volume.name: volume.plan for volume in volumes}


@pytest.mark.parametrize(
    "text, words",
    [
        ("", "line 1"),
        ('{"format": 9, "volumes": {}}\n', "format 9"),
        ('{"format": 1, "volumes": {"v": "p"}}\n{"at": 1}\n', "line 2"),
        (
            '{"format": 1, "volumes": {}}\n'
            '{"at":1,"volume":"x","lane":"l","key":"","units":1,"cell":0,"edge":0}\n',
            "not in the header",
        ),
        (
            '{"format": 1, "volumes": {"x": "p"}}\n'
            '{"at":1,"volume":"x","lane":"l","key":"","units":1,"cell":0,"gateway":0}\n',
            "unknown field gateway",
        ),
    ],
)
def test_an_invalid_trace_is_rejected_with_its_reason(tmp_path, text, words):
    (tmp_path / "t").write_text(text)
    with pytest.raises(trace.TraceError) as error:
        trace.read(tmp_path / "t")
    assert words in str(error.value)


def test_volumes_demand_the_configured_load(make_experiment):
    experiment = make_experiment(seconds=40, workload={"load": 0.5, "rush": 0})
    asked = [
        sum(arrival.units for arrival in draw_day(experiment, experiment["variants"][0], seed).arrivals)
        for seed in range(4)
    ]
    assert sum(asked) / 4 / 40 / fleet_capacity(experiment) == pytest.approx(0.5, rel=0.2)


def test_a_trace_is_simulated_as_it_was_recorded(make_experiment, tmp_path):
    experiment = make_experiment()
    path = tmp_path / "e.json"
    path.write_text(json.dumps(experiment))
    trace_path = str(tmp_path / "t.jsonl")
    arguments = ["lab", "trace", str(path), "--out", trace_path, "--seed", "3"]
    assert CliRunner().invoke(main, arguments).exit_code == 0
    again = make_experiment(trace=trace_path)
    variant = again["variants"][0]
    recorded = draw_day(experiment, experiment["variants"][0], 3).arrivals
    assert draw_day(again, variant, 9).arrivals == recorded
    result = simulate(again, variant, variants.load_source(variant), 9)
    assert result["kept"] and result["asked"] > 100
    with pytest.raises(ExperimentError) as error:
        make_experiment(trace=str(tmp_path / "none"))
    assert error.value.problems[0][0] == "/trace"
