"""The checker of the Raft simulation: knows nothing of the code but what members applied and who led."""

from rushmux.fleet import raft


class InvariantViolationError(AssertionError):
    """What must never be, with the time and who."""


class RaftChecker:
    """One leader a term, one entry an index, and no command applied twice."""

    def __init__(self):
        self.applied_entries: dict[int, raft.Entry] = {}
        """By index."""
        self.last_applied_at = 0.0
        self.leader_of_term: dict[int, str] = {}

    def on_applied(self, now: float, member: str, index: int, entry: raft.Entry) -> None:
        """No two members apply different entries at one index."""
        known = self.applied_entries.setdefault(index, entry)
        if known != entry:
            raise InvariantViolationError(
                f"{now:.3f} {member} applies {entry} at {index}, where {known} was applied"
            )
        self.last_applied_at = now

    def check_leader(self, now: float, node: raft.RaftNode) -> None:
        """No two members lead in one term."""
        if node.role != raft.Role.LEADER:
            return
        leader = self.leader_of_term.setdefault(node.term, node.member_id)
        if leader != node.member_id:
            raise InvariantViolationError(f"{now:.3f} {node.member_id} and {leader} lead in term {node.term}")

    def check_commands(self, now: float, member: str, commands: list[str]) -> None:
        """No command is applied twice; `commands`: all that a member applied."""
        if len(set(commands)) != len(commands):
            raise InvariantViolationError(f"{now:.3f} {member} applies command {commands[-1]} twice")

    def check_progress(self, heal_at: float, until: float) -> None:
        """Something was applied after the faults had ended."""
        if self.last_applied_at <= heal_at:
            raise InvariantViolationError(f"nothing was committed in {until - heal_at:.0f} quiet seconds")
