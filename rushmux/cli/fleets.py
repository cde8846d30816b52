"""Commands that run a whole fleet."""

import asyncio
import json
import re
import signal
import tempfile
from pathlib import Path

import click

from rushmux.cli.shared import deployed, new_seed
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings import deployment as deployments
from rushmux.standins import fleet as fleets
from rushmux.standins import scenario as days
from rushmux.standins import script
from rushmux.standins.passthrough import PassThrough
from rushmux.standins.processes import HOST, NotStarted, ProcessFleet
from rushmux.standins.report import judge

UNIT = 0.015  # seconds of a core for a unit of work, in the demo
QUICK = 0.001  # the same, in a fleet that is only there to be used
WATCH = 0.5  # seconds between two looks whether all parts live
AGAIN = 1.0  # seconds until a part that ended is started anew
VIRTUAL_WAY, WAY = 0.005, 0.25  # longest time of a message on its way: simulated, and real and busy


def sized(file, edges, folder, unit) -> tuple[Path, deployments.Deployment]:
    """The deployment with so many gateways on stand-in nodes of this speed, written to the fleet's folder.
    What pushes such a node over is known, and the gateways' parts are made as small as the proof asks.
    """
    shape = fleets.shape_of(deployed(file), unit=unit)
    raw = json.loads(Path(file).read_text())
    raw["fleet"]["gateways"] = edges
    falls = shape.cores * shape.speed / unit * shape.cold_start * shape.cold_span * shape.fall_multiple
    raw.setdefault("bounds", {})["cold_falls_units"] = int(falls)
    try:
        deployments.build(raw)
    except deployments.DeploymentError as fault:
        for finding in fault.findings:
            named = re.fullmatch(r"/fleet/cold_units (\S+)", finding.nearest)
            if named:
                raw["fleet"]["cold_units"] = float(named[1])
    path = Path(folder) / "deployment.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(raw, indent=2))
    return path, deployed(path)


def up(edges, nodes, folder, file):
    path, deployment = sized(file, edges, folder, QUICK)
    kept = folder / "fleet.json"
    held = json.loads(kept.read_text())["cells"] if kept.exists() else nodes
    if held != nodes:
        raise click.ClickException(
            f"{folder} holds a fleet of {held} nodes, not {nodes}: where names lie follows from their number"
        )
    kept.write_text(json.dumps({"format": 1, "cells": nodes}))

    async def run():
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ended.set)
        fleet = ProcessFleet(path, deployment, folder, new_seed(None), lag=0.5, unit=QUICK, planner=True)
        try:
            await fleet.up(nodes, edges)
            addresses = [f"{HOST}:{fleet.edges[number].port}" for number in sorted(fleet.edges)]
            click.echo(json.dumps({"edges": addresses, "planner": f"{HOST}:{fleet.lists.port}"}))
            await watch(fleet, ended)
        except NotStarted as fault:
            raise click.ClickException(str(fault)) from fault
        finally:
            await fleet.down()

    asyncio.run(run())


async def watch(fleet, ended):
    """Starts a node that ended anew, cold, with what it holds, until the fleet is told to end."""
    while not ended.is_set():
        for name, part in list(fleet.nodes.items()):
            if part.process.returncode is not None:
                click.echo(json.dumps({"ended": name, "code": part.process.returncode}), err=True)
                await asyncio.sleep(AGAIN)
                await fleet.node(name, part.cell)
        if fleet.planner and fleet.lists.process.returncode is not None:
            click.echo(json.dumps({"ended": "planner", "code": fleet.lists.process.returncode}), err=True)
            await fleet.plan(fleet.lists.port)
        for number, part in list(fleet.edges.items()):
            if part.process.returncode is not None:
                click.echo(json.dumps({"ended": part.name, "code": part.process.returncode}), err=True)
                await asyncio.sleep(AGAIN)
                await fleet.edge(number, part.port)
        try:
            async with asyncio.timeout(WATCH):
                await ended.wait()
        except TimeoutError:
            pass


def played(name, edges, nodes, load, seed, virtual, decisions, folder, file):
    """Plays one day; its records."""
    path, deployment = sized(file, edges, folder, UNIT)
    chosen, wanted = script.load(name), days.Load(part=load)
    if virtual:

        async def story(fleet):
            await days.play(fleet, chosen, wanted, seed)

        fleet, _ = fleets.play(
            deployment,
            seed,
            story,
            nodes=nodes,
            edges=edges,
            unit=UNIT,
            decisions={"module": Scheduler, "passthrough": PassThrough}[decisions],
        )
        return fleet.all_records(), deployment

    async def run():
        fleet = ProcessFleet(path, deployment, folder, seed, records=True, decisions=decisions, unit=UNIT)
        try:
            await fleet.up(nodes, edges)
            await days.play(fleet, chosen, wanted, seed)
        finally:
            await fleet.down()
        return fleet.all_records()

    return asyncio.run(run()), deployment


def demo(name, edges, nodes, load, seed, virtual, both, data, file):
    """The report of a day, or of two side by side; 0 where the module kept every rule."""
    with tempfile.TemporaryDirectory() as spare:
        folder = Path(data or spare)
        code = 0
        for decisions in ("module", "passthrough") if both else ("module",):
            try:
                records, deployment = played(
                    name, edges, nodes, load, seed, virtual, decisions, folder / decisions, file
                )
            except (script.BadScript, NotStarted) as fault:
                raise click.ClickException(str(fault)) from fault
            lines, kept, _ = judge(records, deployment, VIRTUAL_WAY if virtual else WAY)
            click.echo(
                f"day '{name}', {edges} edges, {nodes} nodes, load {load}, seed {seed}, "
                f"{'virtual' if virtual else 'processes'}, decisions: {decisions}"
            )
            click.echo("\n".join(lines) + "\n")
            if decisions == "module" and not kept:
                code = 1
        return code
