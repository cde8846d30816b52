"""`rushmux edge`: an edge, which serves SFTP clients."""

import asyncio
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from rushmux.cli.parameters import Address, AddressListParameter, load_deployment, new_seed
from rushmux.cli.serving import ServerOptions, open_recorder, serve, server_options

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rushmux.buffer.disk import SegmentFolder
    from rushmux.edge.edge import Edge
    from rushmux.edge.policy_store import PolicyStore
    from rushmux.settings.deployment import Deployment


@click.command("edge")
@server_options
@click.option(
    "--number", type=int, default=0, show_default=True, help="which of the deployment's edges this is"
)
@click.option(
    "--lists",
    "endpoint_sources",
    type=AddressListParameter(),
    required=True,
    help="address of the endpoint list's source; several planners separated by commas",
)
@click.option(
    "--decisions", type=click.Choice(["module", "passthrough"]), default="module", show_default=True
)
@click.option(
    "--data",
    type=click.Path(),
    help="folder for the write-back log and the last endpoint list; default: neither is stored",
)
def edge(  # over 40 lines: assembles the parts of an edge, one a line
    options: ServerOptions,
    *,
    number: int,
    endpoint_sources: "Address | Sequence[Address]",
    decisions: str,
    data: str | None,
) -> None:
    """Serves SFTP clients from the storage nodes."""
    from rushmux.buffer.writeback import write_back_factory
    from rushmux.edge.edge import Edge
    from rushmux.edge.endpoint_cache import EndpointCache
    from rushmux.scheduling.scheduler import Scheduler
    from rushmux.settings import deployment as deployments
    from rushmux.standins.passthrough import PassThroughScheduler

    deployment = load_deployment(options.deployment_file)
    if not 0 <= number < deployment.settings.gateway_count:
        raise click.ClickException(
            f"--number {number} is out of range: "
            f"the deployment has {deployment.settings.gateway_count} edges, numbered from 0"
        )
    policy_store = _open_policy_store(data) if deployment.planner_policy else None
    log_disk = _open_log_disk(deployment, data)

    async def run() -> None:
        loop, logger = asyncio.get_running_loop(), options.logger()
        record = open_recorder(options.records, loop)
        if data:
            Path(data).mkdir(parents=True, exist_ok=True)
        server = Edge(
            number,
            deployment,
            endpoint_sources,
            seed=new_seed(options.seed),
            epoch=time.time() - loop.time(),
            log=logger,
            scheduler_type={"module": Scheduler, "passthrough": PassThroughScheduler}[decisions],
            make_buffer=write_back_factory(deployment, log_disk),
            endpoint_cache=EndpointCache(Path(data) / "last.list", time.time, logger) if data else None,
            policy_store=policy_store,
        )
        _record_state(server, record)
        loop.add_signal_handler(
            signal.SIGHUP, server.reload, lambda: deployments.load(options.deployment_file)
        )
        await serve(server, options, start=server.incarnation)

    asyncio.run(run())


def _open_policy_store(data: str | None) -> "PolicyStore":
    """Opens the store of the fleet's policy in the edge's data folder."""
    from rushmux.edge.policy_store import PolicyFormatError, PolicyStore

    if not data:
        raise click.ClickException(
            "an edge of a fleet with a policy needs --data to store the decided policy"
        )
    store = PolicyStore(Path(data) / "policy.kept")
    try:
        store.load()
    except PolicyFormatError as error:
        raise click.ClickException(str(error)) from error
    except Exception:
        # Damaged: the edge logs it at startup and serves nothing until a planner has sent the policy.
        pass
    return store


def _open_log_disk(deployment: "Deployment", data: str | None) -> "SegmentFolder | None":
    """Opens the folder of the write-back log if there are both a buffer and a data folder."""
    from rushmux.buffer.disk import SegmentFolder
    from rushmux.buffer.errors import LogInUseError

    if not data or deployment.buffer is None:
        return None
    try:
        return SegmentFolder(data, deployment.buffer["log_sync"])
    except (LogInUseError, OSError) as error:
        raise click.ClickException(str(error)) from error


def _record_state(server: "Edge", record: "Callable[..., None]") -> None:
    """Records each change of the edge's active policy and of its endpoint list."""
    identity = {"edge": server.name, "start": server.incarnation}
    server.on_policy_state = lambda state: record(
        "goes_by",
        **identity,
        number=state.active_version,
        staged=state.staged_version or 0,
        narrow=state.degraded,
        serves=state.serving,
    )
    server.on_listing = lambda nodes: record("told", **identity, nodes=nodes)
