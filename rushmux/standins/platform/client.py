"""A fake client of the gateway."""

from __future__ import annotations

import asyncio

from rushmux.resp import ReplyReader, encode_command

READ_SIZE = 65_536


class FakeClient:
    """A client's connection.

    Attributes:
        was_reset: Whether the connection was reset.
        replies_received: Number of replies so far.
    """

    def __init__(self):
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.reply_reader = ReplyReader()
        self.was_reset = False
        self.replies_received = 0

    async def open(self, port: int) -> FakeClient:
        """Connects to a gateway on loopback."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    def send(self, *arguments: bytes) -> None:
        """Sends a command."""
        self.writer.write(encode_command(arguments))

    async def reply(self, within: float = 5.0) -> tuple | None:
        """Returns the next reply's kind and value, or None if the connection ended; raises TimeoutError."""
        async with asyncio.timeout(within):
            while (reply := self.reply_reader.next_reply()) is None:
                try:
                    data = await self.reader.read(READ_SIZE)
                except ConnectionError:
                    self.was_reset = True
                    return None
                if not data:
                    return None
                self.reply_reader.receive_data(data)
            self.replies_received += 1
            return reply

    async def request(self, *arguments: bytes, within: float = 5.0) -> tuple | None:
        """Sends a command and returns its reply."""
        self.send(*arguments)
        return await self.reply(within)

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
