"""Load reports through the adapter: they reach the scheduler, and malformed ones are rejected."""

import io

import orjson
import pytest

from rushmux.wirehost.host import Host, MalformedInputError

MS = 1_000_000


def env(columns, may_probe=True):
    return {
        "Classes": [{"Name": "r", "Aim": 300 * MS, "Deadline": 900 * MS, "Worth": 1, "Idempotency": "safe"}],
        "Grades": [
            {
                "Name": "p",
                "Nominal": 4,
                "FloorRate": 2,
                "NeverOver": 0,
                "CapDepth": 0,
                "Tolerance": 0,
                "Parts": 1,
                "WorthFactor": 1,
            }
        ],
        "Rules": {
            "AskWithin": 9_000 * MS,
            "OverloadFor": 2_000 * MS,
            "FallMultiple": 2,
            "StartCapacity": 0.2,
            "WarmWithin": 9_000 * MS,
        },
        "Limits": {"MaxAttempts": 3, "RetryAfter": True, "MaxRetryAfter": 1_000 * MS, "MayProbe": may_probe},
        "Extra": {"UnitMean": 2, "MostUnits": 6, "ColdUnits": 20, "UsePeriod": 0},
        "Report": {"How": "probe", "Columns": columns},
        "ReplicasOfMe": 10,
        "Period": 2 * MS,
        "Discovery": "push",
    }


def run_probe(columns, health, may_probe=True):
    """Plays a late read and the result of the probe after it; returns the host and the actions by round."""
    call = {
        "Gateway": "g",
        "Corr": "a",
        "Service": "r",
        "Grade": "p",
        "Chunk": "k",
        "Left": 900 * MS,
        "StoreUser": "v",
        "Units": 2,
        "GroupNo": 0,
        "Mounts": 1,
    }
    settled = {
        "Gateway": "g",
        "Corr": "a",
        "SendNo": 0,
        "Node": "n",
        "Verdict": "completed",
        "TimeTaken": 250 * MS,
        "Ended": True,
    }
    rounds = [
        (
            0,
            [
                {"Attach": {"Gateway": "g", "Entropy": 1, "Env": env(columns, may_probe)}},
                {
                    "Catalog": {
                        "SetId": 0,
                        "MembersList": [{"Node": "n", "Cohort": 0, "Dc": "z", "Condition": "ready"}],
                    }
                },
                {"DirectoryUpdate": {"Gateway": "g", "SetId": 0, "Revision": 1, "Kind": "restored"}},
                {"Call": call},
            ],
        ),
        (250, [{"Settled": settled}]),
        (252, [{"Health": {"Gateway": "g", "Node": "n", "TimeTaken": 2 * MS, **health}}]),
    ]
    host, sink = Host(), io.BytesIO()
    host.serve([orjson.dumps({"Clock": at * MS, "input": events}) for at, events in rounds], sink)
    return host, [
        [next(iter(action)) for action in orjson.loads(line)["do"]] for line in sink.getvalue().splitlines()
    ]


def test_a_late_answer_triggers_a_probe_whose_report_reaches_the_scheduler():
    host, actions = run_probe(
        ["utilization", "recent_ms", "backlog"], {"Verdict": "completed", "Metrics": [0.5, 47.5, 0]}
    )
    assert "Probe" in actions[1] and host.schedulers["g"].endpoints.nodes["n"].expected_service == 475


@pytest.mark.parametrize(
    "columns, may_probe", [([], True), (["utilization"], True), (["backlog"], True), (["recent_ms"], False)]
)
def test_no_node_is_probed_without_a_reported_service_time_or_permission(columns, may_probe):
    assert "Probe" not in run_probe(columns, {"Verdict": "completed"}, may_probe)[1][1]


@pytest.mark.parametrize("metrics", [["much"], [None], 7])
def test_a_malformed_load_report_is_rejected_with_its_line_number(metrics):
    with pytest.raises(MalformedInputError, match="line 3"):
        run_probe(["recent_ms"], {"Verdict": "completed", "Metrics": metrics})
