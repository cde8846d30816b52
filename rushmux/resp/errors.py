"""Errors of the RESP2 codec.  Their messages go to clients behind `-ERR Protocol error: `."""

from typing import Any


class ProtocolError(Exception):
    """Bytes that the protocol does not allow; nothing after them can be read.

    Attributes:
        value: What was found; None where it was not kept.
    """

    def __init__(self, message: str, value: Any = None):
        super().__init__(message)
        self.value = value


class InvalidSyntaxError(ProtocolError):
    """Bytes that are no element of the protocol, or none that may stand here."""


class InvalidLengthError(ProtocolError):
    """A length or count that is no number, or none that may stand here."""


class LimitExceededError(ProtocolError):
    """A line or command longer than its bound."""
