"""`rushmux kills`: kills an edge at random moments, over many rounds, and checks each round."""

import asyncio
import json
import random
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import click

from rushmux.cli.parameters import load_deployment
from rushmux.settings.deployment import build
from rushmux.standins import fleet as fleets
from rushmux.standins import kills
from rushmux.standins.fleet_operations import FleetOperations
from rushmux.standins.processes import ProcessFleet
from rushmux.worker_pool import worker_pool

FOLDERS = ("heredia", "limon", "estrella", "frutas", "golfo")
SIMULATED_UNIT_TIME, REAL_UNIT_TIME = 0.004, 0.002
"""Core seconds for one unit of work on a node."""
NODES, EDGES = 4, 2
ENDPOINT_LAG = 0.3
"""Seconds until a change of the endpoint list is announced."""
KILL_WINDOW = 1.2
"""The edge is killed within this many seconds."""
FAULTS = (None, None, "silent", "lost", "errors", "stuck", "slow", "disk", "resets")
FAULT_SIZES = {"lost": 0.4, "errors": 0.6, "slow": 6.0}
MIN_FAULT_TIME, MAX_FAULT_TIME = 0.3, 2.0
UNLOGGED_ROUND_INTERVAL = 3
"""One simulated round in this many runs without a write-back log."""
MAX_REAL_BATCH, MAX_SIMULATED_BATCH = 60, 50
"""Rounds of one task of the process pool; real rounds of a task share a fleet."""
MAX_ERRORS_SHOWN = 3


class Round(NamedTuple):
    """Result of a round."""

    seed: int
    errors: Sequence[str]


def run(count: int, first_seed: int, real: bool, jobs: int, file: str) -> int:
    """Runs all rounds in a process pool, prints their errors and returns the number of failed rounds.

    Args:
        count: Number of rounds.
        first_seed: Seed of the first round; it increases by one per round.
        real: Whether edges and nodes are processes rather than simulated.
        jobs: Number of processes in the pool.
        file: Path of the deployment file.
    """
    raw, seeds = _deployment_with_buffer(file), range(first_seed, first_seed + count)
    batch_size = min(MAX_REAL_BATCH if real else MAX_SIMULATED_BATCH, -(-count // jobs))
    batches = [seeds[start : start + batch_size] for start in range(0, count, batch_size)]
    done = failed = 0
    with worker_pool(jobs) as pool:
        run_batch = _run_real_batch if real else _run_simulated_batch
        for rounds in pool.map(run_batch, [raw] * len(batches), batches):
            done += len(rounds)
            for finished in rounds:
                failed += bool(finished.errors)
                for text in finished.errors[:MAX_ERRORS_SHOWN]:
                    click.echo(f"seed {finished.seed}: {text}")
    click.echo(
        f"{done} kills, {'real processes' if real else 'virtual clock'}, "
        f"seeds {seeds[0]} to {seeds[-1]}: {failed} with something wrong"
    )
    return failed


def _deployment_with_buffer(file: str) -> dict:
    """Returns the file's content with a write-back buffer and at least two edges."""
    load_deployment(file)
    raw = json.loads(Path(file).read_text())
    raw.setdefault("buffer", {})
    raw["fleet"]["gateways"] = max(EDGES, raw["fleet"]["gateways"])
    return raw


async def _inject_fault(fleet: FleetOperations, rng: random.Random) -> None:
    """Injects a random fault into a random node at a random time of the round, or none."""
    await asyncio.sleep(rng.uniform(0, KILL_WINDOW))
    kind = rng.choice(FAULTS)
    if kind is None:
        return
    target = rng.choice(sorted(fleet.nodes))
    await fleet.inject_fault(
        target, kind, FAULT_SIZES.get(kind, 0.0), rng.uniform(MIN_FAULT_TIME, MAX_FAULT_TIME)
    )


def _run_simulated_batch(raw: dict, seeds: Sequence[int]) -> list[Round]:
    """Runs rounds on a simulated clock, each with its own fleet."""
    return [Round(seed, _run_simulated_round(raw, seed)) for seed in seeds]


def _run_simulated_round(raw: dict, seed: int) -> Sequence[str]:
    async def scenario(fleet: FleetOperations) -> Sequence[str]:
        rng = random.Random(seed)
        fault = asyncio.ensure_future(_inject_fault(fleet, rng))
        errors, _ = await kills.run_round(fleet, FOLDERS[seed % len(FOLDERS)], rng, 0, KILL_WINDOW)
        del fault  # the task ends with the fleet
        return errors

    try:
        _, errors = fleets.run_fleet(
            build(raw),
            seed,
            scenario,
            nodes=NODES,
            edges=EDGES,
            unit=SIMULATED_UNIT_TIME,
            buffer_logs=seed % UNLOGGED_ROUND_INTERVAL > 0,
        )
    except Exception as error:  # the round's result; other rounds go on
        return [f"{type(error).__name__}: {error}"]
    return errors


def _run_real_batch(raw: dict, seeds: Sequence[int]) -> list[Round]:
    """Runs rounds one after the other on one fleet of processes."""

    async def run_rounds() -> list[Round]:
        rounds, written = [], 0
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "deployment.json"
            file.write_text(json.dumps(raw))
            fleet = ProcessFleet(
                file, build(raw), Path(folder), seeds[0], lag=ENDPOINT_LAG, unit=REAL_UNIT_TIME
            )
            try:
                await fleet.start(NODES, EDGES)
                for seed in seeds:
                    rng = random.Random(seed)
                    fault = asyncio.ensure_future(_inject_fault(fleet, rng))
                    errors, written = await kills.run_round(
                        fleet, FOLDERS[seed % len(FOLDERS)], rng, written, KILL_WINDOW
                    )
                    await fault
                    rounds.append(Round(seed, errors))
            finally:
                await fleet.stop()
        return rounds

    return asyncio.run(run_rounds())
