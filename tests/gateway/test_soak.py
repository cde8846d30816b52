"""Randomized runs of the gateway process; `--seeds FIRST:END` selects seeds, `-rP` prints a row per run."""

import asyncio

import pytest

from rushmux.standins.gateway_soak import SoakRun
from rushmux.standins.gateway_soak_judge import Attempt, Request, Scenario, Settings, Signals, check_requests

DEFAULT_SEEDS = range(12)


def pytest_generate_tests(metafunc):
    if "soak_seed" in metafunc.fixturenames:
        text = metafunc.config.getoption("--seeds")
        seeds = range(*map(int, text.split(":"))) if text else DEFAULT_SEEDS
        metafunc.parametrize("soak_seed", seeds)


def run_soak(seed, folder, *arguments):
    return asyncio.run(SoakRun(seed, folder, *arguments).run())


def test_a_random_run_breaks_no_rule(tmp_path, soak_seed):
    outcome = run_soak(soak_seed, tmp_path)
    settings = outcome.settings
    print(
        f"| {soak_seed} | {settings.scenario} | {settings.signals} | {settings.deadline} |"
        f" {settings.write_idempotency} | {outcome.requests} | {outcome.answered} |"
        f" {'; '.join(outcome.breaches[:3]) or 'kept'} |"
    )
    rerun_command = f"python -m pytest tests/gateway/test_soak.py --seeds {soak_seed}:{soak_seed + 1}"
    assert outcome.breaches == [], rerun_command


# Seeds and statements that patch a defect into the gateway; the seed's run must detect it.
DEFECTS = {
    "answers late": (
        1,
        "from rushmux.gateway.client_connection import ClientConnection as C",
        "flush = C.flush",
        "C.flush = lambda self: self.listener.loop.call_later(1.7, flush, self)",
    ),
    "leaks descriptors": (
        11,
        "import os",
        "from rushmux.gateway.client_connection import ClientConnection as C",
        "made = C.connection_made",
        "C.connection_made = lambda self, t: (os.dup(t.get_extra_info('socket').fileno()), made(self, t))[1]",
    ),
    "fails in a timer": (
        1,
        "from rushmux.gateway.connection_pool import ConnectionPool as P",
        "P.sweep = lambda self: 1 / 0",
    ),
    "tells nodes more time than clients have": (
        2,
        "from rushmux.gateway.pending_replies import PendingReply as P",
        "P.arrived_at = property(lambda self: self.client.listener.loop.time(), lambda self, value: None)",
    ),
    "never listens": (1, "from rushmux.gateway.listener import Listener as L", "L.open = lambda self: None"),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_defect_of_the_gateway_is_detected(tmp_path, defect):
    seed, *statements = DEFECTS[defect]
    start = ("import runpy", "runpy.run_module('rushmux.gateway', run_name='__main__')")
    outcome = run_soak(seed, tmp_path, ("-c", "; ".join((*statements, *start))))
    print(defect, outcome.breaches[:3])
    assert outcome.breaches


def request(**fields):
    """A read sent at 1.0 s on a used connection, with a deadline of 0.5 s."""
    defaults = {
        "number": 1,
        "sent_at": 1.0,
        "deadline": 0.5,
        "is_write": False,
    }
    return Request(**{**defaults, **fields})


def attempts(*times, node="s0", time_told=0.0):
    return [Attempt(at, node, may_have_run=True, time_told=time_told) for at in times]


@pytest.mark.parametrize(
    "observed, effect, breach",
    [
        ({"replied_at": 2.0, "attempts": attempts(1.1)}, "safe", None),
        ({"replied_at": 2.06, "attempts": attempts(1.1)}, "safe", "too late"),
        ({"replied_at": 1.4, "attempts": attempts(1.2, time_told=0.5)}, "safe", None),
        ({"replied_at": 1.4, "attempts": attempts(1.22, time_told=0.5)}, "safe", "had 0.280 s left"),
        ({"attempts": attempts(1.1)}, "safe", "got no answer"),
        ({"connection_ended_at": 1.01, "attempts": attempts(1.005)}, "safe", "was forwarded, and its"),
        ({"connection_ended_at": 1.05}, "safe", None),
        ({"connection_ended_at": 1.07}, "safe", "waited"),
        ({"connection_ended_at": 1.4}, "safe", "waited"),
        ({"client_left_at": 1.1, "attempts": attempts(1.24)}, "safe", None),
        ({"client_left_at": 1.1, "attempts": attempts(1.3)}, "safe", "after its client left"),
        ({"replied_at": 1.2, "attempts": attempts(1.1, 1.3)}, "safe", "after its answer"),
        ({"replied_at": 1.2, "attempts": attempts(1.1, node="drained")}, "safe", "draining"),
        ({"replied_at": 1.2, "is_write": True, "attempts": attempts(1.0, 1.1)}, "keyed", None),
        ({"replied_at": 1.4, "is_write": True, "attempts": attempts(1.0, 1.38)}, "keyed", "past its window"),
        ({"replied_at": 1.2, "is_write": True, "attempts": attempts(1.0, 1.1)}, "unsafe", "run twice"),
    ],
)
def test_the_judge_reports_each_breach_and_nothing_else(observed, effect, breach):
    settings = Settings(Scenario.PLAIN, Signals.TERM, 0.5, 0.3, effect, 2, 3, 256, 0)
    breaches = check_requests([request(**observed)], settings, {"drained": 0.7}, lag=0.01)
    assert [breach in text for text in breaches] == [True] if breach else breaches == []


def test_a_request_in_a_crowd_is_owed_its_answer_like_any_other():
    crowd = Settings(Scenario.CROWD, Signals.TERM, 0.5, 0.3, "safe", 2, 3, 96, 60)
    assert check_requests([request(connection_ended_at=1.4)], crowd, {}, lag=0.0)
