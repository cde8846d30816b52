"""An event loop whose clock is simulated.

Code written for asyncio streams runs on it as it is.  Time stands still while callbacks run and then jumps to
the next one.  The order of all that happens follows from the program and the seed alone.
"""

import asyncio
import contextvars
import errno
import random
from collections.abc import Callable

from rushmux.simulation.network import SPACING, SimulatedServer, SimulatedTransport
from rushmux.simulation.process import CURRENT_PROCESS, Process, partitioned_until

NETWORK_DELAY = (0.0001, 0.0006)  # seconds one way on loopback, drawn for each piece
FIRST_PORT = 20_000
CLOCK_RESOLUTION = 1e-9  # seconds


class SimulationStuckError(Exception):
    """Nothing is left to happen and the awaited thing has not."""


class _ClockSelector:
    """What the loop waits on: it advances the clock instead of waiting."""

    def __init__(self, loop: "SimulatedLoop"):
        self.loop = loop

    def select(self, timeout: float | None) -> list:
        if timeout is None:
            raise SimulationStuckError("nothing is left to happen")
        if timeout > 0:
            self.loop.clock += timeout
        return []

    def close(self) -> None:
        pass


class SimulatedLoop(asyncio.BaseEventLoop):
    """The loop.  `seed` draws the delays of the network."""

    def __init__(self, seed: int = 0):
        super().__init__()
        self.clock = 0.0  # seconds
        self._selector, self._clock_resolution = _ClockSelector(self), CLOCK_RESOLUTION
        self.random = random.Random(seed)
        self.servers: dict[tuple[str, int], SimulatedServer] = {}
        self.next_port = FIRST_PORT
        self.tasks: dict[asyncio.Task, bool] = {}
        self.ended = False

    def time(self) -> float:
        """The simulated clock, in seconds."""
        return self.clock

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def network_delay(self) -> float:
        """Seconds that the next piece is on its way."""
        return self.random.uniform(*NETWORK_DELAY)

    def process(self, name: str) -> Process:
        """A new process."""
        return Process(self, name)

    def create_task(self, coro, *, name=None, context=None) -> asyncio.Task:
        """A task, which is kept until it is over.

        A task of a dead process that is collected would run its last words at a chance moment.
        """
        task = super().create_task(coro, name=name, context=context)
        self.tasks[task] = True
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)

    def end(self) -> None:
        """Drops the world: whatever still runs in it is closed and nothing comes of that."""
        self.ended = True
        for task in list(self.tasks):
            task._log_destroy_pending = False
            try:
                task.get_coro().close()
            except Exception:  # last words of a program whose world is gone
                continue
        self.tasks.clear()
        self.close()

    # Callbacks of a process that is dead or paused.

    def _guarded(self, context, callback: Callable, args: tuple) -> tuple:
        """The callback and its arguments behind a check of its process; a list for the handle given out."""
        process = (context or contextvars.copy_context()).get(CURRENT_PROCESS)
        if process is None:
            return callback, args, None
        handles = []  # the handle that was given out: it may be cancelled while the process is paused
        return self._run_if_alive, (process, callback, args, context, handles), handles

    def _run_if_alive(self, process: Process, callback, args, context, handles) -> None:
        if process.dead or (handles and handles[0].cancelled()):
            return
        if process.paused_until <= self.clock:
            callback(*args)
            return
        # Timers of one instant have no order among them; what waits in a socket keeps its own.
        process.next_resume_at = max(process.next_resume_at + SPACING, process.paused_until)
        values = process, callback, args, context, handles
        super().call_at(process.next_resume_at, self._run_if_alive, *values, context=context)

    def call_soon(self, callback, *args, context=None) -> asyncio.Handle:
        """As asyncio's, for the process of the context."""
        if self.ended:
            return asyncio.Handle(callback, args, self, context)
        callback, args, handles = self._guarded(context, callback, args)
        handle = super().call_soon(callback, *args, context=context)
        if handles is not None:
            handles.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None) -> asyncio.TimerHandle:
        """As asyncio's, for the process of the context."""
        if self.ended:
            return asyncio.TimerHandle(when, callback, args, self, context)
        callback, args, handles = self._guarded(context, callback, args)
        handle = super().call_at(when, callback, *args, context=context)
        if handles is not None:
            handles.append(handle)
        return handle

    def call_soon_threadsafe(self, callback, *args, context=None) -> asyncio.Handle:
        """There is one thread only."""
        return self.call_soon(callback, *args, context=context)

    # The network.

    async def create_server(self, protocol_factory, host=None, port=None, **_) -> SimulatedServer:
        """Opens a port, a free one for 0; OSError where it is in use."""
        if not port:
            port, self.next_port = self.next_port, self.next_port + 1
        address = (host, port)
        if address in self.servers:
            raise OSError(errno.EADDRINUSE, f"address {host}:{port} is in use")
        server = self.servers[address] = SimulatedServer(self, address, protocol_factory)
        return server

    async def create_connection(self, protocol_factory, host=None, port=None, **_) -> tuple:
        """Connects; ConnectionRefusedError where nothing listens."""
        await asyncio.sleep(self.network_delay())
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nothing listens at {host}:{port}")
        while ends := partitioned_until(CURRENT_PROCESS.get(), server.process, self.clock):
            await asyncio.sleep(ends - self.clock)  # whoever dials gives up before
        own = ("127.0.0.1", self.next_port)
        self.next_port += 1
        protocol = protocol_factory()
        near = SimulatedTransport(self, protocol, own, server.address)
        far = server.context.run(self._accept, server, own)
        near.peer, far.peer = far, near
        self.call_soon(far.protocol.connection_made, far, context=far.context)
        protocol.connection_made(near)
        return near, protocol

    def _accept(self, server: SimulatedServer, other: tuple[str, int]) -> SimulatedTransport:
        return SimulatedTransport(self, server.factory(), server.address, other)

    def default_exception_handler(self, context) -> None:
        """An exception that nobody handles fails the run."""
        raise AssertionError(f"unhandled in the loop: {context}") from context.get("exception")


def run(coroutine: Callable, seed: int = 0):
    """Runs a coroutine function of the loop on a new simulated loop; its result."""
    loop = SimulatedLoop(seed)
    try:
        return loop.run_until_complete(coroutine(loop))
    finally:
        loop.end()
