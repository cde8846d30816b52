"""Accepts clients' connections and keeps them, within the places that there are for clients."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from rushmux.gateway import eviction
from rushmux.gateway.client_connection import ClientConnection, PendingReply
from rushmux.gateway.client_timeouts import enforce_timeouts
from rushmux.gateway.command_dispatcher import CommandDispatcher
from rushmux.gateway.commands import Command
from rushmux.gateway.config import GatewayConfig
from rushmux.gateway.event_loop import call_after_polling
from rushmux.gateway.paused_clients import PausedClients

BACKLOG = 1024
"""Connections that the system queues until they are accepted: hundreds come at once."""
ACCEPTS_PER_TURN = 16
"""Connections accepted in one turn of the loop: a flood must not starve it."""
MARGIN = 0.1
"""Of the places, past them, for newcomers that are told BUSY and for connections that linger."""
SWEEP_INTERVAL = 0.1
"""Seconds between two checks of who is silent, idle or does not read."""


@dataclass(slots=True)
class ListenerStats:
    """Counts for the log, from the start."""

    accepted_operations: int = 0
    invalid_commands: int = 0
    rejected_clients: int = 0
    """Evicted, or told BUSY at their first operation."""
    silent_clients: int = 0


class Listener:
    """All clients' connections.

    Whatever the system has accepted has to be answered once a complete command was written to it.  So each
    connection has one owner from the system's queue on: `joining` until it is added, then `clients`.

    Attributes:
        clients: All connections that are up.
        joining: Tasks of connections that were accepted and are not up yet.
        read_ahead_bytes: Bytes of commands that wait to be taken, of all clients.
        is_accepting_paused: Whether newcomers wait in the system's queue until a place is free.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: GatewayConfig,
        max_clients: int,
        *,
        on_request: Callable[[Command, PendingReply], None],
        on_client_gone: Callable[[str], None],
    ):
        """Makes a listener that is not open yet.

        Args:
            loop: The event loop.
            config: What commands are validated against.
            max_clients: Places for clients.
            on_request: Called as `on_request(command, pending_reply)` to have an operation done.
            on_client_gone: Called with the id of each operation whose client went away.
        """
        self.loop = loop
        self.max_clients = max_clients
        self.margin = max(2, int(max_clients * MARGIN))
        self.on_client_gone = on_client_gone
        self.dispatcher = CommandDispatcher(self, config, on_request)
        self.stats = ListenerStats()
        self.clients: dict[ClientConnection, bool] = {}
        self.joining: dict[asyncio.Task, bool] = {}
        self.paused_clients = PausedClients(loop)
        self.read_ahead_bytes = 0
        self.is_shutting_down = False
        self.is_accepting_paused = False
        self.listening_socket: socket.socket | None = None

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self.listening_socket is not None

    # Accepting.

    async def open(self, host: str, port: int) -> None:
        """Listens on an address; OSError."""
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
        # Newcomers, those that join counted, would take the descriptors that nodes and discovery need.  Past
        # this bound they wait in the system's queue.
        return len(self.clients) + len(self.joining) >= self.max_clients + self.margin

    def is_over_capacity(self) -> bool:
        """Returns whether there are more clients than places."""
        return len(self.clients) > self.max_clients

    def _accept(self, limit: int = ACCEPTS_PER_TURN, *, exceed_places: bool = False) -> bool:
        # Accepts connections of the system's queue; returns whether it was emptied.
        for _ in range(limit):
            if self._is_full() and not exceed_places:
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
            self._join(sock)
        return False

    def _on_accept_failed(self, error: OSError) -> None:
        # Out of descriptors: the queue would be asked again at full speed.
        self.loop.remove_reader(self.listening_socket)
        self.loop.call_later(SWEEP_INTERVAL, self._resume_accepting)
        self.loop.call_exception_handler({"message": "no connection can be taken", "exception": error})

    def _join(self, sock: socket.socket) -> None:
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock))
        self.joining[task] = True
        task.add_done_callback(self._on_joined)

    def _on_joined(self, task: asyncio.Task) -> None:
        del self.joining[task]
        if not task.cancelled():
            task.exception()  # retrieved: its client went away before it was added
        self._on_place_free()

    # Clients.

    def add_client(self, client: ClientConnection) -> None:
        """A connection is up."""
        self.clients[client] = True
        if self.is_shutting_down:
            client.close_when_quiet()
        if self.is_over_capacity():
            call_after_polling(self.loop, self._evict)

    def remove_client(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self.clients.pop(client, None)
        self.paused_clients.discard(client)
        self._on_place_free()

    def _on_place_free(self) -> None:
        if self.is_accepting_paused and not self._is_full():
            self._resume_accepting()

    def _evict(self) -> None:
        # Where nobody can be evicted, newcomers stay for the moment: their first operation gets BUSY and ends
        # the connection.
        if not self.is_over_capacity():
            return
        victim = eviction.choose_victim(self.clients, self.loop.time())
        if victim is not None:
            self.stats.rejected_clients += 1
            del self.clients[victim]
            victim.transport.abort()
            self._on_place_free()

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
        """From now on a connection ends once it was quiet with no pending reply; commands are still taken."""
        self.is_shutting_down = True
        for client in self.clients:
            client.close_when_quiet()

    def finish_all(self) -> None:
        """Reads no more than is in the sockets now; each connection ends with its pending replies."""
        call_after_polling(self.loop, self._finish_clients)

    def _finish_clients(self) -> None:
        for client in list(self.clients):
            if client.is_open and not client.transport.is_closing():
                client.finish()
                client.flush()

    def close_if_drained(self) -> bool:
        """Closes once every connection has ended and none is in the system's queue; returns whether so."""
        if self.clients or self.joining:
            return False
        if self.listening_socket is not None and not (self._accept() and not self.joining):
            return False
        self.close()
        return True

    def close(self) -> None:
        """Accepts no more connections.

        Those that the system has queued are accepted first: it would reset them, with the commands on them.
        """
        if self.listening_socket is not None:
            self._accept(BACKLOG, exceed_places=True)
            self.loop.remove_reader(self.listening_socket)
            self.listening_socket.close()
            self.listening_socket = None
