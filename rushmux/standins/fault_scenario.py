"""The notation of fault scenarios, which run on fleets of real processes (`stories/*.txt`).

`planners 3`, `edges 3`, `nodes 2`, `length 30`, `limit 60`, `load 0.3` configure the fleet.  `at TIME VERB …`
runs at a time, `on KIND VERB …` when the first planner has applied a command of that kind (`on propose after
0.3 kill leader`).  Verbs:

    propose PLACE=VALUE … [base N] [as WORD]   withdraw N   revert N [as WORD]   forget MEMBER
    kill NAME   stop NAME SECONDS   start NAME [image|empty|torn]   image NAME   full NAME SECONDS
    cut NAMES from NAMES SECONDS   mute NAMES to NAMES SECONDS   delay NAMES to NAMES LEAST MOST SECONDS
    refuse NAMES to NAMES SECONDS   reset NAME from NAME BYTES

`leader` is the current leader, `last` the process that was killed last.
`expect WORD decided|ended|withdrawn|refused [text]` is the expected outcome of a change, `expect force N` the
final active version.
"""

import json
from collections.abc import Mapping, Sequence
from os import PathLike
from pathlib import Path
from typing import NamedTuple

from rushmux.settings import policy as documents

SCENARIOS = Path(__file__).with_name("stories")
EXAMPLE = Path(documents.__file__).with_name("example.json")
MAX_LINES = 500
LIMITED_FOLDER = "caribe"
"""A folder whose demand exceeds its limit."""
LIMITED_PLAN = "basico"
SIZES: Mapping[str, float] = {
    "planners": 3,
    "edges": 3,
    "nodes": 2,
    "length": 25.0,
    "limit": 60.0,
    "load": 0.15,
    "surge": 16.0,
}
"""The parameters of a scenario's fleet, with their defaults."""
VERBS = (
    "propose",
    "withdraw",
    "revert",
    "forget",
    "kill",
    "stop",
    "start",
    "image",
    "full",
    "cut",
    "mute",
    "delay",
    "refuse",
    "reset",
)


class ScenarioError(Exception):
    """An invalid line or an unreadable file, quoted by the text."""


class Step(NamedTuple):
    """An action on the fleet.

    Attributes:
        at: Seconds after the start of the clients, or after the triggering command.
        on: The kind of the triggering command; empty: none.
        verb: One of VERBS.
        words: Its arguments.
    """

    at: float
    on: str
    verb: str
    words: tuple[str, ...]


class Scenario(NamedTuple):
    """A parsed scenario."""

    name: str
    sizes: Mapping[str, float]
    steps: tuple[Step, ...]
    expectations: tuple[tuple[str, ...], ...]


def parse(text: str, name: str = "story") -> Scenario:
    """Parses the text of a scenario.

    Raises:
        ScenarioError: A line is invalid.
    """
    sizes, steps, expectations = dict(SIZES), [], []
    for number, line in enumerate(text.splitlines()[:MAX_LINES], 1):
        words = line.split("#")[0].split()
        try:
            match words:
                case []:
                    continue
                case [size, value] if size in SIZES:
                    sizes[size] = type(SIZES[size])(value)
                case ["expect", word, outcome, *more]:
                    expectations.append((word, outcome, *more))
                case ["at" | "on", *_]:
                    steps.append(_parse_step(words))
                case _:
                    raise ValueError("unknown form of line")
        except (ValueError, IndexError) as error:
            raise ScenarioError(f"{name}, line {number}: {line.strip()}: {error}") from error
    return Scenario(name, sizes, tuple(steps), tuple(expectations))


def _parse_step(words: Sequence[str]) -> Step:
    when, condition, *rest = words
    at, on = (float(condition), "") if when == "at" else (0.0, condition)
    if on and rest[0] == "after":
        at, rest = float(rest[1]), rest[2:]
    if rest[0] not in VERBS:
        raise ValueError(f"there is no verb '{rest[0]}'")
    return Step(at, on, rest[0], tuple(rest[1:]))


def load(name: str | PathLike[str]) -> Scenario:
    """Loads a scenario of the collection by its name, or a file by its path.

    Raises:
        ScenarioError: The file can't be read, or as `parse`.
    """
    path = SCENARIOS / f"{name}.txt"
    path = path if path.exists() else Path(name)
    try:
        return parse(path.read_text(), path.stem)
    except OSError as error:
        raise ScenarioError(f"{path}: cannot be read: {error.strerror}") from error


def names() -> list[str]:
    """The names of the collection's scenarios."""
    return sorted(path.stem for path in SCENARIOS.glob("*.txt"))


def raw_deployment(scenario: Scenario) -> dict:
    """The example deployment with a replicated policy and a limit below the demand."""
    raw, limit = json.loads(EXAMPLE.read_text()), scenario.sizes["limit"]
    raw["fleet"].update(gateways=scenario.sizes["edges"], policy=True)
    raw["plans"][LIMITED_PLAN].update(limit=limit, burst=2 * limit)
    return raw
