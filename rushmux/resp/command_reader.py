"""Parser of clients' commands, which are arrays of bulk strings."""

from typing import Protocol

from rushmux.resp.errors import InvalidLengthError, InvalidSyntaxError, LimitExceededError
from rushmux.resp.reader import CRLF, MAX_HEADER_BYTES, BufferedReader, parse_length

MAX_VALUE_BYTES = 65_536
"""Largest value a client may send, by the platform's protocol."""
MAX_ARGUMENTS = 16
"""A write has five arguments, the setup commands of client libraries a few more."""
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4_096
"""Total bytes of a command's arguments."""
MAX_UNRESERVED_BYTES = 1_024
"""Total bytes of a command's arguments up to which no memory has to be reserved for them."""
ARRAY, BULK = b"*$"


class MemoryBudget(Protocol):
    """Limits the bytes that all readers together hold of incomplete commands."""

    def reserve(self, size: int) -> bool:
        """Reserves `size` bytes if they are available; returns whether it did."""

    def release(self, size: int) -> None:
        """Returns `size` reserved bytes."""


class CommandReader(BufferedReader):
    """Parses commands into lists of arguments.

    With a budget, an argument for which no memory is available is discarded as it arrives; None stands in
    its place in the command.  Call `close` when nothing more will be read.

    Attributes:
        budget: Memory for the arguments of incomplete commands; None if it is not limited.
        reserved_bytes: Bytes reserved for the current command.
        discarded_bytes: Bytes still to be discarded of the current argument; None if it is kept.
        arguments: Arguments of the current command read so far.
        missing_arguments: Arguments still to be read; 0 between commands.
        bulk_length: Length of the next argument; None until its header is read.
        command_bytes: Bytes announced for the current command's arguments.
    """

    def __init__(self, budget: MemoryBudget | None = None):
        super().__init__()
        self.budget = budget
        self.reserved_bytes = 0
        self.discarded_bytes: int | None = None
        self.arguments: list[bytes | None] = []
        self.missing_arguments = 0
        self.bulk_length: int | None = None
        self.command_bytes = 0

    def has_partial_command(self) -> bool:
        """Returns whether part of a command has been received."""
        return bool(self.missing_arguments or self.unread_bytes())

    def close(self) -> None:
        """Drops what was received of an incomplete command."""
        self.buffer.clear()
        self.position = 0
        self._release()

    def next_command(self) -> list[bytes | None] | None:
        """Returns the next command's arguments, or None if it is incomplete; raises ProtocolError.

        An argument that was discarded is None.
        """
        while True:
            if self.bulk_length is None:
                line = self._next_header()
                if line is None:
                    return None
                if not self.missing_arguments:
                    self._begin_command(line)
                    continue
                self._begin_argument(line)
            if not self._read_argument():
                return None
            self.bulk_length = None
            self.missing_arguments -= 1
            if not self.missing_arguments:
                self._release()
                arguments, self.arguments = self.arguments, []
                return arguments

    def _read_argument(self) -> bool:
        # Reads or discards the current argument; returns whether it is complete.
        if self.discarded_bytes is not None:
            if not self._discard_bulk():
                return False
            self.arguments.append(None)
            return True
        argument = self._next_bulk(self.bulk_length)
        if argument is None:
            return False
        self.arguments.append(argument)
        return True

    def _discard_bulk(self) -> bool:
        size = min(self.discarded_bytes, self.unread_bytes())
        self.position += size
        self.discarded_bytes -= size
        if self.discarded_bytes or self._next_bulk(0) is None:
            return False
        self.discarded_bytes = None
        return True

    def _release(self) -> None:
        if self.reserved_bytes:
            self.budget.release(self.reserved_bytes)
            self.reserved_bytes = 0

    def _next_header(self) -> bytearray | None:
        # The first byte is checked before the end of the line has arrived.
        if self.unread_bytes() and self.buffer[self.position] != (BULK if self.missing_arguments else ARRAY):
            raise InvalidSyntaxError("a command is an array of bulk strings", self.buffer[self.position])
        return self._next_line(MAX_HEADER_BYTES)

    def _begin_command(self, line: bytearray) -> None:
        self.missing_arguments = parse_length(line[1:], MAX_ARGUMENTS)
        self.command_bytes = 0
        if self.missing_arguments < 1:
            raise InvalidLengthError("a command without words", self.missing_arguments)

    def _begin_argument(self, line: bytearray) -> None:
        self.bulk_length = parse_length(line[1:], MAX_VALUE_BYTES)
        self.command_bytes += self.bulk_length
        if self.bulk_length < 0 or self.command_bytes > MAX_COMMAND_BYTES:
            raise LimitExceededError("a command too large, or with a null in it", self.command_bytes)
        self._reserve_argument()

    def _reserve_argument(self) -> None:
        if self.budget is None or self.command_bytes <= MAX_UNRESERVED_BYTES:
            return
        if self.unread_bytes() >= self.bulk_length + len(CRLF):  # it is read at once
            return
        if self.budget.reserve(self.bulk_length):
            self.reserved_bytes += self.bulk_length
        else:
            self.discarded_bytes = self.bulk_length
