"""Writes values, errors and commands of RESP2."""

from collections.abc import Sequence


def encode_bulk(value: bytes) -> bytes:
    """Returns a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_error(text: str) -> bytes:
    """Returns an error line; line ends in the text, which would end it early, become spaces."""
    return b"-" + text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ") + b"\r\n"


def encode_command(arguments: Sequence[bytes]) -> bytes:
    """Returns a command: an array of bulk strings."""
    return b"*%d\r\n%b" % (len(arguments), b"".join(map(encode_bulk, arguments)))
