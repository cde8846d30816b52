"""A scripted SFTP client: requests in any number at once, each recorded with its answer."""

import asyncio
from collections.abc import Callable

from rushmux.sftp import packets as sftp

READ_SIZE = 1 << 17
PIECE_SIZE = 32_768
"""Bytes of a READ or WRITE request."""


class ConnectionClosedError(Exception):
    """The connection ended before the answer came."""


class StatusError(Exception):
    """A status that is not OK; `status` is the packet."""

    def __init__(self, status):
        super().__init__(f"{status.code}: {status.message}")
        self.status = status


class Client:
    """One session.  `record(kind, **fields)` hears of each request and answer."""

    def __init__(self, record: Callable = lambda kind, **fields: None):
        self.record, self.name = record, ""
        self.waiting, self.requests, self.writer, self.reading = {}, 0, None, None

    async def connect(self, host, port):
        """Opens the session; raises OSError or Gone."""
        self.loop = asyncio.get_running_loop()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(sftp.encode(sftp.Init(sftp.VERSION, ())))
        self.packets, first = sftp.PacketSplitter(), []
        while not first:
            data = await self.reader.read(READ_SIZE)
            if not data:
                raise ConnectionClosedError("before a version")
            first = self.packets.feed(data)
        self.version = sftp.decode(first[0])
        self.name = dict(self.version.extensions).get("session@rushmux", b"").decode()
        self.record("session", session=self.name)
        self.reading = self.loop.create_task(self.read_all())
        return self

    async def read_all(self):
        """Reads replies until the connection ends."""
        why = "closed"
        try:
            while data := await self.reader.read(READ_SIZE):
                for body in self.packets.feed(data):
                    packet = sftp.decode(body)
                    future = self.waiting.pop(packet.request_id, None)
                    self.record(
                        "answer",
                        session=self.name,
                        number=packet.request_id,
                        status=getattr(packet, "code", 0),
                        text=getattr(packet, "message", ""),
                        known=future is not None,
                    )
                    if future is not None and not future.done():
                        future.set_result(packet)
        except OSError as fault:
            why = str(fault)
        finally:
            self.record("ended", session=self.name, why=why, lost=len(self.waiting))
            waiting, self.waiting = self.waiting, {}
            for future in waiting.values():
                if not future.done():
                    future.set_exception(ConnectionClosedError(why))
            self.writer.close()

    async def ask(self, kind, *fields, **about):
        """Sends one request and waits for its reply.

        Args:
            kind: The packet's class.
            fields: Its fields after the id.
            about: Further fields of the recorded row.

        Raises:
            StatusError: The reply is a status other than OK.
            ConnectionClosedError: The connection ended before the reply came.
        """
        if self.reading is None or self.reading.done():
            raise ConnectionClosedError("not connected")
        # Ids count from one, as the server counts requests: both sides name a request alike.
        self.requests += 1
        number = self.requests
        future = self.waiting[number] = self.loop.create_future()
        self.record("ask", session=self.name, number=number, what=kind.__name__, **about)
        self.writer.write(sftp.encode(kind(number, *fields)))
        reply = await future
        if isinstance(reply, sftp.Status) and reply.code != sftp.OK:
            raise StatusError(reply)
        return reply

    async def close(self):
        """Leaves; what is still asked is nobody's any more."""
        self.record("left", session=self.name)
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)

    # What a user does with several requests.

    async def open(self, path, flags, **about):
        """Opens a file; its handle."""
        return (await self.ask(sftp.Open, path, flags, sftp.Attributes(), **about)).handle

    async def put(self, path, data, piece=PIECE_SIZE, **about):
        """Writes a whole file, its pieces side by side."""
        handle = await self.open(path, sftp.WRITE | sftp.CREATE | sftp.TRUNCATE, **about)
        await asyncio.gather(
            *(
                self.ask(sftp.Write, handle, at, data[at : at + piece], **about)
                for at in range(0, len(data), piece)
            )
        )
        await self.ask(sftp.Close, handle, **about)

    async def get(self, path, piece=PIECE_SIZE, **about):
        """Reads a whole file."""
        handle = await self.open(path, sftp.READ, **about)
        parts = []
        while True:
            try:
                parts.append((await self.ask(sftp.Read, handle, sum(map(len, parts)), piece, **about)).data)
            except StatusError as refusal:
                if refusal.status.code == sftp.EOF:
                    break
                raise
            if len(parts[-1]) < piece:
                break
        await self.ask(sftp.Close, handle, **about)
        return b"".join(parts)

    async def list_directory(self, path, **about):
        """The names in a directory."""
        handle = (await self.ask(sftp.OpenDir, path, **about)).handle
        names = []
        while True:
            try:
                names += [row.name for row in (await self.ask(sftp.ReadDir, handle, **about)).names]
            except StatusError as refusal:
                if refusal.status.code != sftp.EOF:
                    raise
                break
        await self.ask(sftp.Close, handle, **about)
        return names
