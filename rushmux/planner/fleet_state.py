"""The leader's view of the fleet: members, nodes' reports, drains and reasons for states."""

from collections.abc import Iterable
from typing import NamedTuple

from rushmux.fleet.membership import MemberKind, Membership, StoredMember
from rushmux.nodewire import messages
from rushmux.planner.membership_store import MemberRow


class NodeRecord(NamedTuple):
    """A node's last report.

    Attributes:
        entry: The node's entry for the endpoint list.
        reported_at: When the report arrived, in seconds of the event loop's clock.
    """

    entry: messages.Entry
    reported_at: float


class FleetState:
    """The fleet during one term of leadership.

    Attributes:
        term: The term in which this state was restored.
        membership: The members and their states.
        nodes: The nodes' last reports by node name.
        drained: Nodes that operators drained.
        reasons: Why each member is in its state, by its name.
    """

    def __init__(self):
        self.term = 0
        self.membership = Membership(0.0)
        self.nodes: dict[str, NodeRecord] = {}
        self.drained: set[str] = set()
        self.reasons: dict[str, str] = {}

    def restore(self, now: float, term: int, rows: list[MemberRow], drained: Iterable[str]) -> None:
        """Restores the state from stored members for a new term."""
        self.term = term
        self.drained = set(drained)
        self.nodes = {
            row.name: NodeRecord(messages.Entry.FromString(row.entry), now)
            for row in rows
            if row.kind == MemberKind.NODE
        }
        self.membership = Membership(now)
        self.membership.restore(
            now,
            [
                StoredMember(row.name, MemberKind(row.kind), row.incarnation, row.name in self.drained)
                for row in rows
            ],
        )

    def remove_former_nodes(self) -> list[str]:
        """Removes nodes that are no longer members, and returns their names."""
        former = [name for name in self.nodes if name not in self.membership.members]
        for name in former:
            del self.nodes[name]
            self.reasons.pop(name, None)
        return former

    def member_nodes(self) -> dict[str, NodeRecord]:
        """Returns the reports of nodes that are members."""
        return {name: node for name, node in self.nodes.items() if name in self.membership.members}
