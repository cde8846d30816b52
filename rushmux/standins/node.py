"""A stand-in storage node, which stores data, models service times and injects faults on request."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

import structlog

from rushmux.nodewire import VERSION, FrameReader, WireError, frame, messages
from rushmux.planner.admin_client import Address
from rushmux.planner.server import PeerConnection
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.standins import shed_effects
from rushmux.standins.fault_control import FaultInjectingServer
from rushmux.standins.service_model import ServiceModel, Shape, run_noisy_neighbour
from rushmux.standins.store import DiskFullError, Store
from rushmux.standins.usage_meter import UsageMeter

REPORT_INTERVAL = 1.0
"""Seconds between reports to the list source."""
RECONNECT_DELAY = 0.3
"""Seconds before the node connects to the list source again."""
MAX_STUCK_ATTEMPTS = 10_000
"""Attempts that the fault `stuck` holds; further ones are lost."""
READ_SIZE = 1 << 16
SERVED_CODES = (messages.DONE, messages.MISSING, messages.CONFLICT)
FAULT_TEXT = "in trouble"
"""The error text of attempts that fail because of a fault."""


class Fault(StrEnum):
    """The faults of a node; the meaning of their size is in brackets."""

    SILENT = "silent"  # no reply is sent
    STUCK = "stuck"  # attempts are held, and run when the fault ends
    SLOW = "slow"  # work takes longer (factor)
    ERRORS = "errors"  # attempts fail at once (probability)
    LOST = "lost"  # attempts are lost (probability)
    RESETS = "resets"  # all connections are reset, once
    DRAIN = "drain"  # the node drains until it is restarted
    DISK = "disk"  # the disk is full
    NOISY_NEIGHBOUR = "neighbour"  # another program slows the machine at intervals (factor)
    UNMETERED = "unmetered"  # replies carry no usage
    UNANSWERED = "unanswered"  # replies are lost (probability)


class Identity(NamedTuple):
    """A node's description of itself."""

    name: str
    cell: int
    zone: str
    advertised: Address | None = None
    """The address for edges, if not the one listened on."""


class Node(FaultInjectingServer):
    """A node process; a restart is a new `Node` with the same store.

    Args:
        identity: Its name and location.
        store: Its disk.
        endpoint_sources: Address of the list source, or of all planners.
        shape: Its machine.
        seed: The seed of its random draws and its incarnation.
        cold: Whether it begins with a slow start.
        log: The logger.
        record: Called with `(kind, **fields)` for each event.
        accepts_faults: Whether peers may inject faults.
    """

    def __init__(
        self,
        identity: Identity,
        store: Store,
        endpoint_sources: Address | Sequence[Address],
        shape: Shape,
        *,
        seed: int,
        cold: bool,
        log: structlog.typing.FilteringBoundLogger,
        record: Callable[..., None],
        accepts_faults: bool = False,
    ):
        super().__init__(identity.name, f"{seed & 0xFFFFFFFFFFFF:012x}", log.bind(node=identity.name))
        self.cell, self.zone, self.advertised = identity.cell, identity.zone, identity.advertised
        self.store, self.shape, self.cold = store, shape, cold
        self.endpoint_sources: Sequence[Address] = (
            [endpoint_sources] if isinstance(endpoint_sources[0], str) else endpoint_sources
        )
        self.record, self.accepts_faults = record, accepts_faults
        self.state = "ready"
        self.usage_meter = UsageMeter()
        self._rng = random.Random(seed)
        self._faults: dict[Fault, float] = {}
        self._fleet_usage: dict[str, int] | None = None  # percent of a folder's nominal rate
        self._uncommitted: list[tuple[PeerConnection, messages.Execute, messages.Outcome]] = []
        self._stuck: list[tuple[PeerConnection, messages.Execute]] = []
        self._in_service: dict[tuple[PeerConnection, int], Callable[[bool], None]] = {}
        self._overloaded = False
        self._reporting: asyncio.Task | None = None

    async def open(self, host: str, port: int) -> int:
        """Starts the machine and the server; returns the port."""
        self.loop = asyncio.get_running_loop()
        self._started_at = self.loop.time()
        self.model = ServiceModel(self.shape, self._rng, self.cold, self._on_overload)
        self.host = host
        await self.listen(host, port)
        self.record(
            "start",
            node=self.name,
            cell=self.cell,
            cold=self.cold,
            start=self.incarnation,
            per_second=self.model.units_per_second(),
            cold_start=self.shape.cold_start,
            warm_within=self.shape.warm_within,
        )
        self._reporting = self.loop.create_task(self._report_until_cancelled())
        return self.port

    async def close(self) -> None:
        """Closes the node as a kill does: nothing more is answered."""
        self.model.stop()
        if self._reporting:
            self._reporting.cancel()
        await self.close_server()
        self.store.close()

    def _on_overload(self) -> None:
        """Stops serving, because a cold node was overloaded."""
        self._overloaded = True
        self.record("fell", node=self.name)
        self.log.error("node.fell")
        if self._reporting:
            self._reporting.cancel()
        self.server.close()
        self.abort_connections()

    # Reports to the list source.

    def age(self) -> int:
        """Ticks since the start, for hellos and reports; a warm node counts as warmed up."""
        warm_for = 0 if self.cold else self.shape.warm_within
        return int((self.loop.time() - self._started_at + warm_for) * TICKS_PER_SECOND)

    def _report(self) -> messages.Message:
        host, port = self.advertised or (self.host, self.port)
        entry = messages.Entry(
            node=self.name,
            host=host,
            port=port,
            cell=self.cell,
            zone=self.zone,
            condition=self.state,
            start=self.incarnation,
            age=self.age(),
            total=self.store.limit,
            free=self.store.free,
        )
        usage = self.usage_meter.take_period()
        used = [messages.Used(volume=folder, units=units) for folder, units in usage.items()]
        return messages.Message(report=messages.Report(entry=entry, used=used, out=self.model.in_flight))

    async def _report_until_cancelled(self) -> None:
        """Reports to the list source, or to the planner that accepts reports."""
        attempt = 0
        while True:
            with contextlib.suppress(OSError):
                await self._report_to(self.endpoint_sources[attempt % len(self.endpoint_sources)])
            attempt += 1
            await asyncio.sleep(RECONNECT_DELAY)

    async def _report_to(self, address: Address) -> None:
        """Reports to an address until the connection ends."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            hello = messages.Hello(version=VERSION, peer=self.name, start=self.incarnation)
            writer.write(frame(messages.Message(hello=hello)))
            reading = self.loop.create_task(self._read_from_source(reader))
            try:
                while not reading.done():
                    writer.write(frame(self._report()))
                    await writer.drain()
                    await asyncio.sleep(REPORT_INTERVAL)
            finally:
                reading.cancel()
        finally:
            writer.close()

    async def _read_from_source(self, reader: asyncio.StreamReader) -> None:
        frames = FrameReader()
        while data := await reader.read(READ_SIZE):
            for message in frames.feed(data):
                if message.WhichOneof("body") == "floor":
                    self._raise_fencing_floor(message.floor.number)
                elif message.WhichOneof("body") == "meter":
                    self._fleet_usage = {used.volume: used.percent for used in message.meter.used}

    def _raise_fencing_floor(self, version: int) -> None:
        """Rejects attempts of edges with older policies from now on, also after a restart."""
        if version > self.store.fencing_floor:
            self.store.raise_fencing_floor(version)
            self.log.info("node.floor", number=version)

    # Messages from edges.

    def on_message(self, peer: PeerConnection, name: str, body) -> None:
        """Handles a message of an edge, or a request to inject a fault."""
        if name == "execute":
            self._on_attempt(peer, body)
        elif name == "withdraw":
            self._on_cancel(peer, body)
        elif name == "probe":
            self._on_load_request(peer, body)
        elif name == "trouble" and self.accepts_faults:
            self.on_fault_request(peer, body)
        else:
            raise WireError(f"a message '{name}' is not for a node")

    def _on_cancel(self, peer: PeerConnection, request: messages.Withdraw) -> None:
        on_done = self._in_service.pop((peer, request.corr), None)
        if on_done is not None and self.model.cancel(on_done):
            self.record("withdrawn", node=self.name, edge=peer.hello.peer)

    def _on_load_request(self, peer: PeerConnection, request: messages.Probe) -> None:
        if self._overloaded or Fault.SILENT in self._faults or Fault.STUCK in self._faults:
            return
        peer.send(load=messages.Load(corr=request.corr, **self.model.load_sample()._asdict()))

    def _on_attempt(self, peer: PeerConnection, body: messages.Execute) -> None:
        if self._overloaded:
            return
        self._record_attempt(peer, body)
        # An edge whose newest known version is below the floor was restarted from an old disk.
        if 0 < body.knows < self.store.fencing_floor:
            self.record("fenced", node=self.name, op=body.op, execution=body.execution, policy=body.policy)
            self._answer(peer, body, messages.Outcome(code=messages.BUSY, floor=self.store.fencing_floor))
        elif self._occurs(Fault.LOST):
            return
        elif Fault.STUCK in self._faults:
            if len(self._stuck) < MAX_STUCK_ATTEMPTS:
                self._stuck.append((peer, body))
        else:
            self._submit(peer, body)

    def _record_attempt(self, peer: PeerConnection, body: messages.Execute) -> None:
        self.record(
            "execution",
            node=self.name,
            cell=self.cell,
            edge=peer.hello.peer,
            op=body.op,
            execution=body.execution,
            volume=body.volume,
            lane=body.lane,
            key=body.key,
            units=body.units,
            what=body.WhichOneof("what"),
            time_out=body.time_out,
            policy=body.policy,
        )

    def _submit(self, peer: PeerConnection, body: messages.Execute) -> None:
        """Submits an attempt to the machine, which rejects it if its queue is full."""
        if self._occurs(Fault.ERRORS):
            self._answer(peer, body, messages.Outcome(code=messages.FAILED, error=FAULT_TEXT))
            return
        key = f"{body.volume}/{body.key}" if body.key else ""

        def on_done(dropped: bool) -> None:
            self._in_service.pop((peer, body.corr), None)
            self._complete(peer, body, dropped)

        is_write = body.WhichOneof("what") in ("write", "change")
        if self.model.submit(body.units, key, is_write, body.time_out / TICKS_PER_SECOND, on_done):
            self._in_service[peer, body.corr] = on_done
        elif not self._overloaded:
            self._answer(peer, body, messages.Outcome(code=messages.BUSY))

    def _complete(self, peer: PeerConnection, body: messages.Execute, dropped: bool) -> None:
        """Executes an attempt at the end of its service time; it takes effect whole or not at all."""
        if self._overloaded:
            return
        if dropped:
            self.record("dropped", node=self.name, op=body.op, execution=body.execution)
            return
        what = body.WhichOneof("what")
        if what == "read":
            self._answer(peer, body, self.store.read(body.read))
        elif what == "look":
            self._answer(peer, body, self.store.look(body.volume, body.look))
        else:
            self._change(peer, body, what)

    def _change(self, peer: PeerConnection, body: messages.Execute, what: str) -> None:
        """Executes an attempt that changes the store; the next commit answers it."""
        if not self._uncommitted:
            self.store.begin()
            self.loop.call_soon(self._commit)
        try:
            outcome = self._apply(body, what)
        except DiskFullError as error:
            outcome = messages.Outcome(code=messages.FAILED, error=f"disk full: {error}")
        self._uncommitted.append((peer, body, outcome))

    def _apply(self, body: messages.Execute, what: str) -> messages.Outcome:
        if Fault.DISK in self._faults and what in ("write", "change"):
            raise DiskFullError(FAULT_TEXT)
        if what == "write":
            return self.store.write(body.write)
        if what == "drop":
            return self.store.drop(body.drop)
        if what != "change":
            return messages.Outcome(code=messages.FAILED, error="nothing to do")
        version = self.store.version
        outcome = self.store.change(body.volume, body.change, self.loop.time())
        if self.store.version != version:
            objects = shed_effects.objects_of(body.change)
            self.record("effect", node=self.name, mark=body.change.mark, op=body.op, objects=objects)
        return outcome

    def _commit(self) -> None:
        self.store.commit()
        uncommitted, self._uncommitted = self._uncommitted, []
        for peer, body, outcome in uncommitted:
            self._answer(peer, body, outcome)

    def _answer(self, peer: PeerConnection, body: messages.Execute, outcome: messages.Outcome) -> None:
        """Sends an outcome with load and usage, unless a fault suppresses it."""
        outcome.corr, outcome.inflight = body.corr, self.model.in_flight
        if outcome.code in SERVED_CODES:
            outcome.from_others = self.usage_meter.add(body.volume, peer.hello.peer, body.units)
            if self._fleet_usage is not None:
                outcome.fleet_use = 1 + self._fleet_usage.get(body.volume, 0)
        if Fault.SILENT in self._faults or self._occurs(Fault.UNANSWERED):
            return
        if Fault.UNMETERED in self._faults:
            outcome.from_others = outcome.fleet_use = 0
        self.record("outcome", node=self.name, op=body.op, execution=body.execution, code=outcome.code)
        peer.send(outcome=outcome)

    # Faults.

    def _occurs(self, fault: Fault) -> bool:
        """Draws whether a fault with a probability occurs now."""
        return fault in self._faults and self._rng.random() < self._faults[fault]

    def start_fault(self, kind: str, size: float = 0.0, seconds: float = 0.0) -> None:
        """Starts a fault; see `FaultInjectingServer`."""
        try:
            fault = Fault(kind)
        except ValueError as error:
            raise WireError(f"unknown fault '{kind}'") from error
        self.log.warning("trouble", kind=kind, size=size, seconds=seconds)
        if fault is Fault.RESETS:
            self.record("reset", node=self.name)
            self.abort_connections()
            return
        if fault is Fault.DRAIN:
            self.state = "draining"
            return
        self._faults[fault] = size
        if fault is Fault.NOISY_NEIGHBOUR:
            run_noisy_neighbour(self.loop, lambda: self.model, size, self.loop.time() + seconds)
        if fault is Fault.SLOW:
            self.model.slowdown = size
        if seconds:
            self.loop.call_later(seconds, self._end_fault, fault)

    def _end_fault(self, fault: Fault) -> None:
        self._faults.pop(fault, None)
        self.model.slowdown = self._faults.get(Fault.SLOW, 1.0)
        if fault is Fault.STUCK:
            stuck, self._stuck = self._stuck, []
            for peer, body in stuck:
                self._submit(peer, body)
