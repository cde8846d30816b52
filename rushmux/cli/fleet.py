"""`rushmux fleet`: commands on the members that a planner knows."""

import asyncio
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

import click

from rushmux.cli.parameters import Address, AddressListParameter

if TYPE_CHECKING:
    from rushmux.nodewire import messages

PLANNER = click.option(
    "--planner",
    type=AddressListParameter(),
    required=True,
    help="HOST:PORT of the planner; several planners separated by commas",
)
MAX_POLLS = 100_000
"""Maximum requests of one `watch`."""
DRAIN_POLL_INTERVAL = 0.5
"""Seconds between two requests of `drain --wait`."""

Planners = Address | Sequence[Address]
"""Address of the planner, or of several."""


def run_command(planner: Planners, verb: str, member: str = "") -> "messages.Ordered":
    """Sends a fleet command and returns the planner's answer.

    Raises:
        click.ClickException: The planner rejected the command or could not be reached.
    """
    from rushmux.planner import admin_client
    from rushmux.planner.errors import CommandRejectedError

    try:
        return asyncio.run(admin_client.send_fleet_command(planner, verb, member))
    except CommandRejectedError as error:
        prefix = f"{planner[0]}:{planner[1]}: " if isinstance(planner[0], str) else ""
        raise click.ClickException(f"{prefix}{error}") from error


def row_of(answer: "messages.Ordered", member: str) -> "messages.Known":
    """Returns a member's row in a planner's answer."""
    return next(row for row in answer.members if row.member == member)


@click.group()
def fleet() -> None:
    """Shows nodes and edges that a planner knows; drains nodes."""


@fleet.command()
@PLANNER
def show(planner: Planners) -> None:
    """Shows every member's condition and its reason."""
    from rushmux.planner import admin_client

    click.echo("\n".join(admin_client.format_fleet(run_command(planner, "show"))))


@fleet.command()
@PLANNER
@click.argument("node")
@click.option("--wait", type=float, default=0.0, help="seconds to wait until the node may be stopped")
def drain(planner: Planners, *, node: str, wait: float) -> None:
    """Stops new work for a node; exits with 1 if it may not be stopped within --wait."""
    answer, deadline = run_command(planner, "drain", node), time.monotonic() + wait
    while True:
        row = row_of(answer, node)
        if row.condition == "drained" or time.monotonic() >= deadline:
            break
        time.sleep(DRAIN_POLL_INTERVAL)
        answer = run_command(planner, "show")
    click.echo(f"{node}: {row.condition}, {row.reason}")
    raise SystemExit(1 if wait and row.condition != "drained" else 0)


@fleet.command()
@PLANNER
@click.argument("node")
def undrain(planner: Planners, *, node: str) -> None:
    """Lets a node be used again."""
    row = row_of(run_command(planner, "undrain", node), node)
    click.echo(f"{node}: {row.condition}, {row.reason}")


@fleet.command()
@PLANNER
@click.option("--every", "interval", type=click.FloatRange(0.1, 60), default=1.0, show_default=True)
@click.option("--looks", "polls", type=click.IntRange(1, MAX_POLLS), default=MAX_POLLS, show_default=True)
def watch(planner: Planners, *, interval: float, polls: int) -> None:
    """Prints members as their conditions change."""
    known = {}
    for poll in range(polls):
        for row in run_command(planner, "show").members:
            if known.get(row.member) != (row.condition, row.start):
                known[row.member] = row.condition, row.start
                click.echo(f"{row.member}: {row.condition}, {row.reason}")
        if poll + 1 < polls:
            time.sleep(interval)
