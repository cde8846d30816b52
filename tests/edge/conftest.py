"""Fixtures of the gateway's tests: a deployment, and fleets on the virtual clock."""

import copy
import json
from pathlib import Path

import pytest

from rushmux.settings import deployment
from rushmux.settings.deployment import build
from rushmux.standins import fleet
from rushmux.standins.checker import Checker

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


@pytest.fixture
def judged(raw, play):
    """Plays a story and holds its recordings against every rule; the fleet and the result."""

    def played(story, **settings):
        fleet, result = play(story, **settings)
        assert not Checker(fleet.all_records(), build(raw), 0.005).breaches()
        return fleet, result

    return played
