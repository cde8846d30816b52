"""The notation of scripted days: lines of text to events (see days/bad.txt)."""

from pathlib import Path
from typing import NamedTuple

DAYS = Path(__file__).with_name("days")
MOST_LINES = 10_000


class BadScript(Exception):
    """A line that is no event; the text names it."""


class Event(NamedTuple):
    """One thing that happens; times in seconds."""

    at: float
    verb: str
    target: str
    kind: str = ""
    size: float = 0.0
    seconds: float = 0.0


class Script(NamedTuple):
    """A day: its length and its events in order of time."""

    length: float
    events: tuple[Event, ...]


def _event(words) -> Event | None:
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
    fields = {"size": "size", "times": "size", "for": "seconds"}
    for name, value in zip(rest[::2], rest[1::2]):
        event = event._replace(**{fields[name]: float(value)})
    return event if len(rest) % 2 == 0 else None


def parse(text: str, source="script") -> Script:
    """The day that a text tells; BadScript with the line and what is wrong in it."""
    length, events = 0.0, []
    for number, line in enumerate(text.splitlines()[:MOST_LINES], 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            if words[0] == "length" and len(words) == 2:
                length, event = float(words[1]), True
            else:
                event = _event(words[1:]) if words[0] == "at" else None
        except (ValueError, KeyError) as fault:
            raise BadScript(f"{source}, line {number}: {line.strip()}: {fault} is out of place") from fault
        if event is None:
            raise BadScript(f"{source}, line {number}: {line.strip()}: no event of this form")
        if event is not True:
            events.append(event)
    if not length:
        raise BadScript(f"{source}: the length is not stated")
    return Script(length, tuple(sorted(events, key=lambda event: event.at)))


def load(name) -> Script:
    """A day of the collection by its name, or a file by its path."""
    path = DAYS / f"{name}.txt"
    path = path if path.exists() else Path(name)
    try:
        return parse(path.read_text(), str(path))
    except OSError as fault:
        raise BadScript(f"{path}: cannot be read: {fault.strerror}") from fault
