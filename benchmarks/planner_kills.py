"""Kills the planner at random moments of a run with faults, and checks every rule.

    python -m benchmarks.planner_kills [--runs N] [--seed N] [--jobs J]

Each run kills the planner three times within 14 s, while nodes die, fall silent and return, an edge is
killed, and clients work through two edges.  Every second run has planned quotas.  Exits with 1 if a rule was
broken.
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
from rushmux.standins import scenario as scenarios
from rushmux.standins import script
from rushmux.standins.checker import Checker
from rushmux.worker_pool import worker_pool

EXAMPLE = json.loads(Path(deployments.__file__).with_name("example.json").read_text())
EVENTS = (
    "length 14\nat 2 kill node1\nat 4 start node1\nat 5 trouble node2 silent for 3\n"
    "at 6 kill edge1\nat 8 start edge1\nat 9 kill node0\nat 10 start node0\n"
)
KILLS, NODES, EDGES, LOAD = 3, 5, 2, 0.4
MAX_NETWORK_DELAY = 0.005  # seconds


def run_seed(seed):
    """Runs a seed; returns the numbers of answers, successes and kills, and the breaches."""
    raw = copy.deepcopy(EXAMPLE)
    raw["fleet"]["shares"] = bool(seed % 2)
    deployment = deployments.build(raw)

    async def scenario(fleet):
        rng, port = random.Random(seed), fleet.endpoint_source.port

        async def killer():
            for _ in range(KILLS):
                await fleet.sleep(rng.uniform(0.2, 4.0))
                fleet.kill_planner()
                await fleet.sleep(rng.uniform(0.0, 2.0))
                await fleet.start_single_planner(NODES, port)

        task = asyncio.ensure_future(killer())
        await scenarios.run_day(fleet, script.parse(EVENTS), scenarios.Load(LOAD), seed)
        await task

    with tempfile.TemporaryDirectory() as directory:
        fleet, _ = fleets.run_fleet(
            deployment, seed, scenario, NODES, EDGES, planner=Path(directory) / "p", level="error"
        )
    records = fleet.all_records()
    breaches = Checker(records, deployment, MAX_NETWORK_DELAY).breaches()
    answers = [row for row in records if row["kind"] == "answer"]
    return len(answers), sum(row["status"] in (0, 1) for row in answers), KILLS, breaches


def main():
    """Prints the result."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=70)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.runs)
    answers = succeeded = kills = 0
    violations = []
    with worker_pool(options.jobs) as pool:
        for seed, (run_answers, run_succeeded, run_kills, breaches) in zip(
            seeds, pool.map(run_seed, seeds), strict=True
        ):
            answers, succeeded, kills = answers + run_answers, succeeded + run_succeeded, kills + run_kills
            violations += [f"seed {seed}: {text}" for text in breaches[:3]]
    print(
        f"{options.runs} runs, {kills} kills, {answers} answers, {succeeded / max(1, answers):.3f} "
        f"succeeded, {len(violations)} breach(es)"
    )
    for text in violations[:20]:
        print(text)
    sys.exit(bool(violations))


if __name__ == "__main__":
    main()
