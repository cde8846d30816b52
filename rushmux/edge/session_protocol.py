"""The protocol of client connections: a stream whose end is known before its data has been read."""

import asyncio
from collections.abc import Awaitable, Callable

READ_AHEAD = 128 << 10
"""Bytes of requests that are held unread before twice as many pause the socket; a few thousand reads."""

Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Serves a connection."""


class SessionProtocol(asyncio.StreamReaderProtocol):
    """Serves a connection by `accept`, and notes when the client closes it.

    A reader reports the end of the stream only behind all data.  A client that sends many requests and closes
    would be known to have gone only when the last of them is started.

    Attributes:
        closed: Set when the client has closed or reset the connection.
    """

    def __init__(self, accept: Accept):
        loop = asyncio.get_running_loop()
        super().__init__(asyncio.StreamReader(limit=READ_AHEAD, loop=loop), accept, loop=loop)
        self.closed = asyncio.Event()

    def eof_received(self) -> bool | None:
        """Notes the end of the client's stream."""
        self.closed.set()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end of the connection."""
        self.closed.set()
        super().connection_lost(exc)
