"""A member of the Raft simulation."""

from rushmux.fleet import raft


class SimulatedMember:
    """A member's process and its disk; only `disk` survives a crash."""

    def __init__(self, name: str, disk: raft.PersistentState):
        self.name = name
        self.disk = disk
        self.node: raft.RaftNode | None = None
        """None while it is down."""
        self.commands: list[str] = []
        """The state machine: the applied commands in order."""
        self.sessions = raft.ClientSessions()

    def persist(self, ready: raft.Ready) -> None:
        """Writes a `Ready` batch to the disk."""
        disk = self.disk
        entries = dict(enumerate(disk.entries, disk.snapshot.index + 1))
        if ready.truncate_from is not None:
            entries = {index: entry for index, entry in entries.items() if index < ready.truncate_from}
        entries.update(ready.entries)
        snapshot = ready.snapshot or disk.snapshot
        term, voted_for = ready.hard_state or (disk.term, disk.voted_for)
        last_index = max([snapshot.index, *entries])
        rows = [entries[index] for index in range(snapshot.index + 1, last_index + 1)]
        self.disk = raft.PersistentState(term, voted_for, snapshot, tuple(rows))
