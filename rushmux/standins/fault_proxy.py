"""Proxies on loopback between the processes of a fleet, which inject network faults.

One proxy listens for each pair of a connecting process and its target.  Neither side notices a cut: data sent
meanwhile arrives when the link heals, as with TCP retransmission.
"""

import asyncio
import random
from collections.abc import Iterable, Sequence

HOST = "127.0.0.1"
READ_SIZE = 1 << 16
MAX_CONNECTIONS = 2_000
CONNECT_TIMEOUT = 2.0
"""Seconds for the connection to the target process."""


class Link:
    """The faults of one direction between two processes.

    Attributes:
        open: Set unless the link is cut.
        delay: The shortest and longest delay of data, seconds.
        reset_after: Bytes after which one connection is reset; None: never.
    """

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.delay = (0.0, 0.0)
        self.reset_after: int | None = None


class FaultProxies:
    """The proxies of a fleet.

    Attributes:
        targets: The port of each process by its name.

    Args:
        rng: The source of random delays.
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
        """Returns the link from one process to another."""
        return self._links.setdefault((source, target), Link())

    async def port(self, source: str, target: str) -> int:
        """The proxy port at which `source` reaches `target`."""
        if (source, target) not in self._ports:

            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await self._relay(source, target, reader, writer)

            server = await asyncio.start_server(accept, HOST, 0)
            self._servers.append(server)
            self._ports[source, target] = server.sockets[0].getsockname()[1]
        return self._ports[source, target]

    async def _relay(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays a connection until either side ends it."""
        if len(self._connections) >= MAX_CONNECTIONS or (source, target) in self._refused:
            writer.transport.abort()
            return
        self._connections[writer], target_writer = (source, target), None
        try:
            await self.link(source, target).open.wait()  # half-open: only the kernel accepted it
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
            pass  # the target does not run: the connection ends
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
        """Cuts the links from sources to targets until `heal`."""
        for source in sources:
            for target in targets:
                self.link(source, target).open.clear()

    def heal(self, sources: Iterable[str], targets: Sequence[str]) -> None:
        """Ends the cuts, delays and refusals of the links from sources to targets."""
        for source in sources:
            for target in targets:
                link = self.link(source, target)
                link.open.set()
                link.delay = (0.0, 0.0)
                self._refused.discard((source, target))

    def refuse(self, source: str, target: str) -> None:
        """Refuses connections of a link until `heal`, and aborts the open ones."""
        self._refused.add((source, target))
        for writer, pair in list(self._connections.items()):
            if pair in ((source, target), (target, source)):
                writer.transport.abort()

    async def close(self) -> None:
        """Closes all proxies and connections."""
        for server in self._servers:
            server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(0)


def matching_names(pattern: str, names: Iterable[str]) -> list[str]:
    """The names that a pattern matches: one name, or all of a kind (`edges`, `planners`)."""
    prefix = pattern.rstrip("s")
    return [name for name in names if name == pattern or name.startswith(prefix)] or [pattern]
