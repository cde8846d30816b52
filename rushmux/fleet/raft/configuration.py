"""Raft configurations: quorums and single-server membership changes (Ongaro, section 4.1)."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from rushmux.fleet.errors import MembershipChangeError

MAX_MEMBERS = 9  # tolerates four failures; more are not needed


class MembershipChange(NamedTuple):
    """The members after a change, and the added one, if any."""

    members: tuple[str, ...]
    added: str | None


def is_quorum(members: Collection[str], names: Collection[str]) -> bool:
    """Whether `names` include a majority of the members; other names are ignored."""
    return sum(name in names for name in members) * 2 > len(members)


def quorum_value(values: Collection[int]) -> int:
    """Returns the greatest value that a majority has reached, given one value per member."""
    return sorted(values, reverse=True)[len(values) // 2]


def plan_change(current: Collection[str], requested: Iterable[str]) -> MembershipChange:
    """Returns the change from the current members to the requested ones.

    Raises:
        MembershipChangeError: Not exactly one member joins or leaves, or the member count is out of range.
    """
    members = tuple(sorted(set(requested)))
    if len(set(members) ^ set(current)) != 1:
        raise MembershipChangeError("members can only be added or removed one at a time", members)
    if not 0 < len(members) <= MAX_MEMBERS:
        raise MembershipChangeError(f"the number of members must be 1 to {MAX_MEMBERS}", members)
    added = next((name for name in members if name not in current), None)
    return MembershipChange(members, added)
