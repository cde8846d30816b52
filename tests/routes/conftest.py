"""Fixtures of the routes' tests: an example deployment and the verifier's findings on changes of it."""

import copy
import json
from pathlib import Path

import pytest

from rushmux.settings import deployment

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())


@pytest.fixture
def raw():
    """A copy of the example without its routes, to be changed by the test."""
    changeable = copy.deepcopy(EXAMPLE)
    changeable["routes"] = []
    return changeable


@pytest.fixture
def findings_on(raw):
    """Returns the findings on `raw` with these routes."""

    def build(routes=()):
        raw["routes"] = list(routes)
        try:
            deployment.build(raw)
        except deployment.DeploymentError as error:
            assert len(error.findings) == len(error.faults), error.faults
            return list(error.findings)
        return []

    return build
