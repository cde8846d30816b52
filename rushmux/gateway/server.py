"""One gateway on the platform: clients, nodes and discovery around the driver's core."""

import asyncio
from functools import partial

from rushmux.gateway import commands
from rushmux.gateway.connection_pool import ConnectionPool
from rushmux.gateway.discovery import Watch
from rushmux.gateway.listener import Listener
from rushmux.resp import bulk
from rushmux.scheduling.driver import TICKS_PER_SECOND, FinalAnswer, OperationDriver
from rushmux.scheduling.interface import Endpoint, EndpointState, OperationRequest, UpdateKind

RESERVED = 24  # descriptors for what is neither a client nor a node
CLIENTS = 0.55  # of the others, for clients: at most a third of all hold requests, and some rest
NODES = 0.35  # of the others, for nodes; the rest is for connections that are just ending
FIRST_LIST = 1.0  # seconds that the first list is waited for: an agent that can answer does so at once
TELL = 30.0  # seconds between two lines on the traffic
FAILED, BUSY = b"-ERR failed\r\n", b"-BUSY\r\n"


class Front(OperationDriver):
    """The module, driven by the platform's protocol.  `epoch`: the calendar's seconds since 1970 at the
    loop's clock of nought.
    """

    def __init__(self, start, epoch, loop, log):
        super().__init__(start.settings, start.seed, log)
        self.start, self.epoch = start, epoch
        spare = max(16, start.sockets - RESERVED)
        self.pool = ConnectionPool(
            loop,
            max_connections=int(spare * NODES),
            connect_timeout=start.dial,
            idle_timeout=start.idle,
        )
        self.listener = Listener(
            loop,
            start,
            int(spare * CLIENTS),
            on_request=self.request,
            on_client_gone=self.client_gone,
        )
        self.watch_list = Watch(loop, start.discovery, log, self.told, start.known)
        self.conditions = {}  # node -> as the module was last told of it
        self.ended = False  # whether everything gets its answer at once: the stop is near

    async def open(self):
        self.members(UpdateKind.RECOVERED, self.start.known)
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
            taken=listener.stats.accepted_operations,
            refused=listener.stats.invalid_commands,
            turned_away=listener.stats.rejected_clients,
            silent=listener.stats.silent_clients,
            nodes=pool.connection_count(),
            surplus=pool.unsolicited_replies,
            rest_trusted=f"{pool.keep_alive.max_idle_time:g}",
        )
        self.loop.call_later(TELL, self.tell)

    # Clients.

    def request(self, command, pending):
        """An operation comes; its answer goes to its pending."""
        if command.op_id in self.operations:
            raise commands.Refused("the id is that of an open request")
        if self.ended or len(self.operations) >= self.start.held:
            pending.reply = BUSY
            return
        pending.op_id = command.op_id
        request = OperationRequest(
            command.op_id,
            command.lane,
            command.plan,
            command.volume,
            command.key,
            0,
            command.units,
            command.cell,
            command.mounts,
            command.again,
        )
        client_deadline = self.loop.time() + command.left
        self.submit(request, command, client_deadline, partial(self.answered, pending))

    def answered(self, pending, answer, value, retry_after):
        if answer is FinalAnswer.SUCCEEDED:
            pending.complete(bulk(value))
        elif answer is FinalAnswer.SHED:
            milliseconds = -(-retry_after * 1000 // TICKS_PER_SECOND)
            pending.complete(b"-BUSY %d\r\n" % milliseconds if retry_after else BUSY)
        else:
            pending.complete(FAILED)

    # Nodes.

    def send_attempt(self, number, node, operation, timeout, latest_start):
        return self.pool.start_attempt(
            node,
            operation.payload.words,
            deadline=self.loop.time() + timeout / TICKS_PER_SECOND,
            on_reply=partial(self.on_reply, operation.request.op_id, number),
            latest_start=latest_start,
        )

    # Discovery.

    def told(self, whole, members):
        self.members(UpdateKind.SNAPSHOT if whole else UpdateKind.DELTA, members)

    def members(self, kind, members):
        self.pool.update_endpoints(kind != UpdateKind.DELTA, members)
        self.log.info(
            "list.told",
            kind=kind,
            changed=" ".join(
                f"{row.node}:{row.state}"
                for row in members
                if self.conditions.get(row.node) != (row.state, row.started_at)
            )
            or "-",
        )
        if kind != UpdateKind.DELTA:
            self.conditions = {}
        for row in members:
            self.conditions[row.node] = row.state, row.started_at
            if row.state == EndpointState.REMOVED:
                del self.conditions[row.node]
        self.update_endpoints(
            kind,
            [
                Endpoint(row.node, row.cell, row.zone, row.state, self.since(row.started_at))
                for row in members
            ],
        )

    def since(self, started):
        """When a node started, on the module's clock; 0: long ago."""
        since = int((started - self.epoch) * TICKS_PER_SECOND)
        return max(1, since) if started and self.now() - since < self.settings.warm_up_time else 0

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
        for op_id in list(self.operations):
            self.abort(op_id)
