"""The JSON of an experiment: its schema, and the types of its parts once checked.

The keys are those of `experiment.schema.json`, which states bounds and defaults.
"""

import json
from pathlib import Path
from typing import Any, NotRequired, TypedDict

SCHEMA = json.loads(Path(__file__).with_name("experiment.schema.json").read_text())


class FleetSpec(TypedDict):
    """Size of the emulated fleet."""

    edges: int
    """Gateways."""
    nodes: int
    zones: int
    unlike: float
    """Sigma of the lognormal spread of the machines' speeds."""
    connections: int
    """Gateways that a node is connected to at most; 0: no bound."""


class SeedSpec(TypedDict):
    """Which seeds are run, and when it is enough."""

    first: int
    least: int
    """Seeds that are run in any case."""
    most: int
    narrow: float
    """Half width of the intervals at which no more seeds are run."""


class Variant(TypedDict):
    """One of the schedulers or deployments that an experiment compares."""

    name: str
    decisions: NotRequired[str]
    """"module" for the scheduler, else the name of a baseline."""
    revision: NotRequired[str]
    """Of this repository, whose scheduler is run."""
    without: NotRequired[list[list[str]]]
    """Texts of the scheduler, each with what stands in its place."""
    set: NotRequired[dict[str, Any]]
    """Values of the deployment by their JSON path."""


class Experiment(TypedDict):
    """A checked experiment with its defaults."""

    name: str
    question: str
    seconds: float
    """Length of a day."""
    fleet: FleetSpec
    machine: dict[str, Any]
    """Fields of `standins.service_model.Shape`."""
    volumes: dict[str, int]
    """Volumes of each plan."""
    reserved: float
    """Part of the fleet's capacity that all reserves make together."""
    workload: dict[str, float]
    """See `workload.DEFAULTS`."""
    troubles: list[str]
    """Faults in the notation of `faults`."""
    trace: NotRequired[str]
    """The file of a trace in place of drawn arrivals."""
    factors: dict[str, list]
    """Values by their JSON path; every combination is an experiment of its own."""
    set: dict[str, Any]
    """Values of the deployment for all variants, by their JSON path."""
    variants: list[Variant]
    seeds: SeedSpec
