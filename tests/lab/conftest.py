"""Fixtures of the lab's tests: a small experiment, and simulations of its days."""

import pytest

from rushmux.lab.day import draw_day
from rushmux.lab.experiment import check
from rushmux.lab.result_store import ResultStore
from rushmux.lab.scheduler_simulation import SchedulerSimulation


@pytest.fixture
def make_experiment():
    """Returns a factory of checked experiments of a few seconds."""

    def make(fault_lines=(), variants=({"name": "module"},), **other):
        return check(
            {
                "name": "small",
                "seconds": 4,
                "fleet": {"edges": 4, "nodes": 4, "zones": 2},
                "volumes": {"basico": 3, "estandar": 2, "prioritario": 2},
                "workload": {"load": 0.7},
                "troubles": list(fault_lines),
                "variants": list(variants),
                "seeds": {"least": 2, "most": 2},
                **other,
            }
        )

    return make


@pytest.fixture
def run_simulation():
    """Returns a function that runs a scheduler simulation of one day of an experiment."""

    def run(experiment, seed=1, **settings):
        day = draw_day(experiment, experiment["variants"][0], seed)
        simulation = SchedulerSimulation(day.deployment, day.fleet, seed, **settings)
        simulation.run(day.arrivals, day.events, experiment["seconds"])
        return simulation

    return run


@pytest.fixture
def make_store(tmp_path):
    """Returns a function that opens a result store by name."""
    return lambda name="results": ResultStore(tmp_path / name)
