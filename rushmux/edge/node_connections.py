"""An edge's connections to storage nodes, shared by all operations and re-opened with backoff.

`NodeConnections.send` sends one attempt and calls back once with its result
(`scheduling.interface.AttemptResult`), always after `send` has returned.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from rushmux.backoff import Backoff
from rushmux.edge.write_coalescing import CoalescingWriter
from rushmux.nodewire import FrameReader, WireError, frame, messages
from rushmux.scheduling.interface import AttemptResult

INITIAL_BACKOFF = 0.05  # seconds; a process restart takes a few times as long
MAX_BACKOFF = 2.0  # seconds; a node that returns is reconnected within this time
RECONNECT_BACKOFF = Backoff(INITIAL_BACKOFF, MAX_BACKOFF)
MAX_UNSENT = 64  # attempts waiting for one connect; about six times the scheduler's MAX_IN_FLIGHT
MAX_BUFFERED = 4 << 20  # bytes not sent yet; with more, the node counts as overloaded
READ_SIZE = 1 << 18  # bytes of one read from the socket
NEVER = float("inf")
RESULTS = {
    messages.DONE: AttemptResult.SUCCEEDED,
    messages.MISSING: AttemptResult.SUCCEEDED,
    messages.CONFLICT: AttemptResult.SUCCEEDED,
    messages.FAILED: AttemptResult.FAILED,
    messages.BUSY: AttemptResult.REJECTED,
}

OutcomeCallback = Callable[[AttemptResult, messages.Outcome | None], None]
LoadCallback = Callable[[AttemptResult, messages.Load | None], None]


class Address(NamedTuple):
    """Address that a node or planner listens on."""

    host: str
    port: int


class UnsentAttempt(NamedTuple):
    """An attempt that waits for a connection, and the loop time before which it must be sent."""

    execute: messages.Execute
    latest_start: float


class Stream(NamedTuple):
    """The streams of a connection, and the decoder of its frames."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    frames: FrameReader


def next_backoff(failures: int, rng: random.Random) -> float:
    """Returns the pause in seconds after consecutive failures: exponential, shortened by up to half."""
    return RECONNECT_BACKOFF.jittered_pause(failures, rng)


class NodeConnection:
    """One connection to a node, opened when there is something to send."""

    def __init__(self, connections: "NodeConnections", node: str, address: Address):
        self.connections, self.node, self.address = connections, node, address
        self.stream: Stream | None = None
        self.writer: CoalescingWriter | None = None  # None: no welcome was received yet
        self.task: asyncio.Task | None = None
        # Keys are correlation ids.
        self.unsent: dict[int, UnsentAttempt] = {}
        self.pending: dict[int, OutcomeCallback] = {}  # includes unsent attempts
        self.pending_load_reports: dict[int, LoadCallback] = {}
        self.failures, self.retry_at = 0, 0.0

    def send(self, execute: messages.Execute, on_result: OutcomeCallback, latest_start: float) -> int:
        """Sends or queues an attempt; returns its correlation id."""
        loop = asyncio.get_running_loop()
        correlation_id = execute.corr = self.connections.next_correlation_id()
        if self.writer is not None:
            if self.writer.buffered_bytes() > MAX_BUFFERED:
                loop.call_soon(on_result, AttemptResult.REJECTED, None)
            else:
                self.pending[correlation_id] = on_result
                self.writer.write(frame(messages.Message(execute=execute)))
        elif len(self.unsent) >= MAX_UNSENT:
            loop.call_soon(on_result, AttemptResult.REJECTED, None)
        elif self.task is None and loop.time() < self.retry_at:
            loop.call_soon(on_result, AttemptResult.CONNECT_FAILED, None)
        else:
            self.unsent[correlation_id] = UnsentAttempt(execute, latest_start)
            self.pending[correlation_id] = on_result
            if self.task is None:
                self.task = loop.create_task(self._run())
        return correlation_id

    def cancel(self, correlation_id: int) -> None:
        """Drops an attempt and, if it was sent, notifies the node."""
        sent = correlation_id in self.pending and correlation_id not in self.unsent
        if sent and self.writer is not None:
            withdraw = messages.Withdraw(corr=correlation_id)
            self.writer.write(frame(messages.Message(withdraw=withdraw)))
        self.drop(correlation_id)

    def drop(self, correlation_id: int) -> None:
        """Forgets an attempt or a load report, and does not send it any more."""
        for requests in (self.unsent, self.pending, self.pending_load_reports):
            requests.pop(correlation_id, None)

    def request_load_report(self, on_report: LoadCallback) -> int | None:
        """Requests a load report; returns None if the connection is not open or too slow."""
        if self.writer is None or self.writer.buffered_bytes() > MAX_BUFFERED:
            return None
        correlation_id = self.connections.next_correlation_id()
        self.pending_load_reports[correlation_id] = on_report
        self.writer.write(frame(messages.Message(probe=messages.Probe(corr=correlation_id))))
        return correlation_id

    def close(self) -> None:
        """Closes the connection; the results of pending attempts are `CONNECTION_LOST`."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        """Connects, sends unsent attempts, and reads replies until the connection ends."""
        loop, reason = asyncio.get_running_loop(), "closed by the node"
        try:
            async with asyncio.timeout(self.connections.connect_timeout):
                received = await self._connect()
            self._on_welcome(received[0])
            self.writer, self.failures = CoalescingWriter(self.stream.writer), 0
            self._send_unsent(loop.time())
            self._on_messages(received[1:])
            while data := await self.stream.reader.read(READ_SIZE):
                self._on_messages(self.stream.frames.feed(data))
        except (OSError, TimeoutError, WireError) as error:
            reason = str(error) or type(error).__name__
        finally:
            self._on_closed(reason, loop.time())

    async def _connect(self) -> list[messages.Message]:
        """Connects, sends hello and returns the node's first messages."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.stream = Stream(reader, writer, FrameReader())
        writer.write(frame(messages.Message(hello=self.connections.hello)))
        while True:
            data = await reader.read(READ_SIZE)
            if not data:
                raise WireError("connection closed before the welcome")
            received = self.stream.frames.feed(data)
            if received:
                return received

    def _on_welcome(self, message: messages.Message) -> None:
        # Another process may have taken over the address.
        if message.WhichOneof("body") != "welcome" or message.welcome.peer != self.node:
            other = message.welcome.peer or "something"
            raise WireError(f"{other} answered at the address of {self.node}")
        self.connections.on_welcome(self.node, message.welcome.start, message.welcome.age)

    def _send_unsent(self, now: float) -> None:
        unsent, self.unsent = self.unsent, {}
        for correlation_id, attempt in unsent.items():
            if now < attempt.latest_start:
                self.writer.write(frame(messages.Message(execute=attempt.execute)))
            else:  # sent this late, it could run past its deduplication window
                self.pending.pop(correlation_id)(AttemptResult.CONNECT_FAILED, None)

    def _on_messages(self, received: Iterable[messages.Message]) -> None:
        for message in received:
            body = message.WhichOneof("body")
            if body == "load":
                on_report = self.pending_load_reports.pop(message.load.corr, None)
                if on_report is not None:
                    on_report(AttemptResult.SUCCEEDED, message.load)
            elif body == "outcome":
                self._on_outcome(message.outcome)
            else:
                raise WireError(f"unexpected {body} message from a node")

    def _on_outcome(self, outcome: messages.Outcome) -> None:
        on_result = self.pending.pop(outcome.corr, None)
        if on_result is not None:  # None: the attempt was dropped
            on_result(RESULTS.get(outcome.code, AttemptResult.FAILED), outcome)

    def _on_closed(self, reason: str, now: float) -> None:
        if self.writer is not None:
            result = AttemptResult.CONNECTION_LOST
        else:
            result = AttemptResult.CONNECT_FAILED
            self.retry_at = now + next_backoff(self.failures, self.connections.rng)
            self.failures += 1
        if self.stream is not None:
            self.stream.writer.close()
        pending, self.pending = self.pending, {}
        load_reports, self.pending_load_reports = self.pending_load_reports, {}
        self.unsent, self.stream, self.writer, self.task = {}, None, None, None
        self.connections.log.info(
            "node_connection.closed", node=self.node, reason=reason, lost=len(pending), result=result
        )
        for callback in [*pending.values(), *load_reports.values()]:
            callback(result, None)


class PendingRequest(NamedTuple):
    """A pending attempt or load report (`scheduling.driver.AttemptHandle`)."""

    connection: NodeConnection
    correlation_id: int

    @property
    def sent(self) -> bool:
        """Whether the request was written to the connection."""
        return self.correlation_id not in self.connection.unsent

    def drop(self) -> None:
        """Drops the request without notifying the node."""
        self.connection.drop(self.correlation_id)

    def cancel(self) -> None:
        """Drops the request and notifies the node."""
        self.connection.cancel(self.correlation_id)


class NodeConnections:
    """All connections of one edge to nodes.

    Attributes:
        by_node: The connections to each node whose address is known.
        on_welcome: Called with the node, its start and its age in ticks when a connection opens.
    """

    def __init__(
        self,
        hello: messages.Hello,
        *,
        connect_timeout: float,
        connections_per_node: int,
        rng: random.Random,
        log,
    ):
        self.hello, self.connect_timeout = hello, connect_timeout
        self.connections_per_node, self.rng, self.log = connections_per_node, rng, log
        self.by_node: dict[str, list[NodeConnection]] = {}
        self.on_welcome: Callable[[str, str, int], None] = lambda node, start, age: None
        self._last_correlation_id = 0

    def next_correlation_id(self) -> int:
        """Returns an id that is unique among this edge's requests."""
        self._last_correlation_id += 1
        return self._last_correlation_id

    def set_address(self, node: str, address: Address | None) -> None:
        """Sets a node's address; None closes its connections."""
        connections = self.by_node.get(node, ())
        if address is None or any(connection.address != address for connection in connections):
            for connection in self.by_node.pop(node, ()):
                connection.close()
        if address is not None and node not in self.by_node:
            self.by_node[node] = [
                NodeConnection(self, node, address) for _ in range(self.connections_per_node)
            ]

    def send(
        self,
        node: str,
        execute: messages.Execute,
        on_result: OutcomeCallback,
        latest_start: float = NEVER,
    ) -> PendingRequest | None:
        """Sends an attempt over the least busy connection, but not after the loop time `latest_start`.

        `on_result(result, outcome)` is called once, later, unless the request is dropped.  Returns None if
        the node's address is not known.
        """
        connections = self.by_node.get(node)
        if not connections:
            asyncio.get_running_loop().call_soon(on_result, AttemptResult.CONNECT_FAILED, None)
            return None
        connection = min(connections, key=lambda connection: len(connection.pending))
        return PendingRequest(connection, connection.send(execute, on_result, latest_start))

    def request_load_report(self, node: str, on_report: LoadCallback) -> PendingRequest | None:
        """Requests a load report over an open connection only; it is not worth a connect.

        `on_report(result, load)` is called once, later, unless the request is dropped.
        """
        for connection in self.by_node.get(node, ()):
            correlation_id = connection.request_load_report(on_report)
            if correlation_id is not None:
                return PendingRequest(connection, correlation_id)
        asyncio.get_running_loop().call_soon(on_report, AttemptResult.CONNECT_FAILED, None)
        return None

    async def close(self) -> None:
        """Closes all connections and waits for their end."""
        tasks = [
            connection.task
            for connections in self.by_node.values()
            for connection in connections
            if connection.task
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
