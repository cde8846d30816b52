"""`rushmux rig`: stories of faults between real processes, judged."""

import asyncio
import tempfile
from pathlib import Path

import click


@click.command()
@click.argument("stories", nargs=-1)
@click.option("--all", "every", is_flag=True, help="every story of the collection")
@click.option("--jobs", type=click.IntRange(1, 16), default=3, show_default=True, help="stories at a time")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--data", type=click.Path(), help="folder for data, logs and recordings; default: a temporary one"
)
@click.option("--facts", is_flag=True, help="counts of each story")
def rig(stories, every, jobs, seed, data, facts):
    """Plays stories (names, or files) on planners, edges and nodes of their own; exit 1 where one breaks a
    rule.
    """
    from rushmux.standins import fault_injection as rigs

    try:
        chosen = [rigs.load(name) for name in (rigs.names() if every else stories)]
    except rigs.BadStory as fault:
        raise click.ClickException(str(fault)) from fault
    if not chosen:
        raise click.ClickException(f"name a story, or --all; there are {', '.join(rigs.names())}")
    with tempfile.TemporaryDirectory() as spare:
        found = asyncio.run(rigs.together(chosen, Path(data or spare), jobs, seed, click.echo, facts))
    broken = sum(bool(told.breaches) for told in found)
    click.echo(f"{len(found) - broken} of {len(found)} stories kept every rule")
    raise SystemExit(1 if broken else 0)
