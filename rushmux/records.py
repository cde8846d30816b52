"""A file format of checksummed records that tells a torn tail from corruption; no I/O.

A file begins with eight bytes: a magic word of four, the format version in two, and two zero bytes.
A record is the length and the CRC-32 of its body, four bytes each, and the body.  Numbers are big-endian.
"""

import struct
import zlib
from typing import NamedTuple

RECORD_HEADER = struct.Struct(">II")  # length and checksum of the body
MAGIC_SIZE, FORMAT_SIZE = 4, 2


class RecordFileError(Exception):
    """The file is not of the expected kind or format version."""


class RecordFile(NamedTuple):
    """The contents of a file."""

    bodies: list[bytes]
    """The records before the first incomplete or damaged one."""
    end: int
    """Offset at which those records end."""
    damaged: bool
    """Whether complete records follow: the file is damaged, not just torn at its end."""


def file_header(magic: bytes, format_version: int) -> bytes:
    """The first bytes of a file of this kind and format version."""
    return magic + format_version.to_bytes(FORMAT_SIZE, "big") + b"\0\0"


def pack_record(body: bytes) -> bytes:
    """Encodes one record."""
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def read_record(data, offset: int, max_size: int) -> tuple[bytes, int] | None:
    """The body of the record at `offset`, and where the next begins; None where none is valid."""
    if len(data) - offset < RECORD_HEADER.size:
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    offset += RECORD_HEADER.size
    if not 0 < length <= max_size or len(data) - offset < length:
        return None
    body = bytes(data[offset : offset + length])
    return (body, offset + length) if zlib.crc32(body) == checksum else None


def read_file(data: bytes, magic: bytes, format_version: int, max_size: int) -> RecordFile:
    """Decodes a file.

    Args:
        data: The file's bytes.
        magic: The magic word that it begins with.
        format_version: The format version that can be read.
        max_size: Largest body in bytes.

    Raises:
        RecordFileError: The file is not of this kind or format version.
    """
    header = file_header(magic, format_version)
    if len(data) < len(header) and header.startswith(data):
        return RecordFile([], 0, False)  # the program was killed while creating it
    if data[:MAGIC_SIZE] != magic:
        raise RecordFileError(f"file begins with {data[:8]!r} instead of {header!r}")
    if data[: len(header)] != header:
        found_version = int.from_bytes(data[MAGIC_SIZE : MAGIC_SIZE + FORMAT_SIZE], "big")
        raise RecordFileError(f"format {found_version}, this program reads {format_version}")
    view, offset, bodies = memoryview(data), len(header), []
    while offset < len(data):
        found = read_record(view, offset, max_size)
        if found is None:
            # Corruption mistaken for a torn tail would silently lose the records after it.
            later_offsets = range(offset + 1, len(data) - RECORD_HEADER.size)
            damaged = any(read_record(view, later, max_size) for later in later_offsets)
            return RecordFile(bodies, offset, damaged)
        body, offset = found
        bodies.append(body)
    return RecordFile(bodies, offset, False)
