"""The gateway's log: a line of text an event, on standard error, bounded in rate."""

import sys
import traceback
from collections.abc import Callable
from typing import TextIO

LINES_PER_SECOND = 20
"""In the long run: what an operator can still use."""
BURST = 200
"""Lines at once: a start, a reload, a node's end."""
TRACEBACK_FRAMES = 4
"""The innermost that an exception's line holds."""


class BoundedLogger:
    """Takes events by level, as the other programs' loggers do.

    Attributes:
        tokens: Lines that may be written now; a token bucket.
        dropped: Lines that were not written since the last one that was.
    """

    def __init__(self, clock: Callable[[], float], name: str, sink: TextIO = sys.stderr):
        self.clock = clock
        self.name = name
        self.sink = sink
        self.tokens = float(BURST)
        self.refilled_at = clock()
        self.dropped = 0

    def _write(self, level: str, event: str, fields: dict) -> None:
        now = self.clock()
        self.tokens = min(BURST, self.tokens + (now - self.refilled_at) * LINES_PER_SECOND)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            fields = {**fields, "lines_left_out": self.dropped}
            self.dropped = 0
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{now:.3f} {self.name} {level} {event} {values}", file=self.sink, flush=True)

    def debug(self, event: str, **fields) -> None:
        """Writes nothing: what happens to each operation is not logged here."""

    def info(self, event: str, **fields) -> None:
        """Logs an event of usual operation."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields) -> None:
        """Logs an event that an operator may have to look at."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields) -> None:
        """Logs a failure."""
        self._write("error", event, fields)

    def exception(self, event: str, **fields) -> None:
        """Logs a failure with the exception being handled."""
        text = traceback.format_exc(limit=-TRACEBACK_FRAMES).strip().replace("\n", " | ")
        self._write("error", event, {**fields, "fault": text})
