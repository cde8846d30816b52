"""Deployment files: all faults are reported, with their places."""

import copy
import json
from pathlib import Path

import pytest

from rushmux.settings import deployment
from rushmux.settings.deployment import DeploymentError, build, load

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())

WRONG = [
    (("lanes", "lectura", "quoted_ms"), 4000, "/lanes/lectura/quoted_ms", "past the hard stop"),
    (("lanes", "lectura", "repeat"), "often", "/lanes/lectura/repeat", "often"),
    (("lanes", "registro", "window_ms"), 0, "/lanes/registro/window_ms", "repeats"),
    (("lanes", "registro", "group"), "all", "/roles/change", "cell"),
    (("lanes", "registro", "repeat"), "replayable", "/roles/change", "twice"),
    (("roles", "read"), "leer", "/roles/read", "no lane 'leer'"),
    (("plans", "basico", "reserve"), 21, "/plans/basico/reserve", "nominal"),
    (("plans", "basico", "burst"), 20, "/plans/basico/burst", "24"),
    (("plans", "basico", "weight"), 0, "/plans/basico/weight", "0"),
    (("folders", "limon", "plan"), "oro", "/folders/limon/plan", "oro"),
    (("folders", "limon", "edges"), [0, 3], "/folders/limon/edges/1", "edge 3 of 3"),
    (("folders", ".."), {"plan": "basico"}, "/folders/..", "another folder"),
    (("folders", "a/b"), {"plan": "basico"}, "/folders", "a/b"),
    (("fleet", "gateways"), 0, "/fleet/gateways", "0"),
    (("fleet", "speed"), 1, "/fleet", "speed"),
    (("sessions", "patience_ms"), 3050, "/sessions/patience_ms", "3050"),
    (("files", "object_bytes"), 300_000, "/files/object_bytes", "most_units"),
]


def changed(place, value):
    raw = copy.deepcopy(EXAMPLE)
    part = raw
    for name in place[:-1]:
        part = part[name]
    part[place[-1]] = value
    return raw


@pytest.mark.parametrize("place, value, place_of_fault, message", WRONG, ids=lambda part: str(part)[:40])
def test_a_fault_is_reported_with_its_place(place, value, place_of_fault, message):
    with pytest.raises(DeploymentError) as fault:
        build(changed(place, value))
    assert any(where == place_of_fault and message in text for where, text in fault.value.faults), (
        fault.value.faults
    )


def test_all_faults_are_reported_at_once():
    raw = changed(("roles", "read"), "leer")
    raw["folders"]["limon"]["plan"] = raw["folders"]["golfo"]["plan"] = "oro"
    with pytest.raises(DeploymentError) as fault:
        build(raw)
    assert len(fault.value.faults) == 3


@pytest.mark.parametrize(
    "text, message",
    [("{", "line 1, column 2"), ("[]", "a JSON object"), (b"\xff", "UTF-8"), (None, "cannot be read")],
)
def test_an_unreadable_or_malformed_file_is_rejected(tmp_path, text, message):
    path = tmp_path / "d.json"
    if text is not None:
        path.write_bytes(text.encode() if isinstance(text, str) else text)
    with pytest.raises(DeploymentError, match=message):
        load(path)


def test_times_become_ticks_and_defaults_are_applied():
    made = build(EXAMPLE)
    assert (
        made.settings.request_classes["lectura"].latency_objective == 4_000
        and made.settings.round_interval == 50
    )
    assert made.sessions.max_handles == 256 and made.files.object_bytes == 262_144
    assert made.units(1) == 1 and made.units(32_769) == 2 and made.units(10**9) == 8
