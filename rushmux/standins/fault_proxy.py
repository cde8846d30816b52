"""Relays on loopback between the processes of a fleet: what passes through them can be dropped, held back,
slowed, reset.

One relay listens for each pair (who dials, who is dialled).  A cut says nothing to either side: what was sent
arrives when it heals, as with packets that are sent again.  All is bounded, and ends with the rig.
"""

import asyncio

HOST = "127.0.0.1"
READ = 1 << 16
MOST_CONNECTIONS = 2_000
DIAL = 2.0  # seconds for a dial to the real process


class Way:
    """One direction between two parts: what happens to bytes on it."""

    def __init__(self):
        self.free, self.delay, self.rate = asyncio.Event(), (0.0, 0.0), 0.0
        self.free.set()
        self.resets_at = None  # bytes after which a connection is reset, once


class Relays:
    """All relays of a rig.  `chance` draws delays."""

    def __init__(self, chance):
        self.chance, self.targets, self.ways, self.servers, self.ports = chance, {}, {}, [], {}
        self.connections, self.refused = {}, {}
        self.loop = asyncio.get_running_loop()

    def way(self, source, target) -> Way:
        return self.ways.setdefault((source, target), Way())

    async def port(self, source, target) -> int:
        """Where `source` is to dial to come to `target`."""
        if (source, target) not in self.ports:

            async def accept(reader, writer):
                await self.carry(source, target, reader, writer)

            server = await asyncio.start_server(accept, HOST, 0)
            self.servers.append(server)
            self.ports[source, target] = server.sockets[0].getsockname()[1]
        return self.ports[source, target]

    async def carry(self, source, target, reader, writer):
        if len(self.connections) >= MOST_CONNECTIONS or (source, target) in self.refused:
            writer.transport.abort()
            return
        self.connections[writer], far = (source, target), None
        try:
            await self.way(source, target).free.wait()  # half-open: taken by the kernel, seen by nobody
            async with asyncio.timeout(DIAL):
                back, far = await asyncio.open_connection(HOST, self.targets[target])
            self.connections[far] = source, target
            pumps = [
                self.loop.create_task(self.pump(reader, far, self.way(source, target))),
                self.loop.create_task(self.pump(back, writer, self.way(target, source))),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
        except (OSError, TimeoutError, KeyError):
            pass
        finally:
            for end in (writer, far):
                if end is not None:
                    self.connections.pop(end, None)
                    end.transport.abort()

    async def pump(self, reader, writer, way):
        passed = 0
        while data := await reader.read(READ):
            least, most = way.delay
            if most:
                await asyncio.sleep(self.chance.uniform(least, most))
            if way.rate:
                await asyncio.sleep(len(data) / way.rate)
            await way.free.wait()
            passed += len(data)
            if way.resets_at is not None and passed >= way.resets_at:
                way.resets_at = None
                return
            writer.write(data)
            await writer.drain()

    def named(self, pattern, names):
        """Names that a word of a story means: itself, or all that begin with it (`edges`, `planners`)."""
        found = [name for name in names if name == pattern or name.startswith(pattern.rstrip("s"))]
        return found or [pattern]

    def block(self, sources, targets):
        """Nothing passes from the one to the other until `heal`."""
        for source in sources:
            for target in targets:
                self.way(source, target).free.clear()

    def heal(self, sources, targets):
        for source in sources:
            for target in targets:
                way = self.way(source, target)
                way.free.set()
                way.delay, way.rate = (0.0, 0.0), 0.0
                self.refused.pop((source, target), None)

    def reset(self, source, target):
        """Breaks all connections between two, as a machine does that comes back."""
        for writer, pair in list(self.connections.items()):
            if pair in ((source, target), (target, source)):
                writer.transport.abort()

    async def close(self):
        for server in self.servers:
            server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(0)
