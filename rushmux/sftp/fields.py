"""Decodes and encodes the fields of SFTP packets."""

import struct
from collections.abc import Callable
from typing import Any, NamedTuple

U32, U64 = struct.Struct(">I"), struct.Struct(">Q")

# Flags of the fields present in attributes.
HAS_SIZE, HAS_OWNER, HAS_MODE, HAS_TIMES, HAS_EXTENDED = 1, 2, 4, 8, 0x80000000


class ProtocolError(Exception):
    """Data is not a valid packet.

    Attributes:
        request_id: The packet's id; None: it could not be read.
        ends_stream: Whether the rest of the stream cannot be decoded.
    """

    def __init__(self, reason: str, request_id: int | None = None, ends_stream: bool = False):
        super().__init__(reason)
        self.request_id, self.ends_stream = request_id, ends_stream


class Attributes(NamedTuple):
    """File attributes; None: not present.  Times are whole seconds since 1970."""

    size: int | None = None
    uid: int | None = None
    gid: int | None = None
    mode: int | None = None
    atime: int | None = None
    mtime: int | None = None


class Name(NamedTuple):
    """One entry of a listing."""

    name: str
    long_name: str
    attributes: Attributes


class FieldReader:
    """Reads a packet's fields in order; raises ProtocolError past its end."""

    def __init__(self, data: bytes | memoryview, position: int = 0):
        self.data, self.position = data, position

    def _take(self, count: int) -> bytes | memoryview:
        available = len(self.data) - self.position
        if count > available:
            raise ProtocolError(f"a field of {count} bytes where {available} are left")
        self.position += count
        return self.data[self.position - count : self.position]

    def has_more(self) -> bool:
        """Whether any bytes are left."""
        return self.position < len(self.data)

    def u32(self) -> int:
        """Reads a four-byte number."""
        return U32.unpack(self._take(U32.size))[0]

    def u64(self) -> int:
        """Reads an eight-byte number."""
        return U64.unpack(self._take(U64.size))[0]

    def raw(self) -> bytes:
        """Reads length-prefixed bytes."""
        return bytes(self._take(self.u32()))

    def text(self) -> str:
        """Reads length-prefixed UTF-8 text."""
        try:
            return self.raw().decode()
        except UnicodeDecodeError as error:
            raise ProtocolError(f"text that is not UTF-8: {error.reason}") from error

    def attributes(self) -> Attributes:
        """Reads attributes and skips extended ones."""
        flags = self.u32()
        size = self.u64() if flags & HAS_SIZE else None
        uid, gid = (self.u32(), self.u32()) if flags & HAS_OWNER else (None, None)
        mode = self.u32() if flags & HAS_MODE else None
        atime, mtime = (self.u32(), self.u32()) if flags & HAS_TIMES else (None, None)
        if flags & HAS_EXTENDED:
            for _ in range(self.u32()):
                self.raw()  # type
                self.raw()  # data
        return Attributes(size, uid, gid, mode, atime, mtime)

    def names(self) -> tuple[Name, ...]:
        """Reads the entries of a listing, prefixed by their number."""
        return tuple(Name(self.text(), self.text(), self.attributes()) for _ in range(self.u32()))

    def pairs(self) -> tuple[tuple[str, bytes], ...]:
        """Reads extensions' names and data up to the packet's end."""
        pairs = []
        while self.has_more():
            pairs.append((self.text(), self.raw()))
        return tuple(pairs)

    def rest(self) -> bytes:
        """Reads all remaining bytes."""
        return bytes(self._take(len(self.data) - self.position))


def _encode_raw(value: bytes) -> bytes:
    return U32.pack(len(value)) + value


def _encode_text(value: str) -> bytes:
    return _encode_raw(value.encode())


def _encode_attributes(value: Attributes) -> bytes:
    flags = (
        (value.size is not None) * HAS_SIZE
        | (value.uid is not None) * HAS_OWNER
        | (value.mode is not None) * HAS_MODE
        | (value.mtime is not None) * HAS_TIMES
    )
    parts = [U32.pack(flags)]
    if value.size is not None:
        parts.append(U64.pack(value.size))
    if value.uid is not None:
        parts += [U32.pack(value.uid), U32.pack(value.gid or 0)]
    if value.mode is not None:
        parts.append(U32.pack(value.mode))
    if value.mtime is not None:
        parts += [U32.pack(value.atime or 0), U32.pack(value.mtime)]
    return b"".join(parts)


def _encode_names(value: tuple[Name, ...]) -> bytes:
    parts = [U32.pack(len(value))]
    for row in value:
        parts += [_encode_text(row.name), _encode_text(row.long_name), _encode_attributes(row.attributes)]
    return b"".join(parts)


def _encode_pairs(value: tuple[tuple[str, bytes], ...]) -> bytes:
    return b"".join(_encode_text(name) + _encode_raw(data) for name, data in value)


ENCODERS: dict[str, Callable[[Any], bytes]] = {
    "u32": U32.pack,
    "u64": U64.pack,
    "text": _encode_text,
    "attributes": _encode_attributes,
    "raw": _encode_raw,
    "rest": bytes,
    "names": _encode_names,
    "pairs": _encode_pairs,
}
"""Kind of a field (the name of its `FieldReader` method) -> its encoder."""
