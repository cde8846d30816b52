"""The lean level against the real edge end to end, and the scale curve of the lean level.

    python -m benchmarks.levels [--seeds N] [--scale]

Shared cases: the same operations through the driver and links of real edges on the virtual clock with
stand-in nodes, and through the lean level.
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


def stated(name, load, lines, *, edges=3, nodes=4, seconds=10.0):
    """The experiment of a case."""
    return check(
        {
            "name": name.replace(" ", "-"),
            "seconds": seconds,
            "fleet": {"edges": edges, "nodes": nodes, "unlike": 0},
            "volumes": {"basico": edges, "estandar": edges, "prioritario": edges},
            "machine": {"recent": 0},
            "workload": {"load": load},
            "troubles": lines,
            "variants": [{"name": "module"}],
        }
    )


def lean(raw, seed):
    """Latencies and the part in time of a day, with the scheduler alone."""
    day = draw_day(raw, raw["variants"][0], seed)
    simulation = SchedulerSimulation(day.deployment, day.fleet, seed)
    simulation.run(day.arrivals, day.events, raw["seconds"])
    found = measure(simulation, raw["seconds"])
    return (
        [row.latency for row in simulation.completed if row.outcome is ClientOutcome.SUCCEEDED],
        found["in_time"],
        found["kept"],
    )


def real(raw, seed):
    """The same day through real edges."""
    day = draw_day(raw, raw["variants"][0], seed)
    ended, standins = system_simulation.simulate(day, seed)
    request_classes = day.deployment.settings.request_classes
    quoted = {name: row.latency_objective / 10_000 for name, row in request_classes.items()}
    good = [row for row in ended if row.outcome is ClientOutcome.SUCCEEDED]
    kept = not Checker(standins.all_records(), day.deployment, 0.005).breaches()
    return (
        [row.latency for row in good],
        sum(row.latency <= quoted[row.request_class] for row in good) / len(ended),
        kept,
    )


def scale(edges, nodes):
    """One day of a minute in a process of its own; its line."""
    raw = stated(
        "scale", 0.6, ["silent node at 10 for 6", "restart nodes 20% at 30 for 3"], edges, nodes, 60.0
    )
    raw["volumes"] = {"basico": edges, "estandar": edges // 2, "prioritario": edges // 4}
    begun = time.perf_counter()
    day = draw_day(raw, raw["variants"][0], 1)
    drawn = time.perf_counter() - begun
    simulation = SchedulerSimulation(day.deployment, day.fleet, 1)
    simulation.run(day.arrivals, day.events, raw["seconds"])
    played = time.perf_counter() - begun - drawn
    found = measure(simulation, raw["seconds"])
    whole_time = time.perf_counter() - begun
    return (
        f"{edges:9}{nodes:7}{len(day.arrivals):12}{drawn:9.1f}{played:9.1f}{whole_time - played - drawn:9.1f}"
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:10.0f}{found['in_time']:9.3f}  "
        f"{'kept' if found['kept'] else 'BROKEN'}"
    )


def main():
    """Runs the benchmark and prints its table."""
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--seeds", type=int, default=4)
    asked.add_argument("--scale", action="store_true", help="the scale curve in place of the shared cases")
    asked.add_argument("--one", nargs=2, type=int, help=argparse.SUPPRESS)
    wanted = asked.parse_args()
    if wanted.one:
        print(scale(*wanted.one))
        return
    if wanted.scale:
        heads = ("gateways", "nodes", "operations", "draw s", "play s", "judge s", "MB", "in time")
        widths = (9, 7, 12, 9, 9, 9, 10, 9)
        print("".join(f"{head:>{width}}" for head, width in zip(heads, widths, strict=True)) + "  rules")
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
    heads = ("level", "answers", "in time", "p50 ms", "p90", "p99", "KS", "chance")
    print(
        f"{'case':14}"
        + "".join(f"{head:>{width}}" for head, width in zip(heads, (7, 9, 9, 9, 9, 9, 8, 8), strict=True))
        + "  rules"
    )
    for name, (load, lines) in CASES.items():
        raw = stated(name, load, lines)
        rows = {}
        for level, play in (("edge", real), ("lean", lean)):
            rows[level] = [play(raw, seed) for seed in range(1, wanted.seeds + 1)]
        times = {level: [took for found, _, _ in days for took in found] for level, days in rows.items()}
        apart = max(1, len(times["edge"]) // 400)
        test = stats.ks_2samp(times["edge"][::apart], times["lean"][::apart])
        for level, days in rows.items():
            p50, p90, p99 = (1000 * numpy.quantile(times[level], part) for part in (0.5, 0.9, 0.99))
            test_text = f"{test.statistic:8.3f}{test.pvalue:8.3f}" if level == "lean" else f"{'':16}"
            in_time = numpy.mean([part for _, part, _ in days])
            print(
                f"{name:14}{level:>7}{len(times[level]):9}{in_time:9.3f}{p50:9.1f}{p90:9.1f}{p99:9.1f}"
                f"{test_text}  {'kept' if all(kept for _, _, kept in days) else 'BROKEN'}"
            )


if __name__ == "__main__":
    main()
