"""Parameter types and helpers that the sub-commands share."""

import os
from os import PathLike
from pathlib import Path
from typing import Any

import click

from rushmux.settings import deployment as deployments

EXAMPLE = Path(deployments.__file__).with_name("example.json")
"""The default deployment file."""
MAX_PORT = 65_535
SEED_BYTES = 6

Address = tuple[str, int]
"""Host and port."""


class AddressParameter(click.ParamType):
    """HOST:PORT, parsed to an `Address`."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Parses an address; a malformed one is a usage error."""
        if isinstance(value, tuple):
            return value
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > MAX_PORT:
            self.fail(f"'{value}' is not HOST:PORT", param, ctx)
        return host, int(port)


class AddressListParameter(AddressParameter):
    """HOST:PORT, parsed to an `Address`, or several separated by commas, parsed to a tuple of them."""

    name = "host:port[,...]"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Parses one or several addresses; a malformed one is a usage error."""
        if isinstance(value, tuple):
            return value
        convert_one = super().convert
        addresses = tuple(convert_one(part.strip(), param, ctx) for part in value.split(","))
        return addresses[0] if len(addresses) == 1 else addresses


class NamedAddressesParameter(AddressParameter):
    """NAME=HOST:PORT, separated by commas, parsed to a mapping of names to addresses."""

    name = "name=host:port[,...]"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Parses addresses by name; a malformed part or a repeated name is a usage error."""
        if isinstance(value, dict):
            return value
        addresses: dict[str, Address] = {}
        for part in value.split(","):
            name, equals, address = part.strip().partition("=")
            if not equals or not name.isalnum() or name in addresses:
                self.fail(f"'{part}' is not NAME=HOST:PORT, or repeats a name", param, ctx)
            addresses[name] = super().convert(address, param, ctx)
        return addresses


def load_deployment(path: str | PathLike[str], explain: bool = False) -> deployments.Deployment:
    """Loads a deployment file.

    Args:
        path: The deployment file.
        explain: Whether the error message explains how each of the verifier's findings could occur.

    Raises:
        click.ClickException: The file has faults; the message lists all of them.
    """
    try:
        return deployments.load(path)
    except deployments.DeploymentError as error:
        if not explain:
            raise click.ClickException(f"{len(error.faults)} fault(s)\n{error}") from error
        lines = [f"{path}: {len(error.faults)} refusal(s)", *_explained_faults(error)]
        raise click.ClickException("\n".join(lines)) from error


def _explained_faults(error: deployments.DeploymentError) -> list[str]:
    """Returns the faults as lines; the verifier's findings, with explanations, come last."""
    found_by_verifier = {(finding.place, finding.text) for finding in error.findings}
    lines = [f"{place}: {text}" for place, text in error.faults if (place, text) not in found_by_verifier]
    for finding in error.findings:
        lines += finding.lines()
    return lines


def new_seed(seed: int | None) -> int:
    """Returns `seed`, or one from the system's entropy if it is None."""
    return int.from_bytes(os.urandom(SEED_BYTES), "big") if seed is None else seed
