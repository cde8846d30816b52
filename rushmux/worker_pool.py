"""Pools of worker processes that exit when the program that started them is gone."""

import os
import threading
import time
from concurrent.futures import ProcessPoolExecutor

PARENT_CHECK_INTERVAL = 0.5
"""Seconds between two checks of the parent process."""
EXIT_ORPHANED = 1


def worker_pool(jobs: int) -> ProcessPoolExecutor:
    """A pool of `jobs` processes.

    A worker whose parent was killed exits within PARENT_CHECK_INTERVAL.  It would otherwise wait for work
    forever, because the other workers hold its pipe open.
    """
    return ProcessPoolExecutor(jobs, initializer=_exit_without_parent, initargs=(os.getpid(),))


def _exit_without_parent(parent: int) -> None:
    """Makes this process exit once `parent` is no longer its parent."""

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_CHECK_INTERVAL)
        os._exit(EXIT_ORPHANED)

    threading.Thread(target=watch, name="parent-watch", daemon=True).start()
