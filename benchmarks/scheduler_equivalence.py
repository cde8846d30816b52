"""Compares the scheduler with an older revision's, call by call, on the same streams of events.

Both get every event, and their actions must agree in names, values and order.  The streams are the scenarios
of the tests, small fleets of the lab with random faults, and random schedules of `lab.model_check`.  Prints
the number of events and actions compared; exits with 1 at the first difference.
"""

import argparse
import importlib.util
import random
import sys
from pathlib import Path

from rushmux.lab import variants
from rushmux.lab.day import draw_day
from rushmux.lab.experiment import check
from rushmux.lab.model_check.deployments import PLAN, REQUEST_CLASS, draw_deployment
from rushmux.lab.model_check.scenarios import SCENARIOS
from rushmux.lab.model_check.search import find_breach
from rushmux.lab.model_check.verifier_check import scenarios_for
from rushmux.lab.scheduler_simulation import SchedulerSimulation
from rushmux.scheduling.scheduler import Scheduler

ROOT = Path(__file__).resolve().parents[1]
BASELINE = "b10db89"  # the last revision with the decision logic in one file
EVENTS = (
    "on_endpoints",
    "on_operation",
    "on_attempt_result",
    "on_load_report",
    "on_client_gone",
    "on_quota",
    "on_route_policies",
    "run_round",
)
ACTIONS = (
    "start_attempt",
    "shed",
    "fail",
    "wake_after",
    "poll_endpoints",
    "cancel_attempt",
    "request_load_report",
)
FAULTS = (
    "silent nodes 2 at 1..4 for 1..3",
    "slow nodes 2 size 2..20 at 1..4 for 1..3",
    "errors nodes 2 size 0.2..0.9 at 1..4 for 1..3",
    "lost nodes 2 size 0.2..0.6 at 1..4 for 1..3",
    "restart nodes 2 at 1..4 for 0.5..2",
    "cut zone at 1..4 for 1..3",
    "die edges 2 at 1..4 for 1..3",
    "surge all size 3..8 at 1..4 for 1..3",
    "hurried all size 0.02..0.3 at 1 for 4",
    "drain nodes 1 size 0.2..1 at 1..3",
    "neighbour nodes 2 size 10..30 at 1..4 for 1..3",
    "reports nodes 2 at 1..4 for 1..3",
)


class DifferenceError(Exception):
    """The two schedulers acted differently."""


class RecordedActions:
    """Records a scheduler's actions."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        if name not in ACTIONS:
            raise AttributeError(name)
        return lambda *values: self.calls.append((name, *values))


class Comparison:
    """Creates compared schedulers, and counts events and actions."""

    def __init__(self, revision: str):
        self.older = variants.load_source({"name": "older", "revision": revision}).load()
        self.events = self.actions = 0

    def create_scheduler(self, settings, seed, now, actions) -> "ComparedScheduler":
        """Creates a scheduler, for `SchedulerSimulation`, `Schedule` and the scenario runner."""
        return ComparedScheduler(self, settings, seed, now, actions)


class ComparedScheduler:
    """The current scheduler, whose actions take effect, and the older one, for comparison only."""

    def __init__(self, comparison, settings, seed, now, actions):
        self.comparison, self.actions = comparison, actions
        self.recorded, self.expected = RecordedActions(), RecordedActions()
        self.newer = Scheduler(settings, seed, now, self.recorded)
        self.older = comparison.older(settings, seed, now, self.expected)

    def __getattr__(self, name):
        if name not in EVENTS:
            return getattr(self.newer, name)
        return lambda *values: self._event(name, values)

    def _event(self, name, values):
        getattr(self.newer, name)(*values)
        getattr(self.older, name)(*values)
        self.comparison.events += 1
        calls, self.recorded.calls = self.recorded.calls, []
        expected, self.expected.calls = self.expected.calls, []
        if calls != expected:
            raise DifferenceError(f"{name}{values}: {calls}, expected {expected}")
        self.comparison.actions += len(calls)
        for action, *arguments in calls:
            getattr(self.actions, action)(*arguments)


def run_scenarios(comparison: Comparison) -> None:
    """Runs every scenario of the tests."""
    path = ROOT / "tests" / "conftest.py"
    spec = importlib.util.spec_from_file_location("scenario_player", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.Scheduler = comparison.create_scheduler
    for scenario in sorted((ROOT / "tests" / "scenarios").glob("*.txt")):
        module.ScenarioRunner().play(scenario.read_text())


def run_fleets(comparison: Comparison, seeds: range) -> None:
    """Runs small lab fleets, each with two faults; load reports and hedging vary by seed."""
    for seed in seeds:
        rng = random.Random(seed)
        overrides = {"/fleet/load": rng.choice(("none", "probe")), "/fleet/second_copies": seed % 3 > 0}
        experiment = check(
            {
                "name": "equivalence",
                "seconds": 6,
                "fleet": {"edges": 3, "nodes": 4, "zones": 2},
                "volumes": {"basico": 3, "estandar": 2, "prioritario": 1},
                "workload": {"load": rng.choice((0.4, 0.9, 1.6))},
                "troubles": rng.sample(FAULTS, 2),
                "variants": [{"name": "module", "set": overrides}],
            }
        )
        day = draw_day(experiment, experiment["variants"][0], seed)
        simulation = SchedulerSimulation(
            day.deployment, day.fleet, seed, comparison.create_scheduler, keep_records=False
        )
        simulation.run(day.arrivals, day.events, experiment["seconds"])


def run_schedules(comparison: Comparison, deployments: range, schedules_each: int) -> None:
    """Runs random schedules over random deployments, for every scenario of the model check."""
    for number in deployments:
        random_deployment = draw_deployment(random.Random(f"equivalence/{number}"))
        for rule in SCENARIOS:
            for scenario in scenarios_for(random_deployment, rule):
                find_breach(
                    random_deployment.bounds,
                    scenario,
                    REQUEST_CLASS,
                    PLAN,
                    max_schedules=schedules_each,
                    seed=number,
                    make_scheduler=comparison.create_scheduler,
                )


def main() -> int:
    """Runs all comparisons and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--revision", default=BASELINE)
    parser.add_argument("--fleets", type=int, default=24, help="seeds of the lab's fleets")
    parser.add_argument("--deployments", type=int, default=60, help="random deployments for the schedules")
    parser.add_argument("--schedules", type=int, default=20, help="schedules per scenario and deployment")
    options = parser.parse_args()
    comparison = Comparison(options.revision)
    parts = (
        ("scenarios", lambda: run_scenarios(comparison)),
        ("fleets", lambda: run_fleets(comparison, range(options.fleets))),
        ("schedules", lambda: run_schedules(comparison, range(options.deployments), options.schedules)),
    )
    for name, part in parts:
        events, actions = comparison.events, comparison.actions
        try:
            part()
        except DifferenceError as error:
            print(f"{name}: {error}")
            return 1
        events, actions = comparison.events - events, comparison.actions - actions
        print(f"{name}: {events} events, {actions} actions, all the same")
    return 0


if __name__ == "__main__":
    sys.exit(main())
