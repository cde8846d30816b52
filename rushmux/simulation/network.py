"""Simulated servers and connections, which behave like asyncio's."""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from rushmux.simulation.process import CURRENT_PROCESS, partitioned_until

if TYPE_CHECKING:
    from rushmux.simulation.loop import SimulatedLoop

SOCKET_BYTES = 262_144  # in flight on a connection before the writer has to buffer
HIGH_WATER, LOW_WATER = 65_536, 16_384  # bytes in the writer's buffer at which it is paused and resumed
ORDERING_GAP = 1e-8  # seconds between two events that must run in order


class SimulatedSocket:
    """The socket of a simulated server."""

    def __init__(self, address: tuple[str, int]):
        self.address = address

    def getsockname(self) -> tuple[str, int]:
        """Returns the host and port."""
        return self.address


class SimulatedServer:
    """A listening port, as `create_server` returns it."""

    def __init__(self, loop: SimulatedLoop, address: tuple[str, int], factory: Callable):
        self.loop, self.address, self.factory = loop, address, factory
        self.context = contextvars.copy_context()
        self.sockets = (SimulatedSocket(address),)
        self.process = CURRENT_PROCESS.get()
        if self.process:
            self.process.servers[self] = True

    def close(self) -> None:
        """Closes the port; accepted connections stay open."""
        self.loop.servers.pop(self.address, None)
        if self.process:
            self.process.servers.pop(self, None)

    async def wait_closed(self) -> None:
        """Returns at once: `close` takes effect immediately."""

    def get_loop(self) -> SimulatedLoop:
        """Returns the loop."""
        return self.loop


class SimulatedTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: SimulatedLoop, protocol, local: tuple[str, int], remote: tuple[str, int]):
        super().__init__({"sockname": local, "peername": remote})
        self.loop, self.protocol = loop, protocol
        self.peer: SimulatedTransport | None = None
        self.context, self.process = contextvars.copy_context(), CURRENT_PROCESS.get()
        self.closing = self.lost = False
        self.writing_paused = self.reading_paused = False
        self.sent_eof = False
        self.unread = 0  # bytes written that the other end has not read
        self.arrived: deque[bytes | None] = deque()  # None: the end of the stream
        self.last_arrival = 0.0
        if self.process:
            self.process.transports[self] = True

    def get_protocol(self):
        """Returns the protocol of this end."""
        return self.protocol

    def set_protocol(self, protocol) -> None:
        """Sets the protocol."""
        self.protocol = protocol

    def is_closing(self) -> bool:
        """Whether this end is closing or closed."""
        return self.closing

    def get_write_buffer_size(self) -> int:
        """Bytes that wait to be sent."""
        return max(0, self.unread - SOCKET_BYTES)

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Does nothing: the limits are fixed."""

    def _send(self, call: Callable, *values) -> None:
        # Timers with equal times run in no particular order; data must arrive in the order it was sent.
        now = self.loop.time()
        begins = max(now, partitioned_until(self.process, self.peer.process, now))
        self.last_arrival = max(self.last_arrival + ORDERING_GAP, begins + self.loop.network_delay())
        self.loop.call_at(self.last_arrival, call, *values, context=self.peer.context)

    def write(self, data) -> None:
        """Sends bytes to the other end, in order."""
        if self.closing or self.lost or not data:
            return
        self.unread += len(data)
        if self.get_write_buffer_size() > HIGH_WATER and not self.writing_paused:
            self.writing_paused = True
            self.protocol.pause_writing()
        self._send(self.peer.receive, bytes(data))

    def receive(self, data: bytes | None) -> None:
        """Takes bytes, or None for the end of the stream, from the other end."""
        self.arrived.append(data)
        self._deliver()

    def _deliver(self) -> None:
        while self.arrived and not self.reading_paused and not self.lost:
            data = self.arrived.popleft()
            if data is None:
                if not self.closing and not self.protocol.eof_received():
                    self.close()
                return
            self.peer.acknowledge(len(data))
            if not self.closing:
                self.protocol.data_received(data)

    def acknowledge(self, size: int) -> None:
        """Notes that the other end has read bytes that this end sent."""
        self.unread -= size
        if self.writing_paused and self.get_write_buffer_size() <= LOW_WATER:
            self.writing_paused = False
            if not self.lost:
                self.loop.call_soon(self.protocol.resume_writing, context=self.context)

    def pause_reading(self) -> None:
        """Stops delivery to the protocol until `resume_reading`."""
        self.reading_paused = True

    def resume_reading(self) -> None:
        """Resumes delivery to the protocol."""
        self.reading_paused = False
        self.loop.call_soon(self._deliver, context=self.context)

    def is_reading(self) -> bool:
        """Whether arriving data is delivered to the protocol."""
        return not self.reading_paused

    def can_write_eof(self) -> bool:
        """Returns True: half-closed connections are supported."""
        return True

    def write_eof(self) -> None:
        """Ends the outgoing stream."""
        if not self.sent_eof:
            self.sent_eof = True
            self._send(self.peer.receive, None)

    def close(self) -> None:
        """Closes once the data written so far is sent."""
        if not self.closing:
            self.closing = True
            self.write_eof()
            self.loop.call_soon(self.end, None, context=self.context)

    def abort(self) -> None:
        """Resets the connection."""
        if not self.lost:
            self.closing = True
            self._send(self.peer.end, ConnectionResetError("reset by peer"))
            self.loop.call_soon(self.end, None, context=self.context)

    def reset_by_kernel(self) -> None:
        """Resets the connection of a killed process: only the other end is notified."""
        self.closing = self.lost = True
        self._send(self.peer.end, ConnectionResetError("reset by peer"))

    def end(self, fault: Exception | None) -> None:
        """Ends the connection and notifies the protocol."""
        if self.lost:
            return
        self.closing = self.lost = True
        if self.process:
            self.process.transports.pop(self, None)
        self.protocol.connection_lost(fault)
