"""Watches clients whose sockets are not read, since their end would stay unseen."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

CHECK_INTERVAL = 0.05
"""Seconds between two checks: nothing may begin for a client from 0.1 s after its end on."""


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
            if not client.is_lingering and client.has_peer_closed():
                client.abandon_operations()
                client.transport.abort()
        if self.clients:
            self.loop.call_later(CHECK_INTERVAL, self._check)
