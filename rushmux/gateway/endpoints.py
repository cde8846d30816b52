"""Parses discovery's endpoint list.  No I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from rushmux.gateway.errors import InvalidAddressError, InvalidEndpointError
from rushmux.scheduling.interface import EndpointState

MAX_PORT = 65_535
MS_PER_SECOND = 1000
STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}
"""Endpoint states by discovery's names for them."""
MALFORMED_JSON_ERRORS = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)
"""What reading values out of JSON of an unexpected form may raise."""


class SocketAddress(NamedTuple):
    """Host and port of a TCP server."""

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
    """A malformed row."""

    node: str | None
    """Its node's id, or None if that can't be read either."""
    reason: str


class EndpointRows(NamedTuple):
    """The rows of a list: the valid and the malformed ones."""

    endpoints: list[DiscoveredEndpoint]
    rejected: list[RejectedRow]


class EndpointListing(NamedTuple):
    """A response of discovery."""

    version: int
    is_snapshot: bool
    """Whether this is the complete list rather than the changes since a version."""
    endpoints: list[DiscoveredEndpoint]
    rejected: list[RejectedRow]


def parse_address(text: str) -> SocketAddress:
    """Parses `host:port`; raises InvalidAddressError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidAddressError(f"{text!r} is not of the form host:port", text)
    return SocketAddress(host, int(port))


def parse_endpoint(row: dict) -> DiscoveredEndpoint:
    """Parses one row; raises one of MALFORMED_JSON_ERRORS if it is malformed."""
    host, port = parse_address(row["addr"])
    state, node = row["state"], row["id"]
    if state not in STATES or not isinstance(node, str) or not node:
        raise InvalidEndpointError(f"row with invalid id {node!r} or state {state!r}", row)
    return DiscoveredEndpoint(
        node,
        host,
        port,
        str(row.get("zone", "")),
        int(row["cell"]),
        STATES[state],
        float(row.get("started_ms", 0)) / MS_PER_SECOND,
    )


def parse_endpoints(rows: Iterable) -> EndpointRows:
    """Separates valid rows from malformed ones."""
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
    """Parses a response's body.

    Raises:
        InvalidEndpointError: All rows are malformed; such a list must change nothing.
        LookupError, TypeError, ValueError, AttributeError, ArithmeticError: The body has another form.
    """
    endpoints, rejected = parse_endpoints(body["servers"])
    if rejected and not endpoints:
        raise InvalidEndpointError(rejected[0].reason, rejected[0].node)
    return EndpointListing(int(body["version"]), bool(body["full"]), endpoints, rejected)
