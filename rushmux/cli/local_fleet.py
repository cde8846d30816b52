"""`rushmux up`: a fleet of processes on loopback, and its deployment file."""

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
"""Core seconds for one unit of work; small, since this fleet is for actual use."""
ENDPOINT_LAG = 0.5
"""Seconds until a change of the endpoint list is announced."""
CHECK_INTERVAL = 0.5
"""Seconds between two checks that all processes are alive."""
RESTART_DELAY = 1.0
"""Seconds until a process that ended is restarted."""
FLEET_FILE_FORMAT = 1


def write_deployment(
    template: str | PathLike[str], edges: int, folder: Path, unit_time: float
) -> tuple[Path, deployments.Deployment]:
    """Writes a deployment file for a fleet of stand-in nodes, and loads it.

    States the load that overloads such a node in slow start, and lowers what gateways send it then if the
    verifier requires that.

    Args:
        template: The deployment file to start from.
        edges: Number of edges.
        folder: Where `deployment.json` is written.
        unit_time: Core seconds for one unit of work on a node.
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
    """Sets `cold_units` to the nearest value that the verifier suggests."""
    for finding in error.findings:
        nearest = re.fullmatch(r"/fleet/cold_units (\S+)", finding.suggestion)
        if nearest:
            raw["fleet"]["cold_units"] = float(nearest[1])


def run_until_stopped(edges: int, nodes: int, folder: Path, file: str) -> None:
    """Starts a fleet, restarts processes that end, and stops the fleet on SIGTERM or SIGINT.

    Args:
        edges: Number of edges.
        nodes: Number of nodes; the same at every start with a folder.
        folder: Where the fleet keeps its data.
        file: The deployment file to derive the fleet's own from.
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
    """Stores the number of nodes at the first start; a later start must have the same number."""
    fleet_file = folder / "fleet.json"
    stored = json.loads(fleet_file.read_text())["cells"] if fleet_file.exists() else nodes
    if stored != nodes:
        raise click.ClickException(
            f"{folder} holds a fleet of {stored} nodes, not {nodes}: "
            "the placement of names depends on the number of nodes"
        )
    fleet_file.write_text(json.dumps({"format": FLEET_FILE_FORMAT, "cells": nodes}))


def _announce(fleet: ProcessFleet) -> None:
    addresses = [f"{HOST}:{fleet.edges[number].port}" for number in sorted(fleet.edges)]
    click.echo(json.dumps({"edges": addresses, "planner": f"{HOST}:{fleet.endpoint_source.port}"}))


async def _restart_until_stopped(fleet: ProcessFleet, stopped: asyncio.Event) -> None:
    """Restarts processes that end; nodes start cold and keep their data."""
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
