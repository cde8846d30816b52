"""Records that Raft members persist or send to each other.

Messages are named after the RPCs of the Raft paper; each has `sender`, `receiver` and the sender's `term`.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class EntryKind(StrEnum):
    """The kind of a log entry; the values are used on the wire and on disk."""

    NOOP = "begin"
    """Appended by a new leader, which commits the entries of older terms along with it."""
    COMMAND = "order"
    """A command for the state machine."""
    CONFIGURATION = "members"
    """The members as of this entry."""


def entry_kind(text: str) -> EntryKind | str:
    """Parses the kind of an entry from the wire or the disk.

    An unknown kind, written by a newer version, is returned as is: the entry is kept and applied as a no-op.
    """
    return EntryKind(text) if text in set(EntryKind) else text


class Entry(NamedTuple):
    """A log entry; `body` holds the bytes of a command or the member ids of a configuration."""

    term: int
    kind: EntryKind | str
    body: bytes | tuple[str, ...]


class Snapshot(NamedTuple):
    """The state after all entries up to `index`, which it replaces."""

    index: int
    term: int
    members: tuple[str, ...]
    state: bytes


class HardState(NamedTuple):
    """The current term and the candidate voted for in it."""

    term: int
    voted_for: str | None


class PersistentState(NamedTuple):
    """The state read from disk at startup; the entries follow the snapshot."""

    term: int
    voted_for: str | None
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


class RequestVote(NamedTuple):
    """A candidate's request for a vote, or with `pre_vote` the question whether it would be granted."""

    sender: str
    receiver: str
    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(NamedTuple):
    """The response to a `RequestVote`; a granted pre-vote carries the requested term."""

    sender: str
    receiver: str
    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(NamedTuple):
    """Entries after `prev_log_index` and the leader's commit index; a heartbeat if it has no entries.

    `round` counts the leader's broadcasts; a follower that echoes it has received a message of that round.
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
    """A snapshot for a follower that lacks entries which the leader no longer holds."""

    sender: str
    receiver: str
    term: int
    snapshot: Snapshot
    round: int = 0


class AppendEntriesResponse(NamedTuple):
    """The response to `AppendEntries` and `InstallSnapshot`.

    The follower's log matches the leader's up to `match_index`; without `success` it is only an upper bound.
    """

    sender: str
    receiver: str
    term: int
    success: bool
    match_index: int
    round: int = 0


Message = RequestVote | RequestVoteResponse | AppendEntries | InstallSnapshot | AppendEntriesResponse


class Ready(NamedTuple):
    """Work for the caller, in this order: persist and sync, send, apply, then call `on_persisted`."""

    hard_state: HardState | None = None
    """Set if it changed."""
    snapshot: Snapshot | None = None
    """Replaces the data on disk up to its index."""
    truncate_from: int | None = None
    """Entries on disk from this index on are removed before `entries` are appended."""
    entries: tuple[tuple[int, Entry], ...] = ()
    """Entries to append, each with its index."""
    messages: tuple[Message, ...] = ()
    """Messages to send once all of the above is synced."""
    restore: Snapshot | None = None
    """Snapshot to restore the state machine from before `committed` is applied."""
    committed: tuple[tuple[int, Entry], ...] = ()
    """Entries to apply, each with its index."""


def bootstrap(members: Iterable[str]) -> PersistentState:
    """Returns the initial state of a new log, with which each of its members starts once."""
    return PersistentState(0, None, Snapshot(0, 0, tuple(sorted(members)), b""))
