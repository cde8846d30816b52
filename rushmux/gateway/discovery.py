"""Follows discovery: one snapshot of the endpoint list, then a watch renewed after each response.

Whichever requests fail, a change must arrive within 6 s after discovery has it and is reachable.  With an
agent on this machine the worst case is 5.6 s: a slow response that began before the change, a failed connect
(CONNECT_TIMEOUT), another slow response, and a pause before each of the last two.  With a service that all
gateways share it is 5.75 s: a silent call that began before the change, a failed connect, a pause before each
of the next two calls, and a response that comes half a second after its call.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from rushmux.gateway.discovery_connection import DiscoveryConnection
from rushmux.gateway.discovery_timing import LOCAL_AGENT, RECONNECT_DELAY, DiscoveryTiming
from rushmux.gateway.endpoints import DiscoveredEndpoint, EndpointListing, SocketAddress
from rushmux.scheduling.interface import EndpointState

CONNECT_TIMEOUT = 0.5
"""Seconds allowed for connecting: the discovery agent runs on this machine."""
MAX_FORMER_CONNECTIONS = 4
"""Connections to former addresses kept for their responses: SIGHUP may come often."""
ADDRESS_CHANGED = "address changed"


class DiscoveryWatch:
    """Watches discovery's endpoint list and passes on each update.

    Attributes:
        version: Of the last list received; None requests a snapshot.
        connection: To the current address, up or being opened.
        dial_task: Opens the connection.
        former_connections: To former addresses, the oldest first.
        endpoints: As last passed on; they stay in force where a row is rejected.
        failures: Requests that failed in a row.
        first_response: Done once discovery has responded.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: SocketAddress,
        log,
        on_update: Callable[[bool, list[DiscoveredEndpoint]], None],
        known_endpoints: Iterable[DiscoveredEndpoint] = (),
        *,
        timing: DiscoveryTiming = LOCAL_AGENT,
        seed: int = 0,
    ):
        """Creates a watch that is not started.

        Args:
            loop: The event loop.
            address: The address of discovery.
            log: The logger.
            on_update: Called as `on_update(is_snapshot, endpoints)` with each response, in order.
            known_endpoints: In force before the first response.
            timing: How long to wait for discovery, and when to ask again.
            seed: Seeds the jitter of retries.
        """
        self.loop = loop
        self.address = address
        self.log = log
        self.on_update = on_update
        self.version: int | None = None
        self.connection: DiscoveryConnection | None = None
        self.dial_task: asyncio.Task | None = None
        self.is_closed = False
        self.timing = timing
        self.rng = random.Random(seed)
        self.failures = 0
        self.endpoints = {endpoint.node: endpoint for endpoint in known_endpoints}
        self.former_connections: dict[DiscoveryConnection, bool] = {}
        self.first_response: asyncio.Future = loop.create_future()

    def start(self) -> None:
        """Connects, unless connected, connecting or closed."""
        if self.dial_task is None and self.connection is None and not self.is_closed:
            self.dial_task = self.loop.create_task(self._dial())

    async def _dial(self) -> None:
        connection = self.connection = DiscoveryConnection(self, self.address)
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self.loop.create_connection(lambda: connection, host, port)
            self.dial_task = None
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: an invalid address
            self.dial_task = None
            self.on_connection_closed(connection, str(error) or "connect failed")

    def change_address(self, address: SocketAddress) -> None:
        """Connects to another address at once, with the same version, so that no change is missed.

        A response in flight from the former address still counts: its connection stays until the new one has
        answered.
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
        """Handles a response received on a connection."""
        if not self._is_news(connection, listing.version):
            return
        endpoints = listing.endpoints + self._unchanged_for_rejected(listing)
        if self.failures:
            self.failures = 0
            self.log.info("discovery.recovered", version=listing.version)
        self._remember(listing.is_snapshot, endpoints)
        if listing.is_snapshot or endpoints:
            self.on_update(listing.is_snapshot, endpoints)
        # A lower version: discovery restarted its count and would have no changes newer than our version.
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
        # A malformed row must not block the valid ones beside it: its endpoint stays as known.
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
        """Reconnects after a connection ended; `is_orderly`: after a complete response."""
        self.former_connections.pop(connection, None)
        if connection is not self.connection or self.is_closed:
            return
        self.connection = None
        if is_orderly:
            self.loop.call_later(RECONNECT_DELAY, self.start)
            return
        self.failures += 1
        if self.failures == 1:
            self.log.warning("discovery.unavailable", why=reason)
        self.loop.call_later(self.timing.retry_pause(self.failures, self.rng), self.start)

    def close(self) -> None:
        """Ends the watch."""
        self.is_closed = True
        if self.dial_task is not None:
            self.dial_task.cancel()
        for connection in [*self.former_connections, *filter(None, (self.connection,))]:
            connection.close("closing")
