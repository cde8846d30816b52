"""Kills the planner at drawn moments of a bad stretch, and checks every rule.

    python -m benchmarks.planner_kills [--runs N] [--seed N] [--jobs J]

Each run: three kills within 14 s in which nodes die, fall silent and come back and an edge is killed, with
clients working through two edges; parts of limits on in every second run.  Exit 1 where a rule broke.
"""

import argparse
import asyncio
import copy
import json
import random
import sys
import tempfile
from pathlib import Path

from rushmux.settings import deployment as deployments
from rushmux.standins import fleet as fleets
from rushmux.standins import scenario as days
from rushmux.standins import script
from rushmux.standins.checker import Checker
from rushmux.worker_pool import worker_pool

EXAMPLE = json.loads(Path(deployments.__file__).with_name("example.json").read_text())
EVENTS = (
    "length 14\nat 2 kill node1\nat 4 start node1\nat 5 trouble node2 silent for 3\n"
    "at 6 kill edge1\nat 8 start edge1\nat 9 kill node0\nat 10 start node0\n"
)
KILLS, NODES, EDGES, LOAD = 3, 5, 2, 0.4
WAY = 0.005  # seconds: longest simulated way of a message


def run_seed(seed):
    """One run: requests, those that succeeded, kills, and the breaches."""
    raw = copy.deepcopy(EXAMPLE)
    raw["fleet"]["shares"] = bool(seed % 2)
    stated = deployments.build(raw)

    async def story(made):
        chance, port = random.Random(seed), made.endpoint_source.port

        async def killer():
            for _ in range(KILLS):
                await made.sleep(chance.uniform(0.2, 4.0))
                made.kill_planner()
                await made.sleep(chance.uniform(0.0, 2.0))
                await made.start_single_planner(NODES, port)

        task = asyncio.ensure_future(killer())
        await days.run_day(made, script.parse(EVENTS), days.Load(LOAD), seed)
        await task

    with tempfile.TemporaryDirectory() as place:
        made, _ = fleets.run_fleet(
            stated, seed, story, NODES, EDGES, planner=Path(place) / "p", level="error"
        )
    records = made.all_records()
    breaches = Checker(records, stated, WAY).breaches()
    answers = [row for row in records if row["kind"] == "answer"]
    return len(answers), sum(row["status"] in (0, 1) for row in answers), KILLS, breaches


def main():
    """Runs the benchmark and prints its table."""
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--runs", type=int, default=70)
    asked.add_argument("--seed", type=int, default=1)
    asked.add_argument("--jobs", type=int, default=4)
    wanted = asked.parse_args()
    seeds = range(wanted.seed, wanted.seed + wanted.runs)
    answers = good = kills = 0
    broken = []
    with worker_pool(wanted.jobs) as pool:
        for seed, (some, fine, killed, breaches) in zip(seeds, pool.map(run_seed, seeds), strict=True):
            answers, good, kills = answers + some, good + fine, kills + killed
            broken += [f"seed {seed}: {text}" for text in breaches[:3]]
    print(
        f"{wanted.runs} runs, {kills} kills, {answers} answers, {good / max(1, answers):.3f} succeeded, "
        f"{len(broken)} breach(es)"
    )
    for text in broken[:20]:
        print(text)
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
