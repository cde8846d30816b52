"""Coalesces small writes: what one turn of the event loop writes leaves in one system call."""

import asyncio


class CoalescingWriter:
    """Collects what is written in a turn of the loop and hands it to a stream at the turn's end."""

    def __init__(self, writer: asyncio.StreamWriter):
        self.writer = writer
        self.parts: list[bytes] = []
        self.loop = asyncio.get_running_loop()

    def write(self, data: bytes) -> None:
        """Has the bytes sent at the end of this turn."""
        if not self.parts:
            self.loop.call_soon(self.flush)
        self.parts.append(data)

    def flush(self) -> None:
        """Hands over what was collected; nothing where the connection is closing."""
        parts, self.parts = self.parts, []
        if parts and not self.writer.transport.is_closing():
            self.writer.write(b"".join(parts) if len(parts) > 1 else parts[0])

    def buffered_bytes(self) -> int:
        """Bytes that have not left this process."""
        return self.writer.transport.get_write_buffer_size() + sum(map(len, self.parts))
