"""Runs experiments: simulates variants on the same seeds, in parallel, until the differences are clear."""

import subprocess
import traceback
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from typing import NamedTuple

from rushmux.lab import compare
from rushmux.lab.day import draw_day
from rushmux.lab.experiment_schema import Experiment, Variant
from rushmux.lab.measurements import MEASURES, DayResult, measure
from rushmux.lab.result_store import ResultKey, ResultStore, experiment_digest
from rushmux.lab.scheduler_simulation import SchedulerSimulation
from rushmux.lab.variants import ROOT, SchedulerSource, load_source, scheduler_type
from rushmux.worker_pool import worker_pool

MAX_LISTED_CRASHES = 3  # of a variant, in the summary
TRACEBACK_FRAMES, TRACEBACK_LINES = 3, 4  # kept in the result of a crash
STOP_MEASURE = "in_time"  # an experiment ends when the intervals of this measure are narrow

Results = dict[str, dict[int, DayResult]]
"""Results by variant and seed."""


class _Run(NamedTuple):
    """One day to simulate."""

    variant: Variant
    key: ResultKey


def simulate(
    experiment: Experiment, variant: Variant, scheduler_source: SchedulerSource, seed: int
) -> DayResult:
    """Simulates one day; the result of a variant that crashes is its exception."""
    try:
        day = draw_day(experiment, variant, seed)
        make_scheduler = scheduler_type(variant, scheduler_source)
        simulation = SchedulerSimulation(day.deployment, day.fleet, seed, make_scheduler)
        simulation.run(day.arrivals, day.events, experiment["seconds"])
        return measure(simulation, experiment["seconds"])
    except Exception as error:
        # A variant may change the scheduler in any way and so raise anything.
        return {
            "crashed": f"{type(error).__name__}: {error}",
            "where": traceback.format_exc(limit=-TRACEBACK_FRAMES).splitlines()[-TRACEBACK_LINES:],
        }


def current_revision() -> str:
    """The short hash of the checked-out commit, or "unknown" without a repository."""
    command = ["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD"]
    found = subprocess.run(command, capture_output=True, text=True, check=False)
    return found.stdout.strip() or "unknown"


class ExperimentRunner:
    """Runs one experiment.

    Attributes:
        results: Results of the completed days.
    """

    def __init__(self, experiment: Experiment, store: ResultStore, on_progress: Callable[[str], None]):
        self.experiment, self.store, self.on_progress = experiment, store, on_progress
        self.variants: Sequence[Variant] = experiment["variants"]
        self.sources = {variant["name"]: load_source(variant) for variant in self.variants}
        self.results: Results = {variant["name"]: {} for variant in self.variants}
        self.revision = current_revision()

    def run(self, jobs: int) -> Results:
        """Runs batches of seeds until the differences are clear or the seeds are used up."""
        seeds = self.experiment["seeds"]
        end = seeds["first"] + max(seeds["least"], seeds["most"])
        batch = range(seeds["first"], seeds["first"] + seeds["least"])
        with worker_pool(jobs) as pool:
            while batch:
                self._run_batch(pool, batch)
                if self._is_clear():
                    break
                begin = batch[-1] + 1
                batch = range(begin, min(end, begin + max(2, seeds["least"] // 2)))
        return {name: dict(sorted(days.items())) for name, days in self.results.items()}

    def _is_clear(self) -> bool:
        completed = without_crashes(self.results)
        if len(completed) < compare.MIN_VARIANTS:
            return True
        return compare.is_narrow(completed, STOP_MEASURE, self.experiment["seeds"]["narrow"])

    def _run_batch(self, pool: ProcessPoolExecutor, seeds: Sequence[int]) -> None:
        """Loads the stored results of a batch and simulates the rest."""
        pending: dict[Future, _Run] = {}
        for seed in seeds:
            for variant in self.variants:
                key = self._key(variant, seed)
                stored = self.store.get(key)
                if stored is not None and "crashed" not in stored:
                    self.results[variant["name"]][seed] = stored
                else:
                    scheduler_source = self.sources[variant["name"]]
                    future = pool.submit(simulate, self.experiment, variant, scheduler_source, seed)
                    pending[future] = _Run(variant, key)
        self._collect(pending)

    def _collect(self, pending: dict[Future, _Run]) -> None:
        for done, future in enumerate(as_completed(pending), 1):
            variant, key = pending[future]
            name, result = variant["name"], future.result()
            self.store.put(key, name, self.revision, result)
            self.results[name][key.seed] = result
            self.on_progress(
                f"{self.experiment['name']}: seed {key.seed} of {name}, "
                f"{done} of {len(pending)} in this batch"
            )

    def _key(self, variant: Variant, seed: int) -> ResultKey:
        digest = experiment_digest(self.experiment, variant)
        return ResultKey(digest, self.sources[variant["name"]].digest(), seed)


def run(
    experiment: Experiment,
    store: ResultStore,
    jobs: int,
    on_progress: Callable[[str], None] = lambda text: None,
) -> Results:
    """Runs an experiment until its differences are clear or its seeds are used up.

    Stored results are not simulated again.  The order in which days complete has no effect: whether to go on
    is decided after a whole batch of seeds.

    Raises:
        SourceError: The scheduler of a variant does not exist.
    """
    return ExperimentRunner(experiment, store, on_progress).run(jobs)


def without_crashes(results: Results) -> Results:
    """The results of days that did not crash; variants without any are left out."""
    return {
        name: {seed: day for seed, day in days.items() if "crashed" not in day}
        for name, days in results.items()
        if any("crashed" not in day for day in days.values())
    }


def summarize(experiment: Experiment, results: Results) -> list[str]:
    """The results of an experiment as plain text."""
    name, question = experiment["name"], experiment["question"]
    lines = [f"{name}: {question}" if question else name]
    for variant, days in results.items():
        lines += _summarize_variant(variant, days)
    for row in compare.differences(without_crashes(results), MEASURES):
        lines.append(
            f"  {row.variant:24} {row.measure:9} {row.mean:+.4f} [{row.low:+.4f}, {row.high:+.4f}] "
            f"p {row.p_value:.3f} over {row.pairs} seeds: {row.conclusion}"
        )
    return lines


def _summarize_variant(variant: str, days: dict[int, DayResult]) -> list[str]:
    crashes = [f"seed {seed}: {day['crashed']}" for seed, day in days.items() if "crashed" in day]
    completed = [day for day in days.values() if "crashed" not in day]
    broken = sum(not day["kept"] for day in completed)
    values = "nothing played"
    if completed:
        means = {name: sum(day[name] for day in completed) / len(completed) for name in MEASURES}
        values = " ".join(f"{name} {mean:.3f}" for name, mean in means.items())
    rules = f"RULES BROKEN on {broken} days" if broken else "rules kept"
    line = f"  {variant:24} {len(completed):3} days  {values}  {rules}"
    return [line, *(f"    crashed: {text}" for text in crashes[:MAX_LISTED_CRASHES])]
