"""The estimate of how long an idle connection may be used again."""

from rushmux.gateway.keep_alive import DECAY_SWEEPS, KeepAliveEstimator


def test_an_idle_time_after_which_connections_are_reset_is_learned_and_tried_again_later():
    """On the platform, half of the connections that were idle for 0.1 s were reset at their next use."""
    estimator = KeepAliveEstimator()
    for _ in range(40):
        estimator.record_use(0.0, False)
        estimator.record_use(0.03, False)
        estimator.record_use(0.2, True)
    assert not estimator.max_idle_time <= 0.03 and estimator.max_idle_time <= 0.2
    for _ in range(DECAY_SWEEPS * 8):
        estimator.sweep()
    assert estimator.max_idle_time == float("inf")


def test_resets_as_frequent_on_new_connections_limit_no_idle_time():
    estimator = KeepAliveEstimator()
    for number in range(200):
        estimator.record_use(0.0, number % 5 == 0)
        estimator.record_use(0.3, number % 5 == 0)
    assert estimator.max_idle_time == float("inf")
