"""Comparison of variants: real differences are found, and few others."""

import numpy
import pytest

from rushmux.lab import compare
from rushmux.lab.compare import Conclusion


def test_a_shift_is_detected_and_noise_alone_rarely_is():
    generator, false_alarms = numpy.random.default_rng(3), 0
    for number in range(60):
        noise = generator.normal(0, 0.02, (2, 10))
        shift = 0.05 if number % 2 else 0.0
        results = {
            "a": {seed: {"in_time": 0.5 + noise[0][seed]} for seed in range(10)},
            "b": {seed: {"in_time": 0.5 + shift + noise[1][seed]} for seed in range(10)},
        }
        (row,) = compare.differences(results, ["in_time"])
        if shift:
            assert row.conclusion == "better" or row.mean < 0.03
        else:
            false_alarms += row.conclusion != "no difference seen"
    assert false_alarms <= 4  # of 30, at a significance level of 0.05


def test_equal_results_give_no_difference():
    results = {name: {seed: {"in_time": 0.1 * seed} for seed in range(5)} for name in "ab"}
    (row,) = compare.differences(results, ["in_time"])
    assert (row.mean, row.low, row.high, row.p_value) == (0, 0, 0, 1)
    assert row.conclusion is Conclusion.NONE and row.conclusion == "no difference seen"
    assert compare.is_narrow(results, "in_time", 1e-6)


def test_holm_correction_keeps_the_given_order():
    assert compare.holm_correction([0.01, 0.04, 0.03]) == pytest.approx([0.03, 0.06, 0.06])
