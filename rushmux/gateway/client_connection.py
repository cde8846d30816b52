"""A client connection: reads commands and sends their replies in order."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from rushmux.gateway.arrival_times import ArrivalTimes
from rushmux.gateway.event_loop import call_after_polling
from rushmux.gateway.eviction import NEW_CLIENT_GRACE
from rushmux.gateway.lingering_close import LingeringClose
from rushmux.gateway.pending_replies import PendingReplies, PendingReply
from rushmux.gateway.tcp_info import tcp_info_of
from rushmux.resp import CommandReader, ProtocolError, encode_error

if TYPE_CHECKING:
    from rushmux.gateway.listener import Listener

MAX_PENDING_REPLIES = 64
"""Unanswered commands of a connection above which its commands wait."""
RESUME_PENDING_REPLIES = MAX_PENDING_REPLIES // 2
"""Unanswered commands of a connection at which waiting commands are processed again."""
MAX_COMMANDS_PER_TURN = 64
"""Commands of a connection processed per iteration of the event loop.

Other connections wait meanwhile, and a request of theirs takes several iterations.
"""
MAX_UNREAD_REPLY_BYTES = 1 << 19
"""Bytes of unread replies of a connection above which its commands wait."""
MAX_DISCARDED_BYTES = 1 << 20
"""Bytes of input discarded during a lingering close after which reading stops."""
MAX_READ_AHEAD = 1 << 17
"""Bytes of unprocessed commands read from a connection.

Reading ahead detects the close of a client that sent hundreds of commands at once and left.
"""
FURTHER_INPUT_ALLOWANCE = 1 << 23
"""Bytes read at a time to find the end of the stream of a client whose operations are in flight.

When they are used up, reading pauses and the next follow after a while.
"""
RESET_TIME = 0.002
"""Seconds in which a reply to a client that has closed its connection brings a reset."""
MAX_PROTOCOL_ERRORS = 3
"""Invalid commands after which a connection is closed."""
QUIET_TIME = 0.02
"""Seconds without a command after which a connection may be closed during a shutdown.

The next command of a client that sends one right after each reply takes a few milliseconds to arrive.
"""


class ConnectionState(Enum):
    """State of a connection; it only advances in the order listed."""

    OPEN = "open"
    """Accepts commands."""
    FINISHING = "finishing"
    """Accepts no more commands and ends after its pending replies were sent."""
    LINGERING = "lingering"
    """All replies were sent; see `lingering_close`."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client connection.

    The flags for what the client has sent and which direction is paused are independent of `state` and of
    each other.

    Attributes:
        connected_at: Event loop time at which the connection was established, or its first data came while it
            waited to be accepted.
        pending_replies: Replies not sent yet, in the order of the commands.
        last_active_at: Event loop time of the last command or reply, or the start of a partial command.
        last_reply_at: Event loop time of the last reply.
        command_arrived_at: Event loop time at which the first byte of the next command arrived; None if it is
            not known.
        has_received_data: Whether anything was received.
        has_sent_command: Whether a complete command was received.
        has_requested_operation: Whether a read or write was received.
        has_unprocessed_commands: Whether the buffer may hold complete commands.
        is_processing_scheduled: Whether more buffered commands are processed in the next iteration.
        ends_after_reply: Whether the command being dispatched is the last one accepted.
        has_shutdown_check: Whether `_close_if_quiet` is scheduled.
        read_ahead_bytes: Bytes of unprocessed commands.
        is_shedding: Whether operations get BUSY at once, see `read_further`.
        further_input_allowance: Bytes that may be read meanwhile, or discarded before the last reply is sent.
        held_reply_bytes: Bytes of complete replies that have not left this process, when last counted.
        unread_reply_bytes: Those of them that were written.
        last_read_at: Event loop time at which the client was last known to read its replies.
        discards_input: Whether further input is read and discarded once no commands are accepted.
    """

    def __init__(self, listener: Listener):
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.reader = CommandReader(listener.partial_command_budget)
        self.state = ConnectionState.OPEN
        self.lingering_close: LingeringClose | None = None
        self.pending_replies = PendingReplies()
        self.connected_at = self.last_active_at = self.last_reply_at = listener.loop.time()
        self.arrival_times = ArrivalTimes()
        self.command_arrived_at: float | None = None
        self.has_received_data = False
        self.has_sent_command = False
        self.has_requested_operation = False
        self.has_unprocessed_commands = False
        self.is_processing_scheduled = False
        self.is_reading_paused = False
        self.is_writing_paused = False
        self.writing_paused_at = 0.0
        self.ends_after_reply = False
        self.has_shutdown_check = False
        self.discards_input = False
        self.discarded_bytes = 0
        self.read_ahead_bytes = 0
        self.is_shedding = False
        self.further_input_allowance = 0
        self.held_reply_bytes = 0
        self.unread_reply_bytes = 0
        self.last_read_at = self.connected_at
        self.protocol_errors = 0

    @property
    def is_open(self) -> bool:
        """Whether the connection accepts commands."""
        return self.state is ConnectionState.OPEN

    @property
    def is_lingering(self) -> bool:
        """Whether all replies were sent and only the close is left."""
        return self.state is ConnectionState.LINGERING

    def is_silent(self) -> bool:
        """Returns whether the client has sent nothing so far."""
        return not self.has_sent_command and not self.reader.has_partial_command()

    def is_idle(self) -> bool:
        """Returns whether the connection is open with no pending reply and no partial command."""
        return not self.pending_replies and not self.reader.has_partial_command() and self.is_open

    def accepts_operations(self) -> bool:
        """Returns whether an operation may be submitted."""
        return self.is_open and not self.is_shedding

    # Commands.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection (`asyncio.BufferedProtocol`)."""
        self.transport = transport
        self.connected_at -= self._time_since_data()
        transport.set_write_buffer_limits(high=MAX_UNREAD_REPLY_BYTES)
        self.listener.add_client(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read (`asyncio.BufferedProtocol`)."""
        return self.listener.receive_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Processes received commands (`asyncio.BufferedProtocol`)."""
        if self.state is not ConnectionState.OPEN:
            self._discard(nbytes)
            return
        # A command may arrive a byte at a time; its timeout counts from the first.
        now = self.listener.loop.time()
        if not self.reader.has_partial_command():
            self.last_active_at = now
        self.arrival_times.add(nbytes, self._last_arrival(now))
        self.reader.receive_data(self.listener.receive_memory[:nbytes])
        self.further_input_allowance = max(0, self.further_input_allowance - nbytes)
        if self.is_processing_scheduled:
            self._update_reading()
        else:
            self._process_commands()

    def _last_arrival(self, now: float) -> float:
        # The first data of a connection may have waited in the accept queue.
        if self.has_received_data:
            return now
        self.has_received_data = True
        return now - self._time_since_data()

    def _time_since_data(self) -> float:
        # Without data, the time since the connection was established.
        info = tcp_info_of(self.transport)
        return info.time_since_data if info is not None and info.is_connected else 0.0

    def _discard(self, size: int) -> None:
        if self.lingering_close is not None:
            self.discarded_bytes += size
            self.lingering_close.last_input_at = self.listener.loop.time()
        self.further_input_allowance = max(0, self.further_input_allowance - size)
        self._update_reading()

    def _process_commands(self) -> None:
        # Processes buffered commands up to the limit of pending replies, and sheds some above it.
        error_text = None
        self.has_unprocessed_commands = True
        try:
            self._dispatch_commands()
        except ProtocolError as protocol_error:
            error_text = str(protocol_error)
        if error_text is not None:
            self._add_protocol_error(error_text)
            self._reset_reader()  # nothing behind the error can be read
            self.finish(discards_input=True)
        elif self.protocol_errors >= MAX_PROTOCOL_ERRORS:
            self.finish(discards_input=True)
        self.reader.compact()
        self._update_reading()
        self.flush()

    def _dispatch_commands(self) -> None:
        for _ in range(MAX_COMMANDS_PER_TURN):
            if self.state is not ConnectionState.OPEN or not self._can_process():
                return
            arguments = self._next_command()
            if arguments is None:
                self.has_unprocessed_commands = False
                return
            self.has_sent_command = True
            self.last_active_at = self.listener.loop.time()
            self._append_reply(self.listener.dispatcher.dispatch(arguments, self))
            self.command_arrived_at = None
            if self.ends_after_reply:
                self.finish()
        self._schedule_processing()

    def _schedule_processing(self) -> None:
        if not self.is_processing_scheduled:
            self.is_processing_scheduled = True
            self.listener.loop.call_soon(self._process_scheduled)

    def _process_scheduled(self) -> None:
        self.is_processing_scheduled = False
        if self.transport.is_closing():
            return
        if self.state is not ConnectionState.OPEN:
            self._reject_received_commands()
            self.flush()
            return
        was_behind = self.has_unprocessed_commands
        self._process_commands()
        if was_behind and not self.has_unprocessed_commands:
            self._schedule_processing()  # what is read in this iteration waits for the next

    def _next_command(self) -> list[bytes | None] | None:
        unread = self.reader.unread_bytes()
        if self.command_arrived_at is None and unread:
            self.command_arrived_at = self.arrival_times.first_of(unread)
        return self.reader.next_command()

    def _can_process(self) -> bool:
        if self.is_writing_paused:
            return False
        return len(self.pending_replies) < MAX_PENDING_REPLIES or self._can_shed()

    def _append_reply(self, pending: PendingReply) -> None:
        if self.is_shedding:
            self.pending_replies.append_shed(pending)
        else:
            self.pending_replies.append(pending)

    # Shedding.

    def _can_shed(self) -> bool:
        return (
            self.further_input_allowance > 0
            and self.held_reply_bytes < MAX_UNREAD_REPLY_BYTES
            and not self.listener.reply_budget.is_crowded()
        )

    def read_further(self) -> None:
        """Reads on although reading is paused, to find the end of the stream of a client that closed.

        While the receive window is full, the system can't report it. Further operations get BUSY until
        replies have been sent; input behind an invalid command is discarded.
        """
        if self.transport.is_closing():
            return
        if self.state is ConnectionState.OPEN:
            self.is_shedding = True
            self.further_input_allowance = FURTHER_INPUT_ALLOWANCE
            self._schedule_processing()
        elif self.discards_input:
            self.further_input_allowance = FURTHER_INPUT_ALLOWANCE
            self._update_reading()

    def _end_shedding(self) -> None:
        if self.is_shedding:
            self.is_shedding = False
            self.further_input_allowance = 0
            self._schedule_processing()

    def _add_protocol_error(self, text: str) -> None:
        self.pending_replies.append(PendingReply(self, encode_error(f"ERR Protocol error: {text}")))

    def _reject_received_commands(self) -> None:
        # A command that was read is owed a reply, and its client will not send it again.
        try:
            for _ in range(MAX_COMMANDS_PER_TURN):
                arguments = self.reader.next_command()
                if arguments is None:
                    break
                self.pending_replies.append_shed(self.listener.dispatcher.dispatch(arguments, self))
            else:
                self._schedule_processing()
                return
        except ProtocolError as protocol_error:
            self._add_protocol_error(str(protocol_error))
        self._reset_reader()

    # Flow control.

    def _update_reading(self) -> None:
        # Reading pauses while commands can't be processed, to bound the buffer. But a close is not detected
        # while reading is paused, and a client that left would still be served; so a part is read ahead, and
        # `paused_clients` has the rest shed if the pause lasts.
        read_ahead_bytes = max(0, self.reader.unread_bytes() - self.reader.reserved_bytes)
        self.listener.read_ahead_bytes += read_ahead_bytes - self.read_ahead_bytes
        self.read_ahead_bytes = read_ahead_bytes
        if self.transport.is_closing():
            return
        pause = self._must_pause_reading()
        if pause != self.is_reading_paused:
            self.is_reading_paused = pause
            (self.transport.pause_reading if pause else self.transport.resume_reading)()
        if (pause and not self.is_processing_scheduled) or self.is_shedding:
            self.listener.paused_clients.add(self)
        else:
            self.listener.paused_clients.discard(self)

    def _must_pause_reading(self) -> bool:
        if self.state is ConnectionState.LINGERING:
            return not self.discards_input or self.discarded_bytes > MAX_DISCARDED_BYTES
        if self.state is ConnectionState.FINISHING:
            return not self.discards_input or not self.further_input_allowance
        must_wait = self.is_processing_scheduled or not self._can_process()
        is_full = self.read_ahead_bytes >= MAX_READ_AHEAD or self.listener.is_read_ahead_exhausted()
        return must_wait and is_full

    def pause_writing(self) -> None:
        """Stops processing commands: the client does not read its replies (`asyncio.BufferedProtocol`)."""
        self.is_writing_paused = True
        self.writing_paused_at = self.listener.loop.time()
        self._update_reading()

    def resume_writing(self) -> None:
        """Resumes processing: the client has read most of its replies (`asyncio.BufferedProtocol`)."""
        self.is_writing_paused = False
        self._update_reading()
        self._schedule_processing()

    def has_room_for(self, pending: PendingReply, size: int) -> bool:
        """Returns whether a reply of `size` bytes may be held until the client has received it."""
        waits_for_others = not self.pending_replies.is_next(pending)
        return self.listener.reply_budget.admits(size, is_pipelined=waits_for_others)

    def count_held_replies(self) -> None:
        """Counts the bytes of the complete replies that have not left this process."""
        unread_bytes = self.transport.get_write_buffer_size()
        if not unread_bytes or unread_bytes < self.unread_reply_bytes:
            self.last_read_at = self.listener.loop.time()
        self.unread_reply_bytes = unread_bytes
        self._set_held_replies(unread_bytes + self.pending_replies.complete_bytes())

    def _set_held_replies(self, size: int) -> None:
        self.listener.reply_budget.release(self.held_reply_bytes - size)
        self.held_reply_bytes = size

    def flush(self) -> None:
        """Sends the replies up to the first incomplete one."""
        self._write_replies()
        self.count_held_replies()

    def _write_replies(self) -> None:
        replies = self.pending_replies.take_complete()
        if self.transport.is_closing():
            return
        if replies:
            self.transport.write(replies)
            self.last_active_at = self.last_reply_at = self.listener.loop.time()
        if self.state is not ConnectionState.OPEN:
            if not self.pending_replies and not self.is_processing_scheduled:
                self._linger()
        elif self.is_shedding and len(self.pending_replies) <= RESUME_PENDING_REPLIES:
            self.listener.loop.call_later(RESET_TIME, self._end_shedding)
        elif (
            self.has_unprocessed_commands
            and not self.is_writing_paused
            and len(self.pending_replies) <= RESUME_PENDING_REPLIES
        ):
            self._schedule_processing()
        elif self.listener.is_shutting_down and not self.pending_replies:
            self.close_when_quiet()

    # Closing.

    def finish(self, discards_input: bool = False) -> None:
        """Stops accepting commands; the connection ends after its pending replies were sent.

        Operations that were received and not submitted are rejected.

        Args:
            discards_input: Whether to read and discard further input, so that the client reads the error
                instead of a reset. Only after invalid input: a valid command that arrives during the close
                must stay unread, since the reset makes its client retry it.
        """
        if self.state is not ConnectionState.OPEN:
            return
        self.state = ConnectionState.FINISHING
        self.discards_input = discards_input
        self.further_input_allowance = FURTHER_INPUT_ALLOWANCE
        self._schedule_processing()
        self._update_reading()

    def _reset_reader(self) -> None:
        self.reader.close()
        self.reader = CommandReader(self.listener.partial_command_budget)
        self._update_reading()

    def finish_with_error(self, text: str) -> None:
        """Sends an error after the pending replies and stops accepting commands."""
        self.pending_replies.append(PendingReply(self, encode_error(text)))
        self.finish()
        self.flush()

    def _linger(self) -> None:
        if self.state is not ConnectionState.LINGERING:
            self.state = ConnectionState.LINGERING
            self.lingering_close = LingeringClose(self)
            self._update_reading()

    def close_when_quiet(self) -> None:
        """During a shutdown, closes the connection once it is quiet with no pending reply.

        Closing right after a reply would lose the next command of a client that sends one at once.
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
        quiet_time = NEW_CLIENT_GRACE if may_be_new else QUIET_TIME
        if self.listener.loop.time() - self.last_active_at < quiet_time:
            self.close_when_quiet()
            return
        self.finish()
        self._linger()

    def eof_received(self) -> bool:
        """Treats the client as gone and abandons its operations (`asyncio.BufferedProtocol`).

        Unread replies in the buffer may delay `connection_lost`.
        """
        self.abandon_operations()
        return False

    def abandon_operations(self) -> None:
        """Reports the unanswered operations of a client that has gone."""
        for pending in self.pending_replies:
            if pending.op_id is not None and pending.reply is None:
                self.listener.on_client_gone(pending.op_id)
                pending.op_id = None

    def withdraw_operations(self) -> None:
        """Has the operations answered at once; the replies bring a reset if the client has gone."""
        for pending in list(self.pending_replies):
            if pending.op_id is not None and pending.reply is None:
                self.listener.on_withdrawn(pending.op_id)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cleans up after the connection ended (`asyncio.BufferedProtocol`)."""
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.FINISHING
        self._reset_reader()
        self.abandon_operations()
        self.pending_replies.clear()
        if self.lingering_close is not None:
            self.lingering_close.cancel()
            self.lingering_close = None
        self._set_held_replies(0)
        self.listener.remove_client(self)
