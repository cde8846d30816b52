"""The endpoint list: stores each change of it, then notifies the edges.

A change is on the disk before an edge is notified of it.  Where the disk takes nothing, edges are notified
all the same, the failure is logged, and the change is stored later.
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

NOTIFY_DELAY = 0.02  # seconds for which changes are gathered into one notification


class EndpointPublisher:
    """Stores changes of the fleet's members and sends them to the edges that subscribed.

    Attributes:
        version: the version of the endpoint list that edges were notified of last.
        unsaved: members whose changes the store has not taken yet.
        subscribers: the edges' connections.
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
        self.unsaved: dict[str, bool] = {}  # in the order in which they changed
        self.subscribers: dict[PeerConnection, bool] = {}  # in the order in which they came
        self._state = state
        self._store = store
        self._log = log
        self._cells = cells
        self._record = record
        self._is_leader = is_leader
        self._pending: dict[str, bool] = {}  # members that changed, in the order of their first change
        self._timer: asyncio.TimerHandle | None = None

    def begin_term(self) -> None:
        """Forgets what was to be stored and sent in the term before."""
        self._pending = {}
        self.unsaved = {}

    def close(self) -> None:
        """Ends without a further notification."""
        if self._timer is not None:
            self._timer.cancel()

    def subscribe(self, peer: PeerConnection) -> None:
        """Sends the complete list to an edge, and all changes from now on."""
        self.subscribers[peer] = True
        nodes = self._state.member_nodes()
        # A list without nodes is not to be believed: an edge keeps what it has until one is known.
        if nodes:
            peer.send(listing=self._listing(nodes, is_complete=True))

    def unsubscribe(self, peer: PeerConnection) -> None:
        """An edge's connection ended."""
        self.subscribers.pop(peer, None)

    def on_member_changes(self, changes: list[StateChange]) -> None:
        """Logs changes of members' states, and schedules a notification of them."""
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
        """Has a member stored and sent to the edges shortly."""
        self._pending[member] = True
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(NOTIFY_DELAY, self._publish)

    def _publish(self) -> None:
        self._timer = None
        pending, self._pending = self._pending, {}
        if not self._is_leader():  # another planner's list is newer by now
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
        """Stores members that changed, and those that the store did not take before.

        What edges are notified of must survive a kill.  A full disk is logged, and tried again.
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
        except OSError as fault:
            self._log.error("membership_store.write_failed", why=str(fault), waiting=len(self.unsaved))
            return
        self.unsaved = {}

    def _listing(self, nodes: dict[str, NodeRecord], *, is_complete: bool) -> messages.Listing:
        now = asyncio.get_running_loop().time()
        listing = messages.Listing(version=self.version, whole=is_complete, cells=self._cells)
        for name, node in nodes.items():
            entry = listing.entries.add()
            entry.CopyFrom(node.entry)
            # What a node reports of itself is not what was decided about it.
            state = self._state.membership.members[name].state
            entry.condition = PUBLISHED_STATES.get(state, state)
            entry.age += int((now - node.reported_at) * TICKS_PER_SECOND)
        return listing
