"""What Raft members persist and what they send each other: records without behaviour.

Messages are named after the RPCs of the Raft paper; each has `sender`, `receiver` and the sender's `term`.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class EntryKind(StrEnum):
    """What an entry holds; the values are those on the wire and on disks."""

    NOOP = "begin"
    """Appended by a new leader, to commit the entries of older terms with it."""
    COMMAND = "order"
    """Bytes for the state machine."""
    CONFIGURATION = "members"
    """The members from this entry on."""


def entry_kind(text: str) -> EntryKind | str:
    """The kind of an entry read from a wire or a disk.

    A kind of a newer version stays as it is: the entry is kept and applied as a no-op.
    """
    return EntryKind(text) if text in set(EntryKind) else text


class Entry(NamedTuple):
    """A log entry.  `body`: bytes of a command, or the member ids of a configuration."""

    term: int
    kind: EntryKind | str
    body: bytes | tuple[str, ...]


class Snapshot(NamedTuple):
    """The state that all entries up to `index` made, so that they need not be kept."""

    index: int
    term: int
    members: tuple[str, ...]
    state: bytes


class HardState(NamedTuple):
    """The current term, and the candidate that this member voted for in it."""

    term: int
    voted_for: str | None


class PersistentState(NamedTuple):
    """What a disk holds at a start; the entries follow the snapshot."""

    term: int
    voted_for: str | None
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


class RequestVote(NamedTuple):
    """A candidate asks for a vote.  `pre_vote`: only whether it would be granted."""

    sender: str
    receiver: str
    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(NamedTuple):
    """The answer to a `RequestVote`; a granted pre-vote carries the term that was asked for."""

    sender: str
    receiver: str
    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(NamedTuple):
    """Entries behind `prev_log_index` and the leader's commit index; without entries a heartbeat.

    `round` counts the leader's broadcasts: a follower that echoes it heard the leader after the round began.
    """

    sender: str
    receiver: str
    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int = 0


class InstallSnapshot(NamedTuple):
    """A snapshot, for a follower that needs entries which the leader no longer keeps."""

    sender: str
    receiver: str
    term: int
    snapshot: Snapshot
    round: int = 0


class AppendEntriesResponse(NamedTuple):
    """The answer to `AppendEntries` and `InstallSnapshot`.

    `match_index`: up to where the follower's log is the leader's; without `success`, up to where it may be.
    """

    sender: str
    receiver: str
    term: int
    success: bool
    match_index: int
    round: int = 0


Message = RequestVote | RequestVoteResponse | AppendEntries | InstallSnapshot | AppendEntriesResponse


class Ready(NamedTuple):
    """A batch of work for the caller, in this order: persist and sync, send, apply, then `on_persisted`."""

    hard_state: HardState | None = None
    """Where it changed."""
    snapshot: Snapshot | None = None
    """Replaces what is on disk up to its index."""
    truncate_from: int | None = None
    """The disk's entries from this index on are dropped before `entries` are appended."""
    entries: tuple[tuple[int, Entry], ...] = ()
    """Entries to append, each with its index."""
    messages: tuple[Message, ...] = ()
    """To be sent once all of the above is synced."""
    restore: Snapshot | None = None
    """The state that the state machine takes over before `committed` is applied."""
    committed: tuple[tuple[int, Entry], ...] = ()
    """Entries to apply, each with its index."""


def bootstrap(members: Iterable[str]) -> PersistentState:
    """The disk of a new log with these members; each of them begins with it, once."""
    return PersistentState(0, None, Snapshot(0, 0, tuple(sorted(members)), b""))
