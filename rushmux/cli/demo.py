"""`rushmux demo`: plays a scripted day of faults and checks its recordings."""

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import click

from rushmux.cli.local_fleet import write_deployment
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.deployment import Deployment
from rushmux.standins import fleet as fleets
from rushmux.standins import scenario as scenarios
from rushmux.standins import script
from rushmux.standins.passthrough import PassThroughScheduler
from rushmux.standins.processes import ProcessFleet, ProcessStartError
from rushmux.standins.report import evaluate

UNIT_TIME = 0.015
"""Core seconds for one unit of work on a node."""
MAX_SIMULATED_DELAY = 0.005
"""Maximum delay of a message in the simulated network, in seconds."""
MAX_REAL_DELAY = 0.25
"""The same between real processes on a busy machine."""
SCHEDULER_TYPES = {"module": Scheduler, "passthrough": PassThroughScheduler}


class Demo(NamedTuple):
    """A scripted day and the fleet to play it on."""

    day: str
    edges: int
    nodes: int
    load: float
    seed: int
    virtual: bool
    deployment_file: str


class Recording(NamedTuple):
    """What the fleet's processes recorded of a day."""

    rows: Sequence[dict]
    deployment: Deployment


def run(demo: Demo, with_passthrough: bool, data: str | None) -> bool:
    """Plays a day, prints its report and returns whether the scheduler kept every rule.

    Args:
        demo: The day and the fleet.
        with_passthrough: Whether to play the day again with `PassThroughScheduler`.
        data: Folder for data, logs and recordings; None: a temporary one.
    """
    scheduler_kept_rules = True
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(data or temporary)
        for decisions in ("module", "passthrough") if with_passthrough else ("module",):
            kept_rules = _run_once(demo, decisions, folder / decisions)
            if decisions == "module":
                scheduler_kept_rules = kept_rules
    return scheduler_kept_rules


def _run_once(demo: Demo, decisions: str, folder: Path) -> bool:
    """Plays the day with one scheduler, prints its report and returns whether every rule was kept."""
    try:
        recording = _record_day(demo, decisions, folder)
    except (script.ScriptError, ProcessStartError) as error:
        raise click.ClickException(str(error)) from error
    delay = MAX_SIMULATED_DELAY if demo.virtual else MAX_REAL_DELAY
    lines, kept_rules, _ = evaluate(recording.rows, recording.deployment, delay)
    click.echo(
        f"day '{demo.day}', {demo.edges} edges, {demo.nodes} nodes, load {demo.load}, seed {demo.seed}, "
        f"{'virtual' if demo.virtual else 'processes'}, decisions: {decisions}"
    )
    click.echo("\n".join(lines) + "\n")
    return kept_rules


def _record_day(demo: Demo, decisions: str, folder: Path) -> Recording:
    path, deployment = write_deployment(demo.deployment_file, demo.edges, folder, UNIT_TIME)
    if demo.virtual:
        return _record_simulated_day(demo, decisions, deployment)
    return _record_real_day(demo, decisions, folder, path, deployment)


def _record_simulated_day(demo: Demo, decisions: str, deployment: Deployment) -> Recording:
    """Plays the day in this process on a simulated clock."""
    day_script, load = script.load(demo.day), scenarios.Load(nominal_share=demo.load)

    async def scenario(fleet: fleets.VirtualFleet) -> None:
        await scenarios.run_day(fleet, day_script, load, demo.seed)

    fleet, _ = fleets.run_fleet(
        deployment,
        demo.seed,
        scenario,
        nodes=demo.nodes,
        edges=demo.edges,
        unit=UNIT_TIME,
        scheduler_type=SCHEDULER_TYPES[decisions],
    )
    return Recording(fleet.all_records(), deployment)


def _record_real_day(
    demo: Demo, decisions: str, folder: Path, path: Path, deployment: Deployment
) -> Recording:
    """Plays the day on separate processes."""
    day_script, load = script.load(demo.day), scenarios.Load(nominal_share=demo.load)

    async def play() -> Sequence[dict]:
        fleet = ProcessFleet(
            path, deployment, folder, demo.seed, records=True, scheduler=decisions, unit=UNIT_TIME
        )
        try:
            await fleet.start(demo.nodes, demo.edges)
            await scenarios.run_day(fleet, day_script, load, demo.seed)
        finally:
            await fleet.stop()
        return fleet.all_records()

    return Recording(asyncio.run(play()), deployment)
