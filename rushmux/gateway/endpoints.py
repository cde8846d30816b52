"""Rows of discovery's list, as values.  No I/O."""

from typing import NamedTuple

from rushmux.scheduling.interface import EndpointState

MOST_PORT = 65_535
STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}


class DiscoveredEndpoint(NamedTuple):
    """A storage node as discovery tells it."""

    node: str
    host: str
    port: int
    zone: str
    cell: int
    state: EndpointState
    started_at: float  # Unix time in seconds; 0: long ago


def address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`; ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MOST_PORT:
        raise ValueError(f"{text!r} is no address and port")
    return host, int(port)


def member(row: dict) -> DiscoveredEndpoint:
    """One row; KeyError, TypeError or ValueError where it makes no sense."""
    host, port = address(row["addr"])
    state, node = row["state"], row["id"]
    if state not in STATES or not isinstance(node, str) or not node:
        raise ValueError(f"a row with id {node!r} in state {state!r}")
    return DiscoveredEndpoint(
        node,
        host,
        port,
        str(row.get("zone", "")),
        int(row["cell"]),
        STATES[state],
        float(row.get("started_ms", 0)) / 1000,
    )


def members(rows) -> tuple[list[DiscoveredEndpoint], list[tuple]]:
    """The rows that make sense, and of the others the id, None where even that can't be read, and why."""
    good, refused = [], []
    for row in rows:
        try:
            good.append(member(row))
        except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as fault:
            node = row.get("id") if isinstance(row, dict) else None
            refused.append((node if isinstance(node, str) else None, f"{type(fault).__name__}: {fault}"))
    return good, refused


def listing(body: dict) -> tuple[int, bool, list[DiscoveredEndpoint], list[tuple]]:
    """Version, whether it is whole, the rows of an answer and those that make no sense; ValueError where
    none makes sense: such a list changes nothing.
    """
    good, refused = members(body["servers"])
    if refused and not good:
        raise ValueError(refused[0][1])
    return int(body["version"]), bool(body["full"]), good, refused
