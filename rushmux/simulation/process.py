"""Programs of the simulated world: they can be killed, paused and partitioned at any instant."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushmux.simulation.loop import SimulatedLoop

CURRENT_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


class Process:
    """A program: whatever was begun through it.

    Killed, none of its callbacks ever runs again and its connections break, as with SIGKILL.
    """

    def __init__(self, loop: SimulatedLoop, name: str):
        self.loop, self.name = loop, name
        self.dead = False
        self.paused_until = 0.0
        self.next_resume_at = 0.0  # when the next of what waits for it to go on happens
        self.transports: dict = {}
        self.servers: dict = {}
        self.partition_group = 0
        self.partition_ends_at = 0.0
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_PROCESS.set, self)

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Begins a task of this process."""
        return self.loop.create_task(coroutine, context=self.context)

    def kill(self) -> None:
        """Ends it at this instant: nothing of it runs again, and its peers see resets."""
        self.dead = True
        for server in list(self.servers):
            server.close()
        for transport in list(self.transports):
            transport.reset_by_kernel()

    def pause(self, seconds: float) -> None:
        """Pauses it, as with SIGSTOP: what happens to it meanwhile waits."""
        self.paused_until = max(self.paused_until, self.loop.time() + seconds)

    def partition(self, partition_group: int, seconds: float) -> None:
        """Partitions it, with all processes of the same group, from the rest.

        Data sent between groups meanwhile arrives when the partition ends.
        """
        self.partition_group, self.partition_ends_at = (
            partition_group,
            max(self.partition_ends_at, self.loop.time() + seconds),
        )


def partitioned_until(one: Process | None, other: Process | None, now: float) -> float:
    """When messages between two processes go again; nought: they do."""
    ends = [
        process.partition_ends_at if process and process.partition_ends_at > now else 0.0
        for process in (one, other)
    ]
    groups = [process.partition_group if end else 0 for process, end in zip((one, other), ends, strict=True)]
    return max(ends) if groups[0] != groups[1] else 0.0
