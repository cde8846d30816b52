"""What the verifier tells: refusals with their timelines, and the worst cases of what it accepts."""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from rushmux.scheduling.interface import Ticks

TICKS_PER_MS = 10
MAX_STEPS = 12  # steps of a timeline: what a person follows


class Rule(StrEnum):
    """The rules that routes could break."""

    NO_LOSS = "no operation lost"
    NO_DUPLICATE = "no effect twice"
    DRAINING = "drains kept"
    SLOW_START = "no cold node pushed over"
    RETRY_BUDGET = "budgets kept"
    RATE_LIMIT = "limits kept"


class Step(NamedTuple):
    """One step of a timeline."""

    at: Ticks
    what: str


class Finding(NamedTuple):
    """One refusal."""

    place: str
    """Where it stands in the deployment file."""
    rule: Rule
    text: str
    worst: float
    bound: float
    suggestion: str
    """The nearest value that passes."""
    guarded: bool
    """The scheduler keeps the rule by cutting the route short, so that the route cannot do what it says."""
    steps: tuple[Step, ...] = ()

    def lines(self) -> Iterator[str]:
        """Plain text: the refusal and its timeline."""
        yield f"{self.place}: {self.text}"
        kept = "; the module would cut it short" if self.guarded else ""
        yield f"    rule: {self.rule}{kept}; passes: {self.suggestion}"
        steps = sorted(self.steps[:MAX_STEPS], key=lambda step: step.at)
        yield from (f"    {step.at / TICKS_PER_MS:10.1f} ms  {step.what}" for step in steps)


class WorstCase(NamedTuple):
    """The worst of one matter in an accepted file."""

    matter: str
    worst: float
    bound: float | None
    unit: str
    exact: bool
    """A schedule within the bounds reaches it."""


def milliseconds(ticks: Ticks) -> str:
    """A duration as text."""
    return f"{ticks / TICKS_PER_MS:g} ms"


def enumerated(places: list[str]) -> str:
    """The first places of a list as text."""
    shown = MAX_STEPS // 2
    return ", ".join(places[:shown]) + (" ..." if len(places) > shown else "")
