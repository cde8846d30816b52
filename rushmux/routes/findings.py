"""Results of the verifier: findings with their timelines, and the worst cases of an accepted file."""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from rushmux.scheduling.interface import Ticks

TICKS_PER_MS = 10
MAX_STEPS = 12  # of a timeline that a reader can follow


class Rule(StrEnum):
    """The rules that routes may break."""

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
    """One reason to reject a deployment file."""

    place: str
    """JSON pointer into the deployment file."""
    rule: Rule
    text: str
    worst: float
    bound: float
    """The largest value that the rule allows."""
    suggestion: str
    """The nearest value that passes, as `field value`, and alternatives."""
    guarded: bool
    """Whether the scheduler keeps the rule anyway, by not doing all that the route states."""
    steps: tuple[Step, ...] = ()

    def lines(self) -> Iterator[str]:
        """Yields the finding and its timeline as plain text."""
        yield f"{self.place}: {self.text}"
        kept = "; the scheduler would cut the route short" if self.guarded else ""
        yield f"    rule: {self.rule}{kept}; passes: {self.suggestion}"
        steps = sorted(self.steps[:MAX_STEPS], key=lambda step: step.at)
        yield from (f"    {step.at / TICKS_PER_MS:10.1f} ms  {step.what}" for step in steps)


class WorstCase(NamedTuple):
    """The worst value of one quantity that an accepted file allows."""

    quantity: str
    worst: float
    bound: float | None
    unit: str
    exact: bool
    """Whether a schedule within the bounds reaches it."""


def format_ms(ticks: Ticks) -> str:
    """Formats a duration."""
    return f"{ticks / TICKS_PER_MS:g} ms"


def format_places(places: list[str]) -> str:
    """Formats the first places of a list."""
    shown = MAX_STEPS // 2
    return ", ".join(places[:shown]) + (" ..." if len(places) > shown else "")
