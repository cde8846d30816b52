"""One client's connection: bytes to commands, and replies in the order of the commands."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from rushmux.gateway.event_loop import call_after_polling
from rushmux.gateway.eviction import NEWCOMER_GRACE
from rushmux.gateway.lingering_close import LingeringClose
from rushmux.resp import CommandReader, ProtocolError, encode_error

if TYPE_CHECKING:
    from rushmux.gateway.listener import Listener

MAX_PENDING_REPLIES = 64
"""Commands of one connection that are not answered; beyond it no more are taken."""
MAX_UNREAD_REPLY_BYTES = 1 << 19
"""Bytes of replies that a client has not read; beyond it no more commands are taken."""
MAX_DISCARDED_BYTES = 1 << 20
"""Bytes of one connection that are read and discarded; then nothing more is read."""
MAX_READ_AHEAD = 1 << 17
"""Bytes of one connection's commands that are read before they can be taken.

Behind them, the end of a client that sent hundreds of commands at once and left is still seen.
"""
MAX_TOTAL_READ_AHEAD = 4 << 20
"""The same of all connections: beyond it none is read that can't take commands."""
MAX_PROTOCOL_ERRORS = 3
"""Invalid commands of one connection until it is closed."""
QUIET_TIME = 0.02
"""Seconds without a command after which a connection may end at a shutdown.

The next command of a client that asks again at once is on its way for a few milliseconds.
"""


class ConnectionState(Enum):
    """What a connection still does; it only moves downwards."""

    OPEN = "open"
    """Takes commands."""
    FINISHING = "finishing"
    """Takes no more commands; ends once its pending replies were sent."""
    LINGERING = "lingering"
    """Has sent everything; see `lingering_close`."""


class PendingReply:
    """The place of one command's reply.

    Attributes:
        reply: The reply's bytes; None: not known yet.
        op_id: The operation that gives the reply; None: none, or the client has gone.
    """

    __slots__ = ("client", "op_id", "reply")

    def __init__(self, client: ClientConnection, reply: bytes | None = None):
        self.client = client
        self.reply = reply
        self.op_id: str | None = None

    def complete(self, reply: bytes) -> None:
        """Sets the reply and sends it once all before it are sent."""
        self.reply = reply
        self.client.flush()


class ClientConnection(asyncio.Protocol):
    """One client's connection.

    The flags beside `state` vary independently of it and of each other: what the client has sent so far, and
    which of the two directions is paused.

    Attributes:
        pending_replies: In the order of commands; the first is the next to be sent.
        last_active_at: The loop's time at which it became idle or the incomplete command began.
        has_sent_command: Whether a complete command came.
        has_requested_operation: Whether one of them was a read or write.
        has_untaken_commands: Whether commands may be in the buffer that were not taken.
        read_ahead_bytes: Bytes that wait to be taken.
        discards_input: Whether what comes while it finishes is read and discarded.
    """

    def __init__(self, listener: Listener):
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.reader = CommandReader()
        self.state = ConnectionState.OPEN
        self.lingering_close: LingeringClose | None = None
        self.pending_replies: deque[PendingReply] = deque()
        self.connected_at = self.last_active_at = listener.loop.time()
        self.has_sent_command = False
        self.has_requested_operation = False
        self.has_untaken_commands = False
        self.is_reading_paused = False
        self.is_writing_paused = False
        self.writing_paused_at = 0.0
        self.has_shutdown_check = False
        self.discards_input = False
        self.discarded_bytes = 0
        self.read_ahead_bytes = 0
        self.protocol_errors = 0

    @property
    def is_open(self) -> bool:
        """Whether it takes commands."""
        return self.state is ConnectionState.OPEN

    @property
    def is_lingering(self) -> bool:
        """Whether everything was sent and only the close is left."""
        return self.state is ConnectionState.LINGERING

    def is_silent(self) -> bool:
        """Returns whether not a byte of a command has come."""
        return not self.has_sent_command and not self.reader.has_partial_command()

    def is_idle(self) -> bool:
        """Returns whether it is open with no pending reply and no incomplete command."""
        return not self.pending_replies and not self.reader.has_partial_command() and self.is_open

    # Commands.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The connection is up (`asyncio.Protocol`)."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_REPLY_BYTES)
        self.listener.add_client(self)

    def data_received(self, data: bytes) -> None:
        """Takes the commands that came (`asyncio.Protocol`)."""
        if self.state is not ConnectionState.OPEN:
            self._discard(len(data))
            return
        # An incomplete command may grow a byte at a time: its time counts from its first byte.
        if not self.reader.has_partial_command():
            self.last_active_at = self.listener.loop.time()
        self.reader.receive_data(data)
        self._take_commands()

    def _discard(self, size: int) -> None:
        self.discarded_bytes += size
        if self.lingering_close is not None:
            self.lingering_close.last_input_at = self.listener.loop.time()
        self._update_reading()

    def _take_commands(self) -> None:
        # Takes as many of the commands that came as may be pending at a time.
        error_text = None
        self.has_untaken_commands = True
        try:
            while (
                len(self.pending_replies) < MAX_PENDING_REPLIES
                and self.state is ConnectionState.OPEN
                and not self.is_writing_paused
            ):
                arguments = self.reader.next_command()
                if arguments is None:
                    self.has_untaken_commands = False
                    break
                self.has_sent_command = True
                self.last_active_at = self.listener.loop.time()
                self.pending_replies.append(self.listener.dispatcher.dispatch(arguments, self))
        except ProtocolError as protocol_error:
            error_text = str(protocol_error)
        if error_text is not None:
            self.pending_replies.append(PendingReply(self, encode_error(f"ERR Protocol error: {error_text}")))
            self.finish(discards_input=True)
        elif self.protocol_errors >= MAX_PROTOCOL_ERRORS:
            self.finish(discards_input=True)
        self._update_reading()
        self.flush()

    def _take_more_commands(self) -> None:
        if self.state is ConnectionState.OPEN and not self.transport.is_closing():
            self._take_commands()

    # Flow control.

    def _update_reading(self) -> None:
        # Commands at full speed would grow the buffers, so reading pauses.  While it is paused, the end of a
        # client that left is not seen behind what it sent, and all that it asked for would begin for nobody;
        # so a bounded part of the commands that can't be taken yet is read all the same.
        read_ahead_bytes = self.reader.unread_bytes()
        self.listener.read_ahead_bytes += read_ahead_bytes - self.read_ahead_bytes
        self.read_ahead_bytes = read_ahead_bytes
        pause = self._must_pause_reading()
        if pause == self.is_reading_paused or self.transport.is_closing():
            return
        self.is_reading_paused = pause
        self.listener.paused_clients.discard(self)
        if pause:
            self.listener.paused_clients.add(self)
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _must_pause_reading(self) -> bool:
        if self.state is not ConnectionState.OPEN:
            return not self.discards_input or self.discarded_bytes > MAX_DISCARDED_BYTES
        can_take = not self.is_writing_paused and len(self.pending_replies) < MAX_PENDING_REPLIES
        return not can_take and (
            self.read_ahead_bytes >= MAX_READ_AHEAD or self.listener.read_ahead_bytes >= MAX_TOTAL_READ_AHEAD
        )

    def pause_writing(self) -> None:
        """The client does not read its replies (`asyncio.Protocol`)."""
        self.is_writing_paused = True
        self.writing_paused_at = self.listener.loop.time()
        self._update_reading()

    def resume_writing(self) -> None:
        """The client has read most of its replies (`asyncio.Protocol`)."""
        self.is_writing_paused = False
        self._update_reading()
        self.listener.loop.call_soon(self._take_more_commands)

    def flush(self) -> None:
        """Sends the replies that are next in order."""
        parts = []
        while self.pending_replies and self.pending_replies[0].reply is not None:
            parts.append(self.pending_replies.popleft().reply)
        if self.transport.is_closing():
            return
        if parts:
            self.transport.write(b"".join(parts))
            self.last_active_at = self.listener.loop.time()
        if self.state is not ConnectionState.OPEN:
            if not self.pending_replies:
                self._linger()
        elif (
            self.has_untaken_commands
            and not self.is_writing_paused
            and len(self.pending_replies) <= MAX_PENDING_REPLIES // 2
        ):
            self.listener.loop.call_soon(self._take_more_commands)
        elif self.listener.is_shutting_down and not self.pending_replies:
            self.close_when_quiet()

    # Its end.

    def finish(self, discards_input: bool = False) -> None:
        """Takes no more commands; the connection ends when its pending replies were sent.

        Args:
            discards_input: Reads and discards what still comes, so that the end is no reset and the client
                reads the error.  Only for input of no use: a good command that crosses the end would be read
                and never answered.  Left unread, it makes a reset, and its client sends it once more.
        """
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.FINISHING
        self.discards_input = discards_input
        self.reader = CommandReader()
        self._update_reading()

    def finish_with_error(self, text: str) -> None:
        """Sends an error behind the pending replies and takes no more commands."""
        self.pending_replies.append(PendingReply(self, encode_error(text)))
        self.finish()
        self.flush()

    def _linger(self) -> None:
        if self.state is not ConnectionState.LINGERING:
            self.state = ConnectionState.LINGERING
            self.lingering_close = LingeringClose(self)

    def close_when_quiet(self) -> None:
        """At a shutdown, ends the connection once it was quiet for a while with no pending reply.

        Closed right behind its reply, the command of a client that asks again at once would never be read.
        """
        if not self.has_shutdown_check:
            self.has_shutdown_check = True
            loop = self.listener.loop
            loop.call_later(QUIET_TIME, call_after_polling, loop, self._close_if_quiet)

    def _close_if_quiet(self) -> None:
        self.has_shutdown_check = False
        if not self.is_idle() or self.transport.is_closing():
            return
        may_be_new = not self.has_sent_command and self.listener.is_listening
        quiet_time = NEWCOMER_GRACE if may_be_new else QUIET_TIME
        if self.listener.loop.time() - self.last_active_at < quiet_time:
            self.close_when_quiet()
            return
        self.finish()
        self._linger()

    def eof_received(self) -> bool:
        """The client has ended its sending, so it has gone (`asyncio.Protocol`).

        What it asked for would be served to nobody.  The connection is not lost yet while replies that the
        client has not read are in the buffer.
        """
        self.abandon_operations()
        return False

    def abandon_operations(self) -> None:
        """The client has gone: tells its operations so at once."""
        for pending in self.pending_replies:
            if pending.op_id is not None and pending.reply is None:
                self.listener.on_client_gone(pending.op_id)
                pending.op_id = None

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection ended (`asyncio.Protocol`)."""
        self.finish()
        self.abandon_operations()
        self.pending_replies = deque()
        self.listener.remove_client(self)
