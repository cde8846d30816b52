"""What servers of the nodes' wire share: a greeting, a loop over frames, and an end for each peer."""

import asyncio

from rushmux.nodewire import VERSION, Frames, WireFault, frame, messages

READ = 1 << 17  # bytes asked of a socket at once
MOST_PEERS = 8_192  # connections: a thousand edges with a few links each
MOST_UNREAD = 8 << 20  # bytes a peer has not read before it is let go
BACKLOG = 1_024  # connections that the system holds until they are accepted: all edges come at once
GREET = 5.0  # seconds for a peer's first message


class Peer:
    """A connection that was opened from the other side; `hello` says by whom."""

    def __init__(self, writer, hello):
        self.writer, self.hello = writer, hello

    def send(self, **body):
        """Sends one message; a peer that reads nothing is let go."""
        transport = self.writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > MOST_UNREAD:
            transport.abort()
            return
        self.writer.write(frame(messages.Message(**body)))


class Listener:
    """Takes peers and gives each message to `message(peer, body name, body)`."""

    def __init__(self, name, start, log):
        self.name, self.start, self.log, self.peers = name, start, log, {}
        self.server = self.port = None
        self.ending = False

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.accept, host, port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def accept(self, reader, writer):
        peer, why = None, "left"
        if len(self.peers) >= MOST_PEERS:
            writer.close()
            return
        self.peers[writer] = None, asyncio.current_task()
        try:
            frames = Frames()
            async with asyncio.timeout(GREET):
                found = []
                while not found:
                    data = await reader.read(READ)
                    if not data:
                        return
                    found = frames.feed(data)
            hello = found.pop(0)
            if hello.WhichOneof("body") != "hello" or hello.hello.version != VERSION:
                raise WireFault("no greeting, or one of another version")
            peer = Peer(writer, hello.hello)
            self.peers[writer] = peer, asyncio.current_task()
            peer.send(
                welcome=messages.Welcome(version=VERSION, peer=self.name, start=self.start, age=self.age())
            )
            self.met(peer)
            while True:
                for message in found:
                    body = message.WhichOneof("body")
                    self.message(peer, body, getattr(message, body))
                data = await reader.read(READ)
                if not data:
                    break
                found = frames.feed(data)
        except (OSError, WireFault, TimeoutError) as fault:
            why = str(fault) or type(fault).__name__
        except asyncio.CancelledError:
            if not self.ending:  # else `shut` waits for it, and nobody else is to hear of it
                raise
        finally:
            self.peers.pop(writer, None)
            writer.close()
            if peer is not None:
                self.left(peer)
                self.log.debug("peer.left", peer=peer.hello.peer, why=why)

    def age(self):
        """Tenths of a millisecond since the start, as far as that matters to a peer."""
        return 0

    def met(self, peer):
        """A peer has greeted."""

    def left(self, peer):
        """A peer that had greeted is gone."""

    def message(self, peer, name, body):
        raise WireFault(f"{name} is not for this program")

    def drop_peers(self):
        """Breaks all connections, as a process that dies does."""
        for writer in list(self.peers):
            writer.transport.abort()

    async def shut(self):
        self.ending = True
        if self.server is not None:
            self.server.close()
        tasks = [task for _, task in self.peers.values()]
        self.drop_peers()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
