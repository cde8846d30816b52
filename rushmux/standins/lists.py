"""A stand-in for the source of the endpoint list, which forwards nodes' reports to edges with a delay.

It knows a node only by its connection and reports.  Changes reach the edges in order, after `lag` seconds.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import structlog

from rushmux.nodewire import WireError, messages
from rushmux.planner.server import PeerConnection
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.standins.fault_control import FaultInjectingServer

MAX_NODES = 10_000
"""The largest number of entries that edges accept."""
MAX_SETTLE_TIME = 3.0
"""Seconds until a new source publishes its list even if cells are missing."""
REMOVED_RETENTION = 600.0
"""Seconds for which the list keeps a removed node."""
PERCENT = 100
REMOVED = "gone"
LAG_FAULT, SILENT_FAULT = "lag", "silent"


class Published(NamedTuple):
    """A published entry, and the time of its last change."""

    entry: messages.Entry
    since: float


class ListSource(FaultInjectingServer):
    """The source of the endpoint list.

    Args:
        cells: The number of cells.
        lag: The delay of changes, seconds.
        log: The logger.
        record: Called with `(kind, **fields)` for each published change.
        start: The incarnation.
        usage_period: Seconds between usage reports to nodes; 0: none.
        nominal_rates: Nominal units per second of each folder's plan.
        accepts_faults: Whether peers may inject faults.
    """

    def __init__(
        self,
        cells: int,
        lag: float,
        log: structlog.typing.FilteringBoundLogger,
        record: Callable[..., None],
        *,
        start: str = "0",
        usage_period: float = 0.0,
        nominal_rates: Mapping[str, float] | None = None,
        accepts_faults: bool = False,
    ):
        super().__init__("lists", start, log)
        self.cells, self.lag, self.record, self.accepts_faults = cells, lag, record, accepts_faults
        self.usage_period, self.nominal_rates = usage_period, nominal_rates or {}
        self.version = 0
        self._reported: dict[str, messages.Entry] = {}
        self._published: dict[str, Published] = {}
        self._edges: dict[PeerConnection, bool] = {}
        self._nodes: dict[PeerConnection, str] = {}
        self._used: dict[str, float] = {}
        self._last_publish_at = 0.0
        self._silent = self._settled = False
        self._metering: asyncio.Task | None = None

    async def open(self, host: str, port: int) -> int:
        """Starts to listen; returns the port."""
        self.loop = asyncio.get_running_loop()
        self.loop.call_later(MAX_SETTLE_TIME, self._settle)
        await self.listen(host, port)
        if self.usage_period:
            self._metering = self.loop.create_task(self._report_usage())
        return self.port

    async def close(self) -> None:
        """Closes the server."""
        if self._metering:
            self._metering.cancel()
        await self.close_server()

    def on_peer_connected(self, peer: PeerConnection) -> None:
        """Sends the whole list to an edge."""
        if peer.hello.peer.startswith("edge"):
            self._edges[peer] = True
            self._send_snapshot(peer)

    def on_peer_disconnected(self, peer: PeerConnection) -> None:
        """Marks a node as removed when its last connection ends."""
        self._edges.pop(peer, None)
        name = self._nodes.pop(peer, None)
        if name is not None and name not in self._nodes.values():
            entry = messages.Entry()
            entry.CopyFrom(self._reported[name])
            entry.condition = REMOVED
            self._on_entry(entry)

    def on_message(self, peer: PeerConnection, name: str, body) -> None:
        """Handles a node's report, or a request to inject a fault."""
        if name == "report":
            self._on_report(peer, body)
        elif name == "trouble" and self.accepts_faults:
            self.on_fault_request(peer, body)
        else:
            raise WireError(f"a message '{name}' is not for the list source")

    def _on_report(self, peer: PeerConnection, report: messages.Report) -> None:
        entry = report.entry
        if len(self._reported) >= MAX_NODES and entry.node not in self._reported:
            raise WireError(f"more than {MAX_NODES} nodes")
        if entry.cell >= self.cells or entry.node != peer.hello.peer:
            raise WireError(f"invalid report of {entry.node}, cell {entry.cell} from {peer.hello.peer}")
        self._nodes[peer] = entry.node
        for used in report.used:
            self._used[used.volume] = self._used.get(used.volume, 0.0) + used.units
        self._on_entry(entry)

    def start_fault(self, kind: str, size: float = 0.0, seconds: float = 0.0) -> None:
        """Starts `lag` (changes are `size` seconds late) or `silent` (nothing is sent)."""
        if kind not in (LAG_FAULT, SILENT_FAULT):
            raise WireError(f"unknown fault '{kind}'")
        former_lag = self.lag
        if kind == LAG_FAULT:
            self.lag = size
        else:
            self._silent = True
        if seconds:
            self.loop.call_later(seconds, self._end_fault, kind, former_lag)

    def _end_fault(self, kind: str, former_lag: float) -> None:
        if kind == LAG_FAULT:
            self.lag = former_lag
        else:
            self._silent = False
            self._send_snapshots()

    def _on_entry(self, entry: messages.Entry) -> None:
        """Publishes a change after the lag; an unchanged entry updates only the free space."""
        known = self._reported.get(entry.node)
        self._reported[entry.node] = entry
        if known is not None and _identity(known) == _identity(entry):
            if entry.node in self._published:
                self._published[entry.node].entry.free = entry.free
            return
        if not self._settled:  # not every cell has had a node yet
            self._published[entry.node] = Published(entry, self.loop.time())
            if len({published.entry.cell for published in self._published.values()}) == self.cells:
                self._settle()
            return
        # Not before an earlier change, which may have had a longer lag.
        self._last_publish_at = max(self._last_publish_at, self.loop.time() + self.lag)
        self.loop.call_at(self._last_publish_at, self._publish, Published(entry, self.loop.time()))

    def _settle(self) -> None:
        if not self._settled:
            self._settled = True
            self._send_snapshots()

    def _publish(self, change: Published) -> None:
        self.version += 1
        self._published[change.entry.node] = change
        self._forget_removed()
        self.record("shown", node=change.entry.node, condition=change.entry.condition)
        if not self._silent:
            listing = self._listing([change], is_snapshot=False)
            for peer in self._edges:
                peer.send(listing=listing)

    def _forget_removed(self) -> None:
        for name, published in list(self._published.items()):
            age = self.loop.time() - published.since
            if published.entry.condition == REMOVED and age > REMOVED_RETENTION:
                del self._published[name]

    def _listing(self, changes: Iterable[Published], is_snapshot: bool) -> messages.Listing:
        listing = messages.Listing(version=self.version, whole=is_snapshot, cells=self.cells)
        for change in changes:
            entry = listing.entries.add()
            entry.CopyFrom(change.entry)
            entry.age += int((self.loop.time() - change.since) * TICKS_PER_SECOND)
        return listing

    def _send_snapshots(self) -> None:
        for peer in self._edges:
            self._send_snapshot(peer)

    def _send_snapshot(self, peer: PeerConnection) -> None:
        if self._settled and self._published and not self._silent:
            peer.send(listing=self._listing(self._published.values(), is_snapshot=True))

    async def _report_usage(self) -> None:
        """Sends the nodes the fleet's usage by folder after each period."""
        while True:
            await asyncio.sleep(self.usage_period)
            used, self._used = self._used, {}
            meter = messages.Meter(
                used=[
                    messages.Used(volume=folder, percent=self._percent_of_nominal(folder, units))
                    for folder, units in used.items()
                    if folder in self.nominal_rates
                ]
            )
            for peer in self._nodes:
                peer.send(meter=meter)

    def _percent_of_nominal(self, folder: str, units: float) -> int:
        return int(PERCENT * units / (self.nominal_rates[folder] * self.usage_period))


def _identity(entry: messages.Entry) -> tuple[str, str, int, int]:
    """Returns the fields whose change is published."""
    return entry.condition, entry.start, entry.port, entry.cell
