"""The checker of the Raft simulation, which sees only what members applied and who led."""

from rushmux.fleet import raft


class InvariantViolationError(AssertionError):
    """A violated invariant; the text states the time and the members."""


class RaftChecker:
    """Checks that each term has one leader, each index one entry, and no command is applied twice."""

    def __init__(self):
        self.applied_entries: dict[int, raft.Entry] = {}
        """Entries by index."""
        self.last_applied_at = 0.0
        self.leader_of_term: dict[int, str] = {}

    def on_applied(self, now: float, member: str, index: int, entry: raft.Entry) -> None:
        """Checks that members apply the same entry at an index."""
        known = self.applied_entries.setdefault(index, entry)
        if known != entry:
            raise InvariantViolationError(
                f"{now:.3f} {member} applies {entry} at index {index}, where {known} was applied"
            )
        self.last_applied_at = now

    def check_leader(self, now: float, node: raft.RaftNode) -> None:
        """Checks that no other member leads in the same term."""
        if node.role != raft.Role.LEADER:
            return
        leader = self.leader_of_term.setdefault(node.term, node.member_id)
        if leader != node.member_id:
            raise InvariantViolationError(f"{now:.3f} {node.member_id} and {leader} lead in term {node.term}")

    def check_commands(self, now: float, member: str, commands: list[str]) -> None:
        """Checks that a member's list of applied commands has no duplicates."""
        if len(set(commands)) != len(commands):
            raise InvariantViolationError(f"{now:.3f} {member} applied command {commands[-1]} twice")

    def check_progress(self, heal_at: float, until: float) -> None:
        """Checks that an entry was applied after the faults had ended."""
        if self.last_applied_at <= heal_at:
            raise InvariantViolationError(f"nothing was committed in {until - heal_at:.0f} s without faults")
