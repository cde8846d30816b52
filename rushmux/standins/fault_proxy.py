"""Proxies on loopback between the processes of a fleet, which inject faults of the network.

One proxy listens for each pair (who connects, to whom).  A cut is silent to both sides: what was sent arrives
when it heals, as with packets that are sent again.  All is bounded, and ends with the fleet.
"""

import asyncio
import random
from collections.abc import Iterable, Sequence

HOST = "127.0.0.1"
READ_SIZE = 1 << 16
MAX_CONNECTIONS = 2_000
CONNECT_TIMEOUT = 2.0
"""Seconds for a connection to the real process."""


class Link:
    """One direction between two processes: what happens to bytes on it.

    Attributes:
        open: Set while bytes pass.
        delay: Least and most seconds that bytes are held back.
        reset_after: Bytes after which a connection is reset, once; None: never.
    """

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.delay = (0.0, 0.0)
        self.reset_after: int | None = None


class FaultProxies:
    """All proxies of a fleet.

    Attributes:
        targets: Port of each process by its name.

    Args:
        rng: Draws delays.
    """

    def __init__(self, rng: random.Random):
        self.targets: dict[str, int] = {}
        self._rng = rng
        self._links: dict[tuple[str, str], Link] = {}
        self._servers: list[asyncio.Server] = []
        self._ports: dict[tuple[str, str], int] = {}
        self._connections: dict[asyncio.StreamWriter, tuple[str, str]] = {}
        self._refused: set[tuple[str, str]] = set()
        self._loop = asyncio.get_running_loop()

    def link(self, source: str, target: str) -> Link:
        """The direction from one process to another."""
        return self._links.setdefault((source, target), Link())

    async def port(self, source: str, target: str) -> int:
        """Where `source` has to connect to reach `target`."""
        if (source, target) not in self._ports:

            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await self._carry(source, target, reader, writer)

            server = await asyncio.start_server(accept, HOST, 0)
            self._servers.append(server)
            self._ports[source, target] = server.sockets[0].getsockname()[1]
        return self._ports[source, target]

    async def _carry(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries one connection until either side ends it."""
        if len(self._connections) >= MAX_CONNECTIONS or (source, target) in self._refused:
            writer.transport.abort()
            return
        self._connections[writer], target_writer = (source, target), None
        try:
            await self.link(source, target).open.wait()  # half-open: accepted by the kernel, seen by nobody
            async with asyncio.timeout(CONNECT_TIMEOUT):
                target_reader, target_writer = await asyncio.open_connection(HOST, self.targets[target])
            self._connections[target_writer] = source, target
            copies = [
                self._loop.create_task(self._copy(reader, target_writer, self.link(source, target))),
                self._loop.create_task(self._copy(target_reader, writer, self.link(target, source))),
            ]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
        except (OSError, TimeoutError, KeyError):
            pass  # the process is not there: the connection ends
        finally:
            for end in (writer, target_writer):
                if end is not None:
                    self._connections.pop(end, None)
                    end.transport.abort()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        copied = 0
        while data := await reader.read(READ_SIZE):
            shortest, longest = link.delay
            if longest:
                await asyncio.sleep(self._rng.uniform(shortest, longest))
            await link.open.wait()
            copied += len(data)
            if link.reset_after is not None and copied >= link.reset_after:
                link.reset_after = None
                return
            writer.write(data)
            await writer.drain()

    def block(self, sources: Iterable[str], targets: Sequence[str]) -> None:
        """Nothing passes from the ones to the others until `heal`."""
        for source in sources:
            for target in targets:
                self.link(source, target).open.clear()

    def heal(self, sources: Iterable[str], targets: Sequence[str]) -> None:
        """Ends all faults of the links from the ones to the others."""
        for source in sources:
            for target in targets:
                link = self.link(source, target)
                link.open.set()
                link.delay = (0.0, 0.0)
                self._refused.discard((source, target))

    def refuse(self, source: str, target: str) -> None:
        """Refuses connections from one to another until `heal`, and breaks those that there are."""
        self._refused.add((source, target))
        for writer, pair in list(self._connections.items()):
            if pair in ((source, target), (target, source)):
                writer.transport.abort()

    async def close(self) -> None:
        """Ends all proxies and connections."""
        for server in self._servers:
            server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(0)


def matching_names(pattern: str, names: Iterable[str]) -> list[str]:
    """The names that a word of a scenario means: itself, or all that begin with it (`edges`, `planners`)."""
    prefix = pattern.rstrip("s")
    return [name for name in names if name == pattern or name.startswith(prefix)] or [pattern]
