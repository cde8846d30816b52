"""Searches an experiment's ranges for the worst day, and shrinks it to the faults that matter.

A day is a seed, from which arrivals, machine speeds and fault targets are drawn, and a set of fault lines.
The search is simulated annealing over both: a move changes a number within a line's range, adds or removes
a line, or changes the seed.  A bandit over kinds of faults would miss their combinations, and scipy's dual
annealing needs a fixed number of variables, but lines come and go.
"""

import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from rushmux.lab import faults, variants
from rushmux.lab.experiment_schema import Experiment, Variant
from rushmux.lab.faults import FaultLine, Range
from rushmux.lab.run import simulate
from rushmux.lab.variants import SchedulerSource
from rushmux.worker_pool import worker_pool

INITIAL_TEMPERATURE, FINAL_TEMPERATURE = 0.05, 0.002  # increases of the score accepted half the time
SHRINK_TOLERANCE = 0.02  # increase of the score accepted when a line is removed
MAX_LINES = 12  # in a day
MAX_INITIAL_LINES = 3
MAX_CHAINS, MIN_DAYS_PER_CHAIN = 8, 4
MAX_SEED = 1 << 30
BROKEN_RULE_SCORE = -1.0  # makes a day with a broken rule worse than any without
RANGE_FIELDS = ("size", "at", "duration")
NUMBER_DIGITS = 2  # decimals of numbers drawn from ranges
# Cumulative probabilities of the moves; the remaining move changes a number of a line.
NEW_SEED, ADD_LINE, REMOVE_LINE = 0.15, 0.4, 0.55
KEPT_FIELDS = (
    "in_time",
    "worth",
    "worst",
    "entitled",
    "fair",
    "p99_ms",
    "ends",
    "plans",
    "lanes",
    "rules",
)

OnProgress = Callable[[str], None]


class Candidate(NamedTuple):
    """A day that may be simulated."""

    seed: int
    lines: tuple[str, ...]
    """Its fault lines, in the notation of `faults`."""


class SimulatedDay(NamedTuple):
    """A simulated day with the fraction served in time and the broken rules."""

    seed: int
    lines: tuple[str, ...]
    served: float
    broken: tuple[str, ...]
    result: dict[str, Any]
    """`KEPT_FIELDS` of its `DayResult`."""

    @property
    def score(self) -> float:
        """The value that the search minimizes."""
        return (BROKEN_RULE_SCORE if self.broken else 0.0) + self.served


def simulate_day(
    experiment: Experiment,
    variant: Variant,
    scheduler_source: SchedulerSource,
    candidate: Candidate,
) -> SimulatedDay:
    """Simulates a day of an experiment with the faults of a candidate."""
    seed, lines = candidate
    changed = {**experiment, "troubles": list(lines)}
    result = simulate(changed, variant, scheduler_source, seed)
    if "crashed" in result:
        return SimulatedDay(seed, lines, 0.0, (f"crashed: {result['crashed']}",), dict(result))
    broken = tuple(rule for rule, (_, _, breaches) in result["rules"].items() if breaches)
    kept = {name: result[name] for name in KEPT_FIELDS}
    return SimulatedDay(seed, lines, result["in_time"], broken, kept)


class _DaySimulator:
    """Simulates candidates with the first variant, on several cores."""

    def __init__(self, experiment: Experiment, pool: ProcessPoolExecutor):
        self.experiment, self.pool = experiment, pool
        self.variant = experiment["variants"][0]
        self.scheduler_source = variants.load_source(self.variant)

    def simulate(self, candidates: Sequence[Candidate]) -> list[SimulatedDay]:
        """Simulates days; the results are in the order of the candidates."""
        count = len(candidates)
        return list(
            self.pool.map(
                simulate_day,
                [self.experiment] * count,
                [self.variant] * count,
                [self.scheduler_source] * count,
                candidates,
            )
        )


class Neighbourhood:
    """Draws the initial candidates and their neighbours."""

    def __init__(self, ranges: Sequence[FaultLine], generator: random.Random):
        self.ranges, self.generator = ranges, generator

    def initial_candidate(self) -> Candidate:
        """A day with a few lines."""
        count = min(len(self.ranges), 1 + self.generator.randrange(MAX_INITIAL_LINES))
        lines = self.generator.sample(self.ranges, count)
        seed = self.generator.randrange(MAX_SEED)
        return Candidate(seed, tuple(self._draw_point(line).text() for line in lines))

    def neighbour(self, day: SimulatedDay) -> Candidate:
        """A candidate one move away from a day."""
        lines, move = list(day.lines), self.generator.random()
        if move < NEW_SEED or not self.ranges:
            return Candidate(self.generator.randrange(MAX_SEED), tuple(lines))
        unused = self._unused_ranges(lines)
        if (move < ADD_LINE or not lines) and unused and len(lines) < MAX_LINES:
            lines.append(self._draw_point(self.generator.choice(unused)).text())
        elif move < REMOVE_LINE and len(lines) > 1:
            lines.pop(self.generator.randrange(len(lines)))
        else:
            index = self.generator.randrange(len(lines))
            lines[index] = self._with_another_number(lines[index])
        return Candidate(day.seed, tuple(lines))

    def _unused_ranges(self, lines: Sequence[str]) -> list[FaultLine]:
        """The ranges without a line in a day; a range gives at most one."""
        used = {_fault_key(line) for line in faults.parse(lines)}
        return [line for line in self.ranges if _fault_key(line) not in used]

    def _draw_point(self, line: FaultLine) -> FaultLine:
        """A line with a number drawn from each range."""
        numbers = {name: self._draw_number(getattr(line, name)) for name in RANGE_FIELDS}
        return line._replace(**numbers)

    def _draw_number(self, span: Range) -> Range:
        number = round(self.generator.uniform(*span), NUMBER_DIGITS)
        return Range(number, number)

    def _with_another_number(self, text: str) -> str:
        (line,) = faults.parse([text])
        matching = [other for other in self.ranges if _fault_key(other) == _fault_key(line)]
        drawn = self._draw_point(self.generator.choice(matching or self.ranges))
        name = self.generator.choice(RANGE_FIELDS)
        return line._replace(**{name: getattr(drawn, name)}).text()


def _fault_key(line: FaultLine) -> tuple[str, str, str]:
    return line.kind, line.target, line.target_argument


def search(
    experiment: Experiment,
    days: int,
    seed: int,
    jobs: int,
    on_progress: OnProgress = lambda text: None,
) -> SimulatedDay:
    """The worst of `days` simulated days; repeatable with the same seed and number of jobs."""
    generator = random.Random(seed)
    neighbourhood = Neighbourhood(faults.parse(experiment["troubles"]), generator)
    chains = min(jobs, max(1, days // MIN_DAYS_PER_CHAIN), MAX_CHAINS)
    with worker_pool(jobs) as pool:
        simulator = _DaySimulator(experiment, pool)
        current = simulator.simulate([neighbourhood.initial_candidate() for _ in range(chains)])
        worst, count = _worst(current), chains
        rounds = max(1, (days - chains) // chains)
        for number in range(rounds):
            temperature = _temperature(number / rounds)
            tried = simulator.simulate([neighbourhood.neighbour(day) for day in current])
            current = [
                new if _accepts(old, new, temperature, generator) else old
                for old, new in zip(current, tried, strict=True)
            ]
            worst = _worst([worst, *tried])
            count += chains
            on_progress(_describe_progress(count, days, worst))
    return worst


def _temperature(done: float) -> float:
    """The temperature after a fraction `done` of the rounds."""
    return INITIAL_TEMPERATURE * (FINAL_TEMPERATURE / INITIAL_TEMPERATURE) ** done


def _accepts(old: SimulatedDay, new: SimulatedDay, temperature: float, generator: random.Random) -> bool:
    """Whether a chain continues from the new day: always if that is worse, else by chance."""
    worse_by = old.score - new.score
    return worse_by >= 0 or generator.random() < 0.5 ** (-worse_by / temperature)


def _worst(days: Iterable[SimulatedDay]) -> SimulatedDay:
    return min(days, key=lambda day: day.score)


def _describe_progress(count: int, days: int, worst: SimulatedDay) -> str:
    broken = f", broken: {', '.join(worst.broken)}" if worst.broken else ""
    return f"{count} of {days} days, worst {worst.served:.3f}{broken}"


def shrink(
    experiment: Experiment,
    day: SimulatedDay,
    jobs: int,
    on_progress: OnProgress = lambda text: None,
) -> SimulatedDay:
    """Removes fault lines as long as the day stays about as bad."""
    with worker_pool(jobs) as pool:
        simulator = _DaySimulator(experiment, pool)
        while len(day.lines) > 1:
            tried = simulator.simulate(list(_without_one_line(day)))
            as_bad = [one for one in tried if one.score <= day.score + SHRINK_TOLERANCE]
            if not as_bad:
                break
            day = _worst(as_bad)
            on_progress(f"shrunk to {len(day.lines)} lines, served {day.served:.3f}")
    return day


def _without_one_line(day: SimulatedDay) -> Iterator[Candidate]:
    for index in range(len(day.lines)):
        yield Candidate(day.seed, day.lines[:index] + day.lines[index + 1 :])


def summarize(worst: SimulatedDay, shrunk: SimulatedDay) -> list[str]:
    """The result of a search as plain text."""
    result = shrunk.result
    lines = [
        f"worst day: seed {worst.seed}, {worst.served:.3f} in time, {len(worst.lines)} lines; "
        f"as bad with {len(shrunk.lines)}: {shrunk.served:.3f}"
    ]
    lines += [f"  {line}" for line in shrunk.lines]
    if "crashed" in result:
        return [*lines, f"  {shrunk.broken[0]}"]
    plans = ", ".join(f"{name} {part:.2f}" for name, part in result["plans"].items())
    request_classes = ", ".join(f"{name} {part:.2f}" for name, part in result["lanes"].items())
    ends = ", ".join(f"{name} {count}" for name, count in sorted(result["ends"].items()))
    rules = f"BROKEN: {', '.join(shrunk.broken)}" if shrunk.broken else "kept"
    return [
        *lines,
        f"  by plan {plans}; by lane {request_classes}",
        f"  ends {ends}",
        f"  rules {rules}",
    ]
