"""The `rushmux` command and its sub-commands.

Sub-commands import most modules only when they run, so that each starts quickly.
"""

import sys
from pathlib import Path

import click

from rushmux.cli.connect import connect
from rushmux.cli.deployment_files import check, move
from rushmux.cli.edge import edge
from rushmux.cli.fault_scenarios import rig
from rushmux.cli.fleet import fleet
from rushmux.cli.lab import lab
from rushmux.cli.node import lists, node
from rushmux.cli.parameters import EXAMPLE
from rushmux.cli.planner import planner
from rushmux.cli.policy import policy

MAX_UP_EDGES, MAX_UP_NODES = 100, 200
MAX_DEMO_EDGES, MAX_DEMO_NODES = 50, 50
MAX_KILLS, MAX_JOBS = 1_000_000, 64
DEPLOYMENT = click.option(
    "--deployment", "file", type=click.Path(), default=str(EXAMPLE), show_default="the example"
)


@click.group()
def main() -> None:
    """rushmux: a storage gateway, and the stand-ins it is tested against."""


for command in (lab, fleet, policy, rig, edge, node, lists, planner, connect, check, move):
    main.add_command(command)


@main.command()
@click.option("--edges", type=click.IntRange(1, MAX_UP_EDGES), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, MAX_UP_NODES), default=4, show_default=True)
@click.option("--data", type=click.Path(), required=True, help="folder of the fleet's data; kept")
@DEPLOYMENT
def up(*, edges: int, nodes: int, data: str, file: str) -> None:
    """Starts a whole fleet on loopback and runs until SIGTERM or Ctrl-C."""
    from rushmux.cli import local_fleet

    local_fleet.run_until_stopped(edges, nodes, Path(data), file)


@main.command()
@click.option("--day", default="short", show_default=True, help="name of a scripted day, or its file")
@click.option("--edges", type=click.IntRange(1, MAX_DEMO_EDGES), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, MAX_DEMO_NODES), default=6, show_default=True)
@click.option(
    "--load", type=float, default=0.5, show_default=True, help="fraction of the folders' nominal rates"
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--virtual", is_flag=True, help="run in one process on a simulated clock")
@click.option("--both", is_flag=True, help="also play the day with a plain pass-through")
@click.option(
    "--data", type=click.Path(), help="folder for data, logs and recordings; default: a temporary one"
)
@DEPLOYMENT
def demo(
    *,
    day: str,
    edges: int,
    nodes: int,
    load: float,
    seed: int,
    virtual: bool,
    both: bool,
    data: str | None,
    file: str,
) -> None:
    """Plays a scripted day of faults, checks the rules on its recordings and prints a report."""
    from rushmux.cli import demo as demos

    options = demos.Demo(day, edges, nodes, load, seed, virtual, file)
    sys.exit(0 if demos.run(options, both, data) else 1)


@main.command()
@click.option("--runs", type=click.IntRange(1, MAX_KILLS), default=300, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="of the first run; each run adds one")
@click.option("--real", is_flag=True, help="use processes instead of a simulated clock")
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=4, show_default=True)
@DEPLOYMENT
def kills(*, runs: int, seed: int, real: bool, jobs: int, file: str) -> None:
    """Kills an edge at random moments of its write-back and checks that its guarantees hold."""
    from rushmux.cli import crash_rounds

    failures = crash_rounds.run(runs, seed, real, jobs, file)
    sys.exit(1 if failures else 0)
