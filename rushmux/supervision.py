"""Supervision of a program's long-lived tasks, so that none of them fails unnoticed.

A failed task is logged with its cause.  A task that can start afresh is restarted after a backoff.  If a task
may have left its state half changed, the program ends instead: its restart reads that state from disk.
"""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

from structlog.typing import FilteringBoundLogger

from rushmux.backoff import Backoff

RESTART_BACKOFF = Backoff(0.2, 30.0)
STABLE_TIME = 60.0
"""Seconds after which a running task counts as stable, so that the backoff begins anew."""

TaskFunction = Callable[[], Coroutine[Any, Any, None]]


class Supervisor:
    """The tasks of one program.

    Args:
        log: The program's logger.

    Attributes:
        tasks: The restarting and essential tasks by name.
        on_failure: Ends the program; called with the name of a failed essential task.  If None, the error
            goes to the loop's exception handler.
    """

    def __init__(self, log: FilteringBoundLogger):
        self.log = log
        self.tasks: dict[str, asyncio.Task] = {}
        self.on_failure: Callable[[str], None] | None = None

    def run_restarting(self, name: str, run: TaskFunction) -> None:
        """Runs a task, and restarts it after a backoff whenever it fails."""
        self._start(name, self._restart_on_failure(name, run))

    def run_essential(self, name: str, run: TaskFunction) -> None:
        """Runs a task whose failure ends the program."""
        self._start(name, self._fail_program(name, run))

    def watch(self, name: str, task: asyncio.Task) -> None:
        """Logs the failure of a task that is not restarted."""
        task.add_done_callback(functools.partial(self._log_error, name))

    def _start(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks[name] = asyncio.get_running_loop().create_task(coroutine, name=name)

    async def _restart_on_failure(self, name: str, run: TaskFunction) -> None:
        loop, failures = asyncio.get_running_loop(), 0
        while True:
            started_at = loop.time()
            try:
                await run()
                return
            except Exception:  # any failure is logged and must not stop the rest of the program
                failures = 1 if loop.time() - started_at > STABLE_TIME else failures + 1
                pause = RESTART_BACKOFF.pause(failures - 1)
                self.log.exception("task.failed", task=name, failures=failures, retry_in=pause)
            await asyncio.sleep(pause)

    async def _fail_program(self, name: str, run: TaskFunction) -> None:
        try:
            await run()
        except Exception:
            self.log.exception("task.failed", task=name)
            if self.on_failure is None:
                raise
            self.on_failure(name)

    def _log_error(self, name: str, task: asyncio.Task) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.log.error("task.failed", task=name, exc_info=error)

    def cancel(self) -> list[asyncio.Task]:
        """Cancels all tasks and returns them for the caller to await."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        return tasks
