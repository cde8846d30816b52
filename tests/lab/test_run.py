"""Experiments: same results on any number of cores, resumed after a kill, crashes reported."""

import json
import signal
import sqlite3
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.lab import compare, report, run, variants

WORSE = {"name": "worse", "without": [["INITIAL_LIMIT = 3 ", "INITIAL_LIMIT = 0.01 "]]}
CRASHES = {
    "name": "crashes",
    "without": [["def run_round(self, now):", "def run_round(self, now):\n        1 / 0\n"]],
}


def without_sketches(results):
    """Results without the encoded histograms, which contain their creation time."""
    return {
        name: {
            seed: {key: value for key, value in day.items() if key != "sketches"}
            for seed, day in days.items()
        }
        for name, days in results.items()
    }


def test_one_core_and_four_give_the_same_result(make_experiment, make_store):
    experiment = make_experiment(
        ["silent node at 1 for 1"], [{"name": "module"}, {"name": "fair", "decisions": "fair-share"}]
    )
    one = run.run(experiment, make_store("one"), 1)
    four = run.run(experiment, make_store("four"), 4)
    assert without_sketches(one) == without_sketches(four) and list(one["module"]) == [1, 2]


def test_a_crashed_variant_is_reported_and_the_others_count(make_experiment, make_store, tmp_path):
    experiment = make_experiment((), [{"name": "module"}, CRASHES])
    results = run.run(experiment, make_store(), 2)
    lines = "\n".join(run.summarize(experiment, results))
    assert "crashed: seed 1: ZeroDivisionError" in lines and "module                     2 days" in lines
    page = report.write(experiment, results, tmp_path / "r").read_text()
    assert "ZeroDivisionError" in page and page.count("<img") >= 4


def test_a_known_regression_is_found(make_experiment, make_store):
    experiment = make_experiment((), [{"name": "module"}, WORSE], seeds={"least": 8, "most": 8})
    results = run.without_crashes(run.run(experiment, make_store(), 4))
    rows = {row.measure: row for row in compare.differences(results, ["in_time"])}
    assert rows["in_time"].conclusion == "worse" and rows["in_time"].high < 0


def test_stored_results_are_not_simulated_again(make_experiment, make_store, monkeypatch):
    experiment, store = make_experiment(), make_store()
    first = run.run(experiment, store, 2)
    monkeypatch.setattr(run, "simulate", lambda *_: pytest.fail("simulated again"))
    assert without_sketches(run.run(experiment, store, 1)) == without_sketches(first)


def test_an_experiment_that_was_killed_resumes(tmp_path):
    experiment = {
        "name": "killed",
        "seconds": 4,
        "fleet": {"edges": 4, "nodes": 4},
        "variants": [{"name": "module"}],
        "seeds": {"least": 24, "most": 24},
    }
    path = tmp_path / "e.json"
    path.write_text(json.dumps(experiment))
    command = [
        sys.executable,
        "-m",
        "rushmux",
        "lab",
        "run",
        str(path),
        "--data",
        str(tmp_path / "d"),
        "--jobs",
        "2",
        "--no-report",
    ]
    process = subprocess.Popen(
        command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True
    )
    database = tmp_path / "d" / "results.sqlite"

    def row_count():
        try:
            return sqlite3.connect(database).execute("select count(*) from results").fetchone()[0]
        except sqlite3.Error:
            return 0

    until = time.monotonic() + 60
    while row_count() < 3 and time.monotonic() < until:
        time.sleep(0.02)
    process.send_signal(signal.SIGKILL)
    process.wait()
    before = row_count()
    assert 3 <= before < 24
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
    assert done.returncode == 0 and "24 days" in done.stdout and row_count() == 24
    assert done.stderr.count("of module") == 24 - before


def test_a_revision_of_this_repository_is_simulated(make_experiment, make_store):
    if not (variants.ROOT / ".git").exists():
        pytest.skip("this tree has no history")
    experiment = make_experiment((), [{"name": "module"}, {"name": "head", "revision": "HEAD"}])
    results = run.run(experiment, make_store(), 2)
    assert all("crashed" not in day for day in results["head"].values())


def test_the_bundled_small_experiment_keeps_the_rules(tmp_path):
    result = CliRunner().invoke(main, ["lab", "run", "small", "--data", str(tmp_path), "--jobs", "4"])
    assert result.exit_code == 0 and "rules kept" in result.output and "in_time" in result.output
    assert (tmp_path / "small" / "report.html").read_text().count("<img") == 6


def test_a_text_or_revision_that_does_not_exist_is_rejected():
    with pytest.raises(variants.SourceError) as error:
        variants.load_source({"name": "x", "without": [["no such text", ""]]})
    assert "occurs 0 times" in str(error.value)
    with pytest.raises(variants.SourceError):
        variants.load_source({"name": "x", "revision": "no-such-revision"})
