"""`rushmux fleet`: what people ask of a planner."""

import asyncio

import click

from rushmux.cli.shared import Places

PLANNER = click.option(
    "--planner", type=Places(), required=True, help="HOST:PORT of the planner; of several with commas between"
)
MOST_LOOKS = 100_000  # of one `watch`


def ordered(planner, verb, member=""):
    from rushmux.planner import admin_server

    try:
        return asyncio.run(admin_server.order(planner, verb, member))
    except admin_server.NotOrdered as fault:
        place = f"{planner[0]}:{planner[1]}: " if isinstance(planner[0], str) else ""
        raise click.ClickException(f"{place}{fault}") from fault


@click.group()
def fleet():
    """Nodes and edges as the planner knows them; drains."""


@fleet.command()
@PLANNER
def show(planner):
    """Every member, its condition and why."""
    from rushmux.planner import admin_server

    click.echo("\n".join(admin_server.lines(ordered(planner, "show"))))


@fleet.command()
@PLANNER
@click.argument("node")
@click.option("--wait", type=float, default=0.0, help="seconds to wait until it may be stopped")
def drain(planner, node, wait):
    """Nothing new goes to a node; exit 1 where it may not be stopped in the time waited for."""
    import time

    answer, until = ordered(planner, "drain", node), time.monotonic() + wait
    while True:
        row = next(row for row in answer.members if row.member == node)
        if row.condition == "drained" or time.monotonic() >= until:
            break
        time.sleep(0.5)
        answer = ordered(planner, "show")
    click.echo(f"{node}: {row.condition}, {row.reason}")
    raise SystemExit(1 if wait and row.condition != "drained" else 0)


@fleet.command()
@PLANNER
@click.argument("node")
def undrain(planner, node):
    """A node may be used again."""
    row = next(row for row in ordered(planner, "undrain", node).members if row.member == node)
    click.echo(f"{node}: {row.condition}, {row.reason}")


@fleet.command()
@PLANNER
@click.option("--every", type=click.FloatRange(0.1, 60), default=1.0, show_default=True)
@click.option("--looks", type=click.IntRange(1, MOST_LOOKS), default=MOST_LOOKS, show_default=True)
def watch(planner, every, looks):
    """Prints members as their conditions change."""
    import time

    known = {}
    for look in range(looks):
        for row in ordered(planner, "show").members:
            if known.get(row.member) != (row.condition, row.start):
                known[row.member] = row.condition, row.start
                click.echo(f"{row.member}: {row.condition}, {row.reason}")
        if look + 1 < looks:
            time.sleep(every)
