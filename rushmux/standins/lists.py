"""A stand-in for the source of the list of nodes: it hears nodes, and tells edges, late.

It knows only whether a node's process runs and what that says of itself.  Changes reach the
edges `lag` seconds after they happened, in order.
"""

import asyncio

from rushmux.nodewire import WireError, messages
from rushmux.standins.fault_control import Obeying

MOST_NODES = 10_000  # entries kept: as many as edges take
SETTLE = 3.0  # seconds at most until a source that starts shows the nodes that have come
GONE_KEPT = 600.0  # seconds for which a node that is gone stays in the list
TROUBLES = ("lag", "silent")


class ListSource(Obeying):
    """One source.  `rates` gives the nominal rate of a folder (None: no meter), `period` its seconds."""

    def __init__(self, cells: int, lag: float, log, record, start="0", period=0.0, rates=None, obeys=False):
        super().__init__("lists", start, log)
        self.cells, self.lag, self.record, self.obeys = cells, lag, record, obeys
        self.period, self.rates = period, rates or {}
        self.entries, self.shown, self.version = {}, {}, 0
        self.edges, self.nodes, self.last, self.silent, self.used = {}, {}, 0.0, False, {}
        self.task, self.settled = None, False

    async def open(self, host, port):
        self.loop = asyncio.get_running_loop()
        self.loop.call_later(SETTLE, self.settle)
        await self.listen(host, port)
        if self.period:
            self.task = self.loop.create_task(self.meter())
        return self.port

    async def close(self):
        if self.task:
            self.task.cancel()
        await self.close_server()

    def on_peer_connected(self, peer):
        if peer.hello.peer.startswith("edge"):
            self.edges[peer] = True
            self.whole(peer)

    def on_peer_disconnected(self, peer):
        self.edges.pop(peer, None)
        name = self.nodes.pop(peer, None)
        if name is not None and name not in self.nodes.values():
            entry = messages.Entry()
            entry.CopyFrom(self.entries[name])
            entry.condition = "gone"
            self.changed(entry)

    def on_message(self, peer, name, body):
        if name == "report":
            if len(self.entries) >= MOST_NODES and body.entry.node not in self.entries:
                raise WireError(f"more than {MOST_NODES} nodes")
            if body.entry.cell >= self.cells or body.entry.node != peer.hello.peer:
                raise WireError(f"node {body.entry.node} of cell {body.entry.cell} does not belong here")
            self.nodes[peer] = body.entry.node
            for used in body.used:
                self.used[used.volume] = self.used.get(used.volume, 0.0) + used.units
            self.changed(body.entry)
        elif name == "trouble" and self.obeys:
            self.obey(peer, body)
        else:
            raise WireError(f"{name} is not for the source of the list")

    def begin(self, kind, size=0.0, seconds=0.0):
        """`lag`: changes come `size` seconds late; `silent`: nothing is told."""
        if kind not in TROUBLES:
            raise WireError(f"there is no trouble '{kind}'")
        before = self.lag
        if kind == "lag":
            self.lag = size
        else:
            self.silent = True
        if seconds:
            self.loop.call_later(seconds, self.end, kind, before)

    def end(self, kind, before):
        if kind == "lag":
            self.lag = before
        else:
            self.silent = False
            for peer in self.edges:
                self.whole(peer)

    def changed(self, entry):
        """Puts a change down for its time; a report that says nothing new changes nothing."""
        known = self.entries.get(entry.node)
        self.entries[entry.node] = entry
        if known is not None and (known.condition, known.start, known.port, known.cell) == (
            entry.condition,
            entry.start,
            entry.port,
            entry.cell,
        ):
            if entry.node in self.shown:
                self.shown[entry.node][0].free = entry.free
            return
        if not self.settled:  # a source that starts waits until each cell has a node
            self.shown[entry.node] = entry, self.loop.time()
            if len({shown.cell for shown, _ in self.shown.values()}) == self.cells:
                self.settle()
            return
        self.last = max(self.last, self.loop.time() + self.lag)  # later changes never overtake
        self.loop.call_at(self.last, self.push, entry, self.loop.time())

    def settle(self):
        if not self.settled:
            self.settled = True
            for peer in self.edges:
                self.whole(peer)

    def push(self, entry, at):
        self.version += 1
        self.shown[entry.node] = entry, at
        for name, (old, since) in list(self.shown.items()):
            if old.condition == "gone" and self.loop.time() - since > GONE_KEPT:
                del self.shown[name]
        self.record("shown", node=entry.node, condition=entry.condition)
        if not self.silent:
            listing = self.listing([(entry, at)], False)
            for peer in self.edges:
                peer.send(listing=listing)

    def listing(self, rows, whole):
        listing = messages.Listing(version=self.version, whole=whole, cells=self.cells)
        for entry, at in rows:
            told = listing.entries.add()
            told.CopyFrom(entry)
            told.age += int((self.loop.time() - at) * 10_000)
        return listing

    def whole(self, peer):
        if self.settled and self.shown and not self.silent:
            peer.send(listing=self.listing(list(self.shown.values()), True))

    async def meter(self):
        """Tells the nodes, each period, what the fleet served for each folder in the one before."""
        while True:
            await asyncio.sleep(self.period)
            used, self.used = self.used, {}
            told = [
                messages.Used(volume=folder, percent=int(100 * units / (self.rates[folder] * self.period)))
                for folder, units in used.items()
                if folder in self.rates
            ]
            for peer in self.nodes:
                peer.send(meter=messages.Meter(used=told))
