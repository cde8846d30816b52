"""Accepts client connections and enforces the limit on their number."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections.abc import Callable
from dataclasses import dataclass

from rushmux.gateway import eviction
from rushmux.gateway.client_connection import ClientConnection
from rushmux.gateway.client_timeouts import enforce_timeouts
from rushmux.gateway.command_dispatcher import CommandDispatcher
from rushmux.gateway.commands import Command
from rushmux.gateway.config import GatewayConfig
from rushmux.gateway.event_loop import call_after_polling
from rushmux.gateway.memory_limits import ByteBudget, MemoryLimits
from rushmux.gateway.paused_clients import PausedClients
from rushmux.gateway.pending_replies import PendingReply

BACKLOG = 1024
"""Length of the system's accept queue: hundreds of connections may come at once."""
ACCEPTS_PER_TURN = 16
"""Connections accepted per iteration of the event loop, so that a flood does not starve it."""
OVERFLOW_RATIO = 0.1
"""Share of the client limit allowed above it, for lingering closes and clients to be told BUSY."""
SWEEP_INTERVAL = 0.1
"""Seconds between two checks of the clients' timeouts."""
RECEIVE_SIZE = 1 << 18
"""Bytes read from a connection at a time."""
SMALL_RECEIVE_SIZE = 1 << 12
"""Bytes read at a time while the bound on read-ahead is reached: each connection may still exceed it once."""
COLLECT_INTERVAL = 512
"""Ended connections after which garbage is collected.

Their transports are in reference cycles, and the interpreter collects old objects too rarely for a client
that connects thousands of times a second.
"""


@dataclass(slots=True)
class ListenerStats:
    """Counters for the log, from the start of the process."""

    accepted_operations: int = 0
    invalid_commands: int = 0
    rejected_clients: int = 0
    """Clients evicted, or told BUSY at their first operation."""
    silent_clients: int = 0
    ended_connections: int = 0


class Listener:
    """Accepts and tracks all client connections.

    A complete command on a connection that the system has accepted must be answered. So connections are
    tracked from the accept queue on: in `setup_tasks` until they are set up, then in `clients`.

    Attributes:
        clients: All established connections.
        setup_tasks: Tasks that set up accepted connections.
        overflow_limit: Connections allowed above `max_clients`.
        read_ahead_bytes: Bytes of unprocessed commands of all clients.
        partial_command_budget: Memory for the arguments of incomplete commands of all clients.
        receive_memory: Filled by each read of a connection, which copies from it at once.
        reply_budget: Memory for complete replies that clients have not received.
        is_accepting_paused: Whether new connections wait in the accept queue because the limit is reached.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: GatewayConfig,
        max_clients: int,
        memory_limits: MemoryLimits,
        *,
        on_request: Callable[[Command, PendingReply], None],
        on_client_gone: Callable[[str], None],
        on_withdrawn: Callable[[str], None],
    ):
        """Creates a listener that is not open yet.

        Args:
            loop: The event loop.
            config: Configuration that commands are validated against.
            max_clients: Limit of client connections.
            memory_limits: Bounds on the bytes that all connections together hold.
            on_request: Called as `on_request(command, pending_reply)` to submit an operation.
            on_client_gone: Called with the id of each operation whose client disconnected.
            on_withdrawn: Called with the id of each operation that has to be answered at once, since its
                client may have gone.
        """
        self.loop = loop
        self.max_clients = max_clients
        self.overflow_limit = max(2, int(max_clients * OVERFLOW_RATIO))
        self.on_client_gone = on_client_gone
        self.on_withdrawn = on_withdrawn
        self.dispatcher = CommandDispatcher(self, config, on_request)
        self.stats = ListenerStats()
        self.clients: dict[ClientConnection, bool] = {}
        self.setup_tasks: dict[asyncio.Task, bool] = {}
        self.paused_clients = PausedClients(loop)
        self.read_ahead_bytes = 0
        self.max_read_ahead = memory_limits.read_ahead
        self.partial_command_budget = ByteBudget(memory_limits.partial_commands)
        self.reply_budget = ByteBudget(memory_limits.replies)
        self.receive_memory = memoryview(bytearray(RECEIVE_SIZE))
        self.is_shutting_down = False
        self.is_accepting_paused = False
        self.listening_socket: socket.socket | None = None

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self.listening_socket is not None

    # Accepting.

    async def open(self, host: str, port: int) -> None:
        """Starts to listen; raises OSError if the address can't be bound."""
        self.listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening_socket.setblocking(False)
        self.listening_socket.bind((host, port))
        self.listening_socket.listen(BACKLOG)
        self._resume_accepting()
        self._schedule_sweep()

    def _resume_accepting(self) -> None:
        self.is_accepting_paused = False
        if self.listening_socket is not None:
            self.loop.add_reader(self.listening_socket, self._accept)

    def _is_full(self) -> bool:
        # Above this limit connections wait in the accept queue: nodes and discovery need descriptors too.
        return len(self.clients) + len(self.setup_tasks) >= self.max_clients + self.overflow_limit

    def is_over_capacity(self) -> bool:
        """Returns whether the client limit is exceeded."""
        return len(self.clients) > self.max_clients

    def _accept(self, limit: int = ACCEPTS_PER_TURN, *, ignore_limit: bool = False) -> bool:
        # Accepts connections from the system's queue; returns whether the queue is empty.
        for _ in range(limit):
            if self._is_full() and not ignore_limit:
                self.loop.remove_reader(self.listening_socket)
                self.is_accepting_paused = True
                return False
            try:
                sock, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._on_accept_failed(error)
                return False
            sock.setblocking(False)
            self._set_up_connection(sock)
        return False

    def _on_accept_failed(self, error: OSError) -> None:
        # Out of descriptors: without a pause, the loop would retry continuously.
        self.loop.remove_reader(self.listening_socket)
        self.loop.call_later(SWEEP_INTERVAL, self._resume_accepting)
        self.loop.call_exception_handler({"message": "accepting a connection failed", "exception": error})

    def _set_up_connection(self, sock: socket.socket) -> None:
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock))
        self.setup_tasks[task] = True
        task.add_done_callback(self._on_set_up)

    def _on_set_up(self, task: asyncio.Task) -> None:
        del self.setup_tasks[task]
        if not task.cancelled():
            task.exception()  # marks it as retrieved: the client disconnected during setup
        self._resume_accepting_if_below_limit()

    # Reading.

    def is_read_ahead_exhausted(self) -> bool:
        """Returns whether the clients' unprocessed commands have reached their bound."""
        return self.read_ahead_bytes >= self.max_read_ahead

    def receive_buffer(self) -> memoryview:
        """Returns the part of `receive_memory` for the next read."""
        size = SMALL_RECEIVE_SIZE if self.is_read_ahead_exhausted() else RECEIVE_SIZE
        return self.receive_memory[:size]

    # Clients.

    def add_client(self, client: ClientConnection) -> None:
        """Registers an established connection."""
        self.clients[client] = True
        if self.is_shutting_down:
            client.close_when_quiet()
        if self.is_over_capacity():
            call_after_polling(self.loop, self._evict)

    def remove_client(self, client: ClientConnection) -> None:
        """Unregisters a connection that has ended."""
        self.clients.pop(client, None)
        self.paused_clients.discard(client)
        self.stats.ended_connections += 1
        if self.stats.ended_connections % COLLECT_INTERVAL == 0:
            gc.collect()
        self._resume_accepting_if_below_limit()

    def _resume_accepting_if_below_limit(self) -> None:
        if self.is_accepting_paused and not self._is_full():
            self._resume_accepting()

    def _evict(self) -> None:
        # If none can be evicted, new clients stay for now; their first operation gets BUSY and a close.
        if not self.is_over_capacity():
            return
        victim = eviction.choose_victim(self.clients, self.loop.time())
        if victim is not None:
            self.stats.rejected_clients += 1
            del self.clients[victim]
            victim.transport.abort()
            self._resume_accepting_if_below_limit()

    def _schedule_sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL, call_after_polling, self.loop, self._sweep)

    def _sweep(self) -> None:
        now = self.loop.time()
        idle_timeout = eviction.idle_timeout(len(self.clients), self.max_clients)
        for client in list(self.clients):
            enforce_timeouts(client, now, idle_timeout)
        for _ in range(len(self.clients) - self.max_clients):
            self._evict()
        self._schedule_sweep()

    # Shutdown.

    def begin_shutdown(self) -> None:
        """Closes each connection once it is quiet with no pending reply; commands are still accepted."""
        self.is_shutting_down = True
        for client in self.clients:
            client.close_when_quiet()

    def finish_all(self) -> None:
        """Stops reading after what the sockets hold now; connections close after their pending replies."""
        call_after_polling(self.loop, self._finish_clients)

    def _finish_clients(self) -> None:
        for client in list(self.clients):
            if client.is_open and not client.transport.is_closing():
                client.finish()
                client.flush()

    def close_if_drained(self) -> bool:
        """Closes the listener if no connection is left, even in the accept queue; returns whether it did."""
        if self.clients or self.setup_tasks:
            return False
        if self.listening_socket is not None and not (self._accept() and not self.setup_tasks):
            return False
        self.close()
        return True

    def close(self) -> None:
        """Stops listening.

        Connections in the accept queue are accepted first, or the system would reset them.
        """
        if self.listening_socket is not None:
            self._accept(BACKLOG, ignore_limit=True)
            self.loop.remove_reader(self.listening_socket)
            self.listening_socket.close()
            self.listening_socket = None
