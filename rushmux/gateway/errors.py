"""Exceptions of the gateway."""

from typing import Any


class GatewayError(Exception):
    """Base class of the gateway's errors.

    Attributes:
        value: The offending value, or None.
    """

    def __init__(self, message: str, value: Any = None):
        super().__init__(message)
        self.value = value


class InvalidCommandError(GatewayError):
    """A client's command is invalid; the message is sent to the client."""


class ConfigError(GatewayError):
    """The configuration file can't be used."""


class InvalidAddressError(GatewayError, ValueError):
    """A text is not a valid `host:port` address."""


class InvalidEndpointError(GatewayError, ValueError):
    """A row of the endpoint list is invalid."""
