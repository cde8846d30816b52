"""A whole fleet of real processes on loopback (`rushmux up`), and its deployment file."""

import asyncio
import contextlib
import json
import re
import signal
from os import PathLike
from pathlib import Path

import click

from rushmux.cli.parameters import load_deployment, new_seed
from rushmux.settings import deployment as deployments
from rushmux.standins import fleet as fleets
from rushmux.standins.processes import HOST, ProcessFleet, ProcessStartError

UNIT_TIME = 0.001
"""Seconds of a core for a unit of work at a node of `rushmux up`, which is there to be used."""
ENDPOINT_LAG = 0.5
"""Seconds until a change of the list of nodes is told."""
CHECK_INTERVAL = 0.5
"""Seconds between two checks whether all processes live."""
RESTART_DELAY = 1.0
"""Seconds until a process that ended is started again."""
FLEET_FILE_FORMAT = 1


def write_deployment(
    template: str | PathLike[str], edges: int, folder: Path, unit_time: float
) -> tuple[Path, deployments.Deployment]:
    """Writes a deployment file for so many edges on stand-in nodes of a speed.

    What overloads such a cold node is known, and the gateways' parts of it are made as small as the
    verifier asks.

    Args:
        template: The deployment file that it is made from.
        edges: Number of edges.
        folder: Where `deployment.json` is written.
        unit_time: Seconds of a core for a unit of work.
    """
    shape = fleets.shape_of(load_deployment(template), unit=unit_time)
    raw = json.loads(Path(template).read_text())
    raw["fleet"]["gateways"] = edges
    cold_capacity = shape.cores * shape.speed / unit_time * shape.cold_start * shape.cold_span
    raw.setdefault("bounds", {})["cold_falls_units"] = int(cold_capacity * shape.fall_multiple)
    try:
        deployments.build(raw)
    except deployments.DeploymentError as error:
        _accept_nearest_cold_units(raw, error)
    path = Path(folder) / "deployment.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(raw, indent=2))
    return path, load_deployment(path)


def _accept_nearest_cold_units(raw: dict, error: deployments.DeploymentError) -> None:
    """Takes over the nearest value that the verifier names for a cold node's units."""
    for finding in error.findings:
        nearest = re.fullmatch(r"/fleet/cold_units (\S+)", finding.suggestion)
        if nearest:
            raw["fleet"]["cold_units"] = float(nearest[1])


def run_until_stopped(edges: int, nodes: int, folder: Path, file: str) -> None:
    """Starts a fleet, restarts what ends, and stops it on SIGTERM or SIGINT.

    Args:
        edges: Number of edges.
        nodes: Number of nodes; it must be that of earlier starts with the same folder.
        folder: Where the fleet keeps its data.
        file: The deployment file that the fleet's own is made from.
    """
    path, deployment = write_deployment(file, edges, folder, UNIT_TIME)
    _check_node_count(folder, nodes)

    async def run() -> None:
        loop, stopped = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        fleet = ProcessFleet(
            path, deployment, folder, new_seed(None), lag=ENDPOINT_LAG, unit=UNIT_TIME, planner=True
        )
        try:
            await fleet.start(nodes, edges)
            _announce(fleet)
            await _restart_until_stopped(fleet, stopped)
        except ProcessStartError as error:
            raise click.ClickException(str(error)) from error
        finally:
            await fleet.stop()

    asyncio.run(run())


def _check_node_count(folder: Path, nodes: int) -> None:
    """Notes the number of nodes at the first start; a later start with another number is an error."""
    fleet_file = folder / "fleet.json"
    stored = json.loads(fleet_file.read_text())["cells"] if fleet_file.exists() else nodes
    if stored != nodes:
        raise click.ClickException(
            f"{folder} holds a fleet of {stored} nodes, not {nodes}: "
            "where names lie follows from their number"
        )
    fleet_file.write_text(json.dumps({"format": FLEET_FILE_FORMAT, "cells": nodes}))


def _announce(fleet: ProcessFleet) -> None:
    addresses = [f"{HOST}:{fleet.edges[number].port}" for number in sorted(fleet.edges)]
    click.echo(json.dumps({"edges": addresses, "planner": f"{HOST}:{fleet.endpoint_source.port}"}))


async def _restart_until_stopped(fleet: ProcessFleet, stopped: asyncio.Event) -> None:
    """Restarts processes that ended, nodes cold and with the data they hold."""
    while not stopped.is_set():
        await _restart_ended(fleet)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL):
                await stopped.wait()


async def _restart_ended(fleet: ProcessFleet) -> None:
    for name, part in list(fleet.nodes.items()):
        if part.process.returncode is not None:
            _report_ended(name, part.process.returncode)
            await asyncio.sleep(RESTART_DELAY)
            await fleet.start_node(name, part.cell)
    if fleet.planner and fleet.endpoint_source.process.returncode is not None:
        _report_ended("planner", fleet.endpoint_source.process.returncode)
        await fleet.start_single_planner(fleet.endpoint_source.port)
    for number, part in list(fleet.edges.items()):
        if part.process.returncode is not None:
            _report_ended(part.name, part.process.returncode)
            await asyncio.sleep(RESTART_DELAY)
            await fleet.start_edge(number, part.port)


def _report_ended(name: str, exit_code: int) -> None:
    click.echo(json.dumps({"ended": name, "code": exit_code}), err=True)
