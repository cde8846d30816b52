"""The pool of all connections to storage nodes, with a common limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from rushmux.gateway.endpoint_pool import EndpointPool
from rushmux.gateway.endpoints import DiscoveredEndpoint
from rushmux.gateway.keep_alive import KeepAliveEstimator
from rushmux.gateway.node_connection import NodeAttempt
from rushmux.scheduling.driver import AttemptReply
from rushmux.scheduling.interface import AttemptResult, EndpointState

IDLE_TIMEOUT_FRACTION = 0.9
"""Of a node's idle timeout: the rest covers network delay."""
SWEEP_INTERVAL = 1.0
"""Seconds between sweeps for connections that were idle for too long."""
NEVER = float("inf")
"""A loop time that is never reached."""


class ConnectionPool:
    """All connections to nodes.

    Attributes:
        partial_reply_bytes: Bytes received of all incomplete replies.
        unsolicited_replies: Replies received without a request in flight.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        max_connections: int,
        max_partial_reply_bytes: int,
        connect_timeout: float,
        idle_timeout: float,
    ):
        """Creates an empty pool.

        Args:
            loop: The event loop.
            max_connections: How many may be open or being opened at a time.
            max_partial_reply_bytes: Bytes of all incomplete replies together.
            connect_timeout: Seconds allowed for opening a connection.
            idle_timeout: Seconds after which a node closes an idle connection.
        """
        self.loop = loop
        self.max_connections = max_connections
        self.max_partial_reply_bytes = max_partial_reply_bytes
        self.connect_timeout = connect_timeout
        self.max_idle_time = idle_timeout * IDLE_TIMEOUT_FRACTION
        self.endpoints: dict[str, EndpointPool] = {}
        self.unsolicited_replies = 0
        self.partial_reply_bytes = 0
        self.keep_alive = KeepAliveEstimator()
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL, self.sweep)

    def connection_count(self) -> int:
        """Returns how many connections are open or being opened."""
        return sum(len(endpoint.connections) + len(endpoint.dials) for endpoint in self.endpoints.values())

    def ensure_capacity(self) -> bool:
        """Returns whether one more connection may be opened; at the limit, closes the longest idle one."""
        if self.connection_count() < self.max_connections:
            return True
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since).close()
        return True

    def update_endpoints(self, is_snapshot: bool, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        """Applies a list update; a snapshot also removes the nodes that are not in it."""
        listed = {endpoint.node: endpoint for endpoint in endpoints}
        if is_snapshot:
            for name in [name for name in self.endpoints if name not in listed]:
                self.endpoints[name].update(None)
        for name, endpoint in listed.items():
            if name in self.endpoints or endpoint.state != EndpointState.REMOVED:
                self.endpoints.setdefault(name, EndpointPool(self, name)).update(endpoint)

    def start_attempt(
        self,
        node: str,
        build_command: Callable[[int], list[bytes]],
        *,
        deadline: float,
        on_reply: Callable[[AttemptReply], None],
        latest_start: float = NEVER,
    ) -> NodeAttempt | None:
        """Sends a command to a node.

        Args:
            node: The node's id.
            build_command: Returns the command's arguments, given the milliseconds left until `deadline`.
            deadline: Loop time until which the caller waits for the reply.
            on_reply: Called once, after this call, unless the attempt is dropped.
            latest_start: Loop time before which the command must be written.

        Returns:
            The attempt; None if the node is unknown, though `on_reply` is called.
        """
        endpoint = self.endpoints.get(node)
        if endpoint is None or endpoint.incarnation is None:
            self.loop.call_soon(on_reply, AttemptReply(AttemptResult.CONNECT_FAILED))
            return None
        attempt = NodeAttempt(
            endpoint,
            build_command,
            deadline=deadline,
            latest_start=min(deadline, latest_start),
            on_reply=on_reply,
        )
        endpoint.start(attempt)
        return attempt

    def sweep(self) -> None:
        """Closes connections that were idle for too long, and forgets removed nodes."""
        now = self.loop.time()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.sweep)
        self.keep_alive.sweep()
        for name, endpoint in list(self.endpoints.items()):
            endpoint.sweep(now)
            if endpoint.is_unused():
                del self.endpoints[name]

    def close(self) -> None:
        """Closes all connections and cancels those being opened."""
        self.sweep_timer.cancel()
        for endpoint in self.endpoints.values():
            for connection in list(endpoint.connections):
                connection.close()
            for task in list(endpoint.dials):
                task.cancel()
