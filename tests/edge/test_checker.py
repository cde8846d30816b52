"""The checker itself: a recording in order is kept, and one that breaks a rule is told by that rule."""

import pytest

from rushmux.settings.deployment import build
from rushmux.standins.checker import RULES, Checker

START = {
    "kind": "start",
    "at": 100.0,
    "node": "n1",
    "cell": 1,
    "cold": True,
    "start": "b",
    "per_second": 100.0,
    "cold_start": 0.17,
    "warm_within": 16.0,
}


def ask(at=10.0, number=1, session="edge0.a/s1"):
    return {"kind": "ask", "at": at, "session": session, "number": number, "what": "Read", "folder": "limon"}


def answer(at=10.5, number=1, session="edge0.a/s1"):
    return {
        "kind": "answer",
        "at": at,
        "session": session,
        "number": number,
        "status": 0,
        "text": "",
        "known": True,
    }


def sent(
    at=10.1,
    number=1,
    execution=0,
    lane="lectura",
    *,
    tag="s1.1",
    node="n1",
    cell=1,
    units=1.0,
    key="k",
    volume="limon",
    time_out=10_000,
    edge="edge0.a",
):
    return {
        "kind": "execution",
        "at": at,
        "node": node,
        "cell": cell,
        "edge": edge.split(".")[0],
        "op": f"{edge}.{number}/{tag}",
        "execution": execution,
        "volume": volume,
        "lane": lane,
        "key": key,
        "units": units,
        "what": "read",
        "time_out": time_out,
    }


def back(at, number=1, execution=0, code=0, *, node="n1", tag="s1.1"):
    return {
        "kind": "outcome",
        "at": at,
        "node": node,
        "op": f"edge0.a.{number}/{tag}",
        "execution": execution,
        "code": code,
    }


def told(at, condition, node="n1"):
    return {"kind": "told", "at": at, "edge": "edge0", "start": "a", "nodes": [[node, condition]]}


def wrote(kind, at, begun, digest, path="/limon/a"):
    return {"kind": kind, "at": at, "path": path, "digest": digest, "begun": begun}


def change(number, at, execution=0, **more):
    return sent(at, number, execution, "registro", **more)


DAY = [ask(), sent(), back(10.3), answer()]
VERSIONS = [
    wrote("writing", 1, 1, "x"),
    wrote("wrote", 2, 1, "x"),
    wrote("writing", 3, 3, "y"),
    wrote("wrote", 4, 3, "y"),
]
BROKEN = {
    "no operation lost": [
        [ask()],
        [ask(), answer(), answer(10.6)],
        [ask(), answer(17.5)],
        [answer()],
        [*DAY, sent(10.9, execution=1)],
        [ask(), {"kind": "killed", "at": 30.0, "edge": "edge0", "start": "a"}],
    ],
    "no effect twice": [
        [change(1, 1.0), change(1, 30.0, 1)],  # past the window
        [change(1, 1.0), change(1, 2.0, 1, cell=2, node="n2")],  # another cell
        [{"kind": "effect", "at": at, "node": "n1", "mark": "m", "op": "edge0.a.1/-"} for at in (1.0, 2.0)],
    ],
    "drains kept": [
        [told(5.0, "draining"), sent(6.5, tag="-")],
        [told(5.0, "gone"), told(5.5, "draining"), sent(6.2, tag="-")],
    ],
    "no cold node pushed over": [
        [START, *(sent(100.1, number, units=8.0, tag="-") for number in range(1, 13))],
        [{"kind": "fell", "at": 3.0, "node": "n1"}],
    ],
    "order kept": [
        [change(1, 1.0, tag="-"), change(2, 1.1, tag="-"), back(1.5, 1, tag="-")],  # while it runs
        [change(2, 1.0, tag="-"), back(1.1, 2, tag="-"), change(1, 2.0, tag="-")],  # out of turn
        [change(1, 1.0, tag="-", time_out=5_000), change(2, 1.4, tag="-")],  # before its time-out
        [change(1, 1.0, tag="-"), {"kind": "reset", "at": 1.1, "node": "n1"}, change(2, 1.2, tag="-")],
    ],  # no rest
    "budgets kept": [
        [
            sent(1.0 + number / 1000, number, execution, tag="-")
            for number in range(1, 15)
            for execution in range(3)
        ]
    ],
    "limits kept": [[sent(1.0, number, units=8.0, volume="caribe", tag="-") for number in range(1, 18)]],
    "bytes as written": [
        [*VERSIONS, wrote("got", 6, 5, "x")],
        [*VERSIONS, wrote("got", 6, 5, "z")],
        [
            *VERSIONS,
            wrote("writing", 7, 7, "u"),
            wrote("unsure", 8, 7, "u"),
            wrote("writing", 9, 9, "w"),
            wrote("wrote", 10, 9, "w"),
            wrote("got", 12, 11, "u"),
        ],
    ],
}
KEPT = [
    DAY,
    [],
    [ask(), {"kind": "killed", "at": 12.0, "edge": "edge0", "start": "a"}],
    [ask(), {"kind": "left", "at": 12.0, "session": "edge0.a/s1"}],
    [
        change(1, 1.0, tag="-"),
        back(1.1, 1, code=2, tag="-"),
        change(1, 30.0, 1, cell=2, tag="-"),
    ],  # never ran
    [told(5.0, "draining"), sent(5.9, tag="-")],
    [told(5.0, "gone"), told(5.5, "ready"), sent(9.0, tag="-")],
    [START, *(sent(100.1, number, units=8.0, tag="-") for number in range(1, 11))],
    [change(1, 1.0, tag="-"), back(1.5, 1, tag="-"), change(2, 1.6, tag="-")],
    [change(1, 1.0, tag="-", time_out=5_000), change(2, 1.71, tag="-")],
    [change(1, 1.0, tag="-"), {"kind": "killed", "at": 1.1, "node": "n1"}, change(2, 1.31, tag="-")],
    [sent(1.0, number, units=8.0, volume="caribe", tag="-") for number in range(1, 16)],
    [*VERSIONS, wrote("got", 6, 2.5, "x"), wrote("got", 6, 5, "y")],
    [*VERSIONS, wrote("writing", 7, 7, "u"), wrote("unsure", 8, 7, "u"), wrote("got", 12, 11, "u")],
]


@pytest.fixture
def verdicts(raw):
    def judged(records):
        return {verdict.rule: verdict for verdict in Checker(records, build(raw), 0.005).verdicts()}

    return judged


@pytest.mark.parametrize(
    "rule, records", [(rule, records) for rule, all_ in BROKEN.items() for records in all_]
)
def test_a_broken_rule_is_told_by_its_name_and_no_other(verdicts, rule, records):
    broken = [name for name, verdict in verdicts(records).items() if verdict.breaches]
    assert broken == [rule]


@pytest.mark.parametrize("records", KEPT)
def test_what_is_in_order_breaks_nothing(verdicts, records):
    assert not [verdict.breaches for verdict in verdicts(records).values() if verdict.breaches]


def test_each_rule_has_a_recording_that_breaks_it():
    assert tuple(BROKEN) == RULES
