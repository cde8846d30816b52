"""Which clients lose their connections where places for clients are short."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

IDLE_TIMEOUT = 30.0
"""Seconds after which a connection with no pending reply is closed."""
SHORT_IDLE_TIMEOUT = 2.0
"""The same where places are short: the least that the platform's protocol allows."""
SHORTAGE_RATIO = 0.5
"""Of the places for clients: they are short above it."""
NEWCOMER_GRACE = 0.3
"""Seconds that a new connection has at least to send a command before another takes its place."""


def idle_timeout(client_count: int, max_clients: int) -> float:
    """Returns the seconds that a connection may be idle.

    Clients that ask once and stay would hold every place; so the time is cut before the last is taken.
    """
    return SHORT_IDLE_TIMEOUT if client_count > max_clients * SHORTAGE_RATIO else IDLE_TIMEOUT


def choose_victim(clients: Iterable[ClientConnection], now: float) -> ClientConnection | None:
    """Returns the client to evict where every place is taken; None: all have to stay for the moment.

    First goes a client that sent nothing for `NEWCOMER_GRACE`; then one that never requested an operation;
    then the one idle for longest, past the time that the platform grants.  A crowd that greets and stays
    would otherwise hold every place, and the usual clients find none.

    The sockets must have been read just now: a connection closed over a command not read loses it.
    """
    candidates = [client for client in clients if client.is_open and not client.transport.is_closing()]
    silent = next((client for client in candidates if client.is_silent()), None)
    if silent is not None and now - silent.connected_at >= NEWCOMER_GRACE:
        return silent
    return min(
        (client for client in candidates if _may_be_evicted_idle(client, now)),
        key=lambda client: (client.has_requested_operation, client.last_active_at),
        default=None,
    )


def _may_be_evicted_idle(client: ClientConnection, now: float) -> bool:
    if not client.has_sent_command or not client.is_idle():
        return False
    return not client.has_requested_operation or now - client.last_active_at > SHORT_IDLE_TIMEOUT
