"""A Raft member: proposals, replication, and message handling."""

from collections.abc import Callable, Iterable

from rushmux.fleet.errors import LogFullError, MembershipChangeError, NotLeaderError
from rushmux.fleet.raft import configuration
from rushmux.fleet.raft.configuration import MembershipChange
from rushmux.fleet.raft.elections import ELECTION_TIMEOUT, ElectionParticipant, Role
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
)
from rushmux.fleet.raft.replication import ReplicationProgress

HEARTBEAT_INTERVAL = 0.25  # seconds; three heartbeats may be lost before an election starts
MAX_UNCOMMITTED_ENTRIES = 1_024  # further proposals are rejected


class RaftNode(ElectionParticipant):
    """A Raft member; see `ElectionParticipant` for the arguments."""

    def __init__(
        self, member_id: str, state: PersistentState, now: float, random_below: Callable[[int], int]
    ):
        super().__init__(member_id, state, now, random_below)
        self.learners: dict[str, bool] = {}
        """Non-members that receive the log so that they can be added (an ordered set)."""
        self.round = 0
        """Number of broadcasts this member has sent as a leader."""
        self.progress = ReplicationProgress(member_id)
        self._broadcast_at = 0.0
        self._emitted_hard_state = HardState(self.term, self.voted_for)

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that replaces the compacted entries."""
        return self.log.snapshot

    @property
    def last_applied(self) -> int:
        """Index up to which committed entries were emitted to be applied."""
        return self.log.last_applied

    # Time and roles.

    def tick(self, now: float) -> None:
        """Starts an election, sends heartbeats or steps down, as due; to be called about every 0.1 s."""
        if self.role == Role.LEADER:
            self._tick_leader(now)
        else:
            self._tick_election(now)

    def _tick_leader(self, now: float) -> None:
        # A partitioned leader would keep accepting proposals that cannot be committed.
        if not self.is_quorum(self.progress.recent_contacts(now, ELECTION_TIMEOUT)):
            self.become_follower(now, self.term)
        elif now - self._broadcast_at >= HEARTBEAT_INTERVAL:
            self._broadcast(now)

    def become_follower(self, now: float, term: int, leader: str | None = None) -> None:
        """Becomes a follower in the given term."""
        super().become_follower(now, term, leader)
        self.learners = {}

    def _become_leader(self, now: float) -> None:
        self.role, self.leader = Role.LEADER, self.member_id
        self.progress = ReplicationProgress(self.member_id, self.members, now)
        # Entries of older terms are committed only along with an entry of the leader's own term.
        self.log.append([Entry(self.term, EntryKind.NOOP, b"")])
        self._broadcast(now)

    # Proposals.

    def _require_leader(self) -> None:
        if self.role != Role.LEADER:
            raise NotLeaderError(self.leader)

    def propose(self, now: float, body: bytes) -> tuple[int, int]:
        """Appends a command.

        Returns:
            Its index and term; it takes effect once the entry at this index is committed with this term.

        Raises:
            NotLeaderError: This member does not lead.
            LogFullError: Too many entries are uncommitted.
        """
        self._require_leader()
        if self.log.last_index - self.log.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            raise LogFullError(MAX_UNCOMMITTED_ENTRIES)
        return self._append_own(now, EntryKind.COMMAND, body)

    def add_learner(self, now: float, name: str) -> None:
        """Replicates the log to a non-member, so that it catches up before it joins.

        Raises:
            NotLeaderError: This member does not lead.
        """
        self._require_leader()
        self.learners[name] = True
        self._replicate_to(name)

    def change_members(self, now: float, members: Iterable[str]) -> tuple[int, int]:
        """Appends a configuration that adds or removes one member; returns its index and term.

        Raises:
            NotLeaderError: This member does not lead.
            MembershipChangeError: The change is invalid, or not possible yet.
        """
        self._require_leader()
        change = configuration.plan_change(self.members, members)
        self._require_change_possible(change)
        self.progress.last_contact.setdefault(change.added or self.member_id, now)
        if change.added is not None:
            self.learners.pop(change.added, None)
        return self._append_own(now, EntryKind.CONFIGURATION, change.members)

    def _require_change_possible(self, change: MembershipChange) -> None:
        commit_index = self.log.commit_index
        if self.log.members_at(commit_index) != self.members:
            raise MembershipChangeError("the previous membership change is not committed yet", change.members)
        # Two leaders with different uncommitted changes could else rely on disjoint majorities.
        if self.log.term_at(commit_index) != self.term:
            raise MembershipChangeError(
                "this leader has not committed an entry of its term yet", change.members
            )
        if change.added is not None and self.progress.match_index.get(change.added, 0) < commit_index:
            raise MembershipChangeError(
                f"{change.added} has not caught up; add it as a learner first", change.members
            )

    def _append_own(self, now: float, kind: EntryKind, body: bytes | tuple[str, ...]) -> tuple[int, int]:
        self.log.append([Entry(self.term, kind, body)])
        self._broadcast(now)
        return self.log.last_index, self.term

    def compact(self, index: int, state: bytes) -> None:
        """Replaces entries up to an applied index by a snapshot of the resulting state.

        Raises:
            CompactionError: The index is not applied yet, or already part of the snapshot.
        """
        self.log.compact(index, state)

    # Replication on the leader.

    def _broadcast(self, now: float) -> None:
        self._broadcast_at = now
        self.round += 1
        for name in (*self.members, *self.learners):
            if name != self.member_id:
                self._replicate_to(name)
        self._advance_commit_index(now)

    def _replicate_to(self, name: str) -> None:
        self._send(self.progress.next_message(name, self.log, term=self.term, round_=self.round))

    def _advance_commit_index(self, now: float) -> None:
        """Commits the entries that a majority has persisted, counting this member."""
        index = self.progress.replicated_index(self.members, self.log.persisted_index)
        if index <= self.log.commit_index or self.log.term_at(index) != self.term:
            return
        self.log.commit_index = index
        if self.member_id not in self.log.members_at(index):  # it was removed by a change it led
            self._broadcast(now)
            self.become_follower(now, self.term)

    @property
    def confirmed_round(self) -> int:
        """The newest round that a majority echoed, which proves that this member led when the round began.

        A read that arrived before that round may be answered from the applied state.  It is 0 if this member
        does not lead or has not committed an entry of its term, as it may not know all committed entries.
        """
        if self.role != Role.LEADER or self.log.term_at(self.log.commit_index) != self.term:
            return 0
        return self.progress.confirmed_round(self.members, self.round)

    def on_append_entries_response(self, now: float, response: AppendEntriesResponse) -> None:
        """Records a follower's progress and sends it missing entries."""
        if self.role != Role.LEADER or response.sender not in (*self.members, *self.learners):
            return
        self.progress.on_response(now, response)
        if response.success:
            self._advance_commit_index(now)
        behind = self.progress.next_index[response.sender] <= self.log.last_index
        if self.role == Role.LEADER and (behind or not response.success):
            self._replicate_to(response.sender)

    # Replication on a follower.

    def on_append_entries(self, now: float, request: AppendEntries) -> None:
        """Appends a leader's entries if the logs match before them, and responds."""
        prev_index, entries = request.prev_log_index, request.entries
        snapshot_index = self.log.snapshot.index
        if prev_index < snapshot_index:  # a delayed message; the snapshot's entries are committed
            entries = entries[snapshot_index - prev_index :]
            prev_index = snapshot_index
        elif self.log.term_at(prev_index) != request.prev_log_term:
            match_index = self.log.possible_match_before(prev_index)
            self._acknowledge(request, success=False, match_index=match_index)
            return
        self.log.merge(prev_index, entries)
        match_index = max(prev_index + len(entries), snapshot_index)
        self.log.commit_index = max(self.log.commit_index, min(request.commit_index, match_index))
        self._acknowledge(request, success=True, match_index=match_index)

    def on_install_snapshot(self, now: float, request: InstallSnapshot) -> None:
        """Installs a leader's snapshot in place of entries that the leader no longer holds."""
        self.log.install(request.snapshot)
        self._acknowledge(request, success=True, match_index=request.snapshot.index)

    def _acknowledge(
        self, request: AppendEntries | InstallSnapshot, *, success: bool, match_index: int
    ) -> None:
        self._send(
            AppendEntriesResponse(
                self.member_id, request.sender, self.term, success, match_index, request.round
            )
        )

    # Messages and Ready batches.

    def receive(self, now: float, message: Message) -> None:
        """Handles a message; messages to other members are ignored."""
        if message.receiver != self.member_id:
            return
        if message.term > self.term and not _is_pre_vote(message):
            if isinstance(message, RequestVote) and self._has_recent_leader(now):
                return  # the leader is alive; the candidate is partitioned from it
            self.become_follower(now, message.term)
        if message.term < self.term:
            self._answer_stale(message)
            return
        if isinstance(message, AppendEntries | InstallSnapshot):
            self.become_follower(now, message.term, message.sender)
            self._leader_heard_at = now
        self._dispatch(now, message)

    def _answer_stale(self, message: Message) -> None:
        """Answers a request of an older term with the current term."""
        if isinstance(message, RequestVote):
            self._send(
                RequestVoteResponse(self.member_id, message.sender, self.term, message.pre_vote, False)
            )
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self._send(AppendEntriesResponse(self.member_id, message.sender, self.term, False, 0))

    def _dispatch(self, now: float, message: Message) -> None:
        match message:
            case RequestVote():
                self.on_request_vote(now, message)
            case RequestVoteResponse():
                self.on_request_vote_response(now, message)
            case AppendEntries():
                self.on_append_entries(now, message)
            case InstallSnapshot():
                self.on_install_snapshot(now, message)
            case AppendEntriesResponse():
                self.on_append_entries_response(now, message)

    def ready(self) -> Ready | None:
        """Returns the pending work, each item once, or None if there is none."""
        hard_state = HardState(self.term, self.voted_for)
        ready = Ready(
            hard_state=hard_state if hard_state != self._emitted_hard_state else None,
            snapshot=self.log.snapshot_to_persist,
            truncate_from=self.log.truncated_from,
            entries=self.log.unemitted_entries(),
            messages=tuple(self._outgoing),
            restore=self.log.snapshot_to_restore,
            committed=self.log.unapplied_entries(),
        )
        if ready == Ready():
            return None
        self._emitted_hard_state = hard_state
        self._outgoing = []
        self.log.mark_emitted()
        return ready

    def on_persisted(self, now: float, ready: Ready) -> None:
        """Records that the batch is on disk."""
        self.log.on_persisted(ready.entries)
        if self.role == Role.LEADER:
            self._advance_commit_index(now)


def _is_pre_vote(message: Message) -> bool:
    """Whether the message has the term of a pre-vote, which its sender has not entered."""
    if isinstance(message, RequestVote):
        return message.pre_vote
    return isinstance(message, RequestVoteResponse) and message.pre_vote and message.granted
