"""Errors of the gateway, each with the value that caused it."""

from typing import Any


class GatewayError(Exception):
    """Base of the gateway's errors: a sentence for an operator.

    Attributes:
        value: What was found; None where nothing was.
    """

    def __init__(self, message: str, value: Any = None):
        super().__init__(message)
        self.value = value


class InvalidCommandError(GatewayError):
    """A client's command that no usual client sends; its message goes to the client."""


class ConfigError(GatewayError):
    """A configuration file that can't be used."""


class InvalidAddressError(GatewayError, ValueError):
    """A text that is no address and port."""


class InvalidEndpointError(GatewayError, ValueError):
    """A row of the endpoint list that makes no sense."""
