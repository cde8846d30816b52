"""Follows discovery: a snapshot of the endpoint list once, then a watch that is always renewed.

Whatever a request met, a change has to be here 6 s after discovery had it and could be reached.  The worst
that can follow one another: a response that trickles and began before the change (RESPONSE_TIMEOUT), a
connection that does not come up (CONNECT_TIMEOUT), a response that trickles again (RESPONSE_TIMEOUT), and
RECONNECT_DELAY before each of the last two: 5.6 s.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rushmux.gateway.discovery_connection import DiscoveryConnection
from rushmux.gateway.endpoints import DiscoveredEndpoint, EndpointListing, SocketAddress
from rushmux.scheduling.interface import EndpointState

CONNECT_TIMEOUT = 0.5
"""Seconds for a connection to come up: the agent is on this machine."""
RECONNECT_DELAY = 0.05
"""Seconds until the next attempt: within the 200 ms in which a watch has to go on."""
MAX_FORMER_CONNECTIONS = 4
"""Connections to former addresses whose responses may still come: SIGHUP may come often."""
ADDRESS_CHANGED = "left for another address"


class DiscoveryWatch:
    """The watch over the endpoint list.

    Attributes:
        version: Of the last list received; None: a snapshot is asked for.
        connection: To the current address, from its dial on.
        dial_task: Opens the connection.
        former_connections: To former addresses, the oldest first.
        endpoints: As last passed on: what a rejected row leaves in force.
        is_unavailable: Whether the last request failed.
        first_response: Done when discovery first answered.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: SocketAddress,
        log,
        on_update: Callable[[bool, list[DiscoveredEndpoint]], None],
        known_endpoints: Iterable[DiscoveredEndpoint] = (),
    ):
        """Makes a watch that is not started.

        Args:
            loop: The event loop.
            address: Where discovery is.
            log: Takes events.
            on_update: Called as `on_update(is_snapshot, endpoints)` with each response, in order.
            known_endpoints: In force before the first response.
        """
        self.loop = loop
        self.address = address
        self.log = log
        self.on_update = on_update
        self.version: int | None = None
        self.connection: DiscoveryConnection | None = None
        self.dial_task: asyncio.Task | None = None
        self.is_closed = False
        self.is_unavailable = False
        self.endpoints = {endpoint.node: endpoint for endpoint in known_endpoints}
        self.former_connections: dict[DiscoveryConnection, bool] = {}
        self.first_response: asyncio.Future = loop.create_future()

    def start(self) -> None:
        """Connects, unless it is connected or closed."""
        if self.dial_task is None and self.connection is None and not self.is_closed:
            self.dial_task = self.loop.create_task(self._dial())

    async def _dial(self) -> None:
        connection = self.connection = DiscoveryConnection(self, self.address)
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self.loop.create_connection(lambda: connection, host, port)
            self.dial_task = None
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: what can't be an address
            self.dial_task = None
            self.on_connection_closed(connection, str(error) or "no connection")

    def change_address(self, address: SocketAddress) -> None:
        """Connects to another address at once, with the same version, so that no change is missed.

        A response of the former address that is on its way counts as received.  So the former connection is
        kept until the new one has answered.
        """
        former, self.connection = self.connection, None
        self.address = address
        if self.dial_task is not None:
            self.dial_task.cancel()
            self.dial_task = None
        elif former is not None:
            self.former_connections[former] = True
            while len(self.former_connections) > MAX_FORMER_CONNECTIONS:
                next(iter(self.former_connections)).close(ADDRESS_CHANGED)
        self.start()

    def on_listing(self, connection: DiscoveryConnection, listing: EndpointListing) -> None:
        """A response came on a connection."""
        if not self._is_news(connection, listing.version):
            return
        endpoints = listing.endpoints + self._unchanged_for_rejected(listing)
        if self.is_unavailable:
            self.is_unavailable = False
            self.log.info("discovery.recovered", version=listing.version)
        self._remember(listing.is_snapshot, endpoints)
        if listing.is_snapshot or endpoints:
            self.on_update(listing.is_snapshot, endpoints)
        # A lower version: discovery began to count anew, and its changes would never be newer than ours.
        is_current = listing.is_snapshot or self.version is None or listing.version >= self.version
        self.version = listing.version if is_current else None
        if connection is self.connection:
            for former in list(self.former_connections):
                former.close(ADDRESS_CHANGED)
        if not self.first_response.done():
            self.first_response.set_result(None)

    def _is_news(self, connection: DiscoveryConnection, version: int) -> bool:
        if connection is self.connection:
            return True
        return connection in self.former_connections and (self.version is None or version > self.version)

    def _unchanged_for_rejected(self, listing: EndpointListing) -> list[DiscoveredEndpoint]:
        # One bad row must not keep the changes beside it from being taken for as long as it stands.
        if not listing.rejected:
            return []
        first = listing.rejected[0]
        self.log.warning(
            "endpoints.rows_rejected", count=len(listing.rejected), node=first.node, why=first.reason
        )
        if not listing.is_snapshot:
            return []
        return [self.endpoints[row.node] for row in listing.rejected if row.node in self.endpoints]

    def _remember(self, is_snapshot: bool, endpoints: list[DiscoveredEndpoint]) -> None:
        if is_snapshot:
            self.endpoints = {}
        self.endpoints.update((endpoint.node, endpoint) for endpoint in endpoints)
        for endpoint in endpoints:
            if endpoint.state == EndpointState.REMOVED:
                del self.endpoints[endpoint.node]

    def on_connection_closed(self, connection: DiscoveryConnection, reason: str, is_orderly=False) -> None:
        """A connection ended; `is_orderly`: behind a complete response."""
        self.former_connections.pop(connection, None)
        if connection is not self.connection or self.is_closed:
            return
        self.connection = None
        if not self.is_unavailable and not is_orderly:
            self.is_unavailable = True
            self.log.warning("discovery.unavailable", why=reason)
        self.loop.call_later(RECONNECT_DELAY, self.start)

    def close(self) -> None:
        """Ends the watch."""
        self.is_closed = True
        if self.dial_task is not None:
            self.dial_task.cancel()
        for connection in [*self.former_connections, *filter(None, (self.connection,))]:
            connection.close("closing")
