"""Stores each change of the endpoint list, then notifies the edges of it.

If a change cannot be stored, the failure is logged, edges are notified nevertheless, and it is stored later.
"""

import asyncio
from collections.abc import Callable, Iterable

import structlog

from rushmux.fleet.membership import PUBLISHED_STATES, MemberKind, MemberState, StateChange
from rushmux.nodewire import messages
from rushmux.planner.fleet_state import FleetState, NodeRecord
from rushmux.planner.membership_store import MemberRow, MembershipStore
from rushmux.planner.server import PeerConnection
from rushmux.scheduling.driver import TICKS_PER_SECOND

NOTIFY_DELAY = 0.02  # seconds during which changes are collected into one notification


class EndpointPublisher:
    """Stores changes of the fleet's members, and sends them to subscribed edges.

    Attributes:
        version: The version of the endpoint list that edges were last notified of.
        unsaved: Members whose changes are not stored yet.
        subscribers: The edges' connections.
    """

    def __init__(
        self,
        state: FleetState,
        store: MembershipStore,
        log: structlog.typing.FilteringBoundLogger,
        *,
        cells: int,
        record: Callable,
        is_leader: Callable[[], bool],
    ):
        self.version = store.version
        self.unsaved: dict[str, bool] = {}  # in order of change
        self.subscribers: dict[PeerConnection, bool] = {}  # in order of arrival
        self._state = state
        self._store = store
        self._log = log
        self._cells = cells
        self._record = record
        self._is_leader = is_leader
        self._pending: dict[str, bool] = {}  # changed members, in order of their first change
        self._timer: asyncio.TimerHandle | None = None

    def begin_term(self) -> None:
        """Discards what remained to be stored and sent in the previous term."""
        self._pending = {}
        self.unsaved = {}

    def close(self) -> None:
        """Stops without sending pending notifications."""
        if self._timer is not None:
            self._timer.cancel()

    def subscribe(self, peer: PeerConnection) -> None:
        """Sends an edge the complete list, and all changes from now on."""
        self.subscribers[peer] = True
        nodes = self._state.member_nodes()
        # An empty list is not credible: the edge keeps its previous one until a node is known.
        if nodes:
            peer.send(listing=self._listing(nodes, is_complete=True))

    def unsubscribe(self, peer: PeerConnection) -> None:
        """Removes an edge whose connection ended."""
        self.subscribers.pop(peer, None)

    def on_member_changes(self, changes: list[StateChange]) -> None:
        """Logs changes of members' states, and schedules their publication."""
        for change in changes:
            self._log.info(
                "member.state_changed",
                member=change.member,
                condition=change.state,
                reason=change.reason,
            )
            self._state.reasons[change.member] = change.reason
            self.schedule(change.member)

    def schedule(self, member: str) -> None:
        """Schedules a member to be stored and sent to the edges."""
        self._pending[member] = True
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(NOTIFY_DELAY, self._publish)

    def _publish(self) -> None:
        self._timer = None
        pending, self._pending = self._pending, {}
        if not self._is_leader():  # the new leader's list is newer
            return
        nodes = {
            name: self._state.nodes[name]
            for name in pending
            if (member := self._state.membership.members.get(name)) is not None
            and member.kind != MemberKind.EDGE
        }
        version = self.version + 1 if nodes else self.version
        self.save(pending, version)
        if not nodes:
            return
        self.version = version
        listing = self._listing(nodes, is_complete=False)
        self._record(
            "shown", version=version, nodes=[[entry.node, entry.condition] for entry in listing.entries]
        )
        for peer in self.subscribers:
            peer.send(listing=listing)

    def save(self, changed: Iterable[str], version: int | None = None) -> None:
        """Stores changed members, and those that could not be stored before.

        What edges are notified of must survive a crash of this planner.  A failed write is logged, and
        repeated by the next call.
        """
        self.unsaved.update(dict.fromkeys(changed, True))
        rows, removed = [], []
        for name in self.unsaved:
            member = self._state.membership.members.get(name)
            if member is None or (member.kind == MemberKind.EDGE and member.state == MemberState.REMOVED):
                removed.append(name)
                continue
            node = self._state.nodes.get(name)
            entry = node.entry.SerializeToString() if node is not None else b""
            rows.append(MemberRow(name, member.kind, member.incarnation, member.draining, entry))
        try:
            self._store.save(rows, removed, self.version if version is None else version)
        except OSError as error:
            self._log.error("membership_store.write_failed", why=str(error), waiting=len(self.unsaved))
            return
        self.unsaved = {}

    def _listing(self, nodes: dict[str, NodeRecord], *, is_complete: bool) -> messages.Listing:
        now = asyncio.get_running_loop().time()
        listing = messages.Listing(version=self.version, whole=is_complete, cells=self._cells)
        for name, node in nodes.items():
            entry = listing.entries.add()
            entry.CopyFrom(node.entry)
            # The planner's decision about the node, not the state that the node reported.
            state = self._state.membership.members[name].state
            entry.condition = PUBLISHED_STATES.get(state, state)
            entry.age += int((now - node.reported_at) * TICKS_PER_SECOND)
        return listing
