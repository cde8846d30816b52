"""`rushmux check` and `rushmux move`: commands on deployment files."""

import json
from collections.abc import Sequence
from pathlib import Path

import click

from rushmux import atomic_write
from rushmux.cli.parameters import load_deployment


@click.command("check")
@click.argument("file", type=click.Path())
@click.option("--facts", is_flag=True, help="show the worst cases that the accepted file allows")
@click.option(
    "--routes",
    "show_routes",
    is_flag=True,
    help="show the route of each lane and plan, and its place in the file",
)
def check(file: str, *, facts: bool, show_routes: bool) -> None:
    """Validates a deployment file, verifies its routes and prints every refusal; starts nothing."""
    from rushmux.routes import explain, verifier

    deployment = load_deployment(file, explain=True)
    if show_routes:
        for line in explain.describe_routes(deployment.routes):
            click.echo(line)
    if facts:
        for line in explain.describe_worst_cases(verifier.worst_cases(deployment.bounds, deployment.routes)):
            click.echo(line)
    settings = deployment.settings
    click.echo(
        f"{file}: {len(settings.request_classes)} lanes, {len(settings.plans)} plans, "
        f"{len(deployment.folders)} folders: in order"
    )


@click.command("move")
@click.argument("file", type=click.Path())
@click.option(
    "--to",
    "target",
    type=click.Path(dir_okay=False),
    help="path of the new file; if omitted, nothing is written",
)
@click.option("--dry-run", is_flag=True, help="show what could not be carried over and write nothing")
@click.option("--force", is_flag=True, help="overwrite an existing file")
@click.option(
    "--load",
    type=click.Choice(["none", "probe"]),
    default="probe",
    show_default=True,
    help="whether the new nodes report their load to edges on request",
)
@click.option("--meter-ms", type=float, help="period of the fleet's usage meter; 0: none")
@click.option("--in-order", multiple=True, help="a lane to order by key; may be repeated")
@click.option(
    "--order-rest-ms", type=float, help="how long a key rests after an operation that may still run"
)
@click.option("--gateways", type=int, help="number of edges in the new fleet")
@click.option("--no-reserves", is_flag=True, help="plans share capacity by weight only")
@click.option("--no-copies", is_flag=True, help="the new nodes take no hedged requests")
def move(
    file: str,
    *,
    target: str | None,
    dry_run: bool,
    force: bool,
    load: str,
    meter_ms: float | None,
    in_order: Sequence[str],
    order_rest_ms: float | None,
    gateways: int | None,
    no_reserves: bool,
    no_copies: bool,
) -> None:
    """Converts a deployment file to the new kind and lists what could not be carried over."""
    from rushmux.settings import deployment as deployments
    from rushmux.settings import migration

    shape = migration.TargetShape(
        load, meter_ms, in_order, order_rest_ms, gateways, not no_reserves, not no_copies
    )
    new, not_carried_over = migration.migrate(load_deployment(file).raw, shape)
    for place, text in not_carried_over:
        click.echo(f"{file}: {place}: {text}")
    try:
        deployments.build(new, target or "the new file")
    except deployments.DeploymentError as error:
        raise click.ClickException(f"nothing written; the new file would be refused\n{error}") from error
    if target is None or dry_run:
        click.echo(f"in order; nothing written, {len(not_carried_over)} to look at")
        return
    state = _write(Path(target), new, force)
    click.echo(f"{target}: {state}, {len(not_carried_over)} to look at")


def _write(path: Path, raw: dict, force: bool) -> str:
    """Writes a deployment file atomically and returns the status that the command prints."""
    data = (json.dumps(raw, indent=2, ensure_ascii=False) + "\n").encode()
    if path.exists() and path.read_bytes() == data:
        return "is so already"
    if path.exists() and not force:
        raise click.ClickException(f"{path} already exists; use --force to overwrite it")
    try:
        atomic_write.replace_file(path, data)
    except OSError as error:
        raise click.ClickException(f"{path}: cannot be written: {error.strerror}") from error
    return "written"
