"""Lingering close: a connection ends for writing first and is closed a little later.

Closed with bytes unread, a connection is reset by the system, and the client may lose the last replies with
it.  So nothing more is sent, and what the client still sends keeps the connection open, within bounds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushmux.gateway.event_loop import call_after_polling

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

LINGER_TIME = 0.25
"""Seconds without a byte after which a lingering close ends."""
MAX_LINGER_TIME = 1.0
"""Seconds that it takes at most: a client that sends on and on is cut off."""
UNREAD_REPLIES_TIMEOUT = 3.0
"""Seconds that replies may be unread: a client that reads nothing for so long counts as gone."""


class LingeringClose:
    """The lingering close of one client's connection; it starts at once.

    Attributes:
        last_input_at: The loop's time at which the client last sent something.
    """

    def __init__(self, connection: ClientConnection):
        self.connection = connection
        self.loop = connection.listener.loop
        if connection.transport.can_write_eof():
            connection.transport.write_eof()
        self.started_at = self.loop.time()
        self.last_input_at = self.started_at
        self._schedule_check()

    def _schedule_check(self) -> None:
        self.loop.call_later(LINGER_TIME, call_after_polling, self.loop, self._check)

    def _check(self) -> None:
        # A large reply that is still being read must not be cut off.
        transport = self.connection.transport
        if (self._has_unread_replies() or self._is_receiving()) and not transport.is_closing():
            self._schedule_check()
        else:
            transport.abort()

    def _has_unread_replies(self) -> bool:
        unread_bytes = self.connection.transport.get_write_buffer_size()
        return bool(unread_bytes) and self.loop.time() < self.started_at + UNREAD_REPLIES_TIMEOUT

    def _is_receiving(self) -> bool:
        now = self.loop.time()
        return (
            now - self.last_input_at < LINGER_TIME
            and now < self.started_at + MAX_LINGER_TIME
            and not self.connection.is_reading_paused
        )
