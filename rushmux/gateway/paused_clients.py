"""Watches clients whose sockets are not read, since their end would stay unseen."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

CHECK_INTERVAL = 0.05
"""Seconds between two checks: nothing may begin for a client from 0.1 s after its end on."""
TCP_CLOSE_WAIT = 8
"""State of a connection whose client has ended its sending (first byte of TCP_INFO)."""


class PausedClients:
    """The clients whose sockets are not read; those that have gone are aborted."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.clients: dict[ClientConnection, bool] = {}

    def add(self, client: ClientConnection) -> None:
        """A client is not read any more."""
        if not self.clients:
            self.loop.call_later(CHECK_INTERVAL, self._check)
        self.clients[client] = True

    def discard(self, client: ClientConnection) -> None:
        """A client is read again, or its connection ended."""
        self.clients.pop(client, None)

    def _check(self) -> None:
        for client in list(self.clients):
            if not client.is_lingering and has_peer_closed(client.transport):
                client.abandon_operations()
                client.transport.abort()
        if self.clients:
            self.loop.call_later(CHECK_INTERVAL, self._check)


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Returns whether the system knows that the peer closed or reset a connection that is not read.

    A platform that does not tell shows the state of a socket that was never connected.  Counted as a reset,
    that would cut off good clients; so a reset is known by the socket's error alone.
    """
    try:
        sock = transport.get_extra_info("socket")
        return (
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT
            or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        )
    except (
        OSError,
        AttributeError,
        IndexError,
        TypeError,
    ):  # a platform without TCP_INFO, or a closed socket
        return False
