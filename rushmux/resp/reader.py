"""Base of the command and reply readers: splits a bounded buffer into lines and bulk strings."""

from rushmux.resp.errors import InvalidLengthError, InvalidSyntaxError, LimitExceededError

CRLF = b"\r\n"
MAX_HEADER_BYTES = 16
"""Longest header line, a type byte and a length."""
NULL_LENGTH = -1
"""The length that encodes a null."""


def parse_length(digits: bytes, limit: int) -> int:
    """Parses a length or count from 0 to `limit`, or NULL_LENGTH; raises InvalidLengthError."""
    if digits == b"-1":
        return NULL_LENGTH
    if not digits.isdigit() or len(digits) > MAX_HEADER_BYTES or int(digits) > limit:
        found = bytes(digits[:MAX_HEADER_BYTES])
        raise InvalidLengthError(f"length {found!r} where 0 to {limit} may stand", found)
    return int(digits)


class BufferedReader:
    """Buffers received bytes and splits them into lines and bulk strings.

    Each length is checked as soon as its header is read, before its data is buffered.

    Attributes:
        buffer: Received bytes.
        position: Index of the first unread byte.
    """

    def __init__(self):
        self.buffer = bytearray()
        self.position = 0

    def receive_data(self, data: bytes | memoryview) -> None:
        """Appends a copy of received bytes to the buffer."""
        self.compact()
        self.buffer += data

    def compact(self) -> None:
        """Frees the memory of the received bytes that are part of returned values."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0

    def unread_bytes(self) -> int:
        """Returns the number of received bytes that are not part of a returned value."""
        return len(self.buffer) - self.position

    def _next_line(self, limit: int) -> bytearray | None:
        # Returns the next line without CRLF, or None if incomplete.
        end = self.buffer.find(CRLF, self.position, self.position + limit + len(CRLF))
        if end < 0:
            if self.unread_bytes() > limit:
                raise LimitExceededError(f"a line of over {limit} bytes", self.unread_bytes())
            return None
        line = self.buffer[self.position : end]
        self.position = end + len(CRLF)
        return line

    def _next_bulk(self, length: int) -> bytes | None:
        # Returns a bulk string's bytes, or None if incomplete. CRLF must follow them.
        end = self.position + length
        if len(self.buffer) < end + len(CRLF):
            return None
        if self.buffer[end : end + len(CRLF)] != CRLF:
            raise InvalidSyntaxError("a bulk string that does not end where its length says", length)
        bulk = bytes(self.buffer[self.position : end])
        self.position = end + len(CRLF)
        return bulk
