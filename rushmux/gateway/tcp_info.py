"""What the system knows of a TCP connection (`TCP_INFO`, Linux tcp(7)).

Platforms that don't provide it report an error, or the state of an unconnected socket.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import NamedTuple

ESTABLISHED, CLOSE_WAIT = 1, 8
"""TCP states: connected; the peer has shut down its sending side."""
LAST_DATA_OFFSET = 52
"""Offset of `tcpi_last_data_recv` in `struct tcp_info`, an unsigned number of four bytes."""
TCP_INFO_SIZE = LAST_DATA_OFFSET + 4
MS_PER_SECOND = 1_000


class TcpInfo(NamedTuple):
    """The state of a connection."""

    state: int
    time_since_data: float
    """Seconds since the last data arrived from the peer, read or not."""

    @property
    def is_connected(self) -> bool:
        """Whether the peer's data may still be read."""
        return self.state in (ESTABLISHED, CLOSE_WAIT)


def tcp_info_of(transport: asyncio.Transport) -> TcpInfo | None:
    """Returns the state of a transport's connection, or None if the system does not provide it."""
    try:
        sock = transport.get_extra_info("socket")
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (milliseconds,) = struct.unpack_from("=I", info, LAST_DATA_OFFSET)
        return TcpInfo(info[0], milliseconds / MS_PER_SECOND)
    except (OSError, AttributeError, IndexError, TypeError, struct.error):
        return None
