"""The JSON schema of experiments, and the types of checked ones.

`experiment.schema.json` states the bounds and defaults of the keys.
"""

import json
from pathlib import Path
from typing import Any, NotRequired, TypedDict

SCHEMA = json.loads(Path(__file__).with_name("experiment.schema.json").read_text())


class FleetSpec(TypedDict):
    """Size of the simulated fleet."""

    edges: int
    """Gateways."""
    nodes: int
    zones: int
    unlike: float
    """Sigma of the lognormal spread of the machines' speeds."""
    connections: int
    """The most gateways connected to one node; 0: no limit."""


class SeedSpec(TypedDict):
    """Which seeds are run, and when to stop."""

    first: int
    least: int
    """Seeds that are always run."""
    most: int
    narrow: float
    """Half width of the confidence intervals at which no more seeds are run."""


class Variant(TypedDict):
    """A scheduler or deployment that an experiment compares."""

    name: str
    decisions: NotRequired[str]
    """"module" for the scheduler, or the name of a baseline."""
    revision: NotRequired[str]
    """Revision of this repository whose scheduler is run."""
    without: NotRequired[list[list[str]]]
    """Pairs of a text in the scheduler's source and its replacement."""
    set: NotRequired[dict[str, Any]]
    """Values of the deployment by JSON path."""


class Experiment(TypedDict):
    """A checked experiment, completed with the defaults."""

    name: str
    question: str
    seconds: float
    """Length of a day."""
    fleet: FleetSpec
    machine: dict[str, Any]
    """Fields of `standins.service_model.Shape`."""
    volumes: dict[str, int]
    """How many volumes each plan has."""
    reserved: float
    """Sum of all reserves as a fraction of the fleet's capacity."""
    workload: dict[str, float]
    """See `workload.DEFAULTS`."""
    troubles: list[str]
    """Fault lines in the notation of `faults`."""
    trace: NotRequired[str]
    """The file of a trace that replaces drawn arrivals."""
    factors: dict[str, list]
    """Lists of values by JSON path; every combination is an experiment of its own."""
    set: dict[str, Any]
    """Values of the deployment for all variants, by JSON path."""
    variants: list[Variant]
    seeds: SeedSpec
