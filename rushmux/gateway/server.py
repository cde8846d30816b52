"""The gateway server: connects clients, nodes and discovery to the operation driver."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Any

from rushmux.gateway.commands import Command
from rushmux.gateway.config import GatewayConfig
from rushmux.gateway.connection_pool import ConnectionPool
from rushmux.gateway.discovery import DiscoveryWatch
from rushmux.gateway.discovery_timing import LOCAL_AGENT, SHARED_SERVICE
from rushmux.gateway.endpoints import DiscoveredEndpoint
from rushmux.gateway.errors import InvalidCommandError
from rushmux.gateway.listener import Listener
from rushmux.gateway.memory_limits import ByteBudget, memory_limits_of
from rushmux.gateway.node_connection import NodeAttempt
from rushmux.gateway.pending_replies import PendingReply
from rushmux.gateway.recent_ids import RecentIds
from rushmux.resp import encode_bulk
from rushmux.scheduling.driver import (
    TICKS_PER_SECOND,
    AttemptReply,
    FinalAnswer,
    InFlightOperation,
    OperationDriver,
)
from rushmux.scheduling.interface import (
    AttemptResult,
    Endpoint,
    EndpointState,
    Idempotency,
    OperationRequest,
    Ticks,
    UpdateKind,
)

RESERVED_SOCKETS = 24
"""File descriptors reserved for everything but clients and nodes."""
MIN_SHARED_SOCKETS = 16
"""Minimum for clients and nodes together, whatever the configuration says."""
CLIENT_SOCKET_RATIO = 0.55
"""Clients' share of the rest: at most a third of all have operations in flight, and some are idle."""
NODE_SOCKET_RATIO = 0.35
"""Nodes' share of the rest; the remainder is for connections that are closing."""
FIRST_LIST_TIMEOUT = 1.0
"""Seconds to wait for the first endpoint list; a working discovery agent answers at once."""
STATS_INTERVAL = 30.0
"""Seconds between two log lines with the counters."""
MS_PER_SECOND = 1000
FAILED, BUSY = b"-ERR failed\r\n", b"-BUSY\r\n"


def _format_counts(counts: Mapping[str, int]) -> str:
    return ",".join(f"{name}:{count}" for name, count in sorted(counts.items())) or "-"


class GatewayServer(OperationDriver):
    """Drives the scheduler by the platform's protocol.

    Attributes:
        epoch: Unix time, in seconds, at which the event loop's clock was 0.
        operation_budget: Memory for the operations in flight.
        undelivered_reply_bytes: Memory reserved for values of nodes until the next round.
        finished_ids: Ids of operations that may have run and may not be repeated.
        known_states: State and start time of each node as last passed to the scheduler.
        is_stopping: Whether new operations get BUSY because the process is about to end.
    """

    def __init__(self, config: GatewayConfig, epoch: float, loop: asyncio.AbstractEventLoop, log):
        super().__init__(config.settings, config.seed, log)
        self.config = config
        self.epoch = epoch
        shared_sockets = max(MIN_SHARED_SOCKETS, config.max_sockets - RESERVED_SOCKETS)
        max_clients = int(shared_sockets * CLIENT_SOCKET_RATIO)
        memory_limits = memory_limits_of(config.memory_mb, len(config.known_endpoints), max_clients)
        self.operation_budget = ByteBudget(memory_limits.operations)
        self.undelivered_reply_bytes = 0
        self.finished_ids = RecentIds()
        self.pool = ConnectionPool(
            loop,
            max_connections=int(shared_sockets * NODE_SOCKET_RATIO),
            max_partial_reply_bytes=memory_limits.partial_replies,
            connect_timeout=config.connect_timeout,
            idle_timeout=config.idle_timeout,
        )
        self.listener = Listener(
            loop,
            config,
            max_clients,
            memory_limits,
            on_request=self.on_request,
            on_client_gone=self.client_gone,
            on_withdrawn=self.withdraw,
        )
        self.discovery = DiscoveryWatch(
            loop,
            config.discovery,
            log,
            self.on_discovered,
            config.known_endpoints,
            timing=SHARED_SERVICE if config.settings.polls_endpoints else LOCAL_AGENT,
            seed=config.seed,
        )
        self.known_states: dict[str, tuple[EndpointState, float]] = {}
        self.is_stopping = False

    async def open(self) -> None:
        """Waits up to `FIRST_LIST_TIMEOUT` for the first endpoint list, then starts to listen.

        The platform counts discovery's list as known from the start, and the configuration's may be outdated:
        an operation accepted earlier could go to a draining node. Raises OSError.
        """
        self._apply_endpoints(UpdateKind.RECOVERED, self.config.known_endpoints)
        self.discovery.start()
        await asyncio.wait([self.discovery.first_response], timeout=FIRST_LIST_TIMEOUT)
        await self.listener.open(*self.config.listen)
        self.loop.call_later(STATS_INTERVAL, self._log_stats_repeatedly)
        self.log.info("gateway.listening", listen=self.config.listen, nodes=len(self.config.known_endpoints))

    def _log_stats_repeatedly(self) -> None:
        self.log_stats()
        self.loop.call_later(STATS_INTERVAL, self._log_stats_repeatedly)

    def log_stats(self) -> None:
        """Logs the counters, which run from the start of the process."""
        stats = self.listener.stats
        self.log.info(
            "gateway.stats",
            open=len(self.listener.clients),
            taken=stats.accepted_operations,
            refused=stats.invalid_commands,
            turned_away=stats.rejected_clients,
            silent=stats.silent_clients,
            nodes=self.pool.connection_count(),
            operation_bytes=self.operation_budget.held,
            reply_bytes=self.listener.reply_budget.held,
            no_memory=self._memory_refusals(),
            surplus=self.pool.unsolicited_replies,
            rest_trusted=f"{self.pool.keep_alive.max_idle_time:g}",
            attempts=_format_counts(self.attempt_results),
            given_up=_format_counts(self.scheduler.given_up),
        )

    def _memory_refusals(self) -> int:
        budgets = self.operation_budget, self.listener.partial_command_budget, self.listener.reply_budget
        return sum(budget.refused for budget in budgets)

    # Clients.

    def on_request(self, command: Command, pending: PendingReply) -> None:
        """Submits a client's operation; raises InvalidCommandError if its id is or was in use.

        Its client waits since the command arrived, which may be long ago in a pipeline.
        """
        if command.op_id in self.operations:
            raise InvalidCommandError("the id is that of an open request", command.op_id)
        if command.op_id in self.finished_ids:
            raise InvalidCommandError("the id is that of an earlier request that may have run", command.op_id)
        client_deadline = pending.arrived_at + command.time_left
        is_over = client_deadline <= self.loop.time()
        if is_over or self.is_stopping or not self._has_room_for(command, pending):
            pending.reply = BUSY
            return
        pending.op_id = command.op_id
        request = OperationRequest(
            command.op_id,
            command.request_class,
            command.plan,
            command.volume,
            command.key,
            0,  # time_left, which the driver sets
            command.units,
            command.cell,
            command.gateway_count,
            command.is_retry,
        )
        self.submit(request, command, client_deadline, partial(self._on_answer, pending))

    def _has_room_for(self, command: Command, pending: PendingReply) -> bool:
        # Reserves the operation's memory if it may be accepted.
        if len(self.operations) >= self.config.max_operations:
            return False
        is_pipelined = bool(pending.client.pending_replies)
        return self.operation_budget.reserve(command.held_bytes(), is_pipelined=is_pipelined)

    def on_operation_finished(self, operation: InFlightOperation) -> None:
        """Releases the operation's memory, and remembers its id (`OperationDriver`)."""
        self.operation_budget.release(operation.payload.held_bytes())
        request = operation.request
        idempotency = self.settings.request_classes[request.request_class].idempotency
        if operation.may_have_run and idempotency is not Idempotency.IDEMPOTENT:
            self.finished_ids.add(request.op_id)

    @staticmethod
    def _on_answer(pending: PendingReply, answer: FinalAnswer, value: Any, retry_after: Ticks) -> None:
        if answer is FinalAnswer.SUCCEEDED and pending.client.has_room_for(pending, len(value)):
            pending.complete(encode_bulk(value))
        elif answer is FinalAnswer.SHED:
            milliseconds = -(-retry_after * MS_PER_SECOND // TICKS_PER_SECOND)
            pending.complete(b"-BUSY %d\r\n" % milliseconds if retry_after else BUSY)
        else:
            pending.complete(FAILED)

    # Nodes.

    def send_attempt(
        self, number: int, node: str, operation: InFlightOperation, timeout: Ticks, latest_start: float
    ) -> NodeAttempt | None:
        """Sends an attempt to a node (`OperationDriver`)."""
        return self.pool.start_attempt(
            node,
            operation.payload.build_arguments,
            deadline=self.loop.time() + timeout / TICKS_PER_SECOND,
            on_reply=partial(self.on_reply, operation.request.op_id, number),
            latest_start=latest_start,
        )

    def on_reply(self, op_id: str, number: int, reply: AttemptReply) -> None:
        """Delivers the outcome of an attempt; it fails if there is no memory for its value."""
        size = len(reply.value or b"")
        if size and not self.listener.reply_budget.reserve(size):
            reply = reply._replace(result=AttemptResult.FAILED, value=None)
            size = 0
        self.undelivered_reply_bytes += size
        super().on_reply(op_id, number, reply)

    def run_round(self) -> None:
        """Delivers all pending events and closes the round (`OperationDriver`)."""
        # From here on, the clients' connections count the values that they hold.
        self.listener.reply_budget.release(self.undelivered_reply_bytes)
        self.undelivered_reply_bytes = 0
        super().run_round()

    # Discovery.

    def on_discovered(self, is_snapshot: bool, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        """Applies an endpoint list received from discovery."""
        self._apply_endpoints(UpdateKind.SNAPSHOT if is_snapshot else UpdateKind.DELTA, endpoints)

    def _apply_endpoints(self, kind: UpdateKind, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        self.pool.update_endpoints(kind != UpdateKind.DELTA, endpoints)
        changed = [
            f"{endpoint.node}:{endpoint.state}"
            for endpoint in endpoints
            if self.known_states.get(endpoint.node) != (endpoint.state, endpoint.started_at)
        ]
        self.log.info("endpoints.updated", kind=kind, changed=" ".join(changed) or "-")
        if kind != UpdateKind.DELTA:
            self.known_states = {}
        for endpoint in endpoints:
            self.known_states[endpoint.node] = endpoint.state, endpoint.started_at
            if endpoint.state == EndpointState.REMOVED:
                del self.known_states[endpoint.node]
        self.update_endpoints(kind, [self._scheduler_endpoint(endpoint) for endpoint in endpoints])

    def _scheduler_endpoint(self, endpoint: DiscoveredEndpoint) -> Endpoint:
        online_since = self._online_since(endpoint.started_at)
        return Endpoint(endpoint.node, endpoint.cell, endpoint.zone, endpoint.state, online_since)

    def _online_since(self, started_at: float) -> Ticks:
        # Converts a node's start time to the scheduler's clock; 0 if the node is past its warm-up.
        online_since = int((started_at - self.epoch) * TICKS_PER_SECOND)
        is_warming_up = started_at and self.now() - online_since < self.settings.warm_up_time
        return max(1, online_since) if is_warming_up else 0

    # Signals.

    def reload(self, config: GatewayConfig) -> None:
        """Applies a new configuration; only the address of discovery can change."""
        if config.discovery != self.discovery.address:
            self.log.info("discovery.address_changed", to=config.discovery)
            self.discovery.change_address(config.discovery)

    def abort_all(self) -> None:
        """Answers all operations, and those that still arrive, at once: SIGKILL is near."""
        self.is_stopping = True
        self.listener.close()
        for op_id in list(self.operations):
            self.abort(op_id)

    def unanswered_count(self) -> int:
        """Returns the number of operations without a final answer."""
        return sum(not operation.ended for operation in self.operations.values())

    def close(self) -> None:
        """Closes the connections to discovery and nodes."""
        self.discovery.close()
        self.pool.close()
