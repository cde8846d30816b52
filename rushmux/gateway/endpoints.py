"""Rows of discovery's endpoint list, as values.  No I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from rushmux.gateway.errors import InvalidAddressError, InvalidEndpointError
from rushmux.scheduling.interface import EndpointState

MAX_PORT = 65_535
MILLISECONDS = 1000
"""In a second."""
STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}
"""States as discovery writes them."""
MALFORMED_JSON_ERRORS = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)
"""What reading a value out of JSON may raise where that has another form than expected."""


class SocketAddress(NamedTuple):
    """Where a TCP server listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class DiscoveredEndpoint(NamedTuple):
    """A storage node as discovery lists it."""

    node: str
    host: str
    port: int
    zone: str
    cell: int
    state: EndpointState
    started_at: float
    """Unix time in seconds; 0: long ago."""


class RejectedRow(NamedTuple):
    """A row that makes no sense."""

    node: str | None
    """Its id; None: even that can't be read."""
    reason: str


class EndpointRows(NamedTuple):
    """The rows of a list, those that make sense and the others."""

    endpoints: list[DiscoveredEndpoint]
    rejected: list[RejectedRow]


class EndpointListing(NamedTuple):
    """A response of discovery."""

    version: int
    is_snapshot: bool
    """Whether it is the complete list; else the changes since a version."""
    endpoints: list[DiscoveredEndpoint]
    rejected: list[RejectedRow]


def parse_address(text: str) -> SocketAddress:
    """Returns host and port of `host:port`; InvalidAddressError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidAddressError(f"{text!r} is no address and port", text)
    return SocketAddress(host, int(port))


def parse_endpoint(row: dict) -> DiscoveredEndpoint:
    """Returns one row; one of MALFORMED_JSON_ERRORS where it makes no sense."""
    host, port = parse_address(row["addr"])
    state, node = row["state"], row["id"]
    if state not in STATES or not isinstance(node, str) or not node:
        raise InvalidEndpointError(f"a row with id {node!r} in state {state!r}", row)
    return DiscoveredEndpoint(
        node,
        host,
        port,
        str(row.get("zone", "")),
        int(row["cell"]),
        STATES[state],
        float(row.get("started_ms", 0)) / MILLISECONDS,
    )


def parse_endpoints(rows: Iterable) -> EndpointRows:
    """Returns the rows that make sense, and why the others don't."""
    endpoints, rejected = [], []
    for row in rows:
        try:
            endpoints.append(parse_endpoint(row))
        except MALFORMED_JSON_ERRORS as error:
            node = row.get("id") if isinstance(row, dict) else None
            reason = f"{type(error).__name__}: {error}"
            rejected.append(RejectedRow(node if isinstance(node, str) else None, reason))
    return EndpointRows(endpoints, rejected)


def parse_listing(body: dict) -> EndpointListing:
    """Returns a response's content.

    Raises:
        InvalidEndpointError: Every row makes no sense; such a list changes nothing.
        LookupError, TypeError, ValueError, AttributeError, ArithmeticError: It has another form.
    """
    endpoints, rejected = parse_endpoints(body["servers"])
    if rejected and not endpoints:
        raise InvalidEndpointError(rejected[0].reason, rejected[0].node)
    return EndpointListing(int(body["version"]), bool(body["full"]), endpoints, rejected)
