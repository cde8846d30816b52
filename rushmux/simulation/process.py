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
        self.held_until = 0.0
        self.woken = 0.0  # when the next of what waits for it to go on happens
        self.transports: dict = {}
        self.servers: dict = {}
        self.island = 0
        self.cut_until = 0.0
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

    def hold(self, seconds: float) -> None:
        """Pauses it, as with SIGSTOP: what happens to it meanwhile waits."""
        self.held_until = max(self.held_until, self.loop.time() + seconds)

    def cut(self, island: int, seconds: float) -> None:
        """Partitions it, with all others of its island, from the rest.

        What is sent between islands meanwhile arrives when the partition ends.
        """
        self.island, self.cut_until = island, max(self.cut_until, self.loop.time() + seconds)


def partitioned_until(one: Process | None, other: Process | None, now: float) -> float:
    """When messages between two processes go again; nought: they do."""
    ends = [process.cut_until if process and process.cut_until > now else 0.0 for process in (one, other)]
    islands = [process.island if end else 0 for process, end in zip((one, other), ends, strict=True)]
    return max(ends) if islands[0] != islands[1] else 0.0
