"""Records in a file: length, checksum and body of each; a torn tail is told from a damaged middle.  No I/O.

A file begins with eight bytes: a word of four, the format as a number of two bytes, and two of nought.  A
record is its length and the CRC-32 of its body, four bytes each, and the body.
"""

import struct
import zlib
from typing import NamedTuple

FRAME = struct.Struct(">II")


class BadFile(Exception):
    """A file that is none of this kind, or of another format."""


class Read(NamedTuple):
    """Bodies up to the first that is not whole; where that is; whether whole records follow it (damage, and
    no torn tail).
    """

    bodies: list[bytes]
    end: int
    damaged: bool


def head(word: bytes, form: int) -> bytes:
    return word + form.to_bytes(2, "big") + b"\0\0"


def pack(body: bytes) -> bytes:
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def one(text, at: int, most: int) -> tuple[bytes, int] | None:
    """The body at a place and where the next record begins, or None."""
    if len(text) - at < FRAME.size:
        return None
    length, crc = FRAME.unpack_from(text, at)
    at += FRAME.size
    if not 0 < length <= most or len(text) - at < length:
        return None
    body = bytes(text[at : at + length])
    return (body, at + length) if zlib.crc32(body) == crc else None


def read(text: bytes, word: bytes, form: int, most: int) -> Read:
    """Reads a whole file; BadFile where it does not begin as one of this kind and format."""
    begin = head(word, form)
    if len(text) < len(begin) and begin.startswith(text):
        return Read([], 0, False)  # killed while it was made
    if text[:4] != word:
        raise BadFile(f"begins with {text[:8]!r}, where {begin!r} was to be")
    if text[: len(begin)] != begin:
        raise BadFile(f"format {int.from_bytes(text[4:6], 'big')}, this program reads {form}")
    view, at, bodies = memoryview(text), len(begin), []
    while at < len(text):
        found = one(view, at, most)
        if found is None:
            # Danger: a damaged middle taken for a torn tail loses what comes after it without a word.
            after = any(one(view, place, most) for place in range(at + 1, len(text) - FRAME.size))
            return Read(bodies, at, after)
        body, at = found
        bodies.append(body)
    return Read(bodies, at, False)
