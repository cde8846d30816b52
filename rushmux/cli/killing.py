"""`rushmux kills`: kills an edge at random moments, thousands of times, and judges each."""

import asyncio
import json
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from rushmux.cli.shared import deployed
from rushmux.settings.deployment import build
from rushmux.standins import fleet as fleets
from rushmux.standins import kills
from rushmux.standins.processes import ProcessFleet

FOLDERS = ("heredia", "limon", "estrella", "frutas", "golfo")
VIRTUAL_UNIT, UNIT = 0.004, 0.002  # seconds of a core for a unit of work
SPAN = 1.2  # seconds within which the kill comes
TROUBLES = (None, None, "silent", "lost", "errors", "stuck", "slow", "disk", "resets")
STARTED = 60  # rounds with one fleet of processes


def raw_of(file):
    deployed(file)
    raw = json.loads(Path(file).read_text())
    raw.setdefault("buffer", {})
    raw["fleet"]["gateways"] = max(2, raw["fleet"]["gateways"])
    return raw


async def troubled(fleet, chance):
    """Begins a drawn trouble at a drawn node, for a while, somewhere in the round."""
    await asyncio.sleep(chance.uniform(0, SPAN))
    kind = chance.choice(TROUBLES)
    if kind is not None:
        size = {"lost": 0.4, "errors": 0.6, "slow": 6.0}.get(kind, 0.0)
        await fleet.trouble(chance.choice(sorted(fleet.nodes)), kind, size, chance.uniform(0.3, 2.0))


def virtual(raw, seeds):
    """Rounds on the virtual clock, one fleet each: (seed, what was wrong)."""
    found = []
    for seed in seeds:

        async def story(fleet, seed=seed):
            chance = random.Random(seed)
            asyncio.ensure_future(troubled(fleet, chance))
            return (await kills.round_of(fleet, FOLDERS[seed % len(FOLDERS)], chance, 0, SPAN))[0]

        try:
            _, wrong = fleets.play(
                build(raw), seed, story, nodes=4, edges=2, unit=VIRTUAL_UNIT, logs=seed % 3 > 0
            )
        except Exception as fault:  # pylint: disable=broad-except
            wrong = [f"{type(fault).__name__}: {fault}"]
        found.append((seed, wrong))
    return found


def processes(raw, seeds):
    """Rounds on one fleet of real processes, one after the other."""

    async def run():
        found = []
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "deployment.json"
            file.write_text(json.dumps(raw))
            fleet = ProcessFleet(file, build(raw), Path(folder), seeds[0], lag=0.3, unit=UNIT)
            try:
                await fleet.up(4, 2)
                count = 0
                for seed in seeds:
                    chance = random.Random(seed)
                    trouble = asyncio.ensure_future(troubled(fleet, chance))
                    wrong, count = await kills.round_of(
                        fleet, FOLDERS[seed % len(FOLDERS)], chance, count, SPAN
                    )
                    await trouble
                    found.append((seed, wrong))
            finally:
                await fleet.down()
        return found

    return asyncio.run(run())


def run(runs, seed, real, jobs, file):
    """All rounds over some cores; the number of seeds with something wrong."""
    raw, seeds = raw_of(file), range(seed, seed + runs)
    size = min(STARTED if real else 50, -(-runs // jobs))
    shares = [seeds[at : at + size] for at in range(0, runs, size)]
    bad = done = 0
    with ProcessPoolExecutor(jobs) as pool:
        for found in pool.map(processes if real else virtual, [raw] * len(shares), shares):
            for number, wrong in found:
                done += 1
                bad += bool(wrong)
                for text in wrong[:3]:
                    click.echo(f"seed {number}: {text}")
    click.echo(
        f"{done} kills, {'real processes' if real else 'virtual clock'}, "
        f"seeds {seeds[0]} to {seeds[-1]}: {bad} with something wrong"
    )
    return bad
