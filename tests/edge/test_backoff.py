"""The backoff after failed connects."""

import random

import pytest

from rushmux.edge.node_connections import MAX_BACKOFF, next_backoff


def backoff(failures):
    return next_backoff(failures, random.Random(1))


@pytest.mark.parametrize("failures", [10, 1_023])
def test_backoff_stays_bounded_when_many_connects_fail(failures):
    assert MAX_BACKOFF / 2 <= backoff(failures) <= MAX_BACKOFF


@pytest.mark.parametrize("failures", [1_024, 100_000])
def test_backoff_stays_bounded_when_connects_fail_for_half_an_hour(failures):
    assert MAX_BACKOFF / 2 <= backoff(failures) <= MAX_BACKOFF
