"""A member's log: entries behind a snapshot, and how far they are persisted, committed and applied."""

from collections.abc import Sequence

from rushmux.fleet.errors import CompactionError
from rushmux.fleet.raft.messages import Entry, EntryKind, PersistentState, Snapshot


class RaftLog:
    """The log as this member has it in memory; what its disk lacks is handed out by `RaftNode.ready`.

    Indexes count from 1 and go on behind a snapshot.
    """

    def __init__(self, state: PersistentState):
        self.snapshot = state.snapshot
        self.entries = list(state.entries)
        self.commit_index = state.snapshot.index
        self.last_applied = state.snapshot.index
        self.persisted_index = self.last_index
        self.emitted_index = self.last_index
        """Up to here entries were handed out to be persisted."""
        self.truncated_from: int | None = None
        """Least index that was dropped since the last hand-out."""
        self.snapshot_to_persist: Snapshot | None = None
        self.snapshot_to_restore: Snapshot | None = None
        self.members = self.members_at(self.last_index)
        """The newest configuration: it counts from when it is appended, committed or not."""

    def __len__(self) -> int:
        """Entries behind the snapshot."""
        return len(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry; the snapshot's where there is none behind it."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def entry(self, index: int) -> Entry:
        """The entry at an index behind the snapshot."""
        return self.entries[index - self.snapshot.index - 1]

    def entries_from(self, index: int, limit: int) -> tuple[Entry, ...]:
        """At most `limit` entries from an index behind the snapshot on."""
        offset = index - self.snapshot.index - 1
        return tuple(self.entries[offset : offset + limit])

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index; None where the log has no such entry (any more)."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def members_at(self, index: int) -> tuple[str, ...]:
        """The members by the newest configuration up to an index."""
        for entry in reversed(self.entries[: max(0, index - self.snapshot.index)]):
            if entry.kind == EntryKind.CONFIGURATION:
                return entry.body
        return self.snapshot.members

    def possible_match_before(self, index: int) -> int:
        """Up to where the log may agree with a leader's that has another term at `index`.

        All entries of the term that conflicts are skipped at once, but no committed one.
        """
        conflicting_term = self.term_at(index)
        match_index = min(index - 1, self.last_index)
        while match_index > self.commit_index and self.term_at(match_index) == conflicting_term:
            match_index -= 1
        return match_index

    def append(self, entries: Sequence[Entry]) -> None:
        """Appends entries; a configuration among them is in effect at once."""
        self.entries += entries
        if any(entry.kind == EntryKind.CONFIGURATION for entry in entries):
            self.members = self.members_at(self.last_index)

    def merge(self, prev_index: int, entries: Sequence[Entry]) -> None:
        """Takes over a leader's entries behind `prev_index`; own entries that conflict are dropped."""
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
        """Drops the entries from an index on, none of which may be committed."""
        assert index > self.commit_index, "what was decided is never undone"
        del self.entries[index - self.snapshot.index - 1 :]
        self.truncated_from = index if self.truncated_from is None else min(self.truncated_from, index)
        self.persisted_index = min(self.persisted_index, index - 1)
        self.emitted_index = min(self.emitted_index, index - 1)
        self.members = self.members_at(self.last_index)

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to an applied index by a snapshot of the state that they made.

        Raises:
            CompactionError: The index is not applied yet, or a snapshot holds it already.
        """
        if not self.snapshot.index < index <= self.last_applied:
            raise CompactionError(index, self.last_applied, self.snapshot.index)
        self._drop_until(Snapshot(index, self.term_at(index), self.members_at(index), state))

    def install(self, snapshot: Snapshot) -> None:
        """Takes over a leader's snapshot; one that holds nothing beyond what is committed is ignored."""
        if snapshot.index <= self.commit_index:
            return
        if self.term_at(snapshot.index) == snapshot.term:
            self._drop_until(snapshot)
        else:
            self._replace_all(snapshot)
        self.commit_index = self.last_applied = snapshot.index
        self.snapshot_to_restore = snapshot
        self.members = self.members_at(self.last_index)

    def _drop_until(self, snapshot: Snapshot) -> None:
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
        """Entries that were not handed out to be persisted, with their indexes."""
        return self._indexed(max(self.emitted_index, self.snapshot.index) + 1, self.last_index)

    def unapplied_entries(self) -> tuple[tuple[int, Entry], ...]:
        """Committed entries that were not handed out to be applied, with their indexes."""
        return self._indexed(self.last_applied + 1, self.commit_index)

    def _indexed(self, first: int, last: int) -> tuple[tuple[int, Entry], ...]:
        return tuple((index, self.entry(index)) for index in range(first, last + 1))

    def mark_emitted(self) -> None:
        """All that is unpersisted and unapplied was handed out."""
        self.snapshot_to_persist = None
        self.truncated_from = None
        self.snapshot_to_restore = None
        self.emitted_index = self.last_index
        self.last_applied = self.commit_index

    def on_persisted(self, entries: Sequence[tuple[int, Entry]]) -> None:
        """The disk has these entries; those that were dropped meanwhile do not count."""
        if not entries:
            return
        index, entry = entries[-1]
        if self.term_at(index) == entry.term:
            self.persisted_index = max(self.persisted_index, index)
