"""The storage nodes known to an edge from the endpoint list and the nodes' welcome messages."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from rushmux.edge.node_connections import Address, NodeConnections
from rushmux.nodewire import messages
from rushmux.scheduling.interface import Endpoint, EndpointState, Ticks, UpdateKind

if TYPE_CHECKING:
    from rushmux.edge.driver import EdgeDriver

MAX_ENDPOINTS = 10_000  # nodes in a listing; larger than any supported fleet
MAX_STARTS = 4  # starts remembered per node, to recognize late messages about older ones
CONDITIONS = frozenset(EndpointState)


class DiskSpace(NamedTuple):
    """A node's disk space in bytes."""

    total: int
    free: int


class EndpointTable:
    """Tracks nodes, and passes changes on to the scheduler and the node connections."""

    def __init__(self, driver: "EdgeDriver", connections: NodeConnections, log):
        self.driver, self.connections, self.log = driver, connections, log
        self.cell_count = 0
        self.cell_of_node: dict[str, int] = {}
        self.disk_space: dict[str, DiskSpace] = {}
        self.endpoints: dict[str, Endpoint] = {}  # as last passed to the scheduler
        self.start_times: dict[str, dict[str, Ticks]] = {}  # node -> start id -> time, oldest first
        connections.on_welcome = self.on_welcome

    def on_listing(self, listing: messages.Listing) -> bool:
        """Applies a listing; returns False if it is implausible.

        Of a listing that would leave no ready node only the drains are applied, since they have to be kept
        whoever announces them.
        """
        if not self._has_valid_size(listing):
            self._log_rejected(listing)
            return False
        if self._removes_last_ready_nodes(listing):
            self._log_rejected(listing)
            self._apply_drains(listing)
            return False
        self._apply(listing)
        return True

    def _log_rejected(self, listing: messages.Listing) -> None:
        ready = sum(entry.condition == EndpointState.READY for entry in listing.entries)
        self.log.warning("endpoints.rejected", entries=len(listing.entries), cells=listing.cells, ready=ready)

    @staticmethod
    def _has_valid_size(listing: messages.Listing) -> bool:
        return len(listing.entries) <= MAX_ENDPOINTS and 0 < listing.cells <= MAX_ENDPOINTS

    def _removes_last_ready_nodes(self, listing: messages.Listing) -> bool:
        """Whether a snapshot without ready nodes omits some that are ready.

        A new or faulty planner may know no nodes; nodes that really leave are drained or removed one by one.
        """
        if not listing.whole or any(entry.condition == EndpointState.READY for entry in listing.entries):
            return False
        drained = {entry.node for entry in listing.entries if entry.condition == EndpointState.DRAINING}
        return any(
            endpoint.state is EndpointState.READY and endpoint.node not in drained
            for endpoint in self.endpoints.values()
        )

    def _apply_drains(self, listing: messages.Listing) -> None:
        drains = [entry for entry in listing.entries if entry.condition == EndpointState.DRAINING]
        if drains:
            self._apply(
                messages.Listing(version=listing.version, whole=False, cells=self.cell_count, entries=drains)
            )

    def _apply(self, listing: messages.Listing) -> None:
        now = self.driver.now()
        endpoints = [
            self._update(entry, now) for entry in listing.entries if self._is_valid(entry, listing.cells)
        ]
        if listing.whole:
            self._remove_all_but({endpoint.node for endpoint in endpoints})
        self.cell_count = listing.cells
        self.log.info(
            "endpoints.updated",
            version=listing.version,
            snapshot=listing.whole,
            nodes=[[endpoint.node, endpoint.state] for endpoint in endpoints],
        )
        kind = UpdateKind.SNAPSHOT if listing.whole else UpdateKind.DELTA
        self.driver.update_endpoints(kind, endpoints)

    def _is_valid(self, entry: messages.Entry, cell_count: int) -> bool:
        if entry.cell < cell_count and entry.condition in CONDITIONS:
            return True
        self.log.warning(
            "endpoints.entry_rejected", node=entry.node, cell=entry.cell, condition=entry.condition
        )
        return False

    def _update(self, entry: messages.Entry, now: Ticks) -> Endpoint:
        state = EndpointState(entry.condition)
        removed = state is EndpointState.REMOVED
        online_since = self._online_since(entry.node, entry.start, entry.age, now)
        self.connections.set_address(entry.node, None if removed else Address(entry.host, entry.port))
        self.cell_of_node[entry.node] = entry.cell
        self.disk_space[entry.node] = DiskSpace(0, 0) if removed else DiskSpace(entry.total, entry.free)
        endpoint = Endpoint(entry.node, entry.cell, entry.zone, state, online_since)
        self.endpoints[entry.node] = endpoint
        return endpoint

    def _remove_all_but(self, listed: Iterable[str]) -> None:
        for node in [node for node in self.connections.by_node if node not in listed]:
            self.connections.set_address(node, None)
            self.disk_space.pop(node, None)

    def _online_since(self, node: str, start: str, age: Ticks, now: Ticks) -> Ticks:
        # A node's latest start on this clock; 0: long ago.  The first report of a start, by the list or the
        # node, fixes its time; starts that are not later than known ones are ignored.
        starts = self.start_times.setdefault(node, {})
        if start not in starts:
            warm = age >= self.driver.deployment.settings.warm_up_time
            since = 0 if warm else max(1, now - age)
            if not starts or since > max(starts.values()):
                starts[start] = since
            while len(starts) > MAX_STARTS:
                del starts[next(iter(starts))]
        return max(starts.values())

    def on_welcome(self, node: str, start: str, age: Ticks) -> None:
        """Handles a node's welcome message, which states its start and its age.

        It reveals a restarted, and therefore cold, node seconds before the endpoint list does.
        """
        endpoint = self.endpoints.get(node)
        if endpoint is None:
            return
        online_since = self._online_since(node, start, age, self.driver.now())
        if online_since != endpoint.online_since:
            endpoint = endpoint._replace(online_since=online_since)
            self.endpoints[node] = endpoint
            self.log.info("node.restarted", node=node, start=start)
            self.driver.update_endpoints(UpdateKind.DELTA, [endpoint])
