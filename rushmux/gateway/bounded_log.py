"""The gateway's log: a line of text an event, on standard error, bounded in rate."""

import sys
import traceback

RATE = 20  # lines a second in the long run: what an operator can still use
BURST = 200  # lines at once: a start, a reload, a node's end


class Lines:
    """Takes events by level, as the other programs' loggers do; `clock` gives seconds."""

    def __init__(self, clock, name, sink=sys.stderr):
        self.clock, self.name, self.sink = clock, name, sink
        self.left, self.at, self.dropped = float(BURST), clock(), 0

    def put(self, level, event, fields):
        now = self.clock()
        self.left, self.at = min(BURST, self.left + (now - self.at) * RATE), now
        if self.left < 1:
            self.dropped += 1
            return
        self.left -= 1
        if self.dropped:
            fields, self.dropped = {**fields, "lines_left_out": self.dropped}, 0
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{now:.3f} {self.name} {level} {event} {told}", file=self.sink, flush=True)

    def debug(self, event, **fields):
        """What happens to each operation is not logged here."""

    def info(self, event, **fields):
        self.put("info", event, fields)

    def warning(self, event, **fields):
        self.put("warning", event, fields)

    def error(self, event, **fields):
        self.put("error", event, fields)

    def exception(self, event, **fields):
        text = traceback.format_exc(limit=-4).strip().replace("\n", " | ")
        self.put("error", event, {**fields, "fault": text})
