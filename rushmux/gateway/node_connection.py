"""A connection to a storage node and the one attempt in flight on it.

An attempt that is given up closes its own connection and nothing else.  Nothing is ever sent twice here.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from rushmux.gateway import replies
from rushmux.resp import ProtocolError, ReplyKind, ReplyReader, encode_command
from rushmux.scheduling.driver import AttemptReply
from rushmux.scheduling.interface import AttemptResult

if TYPE_CHECKING:
    from rushmux.gateway.endpoint_pool import EndpointPool

MAX_PARTIAL_REPLY_BYTES = 24 << 20
"""Bytes of all incomplete replies together: sixty of the largest seen."""
MILLISECONDS = 1000
"""In a second."""


class NodeIncarnation(NamedTuple):
    """One start of a node's process at one address."""

    host: str
    port: int
    started_at: float
    """Unix time in seconds; 0: long ago."""


class NodeAttempt:
    """An attempt on its way to a node (`scheduling.driver.AttemptHandle`).

    Whether it may still begin is asked once, at the instant its bytes are written
    (`EndpointPool._next_waiting`, `NodeConnection.send`): one that was dropped does not wait any more.

    Attributes:
        deadline: The loop's time until which the reply is waited for.
        latest_start: The loop's time from which on it must not begin.
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
        """Whether its last byte has left this process; if not, an attempt given up now never runs."""
        return self.written and not (self.connection is not None and self.connection.has_unsent_bytes)

    def drop(self) -> None:
        """Gives it up: one not begun never is; else its connection is closed, at which the node stops."""
        self.on_reply = None
        if self.connection is not None:
            self.connection.close()
        elif self in self.endpoint.waiting:
            self.endpoint.waiting.remove(self)

    cancel = drop

    def finish(self, reply: AttemptReply) -> None:
        """Hands the reply to who waits for it, unless the attempt was dropped."""
        on_reply = self.on_reply
        self.on_reply = None
        self.connection = None
        if on_reply is not None:
            on_reply(reply)

    def fail(self, result: AttemptResult) -> None:
        """Finishes it with a result that no node sent."""
        self.finish(AttemptReply(result))


class NodeConnection(asyncio.Protocol):
    """A connection to a node.

    Attributes:
        incarnation: The start of the node that it was opened to.
        attempt: The attempt in flight on it.
        has_unsent_bytes: Whether bytes that were written have not left this process.
        partial_reply_bytes: Bytes of a reply that is incomplete.
        idle_since: The loop's time at which it was last replied on.
        last_idle_time: Seconds for which it had been idle before its last use; 0: it was new.
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
        """The connection is up (`asyncio.Protocol`)."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # `pause_writing` is called for each byte that waits
        self.endpoint.on_connected(self)

    def pause_writing(self) -> None:
        """Bytes wait in the write buffer (`asyncio.Protocol`)."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """The write buffer is empty (`asyncio.Protocol`)."""
        self.has_unsent_bytes = False

    def send(self, attempt: NodeAttempt) -> None:
        """Writes an attempt's command, which tells the node the rest of the time it is waited for."""
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        time_left = attempt.deadline - self.endpoint.pool.loop.time()
        milliseconds = max(1, -int(-time_left * MILLISECONDS // 1))
        self.transport.write(encode_command(attempt.build_command(milliseconds)))

    def has_unread_input(self) -> bool:
        """Whether the socket holds something not read yet: an unsolicited reply, an end or a reset.

        When the process stood still, the cooldown is over by the clock although the loop has not looked at
        the socket since; a late unsolicited reply would be taken for the next request's.
        """
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def data_received(self, data: bytes) -> None:
        """Reads the reply of the attempt in flight (`asyncio.Protocol`)."""
        pool = self.endpoint.pool
        if self.attempt is None:
            # Kept, it would be taken for the next request's reply.
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
            self._on_reply(*reply)
        elif pool.partial_reply_bytes > MAX_PARTIAL_REPLY_BYTES:
            # Many values that keep coming, each within its own bound, would exhaust the process's memory.
            self._complete(replies.FAILED_REPLY)

    def _on_reply(self, kind: ReplyKind, value: bytes | list | None) -> None:
        has_unsolicited = self.reader.unread_bytes() > 0
        self.endpoint.pool.unsolicited_replies += has_unsolicited
        reply = replies.interpret(kind, value)
        self._complete(reply, not has_unsolicited and replies.is_reusable(reply.result, kind, value))

    def _complete(self, reply: AttemptReply, is_reusable: bool = False) -> None:
        # A reusable connection is still closed when its node has moved or restarted meanwhile.
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
        """The connection ended (`asyncio.Protocol`): an attempt in flight on it has failed."""
        self.endpoint.forget(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        self.endpoint.pool.keep_alive.record_use(self.last_idle_time, was_reset=True)
        self.endpoint.close_idle()
        # A command that had not left this process completely can't have run.
        unsent = self.has_unsent_bytes
        attempt.fail(AttemptResult.CONNECT_FAILED if unsent else AttemptResult.CONNECTION_LOST)
