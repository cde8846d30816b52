"""Simulated processes, which can be killed, paused and partitioned at any instant."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushmux.simulation.loop import SimulatedLoop

CURRENT_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


class Process:
    """A simulated process: all tasks and callbacks that were started through it."""

    def __init__(self, loop: SimulatedLoop, name: str):
        self.loop, self.name = loop, name
        self.dead = False
        self.paused_until = 0.0
        self.last_deferred_at = 0.0  # when the last callback that a pause deferred runs
        self.transports: dict = {}
        self.servers: dict = {}
        self.partition_group = 0
        self.partition_end = 0.0
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_PROCESS.set, self)

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Starts a task of this process."""
        return self.loop.create_task(coroutine, context=self.context)

    def kill(self) -> None:
        """Ends it as SIGKILL does: none of its callbacks runs again, and its connections are reset."""
        self.dead = True
        for server in list(self.servers):
            server.close()
        for transport in list(self.transports):
            transport.reset_by_kernel()

    def pause(self, seconds: float) -> None:
        """Pauses it as SIGSTOP does: its callbacks run when the pause ends."""
        self.paused_until = max(self.paused_until, self.loop.time() + seconds)

    def partition(self, group: int, seconds: float) -> None:
        """Separates it, with the other processes of the group, from all processes outside the group.

        Data sent between groups meanwhile arrives when the partition ends.
        """
        self.partition_group, self.partition_end = group, max(self.partition_end, self.loop.time() + seconds)


def partitioned_until(first: Process | None, second: Process | None, now: float) -> float:
    """When the partition between two processes ends; 0 where there is none."""
    ends = [
        process.partition_end if process and process.partition_end > now else 0.0
        for process in (first, second)
    ]
    groups = [
        process.partition_group if end else 0 for process, end in zip((first, second), ends, strict=True)
    ]
    return max(ends) if groups[0] != groups[1] else 0.0
