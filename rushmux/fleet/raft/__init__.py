"""The replicated log of the control plane: a sans-I/O implementation of Raft.

It follows Diego Ongaro, "Consensus: Bridging Theory and Practice" (Stanford, 2014), with pre-vote (section
9.6), leaders that step down without a quorum (6.2), single-server membership changes (4.1), snapshots (5.1),
client sessions (6.3) and read requests confirmed by a heartbeat round (6.4).

The caller passes time and messages to a `RaftNode` and takes `Ready` batches from it: what to persist, send
and apply, in this order.  It must persist before it sends, then call `on_persisted`: a power loss could
otherwise undo a vote or an acknowledgement that another member relies on.

Times are seconds of the caller's monotonic clock, which may restart with the process.  Safety does not depend
on clocks, so they may differ, drift and jump.

A member id consists of a name and the incarnation of the member's disk.  A member that lost its disk gets a
new id, has no vote, and joins by a membership change; under its old id it could vote twice in a term.
"""

from rushmux.fleet.errors import (
    CompactionError,
    LogFullError,
    MembershipChangeError,
    NotLeaderError,
    ProposalRejectedError,
)
from rushmux.fleet.raft.configuration import MAX_MEMBERS
from rushmux.fleet.raft.elections import ELECTION_JITTER, ELECTION_TIMEOUT, Role
from rushmux.fleet.raft.log import RaftLog
from rushmux.fleet.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
    Message,
    PersistentState,
    Ready,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    bootstrap,
    entry_kind,
)
from rushmux.fleet.raft.node import HEARTBEAT_INTERVAL, MAX_UNCOMMITTED_ENTRIES, RaftNode
from rushmux.fleet.raft.replication import MAX_ENTRIES_PER_APPEND
from rushmux.fleet.raft.sessions import MAX_CLIENT_SESSIONS, ClientSessions

__all__ = [
    "ELECTION_JITTER",
    "ELECTION_TIMEOUT",
    "HEARTBEAT_INTERVAL",
    "MAX_CLIENT_SESSIONS",
    "MAX_ENTRIES_PER_APPEND",
    "MAX_MEMBERS",
    "MAX_UNCOMMITTED_ENTRIES",
    "AppendEntries",
    "AppendEntriesResponse",
    "ClientSessions",
    "CompactionError",
    "Entry",
    "EntryKind",
    "HardState",
    "InstallSnapshot",
    "LogFullError",
    "MembershipChangeError",
    "Message",
    "NotLeaderError",
    "PersistentState",
    "ProposalRejectedError",
    "RaftLog",
    "RaftNode",
    "Ready",
    "RequestVote",
    "RequestVoteResponse",
    "Role",
    "Snapshot",
    "bootstrap",
    "entry_kind",
]
