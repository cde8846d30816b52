"""One gateway on the platform: clients, nodes and discovery around the driver's core."""

import asyncio
from functools import partial

from rushmux import interface as say
from rushmux.driver import SECOND, SHED, Core
from rushmux.gateway import commands
from rushmux.gateway.discovery import Watch
from rushmux.gateway.listener import Listener
from rushmux.gateway.pool import Pool
from rushmux.resp import bulk

RESERVED = 24  # descriptors for what is neither a client nor a node
CLIENTS = 0.55  # of the others, for clients: at most a third of all hold requests, and some rest
NODES = 0.35  # of the others, for nodes; the rest is for connections that are just ending
FIRST_LIST = 1.0  # seconds that the first list is waited for: an agent that can answer does so at once
TELL = 30.0  # seconds between two lines on the traffic
FAILED, BUSY = b"-ERR failed\r\n", b"-BUSY\r\n"


class Front(Core):
    """The module, driven by the platform's protocol.  `epoch`: the calendar's seconds since 1970 at the
    loop's clock of nought.
    """

    def __init__(self, start, epoch, loop, log):
        super().__init__(start.terms, start.seed, log)
        self.start, self.epoch = start, epoch
        spare = max(16, start.sockets - RESERVED)
        self.pool = Pool(loop, int(spare * NODES), start.dial, start.idle)
        self.listener = Listener(loop, start, int(spare * CLIENTS), self.request, self.leave)
        self.watch_list = Watch(loop, start.discovery, log, self.told, start.known)
        self.conditions = {}  # node -> as the module was last told of it
        self.ended = False  # whether everything gets its answer at once: the stop is near

    async def open(self):
        self.members(say.RESTORED, self.start.known)
        self.watch_list.start()
        # Danger: what the agent has counts as told from the first moment, and the list in the file may be
        # old; a request that comes before the answer would be sent to a node that drains.
        await asyncio.wait([self.watch_list.first], timeout=FIRST_LIST)
        await self.listener.open(*self.start.listen)
        self.loop.call_later(TELL, self.tell)
        self.log.info("serves", listen="%s:%d" % self.start.listen, nodes=len(self.start.known))

    def tell(self):
        """A line on the traffic, with counts from the start."""
        listener, pool = self.listener, self.pool
        self.log.info(
            "clients",
            open=len(listener.clients),
            taken=listener.taken,
            refused=listener.bad,
            turned_away=listener.turned_away,
            silent=listener.silent,
            nodes=pool.count(),
            surplus=pool.surplus,
            rest_trusted=f"{pool.trust.most:g}",
        )
        self.loop.call_later(TELL, self.tell)

    # Clients.

    def request(self, command, slot):
        """An operation comes; its answer goes to its slot."""
        if command.op_id in self.taken:
            raise commands.Refused("the id is that of an open request")
        if self.ended or len(self.taken) >= self.start.held:
            slot.reply = BUSY
            return
        slot.op_id = command.op_id
        self.take(
            command.op_id,
            command,
            self.loop.time() + command.left,
            partial(self.answered, slot),
            command.lane,
            command.plan,
            command.volume,
            command.key,
            command.units,
            command.cell,
            command.mounts,
            command.again,
        )

    def answered(self, slot, result, value, come_back):
        if result == say.SUCCEEDED:
            slot.answer(bulk(value))
        elif result == SHED:
            slot.answer(b"-BUSY %d\r\n" % -(-come_back * 1000 // SECOND) if come_back else BUSY)
        else:
            slot.answer(FAILED)

    # Nodes.

    def carry(self, op_id, number, node, taken, time_out, latest):
        return self.pool.send(
            node,
            taken.work.words,
            self.loop.time() + time_out / SECOND,
            partial(self.came, op_id, number),
            latest,
        )

    # Discovery.

    def told(self, whole, members):
        self.members(say.WHOLE if whole else say.CHANGES, members)

    def members(self, kind, members):
        self.pool.listed(kind != say.CHANGES, members)
        self.log.info(
            "list.told",
            kind=kind,
            changed=" ".join(
                f"{row.node}:{row.condition}"
                for row in members
                if self.conditions.get(row.node) != (row.condition, row.started)
            )
            or "-",
        )
        if kind != say.CHANGES:
            self.conditions = {}
        for row in members:
            self.conditions[row.node] = row.condition, row.started
            if row.condition == say.GONE:
                del self.conditions[row.node]
        self.listed(
            kind,
            [
                say.Listed(row.node, row.cell, row.zone, row.condition, self.since(row.started))
                for row in members
            ],
        )

    def since(self, started):
        """When a node started, on the module's clock; 0: long ago."""
        since = int((started - self.epoch) * SECOND)
        return max(1, since) if started and self.now() - since < self.terms.warm_within else 0

    # Signals.

    def reload(self, start):
        """Takes over a new configuration: where discovery is."""
        if start.discovery != self.watch_list.address:
            self.log.info("discovery.moves", to="%s:%d" % start.discovery)
            self.watch_list.move(start.discovery)

    def end_all(self):
        """What is open, and what still comes, gets its final answer: the process is about to be ended from
        outside.
        """
        self.ended = True
        self.listener.close()
        for op_id in list(self.taken):
            self.break_off(op_id)
