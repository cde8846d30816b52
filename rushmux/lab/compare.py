"""Compares variants with the first one on the same seeds: confidence intervals, tests and a conclusion."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import numpy
from scipy import stats

CONFIDENCE = 0.95
RESAMPLES = 2_000
MAX_EXACT_PAIRS = 12  # with up to this many, all sign changes are tried
RESAMPLING_SEED = 7
MIN_PAIRS = 2
MIN_VARIANTS = 2

SeedResults = Mapping[str, Mapping[int, Mapping[str, Any]]]
"""Measures by variant and seed; the first variant is the baseline."""


class Conclusion(StrEnum):
    """The conclusion from a difference between variants."""

    BETTER = "better"
    WORSE = "worse"
    NONE = "no difference seen"


class Difference(NamedTuple):
    """The mean difference of a variant from the first one in one measure, over common seeds."""

    variant: str
    measure: str
    pairs: int
    mean: float
    low: float
    high: float
    p_value: float
    """Corrected for the number of variants."""
    conclusion: Conclusion


class _Paired(NamedTuple):
    """A variant's differences from the first one in one measure, one for each seed."""

    variant: str
    measure: str
    values: list[float]


class Interval(NamedTuple):
    """A confidence interval."""

    low: float
    high: float


def bootstrap_interval(values: Sequence[float]) -> Interval:
    """Returns the bootstrap confidence interval of the mean; the same values always give the same one."""
    sample = numpy.asarray(values, float)
    if len(sample) < MIN_PAIRS or numpy.ptp(sample) == 0:
        return Interval(float(sample.mean()), float(sample.mean()))
    interval = stats.bootstrap(
        (sample,),
        numpy.mean,
        confidence_level=CONFIDENCE,
        n_resamples=RESAMPLES,
        method="basic",
        rng=numpy.random.default_rng(RESAMPLING_SEED),
    ).confidence_interval
    return Interval(float(interval.low), float(interval.high))


def sign_flip_test(values: Sequence[float]) -> float:
    """Returns the p-value of the mean under random signs: exact for few pairs, else by resampling."""
    sample = numpy.asarray(values, float)
    if not numpy.any(sample):
        return 1.0
    test = stats.permutation_test(
        (sample, numpy.zeros(len(sample))),
        lambda first, second: numpy.mean(first - second),
        permutation_type="samples",
        vectorized=False,
        n_resamples=numpy.inf if len(sample) <= MAX_EXACT_PAIRS else RESAMPLES,
        rng=numpy.random.default_rng(RESAMPLING_SEED),
    )
    return float(test.pvalue)


def holm_correction(p_values: Sequence[float]) -> list[float]:
    """Returns the p-values of several tests corrected by Holm's method, in the given order.

    Holm: A Simple Sequentially Rejective Multiple Test Procedure (1979).
    """
    order = sorted(range(len(p_values)), key=lambda index: p_values[index])
    corrected, highest = [0.0] * len(p_values), 0.0
    for rank, index in enumerate(order):
        highest = max(highest, min(1.0, p_values[index] * (len(p_values) - rank)))
        corrected[index] = highest
    return corrected


def differences(results: SeedResults, measures: Sequence[str]) -> list[Difference]:
    """Returns the differences of all variants from the first one in the given measures."""
    pairs = [
        _Paired(variant, measure, values)
        for variant in list(results)[1:]
        for measure in measures
        if len(values := _paired_values(results, variant, measure)) >= MIN_PAIRS
    ]
    p_values = _corrected_p_values(pairs, measures)
    return [_difference(pair, p_value) for pair, p_value in zip(pairs, p_values, strict=True)]


def _paired_values(results: SeedResults, variant: str, measure: str) -> list[float]:
    """Returns the variant's value minus that of the first variant, for each seed that both have."""
    baseline, compared = next(iter(results.values())), results[variant]
    return [compared[seed][measure] - baseline[seed][measure] for seed in baseline if seed in compared]


def _corrected_p_values(pairs: Sequence[_Paired], measures: Sequence[str]) -> list[float]:
    """Returns p-values corrected over the variants of each measure: each measure has its own conclusion."""
    p_values = [sign_flip_test(pair.values) for pair in pairs]
    for measure in measures:
        indices = [index for index, pair in enumerate(pairs) if pair.measure == measure]
        corrected = holm_correction([p_values[index] for index in indices])
        for index, p_value in zip(indices, corrected, strict=True):
            p_values[index] = p_value
    return p_values


def _difference(pair: _Paired, p_value: float) -> Difference:
    interval, mean = bootstrap_interval(pair.values), float(numpy.mean(pair.values))
    # With few pairs the interval alone is too narrow, so the test must show a difference too.
    is_significant = p_value < 1 - CONFIDENCE and (interval.low > 0 or interval.high < 0)
    is_better = mean < 0 if lower_is_better(pair.measure) else mean > 0
    conclusion = Conclusion.NONE
    if is_significant:
        conclusion = Conclusion.BETTER if is_better else Conclusion.WORSE
    return Difference(pair.variant, pair.measure, len(pair.values), mean, *interval, p_value, conclusion)


def lower_is_better(measure: str) -> bool:
    """Returns whether a measure is a time in ms, not a fraction."""
    return measure.endswith("_ms")


def is_narrow(results: SeedResults, measure: str, half_width: float) -> bool:
    """Returns whether no variant's interval is wider than `half_width` to either side."""
    for variant in list(results)[1:]:
        values = _paired_values(results, variant, measure)
        if len(values) < MIN_PAIRS:
            return False
        interval = bootstrap_interval(values)
        if (interval.high - interval.low) / 2 > half_width:
            return False
    return True
