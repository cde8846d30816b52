"""Detects closed connections among clients whose sockets are not being read.

The system reports a close unless it stands behind a full receive window: then the peer's last segment has not
arrived, and the connection looks established until the bytes before it are read.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from rushmux.gateway.tcp_info import CLOSE_WAIT, tcp_info_of

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

CHECK_INTERVAL = 0.01
"""Seconds between checks: no attempt may start more than 0.1 s after its client's close."""
READ_FURTHER_AFTER = 0.01
"""Seconds without a reply to a paused client after which its further commands are read and shed.

A reply to a client that has closed its connection brings a reset, also if it leaves earlier ones unread.
"""


class PausedClients:
    """Clients whose reading is paused; aborts those whose peer has closed the connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.clients: dict[ClientConnection, bool] = {}
        self._is_check_scheduled = False

    def add(self, client: ClientConnection) -> None:
        """Starts watching a client whose reading was paused."""
        self.clients[client] = True
        self._schedule_check()

    def discard(self, client: ClientConnection) -> None:
        """Stops watching a client that is read again or whose connection ended."""
        self.clients.pop(client, None)

    def _schedule_check(self) -> None:
        if self.clients and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.loop.call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self._is_check_scheduled = False
        now = self.loop.time()
        for client in list(self.clients):
            if client.is_lingering:
                continue
            if has_peer_closed(client.transport):
                client.abandon_operations()
                client.transport.abort()
            elif not client.is_open or self._is_shedding_due(client, now):
                client.read_further()
        self._schedule_check()

    @staticmethod
    def _is_shedding_due(client: ClientConnection, now: float) -> bool:
        return not client.is_writing_paused and now - client.last_active_at >= READ_FURTHER_AFTER


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Returns whether the system reports that the peer closed or reset the connection.

    Only the socket's error counts as a reset, not the TCP state: platforms that don't provide the state
    report that of an unconnected socket, and healthy clients would be aborted.
    """
    info = tcp_info_of(transport)
    if info is None:
        return False
    return info.state == CLOSE_WAIT or _has_error(transport)


def _has_error(transport: asyncio.Transport) -> bool:
    try:
        return transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    except (OSError, AttributeError):  # the socket is closed
        return False
