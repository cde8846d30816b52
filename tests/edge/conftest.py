"""Fixtures of the edge's tests: a deployment, and fleets on the virtual clock."""

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
    """The example deployment as JSON data, which tests may change."""
    return copy.deepcopy(EXAMPLE)


@pytest.fixture
def run_fleet(raw):
    """Runs `steps(fleet)` on a virtual fleet of the deployment; returns the fleet and the steps' result."""

    def run(steps, seed=3, **settings):
        return fleet.run_fleet(build(raw), seed, steps, **settings)

    return run


@pytest.fixture
def run_checked_fleet(raw, run_fleet):
    """Like `run_fleet`, and checks the fleet's records against every rule."""

    def run(steps, **settings):
        fleet, result = run_fleet(steps, **settings)
        assert not Checker(fleet.all_records(), build(raw), 0.005).breaches()
        return fleet, result

    return run
