"""The replicated log of the control plane: Raft, sans I/O and without a clock of its own.

The algorithm is that of Diego Ongaro, "Consensus: Bridging Theory and Practice" (Stanford, 2014), with the
pre-vote (section 9.6), leaders that step down without a quorum (6.2), single-server membership changes (4.1),
snapshots (5.1), client sessions (6.3) and read requests confirmed by a heartbeat round (6.4).

A `RaftNode` is stepped with time and messages and hands out `Ready` batches: what is to be persisted, sent
and applied, in this order.  The caller persists first, then sends, then calls `on_persisted`: a vote or an
acknowledgement that left before the disk had it would be a promise that a power loss breaks.

Times are seconds of the caller's monotonic clock, which may begin anew with each start.  No promise to
another member rests on a clock, so clocks may differ, drift and jump without harm to what is committed.

A member id is a name and the incarnation of its disk: a member whose disk was lost comes back under another
id, has no vote, and joins by a membership change.  Under its old id it would vote twice in a term.
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
