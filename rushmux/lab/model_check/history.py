"""What happened in a schedule, up to the first breach of a rule."""

from typing import NamedTuple

from rushmux.lab.timer_loop import TimerLoop
from rushmux.routes.findings import TICKS_PER_MS, Rule, Step
from rushmux.scheduling.interface import Ticks


def format_ms(ticks: Ticks) -> str:
    """A time in milliseconds."""
    return f"{ticks / TICKS_PER_MS:g}"


class Breach(NamedTuple):
    """A rule that was broken, and what happened until then."""

    rule: Rule
    text: str
    steps: tuple[Step, ...]


class History:
    """Keeps the steps of a schedule.

    Attributes:
        breach: The first breach; None: no rule was broken yet.
    """

    def __init__(self, clock: TimerLoop):
        self.clock = clock
        self.steps: list[Step] = []
        self.breach: Breach | None = None

    def add(self, what: str) -> None:
        """Adds a step that happens now."""
        self.steps.append(Step(self.clock.now, what))

    def add_breach(self, rule: Rule, text: str) -> None:
        """Adds the breach of a rule; those after the first are left out."""
        if self.breach is None:
            self.add(text)
            self.breach = Breach(rule, text, tuple(self.steps))
