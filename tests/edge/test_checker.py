"""The checker accepts valid recordings, and reports each violation under the rule that is broken."""

import pytest

from rushmux.settings.deployment import build
from rushmux.standins.checker import EVERY_NODE, RULES, Checker

NODE_START = {
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


def request_record(at=10.0, number=1, session="edge0.a/s1"):
    return {"kind": "ask", "at": at, "session": session, "number": number, "what": "Read", "folder": "limon"}


def reply_record(at=10.5, number=1, session="edge0.a/s1"):
    return {
        "kind": "answer",
        "at": at,
        "session": session,
        "number": number,
        "status": 0,
        "text": "",
        "known": True,
    }


def execution_record(
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


def outcome_record(at, number=1, execution=0, code=0, *, node="n1", tag="s1.1"):
    return {
        "kind": "outcome",
        "at": at,
        "node": node,
        "op": f"edge0.a.{number}/{tag}",
        "execution": execution,
        "code": code,
    }


def listing_record(at, condition, node="n1"):
    return {"kind": "told", "at": at, "edge": "edge0", "start": "a", "nodes": [[node, condition]]}


def stall_record(since, at, node="n1"):
    return {"kind": "stall", "at": at, "node": node, "since": since}


def file_record(kind, at, begun, digest, path="/limon/a"):
    return {"kind": kind, "at": at, "path": path, "digest": digest, "begun": begun}


def change_record(number, at, execution=0, **more):
    return execution_record(at, number, execution, "registro", **more)


def effect_record(number, *objects, tag="s1.1"):
    return {
        "kind": "effect",
        "at": 10.2,
        "node": "n1",
        "mark": f"m{number}",
        "op": f"edge0.a.{number}/{tag}",
        "objects": list(objects),
    }


SHED_REQUEST = [request_record(), {**reply_record(), "status": 4, "text": "shed: nothing was done"}]
SHED_WRITE = [
    *SHED_REQUEST,
    {**execution_record(key="object"), "what": "write"},
    outcome_record(10.15),
]
ANSWERED_REQUEST = [request_record(), execution_record(), outcome_record(10.3), reply_record()]
TWO_WRITES = [
    file_record("writing", 1, 1, "x"),
    file_record("wrote", 2, 1, "x"),
    file_record("writing", 3, 3, "y"),
    file_record("wrote", 4, 3, "y"),
]
VIOLATIONS = {
    "no operation lost": [
        [request_record()],
        [request_record(), reply_record(), reply_record(10.6)],
        [request_record(), reply_record(17.5)],
        [reply_record()],
        [*ANSWERED_REQUEST, execution_record(10.9, execution=1)],
        [*ANSWERED_REQUEST, stall_record(10.8, 11.4), execution_record(11.4, execution=1)],  # sent after 10.8
        [*ANSWERED_REQUEST, stall_record(10.4, 11.4, "n2"), execution_record(11.4, execution=1)],
        [*ANSWERED_REQUEST, stall_record(10.4, 11.4), execution_record(11.6, execution=1)],
        [request_record(), {"kind": "killed", "at": 30.0, "edge": "edge0", "start": "a"}],
    ],
    "no effect twice": [
        [change_record(1, 1.0), change_record(1, 30.0, 1)],  # past the deduplication window
        [change_record(1, 1.0), change_record(1, 2.0, 1, cell=2, node="n2")],  # another cell
        [{"kind": "effect", "at": at, "node": "n1", "mark": "m", "op": "edge0.a.1/-"} for at in (1.0, 2.0)],
    ],
    "no effect of what was shed": [
        [*SHED_WRITE, effect_record(2, "other", "object", tag="s1.2")],  # committed by another request
        [*SHED_WRITE, effect_record(2, "object", tag="-")],  # committed long after
        [*SHED_REQUEST, effect_record(1)],  # a change of names
    ],
    "drains kept": [
        [listing_record(5.0, "draining"), execution_record(6.5, tag="-")],
        [listing_record(5.0, "draining"), stall_record(6.4, 7.0), execution_record(7.0, tag="-")],
        [listing_record(5.0, "gone"), listing_record(5.5, "draining"), execution_record(6.2, tag="-")],
    ],
    "no cold node pushed over": [
        [NODE_START, *(execution_record(100.1, number, units=8.0, tag="-") for number in range(1, 13))],
        [{"kind": "fell", "at": 3.0, "node": "n1"}],
    ],
    "order kept": [
        [
            change_record(1, 1.0, tag="-"),
            change_record(2, 1.1, tag="-"),
            outcome_record(1.5, 1, tag="-"),
        ],  # while the first still runs
        [
            change_record(2, 1.0, tag="-"),
            outcome_record(1.1, 2, tag="-"),
            change_record(1, 2.0, tag="-"),
        ],  # out of order
        [
            change_record(1, 1.0, tag="-", time_out=5_000),
            change_record(2, 1.4, tag="-"),
        ],  # before the first one's timeout
        [
            change_record(1, 1.0, tag="-"),
            {"kind": "reset", "at": 1.1, "node": "n1"},
            change_record(2, 1.2, tag="-"),
        ],  # without the cooldown after a reset
    ],
    "budgets kept": [
        [
            execution_record(1.0 + number / 1000, number, execution, tag="-")
            for number in range(1, 15)
            for execution in range(3)
        ]
    ],
    "limits kept": [
        [execution_record(1.0, number, units=8.0, volume="caribe", tag="-") for number in range(1, 18)]
    ],
    "bytes as written": [
        [*TWO_WRITES, file_record("got", 6, 5, "x")],
        [*TWO_WRITES, file_record("got", 6, 5, "z")],
        [
            *TWO_WRITES,
            file_record("writing", 7, 7, "u"),
            file_record("unsure", 8, 7, "u"),
            file_record("writing", 9, 9, "w"),
            file_record("wrote", 10, 9, "w"),
            file_record("got", 12, 11, "u"),
        ],
    ],
}
VALID_RECORDS = [
    ANSWERED_REQUEST,
    [*SHED_WRITE, effect_record(2, "other", tag="s1.2")],  # its object is stored, and no row refers to it
    [*SHED_WRITE, effect_record(1, "other")],  # it committed the writes of others
    [*ANSWERED_REQUEST, effect_record(1, "object")],
    [],
    [request_record(), {"kind": "killed", "at": 12.0, "edge": "edge0", "start": "a"}],
    [request_record(), {"kind": "left", "at": 12.0, "session": "edge0.a/s1"}],
    [
        change_record(1, 1.0, tag="-"),
        outcome_record(1.1, 1, code=2, tag="-"),
        change_record(1, 30.0, 1, cell=2, tag="-"),
    ],  # the node was busy: the first attempt did not run
    [listing_record(5.0, "draining"), execution_record(5.9, tag="-")],
    [listing_record(5.0, "draining"), stall_record(5.9, 7.0), execution_record(7.001, tag="-")],
    # An attempt that waited in the socket of a stalled process may have been sent before the answer.
    [*ANSWERED_REQUEST, stall_record(10.45, 11.4), execution_record(11.402, execution=1)],
    [
        *ANSWERED_REQUEST,
        stall_record(10.45, 11.4, EVERY_NODE),
        stall_record(11.3, 12.0),
        execution_record(12.01, execution=1),
    ],
    [listing_record(5.0, "gone"), listing_record(5.5, "ready"), execution_record(9.0, tag="-")],
    [NODE_START, *(execution_record(100.1, number, units=8.0, tag="-") for number in range(1, 11))],
    [change_record(1, 1.0, tag="-"), outcome_record(1.5, 1, tag="-"), change_record(2, 1.6, tag="-")],
    [change_record(1, 1.0, tag="-", time_out=5_000), change_record(2, 1.71, tag="-")],
    [
        change_record(1, 1.0, tag="-"),
        {"kind": "killed", "at": 1.1, "node": "n1"},
        change_record(2, 1.31, tag="-"),
    ],
    [execution_record(1.0, number, units=8.0, volume="caribe", tag="-") for number in range(1, 16)],
    [*TWO_WRITES, file_record("got", 6, 2.5, "x"), file_record("got", 6, 5, "y")],
    [
        *TWO_WRITES,
        file_record("writing", 7, 7, "u"),
        file_record("unsure", 8, 7, "u"),
        file_record("got", 12, 11, "u"),
    ],
]


@pytest.fixture
def verdicts(raw):
    def verdicts_of(records):
        return {verdict.rule: verdict for verdict in Checker(records, build(raw), 0.005).verdicts()}

    return verdicts_of


@pytest.mark.parametrize(
    "rule, records", [(rule, records) for rule, all_ in VIOLATIONS.items() for records in all_]
)
def test_a_violation_is_reported_under_its_rule_only(verdicts, rule, records):
    broken = [name for name, verdict in verdicts(records).items() if verdict.breaches]
    assert broken == [rule]


@pytest.mark.parametrize("records", VALID_RECORDS)
def test_valid_recordings_have_no_violations(verdicts, records):
    assert not [verdict.breaches for verdict in verdicts(records).values() if verdict.breaches]


def test_each_rule_has_a_recording_that_violates_it():
    assert tuple(VIOLATIONS) == RULES
