"""The command line: the only place that reads arguments, the wall clock and the machine's chance."""

import asyncio
import contextlib
import json
import signal
import sys
import time
from pathlib import Path

import click

from rushmux import atomic_write, log
from rushmux.cli.lab import lab
from rushmux.cli.planning import fleet
from rushmux.cli.policies import policy
from rushmux.cli.rig import rig
from rushmux.cli.shared import EXAMPLE, Named, Place, Places, deployed, new_seed

LEVELS = click.Choice(sorted(log.LEVELS))


def common(command):
    """Options of every part that runs until it is told to end."""
    for option in (
        click.option(
            "--deployment", "file", type=click.Path(), default=str(EXAMPLE), show_default="the example"
        ),
        click.option("--listen", type=Place(), default="127.0.0.1:0", show_default=True),
        click.option("--seed", type=int, help="all of its chance; must differ at every start"),
        click.option("--records", type=click.Path(), help="write what its sockets see to this file"),
        click.option("--log-level", type=LEVELS, default="info", show_default=True),
        click.option("--with-parent", is_flag=True, help="end when standard input closes"),
    ):
        command = option(command)
    return command


def recorder(path, loop):
    """Writes rows, each whole and at once, so that a kill costs none."""
    if path is None:
        return lambda kind, **fields: None
    sink = open(path, "ab", buffering=0)

    def record(kind, **fields):
        import orjson

        sink.write(orjson.dumps({"kind": kind, "at": loop.time(), **fields}) + b"\n")

    return record


async def serve(part, listen, with_parent, **said):
    """Opens a part, says where it listens, and closes it on SIGTERM, SIGINT or the parent's end."""
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    if with_parent:
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        watch = loop.create_task(reader.read(1))
        watch.add_done_callback(lambda _: ended.set())
    try:
        port = await part.open(*listen)
    except OSError as fault:
        raise click.ClickException(f"cannot listen at {listen[0]}:{listen[1]}: {fault.strerror}") from fault
    import orjson

    click.echo(orjson.dumps({"port": port, **said}))
    await ended.wait()
    await part.close()


@click.group()
def main():
    """rushmux: a storage gateway, and the stand-ins it is tried against."""


main.add_command(lab)
main.add_command(fleet)
main.add_command(policy)
main.add_command(rig)


@main.command()
@common
@click.option(
    "--number", type=int, default=0, show_default=True, help="which of the deployment's edges this is"
)
@click.option(
    "--lists",
    type=Places(),
    required=True,
    help="source of the list of nodes; of several planners with commas between",
)
@click.option(
    "--decisions", type=click.Choice(["module", "passthrough"]), default="module", show_default=True
)
@click.option(
    "--data",
    type=click.Path(),
    help="folder for the log of its write-back buffer and the last list; left out: neither",
)
def edge(file, listen, seed, records, log_level, with_parent, number, lists, decisions, data):
    """Takes clients and serves their files from the nodes."""
    from rushmux.buffer.disk import SegmentFolder
    from rushmux.buffer.errors import LogInUseError
    from rushmux.buffer.writeback import write_back_factory
    from rushmux.edge.edge import Edge
    from rushmux.edge.endpoint_cache import EndpointCache
    from rushmux.edge.policy_store import PolicyFormatError, PolicyStore
    from rushmux.scheduling.scheduler import Scheduler
    from rushmux.settings import deployment as deployments
    from rushmux.standins.passthrough import PassThrough

    deployment = deployed(file)
    if not 0 <= number < deployment.settings.gateway_count:
        raise click.ClickException(f"edge {number} of {deployment.settings.gateway_count}")
    disk = kept = None
    if deployment.policy:
        if not data:
            raise click.ClickException(
                "an edge of a fleet with a policy needs --data: it keeps what was decided"
            )
        kept = PolicyStore(Path(data) / "policy.kept")
        try:
            kept.load()
        except PolicyFormatError as fault:
            raise click.ClickException(str(fault)) from fault
        except Exception:  # pylint: disable=broad-except
            pass  # said when it starts: it serves nothing until it was told
    if data and deployment.buffer is not None:
        try:
            disk = SegmentFolder(data, deployment.buffer["log_sync"])
        except (LogInUseError, OSError) as fault:
            raise click.ClickException(str(fault)) from fault

    async def run():
        loop = asyncio.get_running_loop()
        record, logger = recorder(records, loop), log.to_stream(sys.stderr.buffer, log_level)
        if data:
            Path(data).mkdir(parents=True, exist_ok=True)
        cache = EndpointCache(Path(data) / "last.list", time.time, logger) if data else None
        part = Edge(
            number,
            deployment,
            lists,
            seed=new_seed(seed),
            epoch=time.time() - loop.time(),
            log=logger,
            scheduler_type={"module": Scheduler, "passthrough": PassThrough}[decisions],
            make_buffer=write_back_factory(deployment, disk),
            endpoint_cache=cache,
            policy_store=kept,
        )
        part.on_policy_state = lambda state: record(
            "goes_by",
            edge=part.name,
            start=part.incarnation,
            number=state.active_version,
            staged=state.staged_version or 0,
            narrow=state.degraded,
            serves=state.serving,
        )
        part.on_listing = lambda nodes: record("told", edge=part.name, start=part.incarnation, nodes=nodes)
        loop.add_signal_handler(signal.SIGHUP, part.reload, lambda: deployments.load(file))
        await serve(part, listen, with_parent, start=part.incarnation)

    asyncio.run(run())


@main.command()
@common
@click.option("--name", required=True)
@click.option("--cell", type=int, required=True, help="the shard of data it holds")
@click.option("--zone", default="z", show_default=True)
@click.option("--lists", type=Places(), required=True)
@click.option("--tell", type=Place(), help="where edges find it, if not where it listens")
@click.option("--data", type=click.Path(), required=True, help="file of its store")
@click.option("--disk", type=int, default=1 << 30, show_default=True, help="bytes")
@click.option(
    "--unit", type=float, default=0.015, show_default=True, help="seconds of a core for a unit of work"
)
@click.option("--cores", type=int, default=2, show_default=True)
@click.option("--warm", is_flag=True, help="start at full capacity")
@click.option("--sync", is_flag=True, help="every commit reaches the disk before it is answered")
@click.option("--obeys", is_flag=True, help="take orders to be in trouble")
def node(
    file,
    listen,
    seed,
    records,
    log_level,
    with_parent,
    name,
    cell,
    zone,
    lists,
    tell,
    data,
    disk,
    unit,
    cores,
    warm,
    sync,
    obeys,
):
    """A stand-in storage node."""
    from rushmux.standins.fleet import shape_of, window_of
    from rushmux.standins.node import Node
    from rushmux.standins.store import BadStore, Store

    deployment = deployed(file)
    try:
        store = Store(data, cell, disk, window_of(deployment), sync)
    except BadStore as fault:
        raise click.ClickException(str(fault)) from fault

    async def run():
        loop = asyncio.get_running_loop()
        part = Node(
            name,
            cell,
            zone,
            store,
            lists,
            shape_of(deployment, unit=unit, cores=cores),
            new_seed(seed),
            not warm,
            log.to_stream(sys.stderr.buffer, log_level),
            recorder(records, loop),
            obeys,
            tell,
        )
        await serve(part, listen, with_parent, start=part.start)

    asyncio.run(run())


@main.command()
@common
@click.option("--cells", type=int, required=True, help="shards that data is spread over; never changed later")
@click.option("--lag", type=float, default=1.0, show_default=True, help="seconds until a change is told")
@click.option("--obeys", is_flag=True, help="take orders to be in trouble")
def lists(file, listen, seed, records, log_level, with_parent, cells, lag, obeys):
    """A stand-in for the source of the list of nodes."""
    from rushmux.standins.lists import ListSource

    deployment = deployed(file)
    settings = deployment.settings

    async def run():
        rates = {name: settings.plans[folder.plan].nominal for name, folder in deployment.folders.items()}
        part = ListSource(
            cells,
            lag,
            log.to_stream(sys.stderr.buffer, log_level),
            recorder(records, asyncio.get_running_loop()),
            f"{new_seed(seed):x}",
            settings.usage_period / 10_000,
            rates,
            obeys,
        )
        await serve(part, listen, with_parent)

    asyncio.run(run())


@main.command()
@common
@click.option("--cells", type=int, required=True, help="shards that data is spread over; never changed later")
@click.option(
    "--data", type=click.Path(), required=True, help="file of what it knows; its log lies beside it"
)
@click.option("--planners", type=Named(), help="all planners of the fleet, this one among them")
@click.option("--name", default="a", show_default=True, help="which of the planners this is")
@click.option("--found", is_flag=True, help="begin the planners' log; at the fleet's first start only")
def planner(file, listen, seed, records, log_level, with_parent, cells, data, planners, name, found):
    """Knows which nodes and edges live, and tells the edges."""
    import random

    from rushmux.planner.errors import MembershipStoreError, RaftStorageError
    from rushmux.planner.membership_store import MembershipStore
    from rushmux.planner.planner import Planner
    from rushmux.planner.replication_settings import ReplicationSettings

    deployment, replication = deployed(file), None
    if planners or deployment.policy:
        planners = planners or {name: listen}
        if name not in planners:
            raise click.ClickException(f"there is no planner '{name}'; there are {', '.join(planners)}")
        replication = ReplicationSettings(
            name, planners, f"{data}.log", random.Random(new_seed(seed)), bootstrap=found
        )
    try:
        store = MembershipStore(data)
    except (MembershipStoreError, OSError) as fault:
        raise click.ClickException(str(fault)) from fault

    async def run():
        part = Planner(
            cells,
            store,
            log.to_stream(sys.stderr.buffer, log_level),
            record=recorder(records, asyncio.get_running_loop()),
            limited_folders=deployment.limits(),
            gateway_count=deployment.settings.gateway_count,
            deployment=deployment,
            replication=replication,
        )
        try:
            await serve(part, listen, with_parent)
        except RaftStorageError as fault:
            raise click.ClickException(str(fault)) from fault

    asyncio.run(run())


@main.command()
@click.argument("place", type=Place())
def connect(place):
    """Joins standard input and output to an edge, for clients that speak through a command."""

    async def run():
        loop = asyncio.get_running_loop()
        try:
            reader, writer = await asyncio.open_connection(*place)
        except OSError as fault:
            raise click.ClickException(f"{place[0]}:{place[1]}: {fault.strerror or fault}") from fault
        near = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(near), sys.stdin)

        async def upwards():
            while data := await near.read(1 << 16):
                writer.write(data)
                await writer.drain()
            writer.write_eof()

        async def downwards():
            while data := await reader.read(1 << 16):
                sys.stdout.buffer.write(data)
                sys.stdout.buffer.flush()

        up = loop.create_task(upwards())
        with contextlib.suppress(OSError):
            await downwards()
        up.cancel()

    asyncio.run(run())


@main.command()
@click.argument("file", type=click.Path())
@click.option("--facts", is_flag=True, help="the worst that the accepted file allows")
@click.option("--routes", "told", is_flag=True, help="the route of each lane and plan, and where it stands")
def check(file, facts, told):
    """Reads a deployment file, proves its routes and tells every refusal, starting nothing."""
    from rushmux.routes import explain, verifier

    deployment = deployed(file, plainly=True)
    if told:
        for line in explain.routes(deployment.routes):
            click.echo(line)
    if facts:
        for line in explain.worst_cases(verifier.worst_cases(deployment.bounds, deployment.routes)):
            click.echo(line)
    click.echo(
        f"{file}: {len(deployment.settings.request_classes)} lanes, {len(deployment.settings.plans)} plans, "
        f"{len(deployment.folders)} folders: in order"
    )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--to", type=click.Path(dir_okay=False), help="the new file; without it nothing is written")
@click.option("--dry-run", is_flag=True, help="tell what would be written and what would be left, and stop")
@click.option("--force", is_flag=True, help="write over a file that is there")
@click.option(
    "--load",
    type=click.Choice(["none", "probe"]),
    default="probe",
    show_default=True,
    help="whether the new nodes tell their load to edges that ask",
)
@click.option("--meter-ms", type=float, help="period of the fleet's meter; 0: none")
@click.option("--in-order", multiple=True, help="a lane to keep in order by key; may be given again")
@click.option("--order-rest-ms", type=float, help="rest of a key after what may still run")
@click.option("--gateways", type=int, help="edges of the new fleet")
@click.option("--no-reserves", is_flag=True, help="plans share by weight alone")
@click.option("--no-copies", is_flag=True, help="the new nodes take no second copies")
def move(file, to, dry_run, force, load, meter_ms, in_order, order_rest_ms, gateways, no_reserves, no_copies):
    """Makes the new shape's file from one of the old, and lists what it could not carry over."""
    from rushmux.settings import deployment as deployments
    from rushmux.settings import migration

    old = deployed(file)
    new, left = migration.migrate(
        old.raw,
        migration.TargetShape(
            load, meter_ms, in_order, order_rest_ms, gateways, not no_reserves, not no_copies
        ),
    )
    for place, text in left:
        click.echo(f"{file}: {place}: {text}")
    try:
        deployments.build(new, to or "the new file")
    except deployments.DeploymentError as fault:
        raise click.ClickException(f"nothing written; the new file would be refused\n{fault}") from fault
    if to is None or dry_run:
        click.echo(f"in order; nothing written, {len(left)} to look at")
        return
    to, data = Path(to), (json.dumps(new, indent=2, ensure_ascii=False) + "\n").encode()
    if to.exists() and to.read_bytes() == data:
        click.echo(f"{to}: is so already, {len(left)} to look at")
        return
    if to.exists() and not force:
        raise click.ClickException(f"{to} is there already; --force writes over it")
    try:
        atomic_write.replace_file(to, data)
    except OSError as fault:
        raise click.ClickException(f"{to}: cannot be written: {fault.strerror}") from fault
    click.echo(f"{to}: written, {len(left)} to look at")


@main.command()
@click.option("--edges", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 200), default=4, show_default=True)
@click.option("--data", type=click.Path(), required=True, help="folder of the fleet's data; kept")
@click.option("--deployment", "file", type=click.Path(), default=str(EXAMPLE), show_default="the example")
def up(edges, nodes, data, file):
    """Starts a whole fleet on loopback and runs until SIGTERM or Ctrl-C."""
    from rushmux.cli import fleets

    fleets.up(edges, nodes, Path(data), file)


@main.command()
@click.option("--day", default="short", show_default=True, help="a scripted day by its name, or a file")
@click.option("--edges", type=click.IntRange(1, 50), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 50), default=6, show_default=True)
@click.option("--load", type=float, default=0.5, show_default=True, help="part of the folders' nominal rates")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--virtual", is_flag=True, help="in one process on a simulated clock")
@click.option("--both", is_flag=True, help="the same day with a plain pass-through beside it")
@click.option(
    "--data", type=click.Path(), help="folder for data, logs and recordings; default: a temporary one"
)
@click.option("--deployment", "file", type=click.Path(), default=str(EXAMPLE), show_default="the example")
def demo(day, edges, nodes, load, seed, virtual, both, data, file):
    """Plays a scripted bad day, checks the rules from its recordings and prints a report."""
    from rushmux.cli import fleets

    sys.exit(fleets.demo(day, edges, nodes, load, seed, virtual, both, data, file))


@main.command()
@click.option("--runs", type=click.IntRange(1, 1_000_000), default=300, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="of the first; each next has the next")
@click.option("--real", is_flag=True, help="real processes in place of the virtual clock")
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--deployment", "file", type=click.Path(), default=str(EXAMPLE), show_default="the example")
def kills(runs, seed, real, jobs, file):
    """Kills an edge within its write-back at random moments and checks what it had promised."""
    from rushmux.cli import killing

    sys.exit(1 if killing.run(runs, seed, real, jobs, file) else 0)
