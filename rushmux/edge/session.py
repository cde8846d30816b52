"""A client session: reads packets, runs each request under its own deadline, and writes replies.

A request that fails gets an error reply; the session ends only if the packet stream itself is invalid.
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

REPLY_MARGIN = 0.05  # seconds of a request's time limit that are reserved for sending the reply
READ_SIZE = 1 << 17  # bytes of one read from the socket
MAX_UNREAD = 1 << 20  # bytes of unread replies; with more, no further requests are read
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
    """The session cannot continue; the text is the logged reason."""


class Request(NamedTuple):
    """A pending request."""

    packet: tuple
    number: int
    """Counts the session's packets that need a reply."""
    access: Access
    admission: Admission


class Session:
    """One client connection.

    Attributes:
        tasks: The tasks of pending requests.
    """

    def __init__(self, edge: "Edge", name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.edge, self.name, self.reader, self.writer = edge, name, reader, writer
        self.log, self.loop = edge.log.bind(session=name), asyncio.get_running_loop()
        self.limits = edge.deployment.sessions
        self.client_closed: asyncio.Event = writer.transport.get_protocol().closed
        self.replies = CoalescingWriter(writer)
        self.packets = sftp.PacketSplitter()
        self.packet_started_at: float | None = None  # loop time; None: no packet is incomplete
        self.established, self.request_count = False, 0
        self.handles = HandleTable(name, self.limits.max_handles)
        self.handlers = RequestHandlers(edge, self.handles)
        self.order = RequestOrder()
        self.request_completed = asyncio.Event()
        self.concurrency = asyncio.Semaphore(self.limits.max_concurrent)
        self.tasks: dict[asyncio.Task, bool] = {}
        self.unread_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Serves until the client disconnects, violates the protocol, or the edge cancels the session."""
        reason = "disconnected"
        watcher = self.loop.create_task(self._cancel_when_client_closes())
        try:
            while True:
                await self._read_requests()
        except (SessionEndedError, sftp.ProtocolError) as error:
            reason = str(error)
        except OSError as error:
            reason = f"connection error: {error}"
        finally:
            watcher.cancel()
            await self._close(reason)

    async def _cancel_when_client_closes(self) -> None:
        """Ends the client's requests at once when it closes, also while further ones wait to be read."""
        await self.client_closed.wait()
        self._cancel_tasks()

    def _cancel_tasks(self) -> None:
        for task in list(self.tasks):
            task.cancel()

    async def _close(self, reason: str) -> None:
        if not self.edge.closing:
            self._cancel_tasks()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.handles.release_all()
        if self.unread_timer is not None:
            self.unread_timer.cancel()
        self.replies.flush()
        self.writer.close()
        self.log.info("session.closed", reason=reason, requests=self.request_count)

    # Packets.

    async def _read_requests(self) -> None:
        """Reads from the socket once and starts the requests that the data completes."""
        for body in self._complete_packets(await self._read()):
            await self._on_packet(body)
            if self.unread_timer is not None:
                self.replies.flush()
                await self.writer.drain()  # no further requests until the client has read its replies

    async def _read(self) -> bytes:
        # Without the timeout, a client that sends a byte a second could occupy a session forever.
        time_left = None
        if self.packet_started_at is not None:
            time_left = self.packet_started_at + self.limits.packet_timeout - self.loop.time()
        try:
            async with asyncio.timeout(time_left):
                data = await self.reader.read(READ_SIZE)
        except TimeoutError:
            raise SessionEndedError(f"packet incomplete after {self.limits.packet_timeout} s") from None
        if not data:
            raise SessionEndedError(
                "disconnected within a packet" if self.packets.has_partial_packet else "disconnected"
            )
        return data

    def _complete_packets(self, data: bytes) -> list[bytes]:
        bodies = self.packets.feed(data)
        if not self.packets.has_partial_packet:
            self.packet_started_at = None
        elif bodies or self.packet_started_at is None:
            self.packet_started_at = self.loop.time()
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
            await self._start_request(packet)

    def _establish(self, packet) -> None:
        if not isinstance(packet, sftp.Init):
            raise SessionEndedError(f"{type(packet).__name__} before Init")
        self.established = True
        self.log.info("session.established", version=packet.version)
        extensions = (*EXTENSIONS, ("session@rushmux", self.name.encode()))
        self._reply(sftp.Version(min(packet.version, sftp.VERSION), extensions))

    # Requests.

    async def _start_request(self, packet) -> None:
        self.request_count += 1
        if self.edge.closing:
            self._reply(status(packet.request_id, sftp.FAILURE, "shed: the edge is closing"))
            return
        while len(self.order) >= self.limits.max_pipelined:
            self.request_completed.clear()
            await self.request_completed.wait()
        if self.client_closed.is_set():
            raise SessionEndedError("disconnected")
        access = access_of(packet, self.handles)
        request = Request(packet, self.request_count, access, self.order.admit(access))
        task = self.loop.create_task(self._answer(request))
        self.tasks[task] = True
        task.add_done_callback(self.tasks.pop)

    async def _answer(self, request: Request) -> None:
        """Runs a request and sends its reply."""
        try:
            reply = await self._execute(request)
        except Exception as error:  # must not end the session's other requests
            reply = self._error_status(request.packet, error)
        finally:
            self.order.complete(request.admission.number)
            self.request_completed.set()
        self._reply(reply)

    async def _execute(self, request: Request):
        """Runs a request's handler; it is shed only if nothing that was done for it can be seen."""
        runners: list[OperationRunner] = []
        try:
            return await self._handle(request, runners)
        except OperationShedError:
            if any(runner.may_have_changed for runner in runners):
                raise OperationFailedError from None
            raise

    async def _handle(self, request: Request, runners: list[OperationRunner]):
        """Runs a request's handler within its time limit; adds the runners of its operations to `runners`."""
        deadline = self.loop.time() + self.limits.request_timeout - REPLY_MARGIN
        tag = f"{self.name.rsplit('/', 1)[1]}.{request.number}"

        def runner_for(folder: str) -> OperationRunner:
            runner = OperationRunner(self.edge.driver, folder, tag, deadline)
            runners.append(runner)
            return runner

        async with asyncio.timeout_at(deadline):
            for predecessor in request.admission.predecessors:
                await predecessor.wait()
            await self._wait_for_recovery(request.access, deadline)
            handler = self.handlers.handler_for(request.packet)
            # Stock clients send hundreds of reads ahead.  Started all at once, most would miss their latency
            # objective while queued, and be shed.
            async with self.concurrency:
                return await handler(request.packet, runner_for)

    async def _wait_for_recovery(self, access: Access, deadline: float) -> None:
        """Waits until these folders' writes recovered from an earlier start are flushed or discarded."""
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

    # Replies.

    def _reply(self, packet) -> None:
        self.replies.write(sftp.encode(packet))
        # Bounds the replies buffered for a client that does not read.
        if self.replies.buffered_bytes() > MAX_UNREAD and self.unread_timer is None:
            self.unread_timer = self.loop.call_later(self.limits.unread_timeout, self._on_unread_timeout)

    def _on_unread_timeout(self) -> None:
        self.unread_timer = None
        if self.replies.buffered_bytes() > MAX_UNREAD:
            self.log.warning("session.client_not_reading", seconds=self.limits.unread_timeout)
            self.writer.transport.abort()
