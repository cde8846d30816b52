"""Variants against the first one on the same seeds: intervals, tests, and a plain conclusion."""

from typing import NamedTuple

import numpy
from scipy import stats

LEVEL = 0.95
RESAMPLES = 2_000
EXACT = 12  # pairs up to which all sign changes are gone through


class Difference(NamedTuple):
    """A variant less the first one, in one measure, over the seeds that both have."""

    variant: str
    measure: str
    pairs: int
    mean: float
    low: float
    high: float
    chance: float  # of such a mean were there no difference, corrected for the variants
    says: str


def interval(values) -> tuple[float, float]:
    """The bootstrap's interval of a mean; the same values give the same interval."""
    values = numpy.asarray(values, float)
    if len(values) < 2 or numpy.ptp(values) == 0:
        return float(values.mean()), float(values.mean())
    found = stats.bootstrap(
        (values,),
        numpy.mean,
        confidence_level=LEVEL,
        n_resamples=RESAMPLES,
        method="basic",
        rng=numpy.random.default_rng(7),
    ).confidence_interval
    return float(found.low), float(found.high)


def sign_flips(values) -> float:
    """Chance of a mean as far from nought, were each pair's sign a coin's: exact for few pairs, else "
    "drawn.
    """
    values = numpy.asarray(values, float)
    if not numpy.any(values):
        return 1.0
    found = stats.permutation_test(
        (values, numpy.zeros(len(values))),
        lambda a, b: numpy.mean(a - b),
        permutation_type="samples",
        vectorized=False,
        n_resamples=numpy.inf if len(values) <= EXACT else RESAMPLES,
        rng=numpy.random.default_rng(7),
    )
    return float(found.pvalue)


def holm(chances):
    """Holm's correction for many tests, in the order given."""
    order = sorted(range(len(chances)), key=lambda place: chances[place])
    corrected, most = [0.0] * len(chances), 0.0
    for rank, place in enumerate(order):
        most = max(most, min(1.0, chances[place] * (len(chances) - rank)))
        corrected[place] = most
    return corrected


def differences(results: dict, measures) -> list[Difference]:
    """`results`: variant -> seed -> measures; the first variant is what the others are held against."""
    names = list(results)
    found = []
    for name in names[1:]:
        seeds = [seed for seed in results[names[0]] if seed in results[name]]
        for measure in measures:
            values = [results[name][seed][measure] - results[names[0]][seed][measure] for seed in seeds]
            if len(values) >= 2:
                found.append((name, measure, values))
    # Corrected within a measure, over the variants: conclusions are drawn from one measure at a time.
    chances = [sign_flips(values) for _, _, values in found]
    for measure in measures:
        places = [place for place, row in enumerate(found) if row[1] == measure]
        for place, chance in zip(places, holm([chances[place] for place in places])):
            chances[place] = chance
    rows = []
    for (name, measure, values), chance in zip(found, chances):
        low, high = interval(values)
        mean = float(numpy.mean(values))
        # An interval alone is generous with few pairs: both must say so.
        seen = chance < 1 - LEVEL and (low > 0 or high < 0)
        better = mean < 0 if measure.endswith("_ms") else mean > 0
        says = ("better" if better else "worse") if seen else "no difference seen"
        rows.append(Difference(name, measure, len(values), mean, low, high, chance, says))
    return rows


def narrow(results: dict, measure, width) -> bool:
    """Whether every variant's interval against the first is narrow enough to stop at."""
    names = list(results)
    for name in names[1:]:
        seeds = [seed for seed in results[names[0]] if seed in results[name]]
        values = [results[name][seed][measure] - results[names[0]][seed][measure] for seed in seeds]
        if len(values) < 2:
            return False
        low, high = interval(values)
        if (high - low) / 2 > width:
            return False
    return True
