"""Checks the route verifier against the model, and measures its time on a file with many routes.

    python -m benchmarks.routes [--draws N] [--schedules M] [--jobs J] [--seed S]

Draws deployments near the verifier's limits and runs each through schedules that the bounds allow.  Exits
with 1 if a deployment that was accepted, or reported as guarded, broke a rule.
"""

import argparse
import copy
import json
import statistics
import sys
import time
from collections import Counter
from pathlib import Path

from rushmux.lab.model_check.verifier_check import check_verifier
from rushmux.routes import verifier
from rushmux.settings import deployment as deployments
from rushmux.worker_pool import worker_pool

EXAMPLE = json.loads(Path(deployments.__file__).with_name("example.json").read_text())
ROUNDS = 5


def make_deployment(lanes, plans):
    """Returns a raw deployment with a route per lane and plan."""
    raw = copy.deepcopy(EXAMPLE)
    for number in range(lanes):
        raw["lanes"][f"l{number}"] = dict(raw["lanes"]["lectura"])
    for number in range(plans):
        raw["plans"][f"p{number}"] = dict(raw["plans"]["estandar"])
    raw["routes"] = [
        {
            "lane": f"l{lane}",
            "plan": f"p{plan}",
            "time_out_ms": 100 + lane,
            "executions": 2,
            "wait_ms": plan / 10,
            "held": 15,
        }
        for lane in range(lanes)
        for plan in range(plans)
    ]
    return raw


def median_time(call, *values):
    """Returns the median seconds of a call."""
    times = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        call(*values)
        times.append(time.perf_counter() - started_at)
    return statistics.median(times)


def main():
    """Prints the benchmark's table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--draws", type=int, default=400)
    parser.add_argument("--schedules", type=int, default=60)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    small, raw = deployments.build(make_deployment(5, 20)), make_deployment(25, 40)
    built = deployments.build(raw)
    print(
        f"{len(raw['routes'])} routes, {len(built.routes)} lanes and plans: read and proved in "
        f"{median_time(deployments.build, raw):.3f} s, of which the proof "
        f"{median_time(verifier.verify, built.bounds, built.routes):.4f} s; for {len(small.routes)} lanes "
        f"and plans the proof takes {median_time(verifier.verify, small.bounds, small.routes):.4f} s"
    )
    draws_per_job = -(-options.draws // options.jobs)
    with worker_pool(options.jobs) as pool:
        outcomes = list(
            pool.map(
                check_verifier,
                [draws_per_job] * options.jobs,
                [options.seed * 1_000 + job for job in range(options.jobs)],
                [options.schedules] * options.jobs,
            )
        )
    counts, mismatches = Counter(), []
    for outcome in outcomes:
        counts += outcome.counts
        mismatches += outcome.mismatches
    print(
        f"at most {options.schedules} schedules a story; "
        + ", ".join(f"{name} {count}" for name, count in counts.items())
    )
    findings = sum(counts[name] for name in ("played", "guarded", "conservative"))
    print(
        f"findings {findings}: played {counts['played'] / findings:.2f}, guarded by the module "
        f"{counts['guarded'] / findings:.2f}, conservative {counts['conservative'] / findings:.2f}"
    )
    for place, text in mismatches:
        print(f"WRONG draw {place}: {text}")
    sys.exit(bool(mismatches))


if __name__ == "__main__":
    main()
