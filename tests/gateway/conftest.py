"""Fixtures of the gateway's tests: a deployment, and fleets on the virtual clock."""
import copy
import json
from pathlib import Path

import pytest

from rushmux.settings import deployment
from rushmux.settings.deployment import build
from rushmux.standins import fleet

EXAMPLE = json.loads((Path(deployment.__file__).with_name("example.json")).read_text())


@pytest.fixture
def raw():
    """The example's text, to be changed at will."""
    return copy.deepcopy(EXAMPLE)


@pytest.fixture
def play(raw):
    """Plays a story on a fleet of the example's deployment; the fleet and the story's result."""
    def played(story, seed=3, **settings):
        return fleet.play(build(raw), seed, story, **settings)
    return played
