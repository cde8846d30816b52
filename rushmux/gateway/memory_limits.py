"""Bounds on the bytes of messages that a gateway holds, derived from its limit of memory.  No I/O.

The platform kills a gateway that exceeds its limit, so every byte that clients or nodes can make it hold
counts against one of these bounds before it is kept.
"""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_MB = 1_000_000
"""The smaller reading of the configuration's unit."""
PROGRAM_BYTES = 24_000_000
"""Memory of the interpreter and the program without endpoints, clients and messages."""
ENDPOINT_BYTES = 7_000
"""Memory for one listed node."""
CLIENT_BYTES = 8_000
"""Memory for one client connection without messages."""
OPERATION_BYTES = 3_000
"""Memory for one operation in flight, without the data that it writes."""
MESSAGE_RATIO = 0.5
"""Share of the remaining memory for messages; the rest covers copies within buffers and the allocator."""
MIN_MESSAGE_BYTES = 2_000_000
"""Message memory of a gateway whose limit leaves less than this."""
OPERATIONS_RATIO = 0.375
PARTIAL_COMMANDS_RATIO = 0.0625
READ_AHEAD_RATIO = 0.0625
PARTIAL_REPLIES_RATIO = 0.25
REPLIES_RATIO = 0.25
"""Shares of the message memory; they add up to 1."""
MAX_READ_AHEAD = 4_000_000
"""Reading ahead further only delays the detection of a closed connection for others."""
PIPELINED_RATIO = 0.5
"""Share of a bound that is open to messages queued behind others of the same client.

The rest is left to clients that wait for each reply, which a client with a long pipeline can't fill.
"""


class MemoryLimits(NamedTuple):
    """Bounds, in bytes, on what all connections together hold."""

    operations: int
    """Operations in flight, each at `OPERATION_BYTES` and its data."""
    partial_commands: int
    """Arguments of commands that have not been received completely."""
    read_ahead: int
    """Commands that were received and wait to be processed."""
    partial_replies: int
    """Nodes' replies that have not been received completely."""
    replies: int
    """Complete replies that clients have not received."""


def memory_limits_of(memory_mb: float, endpoint_count: int, max_clients: int) -> MemoryLimits:
    """Returns the bounds of a gateway with a limit of `memory_mb` megabytes."""
    other_bytes = PROGRAM_BYTES + endpoint_count * ENDPOINT_BYTES + max_clients * CLIENT_BYTES
    available = memory_mb * BYTES_PER_MB - other_bytes
    message_bytes = max(MIN_MESSAGE_BYTES, available * MESSAGE_RATIO)
    return MemoryLimits(
        operations=int(message_bytes * OPERATIONS_RATIO),
        partial_commands=int(message_bytes * PARTIAL_COMMANDS_RATIO),
        read_ahead=min(MAX_READ_AHEAD, int(message_bytes * READ_AHEAD_RATIO)),
        partial_replies=int(message_bytes * PARTIAL_REPLIES_RATIO),
        replies=int(message_bytes * REPLIES_RATIO),
    )


class ByteBudget:
    """Counts the bytes that are held of one kind, within a bound.

    Attributes:
        limit: The bound in bytes.
        held: Bytes reserved and not released.
        refused: How often a reservation was refused.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.held = 0
        self.refused = 0

    def reserve(self, size: int, *, is_pipelined: bool = False) -> bool:
        """Reserves `size` bytes if they are available; returns whether it did.

        Args:
            size: Number of bytes.
            is_pipelined: Whether the message is queued behind others of its client, see `PIPELINED_RATIO`.
        """
        if not self.admits(size, is_pipelined=is_pipelined):
            return False
        self.held += size
        return True

    def admits(self, size: int, *, is_pipelined: bool = False) -> bool:
        """Returns whether `size` bytes are available, as for `reserve`, and counts it if not."""
        is_admitted = self.held + size <= self.limit * (PIPELINED_RATIO if is_pipelined else 1)
        self.refused += not is_admitted
        return is_admitted

    def is_crowded(self) -> bool:
        """Returns whether pipelined messages are refused."""
        return self.held > self.limit * PIPELINED_RATIO

    def release(self, size: int) -> None:
        """Returns `size` reserved bytes."""
        self.held -= size
