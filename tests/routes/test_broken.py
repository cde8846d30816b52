"""Deployment files that break rules: all findings are reported at once, and the values they suggest pass."""

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
# Expected findings by file, in order: the place, the rule and a part of the text.
EXPECTED_FINDINGS = {
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
    except DeploymentError as error:
        return error.findings
    return ()


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_finding_has_place_rule_text_and_worst_value(path):
    found = findings(json.loads(path.read_text()))
    assert len(found) == len(EXPECTED_FINDINGS[path.stem]), [finding.text for finding in found]
    for finding, (place, rule, part) in zip(found, EXPECTED_FINDINGS[path.stem], strict=True):
        assert (finding.place, finding.rule) == (place, rule) and part in finding.text
        assert finding.worst > finding.bound and finding.suggestion


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_the_check_command_prints_all_findings_and_fails(path):
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 1 and "Traceback" not in result.output
    for finding in findings(json.loads(path.read_text())):
        assert f"{finding.place}: {finding.text}" in result.output
        assert f"passes: {finding.suggestion}" in result.output


def test_invalid_rows_are_reported_together_with_findings():
    result = CliRunner().invoke(main, ["check", str(FILES[0].with_name("every-kind.json"))])
    for text in (
        "/routes/3/executions: 0 is less",
        "/routes/4/lane: there is no lane 'leer'",
        "/routes/0/second_copy",
    ):
        assert text in result.output
    result = CliRunner().invoke(main, ["check", str(FILES[0].with_name("no-such-lane.json"))])
    for text in (
        "no lane 'escritura'",
        "no plan 'oro'",
        "/routes/3: has the same lane and plan as /routes/2",
    ):
        assert text in result.output


def test_restarts_are_accepted_without_slack_for_each_of_them():
    raw = json.loads((Path(__file__).parent / "accepted" / "restarts-without-slack.json").read_text())
    assert raw["bounds"]["restarts"] > 1
    assert findings(raw) == ()


def set_value(raw, place, value):
    *names, last = place.strip("/").split("/")
    part = raw
    for name in names:
        part = part[int(name)] if isinstance(part, list) else part.setdefault(name, {})
    part[int(last) if isinstance(part, list) else last] = value


def apply_suggestion(raw, finding):
    """Returns the file with the first suggested value of the finding applied, or None if there is none."""
    suggested = re.match(r"(\S+) (-?[\d.]+|false|true)( each)?(?=$|,| )", finding.suggestion)
    if suggested is None:
        return None
    field, value, raw = suggested[1], json.loads(suggested[2]), copy.deepcopy(raw)
    if field.startswith("/"):
        set_value(raw, field, value)
    elif finding.place.startswith("/routes/"):
        row = int(finding.place.split("/")[2])
        for number in range(len(raw["routes"])) if suggested[3] else (row,):
            part = raw["routes"][number]
            if field in ("free", "share"):
                part = part["budget"]
            elif field == "after_ms":
                part = part["second_copy"]
            part[field] = value
    else:
        set_value(raw, f"{finding.place.rsplit('/', 1)[0]}/{field}", value)
    return raw


@pytest.mark.parametrize(
    "path", [path for path in FILES if EXPECTED_FINDINGS[path.stem]], ids=lambda path: path.stem
)
def test_the_suggested_value_passes(path):
    raw, tried = json.loads(path.read_text()), 0
    for finding in findings(raw):
        corrected = apply_suggestion(raw, finding)
        if corrected is None:
            continue
        tried += 1
        # A row for several lanes may still be rejected for another lane, but not with the same finding.
        assert not [
            other
            for other in findings(corrected)
            if (other.place, other.rule, other.text) == (finding.place, finding.rule, finding.text)
        ]
        assert len(findings(corrected)) <= len(findings(raw))
    assert tried or path.stem == "cold-crowd"
