"""Selects the client connections to close as the number of clients nears its limit."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

IDLE_TIMEOUT = 30.0
"""Seconds after which an idle connection is closed."""
SHORT_IDLE_TIMEOUT = 2.0
"""Idle timeout at high occupancy: the minimum that the platform's protocol allows."""
HIGH_OCCUPANCY_RATIO = 0.5
"""Share of the client limit above which `SHORT_IDLE_TIMEOUT` applies."""
NEW_CLIENT_GRACE = 0.3
"""Seconds a new connection has to start its first command before it may be evicted."""


def idle_timeout(client_count: int, max_clients: int) -> float:
    """Returns the idle timeout in seconds.

    It is shortened before the limit is reached, since idle clients could otherwise use up all connections.
    """
    return SHORT_IDLE_TIMEOUT if client_count > max_clients * HIGH_OCCUPANCY_RATIO else IDLE_TIMEOUT


def choose_victim(clients: Iterable[ClientConnection], now: float) -> ClientConnection | None:
    """Returns the client to evict when the client limit is exceeded, or None if none may be evicted.

    In order of preference: a client that sent nothing for `NEW_CLIENT_GRACE`, an idle client that never
    requested an operation, the client idle for longest (over `SHORT_IDLE_TIMEOUT`). Clients that only send
    PING and stay connected could otherwise lock out those with operations.

    Call it right after reading the sockets, since closing loses an unread command.
    """
    candidates = [client for client in clients if client.is_open and not client.transport.is_closing()]
    silent = next((client for client in candidates if client.is_silent()), None)
    if silent is not None and now - silent.connected_at >= NEW_CLIENT_GRACE:
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
