"""Measures of a day and their histograms."""

import pytest

from rushmux.lab import histograms
from rushmux.lab.measurements import jain_index


def test_encoded_histograms_merge():
    parts = [histograms.new_histogram() for _ in range(3)]
    for place, part in enumerate(parts):
        for value in range(1, 1_000):
            part.record_value(value * 10**place)
    merged = histograms.merge(part.encode().decode() for part in parts)
    assert merged.get_total_count() == 3 * 999
    assert merged.get_value_at_percentile(50) == pytest.approx(4_700, rel=0.1)


def test_jain_index_is_one_for_equal_shares_and_low_for_one_share():
    assert jain_index([1, 1, 1]) == 1 and jain_index([1, 0, 0, 0]) == 0.25
