"""`rushmux rig`: plays fault scenarios on processes and checks their recordings."""

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path

import click

MAX_JOBS = 16


@click.command(
    "rig",
    help="Plays stories (names, or files), each on its own planners, edges and nodes; exits with 1 if one"
    " breaks a rule.",
)
@click.argument("scenarios", metavar="[STORIES]...", nargs=-1)
@click.option("--all", "run_all", is_flag=True, help="play every bundled story")
@click.option(
    "--jobs",
    type=click.IntRange(1, MAX_JOBS),
    default=3,
    show_default=True,
    help="stories to play in parallel",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--data", type=click.Path(), help="folder for data, logs and recordings; default: a temporary one"
)
@click.option("--facts", is_flag=True, help="show counts of each story")
def rig(
    scenarios: Sequence[str], *, run_all: bool, jobs: int, seed: int, data: str | None, facts: bool
) -> None:
    """Plays fault scenarios; exits with 1 if one breaks a rule."""
    from rushmux.standins import fault_injection, fault_scenario

    try:
        chosen = [fault_scenario.load(name) for name in (fault_scenario.names() if run_all else scenarios)]
    except fault_scenario.ScenarioError as error:
        raise click.ClickException(str(error)) from error
    if not chosen:
        available = ", ".join(fault_scenario.names())
        raise click.ClickException(f"name a story, or --all; there are {available}")
    with tempfile.TemporaryDirectory() as temporary:
        results = asyncio.run(
            fault_injection.run_scenarios(
                chosen,
                Path(data or temporary),
                jobs=jobs,
                seed=seed,
                show=click.echo,
                show_facts=facts,
            )
        )
    broken = sum(bool(result.breaches) for result in results)
    click.echo(f"{len(results) - broken} of {len(results)} stories kept every rule")
    raise SystemExit(1 if broken else 0)
