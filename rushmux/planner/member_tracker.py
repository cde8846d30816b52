"""Derives the fleet's membership from nodes' reports and edges' connections."""

import asyncio

from rushmux.fleet.errors import MembershipFullError
from rushmux.fleet.membership import MemberKind
from rushmux.nodewire import WireError, messages
from rushmux.planner.endpoint_publisher import EndpointPublisher
from rushmux.planner.fleet_state import FleetState, NodeRecord
from rushmux.planner.server import PeerConnection

MAX_NODES = 10_000  # in the endpoint list; edges accept no more
MAX_AGE = 1 << 53  # tenths of a millisecond, leaving room for the time added while the entry is listed
MAX_PORT = 65_535
MAX_TEXT_LENGTH = 255  # characters of a name, a host, a zone or an incarnation
DRAINING = "draining"  # a node that reports this condition requests its own drain


class MemberTracker:
    """Keeps the membership up to date, and has changes published.

    Args:
        state: The fleet's state, which this object modifies.
        publisher: Stores changes and sends them to the edges.
        cells: Number of shards of the fleet's data.
    """

    def __init__(self, state: FleetState, publisher: EndpointPublisher, cells: int):
        self._state = state
        self._publisher = publisher
        self._cells = cells
        self._member_of: dict[PeerConnection, str] = {}

    def tick(self) -> None:
        """Renews edges' leases and ends expired ones; called twice a second while this planner leads."""
        # Edges send no reports: an edge is alive as long as it is connected.
        for peer in list(self._publisher.subscribers):
            self._mark_alive(peer.name, MemberKind.EDGE, peer.hello.start, in_flight=0)
        self._publisher.on_member_changes(self._state.membership.tick(self._now()))
        former = self._state.remove_former_nodes()
        if self._publisher.unsaved or former:
            self._publisher.save(former)

    def on_edge_connected(self, peer: PeerConnection) -> None:
        """Registers an edge, and subscribes it to the endpoint list.

        Raises:
            WireError: There are too many members.
        """
        self._member_of[peer] = peer.name
        self._mark_alive(peer.name, MemberKind.EDGE, peer.hello.start, in_flight=0)
        self._publisher.subscribe(peer)

    def on_disconnected(self, peer: PeerConnection) -> None:
        """Gives a member whose last connection ended a short time to reconnect."""
        self._publisher.unsubscribe(peer)
        name = self._member_of.pop(peer, None)
        if name is not None and name not in self._member_of.values():
            self._state.membership.on_disconnect(self._now(), name)

    def on_report(self, peer: PeerConnection, report: messages.Report) -> None:
        """Handles a node's report.

        Raises:
            WireError: The report is invalid, or there are too many members.
        """
        entry, now = report.entry, self._now()
        self._check_entry(peer, entry)
        self._member_of[peer] = entry.node
        previous = self._state.nodes.get(entry.node)
        self._mark_alive(entry.node, MemberKind.NODE, entry.start, report.out)
        member = self._state.membership.members.get(entry.node)
        if member is None or member.incarnation != entry.start:
            return  # a late report from an earlier incarnation
        self._state.nodes[entry.node] = NodeRecord(entry, now)
        # A node's own request to drain counts like an operator's.
        should_drain = entry.condition == DRAINING or entry.node in self._state.drained
        if should_drain and not member.draining:
            self._publisher.on_member_changes(self._state.membership.drain(now, entry.node))
        if previous is None or _address(previous.entry) != _address(entry):
            self._publisher.schedule(entry.node)

    def _check_entry(self, peer: PeerConnection, entry: messages.Entry) -> None:
        if entry.cell >= self._cells or entry.node != peer.name or not entry.node:
            raise WireError(
                f"node {entry.node} of cell {entry.cell} does not belong to this fleet or connection"
            )
        if entry.age > MAX_AGE or not 0 < entry.port <= MAX_PORT or not entry.host:
            raise WireError(
                f"node {entry.node} has an invalid age {entry.age} or address '{entry.host}':{entry.port}"
            )
        if any(len(text) > MAX_TEXT_LENGTH for text in (entry.node, entry.host, entry.zone, entry.start)):
            raise WireError(f"a name, host, zone or incarnation exceeds {MAX_TEXT_LENGTH} characters")
        if len(self._state.nodes) >= MAX_NODES and entry.node not in self._state.nodes:
            raise WireError(f"the maximum of {MAX_NODES} nodes is reached")

    def _mark_alive(self, name: str, kind: MemberKind, incarnation: str, in_flight: int) -> None:
        try:
            changes = self._state.membership.on_report(self._now(), name, kind, incarnation, in_flight)
        except MembershipFullError as error:
            raise WireError(str(error)) from error
        self._publisher.on_member_changes(changes)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _address(entry: messages.Entry) -> tuple[str, str, int, int]:
    """Returns the fields whose changes edges are notified of."""
    return entry.start, entry.host, entry.port, entry.cell
