"""Warnings of failures that repeat with each tick, each logged once."""

import structlog


class DeduplicatedWarnings:
    """Logs a warning unless it is the same as the last one."""

    def __init__(self, log: structlog.typing.FilteringBoundLogger):
        self._log = log
        self._last: tuple[str, str] | None = None

    def warn(self, event: str, reason: str) -> None:
        """Logs an event with its reason."""
        if (event, reason) != self._last:
            self._last = event, reason
            self._log.warning(event, why=reason)
