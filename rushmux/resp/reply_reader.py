"""Parser of nodes' replies."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from rushmux.resp.errors import InvalidSyntaxError
from rushmux.resp.reader import BufferedReader, parse_length

MAX_REPLY_VALUE_BYTES = 1 << 20
"""Largest value a node may return. The protocol says 64 KiB, but nodes have sent 400,000 bytes."""
MAX_LINE_BYTES = 512
"""Longest line, such as an error with usage figures."""
MAX_ARRAY_ELEMENTS = 8
"""A node's reply usually has three elements."""


class ReplyKind(StrEnum):
    """Type of a reply, as its first byte."""

    SIMPLE_STRING = "+"
    ERROR = "-"
    INTEGER = ":"
    BULK = "$"
    ARRAY = "*"


class Reply(NamedTuple):
    """A reply, or an element of one that is an array."""

    kind: ReplyKind
    value: bytes | list[Reply] | None
    """The elements of an array, the bytes of any other kind; None for a null."""


KIND_BY_BYTE = {ord(kind): kind for kind in ReplyKind}
"""Reply types by first byte."""
ARRAY, BULK = ReplyKind.ARRAY, ReplyKind.BULK


class ReplyReader(BufferedReader):
    """Parses replies.

    Attributes:
        bulk_length: Length of the current bulk string; None until its header is read.
        elements: Elements read of the current array; None outside an array.
        missing_elements: Elements of the array still to be read.
    """

    def __init__(self):
        super().__init__()
        self.bulk_length: int | None = None
        self.elements: list[Reply] | None = None
        self.missing_elements = 0

    def next_reply(self) -> Reply | None:
        """Returns the next reply, or None if it is incomplete; raises ProtocolError."""
        while True:
            kind, value = self._next_element()
            if kind is None:
                return None
            if kind is ARRAY and (self.elements is not None or value is not None):
                if self.elements is not None:
                    raise InvalidSyntaxError("nested array", value)
                self.elements, self.missing_elements = [], value
            elif self.elements is None:
                return Reply(kind, value)
            else:
                self.elements.append(Reply(kind, value))
                self.missing_elements -= 1
            if not self.missing_elements:
                elements, self.elements = self.elements, None
                return Reply(ARRAY, elements)

    def _next_element(self) -> tuple[ReplyKind | None, bytes | int | None]:
        # Returns kind and value of the next element; for an array, its length; (None, None) if incomplete.
        if self.bulk_length is None:
            # The first byte is checked before the end of the line has arrived.
            if self.unread_bytes() and self.buffer[self.position] not in KIND_BY_BYTE:
                raise InvalidSyntaxError("unknown reply type", self.buffer[self.position])
            line = self._next_line(MAX_LINE_BYTES)
            if line is None:
                return None, None
            kind, rest = KIND_BY_BYTE[line[0]], line[1:]
            if kind is ARRAY:
                count = parse_length(rest, MAX_ARRAY_ELEMENTS)
                return kind, count if count >= 0 else None
            if kind is not BULK:
                if b"\r" in rest or b"\n" in rest:
                    raise InvalidSyntaxError("CR or LF within a line", bytes(rest))
                return kind, bytes(rest)
            length = parse_length(rest, MAX_REPLY_VALUE_BYTES)
            if length < 0:
                return kind, None
            self.bulk_length = length
        value = self._next_bulk(self.bulk_length)
        if value is None:
            return None, None
        self.bulk_length = None
        return BULK, value
