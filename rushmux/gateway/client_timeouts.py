"""Timeouts of client connections: incomplete command, idle connection, unread replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushmux.gateway.lingering_close import UNREAD_REPLIES_TIMEOUT

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

COMMAND_TIMEOUT = 1.6
"""Seconds a client may take to send a complete command; the platform's limit is 3."""


def enforce_timeouts(client: ClientConnection, now: float, idle_timeout: float) -> None:
    """Closes the connection if it is silent, idle for `idle_timeout` seconds or does not read its replies.

    Call it right after reading the sockets, since closing loses an unread command.
    """
    transport = client.transport
    if transport.is_closing():
        return
    if client.held_reply_bytes:
        client.count_held_replies()
    if _blocks_reply_memory(client, now):
        transport.abort()
        return
    if not client.is_open:
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
        # All replies were sent long ago; a plain close loses nothing.
        transport.close()


def _blocks_reply_memory(client: ClientConnection, now: float) -> bool:
    # A client may leave replies unread for as long as other clients' replies have room.
    if not client.unread_reply_bytes or not client.listener.reply_budget.is_crowded():
        return False
    return now - client.last_read_at > UNREAD_REPLIES_TIMEOUT


def _is_command_overdue(client: ClientConnection, now: float) -> bool:
    if client.pending_replies or client.has_unprocessed_commands:
        return False
    if client.has_sent_command and not client.reader.has_partial_command():
        return False
    waiting_since = client.last_active_at if client.has_sent_command else client.connected_at
    return now - waiting_since > COMMAND_TIMEOUT
