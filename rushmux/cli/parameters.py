"""Parameter types and helpers that the sub-commands share."""

import os
from os import PathLike
from pathlib import Path
from typing import Any

import click

from rushmux.settings import deployment as deployments

EXAMPLE = Path(deployments.__file__).with_name("example.json")
"""The deployment file that a command uses where none is named."""
MAX_PORT = 65_535
SEED_BYTES = 6

Address = tuple[str, int]
"""Host and port."""


class AddressParameter(click.ParamType):
    """HOST:PORT, as an `Address`."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The address that a word states; a usage error where it states none."""
        if isinstance(value, tuple):
            return value
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > MAX_PORT:
            self.fail(f"'{value}' is no HOST:PORT", param, ctx)
        return host, int(port)


class AddressListParameter(AddressParameter):
    """HOST:PORT as an `Address`, or several with commas between as a tuple of them."""

    name = "host:port[,...]"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The address or addresses that a word states; a usage error where one is none."""
        if isinstance(value, tuple):
            return value
        convert_one = super().convert
        addresses = tuple(convert_one(part.strip(), param, ctx) for part in value.split(","))
        return addresses[0] if len(addresses) == 1 else addresses


class NamedAddressesParameter(AddressParameter):
    """NAME=HOST:PORT with commas between, as a mapping of names to addresses."""

    name = "name=host:port[,...]"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The addresses by name; a usage error where a part is malformed or a name comes twice."""
        if isinstance(value, dict):
            return value
        addresses: dict[str, Address] = {}
        for part in value.split(","):
            name, equals, address = part.strip().partition("=")
            if not equals or not name.isalnum() or name in addresses:
                self.fail(f"'{part}' is no NAME=HOST:PORT, or names one twice", param, ctx)
            addresses[name] = super().convert(address, param, ctx)
        return addresses


def load_deployment(path: str | PathLike[str], explain: bool = False) -> deployments.Deployment:
    """The deployment of a file.

    Args:
        path: The deployment file.
        explain: Whether the verifier's findings are shown with how each would come about.

    Raises:
        click.ClickException: The file has faults; all of them are named.
    """
    try:
        return deployments.load(path)
    except deployments.DeploymentError as error:
        if not explain:
            raise click.ClickException(f"{len(error.faults)} fault(s)\n{error}") from error
        lines = [f"{path}: {len(error.faults)} refusal(s)", *_explained_faults(error)]
        raise click.ClickException("\n".join(lines)) from error


def _explained_faults(error: deployments.DeploymentError) -> list[str]:
    """The faults as lines; those that the verifier found with their explanations, at the end."""
    found_by_verifier = {(finding.place, finding.text) for finding in error.findings}
    lines = [f"{place}: {text}" for place, text in error.faults if (place, text) not in found_by_verifier]
    for finding in error.findings:
        lines += finding.lines()
    return lines


def new_seed(seed: int | None) -> int:
    """The seed that was asked for, or one from the machine's entropy."""
    return int.from_bytes(os.urandom(SEED_BYTES), "big") if seed is None else seed
