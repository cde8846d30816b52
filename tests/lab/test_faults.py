"""The notation of faults, and the events drawn from it."""

import pytest

from rushmux.lab import faults
from rushmux.lab.faults import FaultKind

NODES = {f"n{number}": f"z{number % 2}" for number in range(4)}
VOLUMES = {"a": "basico", "b": "basico", "c": "estandar"}

EVERY_LINE = [
    f"{kind} {target}{' 2' if target in ('nodes', 'edges') else ' basico' if target == 'plan' else ''}"
    f"{' size 0.4..0.6' if syntax.has_size else ''} at 0.5..1{' for 1..2' if syntax.has_duration else ''}"
    for kind, syntax in faults.SYNTAX.items()
    for target in syntax.targets
]


@pytest.mark.parametrize("line", EVERY_LINE)
def test_the_text_of_a_parsed_line_parses_to_the_same_line(line):
    (parsed,) = faults.parse([line])
    assert faults.parse([parsed.text()]) == [parsed]
    events = faults.draw([parsed], 3, NODES, range(4), VOLUMES)
    assert events and all(0.5 <= event.at <= 3 for event in events)


@pytest.mark.parametrize(
    "line, message",
    [
        ("silence node at 1 for 2", "unknown kind 'silence'"),
        ("silent edge at 1 for 2", "targets: node, nodes, zone"),
        ("slow node at 1 for 2", "needs each of these once: at, for, size"),
        ("slow node size 5..2 at 1 for 2", "not a range"),
        ("silent node at one for 2", "one"),
        ("silent nodes at 1 for 2", "at"),
        ("silent", "out of range"),
    ],
)
def test_an_invalid_line_is_named_in_the_error(line, message):
    with pytest.raises(faults.FaultError) as error:
        faults.parse(["resets node at 1", line])
    assert "line 2" in str(error.value) and message in str(error.value)


def test_removing_a_line_does_not_change_what_others_draw():
    lines = faults.parse(["silent node at 1..9 for 1..5", "die edges 2 at 1..9 for 1..5"])
    both = faults.draw(lines, 5, NODES, range(9), VOLUMES)
    crashes = [event for event in both if event.kind is FaultKind.GATEWAY_CRASH]
    assert faults.draw(lines[1:], 5, NODES, range(9), VOLUMES) == crashes
