"""Reads nodes' replies."""

from enum import StrEnum

from rushmux.resp.errors import InvalidSyntaxError
from rushmux.resp.reader import BufferedReader, parse_length

MAX_REPLY_VALUE_BYTES = 1 << 20
"""Bytes of a value that a node returns: 400,000 were seen, the protocol says 64 KiB."""
MAX_LINE_BYTES = 512
"""Bytes of a line that holds text: an error with its figures."""
MAX_ARRAY_ELEMENTS = 8
"""Of an array: three are usual."""


class ReplyKind(StrEnum):
    """The first byte of a reply or of an element of one."""

    SIMPLE_STRING = "+"
    ERROR = "-"
    INTEGER = ":"
    BULK = "$"
    ARRAY = "*"


KINDS = {ord(kind): kind for kind in ReplyKind}
"""By first byte."""
ARRAY, BULK = ReplyKind.ARRAY, ReplyKind.BULK


class ReplyReader(BufferedReader):
    """Reads replies.

    Attributes:
        length: Of the bulk string whose header was read.
        elements: Those read of the incomplete array; None: no array has begun.
        missing: Elements that it still lacks.
    """

    def __init__(self):
        super().__init__()
        self.length: int | None = None
        self.elements: list[bytes | None] | None = None
        self.missing = 0

    def next_reply(self) -> tuple[ReplyKind, bytes | list[bytes | None] | None] | None:
        """Returns kind and value of the next reply; None: it is incomplete.

        A null's value is None; an array's is the list of its elements' values, which are no arrays.

        Raises:
            ProtocolError: Nothing more can be read.
        """
        while True:
            kind, value = self._next_element()
            if kind is None:
                return None
            if kind is ARRAY and (self.elements is not None or value is not None):
                if self.elements is not None:
                    raise InvalidSyntaxError("an array within an array", value)
                self.elements, self.missing = [], value
            elif self.elements is None:
                return kind, value
            else:
                self.elements.append(value)
                self.missing -= 1
            if not self.missing:
                elements, self.elements = self.elements, None
                return ARRAY, elements

    def _next_element(self) -> tuple[ReplyKind | None, bytes | int | None]:
        # Kind and value of the next element; of an array the count.  (None, None): it is incomplete.
        if self.length is None:
            # A line without an end is known by its first byte.
            if self.unread_bytes() and self.buffer[self.position] not in KINDS:
                raise InvalidSyntaxError("no kind of reply", self.buffer[self.position])
            line = self._next_line(MAX_LINE_BYTES)
            if line is None:
                return None, None
            kind, rest = KINDS[line[0]], line[1:]
            if kind is ARRAY:
                count = parse_length(rest, MAX_ARRAY_ELEMENTS)
                return kind, count if count >= 0 else None
            if kind is not BULK:
                if b"\r" in rest or b"\n" in rest:
                    raise InvalidSyntaxError("half a line's end within a line", bytes(rest))
                return kind, bytes(rest)
            length = parse_length(rest, MAX_REPLY_VALUE_BYTES)
            if length < 0:
                return kind, None
            self.length = length
        value = self._next_bulk(self.length)
        if value is None:
            return None, None
        self.length = None
        return BULK, value
