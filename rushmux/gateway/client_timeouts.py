"""Timeouts of clients' connections: no complete command, idle, replies not read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushmux.gateway.lingering_close import UNREAD_REPLIES_TIMEOUT

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

FIRST_COMMAND_TIMEOUT = 1.6
"""Seconds until a connection that sent no complete command is closed: 3 are allowed."""


def enforce_timeouts(client: ClientConnection, now: float, idle_timeout: float) -> None:
    """Ends a connection whose client is silent, idle for `idle_timeout` seconds or does not read.

    The sockets must have been read just now: a connection closed over a command not read loses it.
    """
    transport = client.transport
    if transport.is_closing() or not client.is_open:
        return
    if client.is_writing_paused and now - client.writing_paused_at > UNREAD_REPLIES_TIMEOUT:
        transport.abort()
    elif _is_command_overdue(client, now):
        client.listener.stats.silent_clients += 1
        client.finish_with_error("ERR no whole command came in time")
    elif (
        client.is_idle()
        and now - client.last_active_at > idle_timeout
        and not transport.get_write_buffer_size()
    ):
        # Its last reply was sent long ago: nothing is cut off.
        transport.close()


def _is_command_overdue(client: ClientConnection, now: float) -> bool:
    if client.pending_replies or client.has_untaken_commands:
        return False
    if client.has_sent_command and not client.reader.has_partial_command():
        return False
    waiting_since = client.last_active_at if client.has_sent_command else client.connected_at
    return now - waiting_since > FIRST_COMMAND_TIMEOUT
