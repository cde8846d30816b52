"""Encoders of RESP2 values, errors and commands."""

from collections.abc import Sequence


def encode_bulk(value: bytes) -> bytes:
    """Returns a value as a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_error(text: str) -> bytes:
    """Returns an error reply; CR and LF, which would end it early, are replaced by spaces."""
    return b"-" + text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ") + b"\r\n"


def encode_command(arguments: Sequence[bytes]) -> bytes:
    """Returns a command as an array of bulk strings."""
    return b"*%d\r\n%b" % (len(arguments), b"".join(map(encode_bulk, arguments)))
