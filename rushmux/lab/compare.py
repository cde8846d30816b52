"""Compares variants with the first one on the same seeds: intervals, tests, and a plain conclusion."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import numpy
from scipy import stats

CONFIDENCE = 0.95
RESAMPLES = 2_000
MAX_EXACT_PAIRS = 12  # up to which all changes of signs are tried
RESAMPLING_SEED = 7
MIN_PAIRS = 2
MIN_VARIANTS = 2

SeedResults = Mapping[str, Mapping[int, Mapping[str, Any]]]
"""Measures by variant and seed; the others are compared with the first variant."""


class Conclusion(StrEnum):
    """What a difference says of a variant."""

    BETTER = "better"
    WORSE = "worse"
    NONE = "no difference seen"


class Difference(NamedTuple):
    """A variant less the first one, in one measure, over the seeds that both have."""

    variant: str
    measure: str
    pairs: int
    mean: float
    low: float
    high: float
    p_value: float
    """Of such a mean if there were no difference, corrected for the number of variants."""
    conclusion: Conclusion


class _Paired(NamedTuple):
    """Differences by seed, before the test."""

    variant: str
    measure: str
    values: list[float]


class Interval(NamedTuple):
    """A confidence interval."""

    low: float
    high: float


def bootstrap_interval(values: Sequence[float]) -> Interval:
    """The bootstrap's confidence interval of a mean; the same values always give the same interval."""
    sample = numpy.asarray(values, float)
    if len(sample) < MIN_PAIRS or numpy.ptp(sample) == 0:
        return Interval(float(sample.mean()), float(sample.mean()))
    found = stats.bootstrap(
        (sample,),
        numpy.mean,
        confidence_level=CONFIDENCE,
        n_resamples=RESAMPLES,
        method="basic",
        rng=numpy.random.default_rng(RESAMPLING_SEED),
    ).confidence_interval
    return Interval(float(found.low), float(found.high))


def sign_flip_test(values: Sequence[float]) -> float:
    """The p-value of a mean if each pair's sign were random: exact for few pairs, else by resampling."""
    sample = numpy.asarray(values, float)
    if not numpy.any(sample):
        return 1.0
    found = stats.permutation_test(
        (sample, numpy.zeros(len(sample))),
        lambda first, second: numpy.mean(first - second),
        permutation_type="samples",
        vectorized=False,
        n_resamples=numpy.inf if len(sample) <= MAX_EXACT_PAIRS else RESAMPLES,
        rng=numpy.random.default_rng(RESAMPLING_SEED),
    )
    return float(found.pvalue)


def holm_correction(p_values: Sequence[float]) -> list[float]:
    """Corrects p-values of many tests, in the order given.

    Holm: A Simple Sequentially Rejective Multiple Test Procedure (1979).
    """
    order = sorted(range(len(p_values)), key=lambda place: p_values[place])
    corrected, highest = [0.0] * len(p_values), 0.0
    for rank, place in enumerate(order):
        highest = max(highest, min(1.0, p_values[place] * (len(p_values) - rank)))
        corrected[place] = highest
    return corrected


def differences(results: SeedResults, measures: Sequence[str]) -> list[Difference]:
    """The differences of all variants from the first one, in the given measures."""
    pairs = [
        _Paired(variant, measure, values)
        for variant in list(results)[1:]
        for measure in measures
        if len(values := _paired_values(results, variant, measure)) >= MIN_PAIRS
    ]
    p_values = _corrected_p_values(pairs, measures)
    return [_difference(pair, p_value) for pair, p_value in zip(pairs, p_values, strict=True)]


def _paired_values(results: SeedResults, variant: str, measure: str) -> list[float]:
    """A variant less the first one, by the seeds that both have."""
    baseline, compared = next(iter(results.values())), results[variant]
    return [compared[seed][measure] - baseline[seed][measure] for seed in baseline if seed in compared]


def _corrected_p_values(pairs: Sequence[_Paired], measures: Sequence[str]) -> list[float]:
    """Corrected within a measure, over the variants: a conclusion is drawn from one measure at a time."""
    p_values = [sign_flip_test(pair.values) for pair in pairs]
    for measure in measures:
        places = [place for place, pair in enumerate(pairs) if pair.measure == measure]
        corrected = holm_correction([p_values[place] for place in places])
        for place, p_value in zip(places, corrected, strict=True):
            p_values[place] = p_value
    return p_values


def _difference(pair: _Paired, p_value: float) -> Difference:
    interval, mean = bootstrap_interval(pair.values), float(numpy.mean(pair.values))
    # An interval alone is generous with few pairs: interval and test both must show a difference.
    is_seen = p_value < 1 - CONFIDENCE and (interval.low > 0 or interval.high < 0)
    is_better = mean < 0 if lower_is_better(pair.measure) else mean > 0
    conclusion = Conclusion.NONE
    if is_seen:
        conclusion = Conclusion.BETTER if is_better else Conclusion.WORSE
    return Difference(pair.variant, pair.measure, len(pair.values), mean, *interval, p_value, conclusion)


def lower_is_better(measure: str) -> bool:
    """Whether a measure is a time (in ms) and not a part."""
    return measure.endswith("_ms")


def is_narrow(results: SeedResults, measure: str, half_width: float) -> bool:
    """Whether every variant's interval against the first one is narrow enough to stop at."""
    for variant in list(results)[1:]:
        values = _paired_values(results, variant, measure)
        if len(values) < MIN_PAIRS:
            return False
        interval = bootstrap_interval(values)
        if (interval.high - interval.low) / 2 > half_width:
            return False
    return True
