"""An SFTP client for tests, which records each request and reply."""

import asyncio
from collections.abc import Callable

from rushmux.sftp import packets as sftp

READ_SIZE = 1 << 17
CHUNK_SIZE = 32_768
"""Data bytes of a READ or WRITE request."""


class ConnectionClosedError(Exception):
    """The connection ended before the reply arrived."""


class StatusError(Exception):
    """A reply with a status other than OK; `status` is the packet."""

    def __init__(self, status):
        super().__init__(f"{status.code}: {status.message}")
        self.status = status


class Client:
    """One session.  `record(kind, **fields)` is called for each request and reply."""

    def __init__(self, record: Callable = lambda kind, **fields: None):
        self.record, self.name = record, ""
        self.pending, self.request_count, self.writer, self.reader_task = {}, 0, None, None

    async def connect(self, host, port):
        """Opens the session; raises OSError or ConnectionClosedError."""
        self.loop = asyncio.get_running_loop()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(sftp.encode(sftp.Init(sftp.VERSION, ())))
        self.splitter, first = sftp.PacketSplitter(), []
        while not first:
            data = await self.reader.read(READ_SIZE)
            if not data:
                raise ConnectionClosedError("closed before the version packet")
            first = self.splitter.feed(data)
        self.version = sftp.decode(first[0])
        self.name = dict(self.version.extensions).get("session@rushmux", b"").decode()
        self.record("session", session=self.name)
        self.reader_task = self.loop.create_task(self.read_replies())
        return self

    async def read_replies(self):
        """Reads replies until the connection ends."""
        reason = "closed"
        try:
            while data := await self.reader.read(READ_SIZE):
                for body in self.splitter.feed(data):
                    packet = sftp.decode(body)
                    future = self.pending.pop(packet.request_id, None)
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
        except OSError as error:
            reason = str(error)
        finally:
            self.record("ended", session=self.name, why=reason, lost=len(self.pending))
            pending, self.pending = self.pending, {}
            for future in pending.values():
                if not future.done():
                    future.set_exception(ConnectionClosedError(reason))
            self.writer.close()

    async def ask(self, kind, *fields, **record_fields):
        """Sends one request and waits for its reply.

        Args:
            kind: The packet's class.
            fields: Its fields after the request id.
            record_fields: Further fields to record.

        Raises:
            StatusError: The reply is a status other than OK.
            ConnectionClosedError: The connection ended before the reply came.
        """
        if self.reader_task is None or self.reader_task.done():
            raise ConnectionClosedError("not connected")
        # The server counts from 1 too, so that both sides record the same number.
        self.request_count += 1
        number = self.request_count
        future = self.pending[number] = self.loop.create_future()
        self.record("ask", session=self.name, number=number, what=kind.__name__, **record_fields)
        self.writer.write(sftp.encode(kind(number, *fields)))
        reply = await future
        if isinstance(reply, sftp.Status) and reply.code != sftp.OK:
            raise StatusError(reply)
        return reply

    async def close(self):
        """Closes the session; pending requests fail."""
        self.record("left", session=self.name)
        if self.reader_task is not None:
            self.reader_task.cancel()
            await asyncio.gather(self.reader_task, return_exceptions=True)

    # Operations that send several requests.

    async def open(self, path, flags, **record_fields):
        """Opens a file and returns its handle."""
        return (await self.ask(sftp.Open, path, flags, sftp.Attributes(), **record_fields)).handle

    async def put(self, path, data, chunk_size=CHUNK_SIZE, **record_fields):
        """Writes a whole file in concurrent chunks."""
        handle = await self.open(path, sftp.WRITE | sftp.CREATE | sftp.TRUNCATE, **record_fields)
        await asyncio.gather(
            *(
                self.ask(sftp.Write, handle, at, data[at : at + chunk_size], **record_fields)
                for at in range(0, len(data), chunk_size)
            )
        )
        await self.ask(sftp.Close, handle, **record_fields)

    async def get(self, path, chunk_size=CHUNK_SIZE, **record_fields):
        """Reads a whole file, chunk after chunk."""
        handle = await self.open(path, sftp.READ, **record_fields)
        parts = []
        while True:
            try:
                parts.append(
                    (
                        await self.ask(sftp.Read, handle, sum(map(len, parts)), chunk_size, **record_fields)
                    ).data
                )
            except StatusError as error:
                if error.status.code == sftp.EOF:
                    break
                raise
            if len(parts[-1]) < chunk_size:
                break
        await self.ask(sftp.Close, handle, **record_fields)
        return b"".join(parts)

    async def list_directory(self, path, **record_fields):
        """Returns the names in a directory."""
        handle = (await self.ask(sftp.OpenDir, path, **record_fields)).handle
        names = []
        while True:
            try:
                names += [row.name for row in (await self.ask(sftp.ReadDir, handle, **record_fields)).names]
            except StatusError as error:
                if error.status.code != sftp.EOF:
                    raise
                break
        await self.ask(sftp.Close, handle, **record_fields)
        return names
