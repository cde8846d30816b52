"""The planner's server: accepts nodes, edges, planners and operators, and connects the planner's parts.

`fleet.membership` decides about members and `fleet.quotas` about quotas.  `endpoint_publisher` stores the
endpoint list and sends it to the edges; `replicated_log` shares the policy with the other planners.  Edges
keep using their last list while no planner leads.
"""

import asyncio
from collections.abc import Callable, Collection, Coroutine

import structlog
from google.protobuf.message import Message

from rushmux.nodewire import WireError, messages
from rushmux.planner import peer_names, policy_admin
from rushmux.planner.endpoint_publisher import EndpointPublisher
from rushmux.planner.fleet_admin import FleetAdmin
from rushmux.planner.fleet_state import FleetState
from rushmux.planner.member_tracker import MemberTracker
from rushmux.planner.membership_store import MembershipStore
from rushmux.planner.policy_floor import PolicyFloor
from rushmux.planner.quota_service import QuotaService
from rushmux.planner.raft_transport import planner_of
from rushmux.planner.replicated_log import ReplicatedLog
from rushmux.planner.replication_settings import ReplicationSettings
from rushmux.planner.server import PeerConnection, PeerServer
from rushmux.planner.stored_commands import StoredCommand
from rushmux.settings.deployment import Deployment
from rushmux.supervision import Supervisor

TICK_INTERVAL = 0.5  # seconds between checks of all members' leases
MAX_ADMIN_COMMANDS = 100  # waiting for an answer
EDGE_ONLY_MESSAGES = ("ask", "policy_ask")  # only an edge may send them


def ignore_record(kind: str, **fields) -> None:
    """Discards a record."""


class Planner(PeerServer):
    """One planner.

    Args:
        cells: Number of shards of the fleet's data.
        store: The planner's stored membership.
        log: The logger.
        record: Called with what is published or committed, for checkers of recorded histories.
        limited_folders: Names of the folders that have limits.
        gateway_count: The maximum number of edges.
        deployment: Its policy becomes the fleet's first one; None: the fleet has no policy.
        replication: The planners that decide together; None: this one decides alone.
    """

    def __init__(
        self,
        cells: int,
        store: MembershipStore,
        log: structlog.typing.FilteringBoundLogger,
        *,
        record: Callable = ignore_record,
        limited_folders: Collection[str] = (),
        gateway_count: int = 1,
        deployment: Deployment | None = None,
        replication: ReplicationSettings | None = None,
    ):
        super().__init__("planner", str(store.term), log.bind(planner="planner", term=store.term))
        self.store = store
        self.replicated_log: ReplicatedLog | None = None
        self.state = FleetState()
        self.publisher = EndpointPublisher(
            self.state, store, self.log, cells=cells, record=record, is_leader=lambda: self.is_leader
        )
        self._members = MemberTracker(self.state, self.publisher, cells)
        self._record = record
        self._deployment = deployment
        self._replication = replication
        self._admin = FleetAdmin(self.state, self.publisher, self.log)
        self._quotas = QuotaService(limited_folders, gateway_count, self._confirm_leadership)
        self._floor = PolicyFloor(deployment) if deployment is not None else None
        self.supervisor = Supervisor(self.log)
        self._admin_tasks: set[asyncio.Task] = set()
        self._handlers, self._leader_handlers = self._message_handlers()

    def _message_handlers(self) -> tuple[dict[str, Callable], dict[str, Callable]]:
        """Returns the handlers of every planner and those of the leader, by message."""
        always = {"policy_order": self._on_policy_command}
        leading = {"report": self._on_report, "ask": self._on_quota_request}
        if self._replication is None:
            leading["order"] = self._on_fleet_command
        else:
            always["order"] = self._on_replicated_fleet_command
            always["word"] = self._on_raft_message
            leading["policy_ask"] = self._on_lease_request
        return always, leading

    @property
    def is_leader(self) -> bool:
        """Whether this planner leads the others, or is the only one."""
        return self.replicated_log is None or self.replicated_log.is_leader

    # Lifecycle.

    async def open(self, host: str, port: int) -> int:
        """Starts serving, and returns the port.

        Raises:
            RaftStorageError: The stored log cannot be used.
            OSError: The address cannot be used.
        """
        self.loop = asyncio.get_running_loop()
        self._begin_term(self.store.term)
        if self._replication is not None:
            self.replicated_log = ReplicatedLog(
                self._replication,
                self.log,
                on_leadership=self._on_leadership,
                bootstrap_command=self._bootstrap_command,
                record=self._record,
                supervisor=self.supervisor,
            )
        await self.listen(host, port)
        self.supervisor.run_restarting("member_ticks", self._run_ticks)
        if self.replicated_log is not None:
            self.replicated_log.start()
        return self.port

    async def close(self) -> None:
        """Stops serving; pending requests are not answered."""
        self.supervisor.cancel()
        if self.replicated_log is not None:
            self.replicated_log.close()
        self.publisher.close()
        await self.close_server()
        for task in self._admin_tasks:
            task.cancel()
        self.store.close()

    def _bootstrap_command(self) -> StoredCommand | None:
        """Returns the command that creates the fleet's first policy, if it is to have one."""
        if self._deployment is None or not self._deployment.planner_policy:
            return None
        return policy_admin.bootstrap_command(self._deployment)

    # Leadership.

    def _on_leadership(self, leads: bool) -> None:
        """Disconnects members when leadership begins or ends, as their known state is outdated."""
        for peer in self.connected_peers():
            if not peer_names.is_planner(peer.name) and not peer.name.startswith(peer_names.OPERATOR):
                peer.writer.transport.abort()
        self._quotas.forget_unconfirmed()
        if leads:
            self._begin_term(self.replicated_log.term)

    def _confirm_leadership(self, call: Callable[[], None]) -> None:
        """Calls a function once it is certain that this planner leads."""
        if self.replicated_log is None:
            call()
        else:
            self.replicated_log.confirm_leadership(call)

    def _begin_term(self, term: int) -> None:
        """Restores the state for a new term from the store.

        With several planners, drains come from their log, since this planner's store may be outdated.
        """
        now = self.loop.time()
        stored = self.store.load()
        for name in stored.damaged:
            self.log.error("membership_store.row_damaged", member=name)
        if self.replicated_log is None:
            drained = [row.name for row in stored.rows if row.draining]
        else:
            drained = self.replicated_log.policy.drained_nodes
        self.publisher.begin_term()
        self._quotas.begin_term(term, now)
        self.state.restore(now, term, stored.rows, drained)
        self.log.info(
            "planner.state_restored", members=len(stored.rows), version=self.publisher.version, term=term
        )

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            if self.is_leader:
                self._members.tick()

    # Connections.

    def on_peer_connected(self, peer: PeerConnection) -> None:
        """Subscribes an edge to the endpoint list; a planner that does not lead rejects members."""
        if peer_names.is_planner(peer.name) and self.replicated_log is not None:
            self.replicated_log.on_planner_connected(peer_names.planner_member_id(peer.name))
        elif not self.is_leader and peer.name != peer_names.OPERATOR:
            raise WireError("this planner does not lead")
        if peer_names.is_edge(peer.name):
            self._members.on_edge_connected(peer)

    def on_peer_disconnected(self, peer: PeerConnection) -> None:
        """Gives a member whose last connection ended a short time to reconnect."""
        self._members.on_disconnected(peer)

    def on_message(self, peer: PeerConnection, kind: str, body: Message) -> None:
        """Passes a message to its handler."""
        handler = self._handlers.get(kind)
        if handler is None and not self.is_leader:
            raise WireError("this planner does not lead")
        handler = handler or self._leader_handlers.get(kind)
        if handler is None or (kind in EDGE_ONLY_MESSAGES and peer not in self.publisher.subscribers):
            raise WireError(f"{kind} messages are not accepted here")
        handler(peer, body)

    # Nodes and edges.

    def _on_report(self, peer: PeerConnection, report: messages.Report) -> None:
        self._members.on_report(peer, report)
        self._send_floor(peer)

    def _send_floor(self, peer: PeerConnection) -> None:
        """Sends a node the policy version below which it rejects operations."""
        if self.replicated_log is None or self._floor is None:
            return
        floor = self._floor.floor_to_send(self.replicated_log.policy.fencing_floor, self.loop.time())
        if floor is not None:
            peer.send(floor=messages.Floor(number=floor))

    def _on_quota_request(self, peer: PeerConnection, request: messages.Ask) -> None:
        self._quotas.on_request(peer, request, self.loop.time)

    def _on_lease_request(self, peer: PeerConnection, request: messages.PolicyAsk) -> None:
        self.replicated_log.on_lease_request(peer, request)

    def _on_raft_message(self, peer: PeerConnection, message: messages.Word) -> None:
        if not self._is_own_message(peer, message):
            raise WireError(f"{peer.name} sent a Raft message in the name of {message.sender}")
        self.replicated_log.on_message(message)

    def _is_own_message(self, peer: PeerConnection, message: messages.Word) -> bool:
        """Whether a Raft message comes from a planner of this fleet, in its own name."""
        sender = peer_names.planner_member_id(peer.name)
        return (
            peer_names.is_planner(peer.name)
            and sender == message.sender
            and planner_of(sender) in self._replication.addresses
        )

    # Operators.

    def _on_fleet_command(self, peer: PeerConnection, command: messages.Order) -> None:
        peer.send(ordered=self._admin.execute(command))

    def _on_replicated_fleet_command(self, peer: PeerConnection, command: messages.Order) -> None:
        async def answer() -> None:
            peer.send(ordered=await self._admin.execute_replicated(self.replicated_log, command))

        self._start_admin_task(answer)

    def _on_policy_command(self, peer: PeerConnection, command: messages.PolicyOrder) -> None:
        async def answer() -> None:
            peer.send(
                policy_answer=await policy_admin.execute(self.replicated_log, self._deployment, command)
            )

        self._start_admin_task(answer)

    def _start_admin_task(self, answer: Callable[[], Coroutine]) -> None:
        """Answers an operator in a separate task; the number of such tasks is limited."""
        if len(self._admin_tasks) >= MAX_ADMIN_COMMANDS:
            raise WireError(f"{MAX_ADMIN_COMMANDS} commands are already waiting")
        task = self.loop.create_task(answer())
        self._admin_tasks.add(task)
        task.add_done_callback(self._admin_tasks.discard)
        self.supervisor.watch("admin_command", task)
