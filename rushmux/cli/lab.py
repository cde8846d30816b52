"""`rushmux lab`: experiments on emulated fleets.

The commands import the lab themselves: its libraries would slow down all other commands.
"""

import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

from rushmux.cli.parameters import AddressParameter

if TYPE_CHECKING:
    from rushmux.lab.experiment import ExperimentError
    from rushmux.lab.experiment_schema import Experiment
    from rushmux.lab.load import Address
    from rushmux.lab.result_store import ResultStore
    from rushmux.lab.run import Results

EXPERIMENTS = Path(__file__).resolve().parents[1] / "lab" / "experiments"
PROGRESS_WIDTH = 100  # columns; a line overwrites the previous one
MAX_JOBS, MAX_DAYS = 256, 100_000
DATA = click.option(
    "--data",
    type=click.Path(),
    default="var/lab",
    show_default=True,
    help="folder of the result store and the reports",
)
JOBS = click.option(
    "--jobs",
    type=click.IntRange(1, MAX_JOBS),
    default=lambda: os.cpu_count() or 1,
    show_default="the machine's cores",
)


def _load_experiment(name: str) -> "Experiment":
    """Loads a bundled experiment by name, or any experiment from a file."""
    from rushmux.lab import experiment

    path = EXPERIMENTS / f"{name}.json"
    try:
        return experiment.load(path if path.exists() else name)
    except experiment.ExperimentError as error:
        raise _experiment_failure(error) from error


def _experiment_failure(error: "ExperimentError") -> click.ClickException:
    return click.ClickException(f"{len(error.problems)} fault(s)\n{error}")


def _open_store(data: str) -> "ResultStore":
    from rushmux.lab.result_store import ResultStore, ResultStoreError

    try:
        return ResultStore(Path(data) / "results.sqlite")
    except ResultStoreError as error:
        raise click.ClickException(str(error)) from error


def _show_progress(text: str) -> None:
    """Prints progress to standard error; on a terminal, over the previous line."""
    if sys.stderr.isatty():
        click.echo(f"{text:{PROGRESS_WIDTH}}\r", err=True, nl=False)
    else:
        click.echo(text, err=True)


@click.group()
def lab() -> None:
    """Runs experiments on emulated fleets, to measure what a change does."""


@lab.command()
@click.argument("experiment")
@DATA
@JOBS
@click.option("--report/--no-report", default=True, show_default=True)
def run(experiment: str, data: str, jobs: int, report: bool) -> None:
    """Runs an experiment, or resumes an interrupted one, and prints a summary.

    Exits with 1 if a variant of the scheduler broke a rule.
    """
    from rushmux.lab.experiment import ExperimentError, expand

    store = _open_store(data)
    try:
        expanded = expand(_load_experiment(experiment))
    except ExperimentError as error:
        raise _experiment_failure(error) from error
    report_folder = Path(data) if report else None
    all_kept = [_run_one(one, store, jobs, report_folder) for one in expanded]
    sys.exit(0 if all(all_kept) else 1)


def _run_one(experiment: "Experiment", store: "ResultStore", jobs: int, report_folder: Path | None) -> bool:
    """Runs one experiment, prints a summary and returns whether the scheduler kept the rules."""
    from rushmux.lab import run as runs
    from rushmux.lab.variants import SourceError

    started_at = time.monotonic()
    try:
        results = runs.run(experiment, store, jobs, _show_progress)
    except SourceError as error:
        raise click.ClickException(str(error)) from error
    click.echo("\n".join(runs.summarize(experiment, results)))
    if report_folder is not None:
        from rushmux.lab import report

        path = report.write(experiment, results, report_folder / experiment["name"])
        click.echo(f"{path} ({time.monotonic() - started_at:.0f} s)")
    return _scheduler_kept_rules(experiment, results)


def _scheduler_kept_rules(experiment: "Experiment", results: "Results") -> bool:
    """Returns whether no scheduler variant broke a rule; baselines and modified sources may."""
    names = [
        variant["name"]
        for variant in experiment["variants"]
        if variant.get("decisions", "module") == "module" and not variant.get("without")
    ]
    days = [day for name in names for day in results[name].values()]
    return all(day["kept"] for day in days if "crashed" not in day)


@lab.command()
@click.argument("experiment")
@DATA
@JOBS
@click.option("--days", type=click.IntRange(1, MAX_DAYS), default=120, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--save", type=click.Path(), help="file for the worst day, shrunk to the faults that matter")
def search(experiment: str, *, data: str, jobs: int, days: int, seed: int, save: str | None) -> None:
    """Searches an experiment's ranges for the day on which its first variant serves worst."""
    from rushmux.lab import saved_day
    from rushmux.lab import search as searches

    loaded = _load_experiment(experiment)
    worst = searches.search(loaded, days, seed, jobs, _show_progress)
    shrunk = searches.shrink(loaded, worst, jobs, _show_progress)
    for line in searches.summarize(worst, shrunk):
        click.echo(line)
    if save:
        saved_day.save(save, loaded, shrunk)
        click.echo(save)


@lab.command()
@click.argument("case", type=click.Path())
def replay(case: str) -> None:
    """Replays a saved day; exits with 1 if the result differs from the saved one or a rule is broken."""
    from rushmux.lab import saved_day

    try:
        result = saved_day.replay(case)
    except saved_day.SavedDayError as error:
        raise click.ClickException(str(error)) from error
    click.echo(result.text)
    sys.exit(0 if result.passes else 1)


@lab.command()
@click.argument("experiment")
@click.option("--seed", type=int, default=1, show_default=True)
def yardstick(experiment: str, seed: int) -> None:
    """Compares each variant with the most that full knowledge could serve on one day."""
    from rushmux.lab import variants
    from rushmux.lab.day import draw_day
    from rushmux.lab.fleet import draw_node_speeds
    from rushmux.lab.optimal_bound import upper_bound
    from rushmux.lab.run import simulate

    loaded = _load_experiment(experiment)
    day = draw_day(loaded, loaded["variants"][0], seed)
    bound = upper_bound(day, loaded["seconds"], draw_node_speeds(day.fleet, seed))
    click.echo(f"at most {bound:.3f} of all operations could be served in time")
    for variant in loaded["variants"]:
        result = simulate(loaded, variant, variants.load_source(variant), seed)
        if "crashed" in result:
            text = result["crashed"]
        else:
            text = f"{result['in_time']:.3f}, {result['in_time'] / bound:.3f} of that"
        click.echo(f"  {variant['name']:24} {text}")


@lab.command()
@click.argument("experiment")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(), required=True)
def trace(experiment: str, seed: int, out: str) -> None:
    """Writes the arrivals of one day to a trace file."""
    from rushmux.lab import trace as traces
    from rushmux.lab.day import draw_day, draw_volumes

    loaded = _load_experiment(experiment)
    arrivals = draw_day(loaded, loaded["variants"][0], seed).arrivals
    traces.write(out, draw_volumes(loaded, seed), arrivals)
    click.echo(f"{out}: {len(arrivals)} operations")


@lab.command()
@click.argument("experiment")
@click.option(
    "--edge",
    "edges",
    type=AddressParameter(),
    multiple=True,
    required=True,
    help="HOST:PORT of an edge; may be repeated",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--folder", "folders", multiple=True, required=True, help="client folders to work in")
def load(
    experiment: str, edges: "Sequence[Address]", seed: int, seconds: float, folders: Sequence[str]
) -> None:
    """Sends an experiment's workload to running edges over sockets."""
    from rushmux.lab import load as loads

    loaded = _load_experiment(experiment)
    try:
        result = loads.drive(loaded, seed, seconds, edges, folders)
    except (OSError, loads.LoadTargetError) as error:
        raise click.ClickException(str(error)) from error
    click.echo("\n".join(result.lines))
    sys.exit(0 if result.all_answered else 1)
