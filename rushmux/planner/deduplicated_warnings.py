"""Keeps a failure that recurs at each tick from being logged each time."""

import structlog


class DeduplicatedWarnings:
    """Logs a warning only if it differs from the last one."""

    def __init__(self, log: structlog.typing.FilteringBoundLogger):
        self._log = log
        self._last: tuple[str, str] | None = None

    def warn(self, event: str, reason: str) -> None:
        """Logs an event with its reason, unless it repeats the last warning."""
        if (event, reason) != self._last:
            self._last = event, reason
            self._log.warning(event, why=reason)
