"""The folder of broken files: each refusal is told plainly, all of a file in one go.

What a refusal says would pass does pass.
"""

import copy
import json
import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.routes.findings import Rule
from rushmux.settings.deployment import DeploymentError, build

FILES = sorted(Path(__file__).parent.glob("broken/*.json"))
# file -> the place, the rule and a word of each refusal, in order
REFUSED = {
    "budgets-together": [("/routes/1/budget", Rule.RETRY_BUDGET, "together 12")],
    "cold-crowd": [("/fleet/cold_units", Rule.SLOW_START, "24 gateways")],
    "copies-forbidden": [("/routes/0/second_copy", Rule.NO_DUPLICATE, "the fleet allows one")],
    "copy-of-a-change": [("/routes/0/second_copy", Rule.NO_DUPLICATE, "another cell")],
    "copy-of-single-use": [
        ("/routes/0/second_copy", Rule.NO_DUPLICATE, "another cell"),
        ("/routes/0/second_copy", Rule.NO_DUPLICATE, "must never run twice"),
    ],
    "every-kind": [
        ("/bounds/way_ms", Rule.NO_LOSS, "2003 ms"),
        ("/routes/1/time_out_ms", Rule.NO_LOSS, "2500 ms"),
        ("/routes/0/second_copy", Rule.NO_LOSS, "603 ms"),
        ("/fleet/drain_grace_ms", Rule.DRAINING, "309 ms"),
        ("/routes/2/budget", Rule.RETRY_BUDGET, "free 30"),
        ("/routes/2/budget", Rule.RETRY_BUDGET, "share 2"),
    ],
    "forgotten-marks": [("/routes/0/executions", Rule.NO_DUPLICATE, "mark is known for 600 ms")],
    "held-together": [("/routes/1/held", Rule.NO_LOSS, "23400 operations")],
    "late-at-a-drain": [("/fleet/drain_grace_ms", Rule.DRAINING, "200 ms are allowed")],
    "no-such-lane": [],
    "one-bad-route": [("/routes/2/executions", Rule.NO_LOSS, "2710 ms")],
    "short-deadline": [("/routes/0/second_copy", Rule.NO_LOSS, "49 ms at the earliest")],
    "slow-way": [("/bounds/way_ms", Rule.NO_LOSS, "2001 ms")],
    "unsafe-together": [("/routes/1/executions", Rule.NO_LOSS, "plan 'prioritario'")],
}


def findings(raw):
    try:
        build(raw)
    except DeploymentError as fault:
        return fault.findings
    return ()


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_refusal_is_told_with_place_rule_and_worst(path):
    found = findings(json.loads(path.read_text()))
    assert len(found) == len(REFUSED[path.stem]), [finding.text for finding in found]
    for finding, (place, rule, word) in zip(found, REFUSED[path.stem], strict=True):
        assert (finding.place, finding.rule) == (place, rule) and word in finding.text
        assert finding.worst > finding.bound and finding.suggestion


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_check_prints_all_of_them_and_starts_nothing(path):
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 1 and "Traceback" not in result.output
    for finding in findings(json.loads(path.read_text())):
        assert f"{finding.place}: {finding.text}" in result.output
        assert f"passes: {finding.suggestion}" in result.output


def test_rows_for_what_is_not_there_are_told_beside_what_would_break():
    result = CliRunner().invoke(main, ["check", str(FILES[0].with_name("every-kind.json"))])
    for words in (
        "/routes/3/executions: 0 is less",
        "/routes/4/lane: there is no lane 'leer'",
        "/routes/0/second_copy",
    ):
        assert words in result.output
    result = CliRunner().invoke(main, ["check", str(FILES[0].with_name("no-such-lane.json"))])
    for words in ("no lane 'escritura'", "no plan 'oro'", "/routes/3: routes the same as /routes/2"):
        assert words in result.output


def test_restarts_without_slack_for_each_are_accepted():
    raw = json.loads((Path(__file__).parent / "accepted" / "restarts-without-slack.json").read_text())
    assert raw["bounds"]["restarts"] > 1
    assert findings(raw) == ()


def put(raw, place, value):
    *names, last = place.strip("/").split("/")
    part = raw
    for name in names:
        part = part[int(name)] if isinstance(part, list) else part.setdefault(name, {})
    part[int(last) if isinstance(part, list) else last] = value


def changed(raw, finding):
    """The file with the nearest value that the finding names first put in; None: it names none."""
    named = re.match(r"(\S+) (-?[\d.]+|false|true)( each)?(?=$|,| )", finding.suggestion)
    if named is None:
        return None
    field, value, raw = named[1], json.loads(named[2]), copy.deepcopy(raw)
    if field.startswith("/"):
        put(raw, field, value)
    elif finding.place.startswith("/routes/"):
        row = int(finding.place.split("/")[2])
        for number in range(len(raw["routes"])) if named[3] else (row,):
            part = raw["routes"][number]
            if field in ("free", "share"):
                part = part["budget"]
            elif field == "after_ms":
                part = part["second_copy"]
            part[field] = value
    else:
        put(raw, f"{finding.place.rsplit('/', 1)[0]}/{field}", value)
    return raw


@pytest.mark.parametrize("path", [path for path in FILES if REFUSED[path.stem]], ids=lambda path: path.stem)
def test_the_nearest_value_passes(path):
    raw, tried = json.loads(path.read_text()), 0
    for finding in findings(raw):
        nearer = changed(raw, finding)
        if nearer is None:
            continue
        tried += 1
        # A row for several lanes may be refused for another of them; this lane's refusal must be gone.
        assert not [
            other
            for other in findings(nearer)
            if (other.place, other.rule, other.text) == (finding.place, finding.rule, finding.text)
        ]
        assert len(findings(nearer)) <= len(findings(raw))
    assert tried or path.stem == "cold-crowd"
