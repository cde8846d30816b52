"""A connection to a storage node and the one attempt in flight on it.

Dropping an attempt closes its own connection only.  No command is sent twice at this level.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from rushmux.gateway import replies
from rushmux.gateway.unread_input import has_unread_input
from rushmux.resp import ProtocolError, Reply, ReplyReader, encode_command
from rushmux.scheduling.driver import AttemptReply
from rushmux.scheduling.interface import AttemptResult

if TYPE_CHECKING:
    from rushmux.gateway.endpoint_pool import EndpointPool

MS_PER_SECOND = 1000


class NodeIncarnation(NamedTuple):
    """One start of a node's process at one address."""

    host: str
    port: int
    started_at: float
    """Unix time in seconds; 0: long ago."""


class NodeAttempt:
    """An attempt that waits for a connection or is in flight (`scheduling.driver.AttemptHandle`).

    Whether it may still begin is checked once, right before its command is written
    (`EndpointPool._next_waiting`, `NodeConnection.send`).  A dropped attempt has left the queue.

    Attributes:
        deadline: Loop time until which the caller waits for the reply.
        latest_start: Loop time before which it must begin.
    """

    __slots__ = ("build_command", "connection", "deadline", "endpoint", "latest_start", "on_reply", "written")

    def __init__(
        self,
        endpoint: EndpointPool,
        build_command: Callable[[int], list[bytes]],
        *,
        deadline: float,
        latest_start: float,
        on_reply: Callable[[AttemptReply], None],
    ):
        self.endpoint = endpoint
        self.build_command = build_command
        self.deadline = deadline
        self.latest_start = latest_start
        self.on_reply: Callable[[AttemptReply], None] | None = on_reply
        self.connection: NodeConnection | None = None
        self.written = False

    @property
    def sent(self) -> bool:
        """Whether its last byte has left this process; an attempt dropped before that never runs."""
        return self.written and not (self.connection is not None and self.connection.has_unsent_bytes)

    def drop(self) -> None:
        """Abandons the attempt: it is never sent, or the node stops it as its connection closes."""
        self.on_reply = None
        if self.connection is not None:
            self.connection.close()
        elif self in self.endpoint.waiting:
            self.endpoint.waiting.remove(self)

    cancel = drop

    def finish(self, reply: AttemptReply) -> None:
        """Passes the reply to `on_reply`, unless the attempt was dropped."""
        on_reply = self.on_reply
        self.on_reply = None
        self.connection = None
        if on_reply is not None:
            on_reply(reply)

    def fail(self, result: AttemptResult) -> None:
        """Finishes the attempt with a result that did not come from the node."""
        self.finish(AttemptReply(result))


class NodeConnection(asyncio.Protocol):
    """A connection to a node.

    Attributes:
        incarnation: The node's incarnation that it was opened to.
        attempt: The attempt in flight on it.
        has_unsent_bytes: Whether written bytes have not left this process.
        partial_reply_bytes: Bytes received of an incomplete reply.
        idle_since: Loop time since which it has been idle.
        last_idle_time: Seconds of idle time before its last use; 0 if it was new.
        is_claimed: Whether an attempt waits for the end of its cooldown.
    """

    def __init__(self, endpoint: EndpointPool, incarnation: NodeIncarnation):
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.reader = ReplyReader()
        self.transport: asyncio.Transport | None = None
        self.attempt: NodeAttempt | None = None
        self.has_unsent_bytes = False
        self.partial_reply_bytes = 0
        self.idle_since = 0.0
        self.last_idle_time = 0.0
        self.is_claimed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts using the connection (`asyncio.Protocol`)."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # any buffered byte calls `pause_writing`
        self.endpoint.on_connected(self)

    def pause_writing(self) -> None:
        """Notes that the write buffer is not empty (`asyncio.Protocol`)."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Notes that the write buffer is empty (`asyncio.Protocol`)."""
        self.has_unsent_bytes = False

    def send(self, attempt: NodeAttempt) -> None:
        """Writes an attempt's command, which tells the node how much time is left."""
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        time_left = attempt.deadline - self.endpoint.pool.loop.time()
        milliseconds = max(1, -int(-time_left * MS_PER_SECOND // 1))
        self.transport.write(encode_command(attempt.build_command(milliseconds)))

    def has_unread_input(self) -> bool:
        """Returns whether the socket has unread input: an unsolicited reply, end of stream or a reset.

        After the process was suspended, the cooldown may be over although the loop has not polled the socket;
        a late unsolicited reply would then be taken for the next request's.
        """
        return has_unread_input(self.transport)

    def data_received(self, data: bytes) -> None:
        """Reads the reply of the attempt in flight (`asyncio.Protocol`)."""
        pool = self.endpoint.pool
        if self.attempt is None:
            # An unsolicited reply would be taken for the next request's.
            pool.unsolicited_replies += 1
            self.close()
            return
        self.reader.receive_data(data)
        pool.partial_reply_bytes += len(data)
        self.partial_reply_bytes += len(data)
        try:
            reply = self.reader.next_reply()
        except ProtocolError:
            self._complete(replies.FAILED_REPLY)
            return
        if reply is not None:
            self._on_reply(reply)
        elif pool.partial_reply_bytes > pool.max_partial_reply_bytes:
            # Many incomplete values, each within its limit, could exhaust memory.
            self._complete(replies.FAILED_REPLY)

    def _on_reply(self, reply: Reply) -> None:
        self.reader.compact()  # an idle connection holds no reply
        has_unsolicited = self.reader.unread_bytes() > 0
        self.endpoint.pool.unsolicited_replies += has_unsolicited
        outcome = replies.interpret(reply)
        self._complete(outcome, not has_unsolicited and replies.is_reusable(outcome.result, reply))

    def _complete(self, reply: AttemptReply, is_reusable: bool = False) -> None:
        # Closes even a reusable connection if its node has moved or restarted meanwhile.
        attempt, self.attempt = self.attempt, None
        pool = self.endpoint.pool
        pool.partial_reply_bytes -= self.partial_reply_bytes
        self.partial_reply_bytes = 0
        pool.keep_alive.record_use(self.last_idle_time, was_reset=False)
        if is_reusable and self.incarnation == self.endpoint.incarnation:
            self.endpoint.release(self)
        else:
            self.close()
        attempt.finish(reply)

    def close(self) -> None:
        """Aborts the connection; the caller reports the result of an attempt in flight on it."""
        self.endpoint.forget(self)
        if self.attempt is not None:
            self.attempt.connection = None
            self.attempt = None
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the attempt in flight when the connection is lost (`asyncio.Protocol`)."""
        self.endpoint.forget(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        self.endpoint.pool.keep_alive.record_use(self.last_idle_time, was_reset=True)
        self.endpoint.close_idle()
        # A command that had not completely left this process can't have run.
        unsent = self.has_unsent_bytes
        attempt.fail(AttemptResult.CONNECT_FAILED if unsent else AttemptResult.CONNECTION_LOST)
