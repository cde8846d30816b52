"""`rushmux node` and `rushmux lists`: stand-ins for storage nodes and the endpoint list's source."""

import asyncio
from typing import TYPE_CHECKING

import click

from rushmux.cli.parameters import (
    Address,
    AddressListParameter,
    AddressParameter,
    load_deployment,
    new_seed,
)
from rushmux.cli.serving import ServerOptions, open_recorder, serve, server_options
from rushmux.scheduling.driver import TICKS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Sequence

CELLS = click.option(
    "--cells", type=int, required=True, help="number of shards of the data; must never change"
)
ACCEPTS_FAULTS = click.option(
    "--obeys", "accepts_faults", is_flag=True, help="accept commands that inject faults"
)


@click.command("node")
@server_options
@click.option("--name", required=True)
@click.option("--cell", type=int, required=True, help="shard of the data that it holds")
@click.option("--zone", default="z", show_default=True)
@click.option("--lists", "endpoint_sources", type=AddressListParameter(), required=True)
@click.option(
    "--tell", "advertised", type=AddressParameter(), help="address to advertise, if not the one it listens on"
)
@click.option("--data", type=click.Path(), required=True, help="database file of its store")
@click.option("--disk", "disk_bytes", type=int, default=1 << 30, show_default=True, help="bytes")
@click.option(
    "--unit",
    "unit_time",
    type=float,
    default=0.015,
    show_default=True,
    help="core seconds for one unit of work",
)
@click.option("--cores", type=int, default=2, show_default=True)
@click.option("--warm", is_flag=True, help="start at full capacity")
@click.option("--sync", is_flag=True, help="sync each commit to disk before answering")
@ACCEPTS_FAULTS
def node(  # over 40 lines: a parameter for each option
    options: ServerOptions,
    *,
    name: str,
    cell: int,
    zone: str,
    endpoint_sources: "Address | Sequence[Address]",
    advertised: Address | None,
    data: str,
    disk_bytes: int,
    unit_time: float,
    cores: int,
    warm: bool,
    sync: bool,
    accepts_faults: bool,
) -> None:
    """Runs a stand-in for a storage node."""
    from rushmux.standins.fleet import dedup_window_of, shape_of
    from rushmux.standins.loop_lag import LoopLagWatch
    from rushmux.standins.node import Identity, Node
    from rushmux.standins.store import Store, StoreError

    deployment = load_deployment(options.deployment_file)
    try:
        store = Store(data, cell, disk_bytes, dedup_window_of(deployment), sync)
    except StoreError as error:
        raise click.ClickException(str(error)) from error

    async def run() -> None:
        record = open_recorder(options.records, asyncio.get_running_loop())
        server = Node(
            Identity(name, cell, zone, advertised),
            store,
            endpoint_sources,
            shape_of(deployment, unit=unit_time, cores=cores),
            seed=new_seed(options.seed),
            cold=not warm,
            log=options.logger(),
            record=record,
            accepts_faults=accepts_faults,
        )
        lag_watch = LoopLagWatch(lambda since: record("stall", node=name, since=since))
        async with asyncio.TaskGroup() as tasks:
            lag_task = tasks.create_task(lag_watch.run())
            await serve(server, options, start=server.incarnation)
            lag_task.cancel()

    asyncio.run(run())


@click.command("lists")
@server_options
@CELLS
@click.option("--lag", type=float, default=1.0, show_default=True, help="seconds until a change is announced")
@ACCEPTS_FAULTS
def lists(options: ServerOptions, *, cells: int, lag: float, accepts_faults: bool) -> None:
    """Runs a stand-in for the endpoint list's source."""
    from rushmux.standins.lists import ListSource

    deployment = load_deployment(options.deployment_file)
    settings = deployment.settings

    async def run() -> None:
        rates = {name: settings.plans[folder.plan].nominal for name, folder in deployment.folders.items()}
        server = ListSource(
            cells,
            lag,
            options.logger(),
            open_recorder(options.records, asyncio.get_running_loop()),
            start=f"{new_seed(options.seed):x}",
            usage_period=settings.usage_period / TICKS_PER_SECOND,
            nominal_rates=rates,
            accepts_faults=accepts_faults,
        )
        await serve(server, options)

    asyncio.run(run())
