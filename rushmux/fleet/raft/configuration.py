"""Membership of the log: quorums, and changes by one member at a time (Ongaro, section 4.1)."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from rushmux.fleet.errors import MembershipChangeError

MAX_MEMBERS = 9  # more make nothing safer


class MembershipChange(NamedTuple):
    """The members after a change, and the one that joins by it, if any."""

    members: tuple[str, ...]
    added: str | None


def is_quorum(members: Collection[str], names: Collection[str]) -> bool:
    """Whether `names` hold a majority of the members; other names do not count."""
    return sum(name in names for name in members) * 2 > len(members)


def quorum_value(values: Collection[int]) -> int:
    """The greatest value that a majority has reached; `values` has one value of each member."""
    return sorted(values, reverse=True)[len(values) // 2]


def plan_change(current: Collection[str], requested: Iterable[str]) -> MembershipChange:
    """The change from the current members to those requested.

    Raises:
        MembershipChangeError: It is not one member that joins or leaves, or the number is out of bounds.
    """
    members = tuple(sorted(set(requested)))
    if len(set(members) ^ set(current)) != 1:
        raise MembershipChangeError("members come and go one at a time", members)
    if not 0 < len(members) <= MAX_MEMBERS:
        raise MembershipChangeError(f"1 to {MAX_MEMBERS} members", members)
    added = next((name for name in members if name not in current), None)
    return MembershipChange(members, added)
