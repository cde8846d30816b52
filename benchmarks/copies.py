"""Second copies of new objects, off and on in the same troubles: tail, extra executions, budget.

    python -m benchmarks.copies [--seeds N] [--seconds S]

On the virtual clock: three edges store objects on six nodes while one node is slow, one is silent, or
all are asked for more than they can do.  Both variants meet the same seeds.
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
SIZE = 20_000  # bytes of an object: one unit
WAY = 0.005  # seconds: longest simulated way of a message
CASES = {  # name -> objects a second of each edge, troubles as (node, kind, size)
    "calm": (20, ()),
    "slow node": (20, (("node1", "slow", 12.0),)),
    "silent node": (20, (("node1", "silent", 0.0),)),
    "slow and silent": (20, (("node1", "slow", 12.0), ("node2", "silent", 0.0))),
    "jam": (400, ()),
    "jam and silent": (400, (("node2", "silent", 0.0),)),
}


def deployment(copies: bool):
    """The example with or without hedged requests."""
    raw = copy.deepcopy(EXAMPLE)
    raw["fleet"]["second_copies"] = copies
    raw["routes"] = [{"lane": "archivo-nuevo", "second_copy": {"after_ms": 40}}] if copies else []
    # All folders alike: what is looked at is the lane, not the plans' limits.
    raw["plans"]["basico"].update(limit=0)
    return deployments.build(raw)


def played(case, copies, seed, seconds):
    """Times of all objects (a failure counts as the hard stop), and the fleet's recordings."""
    rate, troubles = CASES[case]
    stated = deployment(copies)
    hard_stop = stated.settings.request_classes["archivo-nuevo"].deadline / 10_000
    times, ends = [], Counter()

    async def store(fleet, edge, folder):
        begun = fleet.loop.time()
        try:
            await OperationRunner(edge.program.driver, folder, "-", begun + hard_stop).write_object(
                b"x" * SIZE
            )
            times.append(fleet.loop.time() - begun)
            ends["stored"] += 1
        except (OperationShedError, OperationFailedError) as fault:
            times.append(hard_stop)
            ends["shed" if isinstance(fault, OperationShedError) else "terminated"] += 1

    async def story(fleet):
        chance, names = random.Random(seed), list(stated.folders)
        for node, kind, size in troubles:
            await fleet.inject_fault(node, kind, size)

        async def arrivals(edge):
            until, tasks = fleet.loop.time() + seconds, []
            while fleet.loop.time() < until:
                await asyncio.sleep(chance.expovariate(rate))
                tasks.append(edge.process.spawn(store(fleet, edge, chance.choice(names))))
            await asyncio.gather(*tasks)

        await asyncio.gather(*(arrivals(edge) for edge in fleet.edges.values()))

    fleet, _ = fleets.run_fleet(stated, seed, story, nodes=6, edges=3, level="error")
    return times, ends, fleet.all_records(), stated


def quantile(times, part):
    """The time that a part of the times do not exceed."""
    return sorted(times)[min(len(times) - 1, int(part * len(times)))]


def main():
    """Runs the benchmark and prints its table."""
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--seeds", type=int, default=5)
    asked.add_argument("--seconds", type=float, default=30.0)
    wanted = asked.parse_args()
    print(
        f"{'case':18}{'copies':>7}{'objects':>9}{'stored':>8}{'in time':>9}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'p99.9':>8}{'further':>9}{'withdrawn':>10}  rules"
    )
    broken = False
    for case in CASES:
        for copies in (False, True):
            times, ends, further, executions, withdrawn, breaches = [], Counter(), 0, 0, 0, []
            for seed in range(wanted.seeds):
                some, more, records, stated = played(case, copies, seed, wanted.seconds)
                times += some
                ends += more
                executions += sum(row["kind"] == "execution" for row in records)
                further += sum(row["kind"] == "execution" and row["execution"] > 0 for row in records)
                withdrawn += sum(row["kind"] == "withdrawn" for row in records)
                breaches += Checker(records, stated, WAY).breaches()
            quoted = stated.settings.request_classes["archivo-nuevo"].latency_objective / 10_000
            in_time = sum(time <= quoted for time in times) / len(times)
            broken = broken or bool(breaches)
            print(
                f"{case:18}{'on' if copies else 'off':>7}{len(times):9}{ends['stored'] / len(times):8.3f}"
                f"{in_time:9.3f}{1000 * quantile(times, 0.5):8.0f}{1000 * quantile(times, 0.99):8.0f}"
                f"{1000 * quantile(times, 0.999):8.0f}{further / executions:9.4f}{withdrawn:10}  "
                f"{'kept' if not breaches else breaches[0]}"
            )
    sys.exit(broken)


if __name__ == "__main__":
    main()
