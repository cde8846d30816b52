"""Servers and connections of the simulated network, as asyncio's transports behave."""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from rushmux.simulation.process import CURRENT_PROCESS, partitioned_until

if TYPE_CHECKING:
    from rushmux.simulation.loop import SimulatedLoop

SOCKET_BYTES = 262_144  # that a connection holds on its way before the writer sees a buffer
HIGH_WATER, LOW_WATER = 65_536, 16_384  # bytes in the writer's buffer at which it is paused and goes on
SPACING = 1e-8  # seconds between two pieces on one connection


class SimulatedSocket:
    """What a server tells of its socket."""

    def __init__(self, address: tuple[str, int]):
        self.address = address

    def getsockname(self) -> tuple[str, int]:
        """Host and port."""
        return self.address


class SimulatedServer:
    """What `create_server` gives: a port that is open until it is closed."""

    def __init__(self, loop: SimulatedLoop, address: tuple[str, int], factory: Callable):
        self.loop, self.address, self.factory = loop, address, factory
        self.context = contextvars.copy_context()
        self.sockets = (SimulatedSocket(address),)
        self.process = CURRENT_PROCESS.get()
        if self.process:
            self.process.servers[self] = True

    def close(self) -> None:
        """Closes the port; connections stay."""
        self.loop.servers.pop(self.address, None)
        if self.process:
            self.process.servers.pop(self, None)

    async def wait_closed(self) -> None:
        """Nothing is left to wait for."""

    def get_loop(self) -> SimulatedLoop:
        """The loop."""
        return self.loop


class SimulatedTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: SimulatedLoop, protocol, own: tuple[str, int], other: tuple[str, int]):
        super().__init__({"sockname": own, "peername": other})
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
        """The protocol that is told of this end."""
        return self.protocol

    def set_protocol(self, protocol) -> None:
        """Sets the protocol."""
        self.protocol = protocol

    def is_closing(self) -> bool:
        """Whether it is closing or closed."""
        return self.closing

    def get_write_buffer_size(self) -> int:
        """Bytes that wait on this side of the connection."""
        return max(0, self.unread - SOCKET_BYTES)

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """The limits are fixed here."""

    def _send(self, call: Callable, *values) -> None:
        # Timers of one instant have no order among them; what is sent in order must arrive so.
        now = self.loop.time()
        begins = max(now, partitioned_until(self.process, self.peer.process, now))
        self.last_arrival = max(self.last_arrival + SPACING, begins + self.loop.network_delay())
        self.loop.call_at(self.last_arrival, call, *values, context=self.peer.context)

    def write(self, data) -> None:
        """Puts bytes on their way to the other end, in order."""
        if self.closing or self.lost or not data:
            return
        self.unread += len(data)
        if self.get_write_buffer_size() > HIGH_WATER and not self.writing_paused:
            self.writing_paused = True
            self.protocol.pause_writing()
        self._send(self.peer.arrive, bytes(data))

    def arrive(self, data: bytes | None) -> None:
        """Bytes, or the end of the stream, reach this end."""
        self.arrived.append(data)
        self._hand_over()

    def _hand_over(self) -> None:
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
        """The other end read bytes of this one."""
        self.unread -= size
        if self.writing_paused and self.get_write_buffer_size() <= LOW_WATER:
            self.writing_paused = False
            if not self.lost:
                self.loop.call_soon(self.protocol.resume_writing, context=self.context)

    def pause_reading(self) -> None:
        """Hands nothing over until `resume_reading`."""
        self.reading_paused = True

    def resume_reading(self) -> None:
        """Hands over what waited."""
        self.reading_paused = False
        self.loop.call_soon(self._hand_over, context=self.context)

    def is_reading(self) -> bool:
        """Whether what arrives is handed over."""
        return not self.reading_paused

    def can_write_eof(self) -> bool:
        """It can."""
        return True

    def write_eof(self) -> None:
        """Ends the stream to the other end."""
        if not self.sent_eof:
            self.sent_eof = True
            self._send(self.peer.arrive, None)

    def close(self) -> None:
        """Closes in order."""
        if not self.closing:
            self.closing = True
            self.write_eof()
            self.loop.call_soon(self.end, None, context=self.context)

    def abort(self) -> None:
        """Closes with a reset."""
        if not self.lost:
            self.closing = True
            self._send(self.peer.end, ConnectionResetError("reset by peer"))
            self.loop.call_soon(self.end, None, context=self.context)

    def reset_by_kernel(self) -> None:
        """The process is gone: the other end hears of it, this one never."""
        self.closing = self.lost = True
        self._send(self.peer.end, ConnectionResetError("reset by peer"))

    def end(self, fault: Exception | None) -> None:
        """The connection is over."""
        if self.lost:
            return
        self.closing = self.lost = True
        if self.process:
            self.process.transports.pop(self, None)
        self.protocol.connection_lost(fault)
