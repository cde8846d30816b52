"""Exceptions of the RESP2 codec; a client receives the message after `-ERR Protocol error: `."""

from typing import Any


class ProtocolError(Exception):
    """The input violates the protocol; nothing after it can be read.

    Attributes:
        value: The offending value, or None.
    """

    def __init__(self, message: str, value: Any = None):
        super().__init__(message)
        self.value = value


class InvalidSyntaxError(ProtocolError):
    """An element is malformed or not allowed at this position."""


class InvalidLengthError(ProtocolError):
    """A length or count is malformed or out of range."""


class LimitExceededError(ProtocolError):
    """A line or command exceeds its maximum size."""
