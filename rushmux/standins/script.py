"""The notation of scripted days (see days/bad.txt)."""

from collections.abc import Sequence
from os import PathLike
from pathlib import Path
from typing import NamedTuple

DAYS = Path(__file__).with_name("days")
MAX_LINES = 10_000
FIELDS = {"size": "size", "times": "size", "for": "seconds"}
"""Keywords, and the event fields that they set."""


class ScriptError(Exception):
    """An invalid line or an unreadable script, quoted by the text."""


class Event(NamedTuple):
    """An event of a day; times in seconds."""

    at: float
    verb: str
    target: str
    kind: str = ""
    size: float = 0.0
    seconds: float = 0.0


class Script(NamedTuple):
    """A day: its length in seconds, and its events in order of time."""

    length: float
    events: tuple[Event, ...]


def _parse_event(words: Sequence[str]) -> Event | None:
    """The event that the words after `at` state, or None."""
    at, verb, target, *rest = words
    event = Event(float(at), verb, target)
    if verb in ("kill", "start") and not rest:
        return event
    if verb in ("replace", "reload") and len(rest) == 1:
        return event._replace(kind=rest[0])
    if verb == "trouble" and rest:
        event, rest = event._replace(kind=rest[0]), rest[1:]
    elif verb != "surge":
        return None
    for name, value in zip(rest[::2], rest[1::2], strict=False):
        event = event._replace(**{FIELDS[name]: float(value)})
    return event if len(rest) % 2 == 0 else None


def _parse_length(words: Sequence[str]) -> float | None:
    """The length that a line states, or None."""
    match words:
        case ["length", seconds]:
            return float(seconds)
    return None


def parse(text: str, source: str = "script") -> Script:
    """Parses the text of a day.

    Raises:
        ScriptError: A line is invalid, or there is no length.
    """
    length, events = 0.0, []
    for number, line in enumerate(text.splitlines()[:MAX_LINES], 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        place = f"{source}, line {number}: {line.strip()}"
        try:
            stated_length = _parse_length(words)
            event = _parse_event(words[1:]) if words[0] == "at" else None
        except (ValueError, KeyError) as error:
            raise ScriptError(f"{place}: invalid value or keyword: {error}") from error
        if stated_length is not None:
            length = stated_length
        elif event is not None:
            events.append(event)
        else:
            raise ScriptError(f"{place}: unknown form of line")
    if not length:
        raise ScriptError(f"{source}: the length is missing")
    return Script(length, tuple(sorted(events, key=lambda event: event.at)))


def load(name: str | PathLike[str]) -> Script:
    """Loads a day of the collection by its name, or a file by its path.

    Raises:
        ScriptError: The file can't be read, or as `parse`.
    """
    path = DAYS / f"{name}.txt"
    path = path if path.exists() else Path(name)
    try:
        return parse(path.read_text(), str(path))
    except OSError as error:
        raise ScriptError(f"{path}: cannot be read: {error.strerror}") from error
