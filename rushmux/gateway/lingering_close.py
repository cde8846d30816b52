"""Lingering close: shuts down the sending side of a connection and closes the socket later.

The system resets a connection that is closed with unread input, and the client may then lose the last
replies. The socket therefore stays open while the client still sends or reads, for a bounded time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushmux.gateway.event_loop import call_after_polling

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection

LINGER_TIME = 0.25
"""Seconds without input after which the socket is closed."""
MAX_LINGER_TIME = 1.0
"""Seconds after which the socket is closed even if the client keeps sending."""
UNREAD_REPLIES_TIMEOUT = 3.0
"""Seconds that replies may stay unread before the client counts as gone."""


class LingeringClose:
    """The lingering close of one client connection, started by the constructor.

    Attributes:
        last_input_at: Event loop time at which the client last sent data.
    """

    def __init__(self, connection: ClientConnection):
        self.connection = connection
        self.loop = connection.listener.loop
        self.started_at = self.loop.time()
        self.last_input_at = self.started_at
        self._schedule_check()
        self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        transport = self.connection.transport
        try:
            if transport.can_write_eof():
                transport.write_eof()
        except OSError:  # the client has reset the connection
            transport.abort()

    def cancel(self) -> None:
        """Ends the checks: the connection has ended."""
        self._timer.cancel()

    def _schedule_check(self) -> None:
        self._timer = self.loop.call_later(LINGER_TIME, call_after_polling, self.loop, self._check)

    def _check(self) -> None:
        # Don't truncate a large reply that the client is still reading.
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
