"""The local log of a write-back buffer: records to bytes and back, no I/O.

A segment begins with eight bytes, `RMXB`, the format as a number of two bytes and two of nought.
A record is its length and the CRC-32 of its body, four bytes each, and the body: a type byte, four
bytes of the length of its fields as JSON, the fields, and the data of a packet.
"""

import struct
import zlib
from typing import NamedTuple

import orjson

FORMAT = 1
HEAD = b"RMXB" + FORMAT.to_bytes(2, "big") + b"\0\0"
FRAME = struct.Struct(">II")
FIELDS = struct.Struct(">BI")
MOST = 2 << 20  # bytes of a record: a packet of the largest size with room

BASE, PUT, BARRIER, INTENT, DONE, DROPPED, BEGUN = range(1, 8)


class BadSegment(Exception):
    """A file that is no segment of this format."""


class Record(NamedTuple):
    """One record: its type, its fields, and the data of a packet."""

    kind: int
    fields: dict
    data: bytes = b""


class Read(NamedTuple):
    """What a segment held: whole records up to the first that is not; whether its tail was cut off,
    as by a kill; and where it is damaged, if whole records follow (None: nowhere).
    """

    records: list
    torn: bool
    damaged: int


def pack(kind: int, data=b"", **fields) -> bytes:
    """The bytes of a record."""
    text = orjson.dumps(fields)
    body = FIELDS.pack(kind, len(text)) + text + bytes(data)
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def _record(text, at):
    """The record at a place and where the next begins, or None."""
    if len(text) - at < FRAME.size:
        return None
    length, crc = FRAME.unpack_from(text, at)
    at += FRAME.size
    if not FIELDS.size <= length <= MOST or len(text) - at < length:
        return None
    body = text[at : at + length]
    if zlib.crc32(body) != crc:
        return None
    kind, size = FIELDS.unpack_from(body)
    if FIELDS.size + size > length or not BASE <= kind <= BEGUN:
        return None
    try:
        fields = orjson.loads(body[FIELDS.size : FIELDS.size + size])
    except orjson.JSONDecodeError:
        return None
    return Record(kind, fields, bytes(body[FIELDS.size + size :])), at + length


def read(text: bytes) -> Read:
    """Reads a segment; BadSegment where it does not begin as one."""
    if len(text) < len(HEAD) and HEAD.startswith(text):
        return Read([], bool(text), None)  # killed while it was made
    if text[: len(HEAD)] != HEAD:
        raise BadSegment(f"begins with {text[:8]!r}; a segment of this program begins with {HEAD!r}")
    view, at, records = memoryview(text), len(HEAD), []
    while at < len(text):
        found = _record(view, at)
        if found is None:
            # Danger: a damaged middle taken for a torn tail loses what comes after it without a word.
            after = any(_record(view, place) for place in range(at + 1, len(text) - FRAME.size))
            return Read(records, not after, at if after else None)
        record, at = found
        records.append(record)
    return Read(records, False, None)
