"""An event loop whose clock is simulated, with a network and processes of its own.

Code written for asyncio streams runs on it as it is.  Time stands still while callbacks run and
then jumps to the next one.  A `Process` is whatever was begun through it: killed, none of its
callbacks ever runs again and its connections break, as with SIGKILL; held, it stands still.
The order of all that happens follows from the program and the seed alone.
"""

import asyncio
import contextvars
import random
from collections import deque

SOCKET = 262_144  # bytes that a connection holds on its way before the writer sees a buffer
HIGH, LOW = 65_536, 16_384  # bytes in the writer's buffer at which it is paused and goes on
DELAY = (0.0001, 0.0006)  # seconds one way on loopback, drawn for each piece
APART = 1e-8  # seconds between two pieces on one connection
FIRST_PORT = 20_000

PROCESS = contextvars.ContextVar("process", default=None)


class Stuck(Exception):
    """Nothing is left to happen and the awaited thing has not."""


class Process:
    """A program in the simulated world."""

    def __init__(self, loop, name):
        self.loop, self.name, self.dead, self.held_until = loop, name, False, 0.0
        self.woken = 0.0  # when the next of what waits for it to go on happens
        self.transports, self.servers = {}, {}
        self.island, self.cut_until = 0, 0.0
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, self)

    def spawn(self, coroutine):
        """Begins a task of this process."""
        return self.loop.create_task(coroutine, context=self.context)

    def kill(self):
        """Ends it at this instant: nothing of it runs again, and its peers see resets."""
        self.dead = True
        for server in list(self.servers):
            server.close()
        for transport in list(self.transports):
            transport.broken_by_kernel()

    def hold(self, seconds):
        """Makes it stand still: what happens to it meanwhile waits."""
        self.held_until = max(self.held_until, self.loop.time() + seconds)

    def cut(self, island, seconds):
        """Cuts it off, with all others of its island: what is sent between islands arrives when it ends."""
        self.island, self.cut_until = island, max(self.cut_until, self.loop.time() + seconds)


def _cut_until(one, other, now):
    """When messages between two processes go again; nought: they do."""
    ends = [process.cut_until if process and process.cut_until > now else 0.0 for process in (one, other)]
    islands = [process.island if end else 0 for process, end in zip((one, other), ends)]
    return max(ends) if islands[0] != islands[1] else 0.0


class _Selector:
    def __init__(self, loop):
        self.loop = loop

    def select(self, timeout):
        if timeout is None:
            raise Stuck("nothing is left to happen")
        if timeout > 0:
            self.loop.clock += timeout
        return []

    def close(self):
        pass


class _Sock:
    def __init__(self, address):
        self.address = address

    def getsockname(self):
        return self.address


class _Server:
    """What `create_server` gives: a port that is open until it is closed."""

    def __init__(self, loop, address, factory):
        self.loop, self.address, self.factory = loop, address, factory
        self.context, self.sockets = contextvars.copy_context(), (_Sock(address),)
        self.process = PROCESS.get()
        if self.process:
            self.process.servers[self] = True

    def close(self):
        self.loop.ports.pop(self.address, None)
        if self.process:
            self.process.servers.pop(self, None)

    async def wait_closed(self):
        pass

    def get_loop(self):
        return self.loop


class _Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop, protocol, own, other):
        super().__init__({"sockname": own, "peername": other})
        self.loop, self.protocol, self.peer = loop, protocol, None
        self.context, self.process = contextvars.copy_context(), PROCESS.get()
        self.closing = self.lost = self.paused = self.reading_paused = self.told_eof = False
        self.unread, self.arrived, self.last = 0, deque(), 0.0
        if self.process:
            self.process.transports[self] = True

    def get_protocol(self):
        return self.protocol

    def set_protocol(self, protocol):
        self.protocol = protocol

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return max(0, self.unread - SOCKET)

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def send(self, what, *values):
        """Puts something on the way to the other end, in order."""
        # Danger: timers of one instant have no order among them; what is sent in order must arrive so.
        begins = max(self.loop.time(), _cut_until(self.process, self.peer.process, self.loop.time()))
        self.last = max(self.last + APART, begins + self.loop.delay())
        self.loop.call_at(self.last, what, *values, context=self.peer.context)

    def write(self, data):
        if self.closing or self.lost or not data:
            return
        self.unread += len(data)
        if self.get_write_buffer_size() > HIGH and not self.paused:
            self.paused = True
            self.protocol.pause_writing()
        self.send(self.peer.arrive, bytes(data))

    def arrive(self, data):
        self.arrived.append(data)
        self.hand_over()

    def hand_over(self):
        while self.arrived and not self.reading_paused and not self.lost:
            data = self.arrived.popleft()
            if data is None:
                if not self.closing and not self.protocol.eof_received():
                    self.close()
                return
            peer = self.peer
            peer.unread -= len(data)
            if peer.paused and peer.get_write_buffer_size() <= LOW:
                peer.paused = False
                if not peer.lost:
                    self.loop.call_soon(peer.protocol.resume_writing, context=peer.context)
            if not self.closing:
                self.protocol.data_received(data)

    def pause_reading(self):
        self.reading_paused = True

    def resume_reading(self):
        self.reading_paused = False
        self.loop.call_soon(self.hand_over, context=self.context)

    def is_reading(self):
        return not self.reading_paused

    def can_write_eof(self):
        return True

    def write_eof(self):
        if not self.told_eof:
            self.told_eof = True
            self.send(self.peer.arrive, None)

    def close(self):
        if not self.closing:
            self.closing = True
            self.write_eof()
            self.loop.call_soon(self.end, None, context=self.context)

    def abort(self):
        if not self.lost:
            self.closing = True
            self.send(self.peer.end, ConnectionResetError("reset by peer"))
            self.loop.call_soon(self.end, None, context=self.context)

    def broken_by_kernel(self):
        """The process is gone: the other end hears of it, this one never."""
        self.closing = self.lost = True
        self.send(self.peer.end, ConnectionResetError("reset by peer"))

    def end(self, fault):
        if self.lost:
            return
        self.closing = self.lost = True
        if self.process:
            self.process.transports.pop(self, None)
        self.protocol.connection_lost(fault)


class VirtualLoop(asyncio.BaseEventLoop):
    """The loop.  `seed` draws the delays of the network."""

    def __init__(self, seed: int = 0):
        super().__init__()
        self.clock, self._selector, self._clock_resolution = 0.0, _Selector(self), 1e-9
        self.chance, self.ports, self.next_port = random.Random(seed), {}, FIRST_PORT
        self.tasks, self.ended = {}, False

    def time(self):
        return self.clock

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def delay(self):
        return self.chance.uniform(*DELAY)

    def process(self, name) -> Process:
        return Process(self, name)

    def create_task(self, coro, *, name=None, context=None):
        # Danger: a task of a dead process that is collected runs its last words at a chance moment.
        task = super().create_task(coro, name=name, context=context)
        self.tasks[task] = True
        task.add_done_callback(self._over)
        return task

    def _over(self, task):
        self.tasks.pop(task, None)

    def end(self):
        """Drops the world: whatever still runs in it is closed and nothing comes of that."""
        self.ended = True
        for task in list(self.tasks):
            task._log_destroy_pending = False
            try:
                task.get_coro().close()
            except Exception:  # pylint: disable=broad-except
                pass  # last words of a program whose world is gone
        self.tasks.clear()
        self.close()

    # Callbacks of a process that is dead or stands still.

    def _of_process(self, context, callback, args):
        process = (context or contextvars.copy_context()).get(PROCESS)
        if process is None:
            return callback, args, None
        asked = []  # the handle that was given out: it may be cancelled while this waits
        return self._alive, (process, callback, args, context, asked), asked

    def _alive(self, process, callback, args, context, asked):
        if process.dead or (asked and asked[0].cancelled()):
            return
        if process.held_until > self.clock:
            # Danger: timers of one instant have no order among them; what waits in a socket keeps its own.
            process.woken = max(process.woken + APART, process.held_until)
            super().call_at(
                process.woken, self._alive, process, callback, args, context, asked, context=context
            )
        else:
            callback(*args)

    def call_soon(self, callback, *args, context=None):
        if self.ended:
            return asyncio.Handle(callback, args, self, context)
        callback, args, asked = self._of_process(context, callback, args)
        handle = super().call_soon(callback, *args, context=context)
        if asked is not None:
            asked.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        if self.ended:
            return asyncio.TimerHandle(when, callback, args, self, context)
        callback, args, asked = self._of_process(context, callback, args)
        handle = super().call_at(when, callback, *args, context=context)
        if asked is not None:
            asked.append(handle)
        return handle

    def call_soon_threadsafe(self, callback, *args, context=None):
        return self.call_soon(callback, *args, context=context)

    # The network.

    async def create_server(self, protocol_factory, host=None, port=None, **_):
        if not port:
            port, self.next_port = self.next_port, self.next_port + 1
        address = (host, port)
        if address in self.ports:
            raise OSError(98, f"address {host}:{port} is in use")
        server = self.ports[address] = _Server(self, address, protocol_factory)
        return server

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        await asyncio.sleep(self.delay())
        server = self.ports.get((host, port))
        if server is None:
            raise ConnectionRefusedError(111, f"nothing listens at {host}:{port}")
        while ends := _cut_until(PROCESS.get(), server.process, self.clock):
            await asyncio.sleep(ends - self.clock)  # whoever dials gives up before
        own = ("127.0.0.1", self.next_port)
        self.next_port += 1
        protocol = protocol_factory()
        near = _Transport(self, protocol, own, server.address)
        far = server.context.run(self._accept, server, own)
        near.peer, far.peer = far, near
        self.call_soon(far.protocol.connection_made, far, context=far.context)
        protocol.connection_made(near)
        return near, protocol

    def _accept(self, server, other):
        return _Transport(self, server.factory(), server.address, other)

    def default_exception_handler(self, context):
        raise AssertionError(f"unhandled in the loop: {context}") from context.get("exception")


def run(coroutine, seed: int = 0):
    """Runs a coroutine on a new virtual loop; its result."""
    loop = VirtualLoop(seed)
    try:
        return loop.run_until_complete(coroutine(loop))
    finally:
        loop.end()
