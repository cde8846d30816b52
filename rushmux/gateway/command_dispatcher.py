"""Dispatches clients' commands to operations, fixed replies or errors."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from rushmux.gateway import commands
from rushmux.gateway.client_connection import ClientConnection
from rushmux.gateway.config import GatewayConfig
from rushmux.gateway.errors import InvalidCommandError
from rushmux.gateway.pending_replies import PendingReply
from rushmux.resp import encode_error

if TYPE_CHECKING:
    from rushmux.gateway.listener import Listener

PONG, OK, BUSY = b"+PONG\r\n", b"+OK\r\n", b"-BUSY\r\n"
UNKNOWN_COMMAND = encode_error("ERR unknown command")


class CommandDispatcher:
    """Validates commands and submits operations.

    Attributes:
        on_request: Called as `on_request(command, pending_reply)` to submit an operation; may raise
            InvalidCommandError.
    """

    def __init__(
        self,
        listener: Listener,
        config: GatewayConfig,
        on_request: Callable[[commands.Command, PendingReply], None],
    ):
        self.listener = listener
        self.config = config
        self.on_request = on_request

    def dispatch(self, arguments: list[bytes | None], client: ClientConnection) -> PendingReply:
        """Executes one command and returns its pending reply, which may be complete already."""
        if None in arguments:  # there was no memory for an argument
            return PendingReply(client, BUSY)
        name = arguments[0].upper()
        if name in (commands.READ, commands.WRITE):
            return self._dispatch_operation(arguments, client)
        if name == b"PING":
            return PendingReply(client, PONG)
        if name in (b"CLIENT", b"SELECT"):
            return PendingReply(client, OK)
        client.protocol_errors += name != b"HELLO"  # client libraries send HELLO but work without it
        return PendingReply(client, UNKNOWN_COMMAND)

    def _dispatch_operation(self, arguments: list[bytes], client: ClientConnection) -> PendingReply:
        # The connection may end, or have too many unanswered commands.
        if not client.accepts_operations():
            return PendingReply(client, BUSY)
        pending = PendingReply(client)
        is_first = not client.has_requested_operation
        client.has_requested_operation = True
        stats = self.listener.stats
        if is_first and self.listener.is_over_capacity():
            stats.rejected_clients += 1
            client.ends_after_reply = True
            return PendingReply(client, BUSY)
        try:
            self.on_request(commands.parse_command(arguments, self.config), pending)
            stats.accepted_operations += 1
        except InvalidCommandError as error:
            stats.invalid_commands += 1
            client.protocol_errors += 1
            pending.reply = encode_error(f"ERR {error}")
        return pending
