"""Random histories: each acknowledged write is stored or reported as lost, and lost ones stay lost.

For other seeds: `python -m pytest tests/buffer/test_write_histories.py --seeds 0:200`.
"""

import random

import pytest

from rushmux.buffer import overwritten_runs
from rushmux.buffer.buffered_files import BufferedFolder
from rushmux.buffer.losses import FileLosses
from rushmux.buffer.recovery import RecoveredFiles
from rushmux.buffer.write_ahead_log import WriteAheadLog
from rushmux.standins import write_history

DEFAULT_SEEDS = range(24)


def find_breaches(run_fleet, raw, seed):
    raw["buffer"] = dict(write_history.BUFFER)

    async def steps(fleet):
        return await write_history.Round(fleet, random.Random(seed)).run()

    return run_fleet(steps, seed=seed)[1]


def pytest_generate_tests(metafunc):
    if "drawn_seed" in metafunc.fixturenames:
        text = metafunc.config.getoption("--seeds")
        seeds = range(*map(int, text.split(":"))) if text else DEFAULT_SEEDS
        metafunc.parametrize("drawn_seed", seeds)


def test_acknowledged_writes_are_stored_or_reported_as_lost(run_fleet, raw, drawn_seed):
    breaches = find_breaches(run_fleet, raw, drawn_seed)
    again = f"python -m pytest tests/buffer/test_write_histories.py --seeds {drawn_seed}:{drawn_seed + 1}"
    assert breaches == [], again


def take_error_for_all_handles(losses, handle):
    """The behaviour until December 2026: the first that asked was told, and cleared the error for all."""
    error, losses.error = losses.error, None
    return error


def is_file_changed(file, rows, run):
    """The behaviour until December 2026: any change by another edge overwrote all writes of the file."""
    return rows.version != file.bases.of(min(run.sequences)) and rows.file.batch_stamp not in file.stamps


@pytest.mark.parametrize(
    "owner, replacements",
    [
        (WriteAheadLog, {"commit_discarded": lambda self, discards: True}),
        (RecoveredFiles, {"_on_discarded": lambda self, record: None}),
        (RecoveredFiles, {"_on_notified": lambda self, record: self.discards.clear()}),
        (overwritten_runs, {"is_overwritten": lambda file, rows, run: True}),
        (FileLosses, {"take_error": take_error_for_all_handles}),
        (overwritten_runs, {"is_overwritten": is_file_changed}),
        (BufferedFolder, {"take_restart_loss": lambda self: None}),
    ],
    ids=[
        "unrecorded",
        "ignored discards",
        "all taken for notified",
        "always overwritten",
        "told once a file",
        "judged by file",
        "barriers not told",
    ],
)
def test_a_buffer_with_a_defect_is_detected(run_fleet, raw, monkeypatch, owner, replacements):
    for method, replacement in replacements.items():
        monkeypatch.setattr(owner, method, replacement)

    def is_detected(seed):
        try:
            return bool(find_breaches(run_fleet, raw, seed))
        except AssertionError:
            return True

    assert any(is_detected(seed) for seed in DEFAULT_SEEDS)
