"""Compares hedged requests for new objects, off and on under the same faults: latency and extra executions.

    python -m benchmarks.copies [--seeds N] [--seconds S]

On a virtual clock: three edges store objects on six nodes while one node is slow, one is silent, or the load
exceeds their capacity.  Both variants run the same seeds.
"""

import argparse
import asyncio
import copy
import json
import random
import sys
from collections import Counter
from pathlib import Path

from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.edge.operation_runner import OperationRunner
from rushmux.settings import deployment as deployments
from rushmux.standins import fleet as fleets
from rushmux.standins.checker import Checker

EXAMPLE = json.loads(Path(deployments.__file__).with_name("example.json").read_text())
OBJECT_BYTES = 20_000  # one unit
MAX_NETWORK_DELAY = 0.005  # seconds
CASES = {  # name -> objects per second and edge, faults as (node, kind, size)
    "calm": (20, ()),
    "slow node": (20, (("node1", "slow", 12.0),)),
    "silent node": (20, (("node1", "silent", 0.0),)),
    "slow and silent": (20, (("node1", "slow", 12.0), ("node2", "silent", 0.0))),
    "jam": (400, ()),
    "jam and silent": (400, (("node2", "silent", 0.0),)),
}


def deployment(copies: bool):
    """Returns the example deployment with or without hedged requests."""
    raw = copy.deepcopy(EXAMPLE)
    raw["fleet"]["second_copies"] = copies
    raw["routes"] = [{"lane": "archivo-nuevo", "second_copy": {"after_ms": 40}}] if copies else []
    # The request class is measured, not the plans' limits: all folders are alike without them.
    raw["plans"]["basico"].update(limit=0)
    return deployments.build(raw)


def run_seed(case, copies, seed, seconds):
    """Returns times, outcomes, recordings and the deployment.

    A failed object counts as if it took until its deadline.
    """
    rate, faults = CASES[case]
    built = deployment(copies)
    deadline = built.settings.request_classes["archivo-nuevo"].deadline / 10_000
    times, outcomes = [], Counter()

    async def store(fleet, edge, folder):
        started_at = fleet.loop.time()
        try:
            await OperationRunner(edge.program.driver, folder, "-", started_at + deadline).write_object(
                b"x" * OBJECT_BYTES
            )
            times.append(fleet.loop.time() - started_at)
            outcomes["stored"] += 1
        except (OperationShedError, OperationFailedError) as error:
            times.append(deadline)
            outcomes["shed" if isinstance(error, OperationShedError) else "terminated"] += 1

    async def scenario(fleet):
        rng, names = random.Random(seed), list(built.folders)
        for node, kind, size in faults:
            await fleet.inject_fault(node, kind, size)

        async def arrivals(edge):
            end_at, tasks = fleet.loop.time() + seconds, []
            while fleet.loop.time() < end_at:
                await asyncio.sleep(rng.expovariate(rate))
                tasks.append(edge.process.spawn(store(fleet, edge, rng.choice(names))))
            await asyncio.gather(*tasks)

        await asyncio.gather(*(arrivals(edge) for edge in fleet.edges.values()))

    fleet, _ = fleets.run_fleet(built, seed, scenario, nodes=6, edges=3, level="error")
    return times, outcomes, fleet.all_records(), built


def quantile(times, fraction):
    """Returns a quantile of the times."""
    return sorted(times)[min(len(times) - 1, int(fraction * len(times)))]


def main():
    """Prints the benchmark's table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    print(
        f"{'case':18}{'copies':>7}{'objects':>9}{'stored':>8}{'in time':>9}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'p99.9':>8}{'further':>9}{'withdrawn':>10}  rules"
    )
    broken = False
    for case in CASES:
        for copies in (False, True):
            times, outcomes, extra_executions, executions, withdrawn, breaches = [], Counter(), 0, 0, 0, []
            for seed in range(options.seeds):
                seed_times, seed_outcomes, records, built = run_seed(case, copies, seed, options.seconds)
                times += seed_times
                outcomes += seed_outcomes
                executions += sum(row["kind"] == "execution" for row in records)
                extra_executions += sum(
                    row["kind"] == "execution" and row["execution"] > 0 for row in records
                )
                withdrawn += sum(row["kind"] == "withdrawn" for row in records)
                breaches += Checker(records, built, MAX_NETWORK_DELAY).breaches()
            objective = built.settings.request_classes["archivo-nuevo"].latency_objective / 10_000
            in_time = sum(time <= objective for time in times) / len(times)
            broken = broken or bool(breaches)
            print(
                f"{case:18}{'on' if copies else 'off':>7}{len(times):9}{outcomes['stored'] / len(times):8.3f}"
                f"{in_time:9.3f}{1000 * quantile(times, 0.5):8.0f}{1000 * quantile(times, 0.99):8.0f}"
                f"{1000 * quantile(times, 0.999):8.0f}{extra_executions / executions:9.4f}{withdrawn:10}  "
                f"{'kept' if not breaches else breaches[0]}"
            )
    sys.exit(broken)


if __name__ == "__main__":
    main()
