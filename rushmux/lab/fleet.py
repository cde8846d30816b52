"""The simulated fleet of an experiment: its size, its machines and their speeds."""

import random
from typing import NamedTuple

from rushmux.standins.service_model import Shape

DISCOVERY_LAG = 0.5  # seconds until a node's change of state reaches the gateways
REPLACEMENT_DELAY = 2.0  # seconds after drain grace and lag until a drained node's replacement starts


class Fleet(NamedTuple):
    """Size of a fleet, and its machines."""

    gateway_count: int
    node_count: int
    zone_count: int
    machine: Shape
    speed_sigma: float
    """Sigma of the lognormal spread of the machines' speeds around that of `machine`."""
    max_connections: int
    """The most gateways connected to one node; 0: no limit."""


def draw_node_speeds(fleet: Fleet, seed: int) -> dict[int, float]:
    """Returns the drawn speeds of the machines by cell."""
    generator = random.Random(f"{seed}/machines")
    return {
        cell: fleet.machine.speed * generator.lognormvariate(0, fleet.speed_sigma)
        for cell in range(fleet.node_count)
    }


def node_name(cell: int) -> str:
    """Returns the name of the node that holds a cell."""
    return f"n{cell}"


def zone_name(number: int, fleet: Fleet) -> str:
    """Returns the zone of a gateway or cell by its number; zones are assigned in rotation."""
    return f"z{number % fleet.zone_count}"
