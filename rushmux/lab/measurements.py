"""The measurements of a simulated day: plain numbers that can be stored, merged and compared."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypedDict

from hdrh.histogram import HdrHistogram

from rushmux.lab import histograms
from rushmux.lab.client import ClientOutcome, CompletedOperation
from rushmux.lab.scheduler_simulation import Sample, SchedulerSimulation
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.settings.deployment import Deployment
from rushmux.standins.checker import Checker

MAX_NETWORK_DELAY = 0.01  # one-way seconds that the checker allows for
WINDOW = 10  # seconds
MIN_WINDOW_OPERATIONS = 20  # windows with fewer are ignored: they say nothing
MAX_BREACHES = 3  # stored for each rule
PERCENTILES = (50, 90, 99, 99.9)
TAIL_PERCENTILE = 99
MEASURES = ("in_time", "worth", "worst", "entitled", "fair", "p99_ms")  # to compare variants by
MIN_DENOMINATOR = 1e-9  # avoids a division by zero


class DayResult(TypedDict, total=False):
    """The stored result of a day; after a crash it has only `crashed` and `where`."""

    asked: int
    """Operations that clients sent."""
    in_time: float
    """Fraction of them that succeeded within their latency objective."""
    worth: float
    """The same, weighted by priority, units and price."""
    worst: float
    """The lowest fraction in time within any `WINDOW`."""
    entitled: float
    """Fraction of the reserved units that succeeded in time."""
    fair: float
    """Jain's index of the fractions of units in time, by volume."""
    p99_ms: float
    ends: dict[str, int]
    """Number of operations by `ClientOutcome`."""
    plans: dict[str, float]
    """Fraction in time by plan."""
    lanes: dict[str, float]
    """Fraction in time by request class."""
    latency: dict[str, dict[str, float]]
    """Percentiles in ms by request class."""
    sketches: dict[str, str]
    """Encoded histograms by request class."""
    series: dict[str, list[list[int]]]
    """Operations sent and those in time, for each second, by plan and by request class."""
    nodes: list
    """Samples: the time, then attempts in flight and median concurrency limit of each node."""
    rules: dict[str, list]
    """For each rule of the checker: events checked, highest ratio to the bound, breaches."""
    kept: bool
    """Whether no rule was broken."""
    crashed: str
    """The exception that ended the simulation."""
    where: list[str]
    """The end of its traceback."""


def jain_index(shares: Iterable[float]) -> float:
    """Jain's index of fairness: 1 if all shares are equal, 1/n if one has everything.

    Jain, Chiu, Hawe: A Quantitative Measure of Fairness (DEC-TR-301, 1984).
    """
    shares = list(shares)
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


@dataclass(slots=True)
class _Tally:
    """How much was requested, and how much of it succeeded in time."""

    asked: float = 0
    in_time: float = 0

    def add(self, amount: float, in_time: bool) -> None:
        self.asked += amount
        self.in_time += amount * in_time

    @property
    def fraction(self) -> float:
        return self.in_time / self.asked


class _DayTallies:
    """Tallies of a day's operations."""

    def __init__(self, deployment: Deployment, seconds: float):
        self.settings, self.folders = deployment.settings, deployment.folders
        self.last_second = int(seconds)
        self.outcomes: dict[str, int] = defaultdict(int)
        self.series: dict[str, list[_Tally]] = defaultdict(self._new_series)
        self.request_classes: dict[str, _Tally] = defaultdict(_Tally)
        self.plans: dict[str, _Tally] = defaultdict(_Tally)
        self.volume_units: dict[str, _Tally] = defaultdict(_Tally)
        self.second_units: dict[tuple[str, int], _Tally] = defaultdict(_Tally)
        self.value = _Tally(0.0, 0.0)
        self.latencies: dict[str, HdrHistogram] = defaultdict(histograms.new_histogram)

    def _new_series(self) -> list[_Tally]:
        return [_Tally() for _ in range(self.last_second + 1)]

    def add(self, operation: CompletedOperation) -> None:
        """Counts one operation."""
        plan, name = self.folders[operation.volume].plan, operation.request_class
        request_class = self.settings.request_classes[name]
        succeeded = operation.outcome is ClientOutcome.SUCCEEDED
        objective = request_class.latency_objective / TICKS_PER_SECOND
        in_time = succeeded and operation.latency <= objective
        second = min(int(operation.sent_at), self.last_second)
        value = request_class.priority_weight * operation.units * self.settings.plans[plan].price
        self.outcomes[operation.outcome] += 1
        self.series[f"plan {plan}"][second].add(1, in_time)
        self.series[f"lane {name}"][second].add(1, in_time)
        self.request_classes[name].add(1, in_time)
        self.plans[plan].add(1, in_time)
        self.value.add(value, in_time)
        self.volume_units[operation.volume].add(operation.units, in_time)
        self.second_units[operation.volume, second].add(operation.units, in_time)
        if succeeded:
            histograms.record_seconds(self.latencies[name], operation.latency)

    def reserves_met(self) -> float:
        """Fraction of the reserved units that succeeded in time, of those that were requested."""
        reserved = met = 0.0
        for (volume, _), units in self.second_units.items():
            entitled = min(units.asked, self.settings.plans[self.folders[volume].plan].reserve)
            reserved += entitled
            met += min(entitled, units.in_time)
        return met / max(MIN_DENOMINATOR, reserved)

    def worst_window(self) -> float:
        """The lowest fraction in time within any window that has enough operations."""
        plans = [tallies for name, tallies in self.series.items() if name.startswith("plan")]
        seconds = range(self.last_second + 1)
        asked = [sum(tallies[second].asked for tallies in plans) for second in seconds]
        in_time = [sum(tallies[second].in_time for tallies in plans) for second in seconds]
        starts = range(max(1, self.last_second - WINDOW + 1))
        windows = [
            _Tally(sum(asked[start : start + WINDOW]), sum(in_time[start : start + WINDOW]))
            for start in starts
        ]
        return min((tally.fraction for tally in windows if tally.asked >= MIN_WINDOW_OPERATIONS), default=1.0)

    def all_latencies(self) -> HdrHistogram:
        """Latencies of all request classes, merged."""
        merged = histograms.new_histogram()
        for histogram in self.latencies.values():
            merged.add(histogram)
        return merged


def measure(simulation: SchedulerSimulation, seconds: float) -> DayResult:
    """Measures a day.  Latencies count from when a client meant to send, including its retries."""
    tallies = _DayTallies(simulation.context.deployment, seconds)
    for operation in simulation.completed:
        tallies.add(operation)
    asked = len(simulation.completed)
    in_time = sum(tally.in_time for tally in tallies.plans.values())
    rules = _check_rules(simulation)
    latencies = sorted(tallies.latencies.items())
    return {
        "asked": asked,
        "in_time": in_time / max(1, asked),
        "worth": tallies.value.in_time / max(MIN_DENOMINATOR, tallies.value.asked),
        "worst": tallies.worst_window(),
        "entitled": tallies.reserves_met(),
        "fair": jain_index(units.fraction for units in tallies.volume_units.values()),
        "p99_ms": histograms.percentile_ms(tallies.all_latencies(), TAIL_PERCENTILE),
        "ends": {str(outcome): count for outcome, count in tallies.outcomes.items()},
        "plans": {name: tally.fraction for name, tally in sorted(tallies.plans.items())},
        "lanes": {name: tally.fraction for name, tally in sorted(tallies.request_classes.items())},
        "latency": {name: _percentiles(histogram) for name, histogram in latencies},
        "sketches": {name: histogram.encode().decode() for name, histogram in latencies},
        "series": {
            name: [[tally.asked, tally.in_time] for tally in series]
            for name, series in sorted(tallies.series.items())
        },
        "nodes": _encode_samples(simulation.samples),
        "rules": rules,
        "kept": not any(breaches for _, _, breaches in rules.values()),
    }


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    return {str(percent): histograms.percentile_ms(histogram, percent) for percent in PERCENTILES}


def _check_rules(simulation: SchedulerSimulation) -> dict[str, list[Any]]:
    if not simulation.keeps_records:
        return {}
    checker = Checker(simulation.records, simulation.context.deployment, MAX_NETWORK_DELAY)
    return {
        verdict.rule: [verdict.checked, verdict.nearest, list(verdict.breaches[:MAX_BREACHES])]
        for verdict in checker.verdicts()
    }


def _encode_samples(samples: Sequence[Sample]) -> list[list[Any]]:
    return [
        [
            round(sample.at, 2),
            {name: [node.in_flight, round(node.median_limit, 2)] for name, node in sample.nodes.items()},
        ]
        for sample in samples
    ]
