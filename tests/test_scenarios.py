from pathlib import Path

import pytest

SCENARIOS = sorted(Path(__file__).parent.glob("scenarios/*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, scenario):
    scenario.play(path.read_text())
