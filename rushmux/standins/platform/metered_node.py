"""A fake storage node that records when units arrive, with faulty usage reports and late commands."""

from __future__ import annotations

import asyncio
import contextlib
import random
import select
import socket
from collections.abc import Iterable
from enum import StrEnum
from functools import partial

from rushmux.resp import encode_bulk
from rushmux.standins.limit_judge import UnitArrival
from rushmux.standins.platform.messages import NULL, option_of, success_reply
from rushmux.standins.platform.node import FakeNode, NodeServerConnection

BUSY, FAILED = b"-BUSY\r\n", b"-ERR failed\r\n"
METER_CHANGE_TIME = 2.0
"""Seconds from the start until a LATE meter begins and a LOST one stops."""
MAX_UNTRUE_USAGE = 300
"""Percent."""
VALID_USAGE = encode_bulk(b"used=40")
MALFORMED_USAGE = (encode_bulk(b"used=x"), encode_bulk(b""), NULL)
ACCEPT_BACKLOG = 100
BLOCKING_CONNECTIONS = 2
"""Fill the accept queue of a listener with a backlog of 0."""


class Meter(StrEnum):
    """How a node reports the fleet's usage of a volume."""

    STEADY = "steady"
    MISSING = "missing"
    LATE = "late"
    """Nothing at first."""
    LOST = "lost"
    """Nothing after some time."""
    FLICKERING = "flickering"
    UNTRUE = "untrue"
    """Random values."""
    MALFORMED = "malformed"


class NodeFault(StrEnum):
    """A node's fault apart from its meter."""

    NONE = "none"
    ERRORS = "errors"
    """Commands are rejected, fail, hang, or lose their connection."""
    HELD = "held"
    """Commands are delayed in transit and arrive together.

    Those on a connection that the gateway closed meanwhile never arrive.  A hanging node differs: the
    commands unread in its socket have arrived.
    """
    LATE_CONNECTIONS = "late connections"
    """New connections are established late and together."""


class _HoldableConnection(NodeServerConnection):
    """A connection that is not read while its node is held."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        if self.node.is_held:
            transport.pause_reading()


def _has_ended(connection: NodeServerConnection) -> bool:
    # Whether the peer closed or reset the connection, even with unread data.
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class MeteredNode(FakeNode):
    """A fake storage node that records when units arrive.

    Attributes:
        is_held: Whether commands are held back at the moment.
        arrivals: Each command's arrival and units.
    """

    def __init__(
        self, name: str, meter: Meter, fault: NodeFault, rng: random.Random, service_time: float = 0.02
    ):
        """Creates a node; `service_time`: the longest that a command takes, in seconds."""
        super().__init__(self._respond)
        self.service_time = service_time
        self.name = name
        self.meter = meter
        self.fault = fault
        self.arrivals: list[UnitArrival] = []
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._listener: socket.socket | None = None
        self._accepting: set[asyncio.Task] = set()
        self._blockers: list[socket.socket] = []
        self.is_held = False

    async def open(self, port: int = 0) -> None:
        """Listens; port 0 chooses a free one."""
        self._listener = socket.create_server(("127.0.0.1", port), backlog=ACCEPT_BACKLOG)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            accepted, _ = self._listener.accept()
            make_protocol = partial(_HoldableConnection, self)
            task = self._loop.create_task(self._loop.connect_accepted_socket(make_protocol, accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _respond(self, arguments: list[bytes]) -> Iterable:
        volume, units = option_of(arguments, "volume"), float(option_of(arguments, "units"))
        op_id = arguments[2].decode()
        self.arrivals.append(UnitArrival(self._loop.time(), volume, op_id, units, self.name))
        delay = self._rng.uniform(0, self.service_time)
        if self.fault is NodeFault.ERRORS:
            steps = ([success_reply(used=self._usage_element())], [BUSY], [FAILED], ["close"], ["hang"])
            return [delay, *self._rng.choices(steps, (60, 10, 10, 10, 10))[0]]
        return [delay, success_reply(used=self._usage_element())]

    def _usage_element(self) -> bytes:
        # The reply's element with the fleet's usage, or null.
        usage = VALID_USAGE
        has_changed = self._loop.time() - self._started_at > METER_CHANGE_TIME
        if self.meter is Meter.UNTRUE:
            usage = encode_bulk(b"used=%d" % self._rng.randrange(MAX_UNTRUE_USAGE))
        elif self.meter is Meter.MALFORMED:
            usage = self._rng.choice(MALFORMED_USAGE)
        is_missing = {
            Meter.MISSING: True,
            Meter.LATE: not has_changed,
            Meter.LOST: has_changed,
            Meter.FLICKERING: self._rng.random() < 1 / 2,
        }
        return NULL if is_missing.get(self.meter, False) else usage

    async def inject_fault(self, duration: float) -> None:
        """Delays commands or connections for so many seconds if that is the node's fault."""
        if self.fault is NodeFault.HELD:
            self._hold(True)
            await asyncio.sleep(duration)
            self._hold(False)
        elif self.fault is NodeFault.LATE_CONNECTIONS:
            self._block_connects()
            await asyncio.sleep(duration)
            self._unblock_connects()

    def _hold(self, is_held: bool) -> None:
        self.is_held = is_held
        for connection in list(self.connections):
            if is_held:
                connection.transport.pause_reading()
            elif _has_ended(connection):
                connection.transport.abort()
            else:
                connection.transport.resume_reading()

    def _block_connects(self) -> None:
        # The kernel ignores connects while the accept queue is full; the client's kernel retries after 1 s.
        self._loop.remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(BLOCKING_CONNECTIONS):
            blocker = socket.socket()
            blocker.setblocking(False)
            blocker.connect_ex(("127.0.0.1", self.port))
            self._blockers.append(blocker)
        for connection in list(self.connections):  # gateways would reuse open connections
            connection.transport.abort()

    def _unblock_connects(self) -> None:
        for blocker in self._blockers:
            blocker.close()
        self._blockers.clear()
        self._listener.listen(ACCEPT_BACKLOG)
        self._loop.add_reader(self._listener, self._accept)

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        self._loop.remove_reader(self._listener)
        self._listener.close()
        for blocker in self._blockers:
            blocker.close()
        super().close()
