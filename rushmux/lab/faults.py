"""The notation of faults: lines with ranges, from which events are drawn with a seed.

    KIND TARGET [size A..B] at A..B [for A..B]

A single number is a range with that number only.  TARGET: `node` (one, drawn), `nodes N%` or `nodes N`
(so many, drawn), `zone` (all nodes of a drawn one), `edge`, `edges N` (gateways), `lists` (endpoint lists),
`volume`, `plan NAME`, `all` (volumes).  `#` begins a comment.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from rushmux.lab.errors import LabError

MAX_LINES = 200
MAX_NUMBER = 1e6  # exclusive upper bound of all numbers


class FaultKind(StrEnum):
    """Kinds of faults; the values are the words of the notation."""

    SILENT = "silent"
    """Nodes accept attempts and do not answer."""
    SLOW = "slow"
    """Work takes `size` times as long."""
    ERRORS = "errors"
    """A fraction `size` of the attempts fail."""
    MESSAGE_LOSS = "lost"
    """A fraction `size` of the messages get lost."""
    CONNECTION_RESET = "resets"
    NOISY_NEIGHBOUR = "neighbour"
    """Work takes `size` times as long, in turns of one second on and one second off."""
    NODE_RESTART = "restart"
    """Nodes are down for the duration and come back in slow start."""
    DRAIN = "drain"
    """Nodes drain one after the other, `size` seconds apart."""
    PARTITION = "cut"
    """A gateway or zone has no connection to the rest of the fleet."""
    DISCOVERY_LAG = "lag"
    """Updates of the endpoint list are `size` seconds late."""
    USAGE_REPORT_LOSS = "reports"
    """Nodes' answers omit the usage at other gateways."""
    GATEWAY_CRASH = "die"
    """Gateways are down for the duration and come back with no state."""
    GATEWAY_PAUSE = "still"
    """Gateway processes are paused for the duration."""
    SHORT_DEADLINE = "hurried"
    """Clients wait for a fraction `size` of the deadline."""
    LOAD_SURGE = "surge"
    """Request rates are `size` times as high."""
    HOT_KEY = "hot"
    """A fraction `size` of the accesses go to one key."""
    LARGE_OPERATIONS = "scan"
    """Operations are `size` times as large."""


class FaultSyntax(NamedTuple):
    """The targets and fields of a line, by its kind."""

    targets: tuple[str, ...]
    has_size: bool = True
    has_duration: bool = True


NODE_TARGETS = ("node", "nodes", "zone")
GATEWAY_TARGETS = ("edge", "edges")
VOLUME_TARGETS = ("volume", "plan", "all")
SYNTAX = {
    FaultKind.SILENT: FaultSyntax(NODE_TARGETS, has_size=False),
    FaultKind.SLOW: FaultSyntax(NODE_TARGETS),
    FaultKind.ERRORS: FaultSyntax(NODE_TARGETS),
    FaultKind.MESSAGE_LOSS: FaultSyntax(NODE_TARGETS),
    FaultKind.CONNECTION_RESET: FaultSyntax(NODE_TARGETS, has_size=False, has_duration=False),
    FaultKind.NOISY_NEIGHBOUR: FaultSyntax(NODE_TARGETS),
    FaultKind.NODE_RESTART: FaultSyntax(NODE_TARGETS, has_size=False),
    FaultKind.DRAIN: FaultSyntax(NODE_TARGETS, has_duration=False),
    FaultKind.PARTITION: FaultSyntax(("zone", *GATEWAY_TARGETS), has_size=False),
    FaultKind.DISCOVERY_LAG: FaultSyntax(("lists",)),
    FaultKind.USAGE_REPORT_LOSS: FaultSyntax(NODE_TARGETS, has_size=False),
    FaultKind.GATEWAY_CRASH: FaultSyntax(GATEWAY_TARGETS, has_size=False),
    FaultKind.GATEWAY_PAUSE: FaultSyntax(GATEWAY_TARGETS, has_size=False),
    FaultKind.SHORT_DEADLINE: FaultSyntax(VOLUME_TARGETS),
    FaultKind.LOAD_SURGE: FaultSyntax(VOLUME_TARGETS),
    FaultKind.HOT_KEY: FaultSyntax(VOLUME_TARGETS),
    FaultKind.LARGE_OPERATIONS: FaultSyntax(VOLUME_TARGETS),
}
TARGETS_WITH_ARGUMENT = ("nodes", "edges", "plan")


class FaultError(LabError):
    """A line is not in the notation, or there are too many lines.

    Attributes:
        location: Source and line.
        reason: What is wrong there.
    """

    def __init__(self, location: str, reason: str):
        super().__init__(f"{location}: {reason}")
        self.location, self.reason = location, reason


class Range(NamedTuple):
    """A range of numbers to draw from."""

    low: float
    high: float

    def __str__(self):
        return f"{self.low:g}" if self.low == self.high else f"{self.low:g}..{self.high:g}"


class FaultLine(NamedTuple):
    """One line of the notation."""

    kind: FaultKind
    target: str
    target_argument: str
    """Count, percentage or plan; "" where the target has none."""
    size: Range
    at: Range
    """Seconds since the start of the day."""
    duration: Range
    """Seconds."""

    def text(self) -> str:
        """Returns the line in the notation."""
        syntax = SYNTAX[self.kind]
        words = [self.kind, self.target]
        if self.target_argument:
            words.append(self.target_argument)
        if syntax.has_size:
            words += ["size", str(self.size)]
        words += ["at", str(self.at)]
        if syntax.has_duration:
            words += ["for", str(self.duration)]
        return " ".join(words)


class FaultEvent(NamedTuple):
    """A fault drawn from a line."""

    at: float
    """Seconds since the start of the day."""
    kind: FaultKind
    targets: tuple
    """Names of nodes or volumes, or numbers of gateways."""
    size: float
    duration: float
    """Seconds."""


def parse(lines: Sequence[str], source: str = "troubles") -> list[FaultLine]:
    """Parses lines of the notation; comments and blank lines are skipped.

    Raises:
        FaultError: A line is not in the notation, or there are too many.
    """
    if len(lines) > MAX_LINES:
        raise FaultError(source, f"{len(lines)} lines, at most {MAX_LINES}")
    parsed = []
    for number, text in enumerate(lines, 1):
        words = text.split("#")[0].split()
        if words:
            parsed.append(_parse_line(words, f"{source}, line {number}: {text.strip()}"))
    return parsed


def _parse_line(words: list[str], location: str) -> FaultLine:
    try:
        target, rest = words[1], words[2:]
        kind = _parse_kind(words[0], target, location)
        argument = ""
        if target in TARGETS_WITH_ARGUMENT:
            argument, rest = rest[0], rest[1:]
            if target != "plan":
                float(argument.rstrip("%"))
        fields = _parse_fields(kind, rest, location)
        return FaultLine(
            kind,
            target,
            argument,
            _parse_range(fields.get("size", "0")),
            _parse_range(fields["at"]),
            _parse_range(fields.get("for", "0")),
        )
    except (IndexError, ValueError) as error:
        raise FaultError(location, str(error)) from error


def _parse_kind(word: str, target: str, location: str) -> FaultKind:
    """Returns the kind that a word names, if it may have the target."""
    if word not in SYNTAX:
        raise FaultError(location, f"unknown kind '{word}'; known are {', '.join(SYNTAX)}")
    kind = FaultKind(word)
    targets = SYNTAX[kind].targets
    if target not in targets:
        raise FaultError(location, f"'{kind}' needs one of these targets: {', '.join(targets)}")
    return kind


def _parse_fields(kind: FaultKind, words: list[str], location: str) -> dict[str, str]:
    syntax = SYNTAX[kind]
    fields = dict(zip(words[::2], words[1::2], strict=False))
    required = {"at"}
    if syntax.has_size:
        required.add("size")
    if syntax.has_duration:
        required.add("for")
    if len(words) % 2 or set(fields) != required:
        raise FaultError(location, f"'{kind}' needs each of these once: {', '.join(sorted(required))}")
    return fields


def _parse_range(word: str) -> Range:
    low, _, high = word.partition("..")
    parsed = Range(float(low), float(high or low))
    if not 0 <= parsed.low <= parsed.high < MAX_NUMBER:
        raise ValueError(f"'{word}' is not a range")
    return parsed


def draw(
    lines: Iterable[FaultLine],
    seed: int,
    nodes: Mapping[str, str],
    gateways: Iterable[int],
    volumes: Mapping[str, str],
) -> list[FaultEvent]:
    """Draws the events of a day, sorted by time.

    Each line has its own random generator, so that removing a line does not change what others draw.

    Args:
        lines: Parsed lines of the notation.
        seed: The seed of the day.
        nodes: The zone of each node.
        gateways: Numbers of the gateways.
        volumes: The plan of each volume.
    """
    events = []
    for line in lines:
        generator = random.Random(f"{seed}/{line.text()}")
        at, size, duration = (generator.uniform(*span) for span in (line.at, line.size, line.duration))
        targets = _draw_targets(line, generator, nodes, gateways, volumes)
        if line.kind is FaultKind.DRAIN:
            events += [
                FaultEvent(at + position * size, FaultKind.DRAIN, (name,), 0.0, 0.0)
                for position, name in enumerate(targets)
            ]
        else:
            events.append(FaultEvent(at, line.kind, targets, size, duration))
    return sorted(events, key=lambda event: event.at)


def _draw_targets(
    line: FaultLine,
    generator: random.Random,
    nodes: Mapping[str, str],
    gateways: Iterable[int],
    volumes: Mapping[str, str],
) -> tuple:
    if line.target == "lists":
        return ("lists",)
    if line.target == "all":
        return tuple(volumes)
    if line.target == "plan":
        return tuple(name for name, plan in volumes.items() if plan == line.target_argument)
    if line.target == "zone":
        zone = generator.choice(sorted(set(nodes.values())))
        return tuple(name for name in nodes if nodes[name] == zone)
    candidates = list(volumes)
    if line.target in NODE_TARGETS:
        candidates = list(nodes)
    elif line.target in GATEWAY_TARGETS:
        candidates = list(gateways)
    count = _target_count(line.target_argument, len(candidates))
    return tuple(generator.sample(candidates, count))


def _target_count(argument: str, available: int) -> int:
    """Returns how many targets "3" or "20%" asks for, from one to all; "" asks for one."""
    if not argument:
        return 1
    number = float(argument.rstrip("%"))
    count = round(number / 100 * available) if argument.endswith("%") else int(number)
    return max(1, min(available, count))
