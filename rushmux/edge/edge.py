"""The edge program: starts its parts, accepts sessions, reloads settings and shuts down."""

import asyncio
import random
from collections.abc import Callable, Sequence

from rushmux.edge.directories import DirectoryTree
from rushmux.edge.driver import EdgeDriver, EdgeIdentity
from rushmux.edge.endpoint_cache import EndpointCache
from rushmux.edge.file_attributes import AttributeEditor
from rushmux.edge.file_system import FileSystem
from rushmux.edge.garbage_collector import GarbageCollector
from rushmux.edge.node_connections import Address, NodeConnections
from rushmux.edge.planner_client import PlannerClient
from rushmux.edge.policy_client import PolicyClient, PolicyState
from rushmux.edge.policy_store import PolicyStore, StoredPolicies, initial_policy
from rushmux.edge.quota_client import QuotaClient
from rushmux.edge.session import Session
from rushmux.edge.session_protocol import SessionProtocol
from rushmux.nodewire import VERSION, messages
from rushmux.routes.reload import MAX_LISTED_ITEMS, compare
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.deployment import Deployment, DeploymentError
from rushmux.supervision import Supervisor

BACKLOG = 1_024  # connections that the system queues before they are accepted
LINGER = 0.2  # seconds for the last replies to be sent before connections close
INCARNATION_BITS = 48


class Edge:
    """One gateway, started by `open`.

    Args:
        number: The edge's number in the deployment.
        deployment: The deployment as the edge's own file states it.
        planner_addresses: The planners that send the endpoint list.
        seed: Seeds all random choices; must differ at every start.
        epoch: Wall clock time, in seconds since 1970, at time 0 of the event loop.
        log: The logger.
        scheduler_type: Creates the scheduler.
        make_buffer: Creates a write-back buffer from a driver, a file system and a logger; None: no buffer.
        endpoint_cache: The endpoint list of an earlier start; None: no cache.
        policy_store: The fleet's policy on disk; None: only the deployment file applies.

    Attributes:
        name: The edge's name in all protocols.
        incarnation: An id that differs at each start.
        on_listing: Called with the [node, condition] of all entries of each accepted listing.
        on_policy_state: Called with the new policy state after each change.
    """

    def __init__(
        self,
        number: int,
        deployment: Deployment,
        planner_addresses: Address | Sequence[Address],
        *,
        seed: int,
        epoch: float,
        log,
        scheduler_type: Callable = Scheduler,
        make_buffer: Callable | None = None,
        endpoint_cache: EndpointCache | None = None,
        policy_store: PolicyStore | None = None,
    ):
        self.number, self.deployment, self.epoch, self.seed = number, deployment, epoch, seed
        self.name = f"edge{number}"
        self.incarnation = f"{seed & (1 << INCARNATION_BITS) - 1:012x}"
        self.log = log.bind(edge=self.name, start=self.incarnation)
        self.rng = random.Random(seed)
        self.planner_addresses, self.scheduler_type = planner_addresses, scheduler_type
        self.make_buffer, self.buffer = make_buffer, None
        self.endpoint_cache = endpoint_cache
        self.own_deployment = deployment  # the file's, without the fleet's policy
        self.policy_store, self.policy_client, self.quota_client = policy_store, None, None
        self.on_listing: Callable[[list], None] = lambda nodes: None
        self.on_policy_state: Callable[[PolicyState], None] = lambda state: None
        self.closing = False
        self.sessions: dict[Session, asyncio.Task] = {}
        self.session_count = 0
        self.supervisor = Supervisor(self.log)

    def serves(self, folder: str) -> bool:
        """Whether this edge serves a folder to clients."""
        edges = self.deployment.folders[folder].edges
        return edges is None or self.number in edges

    # Start.

    async def open(self, host: str, port: int) -> int:
        """Starts serving and returns the port that clients connect to."""
        stored = StoredPolicies()
        if self.policy_store is not None:
            initial = initial_policy(self.own_deployment, self.policy_store, self.log)
            self.deployment, stored = initial.deployment, initial.stored
        hello = messages.Hello(version=VERSION, peer=self.name, start=self.incarnation)
        self._make_driver(hello)
        self._make_files()
        cached = self.endpoint_cache.load() if self.endpoint_cache is not None else None
        if cached is not None:
            self.driver.endpoint_table.on_listing(cached)
        self.planner_client = PlannerClient(
            self.planner_addresses, hello, self.rng, self.log, self._on_listing
        )
        self._start_tasks(stored)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: SessionProtocol(self._accept), host, port, backlog=BACKLOG
        )
        port = self.server.sockets[0].getsockname()[1]
        self.log.info("edge.listening", host=host, port=port)
        return port

    def _make_driver(self, hello: messages.Hello) -> None:
        self.connections = NodeConnections(
            hello,
            connect_timeout=self.deployment.connect_timeout,
            connections_per_node=self.deployment.connections_per_node,
            rng=self.rng,
            log=self.log,
        )
        self.driver = EdgeDriver(
            EdgeIdentity(self.name, self.incarnation),
            self.deployment,
            self.connections,
            self.log,
            seed=self.seed,
            rng=self.rng,
            scheduler_type=self.scheduler_type,
        )

    def _make_files(self) -> None:
        loop = asyncio.get_running_loop()
        self.garbage_collector = GarbageCollector(self.driver, self.log)
        self.file_system = FileSystem(
            self.deployment.files,
            self.driver.unique_name,
            lambda: int(self.epoch + loop.time()),
            self.garbage_collector.schedule,
            notes_versions=self.deployment.buffer is not None,
        )
        self.directory_tree = DirectoryTree(self.file_system)
        self.attribute_editor = AttributeEditor(self.file_system)
        if self.make_buffer is not None:
            self.buffer = self.make_buffer(self.driver, self.file_system, self.log)

    def _start_tasks(self, stored: StoredPolicies) -> None:
        if self.deployment.planner_quotas:
            self.quota_client = QuotaClient(self.driver, self.planner_client, self.log)
        runs = {"planner_client": self.planner_client.run, "garbage_collector": self.garbage_collector.run}
        if self.quota_client is not None:
            runs["quota_client"] = self.quota_client.run
        if self.policy_store is not None:
            self.policy_client = PolicyClient(self, self.policy_store, stored, self.log)
            runs["policy_client"] = self.policy_client.run
        if self.buffer is not None:
            runs["buffer"] = self.buffer.run
        for name, run in runs.items():
            self.supervisor.run_restarting(name, run)

    # Changes at run time.

    def _on_listing(self, listing: messages.Listing) -> None:
        if not self.driver.endpoint_table.on_listing(listing):
            return
        if self.endpoint_cache is not None:
            self.endpoint_cache.update(listing)
        self.on_listing([[entry.node, entry.condition] for entry in listing.entries])

    def reload(self, read_deployment: Callable[[], Deployment]) -> bool:
        """Applies the route policies of the deployment that `read_deployment()` returns.

        An invalid file, or one that changes anything else, is rejected as a whole.  Returns whether the file
        was accepted.
        """
        if self.policy_client is not None:
            # Otherwise this edge's policy would differ from the fleet's.
            return self._reject_reload(["route policies come from the planners; propose the change to them"])
        try:
            deployment = read_deployment()
        except DeploymentError as error:
            return self._reject_reload([f"{place}: {text}" for place, text in error.faults])
        verdict = compare(self.deployment, deployment)
        if not verdict.accepted:
            return self._reject_reload(list(verdict.rejection_reasons))
        self.apply_deployment(deployment)
        changed = list(verdict.changed[:MAX_LISTED_ITEMS])
        self.log.info("routes.reloaded", changed=changed, count=len(verdict.changed))
        return True

    def _reject_reload(self, faults: list[str]) -> bool:
        self.log.error("routes.reload_rejected", faults=faults)
        return False

    def apply_deployment(self, deployment: Deployment) -> None:
        """Applies a deployment's route policies to new operations; operations in flight keep theirs."""
        self.deployment = deployment
        self.driver.update_route_policies(deployment)

    # Sessions.

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.closing or len(self.sessions) >= self.deployment.sessions.max_sessions:
            self.log.warning("session.rejected", sessions=len(self.sessions))
            writer.close()
            return
        self.session_count += 1
        name = f"{self.name}.{self.incarnation}/s{self.session_count}"
        session = Session(self, name, reader, writer)
        self.sessions[session] = asyncio.current_task()
        try:
            await session.run()
        finally:
            del self.sessions[session]

    async def close(self) -> None:
        """Shuts down gracefully: rejects new requests, and waits for pending ones within their time limit."""
        self.closing = True
        self.server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.deployment.sessions.request_timeout
        while any(session.tasks for session in self.sessions) and loop.time() < deadline:
            await asyncio.sleep(LINGER / 4)
        if self.buffer is not None:
            await self.buffer.drain(deadline)
        await asyncio.sleep(LINGER)
        sessions = list(self.sessions.values())
        for session in sessions:
            session.cancel()
        tasks = [*sessions, *self.supervisor.cancel()]
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.connections.close()
        self.log.info("edge.stopped")
