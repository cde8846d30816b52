"""Saved days: the scheduler serves at least as much on them as when they were saved."""

from pathlib import Path

import pytest

from rushmux.lab import saved_day

CASES = sorted((Path(saved_day.__file__).parent / "cases").glob("*.json"))


@pytest.mark.parametrize("path", CASES, ids=lambda path: path.stem)
def test_a_saved_day_is_served_as_before(path):
    passes, text = saved_day.replay(path)
    assert passes, text


def test_there_are_saved_days():
    assert CASES
