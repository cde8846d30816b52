"""What the sub-commands share."""

import os
from pathlib import Path

import click

from rushmux.settings import deployment as deployments

EXAMPLE = Path(deployments.__file__).with_name("example.json")


class Place(click.ParamType):
    """HOST:PORT of this machine or another."""

    name = "host:port"

    def convert(self, value, param, ctx):
        if isinstance(value, tuple):
            return value
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65_535:
            self.fail(f"'{value}' is no HOST:PORT", param, ctx)
        return host, int(port)


class Places(Place):
    """HOST:PORT, or several with commas between."""

    name = "host:port[,...]"

    def convert(self, value, param, ctx):
        if isinstance(value, tuple):
            return value
        found = tuple(super(Places, self).convert(part.strip(), param, ctx) for part in value.split(","))
        return found[0] if len(found) == 1 else found


class Named(Place):
    """NAME=HOST:PORT, with commas between."""

    name = "name=host:port[,...]"

    def convert(self, value, param, ctx):
        if isinstance(value, dict):
            return value
        found = {}
        for part in value.split(","):
            name, equals, place = part.strip().partition("=")
            if not equals or not name.isalnum() or name in found:
                self.fail(f"'{part}' is no NAME=HOST:PORT, or names one twice", param, ctx)
            found[name] = super().convert(place, param, ctx)
        return found


def deployed(path, plainly=False):
    """The deployment of a file, or an end with its faults; `plainly`: refusals of routes with how each
    would come about.
    """
    try:
        return deployments.load(path)
    except deployments.DeploymentError as fault:
        if plainly:
            told = {(finding.place, finding.text) for finding in fault.findings}
            lines = [f"{place}: {text}" for place, text in fault.faults if (place, text) not in told]
            lines += [line for finding in fault.findings for line in finding.lines()]
            raise click.ClickException(
                "\n".join([f"{path}: {len(fault.faults)} refusal(s)", *lines])
            ) from fault
        raise click.ClickException(f"{len(fault.faults)} fault(s)\n{fault}") from fault


def new_seed(seed):
    return int.from_bytes(os.urandom(6), "big") if seed is None else seed
