"""SFTP version 3 (draft-ietf-secsh-filexfer-02): packets to values and back; no I/O.

A packet is four bytes of length, a type byte and its fields.  `Packets` cuts a stream into
packets, `decode` makes one value of a packet's bytes, `encode` the bytes of a value.  Both
sides of the protocol use the same classes, so a client is written with them as well.
"""

import struct
from typing import NamedTuple

VERSION = 3
MOST = 262_144 + 1_024  # bytes in a packet: what stock clients send at most, and its fields
U32, U64 = struct.Struct(">I"), struct.Struct(">Q")

# Status codes.
OK, EOF, NO_SUCH_FILE, PERMISSION_DENIED, FAILURE, BAD_MESSAGE = 0, 1, 2, 3, 4, 5
NO_CONNECTION, CONNECTION_LOST, OP_UNSUPPORTED = 6, 7, 8

# Flags of OPEN, and of the fields present in attributes.
READ, WRITE, APPEND, CREATE, TRUNCATE, EXCLUSIVE = 1, 2, 4, 8, 16, 32
HAS_SIZE, HAS_OWNER, HAS_MODE, HAS_TIMES, HAS_EXTENDED = 1, 2, 4, 8, 0x80000000
DIRECTORY, REGULAR = 0o040000, 0o100000


class BadPacket(Exception):
    """Bytes that are no packet; `request` is its id where that could be read, `ends` where the
    stream itself cannot be followed any more.
    """

    def __init__(self, text, request=None, ends=False):
        super().__init__(text)
        self.request, self.ends = request, ends


class Attributes(NamedTuple):
    """File attributes; None where not told.  Times are whole seconds since 1970."""

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


class Cursor:
    """Reads fields of one packet; BadPacket where they run past its end."""

    def __init__(self, data, at=0):
        self.data, self.at = data, at

    def take(self, count):
        if count > len(self.data) - self.at:
            raise BadPacket(f"a field of {count} bytes where {len(self.data) - self.at} are left")
        self.at += count
        return self.data[self.at - count : self.at]

    def u32(self):
        return U32.unpack(self.take(4))[0]

    def u64(self):
        return U64.unpack(self.take(8))[0]

    def raw(self):
        return bytes(self.take(self.u32()))

    def text(self):
        try:
            return self.raw().decode()
        except UnicodeDecodeError as fault:
            raise BadPacket(f"text that is not UTF-8: {fault.reason}") from fault

    def attributes(self):
        flags = self.u32()
        size = self.u64() if flags & HAS_SIZE else None
        uid, gid = (self.u32(), self.u32()) if flags & HAS_OWNER else (None, None)
        mode = self.u32() if flags & HAS_MODE else None
        atime, mtime = (self.u32(), self.u32()) if flags & HAS_TIMES else (None, None)
        if flags & HAS_EXTENDED:
            for _ in range(self.u32()):
                self.raw(), self.raw()
        return Attributes(size, uid, gid, mode, atime, mtime)

    def names(self):
        return tuple(Name(self.text(), self.text(), self.attributes()) for _ in range(self.u32()))

    def pairs(self):
        pairs = []
        while self.at < len(self.data):
            pairs.append((self.text(), self.raw()))
        return tuple(pairs)

    def rest(self):
        return bytes(self.take(len(self.data) - self.at))


def _text(value):
    value = value.encode()
    return U32.pack(len(value)) + value


def _attributes(value):
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


WRITERS = {
    "u32": U32.pack,
    "u64": U64.pack,
    "text": _text,
    "attributes": _attributes,
    "raw": lambda value: U32.pack(len(value)) + value,
    "rest": bytes,
    "names": lambda value: (
        U32.pack(len(value))
        + b"".join(_text(row.name) + _text(row.long_name) + _attributes(row.attributes) for row in value)
    ),
    "pairs": lambda value: b"".join(_text(name) + U32.pack(len(data)) + data for name, data in value),
}

KINDS = {}  # type byte -> class
TYPES = {}  # class -> (type byte, fields with their kinds)


def packet(code, /, **kinds):
    """Declares a packet class by its type byte and the kinds of its fields in their order."""

    def declare(name):
        made = NamedTuple(name, [(field, object) for field in kinds])
        KINDS[code], TYPES[made] = made, (code, tuple(kinds.items()))
        return made

    return declare


Init = packet(1, version="u32", extensions="pairs")("Init")
Version = packet(2, version="u32", extensions="pairs")("Version")
Open = packet(3, request="u32", path="text", flags="u32", attributes="attributes")("Open")
Close = packet(4, request="u32", handle="raw")("Close")
Read = packet(5, request="u32", handle="raw", offset="u64", length="u32")("Read")
Write = packet(6, request="u32", handle="raw", offset="u64", data="raw")("Write")
LStat = packet(7, request="u32", path="text")("LStat")
FStat = packet(8, request="u32", handle="raw")("FStat")
SetStat = packet(9, request="u32", path="text", attributes="attributes")("SetStat")
FSetStat = packet(10, request="u32", handle="raw", attributes="attributes")("FSetStat")
OpenDir = packet(11, request="u32", path="text")("OpenDir")
ReadDir = packet(12, request="u32", handle="raw")("ReadDir")
Remove = packet(13, request="u32", path="text")("Remove")
MkDir = packet(14, request="u32", path="text", attributes="attributes")("MkDir")
RmDir = packet(15, request="u32", path="text")("RmDir")
RealPath = packet(16, request="u32", path="text")("RealPath")
Stat = packet(17, request="u32", path="text")("Stat")
Rename = packet(18, request="u32", path="text", target="text")("Rename")
Extended = packet(200, request="u32", name="text", data="rest")("Extended")
Status = packet(101, request="u32", code="u32", message="text", language="text")("Status")
Handle = packet(102, request="u32", handle="raw")("Handle")
Data = packet(103, request="u32", data="raw")("Data")
Names = packet(104, request="u32", names="names")("Names")
Attrs = packet(105, request="u32", attributes="attributes")("Attrs")
ExtendedReply = packet(201, request="u32", data="rest")("ExtendedReply")
SYMLINK, READLINK = 20, 19  # known, and not offered


class Unknown(NamedTuple):
    """A packet of a type that is not offered; its request is to be answered OP_UNSUPPORTED."""

    request: int
    code: int


def encode(value) -> bytes:
    """The bytes of a packet, its length included."""
    code, fields = TYPES[type(value)]
    body = bytes((code,)) + b"".join(WRITERS[kind](part) for (_, kind), part in zip(fields, value))
    return U32.pack(len(body)) + body


def decode(body):
    """The value of a packet's bytes without the length; BadPacket where they are none."""
    if not body:
        raise BadPacket("a packet of no bytes")
    code = body[0]
    if code not in KINDS:
        if len(body) < 5:
            raise BadPacket(f"a packet of type {code} with no id")
        return Unknown(U32.unpack_from(body, 1)[0], code)
    kind = KINDS[code]
    fields, cursor = TYPES[kind][1], Cursor(memoryview(body), 1)
    request = None
    try:
        values = []
        for name, reader in fields:
            values.append(getattr(cursor, reader)())
            if name == "request":
                request = values[0]
        return kind(*values)
    except BadPacket as fault:
        raise BadPacket(f"{kind.__name__}: {fault}", request) from fault


class Packets:
    """Cuts a stream into the bodies of packets; holds one packet and one read at the most."""

    def __init__(self, most: int = MOST):
        self.most, self.held = most, bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Bodies that `data` completes; BadPacket that ends the stream where a length cannot be."""
        self.held += data
        found, at = [], 0
        while len(self.held) - at >= 4:
            (length,) = U32.unpack_from(self.held, at)
            # Danger: a length of gigabytes would be waited for, and held.
            if not 0 < length <= self.most:
                raise BadPacket(f"a packet of {length} bytes; 1 to {self.most} are taken", ends=True)
            if len(self.held) - at - 4 < length:
                break
            found.append(bytes(self.held[at + 4 : at + 4 + length]))
            at += 4 + length
        del self.held[:at]
        return found

    @property
    def begun(self):
        """Whether part of a packet is held."""
        return bool(self.held)
