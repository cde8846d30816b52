"""Takes planners with new disks into the log's configuration, in the place of their old members.

A planner whose disk was lost comes back as a new member: its name with the new disk's incarnation.  The
leader sends it the log, adds it, then removes the old member, by one change of the configuration at a time.
"""

from collections.abc import Collection

import structlog

from rushmux.fleet import raft
from rushmux.planner.deduplicated_warnings import DeduplicatedWarnings
from rushmux.planner.raft_transport import planner_of

MAX_CANDIDATES = 8  # members that wait to be added


class MemberReplacement:
    """The leader's side of the replacement.

    Args:
        planners: names of all planners of the fleet.
        log: the logger.
        warnings: the logger of failures that repeat.
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
        self._candidates: dict[str, bool] = {}  # in the order in which they came

    def on_planner_connected(self, member_id: str, members: Collection[str]) -> None:
        """A planner connected under a member id, which may be a new one."""
        is_new = member_id not in members and planner_of(member_id) in self._planners
        if is_new and len(self._candidates) < MAX_CANDIDATES:
            self._candidates[member_id] = True

    def advance(self, node: raft.RaftNode, now: float) -> bool:
        """Proposes the next change of the configuration; whether there was one to propose."""
        for candidate in list(self._candidates):
            wanted = self._wanted_members(candidate, node.members)
            if wanted is None:
                del self._candidates[candidate]
                continue
            self._propose(node, now, candidate, wanted)
            return True
        return False

    def _wanted_members(self, candidate: str, members: Collection[str]) -> list[str] | None:
        """The members after the next change for a candidate; None: it has replaced its old member."""
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
        except raft.ProposalRejectedError as fault:
            self._warnings.warn("raft.configuration_waiting", f"{candidate}: {fault}")
            return
        self._log.info("raft.configuration_proposed", members=wanted)
