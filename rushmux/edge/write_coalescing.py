"""Bytes on their way out of a connection: what one turn of the loop writes leaves in one piece."""

import asyncio


class Outgoing:
    """Collects what is written in a turn of the loop; one call of the system instead of one each."""

    def __init__(self, writer):
        self.writer, self.parts = writer, []
        self.loop = asyncio.get_running_loop()

    def write(self, data: bytes):
        if not self.parts:
            self.loop.call_soon(self.flush)
        self.parts.append(data)

    def flush(self):
        """Hands over what was collected; nothing where the connection is closing."""
        parts, self.parts = self.parts, []
        if parts and not self.writer.transport.is_closing():
            self.writer.write(b"".join(parts) if len(parts) > 1 else parts[0])

    def held(self) -> int:
        """Bytes that have not left this process."""
        return self.writer.transport.get_write_buffer_size() + sum(map(len, self.parts))
