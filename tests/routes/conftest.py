"""Fixtures of the routes' tests: the example's text, and what the proof says of a changed one."""

import copy
import json
from pathlib import Path

import pytest

from rushmux.settings import deployment

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())


@pytest.fixture
def raw():
    """The example's text without its routes, to be changed at will."""
    text = copy.deepcopy(EXAMPLE)
    text["routes"] = []
    return text


@pytest.fixture
def refused(raw):
    """The findings on a deployment with these routes."""

    def found(routes=()):
        raw["routes"] = list(routes)
        try:
            deployment.build(raw)
        except deployment.DeploymentError as fault:
            assert len(fault.findings) == len(fault.faults), fault.faults
            return list(fault.findings)
        return []

    return found
