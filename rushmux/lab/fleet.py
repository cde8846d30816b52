"""The fleet that an experiment emulates: its size, its machines and their drawn speeds."""

import random
from typing import NamedTuple

from rushmux.standins.service_model import Shape

DISCOVERY_LAG = 0.5  # seconds until a change of a node reaches the gateways
REPLACEMENT_DELAY = 2.0  # seconds after grace and lag until a drained node's replacement starts


class Fleet(NamedTuple):
    """Size of a fleet and what its machines are like."""

    gateway_count: int
    node_count: int
    zone_count: int
    machine: Shape
    speed_sigma: float
    """Of the lognormal spread of the machines' speeds around the one of `machine`."""
    max_connections: int
    """Gateways that a node is connected to at most; 0: no bound."""


def draw_node_speeds(fleet: Fleet, seed: int) -> dict[int, float]:
    """The machines' speeds on a day, by cell."""
    generator = random.Random(f"{seed}/machines")
    return {
        cell: fleet.machine.speed * generator.lognormvariate(0, fleet.speed_sigma)
        for cell in range(fleet.node_count)
    }


def node_name(cell: int) -> str:
    """The name of the node that holds a cell."""
    return f"n{cell}"


def zone_name(number: int, fleet: Fleet) -> str:
    """The zone of the gateway or cell with a number: zones take turns."""
    return f"z{number % fleet.zone_count}"
