"""Compares even quotas with planned ones while the busiest edge of each folder changes.

    python -m benchmarks.shares [--seeds N] [--seconds S]

In simulated time: three edges, a planner, and nodes with spare capacity.  Clients of a folder with a limit
use most of it through one edge at a time.  With faults, the planner crashes and restarts once, and an edge is
paused for longer than its lease.  Both variants run the same seeds, and the checker verifies the limits.
"""

import argparse
import asyncio
import copy
import json
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.edge.operation_runner import OperationRunner
from rushmux.settings import deployment as deployments
from rushmux.standins import fleet as fleets
from rushmux.standins.checker import Checker

EXAMPLE = json.loads(Path(deployments.__file__).with_name("example.json").read_text())
DEMAND = 0.75  # of its limit: the demand of a folder's clients
BUSIEST_SHARE = 0.9  # of the demand, through the busiest edge
SHIFT_INTERVAL = 12.0  # seconds until a folder has another busiest edge
OBJECT_BYTES, OBJECT_UNITS = 60_000, 2.0
EDGES, NODES = 3, 4
DEADLINE = 3.0  # seconds of an operation
TICKS_PER_SECOND = 10_000
PAUSE_AT, PAUSE = 0.35, 14.0  # start as a fraction of the run, and seconds
CRASH_AT, DOWNTIME = 0.6, 2.0  # the same for the planner's crash
PAUSED_EDGE = 2
MAX_NETWORK_DELAY = 0.005  # seconds


def deployment(shares: bool) -> deployments.Deployment:
    """Returns a fleet of three folders with limits; `shares`: with planned quotas, else even ones."""
    raw = copy.deepcopy(EXAMPLE)
    raw["fleet"].update(shares=shares, gateways=EDGES)
    raw["folders"] = {name: {"plan": "basico"} for name in ("aduana-norte", "bodega-sur", "caribe")}
    # The limit is measured; reserves would hide its effect.
    raw["plans"]["basico"].update(limit=40, nominal=40)
    return deployments.build(raw)


def run_seed(shares: bool, seed: int, seconds: float, faults: bool = True):
    """Returns counts of outcomes, the recorded history, and the deployment."""
    built = deployment(shares)
    objective = built.settings.request_classes["archivo-nuevo"].latency_objective / TICKS_PER_SECOND
    outcomes, limit = Counter(), built.settings.plans["basico"].limit

    async def store(fleet, edge, folder):
        started_at = fleet.loop.time()
        try:
            await OperationRunner(edge.program.driver, folder, "-", started_at + DEADLINE).write_object(
                b"x" * OBJECT_BYTES
            )
            outcomes["in time" if fleet.loop.time() - started_at <= objective else "late"] += 1
        except (OperationShedError, OperationFailedError):
            outcomes["not stored"] += 1

    async def scenario(fleet):
        rng, port = random.Random(seed), fleet.endpoint_source.port
        started_at, tasks = fleet.loop.time(), []

        async def use_folder(name):
            while fleet.loop.time() - started_at < seconds:
                await asyncio.sleep(rng.expovariate(DEMAND * limit / OBJECT_UNITS))
                busiest = (int((fleet.loop.time() - started_at) / SHIFT_INTERVAL) + len(name)) % EDGES
                at_busiest = rng.random() < BUSIEST_SHARE
                number = busiest if at_busiest else rng.randrange(EDGES)
                edge = fleet.edges[number]
                outcomes["asked"] += 1
                tasks.append(edge.process.spawn(store(fleet, edge, name)))

        async def inject_faults():
            await asyncio.sleep(seconds * PAUSE_AT)
            fleet.edges[PAUSED_EDGE].process.pause(PAUSE)
            await asyncio.sleep(seconds * (CRASH_AT - PAUSE_AT))
            fleet.kill_planner()
            await asyncio.sleep(DOWNTIME)
            await fleet.start_single_planner(NODES, port)

        injected = [inject_faults()] if faults else []
        await asyncio.gather(*(use_folder(name) for name in built.folders), *injected)
        await asyncio.gather(*tasks)

    with tempfile.TemporaryDirectory() as directory:
        fleet, _ = fleets.run_fleet(
            built,
            seed,
            scenario,
            nodes=NODES,
            edges=EDGES,
            planner=Path(directory) / "p",
            level="error",
            buffer_logs=False,
            unit=0.004,
        )
    return outcomes, fleet.all_records(), built


def print_variant(faults: bool, shares: bool, seeds: int, seconds: float) -> bool:
    """Runs all seeds of a variant, prints its row and returns whether all rules were kept."""
    outcomes, nearest, breaches = Counter(), 0.0, []
    for seed in range(1, seeds + 1):
        counts, records, built = run_seed(shares, seed, seconds, faults)
        outcomes += counts
        for verdict in Checker(records, built, MAX_NETWORK_DELAY).verdicts():
            breaches += verdict.breaches
            if verdict.rule == "limits kept" and verdict.nearest is not None:
                nearest = max(nearest, verdict.nearest)
    fractions = {name: outcomes[name] / outcomes["asked"] for name in ("in time", "late", "not stored")}
    case, quotas = "troubled" if faults else "calm", "planned" if shares else "even"
    print(
        f"{case:10}{quotas:>9}{outcomes['asked']:8}{fractions['in time']:9.3f}{fractions['late']:7.3f}"
        f"{fractions['not stored']:12.3f}{nearest:16.2f}  {breaches[0] if breaches else 'kept'}"
    )
    return not breaches


def main() -> None:
    """Prints a table of all variants; exits with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=120.0)
    options = parser.parse_args()
    columns = {"parts": 9, "asked": 8, "in time": 9, "late": 7, "not stored": 12, "limit, nearest": 16}
    print(f"{'day':10}" + "".join(f"{heading:>{width}}" for heading, width in columns.items()) + "  rules")
    kept = [
        print_variant(faults, shares, options.seeds, options.seconds)
        for faults in (False, True)
        for shares in (False, True)
    ]
    sys.exit(not all(kept))


if __name__ == "__main__":
    main()
