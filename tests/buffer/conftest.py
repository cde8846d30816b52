"""Fixtures of the buffer's tests: the example's deployment with its buffer on, and its fleets."""

import copy
import json
from pathlib import Path

import pytest

from rushmux.settings import deployment
from rushmux.standins import fleet

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())


@pytest.fixture
def raw():
    """The example's text with the buffer on, to be changed at will."""
    return {**copy.deepcopy(EXAMPLE), "buffer": {}}


@pytest.fixture
def play(raw):
    """Plays a story on a fleet of the deployment; the fleet and the story's result."""

    def played(story, seed=3, **settings):
        return fleet.play(deployment.build(raw), seed, story, **{"nodes": 4, "unit": 0.004, **settings})

    return played
