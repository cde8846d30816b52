"""One client's session: packets in, replies out, each request under its own deadline.

Whatever happens to one request is its own reply; the session ends only where the stream itself cannot be
followed.
"""

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from rushmux.edge.errors import (
    EdgeError,
    ObjectCorruptedError,
    ObjectMissingError,
    OperationFailedError,
    OperationShedError,
    RequestRejectedError,
)
from rushmux.edge.handles import HandleTable
from rushmux.edge.operation_runner import OperationRunner
from rushmux.edge.request_access import access_of
from rushmux.edge.request_context import status
from rushmux.edge.request_handlers import EXTENSIONS, RequestHandlers
from rushmux.edge.request_ordering import Access, Admission, RequestOrder
from rushmux.edge.write_coalescing import CoalescingWriter
from rushmux.files import paths
from rushmux.sftp import packets as sftp

if TYPE_CHECKING:
    from rushmux.edge.edge import Edge

REPLY_MARGIN = 0.05  # seconds of a client's time that are reserved for the way of the reply
READ_SIZE = 1 << 17  # bytes of one read from the socket
MAX_UNREAD = 1 << 20  # bytes of replies that the client has not read, until no more of it is read
NOT_REQUESTS = (
    sftp.Init,
    sftp.Version,
    sftp.Status,
    sftp.Handle,
    sftp.Data,
    sftp.Names,
    sftp.Attrs,
    sftp.ExtendedReply,
)


class SessionEndedError(EdgeError):
    """The session cannot go on; the text is the reason that is logged."""


class Request(NamedTuple):
    """A request that is not answered yet."""

    packet: tuple
    number: int
    """Of the session's packets that need a reply."""
    access: Access
    admission: Admission


class Session:
    """A connection of a client from its first byte to its last.

    Attributes:
        tasks: One for each request that is not answered yet.
    """

    def __init__(self, edge: "Edge", name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.edge, self.name, self.reader, self.writer = edge, name, reader, writer
        self.log, self.loop = edge.log.bind(session=name), asyncio.get_running_loop()
        self.limits = edge.deployment.sessions
        self.replies = CoalescingWriter(writer)
        self.packets = sftp.PacketSplitter()
        self.packet_begun_at: float | None = None  # the loop's time; None: no packet is read in part
        self.established, self.request_count = False, 0
        self.handles = HandleTable(name, self.limits.max_handles)
        self.handlers = RequestHandlers(edge, self.handles)
        self.order = RequestOrder()
        self.request_completed = asyncio.Event()
        self.concurrency = asyncio.Semaphore(self.limits.max_concurrent)
        self.tasks: dict[asyncio.Task, bool] = {}
        self.unread_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Serves until the client leaves, breaks the protocol, or the edge cancels it."""
        reason = "left"
        try:
            while True:
                await self._read_requests()
        except (SessionEndedError, sftp.ProtocolError) as error:
            reason = str(error)
        except OSError as error:
            reason = f"broken: {error}"
        finally:
            await self._close(reason)

    async def _close(self, reason: str) -> None:
        if not self.edge.closing:
            for task in list(self.tasks):
                task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.handles.release_all()
        if self.unread_timer is not None:
            self.unread_timer.cancel()
        self.replies.flush()
        self.writer.close()
        self.log.info("session.closed", reason=reason, requests=self.request_count)

    # Packets in.

    async def _read_requests(self) -> None:
        """Reads once and begins the requests that this completes."""
        for body in self._complete_packets(await self._read()):
            await self._on_packet(body)
            if self.unread_timer is not None:
                self.replies.flush()
                await self.writer.drain()  # more is begun when its replies were taken

    async def _read(self) -> bytes:
        # A client that sends a byte a second would occupy a session with no packet ever complete.
        time_left = None
        if self.packet_begun_at is not None:
            time_left = self.packet_begun_at + self.limits.packet_timeout - self.loop.time()
        try:
            async with asyncio.timeout(time_left):
                data = await self.reader.read(READ_SIZE)
        except TimeoutError:
            raise SessionEndedError(f"a packet not whole after {self.limits.packet_timeout} s") from None
        if not data:
            raise SessionEndedError("left within a packet" if self.packets.has_partial_packet else "left")
        return data

    def _complete_packets(self, data: bytes) -> list[bytes]:
        bodies = self.packets.feed(data)
        if not self.packets.has_partial_packet:
            self.packet_begun_at = None
        elif bodies or self.packet_begun_at is None:
            self.packet_begun_at = self.loop.time()
        return bodies

    async def _on_packet(self, body: bytes) -> None:
        try:
            packet = sftp.decode(body)
        except sftp.ProtocolError as error:
            if error.request_id is None or not self.established:
                raise
            self.request_count += 1
            self.log.warning("session.bad_packet", reason=str(error))
            self._reply(status(error.request_id, sftp.BAD_MESSAGE, str(error)))
            return
        if not self.established:
            self._establish(packet)
        elif isinstance(packet, NOT_REQUESTS):
            raise SessionEndedError(f"{type(packet).__name__} in the middle of a session")
        else:
            await self._begin_request(packet)

    def _establish(self, packet) -> None:
        if not isinstance(packet, sftp.Init):
            raise SessionEndedError(f"{type(packet).__name__} before Init")
        self.established = True
        self.log.info("session.established", version=packet.version)
        extensions = (*EXTENSIONS, ("session@rushmux", self.name.encode()))
        self._reply(sftp.Version(min(packet.version, sftp.VERSION), extensions))

    # Requests.

    async def _begin_request(self, packet) -> None:
        self.request_count += 1
        if self.edge.closing:
            self._reply(status(packet.request_id, sftp.FAILURE, "shed: the edge is closing"))
            return
        while len(self.order) >= self.limits.max_pipelined:
            self.request_completed.clear()
            await self.request_completed.wait()
        access = access_of(packet, self.handles)
        request = Request(packet, self.request_count, access, self.order.admit(access))
        task = self.loop.create_task(self._answer(request))
        self.tasks[task] = True
        task.add_done_callback(self.tasks.pop)

    async def _answer(self, request: Request) -> None:
        """One request from its arrival to its one reply."""
        try:
            reply = await self._execute(request)
        except Exception as error:  # whatever it is: the session's other requests go on
            reply = self._error_status(request.packet, error)
        finally:
            self.order.complete(request.admission.number)
            self.request_completed.set()
        self._reply(reply)

    async def _execute(self, request: Request):
        deadline = self.loop.time() + self.limits.request_timeout - REPLY_MARGIN
        tag = f"{self.name.rsplit('/', 1)[1]}.{request.number}"

        def runner_for(folder: str) -> OperationRunner:
            return OperationRunner(self.edge.driver, folder, tag, deadline)

        async with asyncio.timeout_at(deadline):
            for predecessor in request.admission.predecessors:
                await predecessor
            await self._wait_for_recovery(request.access, deadline)
            handler = self.handlers.handler_for(request.packet)
            # A stock client sends hundreds of reads ahead; begun all at once, most would be past their
            # latency objective before their turn, and be shed.
            async with self.concurrency:
                return await handler(request.packet, runner_for)

    async def _wait_for_recovery(self, access: Access, deadline: float) -> None:
        """Waits until what an earlier start had buffered of the request's folders is on the nodes."""
        buffer = self.edge.buffer
        if buffer is not None and buffer.recovering:
            for path in access.paths:
                await buffer.wait_until_recovered(path[0] if path else "", deadline - REPLY_MARGIN)

    def _error_status(self, packet, error: Exception) -> sftp.Status:
        code, text = sftp.FAILURE, str(error)
        match error:
            case RequestRejectedError():
                code = error.status_code
            case paths.InvalidPathError():
                code = sftp.PERMISSION_DENIED
            case OperationShedError():
                retry = f"; try again in {error.retry_after:.1f} s" if error.retry_after else ""
                text = "shed: nothing was done" + retry
            case OperationFailedError() | TimeoutError():
                text = "terminated: it may have been done"
            case ObjectMissingError():
                pass
            case ObjectCorruptedError():
                self.log.error("object.corrupted", object=error.object_name)
            case _:
                self.log.exception("session.fault", request=type(packet).__name__)
                text = "a fault of the gateway; it was logged"
        return status(packet.request_id, code, text)

    # Replies out.

    def _reply(self, packet) -> None:
        self.replies.write(sftp.encode(packet))
        # A client that sends and never reads would make its replies pile up here.
        if self.replies.buffered_bytes() > MAX_UNREAD and self.unread_timer is None:
            self.unread_timer = self.loop.call_later(self.limits.unread_timeout, self._on_unread_timeout)

    def _on_unread_timeout(self) -> None:
        self.unread_timer = None
        if self.replies.buffered_bytes() > MAX_UNREAD:
            self.log.warning("session.client_not_reading", seconds=self.limits.unread_timeout)
            self.writer.transport.abort()
