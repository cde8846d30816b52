"""Fixtures of the laboratory's tests: a small experiment, and days of it."""

import pytest

from rushmux.lab import spec
from rushmux.lab.scheduler_simulation import World


@pytest.fixture
def small():
    """Makes a checked experiment of a few seconds."""

    def made(troubles=(), variants=({"name": "module"},), **other):
        return spec.checked(
            {
                "name": "small",
                "seconds": 4,
                "fleet": {"edges": 4, "nodes": 4, "zones": 2},
                "volumes": {"basico": 3, "estandar": 2, "prioritario": 2},
                "workload": {"load": 0.7},
                "troubles": list(troubles),
                "variants": list(variants),
                "seeds": {"least": 2, "most": 2},
                **other,
            }
        )

    return made


@pytest.fixture
def played():
    """Plays one day of an experiment on the lean level."""

    def made(raw, seed=1, **settings):
        built, stood, arrivals, events = spec.day(raw, raw["variants"][0], seed)
        world = World(built, stood, seed, **settings)
        world.play(arrivals, events, raw["seconds"])
        return world

    return made
