"""`rushmux planner`: a server of the control plane."""

import asyncio
import random
from typing import TYPE_CHECKING

import click

from rushmux.cli.node import CELLS
from rushmux.cli.parameters import Address, NamedAddressesParameter, load_deployment, new_seed
from rushmux.cli.serving import ServerOptions, open_recorder, serve, server_options

if TYPE_CHECKING:
    from rushmux.planner.replication_settings import ReplicationSettings


@click.command("planner")
@server_options
@CELLS
@click.option(
    "--data",
    type=click.Path(),
    required=True,
    help="file of its membership store; its log is stored beside it",
)
@click.option(
    "--planners",
    type=NamedAddressesParameter(),
    help="addresses of all planners of the fleet, including this one",
)
@click.option("--name", default="a", show_default=True, help="name of this planner")
@click.option(
    "--found",
    "bootstrap",
    is_flag=True,
    help="create the planners' log; only at the fleet's first start",
)
def planner(  # over 40 lines: a parameter for each option
    options: ServerOptions,
    *,
    cells: int,
    data: str,
    planners: dict[str, Address] | None,
    name: str,
    bootstrap: bool,
) -> None:
    """Tracks which nodes and edges are alive, and informs the edges."""
    from rushmux.planner.errors import MembershipStoreError, RaftStorageError
    from rushmux.planner.membership_store import MembershipStore
    from rushmux.planner.planner import Planner

    deployment, replication = load_deployment(options.deployment_file), None
    if planners or deployment.planner_policy:
        replication = _replication_settings(
            planners or {name: options.listen}, name, f"{data}.log", options.seed, bootstrap
        )
    try:
        store = MembershipStore(data)
    except (MembershipStoreError, OSError) as error:
        raise click.ClickException(str(error)) from error

    async def run() -> None:
        server = Planner(
            cells,
            store,
            options.logger(),
            record=open_recorder(options.records, asyncio.get_running_loop()),
            limited_folders=deployment.limits(),
            gateway_count=deployment.settings.gateway_count,
            deployment=deployment,
            replication=replication,
        )
        try:
            await serve(server, options, server.supervisor)
        except RaftStorageError as error:
            raise click.ClickException(str(error)) from error

    asyncio.run(run())


def _replication_settings(
    planners: dict[str, Address], name: str, log_path: str, seed: int | None, bootstrap: bool
) -> "ReplicationSettings":
    """Returns a planner's settings for log replication."""
    from rushmux.planner.replication_settings import ReplicationSettings

    if name not in planners:
        raise click.ClickException(f"unknown planner '{name}'; the planners are {', '.join(planners)}")
    return ReplicationSettings(name, planners, log_path, random.Random(new_seed(seed)), bootstrap=bootstrap)
