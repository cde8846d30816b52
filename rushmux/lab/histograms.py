"""Latency histograms (HdrHistogram) in microseconds, which can be stored as text and merged."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

MIN_VALUE, MAX_VALUE = 1, 60_000_000  # microseconds
SIGNIFICANT_DIGITS = 2
US_PER_SECOND = 1e6
US_PER_MS = 1_000


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram."""
    return HdrHistogram(MIN_VALUE, MAX_VALUE, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Records a time given in seconds."""
    histogram.record_value(max(MIN_VALUE, int(seconds * US_PER_SECOND)))


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Returns a percentile in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


def merge(encoded: Iterable[str]) -> HdrHistogram:
    """Returns the sum of several encoded histograms."""
    merged = new_histogram()
    for text in encoded:
        merged.add(HdrHistogram.decode(text))
    return merged
