"""Rate-limited log of the gateway: one line of text per event on standard error."""

import sys
import traceback
from collections.abc import Callable
from typing import TextIO

LINES_PER_SECOND = 20
"""Sustained rate; an operator can't follow more."""
BURST = 200
"""Lines written at once, as at a start, a reload or the loss of a node."""
TRACEBACK_FRAMES = 4
"""Innermost frames of a traceback that are logged."""


class BoundedLogger:
    """Logger with a token bucket and the interface of the other programs' loggers.

    Attributes:
        tokens: Lines that may be written now.
        dropped: Lines dropped since the last one written.
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
        """Discards the event: events of single operations are not logged."""

    def info(self, event: str, **fields) -> None:
        """Logs an event of normal operation."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields) -> None:
        """Logs an event that an operator may need to check."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields) -> None:
        """Logs a failure."""
        self._write("error", event, fields)

    def exception(self, event: str, **fields) -> None:
        """Logs a failure with the current exception's traceback."""
        text = traceback.format_exc(limit=-TRACEBACK_FRAMES).strip().replace("\n", " | ")
        self._write("error", event, {**fields, "fault": text})
