"""A member's log: a snapshot, the entries after it, and how far they are persisted, committed and applied."""

from collections.abc import Sequence

from rushmux.fleet.errors import CompactionError
from rushmux.fleet.raft.messages import Entry, EntryKind, PersistentState, Snapshot


class RaftLog:
    """The log in memory; `RaftNode.ready` emits what is not persisted yet.

    Indexes start at 1 and continue after a snapshot.
    """

    def __init__(self, state: PersistentState):
        self.snapshot = state.snapshot
        self.entries = list(state.entries)
        self.commit_index = state.snapshot.index
        self.last_applied = state.snapshot.index
        self.persisted_index = self.last_index
        self.emitted_index = self.last_index
        """Index up to which entries were emitted to be persisted."""
        self.truncated_from: int | None = None
        """Lowest index truncated since the last emitted batch."""
        self.snapshot_to_persist: Snapshot | None = None
        self.snapshot_to_restore: Snapshot | None = None
        self.members = self.members_at(self.last_index)
        """The newest configuration; it takes effect when appended, committed or not."""

    def __len__(self) -> int:
        """Number of entries after the snapshot."""
        return len(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def entry(self, index: int) -> Entry:
        """Returns the entry at an index after the snapshot."""
        return self.entries[index - self.snapshot.index - 1]

    def entries_from(self, index: int, limit: int) -> tuple[Entry, ...]:
        """Returns up to `limit` entries, starting at an index after the snapshot."""
        offset = index - self.snapshot.index - 1
        return tuple(self.entries[offset : offset + limit])

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at an index, or None if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def members_at(self, index: int) -> tuple[str, ...]:
        """Returns the members according to the newest configuration up to an index."""
        for entry in reversed(self.entries[: max(0, index - self.snapshot.index)]):
            if entry.kind == EntryKind.CONFIGURATION:
                return entry.body
        return self.snapshot.members

    def possible_match_before(self, index: int) -> int:
        """Returns the last index that may match the log of a leader whose term at `index` differs.

        Skips all entries of the conflicting term at once, but no committed one.
        """
        conflicting_term = self.term_at(index)
        match_index = min(index - 1, self.last_index)
        while match_index > self.commit_index and self.term_at(match_index) == conflicting_term:
            match_index -= 1
        return match_index

    def append(self, entries: Sequence[Entry]) -> None:
        """Appends entries; a configuration among them takes effect immediately."""
        self.entries += entries
        if any(entry.kind == EntryKind.CONFIGURATION for entry in entries):
            self.members = self.members_at(self.last_index)

    def merge(self, prev_index: int, entries: Sequence[Entry]) -> None:
        """Appends a leader's entries after `prev_index`, replacing conflicting ones."""
        for offset, entry in enumerate(entries):
            index = prev_index + 1 + offset
            known_term = self.term_at(index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                self.truncate(index)
            self.append(entries[offset:])
            return

    def truncate(self, index: int) -> None:
        """Removes the entries from an index on; none of them may be committed."""
        assert index > self.commit_index, "committed entries must not be truncated"
        del self.entries[index - self.snapshot.index - 1 :]
        self.truncated_from = index if self.truncated_from is None else min(self.truncated_from, index)
        self.persisted_index = min(self.persisted_index, index - 1)
        self.emitted_index = min(self.emitted_index, index - 1)
        self.members = self.members_at(self.last_index)

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to an applied index by a snapshot of the resulting state.

        Raises:
            CompactionError: The index is not applied yet, or already part of the snapshot.
        """
        if not self.snapshot.index < index <= self.last_applied:
            raise CompactionError(index, self.last_applied, self.snapshot.index)
        self._compact_into(Snapshot(index, self.term_at(index), self.members_at(index), state))

    def install(self, snapshot: Snapshot) -> None:
        """Installs a leader's snapshot, unless everything in it is already committed here."""
        if snapshot.index <= self.commit_index:
            return
        if self.term_at(snapshot.index) == snapshot.term:
            self._compact_into(snapshot)
        else:
            self._replace_all(snapshot)
        self.commit_index = self.last_applied = snapshot.index
        self.snapshot_to_restore = snapshot
        self.members = self.members_at(self.last_index)

    def _compact_into(self, snapshot: Snapshot) -> None:
        self.entries = self.entries[snapshot.index - self.snapshot.index :]
        self.snapshot = self.snapshot_to_persist = snapshot
        self.persisted_index = max(self.persisted_index, snapshot.index)
        self.emitted_index = max(self.emitted_index, snapshot.index)

    def _replace_all(self, snapshot: Snapshot) -> None:
        if self.entries:
            self.truncate(self.commit_index + 1)
        self.entries = []
        self.snapshot = self.snapshot_to_persist = snapshot
        self.persisted_index = self.emitted_index = snapshot.index

    def unemitted_entries(self) -> tuple[tuple[int, Entry], ...]:
        """Returns the entries not emitted to be persisted yet, with their indexes."""
        return self._indexed(max(self.emitted_index, self.snapshot.index) + 1, self.last_index)

    def unapplied_entries(self) -> tuple[tuple[int, Entry], ...]:
        """Returns the committed entries not emitted to be applied yet, with their indexes."""
        return self._indexed(self.last_applied + 1, self.commit_index)

    def _indexed(self, first: int, last: int) -> tuple[tuple[int, Entry], ...]:
        return tuple((index, self.entry(index)) for index in range(first, last + 1))

    def mark_emitted(self) -> None:
        """Records that everything unpersisted and unapplied was emitted."""
        self.snapshot_to_persist = None
        self.truncated_from = None
        self.snapshot_to_restore = None
        self.emitted_index = self.last_index
        self.last_applied = self.commit_index

    def on_persisted(self, entries: Sequence[tuple[int, Entry]]) -> None:
        """Records that these entries are on disk, unless truncated since."""
        if not entries:
            return
        index, entry = entries[-1]
        if self.term_at(index) == entry.term:
            self.persisted_index = max(self.persisted_index, index)
