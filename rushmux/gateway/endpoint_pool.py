"""The connections to one storage node and the attempts that wait for them."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from rushmux.gateway.endpoints import DiscoveredEndpoint
from rushmux.gateway.keep_alive import REUSE_COOLDOWN
from rushmux.gateway.node_connection import NodeAttempt, NodeConnection, NodeIncarnation
from rushmux.scheduling.interface import AttemptResult, EndpointState

if TYPE_CHECKING:
    from rushmux.gateway.connection_pool import ConnectionPool

MAX_WAITING = 64
"""Limit of attempts that wait for one node's connections: six times the scheduler's MAX_IN_FLIGHT."""


class EndpointPool:
    """The connections to one storage node.

    Attributes:
        incarnation: The node's address and start time as last listed, or None if it was removed.
        connections: All established connections.
        idle: Connections without an attempt, the longest idle first.
        waiting: Attempts that wait for a connection or a cooldown, the longest waiting first.
        dials: The tasks that open connections.
    """

    def __init__(self, pool: ConnectionPool, name: str):
        self.pool = pool
        self.name = name
        self.incarnation: NodeIncarnation | None = None
        self.connections: dict[NodeConnection, bool] = {}
        self.idle: deque[NodeConnection] = deque()
        self.waiting: deque[NodeAttempt] = deque()
        self.dials: dict[asyncio.Task, bool] = {}

    def start(self, attempt: NodeAttempt) -> None:
        """Sends an attempt on an idle connection, or queues it for a connection."""
        loop = self.pool.loop
        now = loop.time()
        connection = self._acquire_idle(now)
        cooling = self._find_cooling(now)
        if now >= attempt.latest_start:
            loop.call_soon(attempt.fail, AttemptResult.CONNECT_FAILED)
        elif connection is not None:
            self._send(connection, attempt, now)
        elif len(self.waiting) >= MAX_WAITING or (cooling is None and not self.pool.ensure_capacity()):
            loop.call_soon(attempt.fail, AttemptResult.REJECTED)
        elif cooling is not None:
            cooling.is_claimed = True
            self.waiting.append(attempt)
            loop.call_at(cooling.idle_since + REUSE_COOLDOWN, self._on_cooldown_over, cooling)
        else:
            self.waiting.append(attempt)
            self._open_connection()

    def _send(self, connection: NodeConnection, attempt: NodeAttempt, now: float) -> None:
        self.idle.remove(connection)
        connection.last_idle_time = now - connection.idle_since
        connection.send(attempt)

    def _acquire_idle(self, now: float) -> NodeConnection | None:
        # The usable connection with the shortest idle time past the cooldown and within the limits.
        for connection in reversed(list(self.idle)):
            idle_time = now - connection.idle_since
            if idle_time < REUSE_COOLDOWN or connection.is_claimed or connection.transport.is_closing():
                continue
            if idle_time >= min(self.pool.max_idle_time, self.pool.keep_alive.max_idle_time):
                return None
            if not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def _find_cooling(self, now: float) -> NodeConnection | None:
        # The connection whose cooldown ends first and that no attempt waits for.  Without it, each request
        # within a cooldown would open a connection, which costs the node work, from hundreds of gateways.
        # The attempt waits for at most one cooldown.
        if self.pool.keep_alive.max_idle_time <= REUSE_COOLDOWN:
            return None
        for connection in self.idle:
            is_cooling = now - connection.idle_since < REUSE_COOLDOWN
            if is_cooling and not connection.is_claimed and not connection.transport.is_closing():
                return connection
        return None

    def _on_cooldown_over(self, connection: NodeConnection) -> None:
        # Sends the waiting attempt on the connection, or on a new one if it has ended meanwhile.
        connection.is_claimed = False
        if connection in self.idle and (connection.transport.is_closing() or connection.has_unread_input()):
            connection.close()
        attempt = self._next_waiting()
        if attempt is None:  # it was dropped or sent on another connection
            return
        if connection in self.idle:
            self._send(connection, attempt, self.pool.loop.time())
        elif self.pool.ensure_capacity():
            self.waiting.appendleft(attempt)
            self._open_connection()
        else:
            attempt.fail(AttemptResult.REJECTED)

    def _next_waiting(self) -> NodeAttempt | None:
        # The longest waiting attempt that may still begin.  Sent after its latest start, a retry could take
        # effect twice, or its reply would come after the caller stopped waiting.
        now = self.pool.loop.time()
        while self.waiting:
            attempt = self.waiting.popleft()
            if now < attempt.latest_start:
                return attempt
            self.pool.loop.call_soon(attempt.fail, AttemptResult.CONNECT_FAILED)
        return None

    def _open_connection(self) -> None:
        task = self.pool.loop.create_task(self._dial(self.incarnation))
        self.dials[task] = True
        task.add_done_callback(self.dials.pop)

    async def _dial(self, incarnation: NodeIncarnation) -> None:
        try:
            async with asyncio.timeout(self.pool.connect_timeout):
                await self.pool.loop.create_connection(
                    lambda: NodeConnection(self, incarnation), incarnation.host, incarnation.port
                )
        except (OSError, TimeoutError, ValueError):  # ValueError: an invalid address
            self._on_connect_failed()

    def _on_connect_failed(self) -> None:
        # Each failed connection fails one attempt, since each waiting attempt opened one.
        if self.waiting:
            self.waiting.popleft().fail(AttemptResult.CONNECT_FAILED)

    def on_connected(self, connection: NodeConnection) -> None:
        """Sends the longest waiting attempt on a new connection."""
        if connection.incarnation != self.incarnation:  # the node moved, restarted or was removed meanwhile
            connection.close()
            self._on_connect_failed()
            return
        self.connections[connection] = True
        attempt = self._next_waiting()
        if attempt is not None:
            connection.send(attempt)
        else:
            self.release(connection)

    def release(self, connection: NodeConnection) -> None:
        """Makes a connection idle; it may be reused after the cooldown."""
        connection.idle_since = self.pool.loop.time()
        self.idle.append(connection)

    def forget(self, connection: NodeConnection) -> None:
        """Removes a connection that is closed."""
        self.connections.pop(connection, None)
        self.pool.partial_reply_bytes -= connection.partial_reply_bytes
        connection.partial_reply_bytes = 0
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Closes all idle connections, after one broke or the node moved or restarted."""
        for connection in list(self.idle):
            connection.close()

    def update(self, endpoint: DiscoveredEndpoint | None) -> None:
        """Applies the node's row of the endpoint list, or None if the node was removed."""
        is_removed = endpoint is None or endpoint.state == EndpointState.REMOVED
        incarnation = None
        if not is_removed:
            incarnation = NodeIncarnation(endpoint.host, endpoint.port, endpoint.started_at)
        if incarnation != self.incarnation:
            self.close_idle()
        self.incarnation = incarnation
        if is_removed or endpoint.state != EndpointState.READY:
            # Attempts that wait for a connection could be sent after a draining node's grace period.
            while self.waiting:
                attempt = self.waiting.popleft()
                self.pool.loop.call_soon(attempt.fail, AttemptResult.CONNECT_FAILED)

    def sweep(self, now: float) -> None:
        """Closes connections that have been idle for too long."""
        max_idle_time = min(self.pool.max_idle_time, self.pool.keep_alive.max_idle_time)
        while self.idle and now - self.idle[0].idle_since > max_idle_time:
            self.idle[0].close()

    def is_unused(self) -> bool:
        """Returns whether the node was removed and nothing of it is left."""
        return self.incarnation is None and not (self.connections or self.dials or self.waiting)
