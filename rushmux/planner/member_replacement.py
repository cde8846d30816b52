"""Replaces members of the log's configuration whose planners come back with new disks.

A planner that lost its disk comes back as a new member: its name with the new disk's incarnation.  The
leader sends it the log, adds it and then removes the old member, one configuration change at a time.
"""

from collections.abc import Collection

import structlog

from rushmux.fleet import raft
from rushmux.planner.deduplicated_warnings import DeduplicatedWarnings
from rushmux.planner.raft_transport import planner_of

MAX_CANDIDATES = 8  # new members waiting to be added


class MemberReplacement:
    """The leader's part in the replacement of members.

    Args:
        planners: Names of all planners of the fleet.
        log: The logger.
        warnings: The logger of recurring failures.
    """

    def __init__(
        self,
        planners: Collection[str],
        log: structlog.typing.FilteringBoundLogger,
        warnings: DeduplicatedWarnings,
    ):
        self._planners = planners
        self._log = log
        self._warnings = warnings
        self._candidates: dict[str, bool] = {}  # in order of arrival

    def on_planner_connected(self, member_id: str, members: Collection[str]) -> None:
        """Remembers the member id of a planner that connected, if it is a new one."""
        is_new = member_id not in members and planner_of(member_id) in self._planners
        if is_new and len(self._candidates) < MAX_CANDIDATES:
            self._candidates[member_id] = True

    def advance(self, node: raft.RaftNode, now: float) -> bool:
        """Proposes the next configuration change, and returns whether there was one."""
        for candidate in list(self._candidates):
            wanted = self._wanted_members(candidate, node.members)
            if wanted is None:
                del self._candidates[candidate]
                continue
            self._propose(node, now, candidate, wanted)
            return True
        return False

    def _wanted_members(self, candidate: str, members: Collection[str]) -> list[str] | None:
        """Returns the members after a candidate's next change, or None if it has replaced its old member."""
        if candidate not in members:
            return [*members, candidate]
        old = [
            member
            for member in members
            if member != candidate and planner_of(member) == planner_of(candidate)
        ]
        if not old:
            return None
        return [member for member in members if member != old[0]]

    def _propose(self, node: raft.RaftNode, now: float, candidate: str, wanted: list[str]) -> None:
        try:
            if candidate not in node.members:
                node.add_learner(now, candidate)
            node.change_members(now, wanted)
        except raft.ProposalRejectedError as error:
            self._warnings.warn("raft.configuration_waiting", f"{candidate}: {error}")
            return
        self._log.info("raft.configuration_proposed", members=wanted)
