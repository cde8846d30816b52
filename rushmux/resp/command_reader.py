"""Reads clients' commands: arrays of bulk strings."""

from rushmux.resp.errors import InvalidLengthError, InvalidSyntaxError, LimitExceededError
from rushmux.resp.reader import MAX_HEADER_BYTES, BufferedReader, parse_length

MAX_VALUE_BYTES = 65_536
"""Bytes of a value that a client sends, from the platform's protocol."""
MAX_ARGUMENTS = 16
"""Of a command: five for a write, a few more for what libraries greet with."""
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4_096
"""Bytes of a command's arguments together."""
ARRAY, BULK = b"*$"


class CommandReader(BufferedReader):
    """Reads commands, each as the list of its arguments.

    Attributes:
        arguments: Those read of the incomplete command.
        missing: Arguments that it still lacks; 0: no command has begun.
        length: Of the next argument; None: its header was not read.
        command_bytes: Bytes of its arguments so far.
    """

    def __init__(self):
        super().__init__()
        self.arguments: list[bytes] = []
        self.missing = 0
        self.length: int | None = None
        self.command_bytes = 0

    def has_partial_command(self) -> bool:
        """Returns whether a command has begun and is incomplete."""
        return bool(self.missing or self.unread_bytes())

    def next_command(self) -> list[bytes] | None:
        """Returns the next command's arguments; None: it is incomplete.  ProtocolError."""
        while True:
            if self.length is None:
                line = self._next_header()
                if line is None:
                    return None
                if not self.missing:
                    self._begin_command(line)
                    continue
                self._begin_argument(line)
            argument = self._next_bulk(self.length)
            if argument is None:
                return None
            self.arguments.append(argument)
            self.length = None
            self.missing -= 1
            if not self.missing:
                arguments, self.arguments = self.arguments, []
                return arguments

    def _next_header(self) -> bytearray | None:
        # A line without an end is known by its first byte.
        if self.unread_bytes() and self.buffer[self.position] != (BULK if self.missing else ARRAY):
            raise InvalidSyntaxError("a command is an array of bulk strings", self.buffer[self.position])
        return self._next_line(MAX_HEADER_BYTES)

    def _begin_command(self, line: bytearray) -> None:
        self.missing = parse_length(line[1:], MAX_ARGUMENTS)
        self.command_bytes = 0
        if self.missing < 1:
            raise InvalidLengthError("a command without words", self.missing)

    def _begin_argument(self, line: bytearray) -> None:
        self.length = parse_length(line[1:], MAX_VALUE_BYTES)
        self.command_bytes += self.length
        if self.length < 0 or self.command_bytes > MAX_COMMAND_BYTES:
            raise LimitExceededError("a command too large, or with a null in it", self.command_bytes)
