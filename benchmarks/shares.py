"""Even parts of limits against planned ones, on a day on which the busiest edge of each folder changes.

    python -m benchmarks.shares [--seeds N] [--seconds S]

On the virtual clock: three edges, a planner, nodes with room; folders with a limit ask for most of it through
one edge at a time.  The planner is killed and started anew once, and an edge stands still for longer than its
lease.  Both variants meet the same seeds, and the checker judges the limits.
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
PART = 0.75  # of a limit that a folder asks for, nearly all of it through one edge
MOST_THERE = 0.9  # of that, through the busiest
SHIFT = 12.0  # seconds until another edge is the busiest of a folder
SIZE, UNITS = 60_000, 2.0  # bytes of an object, and what it counts
EDGES, NODES = 3, 4
STILL, AT, KILLED, DOWN = 14.0, 0.35, 0.6, 2.0  # of the edge that stands still; when, of the day
WAY = 0.005


def deployment(shares):
    raw = copy.deepcopy(EXAMPLE)
    raw["fleet"].update(shares=shares, gateways=EDGES)
    raw["folders"] = {name: {"plan": "basico"} for name in ("aduana-norte", "bodega-sur", "caribe")}
    # Reserves would hide it: what is looked at is the limit.
    raw["plans"]["basico"].update(limit=40, nominal=40)
    return deployments.build(raw)


def played(shares, seed, seconds, troubles=True):
    """Counts of ends, those stored in time, and the recordings."""
    stated = deployment(shares)
    quoted = stated.settings.request_classes["archivo-nuevo"].latency_objective / 10_000
    ends, limit = Counter(), stated.settings.plans["basico"].limit

    async def store(made, edge, folder):
        begun = made.loop.time()
        try:
            await OperationRunner(edge.program.driver, folder, "-", begun + 3.0).write_object(b"x" * SIZE)
            ends["in time" if made.loop.time() - begun <= quoted else "late"] += 1
        except (OperationShedError, OperationFailedError):
            ends["not stored"] += 1

    async def story(made):
        chance, port = random.Random(seed), made.lists.port
        begun, tasks = made.loop.time(), []

        async def folder(name):
            while made.loop.time() - begun < seconds:
                await asyncio.sleep(chance.expovariate(PART * limit / UNITS))
                busiest = (int((made.loop.time() - begun) / SHIFT) + len(name)) % EDGES
                there = chance.random() < MOST_THERE
                number = busiest if there else chance.randrange(EDGES)
                edge = made.edges[number]
                ends["asked"] += 1
                tasks.append(edge.process.spawn(store(made, edge, name)))

        async def happens():
            await asyncio.sleep(seconds * AT)
            made.edges[2].process.hold(STILL)
            await asyncio.sleep(seconds * (KILLED - AT))
            made.kill_planner()
            await asyncio.sleep(DOWN)
            await made.plan(NODES, port)

        await asyncio.gather(*(folder(name) for name in stated.folders), *([happens()] if troubles else []))
        await asyncio.gather(*tasks)

    with tempfile.TemporaryDirectory() as place:
        made, _ = fleets.play(
            stated,
            seed,
            story,
            nodes=NODES,
            edges=EDGES,
            planner=Path(place) / "p",
            level="error",
            logs=False,
            unit=0.004,
        )
    return ends, made.all_records(), stated


def main():
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--seeds", type=int, default=3)
    asked.add_argument("--seconds", type=float, default=120.0)
    wanted = asked.parse_args()
    broken = False
    heads = ("parts", "asked", "in time", "late", "not stored", "limit, nearest")
    widths = (9, 8, 9, 7, 12, 16)
    print(f"{'day':10}" + "".join(f"{head:>{width}}" for head, width in zip(heads, widths)) + "  rules")
    for troubles in (False, True):
        for shares in (False, True):
            ends, nearest, breaches = Counter(), 0.0, []
            for seed in range(1, wanted.seeds + 1):
                some, records, stated = played(shares, seed, wanted.seconds, troubles)
                ends += some
                for verdict in Checker(records, stated, WAY).verdicts():
                    breaches += verdict.breaches
                    if verdict.rule == "limits kept" and verdict.nearest is not None:
                        nearest = max(nearest, verdict.nearest)
            broken = broken or bool(breaches)
            part = {name: ends[name] / ends["asked"] for name in ("in time", "late", "not stored")}
            day, parts = "troubled" if troubles else "calm", "planned" if shares else "even"
            print(
                f"{day:10}{parts:>9}{ends['asked']:8}{part['in time']:9.3f}{part['late']:7.3f}"
                f"{part['not stored']:12.3f}{nearest:16.2f}  {'kept' if not breaches else breaches[0]}"
            )
    sys.exit(broken)


if __name__ == "__main__":
    main()
