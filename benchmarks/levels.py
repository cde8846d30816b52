"""Compares the scheduler simulation with real edges, and measures how it scales.

    python -m benchmarks.levels [--seeds N] [--scale]

Both get the same operations; the real edges run with stand-in nodes on a virtual clock.
"""

import argparse
import resource
import subprocess
import sys
import time

import numpy
from scipy import stats

from rushmux.lab import system_simulation
from rushmux.lab.client import ClientOutcome
from rushmux.lab.day import draw_day
from rushmux.lab.experiment import check
from rushmux.lab.measurements import measure
from rushmux.lab.scheduler_simulation import SchedulerSimulation
from rushmux.standins.checker import Checker

CASES = {
    "calm": (0.5, []),
    "busy": (0.9, []),
    "silent node": (0.6, ["silent node at 2 for 4"]),
    "slow node": (0.6, ["slow node size 6 at 2 for 5"]),
    "restarts": (0.5, ["restart nodes 2 at 2 for 2"]),
    "edge dies": (0.5, ["die edge at 3 for 2"]),
    "zone cut": (0.5, ["cut zone at 3 for 3"]),
}
SIZES = ((10, 8), (50, 16), (100, 24), (300, 47))


def make_experiment(name, load, faults, *, edges=3, nodes=4, seconds=10.0):
    """Returns the experiment of a case."""
    return check(
        {
            "name": name.replace(" ", "-"),
            "seconds": seconds,
            "fleet": {"edges": edges, "nodes": nodes, "unlike": 0},
            "volumes": {"basico": edges, "estandar": edges, "prioritario": edges},
            "machine": {"recent": 0},
            "workload": {"load": load},
            "troubles": faults,
            "variants": [{"name": "module"}],
        }
    )


def run_simulation(raw, seed):
    """Returns the simulation's latencies, fraction in time, and whether it kept the rules."""
    day = draw_day(raw, raw["variants"][0], seed)
    simulation = SchedulerSimulation(day.deployment, day.fleet, seed)
    simulation.run(day.arrivals, day.events, raw["seconds"])
    result = measure(simulation, raw["seconds"])
    return (
        [row.latency for row in simulation.completed if row.outcome is ClientOutcome.SUCCEEDED],
        result["in_time"],
        result["kept"],
    )


def run_real_edges(raw, seed):
    """Returns the same for real edges."""
    day = draw_day(raw, raw["variants"][0], seed)
    completed, standins = system_simulation.simulate(day, seed)
    request_classes = day.deployment.settings.request_classes
    objectives = {name: row.latency_objective / 10_000 for name, row in request_classes.items()}
    succeeded = [row for row in completed if row.outcome is ClientOutcome.SUCCEEDED]
    kept = not Checker(standins.all_records(), day.deployment, 0.005).breaches()
    return (
        [row.latency for row in succeeded],
        sum(row.latency <= objectives[row.request_class] for row in succeeded) / len(completed),
        kept,
    )


def measure_scale(edges, nodes):
    """Returns the table row of a one-minute day; each runs in its own process."""
    raw = make_experiment(
        "scale", 0.6, ["silent node at 10 for 6", "restart nodes 20% at 30 for 3"], edges, nodes, 60.0
    )
    raw["volumes"] = {"basico": edges, "estandar": edges // 2, "prioritario": edges // 4}
    started_at = time.perf_counter()
    day = draw_day(raw, raw["variants"][0], 1)
    draw_time = time.perf_counter() - started_at
    simulation = SchedulerSimulation(day.deployment, day.fleet, 1)
    simulation.run(day.arrivals, day.events, raw["seconds"])
    simulation_time = time.perf_counter() - started_at - draw_time
    result = measure(simulation, raw["seconds"])
    whole_time = time.perf_counter() - started_at
    return (
        f"{edges:9}{nodes:7}{len(day.arrivals):12}{draw_time:9.1f}{simulation_time:9.1f}"
        f"{whole_time - simulation_time - draw_time:9.1f}"
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:10.0f}{result['in_time']:9.3f}  "
        f"{'kept' if result['kept'] else 'BROKEN'}"
    )


def main():
    """Prints the benchmark's table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--scale", action="store_true", help="measure the scale curve instead of the cases")
    parser.add_argument("--one", nargs=2, type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one:
        print(measure_scale(*options.one))
        return
    if options.scale:
        headings = ("gateways", "nodes", "operations", "draw s", "play s", "judge s", "MB", "in time")
        widths = (9, 7, 12, 9, 9, 9, 10, 9)
        print(
            "".join(f"{heading:>{width}}" for heading, width in zip(headings, widths, strict=True))
            + "  rules"
        )
        for edges, nodes in SIZES:
            print(
                subprocess.run(
                    [sys.executable, "-m", "benchmarks.levels", "--one", str(edges), str(nodes)],
                    capture_output=True,
                    text=True,
                    check=True,
                ).stdout,
                end="",
                flush=True,
            )
        return
    headings = ("level", "answers", "in time", "p50 ms", "p90", "p99", "KS", "chance")
    print(
        f"{'case':14}"
        + "".join(
            f"{heading:>{width}}" for heading, width in zip(headings, (7, 9, 9, 9, 9, 9, 8, 8), strict=True)
        )
        + "  rules"
    )
    for name, (load, faults) in CASES.items():
        raw = make_experiment(name, load, faults)
        rows = {}
        for level, simulate in (("edge", run_real_edges), ("lean", run_simulation)):
            rows[level] = [simulate(raw, seed) for seed in range(1, options.seeds + 1)]
        times = {
            level: [latency for latencies, _, _ in days for latency in latencies]
            for level, days in rows.items()
        }
        stride = max(1, len(times["edge"]) // 400)
        test = stats.ks_2samp(times["edge"][::stride], times["lean"][::stride])
        for level, days in rows.items():
            p50, p90, p99 = (1000 * numpy.quantile(times[level], fraction) for fraction in (0.5, 0.9, 0.99))
            test_text = f"{test.statistic:8.3f}{test.pvalue:8.3f}" if level == "lean" else f"{'':16}"
            in_time = numpy.mean([fraction for _, fraction, _ in days])
            print(
                f"{name:14}{level:>7}{len(times[level]):9}{in_time:9.3f}{p50:9.1f}{p90:9.1f}{p99:9.1f}"
                f"{test_text}  {'kept' if all(kept for _, _, kept in days) else 'BROKEN'}"
            )


if __name__ == "__main__":
    main()
