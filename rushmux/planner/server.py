"""The common part of servers on the nodes' wire: the greeting, the message loop, and an end for each peer."""

import asyncio

import structlog
from google.protobuf.message import Message

from rushmux.nodewire import VERSION, FrameReader, WireError, frame, messages

READ_SIZE = 1 << 17  # bytes asked of a socket at once
MAX_CONNECTIONS = 8_192  # a thousand edges with a few connections each
MAX_UNREAD = 8 << 20  # bytes that a peer may leave unread until its connection is aborted
BACKLOG = 1_024  # connections that the system holds until they are accepted: all edges come at once
HELLO_TIMEOUT = 5.0  # seconds for a peer's first message


class PeerConnection:
    """A connection that a peer opened.

    Attributes:
        writer: its stream.
        hello: the peer's greeting.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        hello: messages.Hello,
        log: structlog.typing.FilteringBoundLogger,
    ):
        self._log = log
        self.writer = writer
        self.hello = hello

    @property
    def name(self) -> str:
        """The peer's name, as it greeted."""
        return self.hello.peer

    def send(self, **body) -> None:
        """Sends one message.

        The connection is aborted where the peer reads nothing, or where the message fits in no frame.
        """
        transport = self.writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNREAD:
            transport.abort()
            return
        try:
            encoded = frame(messages.Message(**body))
        except WireError as fault:  # raised here, it would end a step that serves other peers too
            self._log.error("peer.message_too_long", peer=self.name, why=str(fault))
            transport.abort()
            return
        self.writer.write(encoded)


class _Client:
    """An accepted connection: its task, and the peer once it has greeted."""

    def __init__(self, task: asyncio.Task):
        self.task = task
        self.peer: PeerConnection | None = None


class PeerServer:
    """Accepts peers and hands each of their messages to `on_message`.

    Attributes:
        name: what the server calls itself in its greeting.
        incarnation: differs at each start of the process.
        port: where it listens, once it does.
    """

    def __init__(self, name: str, incarnation: str, log: structlog.typing.FilteringBoundLogger):
        self.name = name
        self.incarnation = incarnation
        self.log = log
        self.server: asyncio.Server | None = None
        self.port: int | None = None
        self._clients: dict[asyncio.StreamWriter, _Client] = {}
        self._closing = False

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections; the port."""
        self.server = await asyncio.start_server(self._serve, host, port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def connected_peers(self) -> list[PeerConnection]:
        """The peers that have greeted."""
        return [client.peer for client in self._clients.values() if client.peer is not None]

    def abort_connections(self) -> None:
        """Breaks all connections, as a process that dies does."""
        for writer in list(self._clients):
            writer.transport.abort()

    async def close_server(self) -> None:
        """Stops to accept, aborts all connections and waits for their tasks."""
        self._closing = True
        if self.server is not None:
            self.server.close()
        tasks = [client.task for client in self._clients.values()]
        self.abort_connections()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # For subclasses.

    def age(self) -> int:
        """Tenths of a millisecond since the start, as far as that matters to a peer."""
        return 0

    def on_peer_connected(self, peer: PeerConnection) -> None:
        """A peer has greeted; WireError closes its connection."""

    def on_peer_disconnected(self, peer: PeerConnection) -> None:
        """The connection of a peer that had greeted ended."""

    def on_message(self, peer: PeerConnection, kind: str, body: Message) -> None:
        """A message came.

        Args:
            peer: its sender.
            kind: the name of the message's body.
            body: the body.

        Raises:
            WireError: the message is not allowed here; the connection is closed.
        """
        raise WireError(f"{kind} is not for this program")

    # Connections.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._clients) >= MAX_CONNECTIONS:
            writer.close()
            return
        client = self._clients[writer] = _Client(asyncio.current_task())
        reason = "left"
        try:
            await self._serve_client(client, reader, writer)
        except (OSError, WireError, TimeoutError) as fault:
            reason = str(fault) or type(fault).__name__
        except Exception as fault:  # whatever it is: the other connections go on
            reason = type(fault).__name__
            self.log.exception("peer.fault", peer=client.peer.name if client.peer is not None else "")
        except asyncio.CancelledError:
            if not self._closing:  # `close_server` waits for this task, and nobody else is to see the error
                raise
        finally:
            self._clients.pop(writer, None)
            writer.close()
            if client.peer is not None:
                self.on_peer_disconnected(client.peer)
                self.log.debug("peer.disconnected", peer=client.peer.name, why=reason)

    async def _serve_client(
        self, client: _Client, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Greets the peer, then handles its messages until it closes the connection."""
        frames = FrameReader()
        async with asyncio.timeout(HELLO_TIMEOUT):
            received = await self._read_messages(reader, frames)
        if not received:
            return
        client.peer = self._welcome(writer, received.pop(0))
        self.on_peer_connected(client.peer)
        while True:
            for message in received:
                kind = message.WhichOneof("body")
                self.on_message(client.peer, kind, getattr(message, kind))
            received = await self._read_messages(reader, frames)
            if not received:
                return

    async def _read_messages(
        self, reader: asyncio.StreamReader, frames: FrameReader
    ) -> list[messages.Message]:
        """Returns the next messages, at least one; none at the end of the stream."""
        while data := await reader.read(READ_SIZE):
            if received := list(frames.feed(data)):
                return received
        return []

    def _welcome(self, writer: asyncio.StreamWriter, greeting: messages.Message) -> PeerConnection:
        """Checks a peer's greeting and answers it."""
        if greeting.WhichOneof("body") != "hello" or greeting.hello.version != VERSION:
            raise WireError("no greeting, or one of another version")
        peer = PeerConnection(writer, greeting.hello, self.log)
        peer.send(
            welcome=messages.Welcome(version=VERSION, peer=self.name, start=self.incarnation, age=self.age())
        )
        return peer
