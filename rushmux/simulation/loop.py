"""An event loop whose clock is simulated.

Code written for asyncio streams runs on it unchanged.  The clock stands still while callbacks run, then jumps
to the time of the next one.  The order of events depends on the program and the seed alone.
"""

import asyncio
import contextvars
import errno
import random
from collections.abc import Callable

from rushmux.simulation.network import ORDERING_GAP, SimulatedServer, SimulatedTransport
from rushmux.simulation.process import CURRENT_PROCESS, Process, partitioned_until

NETWORK_DELAY = (0.0001, 0.0006)  # range of the one-way delay in seconds, as on a loopback interface
FIRST_PORT = 20_000
CLOCK_RESOLUTION = 1e-9  # seconds


class SimulationStuckError(Exception):
    """No callback or timer is left, but the awaited coroutine is not done."""


class _ClockSelector:
    """Advances the loop's clock instead of waiting for I/O."""

    def __init__(self, loop: "SimulatedLoop"):
        self.loop = loop

    def select(self, timeout: float | None) -> list:
        if timeout is None:
            raise SimulationStuckError("no callback or timer is left to run")
        if timeout > 0:
            self.loop.clock += timeout
        return []

    def close(self) -> None:
        pass


class SimulatedLoop(asyncio.BaseEventLoop):
    """An event loop with a simulated clock; `seed` determines the network delays."""

    def __init__(self, seed: int = 0):
        super().__init__()
        self.clock = 0.0  # seconds
        self._selector, self._clock_resolution = _ClockSelector(self), CLOCK_RESOLUTION
        self.random = random.Random(seed)
        self.servers: dict[tuple[str, int], SimulatedServer] = {}
        self.next_port = FIRST_PORT
        self.tasks: dict[asyncio.Task, bool] = {}
        self.terminated = False

    def time(self) -> float:
        """The simulated time in seconds."""
        return self.clock

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def network_delay(self) -> float:
        """Draws a one-way delay in seconds."""
        return self.random.uniform(*NETWORK_DELAY)

    def process(self, name: str) -> Process:
        """Creates a process."""
        return Process(self, name)

    def create_task(self, coro, *, name=None, context=None) -> asyncio.Task:
        """Creates a task and references it until it is done.

        Garbage collection would run the `finally` blocks of a killed process at some random moment.
        """
        task = super().create_task(coro, name=name, context=context)
        self.tasks[task] = True
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)

    def terminate(self) -> None:
        """Closes all tasks and the loop; errors and new callbacks are ignored."""
        self.terminated = True
        for task in list(self.tasks):
            task._log_destroy_pending = False
            try:
                task.get_coro().close()
            except Exception:  # raised by cleanup code; nothing can handle it any more
                continue
        self.tasks.clear()
        self.close()

    # Callbacks of processes, which may be killed or paused.

    def _guard_callback(self, context, callback: Callable, args: tuple) -> tuple:
        """Makes the callback of a process respect kills and pauses; the returned list takes its handle."""
        process = (context or contextvars.copy_context()).get(CURRENT_PROCESS)
        if process is None:
            return callback, args, None
        handles = []  # the returned handle, which may be cancelled while the process is paused
        return self._run_if_alive, (process, callback, args, context, handles), handles

    def _run_if_alive(self, process: Process, callback, args, context, handles) -> None:
        if process.dead or (handles and handles[0].cancelled()):
            return
        if process.paused_until <= self.clock:
            callback(*args)
            return
        # Timers with equal times run in no particular order; deferred callbacks must keep theirs.
        process.last_deferred_at = max(process.last_deferred_at + ORDERING_GAP, process.paused_until)
        values = process, callback, args, context, handles
        super().call_at(process.last_deferred_at, self._run_if_alive, *values, context=context)

    def call_soon(self, callback, *args, context=None) -> asyncio.Handle:
        """As in asyncio; the callback belongs to the process of the context."""
        if self.terminated:
            return asyncio.Handle(callback, args, self, context)
        callback, args, handles = self._guard_callback(context, callback, args)
        handle = super().call_soon(callback, *args, context=context)
        if handles is not None:
            handles.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None) -> asyncio.TimerHandle:
        """As in asyncio; the callback belongs to the process of the context."""
        if self.terminated:
            return asyncio.TimerHandle(when, callback, args, self, context)
        callback, args, handles = self._guard_callback(context, callback, args)
        handle = super().call_at(when, callback, *args, context=context)
        if handles is not None:
            handles.append(handle)
        return handle

    def call_soon_threadsafe(self, callback, *args, context=None) -> asyncio.Handle:
        """As `call_soon`: there is only one thread."""
        return self.call_soon(callback, *args, context=context)

    # The network.

    async def create_server(self, protocol_factory, host=None, port=None, **_) -> SimulatedServer:
        """Opens a port, or a free one if `port` is 0; OSError if it is in use."""
        if not port:
            port, self.next_port = self.next_port, self.next_port + 1
        address = (host, port)
        if address in self.servers:
            raise OSError(errno.EADDRINUSE, f"address {host}:{port} is in use")
        server = self.servers[address] = SimulatedServer(self, address, protocol_factory)
        return server

    async def create_connection(self, protocol_factory, host=None, port=None, **_) -> tuple:
        """Connects to a server; ConnectionRefusedError if none listens there."""
        await asyncio.sleep(self.network_delay())
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nothing listens at {host}:{port}")
        while partition_end := partitioned_until(CURRENT_PROCESS.get(), server.process, self.clock):
            await asyncio.sleep(partition_end - self.clock)  # the caller usually times out first
        local = ("127.0.0.1", self.next_port)
        self.next_port += 1
        protocol = protocol_factory()
        client_end = SimulatedTransport(self, protocol, local, server.address)
        server_end = server.context.run(self._accept, server, local)
        client_end.peer, server_end.peer = server_end, client_end
        self.call_soon(server_end.protocol.connection_made, server_end, context=server_end.context)
        protocol.connection_made(client_end)
        return client_end, protocol

    def _accept(self, server: SimulatedServer, remote: tuple[str, int]) -> SimulatedTransport:
        return SimulatedTransport(self, server.factory(), server.address, remote)

    def default_exception_handler(self, context) -> None:
        """Fails the run on an unhandled exception."""
        raise AssertionError(f"unhandled exception: {context}") from context.get("exception")


def run(coroutine: Callable, seed: int = 0):
    """Runs `coroutine(loop)` on a new simulated loop and returns its result."""
    loop = SimulatedLoop(seed)
    try:
        return loop.run_until_complete(coroutine(loop))
    finally:
        loop.terminate()
