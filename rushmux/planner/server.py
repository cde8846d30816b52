"""Base of servers of the `nodewire` protocol: greeting, message loop, end of connections."""

import asyncio

import structlog
from google.protobuf.message import Message

from rushmux.nodewire import VERSION, FrameReader, WireError, frame, messages

READ_SIZE = 1 << 17  # bytes per read from a socket
MAX_CONNECTIONS = 8_192  # a thousand edges with a few connections each
MAX_UNREAD = 8 << 20  # bytes waiting for a peer, above which its connection is aborted
BACKLOG = 1_024  # connections not accepted yet; all edges may connect at once
HELLO_TIMEOUT = 5.0  # seconds until a peer's first message


class PeerConnection:
    """A connection that a peer opened.

    Attributes:
        writer: The connection's stream.
        hello: The peer's greeting.
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
        """The peer's name in its greeting."""
        return self.hello.peer

    def send(self, **body) -> None:
        """Sends a message.

        The connection is aborted if the peer does not read, or if the message is too long for a frame.
        """
        transport = self.writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNREAD:
            transport.abort()
            return
        try:
            encoded = frame(messages.Message(**body))
        except WireError as error:  # not raised: the caller may be serving other peers too
            self._log.error("peer.message_too_long", peer=self.name, why=str(error))
            transport.abort()
            return
        self.writer.write(encoded)


class _Client:
    """An accepted connection: its task, and its peer after the greeting."""

    def __init__(self, task: asyncio.Task):
        self.task = task
        self.peer: PeerConnection | None = None


class PeerServer:
    """Accepts peers, and passes each of their messages to `on_message`.

    Attributes:
        name: The server's name in its greeting.
        incarnation: Differs at each start of the process.
        port: The port that it listens on, if any.
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
        """Starts accepting connections, and returns the port."""
        self.server = await asyncio.start_server(self._serve, host, port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def connected_peers(self) -> list[PeerConnection]:
        """Returns the peers that have sent their greeting."""
        return [client.peer for client in self._clients.values() if client.peer is not None]

    def abort_connections(self) -> None:
        """Aborts all connections, as a killed process would."""
        for writer in list(self._clients):
            writer.transport.abort()

    async def close_server(self) -> None:
        """Stops accepting, aborts all connections and waits for their tasks."""
        self._closing = True
        if self.server is not None:
            self.server.close()
        tasks = [client.task for client in self._clients.values()]
        self.abort_connections()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Hooks for subclasses.

    def age(self) -> int:
        """Returns the age that peers are told, in tenths of a millisecond; 0 if they do not use it."""
        return 0

    def on_peer_connected(self, peer: PeerConnection) -> None:
        """Called when a peer has sent its greeting; a WireError closes its connection."""

    def on_peer_disconnected(self, peer: PeerConnection) -> None:
        """Called when a peer's connection has ended."""

    def on_message(self, peer: PeerConnection, kind: str, body: Message) -> None:
        """Handles a message.

        Args:
            peer: The sender.
            kind: The name of the message's body.
            body: The message's body.

        Raises:
            WireError: The message is not allowed; its connection is closed.
        """
        raise WireError(f"{kind} messages are not accepted here")

    # Connections.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._clients) >= MAX_CONNECTIONS:
            writer.close()
            return
        client = self._clients[writer] = _Client(asyncio.current_task())
        reason = "closed by the peer"
        try:
            await self._serve_client(client, reader, writer)
        except (OSError, WireError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
        except Exception as error:  # must not affect the other connections
            reason = type(error).__name__
            self.log.exception("peer.fault", peer=client.peer.name if client.peer is not None else "")
        except asyncio.CancelledError:
            if not self._closing:  # `close_server` cancels this task and awaits it
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
        """Returns the next messages: at least one, or none at the end of the stream."""
        while data := await reader.read(READ_SIZE):
            if received := list(frames.feed(data)):
                return received
        return []

    def _welcome(self, writer: asyncio.StreamWriter, greeting: messages.Message) -> PeerConnection:
        """Checks a peer's greeting and answers it."""
        if greeting.WhichOneof("body") != "hello" or greeting.hello.version != VERSION:
            raise WireError(f"the first message is no greeting of protocol version {VERSION}")
        peer = PeerConnection(writer, greeting.hello, self.log)
        peer.send(
            welcome=messages.Welcome(version=VERSION, peer=self.name, start=self.incarnation, age=self.age())
        )
        return peer
