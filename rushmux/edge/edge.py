"""An edge: the program that clients and nodes are connected to, from its start to its end."""

import asyncio
import random

from rushmux.edge.directories import Tree
from rushmux.edge.driver import EdgeDriver, EdgeIdentity
from rushmux.edge.garbage_collector import Cleaner
from rushmux.edge.node_connections import Address, NodeConnections
from rushmux.edge.planner_client import PlannerClient
from rushmux.edge.policy_client import Going, begun
from rushmux.edge.quota_client import Asking
from rushmux.edge.session import Session
from rushmux.nodewire import VERSION, messages
from rushmux.routes.reload import MOST_NAMED, judge
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.deployment import BadDeployment, Deployment

BACKLOG = 1_024  # connections that the system holds until they are accepted
LINGER = 0.2  # seconds for the last answers to leave before connections close


class Edge:
    """One gateway.  `seed` is all its chance and must differ at every start; `epoch` is the calendar
    time, in seconds since 1970, at the loop's clock of nought; `buffered` makes a write-back
    buffer of a driver, a tree and a log (None: there is none).
    """

    def __init__(
        self,
        number: int,
        deployment: Deployment,
        lists: Address,
        seed: int,
        epoch: float,
        log,
        decisions=Scheduler,
        buffered=None,
        last=None,
        kept=None,
    ):
        self.number, self.deployment, self.epoch = number, deployment, epoch
        # The file's deployment; the disk of the fleet's policy; what goes by it.
        self.own, self.kept, self.going = deployment, kept, None
        self.went_by = lambda state: None  # hears of each change of what it goes by
        self.name, self.start = f"edge{number}", f"{seed & 0xFFFFFFFFFFFF:012x}"
        self.log = log.bind(edge=self.name, start=self.start)
        self.chance, self.seed, self.lists_at, self.decisions = random.Random(seed), seed, lists, decisions
        self.heard = lambda nodes: None  # hears of each listing taken in: [node, condition] each
        self.buffered, self.buffer = buffered, None
        self.last = last  # the last list of an earlier start (`edge.lastlist`)
        self.closing, self.sessions, self.count, self.tasks = False, {}, 0, []

    def serves(self, folder: str) -> bool:
        edges = self.deployment.folders[folder].edges
        return edges is None or self.number in edges

    async def open(self, host: str, port: int) -> int:
        """Begins to serve; the port that clients are taken on."""
        loop = asyncio.get_running_loop()
        held = None, None
        if self.kept is not None:
            self.deployment, held = begun(self.own, self.kept, self.log)
        hello = messages.Hello(version=VERSION, peer=self.name, start=self.start)
        self.connections = NodeConnections(
            hello,
            connect_timeout=self.deployment.dial,
            connections_per_node=self.deployment.links,
            rng=self.chance,
            log=self.log,
        )
        self.driver = EdgeDriver(
            EdgeIdentity(self.name, self.start),
            self.deployment,
            self.connections,
            self.log,
            seed=self.seed,
            rng=self.chance,
            scheduler_type=self.decisions,
        )
        self.cleaner = Cleaner(self.driver, self.log)
        self.tree = Tree(
            self.deployment.files,
            self.driver.unique_name,
            lambda: int(self.epoch + loop.time()),
            self.cleaner.note,
        )
        if self.buffered is not None:
            self.buffer = self.buffered(self.driver, self.tree, self.log)
        known = self.last.load() if self.last is not None else None
        if known is not None:
            self.driver.endpoint_table.on_listing(known)
        lists = self.lists = PlannerClient(self.lists_at, hello, self.chance, self.log, self.told)
        if self.deployment.shares:
            self.asking = Asking(self.driver, lists, self.log)
        self.tasks = [loop.create_task(lists.run()), loop.create_task(self.cleaner.run())]
        if self.deployment.shares:
            self.tasks.append(loop.create_task(self.asking.run()))
        if self.kept is not None:
            self.going = Going(self, self.own, self.kept, held, self.log)
            self.tasks.append(loop.create_task(self.going.run()))
        if self.buffer is not None:
            self.tasks.append(loop.create_task(self.buffer.run()))
        self.server = await asyncio.start_server(self.accept, host, port, backlog=BACKLOG)
        port = self.server.sockets[0].getsockname()[1]
        self.log.info("edge.serves", host=host, port=port)
        return port

    def told(self, listing):
        if not self.driver.endpoint_table.on_listing(listing):
            return
        if self.last is not None:
            self.last.told(listing)
        self.heard([[entry.node, entry.condition] for entry in listing.entries])

    def reload(self, read):
        """Takes over the routes of the deployment that `read()` gives; a bad file, or one that changes
        anything else, leaves the routes in force whole.  Returns whether they were taken over.
        """
        if self.going is not None:
            # Danger: one edge's file is one edge's policy.
            self.log.error("routes.refused", faults=["the fleet decides its policy in common: propose it"])
            return False
        try:
            found = read()
        except BadDeployment as fault:
            self.log.error("routes.refused", faults=[f"{place}: {text}" for place, text in fault.faults])
            return False
        verdict = judge(self.deployment, found)
        if not verdict.taken:
            self.log.error("routes.refused", faults=list(verdict.against))
            return False
        self.take_over(found)
        self.log.info("routes.taken", changed=list(verdict.changed[:MOST_NAMED]), count=len(verdict.changed))
        return True

    def take_over(self, found: Deployment):
        """Goes by another deployment's routes; what was taken before keeps its own."""
        self.deployment = found
        self.driver.update_route_policies(found)

    async def accept(self, reader, writer):
        if self.closing or len(self.sessions) >= self.deployment.sessions.most:
            self.log.warning("session.turned_away", sessions=len(self.sessions))
            writer.close()
            return
        self.count += 1
        session = Session(self, f"{self.name}.{self.start}/s{self.count}", reader, writer)
        self.sessions[session] = asyncio.current_task()
        try:
            await session.run()
        finally:
            del self.sessions[session]

    async def close(self):
        """Takes nothing new, answers what is held, and ends within the clients' patience."""
        self.closing = True
        self.server.close()
        loop = asyncio.get_running_loop()
        until = loop.time() + self.deployment.sessions.patience
        while any(session.tasks for session in self.sessions) and loop.time() < until:
            await asyncio.sleep(LINGER / 4)
        if self.buffer is not None:
            await self.buffer.drain(until)
        await asyncio.sleep(LINGER)
        ending = list(self.sessions.values()) + self.tasks
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        await self.connections.close()
        self.log.info("edge.ended")
