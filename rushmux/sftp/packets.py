"""SFTP packets, for servers and clients.

A packet is a four-byte length, a type byte and its fields.  `encode` and `decode` convert single packets, and
`PacketSplitter` splits a byte stream into packets.
"""

from collections.abc import Callable
from typing import NamedTuple

from rushmux.sftp.fields import ENCODERS, U32

# Re-exported because packets contain them.
from rushmux.sftp.fields import Attributes as Attributes
from rushmux.sftp.fields import FieldReader as FieldReader
from rushmux.sftp.fields import Name as Name
from rushmux.sftp.fields import ProtocolError as ProtocolError

VERSION = 3
MAX_PACKET_BYTES = 262_144 + 1_024  # the most data that stock clients send, and room for other fields

# Status codes.
OK, EOF, NO_SUCH_FILE, PERMISSION_DENIED, FAILURE, BAD_MESSAGE = 0, 1, 2, 3, 4, 5
NO_CONNECTION, CONNECTION_LOST, OP_UNSUPPORTED = 6, 7, 8

# Flags of Open.
READ, WRITE, APPEND, CREATE, TRUNCATE, EXCLUSIVE = 1, 2, 4, 8, 16, 32

# File types in a mode.
DIRECTORY, REGULAR = 0o040000, 0o100000


class PacketLayout(NamedTuple):
    """A packet's type byte, and its fields in order, each with its kind (a method of `FieldReader`)."""

    type_byte: int
    fields: tuple[tuple[str, str], ...]


PACKET_BY_TYPE: dict[int, type] = {}
LAYOUTS: dict[type, PacketLayout] = {}


def _packet(type_byte: int, /, **kinds: str) -> Callable[[str], type]:
    """Declares a packet class from its type byte and the kinds of its fields."""

    def declare(name):
        declared = NamedTuple(name, [(field, object) for field in kinds])
        PACKET_BY_TYPE[type_byte], LAYOUTS[declared] = declared, PacketLayout(type_byte, tuple(kinds.items()))
        return declared

    return declare


Init = _packet(1, version="u32", extensions="pairs")("Init")
Version = _packet(2, version="u32", extensions="pairs")("Version")
Open = _packet(3, request_id="u32", path="text", flags="u32", attributes="attributes")("Open")
Close = _packet(4, request_id="u32", handle="raw")("Close")
Read = _packet(5, request_id="u32", handle="raw", offset="u64", length="u32")("Read")
Write = _packet(6, request_id="u32", handle="raw", offset="u64", data="raw")("Write")
LStat = _packet(7, request_id="u32", path="text")("LStat")
FStat = _packet(8, request_id="u32", handle="raw")("FStat")
SetStat = _packet(9, request_id="u32", path="text", attributes="attributes")("SetStat")
FSetStat = _packet(10, request_id="u32", handle="raw", attributes="attributes")("FSetStat")
OpenDir = _packet(11, request_id="u32", path="text")("OpenDir")
ReadDir = _packet(12, request_id="u32", handle="raw")("ReadDir")
Remove = _packet(13, request_id="u32", path="text")("Remove")
MkDir = _packet(14, request_id="u32", path="text", attributes="attributes")("MkDir")
RmDir = _packet(15, request_id="u32", path="text")("RmDir")
RealPath = _packet(16, request_id="u32", path="text")("RealPath")
Stat = _packet(17, request_id="u32", path="text")("Stat")
Rename = _packet(18, request_id="u32", path="text", target="text")("Rename")
Extended = _packet(200, request_id="u32", name="text", data="rest")("Extended")
Status = _packet(101, request_id="u32", code="u32", message="text", language="text")("Status")
Handle = _packet(102, request_id="u32", handle="raw")("Handle")
Data = _packet(103, request_id="u32", data="raw")("Data")
Names = _packet(104, request_id="u32", names="names")("Names")
Attrs = _packet(105, request_id="u32", attributes="attributes")("Attrs")
ExtendedReply = _packet(201, request_id="u32", data="rest")("ExtendedReply")

SYMLINK, READLINK = 20, 19  # type bytes of unsupported requests


class Unknown(NamedTuple):
    """A packet of an unsupported type, to be answered with OP_UNSUPPORTED."""

    request_id: int
    type_byte: int


def encode(packet: tuple) -> bytes:
    """Encodes a packet, including its length prefix."""
    layout = LAYOUTS[type(packet)]
    parts = [ENCODERS[kind](value) for (_, kind), value in zip(layout.fields, packet, strict=True)]
    body = bytes((layout.type_byte,)) + b"".join(parts)
    return U32.pack(len(body)) + body


def decode(body: bytes) -> tuple:
    """Decodes a packet without its length prefix; raises ProtocolError if it is invalid."""
    if not body:
        raise ProtocolError("packet is empty")
    type_byte = body[0]
    if type_byte not in PACKET_BY_TYPE:
        if len(body) < 1 + U32.size:
            raise ProtocolError(f"packet of type {type_byte} has no request id")
        return Unknown(U32.unpack_from(body, 1)[0], type_byte)
    packet_type = PACKET_BY_TYPE[type_byte]
    reader, request_id, values = FieldReader(memoryview(body), 1), None, []
    try:
        for name, kind in LAYOUTS[packet_type].fields:
            values.append(getattr(reader, kind)())
            if name == "request_id":
                request_id = values[0]
    except ProtocolError as error:
        raise ProtocolError(f"{packet_type.__name__}: {error}", request_id) from error
    return packet_type(*values)


class PacketSplitter:
    """Splits a stream into packet bodies; buffers at most one packet and one read."""

    def __init__(self, max_bytes: int = MAX_PACKET_BYTES):
        self.max_bytes, self.buffered = max_bytes, bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the bodies that `data` completes; raises ProtocolError for an invalid length."""
        self.buffered += data
        bodies, position = [], 0
        while len(self.buffered) - position >= U32.size:
            (length,) = U32.unpack_from(self.buffered, position)
            # Without this check, gigabytes could be buffered for one packet.
            if not 0 < length <= self.max_bytes:
                raise ProtocolError(
                    f"packet of {length} bytes; the limits are 1 and {self.max_bytes}", ends_stream=True
                )
            start = position + U32.size
            if len(self.buffered) < start + length:
                break
            bodies.append(bytes(self.buffered[start : start + length]))
            position = start + length
        del self.buffered[:position]
        return bodies

    @property
    def has_partial_packet(self) -> bool:
        """Whether part of a packet is buffered."""
        return bool(self.buffered)
