"""What the sub-commands share."""
import os
from pathlib import Path

import click

from rushmux.settings import deployment as deployments

EXAMPLE = Path(deployments.__file__).with_name("example.json")


def deployed(path):
    try:
        return deployments.load(path)
    except deployments.BadDeployment as fault:
        raise click.ClickException(f"{len(fault.faults)} fault(s)\n{fault}") from fault


def new_seed(seed):
    return int.from_bytes(os.urandom(6), "big") if seed is None else seed
