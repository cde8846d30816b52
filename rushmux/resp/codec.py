"""Readers of RESP2 that keep no byte past its bound, and writers.

A reader is fed bytes as they come and gives whole values by `next`, None while there is none.
Every length is checked when its header is read, before a byte of what it claims is kept.
`Malformed` says that the rest of the connection can't be read.
"""

MOST_VALUE = 65_536  # bytes of a value that a client sends, from the platform's protocol
MOST_REPLY = 1 << 20  # bytes of a value that a node gives: 400,000 were seen, the page says 64 KiB
MOST_WORDS = 16  # words of a command: five for a write, a few more for what libraries greet with
MOST_COMMAND = MOST_VALUE + 4_096  # bytes of a command's words together
MOST_HEADER = 16  # bytes of a header line: a sign and a length
MOST_LINE = 512  # bytes of a line that holds text: an error with its figures
MOST_PARTS = 8  # elements of an array in a reply: three are usual
END = b"\r\n"


class Malformed(Exception):
    """Bytes that the protocol does not allow; nothing after them can be read."""


def number(digits, most):
    """A length or a count from 0 to `most`; -1 is the null of RESP2."""
    if digits == b"-1":
        return -1
    if not digits.isdigit() or len(digits) > MOST_HEADER or int(digits) > most:
        raise Malformed(f"length {bytes(digits[:MOST_HEADER])!r} where 0 to {most} may stand")
    return int(digits)


class Reader:
    """What both directions share: lines and bulks out of a buffer that holds what was not read yet."""

    def __init__(self):
        self.buffer, self.at = bytearray(), 0

    def feed(self, data: bytes):
        if self.at:
            del self.buffer[: self.at]
            self.at = 0
        self.buffer += data

    def held(self) -> int:
        """Bytes that came and belong to no value given so far."""
        return len(self.buffer) - self.at

    def line(self, most):
        """The next line without its end, or None; one that grows past `most` bytes is Malformed."""
        end = self.buffer.find(END, self.at, self.at + most + len(END))
        if end < 0:
            if self.held() > most:
                raise Malformed(f"a line of over {most} bytes")
            return None
        line, self.at = self.buffer[self.at : end], end + len(END)
        return line

    def body(self, length):
        """A bulk's bytes, or None; they must be followed by a line's end."""
        end = self.at + length
        if len(self.buffer) < end + len(END):
            return None
        if self.buffer[end : end + len(END)] != END:
            raise Malformed("a bulk string that does not end where its length says")
        body, self.at = bytes(self.buffer[self.at : end]), end + len(END)
        return body


class Commands(Reader):
    """Reads commands: arrays of bulk strings, each given as a list of words."""

    def __init__(self):
        super().__init__()
        self.words, self.missing, self.length, self.size = [], 0, None, 0

    def partial(self) -> bool:
        """Whether a command has begun and is not whole."""
        return bool(self.missing or self.held())

    def next(self):
        """The next command, or None."""
        while True:
            if self.length is None:
                # Danger: a line without end.  Its first byte tells, before the line is there.
                if self.held() and self.buffer[self.at] != (b"$" if self.missing else b"*")[0]:
                    raise Malformed("a command is an array of bulk strings")
                line = self.line(MOST_HEADER)
                if line is None:
                    return None
                if not self.missing:
                    self.missing, self.size = number(line[1:], MOST_WORDS), 0
                    if self.missing < 1:
                        raise Malformed("a command without words")
                    continue
                self.length = number(line[1:], MOST_VALUE)
                self.size += self.length
                if self.length < 0 or self.size > MOST_COMMAND:
                    raise Malformed("a command too large, or with a null in it")
            word = self.body(self.length)
            if word is None:
                return None
            self.words.append(word)
            self.length, self.missing = None, self.missing - 1
            if not self.missing:
                words, self.words = self.words, []
                return words


class Replies(Reader):
    """Reads replies: (kind, value) with kind one of + - : $ *.  A null is None; an array holds values
    of the other kinds.
    """

    def __init__(self):
        super().__init__()
        self.kind = self.length = self.parts = None
        self.missing = 0

    def next(self):
        """The next reply, or None."""
        while True:
            kind, value = self.scalar()
            if kind is None:
                return None
            if kind == "*" and (self.parts is not None or value is not None):
                if self.parts is not None:
                    raise Malformed("an array within an array")
                self.parts, self.missing = [], value
            elif self.parts is None:
                return kind, value
            else:
                self.parts.append(value)
                self.missing -= 1
            if not self.missing:
                parts, self.parts = self.parts, None
                return "*", parts

    def scalar(self):
        """Kind and value of the next element; for an array its count.  (None, None): not there yet."""
        if self.length is None:
            if self.held() and self.buffer[self.at] not in b"+-:$*":
                raise Malformed("no kind of reply")
            line = self.line(MOST_LINE)
            if line is None:
                return None, None
            kind, rest = chr(line[0]) if line else "", line[1:]
            if kind == "*":
                count = number(rest, MOST_PARTS)
                return kind, count if count >= 0 else None
            if kind != "$":
                if kind == "":
                    raise Malformed("an empty line")
                if b"\r" in rest or b"\n" in rest:
                    raise Malformed("half a line's end within a line")
                return kind, bytes(rest)
            length = number(rest, MOST_REPLY)
            if length < 0:
                return kind, None
            self.length = length
        value = self.body(self.length)
        if value is None:
            return None, None
        self.length = None
        return "$", value


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(text: str) -> bytes:
    """An error line; what would end it early is left out."""
    return b"-" + text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ") + END


def command(words) -> bytes:
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))
