"""The replies that a client connection owes, in the order of its commands.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushmux.gateway.client_connection import ClientConnection


class PendingReply:
    """The reply to one command, queued until it is complete and next in order.

    Attributes:
        reply: The encoded reply, or replies to several commands in a row; None until known.
        op_id: The operation that gives the reply; None if there is none or the client has gone.
        arrived_at: Event loop time at which the first byte of the command arrived.
    """

    __slots__ = ("arrived_at", "client", "op_id", "reply")

    def __init__(self, client: ClientConnection, reply: bytes | bytearray | None = None):
        self.client = client
        self.reply = reply
        self.op_id: str | None = None
        self.arrived_at = client.command_arrived_at

    def complete(self, reply: bytes) -> None:
        """Sets the reply, which is sent after all earlier ones."""
        self.reply = reply
        self.client.flush()


class PendingReplies:
    """A queue of replies; those to commands that were shed in a row count as one."""

    def __init__(self):
        self._queue: deque[PendingReply] = deque()
        self._shed: PendingReply | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[PendingReply]:
        return iter(self._queue)

    def append(self, pending: PendingReply) -> None:
        """Adds the reply to the latest command."""
        self._queue.append(pending)

    def append_shed(self, pending: PendingReply) -> None:
        """Adds the complete reply to a command that was shed; it joins those before it."""
        if self._queue and self._queue[-1] is self._shed:
            self._shed.reply += pending.reply
        else:
            self._shed = PendingReply(pending.client, bytearray(pending.reply))
            self._queue.append(self._shed)

    def is_next(self, pending: PendingReply) -> bool:
        """Returns whether no other reply goes before this one."""
        return not self._queue or self._queue[0] is pending

    def take_complete(self) -> bytes:
        """Removes and returns the replies up to the first incomplete one."""
        parts = []
        while self._queue and self._queue[0].reply is not None:
            parts.append(self._queue.popleft().reply)
        return b"".join(parts)

    def complete_bytes(self) -> int:
        """Returns the bytes of the complete replies, which may wait for incomplete ones before them."""
        return sum(len(pending.reply) for pending in self._queue if pending.reply is not None)

    def clear(self) -> None:
        """Drops all replies."""
        self._queue.clear()
        self._shed = None
