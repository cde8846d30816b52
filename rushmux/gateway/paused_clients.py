"""Detects closed connections among clients that send more than is read of them.

The system reports a close unless it stands behind a full receive window: then the peer's last segment has not
arrived, and the connection looks established until the bytes before it are read. So they are read; where that
takes too long, the client's operations are answered, since a reply to a client that has gone brings a reset.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from rushmux.gateway.tcp_info import CLOSE_WAIT, tcp_info_of
from rushmux.gateway.unread_input import has_unread_input

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

CHECK_INTERVAL = 0.01
"""Seconds between checks: no attempt may start more than 0.1 s after its client's close."""
READ_FURTHER_AFTER = 0.01
"""Seconds without a reply to a paused client after which its further commands are read and shed.

A reply to a client that has closed its connection brings a reset, also if it leaves earlier ones unread.
"""
MAX_UNREAD_CHECKS = 5
"""Successive checks at which a client has unread input and got no reply before its operations are withdrawn.

With their interval, this leaves no attempt that starts more than 0.1 s after the client's close. Checks are
counted, not time, so that a pause of this process withdraws nothing.
"""


class PausedClients:
    """Clients whose reading is paused or whose commands are shed; aborts those that have closed.

    Attributes:
        clients: Number of the last successive checks at which a client had unread input and got no reply.
        checked_at: Event loop time of the last check.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.clients: dict[ClientConnection, int] = {}
        self.checked_at = 0.0
        self._is_check_scheduled = False

    def add(self, client: ClientConnection) -> None:
        """Starts watching a client whose reading was paused or whose commands are shed."""
        self.clients.setdefault(client, 0)
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
            if not client.is_lingering and not client.transport.is_closing():
                self._check_client(client, now)
        self.checked_at = now
        self._schedule_check()

    def _check_client(self, client: ClientConnection, now: float) -> None:
        if has_peer_closed(client.transport):
            client.abandon_operations()
            client.transport.abort()
            return
        self.clients[client] = self.clients[client] + 1 if self._may_have_gone(client) else 0
        if self.clients[client] >= MAX_UNREAD_CHECKS:
            self.clients[client] = 0
            client.withdraw_operations()
        elif not client.is_open or self._is_shedding_due(client, now):
            client.read_further()

    def _may_have_gone(self, client: ClientConnection) -> bool:
        # A client that leaves replies unread and closes sends a reset, which is reported at once.
        has_replied = client.last_reply_at >= self.checked_at
        return not (has_replied or client.is_writing_paused) and has_unread_input(client.transport)

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
