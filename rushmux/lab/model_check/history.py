"""The steps of a schedule, up to the first breach of a rule."""

from typing import NamedTuple

from rushmux.lab.timer_loop import TimerLoop
from rushmux.routes.findings import TICKS_PER_MS, Rule, Step
from rushmux.scheduling.interface import Ticks


def format_ms(ticks: Ticks) -> str:
    """Returns a time as text in milliseconds, without the unit."""
    return f"{ticks / TICKS_PER_MS:g}"


class Breach(NamedTuple):
    """A broken rule, and the steps that led to it."""

    rule: Rule
    text: str
    steps: tuple[Step, ...]


class History:
    """Records the steps of a schedule.

    Attributes:
        breach: The first breach, or None.
    """

    def __init__(self, clock: TimerLoop):
        self.clock = clock
        self.steps: list[Step] = []
        self.breach: Breach | None = None

    def add(self, what: str) -> None:
        """Adds a step that happens now."""
        self.steps.append(Step(self.clock.now, what))

    def add_breach(self, rule: Rule, text: str) -> None:
        """Adds the breach of a rule; only the first is kept."""
        if self.breach is None:
            self.add(text)
            self.breach = Breach(rule, text, tuple(self.steps))
