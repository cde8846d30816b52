"""Coalesces small writes of one event loop iteration into one system call."""

import asyncio


class CoalescingWriter:
    """Passes the writes of a loop iteration to a stream at its end."""

    def __init__(self, writer: asyncio.StreamWriter):
        self.writer = writer
        self.parts: list[bytes] = []
        self.loop = asyncio.get_running_loop()

    def write(self, data: bytes) -> None:
        """Queues data to be sent at the end of the loop iteration."""
        if not self.parts:
            self.loop.call_soon(self.flush)
        self.parts.append(data)

    def flush(self) -> None:
        """Passes the queued data to the stream; discards it if the connection is closing."""
        parts, self.parts = self.parts, []
        if parts and not self.writer.transport.is_closing():
            self.writer.write(b"".join(parts) if len(parts) > 1 else parts[0])

    def buffered_bytes(self) -> int:
        """Returns the number of bytes that have not left this process."""
        return self.writer.transport.get_write_buffer_size() + sum(map(len, self.parts))
