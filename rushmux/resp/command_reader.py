"""Parser of clients' commands, which are arrays of bulk strings."""

from rushmux.resp.errors import InvalidLengthError, InvalidSyntaxError, LimitExceededError
from rushmux.resp.reader import MAX_HEADER_BYTES, BufferedReader, parse_length

MAX_VALUE_BYTES = 65_536
"""Largest value a client may send, by the platform's protocol."""
MAX_ARGUMENTS = 16
"""A write has five arguments, the setup commands of client libraries a few more."""
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4_096
"""Total bytes of a command's arguments."""
ARRAY, BULK = b"*$"


class CommandReader(BufferedReader):
    """Parses commands into lists of arguments.

    Attributes:
        arguments: Arguments of the current command read so far.
        missing_arguments: Arguments still to be read; 0 between commands.
        bulk_length: Length of the next argument; None until its header is read.
        command_bytes: Bytes announced for the current command's arguments.
    """

    def __init__(self):
        super().__init__()
        self.arguments: list[bytes] = []
        self.missing_arguments = 0
        self.bulk_length: int | None = None
        self.command_bytes = 0

    def has_partial_command(self) -> bool:
        """Returns whether part of a command has been received."""
        return bool(self.missing_arguments or self.unread_bytes())

    def next_command(self) -> list[bytes] | None:
        """Returns the next command's arguments, or None if it is incomplete; raises ProtocolError."""
        while True:
            if self.bulk_length is None:
                line = self._next_header()
                if line is None:
                    return None
                if not self.missing_arguments:
                    self._begin_command(line)
                    continue
                self._begin_argument(line)
            argument = self._next_bulk(self.bulk_length)
            if argument is None:
                return None
            self.arguments.append(argument)
            self.bulk_length = None
            self.missing_arguments -= 1
            if not self.missing_arguments:
                arguments, self.arguments = self.arguments, []
                return arguments

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
