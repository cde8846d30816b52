"""The operation driver of an edge: runs operations on storage nodes as the scheduler decides.

Ticks are tenths of a millisecond on the event loop's clock.
"""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from rushmux.edge.endpoint_table import EndpointTable
from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.edge.node_connections import NodeConnections, PendingRequest
from rushmux.nodewire import messages
from rushmux.scheduling.driver import (
    TICKS_PER_SECOND,
    AttemptReply,
    FinalAnswer,
    InFlightOperation,
    OperationDriver,
)
from rushmux.scheduling.interface import AttemptResult, OperationRequest, Ticks
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.deployment import Deployment

MAX_OPERATIONS = 20_000  # in flight; operations beyond it are shed on arrival
MAX_LOAD_VALUE = 1e9  # of any value in a load report: more than a day of service time


class EdgeIdentity(NamedTuple):
    """An edge's name, and an id that differs at each of its starts."""

    name: str
    incarnation: str


class EdgeOperation(NamedTuple):
    """An operation's scheduling data, and a function that fills in its attempts' messages."""

    request_class: str
    folder: str
    key: str
    units: float
    cell: int
    """The cell it must run on; negative: any, for a write of a new object."""
    fill: Callable[[messages.Execute], None]


class OperationResult(NamedTuple):
    """A node's outcome and cell, and other cells where the operation may have been done."""

    outcome: messages.Outcome
    cell: int
    other_cells: tuple[int, ...] = ()


class PolicyVersion(NamedTuple):
    """Policy versions: the active one, and the newest one whose limits the edge respects."""

    active: int
    newest: int


class EdgeDriver(OperationDriver):
    """Connects the scheduler to storage nodes, for one start of an edge.

    Attributes:
        endpoint_table: The storage nodes.
        policy_version: Assigned to each operation when it is submitted.
        may_serve: Called before each operation; the operation is shed if it returns False.
        on_demand: Called with the folder and the units of each operation.
        on_fenced: Called with the lowest policy version that a node accepts, when it rejects this edge's.
        on_orphaned_object: Called with the folder, cell and name of each object that no row will refer to.
    """

    def __init__(
        self,
        identity: EdgeIdentity,
        deployment: Deployment,
        connections: NodeConnections,
        log,
        *,
        seed: int,
        rng: random.Random,
        scheduler_type: Callable = Scheduler,
    ):
        super().__init__(deployment.settings, seed, log, scheduler_type)
        self.identity, self.name = identity, identity.name
        self.deployment, self.connections, self.rng = deployment, connections, rng
        self.operation_count = self.name_count = 0
        self.endpoint_table = EndpointTable(self, connections, log)
        self.policy_version = PolicyVersion(0, 0)
        self.policy_versions: dict[str, PolicyVersion] = {}  # by operation id
        self.cells_tried: dict[str, dict[int, bool]] = {}  # operation id -> cells where it may have run
        self.quota_shares: dict[str, float] = {}  # folder -> share of its limit
        self.limit_scales: dict[str, float] = {}  # folder -> factor that the policy applies to its limit
        self.may_serve: Callable[[], bool] = lambda: True
        self.on_demand: Callable[[str, float], None] = lambda folder, units: None
        self.on_fenced: Callable[[int], None] = lambda floor: None
        self.on_orphaned_object: Callable[[str, int, str], None] = lambda folder, cell, name: None

    def unique_name(self) -> str:
        """Returns a name that is unique across all starts of the edge."""
        self.name_count += 1
        return f"{self.name}.{self.identity.incarnation}.{self.name_count}"

    # Settings changes at run time.

    def update_route_policies(self, deployment: Deployment) -> None:
        """Applies a deployment's route policies to new operations; operations in flight keep theirs."""
        self.deployment = deployment
        policies = deployment.settings.route_policies
        self.enqueue(lambda now: self.call_scheduler(None, self.scheduler.on_route_policies, policies))

    def set_quota_share(self, folder: str, share: float) -> None:
        """Sets a folder's quota, as a share of its limit, from the next round on."""
        self.quota_shares[folder] = share
        self._apply_quota(folder)

    def set_limit_scales(self, scales: dict[str, float]) -> None:
        """Scales the limits that the scheduler was built with, by a factor for each folder."""
        self.limit_scales.update(scales)
        for folder in scales:
            self._apply_quota(folder)

    def _apply_quota(self, folder: str) -> None:
        even_share = 1 / self.deployment.edge_count(folder)
        quota = self.quota_shares.get(folder, even_share) * self.limit_scales.get(folder, 1.0)
        self.enqueue(lambda now: self.call_scheduler(None, self.scheduler.on_quota, now, folder, quota))

    # Operations.

    async def execute(self, operation: EdgeOperation, timeout: float, tag: str) -> OperationResult:
        """Runs one operation within `timeout` seconds; its id ends with `tag`.

        Raises:
            OperationShedError: It was not done.
            OperationFailedError: It may have been done.
        """
        if len(self.operations) >= MAX_OPERATIONS:
            raise OperationShedError
        if not self.may_serve():
            raise OperationShedError(self.deployment.settings.max_retry_after / TICKS_PER_SECOND)
        self.operation_count += 1
        op_id = f"{self.name}.{self.identity.incarnation}.{self.operation_count}/{tag}"
        future = self.loop.create_future()
        self.cells_tried[op_id], self.policy_versions[op_id] = {}, self.policy_version
        self.on_demand(operation.folder, operation.units)
        request = self._request(op_id, operation)
        self.submit(request, operation, self.loop.time() + timeout, partial(self._on_answer, future))
        try:
            return await future
        except asyncio.CancelledError:
            self.client_gone(op_id)
            raise
        finally:
            del self.cells_tried[op_id], self.policy_versions[op_id]

    def _request(self, op_id: str, operation: EdgeOperation) -> OperationRequest:
        return OperationRequest(
            op_id,
            operation.request_class,
            self.deployment.folders[operation.folder].plan,
            operation.folder,
            operation.key,
            0,
            operation.units,
            operation.cell,
            self.deployment.edge_count(operation.folder),
            False,
        )

    def _on_answer(self, future: asyncio.Future, answer: FinalAnswer, value, retry_after: Ticks) -> None:
        if future.done():
            return
        if answer is FinalAnswer.SUCCEEDED:
            future.set_result(value)
        elif answer is FinalAnswer.SHED:
            future.set_exception(OperationShedError(retry_after / TICKS_PER_SECOND))
        else:
            future.set_exception(OperationFailedError())

    def answer_value(self, op_id: str, node: str, value: messages.Outcome) -> OperationResult:
        """Returns the result of a successful operation."""
        cell = self.endpoint_table.cell_of_node[node]
        other_cells = tuple(other for other in self.cells_tried.get(op_id, ()) if other != cell)
        return OperationResult(value, cell, other_cells)

    # Actions of the scheduler (`interface.SchedulerActions`).

    def send_attempt(
        self, number: int, node: str, operation: InFlightOperation, timeout: Ticks, latest_start: float
    ) -> PendingRequest | None:
        """Sends an attempt to a node."""
        payload: EdgeOperation = operation.payload
        op_id = operation.request.op_id
        version = self.policy_versions[op_id]
        message = messages.Execute(
            op=op_id,
            execution=number,
            volume=payload.folder,
            lane=payload.request_class,
            key=payload.key,
            units=payload.units,
            time_out=timeout,
            policy=version.active,
            knows=version.newest,
        )
        payload.fill(message)
        self.cells_tried[op_id][self.endpoint_table.cell_of_node[node]] = True
        on_result = partial(self._on_outcome, op_id, number)
        return self.connections.send(node, message, on_result, latest_start)

    def _on_outcome(
        self, op_id: str, number: int, result: AttemptResult, outcome: messages.Outcome | None
    ) -> None:
        if outcome is None:
            self.on_reply(op_id, number, AttemptReply(result))
            return
        if outcome.floor:
            self.on_fenced(outcome.floor)
        reply = AttemptReply(result, outcome, outcome.fleet_use, outcome.from_others)
        self.on_reply(op_id, number, reply)

    def request_load_report(self, node: str) -> None:
        """Requests a load report from a node."""

        def on_report(result: AttemptResult, load: messages.Load | None) -> None:
            timer.cancel()
            if request is not None:
                request.drop()
            self.enqueue(self._on_load_report, node, result, load)

        request = self.connections.request_load_report(node, on_report)
        # A hung node never answers; on the timeout the scheduler treats it as overloaded.
        timer = self.loop.call_later(
            self.deployment.connect_timeout, on_report, AttemptResult.TIMED_OUT, None
        )

    def _on_load_report(
        self, now: Ticks, node: str, result: AttemptResult, load: messages.Load | None
    ) -> None:
        queue, service = _load_value(load, "queue"), _load_value(load, "service")
        self.call_scheduler(None, self.scheduler.on_load_report, node, result, queue, service)


def _load_value(load: messages.Load | None, name: str) -> float | None:
    # Invalid values would distort the node's concurrency limit, so they count as absent.
    if load is None or not load.HasField(name):
        return None
    value = getattr(load, name)
    return value if 0 <= value < MAX_LOAD_VALUE else None
