"""What the readers of both directions share: lines and bulk strings out of a bounded buffer."""

from rushmux.resp.errors import InvalidLengthError, InvalidSyntaxError, LimitExceededError

CRLF = b"\r\n"
MAX_HEADER_BYTES = 16
"""Bytes of a header line: a sign and a length."""
NULL_LENGTH = -1
"""The length that stands for RESP2's null."""


def parse_length(digits: bytes, limit: int) -> int:
    """Returns a length or count from 0 to `limit`, or NULL_LENGTH; InvalidLengthError."""
    if digits == b"-1":
        return NULL_LENGTH
    if not digits.isdigit() or len(digits) > MAX_HEADER_BYTES or int(digits) > limit:
        found = bytes(digits[:MAX_HEADER_BYTES])
        raise InvalidLengthError(f"length {found!r} where 0 to {limit} may stand", found)
    return int(digits)


class BufferedReader:
    """Splits received bytes into lines and bulk strings, and keeps those not read yet.

    Every length is checked when its header is read, before a byte of what it announces is kept.

    Attributes:
        buffer: Received bytes.
        position: Of the first byte not read.
    """

    def __init__(self):
        self.buffer = bytearray()
        self.position = 0

    def receive_data(self, data: bytes) -> None:
        """Takes bytes as they come."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0
        self.buffer += data

    def unread_bytes(self) -> int:
        """Returns how many bytes came that belong to no value returned so far."""
        return len(self.buffer) - self.position

    def _next_line(self, limit: int) -> bytearray | None:
        # The next line without its end; LimitExceededError once it grows past `limit` bytes.
        end = self.buffer.find(CRLF, self.position, self.position + limit + len(CRLF))
        if end < 0:
            if self.unread_bytes() > limit:
                raise LimitExceededError(f"a line of over {limit} bytes", self.unread_bytes())
            return None
        line = self.buffer[self.position : end]
        self.position = end + len(CRLF)
        return line

    def _next_bulk(self, length: int) -> bytes | None:
        # The bytes of a bulk string, which a line's end must follow.
        end = self.position + length
        if len(self.buffer) < end + len(CRLF):
            return None
        if self.buffer[end : end + len(CRLF)] != CRLF:
            raise InvalidSyntaxError("a bulk string that does not end where its length says", length)
        bulk = bytes(self.buffer[self.position : end])
        self.position = end + len(CRLF)
        return bulk
