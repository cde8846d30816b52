"""The Raft log on a planner's disk: what the Raft node hands out is synced before anything is sent.

The log is a file of records (`rushmux.records`).  A new snapshot replaces the file atomically: a crash leaves
either the old or the new one.  An incomplete last record was never acknowledged and is truncated.  Damage
before it means that acknowledged entries or votes are lost; the planner then refuses to start, since it
could contradict its earlier votes.
"""

import fcntl
import os
from collections.abc import Callable, Iterable
from enum import Enum
from pathlib import Path

import orjson

from rushmux import atomic_write, records
from rushmux.fleet.raft import Entry, EntryKind, HardState, PersistentState, Ready, Snapshot, entry_kind
from rushmux.planner.errors import RaftStorageError

MAGIC = b"RMPL"
FORMAT = 1
MAX_RECORD_BYTES = 4 << 20  # a snapshot of the largest state, with headroom
MAX_FILE_BYTES = 64 << 20  # far more than accumulates between two snapshots
LOCK_MODE = 0o600


class RecordKind(Enum):
    """The kinds of records; a record's first byte."""

    INCARNATION = b"L"  # of the disk
    VOTE = b"V"  # the term, and the member that this one voted for in it
    ENTRY = b"E"
    TRUNCATION = b"C"  # earlier records' entries from an index on are void
    SNAPSHOT = b"S"


def _encode(kind: RecordKind, values) -> bytes:
    return kind.value + orjson.dumps(values)


def _encode_entry(index: int, entry: Entry) -> bytes:
    body = list(entry.body) if entry.kind == EntryKind.CONFIGURATION else entry.body.decode()
    return _encode(RecordKind.ENTRY, [index, entry.term, entry.kind, body])


def _encode_snapshot(snapshot: Snapshot) -> bytes:
    values = [snapshot.index, snapshot.term, snapshot.members, snapshot.state.decode()]
    return _encode(RecordKind.SNAPSHOT, values)


def _decode_entry(values: list) -> tuple[int, Entry]:
    index, term, kind, body = values
    is_configuration = kind == EntryKind.CONFIGURATION
    return index, Entry(term, entry_kind(kind), tuple(body) if is_configuration else body.encode())


def _decode_snapshot(values: list) -> Snapshot:
    index, term, members, state = values
    return Snapshot(index, term, tuple(members), state.encode())


class RaftStorage:
    """One planner's log file, used by one program at a time.

    Args:
        path: The log file.
        new_incarnation: Draws the incarnation of a new disk.

    Attributes:
        persistent: The file's content; None until a new file is created.
        incarnation: Identifies this disk; the replacement of a lost disk has another.
        is_new: Whether there is no file yet.

    Raises:
        RaftStorageError: Another program holds the file, or it is damaged.
    """

    def __init__(self, path: str | Path, new_incarnation: Callable[[], str]):
        self.path = Path(path)
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.persistent: PersistentState | None = None
        self.incarnation = ""
        self.is_new = not self.path.exists()
        self._file: int | None = None
        self._lock = self._acquire_lock()
        if self.is_new:
            self.incarnation = new_incarnation()
            return
        try:
            self.load()
        except RaftStorageError:
            os.close(self._lock)
            raise

    def _acquire_lock(self) -> int:
        """Locks the file: a suspended older program would otherwise vote beside this one."""
        lock = os.open(self.path.with_name(self.path.name + ".lock"), os.O_RDWR | os.O_CREAT, LOCK_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock)
            raise RaftStorageError(self.path, "another program holds this log") from error
        return lock

    def load(self) -> None:
        """Reads the file, and truncates an incomplete last record.

        Raises:
            RaftStorageError: The file is too large, of another format or damaged.
            OSError: The disk failed.
        """
        if self.path.stat().st_size > MAX_FILE_BYTES:
            raise RaftStorageError(self.path, f"larger than {MAX_FILE_BYTES} bytes")
        try:
            found = records.read_file(self.path.read_bytes(), MAGIC, FORMAT, MAX_RECORD_BYTES)
        except records.RecordFileError as error:
            raise RaftStorageError(self.path, f"is not a planner's log: {error}") from error
        if found.damaged:
            raise RaftStorageError(
                self.path,
                f"damaged at byte {found.end}, with intact records after it: acknowledged votes or entries "
                f"may be lost.  Move the file away and restart this planner: it will join as a new member",
            )
        try:
            self.persistent = self._replay(found.bodies)
        except (ValueError, IndexError, TypeError) as error:
            raise RaftStorageError(self.path, f"has invalid content: {error}") from error
        self._open_file()
        os.ftruncate(self._file, found.end)
        os.fsync(self._file)

    def _replay(self, bodies: Iterable[bytes]) -> PersistentState:
        """Rebuilds the state from the records; raises ValueError if they are invalid."""
        if not bodies:
            raise ValueError("the file holds no complete record")
        term, voted_for, snapshot = 0, None, Snapshot(0, 0, (), b"")
        entries: dict[int, Entry] = {}
        for body in bodies:
            kind, values = _record_kind(body[:1]), orjson.loads(body[1:])
            if kind is RecordKind.INCARNATION:
                self.incarnation = values
            elif kind is RecordKind.VOTE:
                term, voted_for = values
            elif kind is RecordKind.TRUNCATION:
                entries = {index: entry for index, entry in entries.items() if index < values}
            elif kind is RecordKind.SNAPSHOT:
                snapshot = _decode_snapshot(values)
            else:
                index, entry = _decode_entry(values)
                entries[index] = entry
        return PersistentState(term, voted_for, snapshot, _entries_after(entries, snapshot.index))

    def create(self, persistent: PersistentState) -> None:
        """Creates the file of a planner that starts for the first time."""
        self.persistent = persistent
        self.rewrite()
        self.is_new = False

    def rewrite(self) -> None:
        """Replaces the file by one with the same content, without overwritten records."""
        persistent = self.persistent
        entries = enumerate(persistent.entries, persistent.snapshot.index + 1)
        bodies = [
            _encode(RecordKind.INCARNATION, self.incarnation),
            _encode_snapshot(persistent.snapshot),
            _encode(RecordKind.VOTE, [persistent.term, persistent.voted_for]),
            *(_encode_entry(index, entry) for index, entry in entries),
        ]
        atomic_write.replace_file(
            self.path, records.file_header(MAGIC, FORMAT) + b"".join(map(records.pack_record, bodies))
        )
        self._open_file()

    def write(self, ready: Ready) -> None:
        """Writes and syncs what the Raft node handed out.

        Raises:
            OSError: The write failed; nothing of `ready` may be sent.
        """
        bodies = []
        if ready.hard_state is not None:
            bodies.append(_encode(RecordKind.VOTE, [ready.hard_state.term, ready.hard_state.voted_for]))
        if ready.truncate_from is not None:
            bodies.append(_encode(RecordKind.TRUNCATION, ready.truncate_from))
        bodies += [_encode_entry(index, entry) for index, entry in ready.entries]
        self.persistent = _persistent_after(self.persistent, ready)
        if ready.snapshot is not None:
            self.rewrite()
        elif bodies:
            self._append(b"".join(map(records.pack_record, bodies)))

    def _append(self, data: bytes) -> None:
        while data:
            data = data[os.write(self._file, data) :]
        os.fsync(self._file)

    def _open_file(self) -> None:
        self._close_file()
        self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND)

    def _close_file(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def release(self) -> None:
        """Closes and unlocks the file."""
        self._close_file()
        os.close(self._lock)


def _record_kind(first_byte: bytes) -> RecordKind:
    try:
        return RecordKind(first_byte)
    except ValueError as error:
        raise ValueError(f"unknown record kind {first_byte!r}") from error


def _entries_after(entries: dict[int, Entry], snapshot_index: int) -> tuple[Entry, ...]:
    """Returns the entries after a snapshot, up to the first gap."""
    following, index = [], snapshot_index + 1
    while index in entries:
        following.append(entries[index])
        index += 1
    return tuple(following)


def _persistent_after(before: PersistentState, ready: Ready) -> PersistentState:
    """Returns the disk's content after `ready` is written."""
    entries = dict(enumerate(before.entries, before.snapshot.index + 1))
    if ready.truncate_from is not None:
        entries = {index: entry for index, entry in entries.items() if index < ready.truncate_from}
    entries.update(ready.entries)
    snapshot = ready.snapshot or before.snapshot
    last = max([snapshot.index, *entries])
    kept = tuple(entries[index] for index in range(snapshot.index + 1, last + 1))
    hard_state = ready.hard_state or HardState(before.term, before.voted_for)
    return PersistentState(hard_state.term, hard_state.voted_for, snapshot, kept)
