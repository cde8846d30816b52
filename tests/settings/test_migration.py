"""The migration of a deployment file: what is carried over and what is reported, and dry runs."""

import copy
import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.settings import deployment
from rushmux.settings.deployment import build
from rushmux.settings.migration import TargetShape, migrate

FILE = Path(deployment.__file__).with_name("example.json")
EXAMPLE = json.loads(FILE.read_text())


def run_move(*words):
    return CliRunner().invoke(main, ["move", *map(str, words)])


def test_an_old_file_does_not_use_load_reports():
    assert build(EXAMPLE).settings.reports_load is False


def test_the_new_file_has_the_new_settings_and_is_valid(tmp_path):
    to = tmp_path / "new.json"
    result = run_move(
        FILE, "--to", to, "--meter-ms", 1000, "--in-order", "archivo-nuevo", "--order-rest-ms", 300
    )
    assert result.exit_code == 0, result.output
    settings = build(json.loads(to.read_text())).settings
    assert settings.reports_load and settings.usage_period == 10_000 and settings.key_cooldown == 3_000
    assert (
        settings.request_classes["archivo-nuevo"].ordered and not settings.request_classes["lectura"].ordered
    )


def test_a_dry_run_writes_nothing(tmp_path):
    to = tmp_path / "new.json"
    result = run_move(FILE, "--to", to, "--dry-run", "--no-reserves")
    assert result.exit_code == 0 and "/plans/prioritario/reserve: 40" in result.output
    assert list(tmp_path.iterdir()) == []


def test_what_cannot_be_carried_over_is_listed():
    raw = copy.deepcopy(EXAMPLE)
    raw["folders"]["caribe"]["edges"] = [2]
    raw["folders"]["delta"]["edges"] = [1, 2]
    new, left = migrate(raw, TargetShape(reserves=False, hedging=False, gateways=2, in_order=("volcados",)))
    assert [place for place, _ in left] == [
        "/lanes/volcados",
        "/plans/basico/reserve",
        "/plans/estandar/reserve",
        "/plans/prioritario/reserve",
        "/routes/0/second_copy",
        "/folders/caribe/edges",
        "/folders/delta/edges",
        "/fleet/cold_units",
    ]
    assert "edges" not in new["folders"]["caribe"] and new["folders"]["delta"]["edges"] == [1]
    assert new["routes"] == [
        {"lane": "limpieza", "executions": 2, "wait_ms": 500},
        {"plan": "basico", "held": 2000},
    ]
    assert not build(new).settings.allows_hedging
    assert raw["plans"]["basico"]["reserve"] == 10  # the old file is unchanged


@pytest.mark.parametrize(
    "words, message",
    [
        (("--gateways", 40), "burst"),  # the new file would be invalid
        (("--meter-ms", -1), "meter_span_ms"),
    ],
)
def test_an_invalid_new_file_is_not_written(tmp_path, words, message):
    to = tmp_path / "new.json"
    result = run_move(FILE, "--to", to, *words)
    assert result.exit_code == 1 and message in result.output and not to.exists()


def file_state(path):
    """Returns the attributes that change when a file is written or replaced, but not when it is read."""
    state = path.stat()
    return state.st_ino, state.st_mode, state.st_size, state.st_mtime_ns, state.st_ctime_ns


def test_a_second_run_changes_nothing(tmp_path):
    one, two = tmp_path / "one.json", tmp_path / "two.json"
    assert run_move(FILE, "--to", one).exit_code == 0
    before = file_state(one)
    again = run_move(FILE, "--to", one)
    assert again.exit_code == 0 and "already" in again.output and file_state(one) == before
    assert run_move(one, "--to", two).exit_code == 0 and two.read_bytes() == one.read_bytes()


@pytest.mark.parametrize(
    "text, message",
    [(None, "cannot be read"), ("{", "line 1"), ('{"version": 9}', "version"), ("[]", "a JSON object")],
)
def test_an_unreadable_or_malformed_old_file_is_rejected(tmp_path, text, message):
    old, to = tmp_path / "old.json", tmp_path / "new.json"
    if text is not None:
        old.write_text(text)
    result = run_move(old, "--to", to)
    assert (
        result.exit_code == 1 and message in result.output and str(old) in result.output and not to.exists()
    )


def test_an_existing_file_is_kept_without_force(tmp_path):
    to = tmp_path / "new.json"
    to.write_text("mine")
    assert run_move(FILE, "--to", to).exit_code == 1 and to.read_text() == "mine"
    assert run_move(FILE, "--to", to, "--force").exit_code == 0 and json.loads(to.read_text())


def test_a_write_that_fails_leaves_the_old_file_and_nothing_half_written(tmp_path, monkeypatch):
    to = tmp_path / "new.json"
    to.write_text("mine")

    def full(_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    result = run_move(FILE, "--to", to, "--force")
    assert result.exit_code == 1 and "No space left" in result.output
    assert to.read_text() == "mine" and list(tmp_path.iterdir()) == [to]
