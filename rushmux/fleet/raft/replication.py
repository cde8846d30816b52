"""A leader's view of its followers; volatile, and reset with each term that it leads."""

from collections.abc import Collection, Iterable

from rushmux.fleet.raft.configuration import quorum_value
from rushmux.fleet.raft.log import RaftLog
from rushmux.fleet.raft.messages import AppendEntries, AppendEntriesResponse, InstallSnapshot

MAX_ENTRIES_PER_APPEND = 64  # keeps a follower far behind from stalling the others


class ReplicationProgress:
    """Progress of each follower by member id; `leader_id` is this member."""

    def __init__(self, leader_id: str, members: Iterable[str] = (), now: float = 0.0):
        self.leader_id = leader_id
        self.next_index: dict[str, int] = {}
        """Index of the next entry to send to each follower."""
        self.match_index: dict[str, int] = {}
        """Index up to which each follower has persisted the leader's log."""
        self.acknowledged_rounds: dict[str, int] = {}
        """The newest broadcast round that each follower echoed."""
        self.last_contact: dict[str, float] = dict.fromkeys(members, now)
        """Time of each follower's latest response."""

    def next_message(
        self, follower: str, log: RaftLog, *, term: int, round_: int
    ) -> AppendEntries | InstallSnapshot:
        """Returns the entries that a follower lacks, or a snapshot if the log no longer holds them."""
        next_index = self.next_index.setdefault(follower, log.last_index)
        if next_index <= log.snapshot.index:
            return InstallSnapshot(self.leader_id, follower, term, log.snapshot, round_)
        return AppendEntries(
            sender=self.leader_id,
            receiver=follower,
            term=term,
            prev_log_index=next_index - 1,
            prev_log_term=log.term_at(next_index - 1),
            entries=log.entries_from(next_index, MAX_ENTRIES_PER_APPEND),
            commit_index=log.commit_index,
            round=round_,
        )

    def on_response(self, now: float, response: AppendEntriesResponse) -> None:
        """Records a follower's progress."""
        follower = response.sender
        self.last_contact[follower] = now
        self.acknowledged_rounds[follower] = max(self.acknowledged_rounds.get(follower, 0), response.round)
        matched = self.match_index.get(follower, 0)
        if response.success:
            matched = max(matched, response.match_index)
            self.match_index[follower] = matched
            self.next_index[follower] = max(self.next_index.get(follower, 0), matched + 1)
        else:
            retried = min(self.next_index.get(follower, 1) - 1, response.match_index + 1)
            self.next_index[follower] = max(matched + 1, retried)

    def recent_contacts(self, now: float, window: float) -> set[str]:
        """Returns the followers that responded less than `window` seconds ago, and the leader itself."""
        recent = {follower for follower, at in self.last_contact.items() if now - at < window}
        return recent | {self.leader_id}

    def replicated_index(self, members: Collection[str], own_index: int) -> int:
        """Returns the index that a majority has persisted; `own_index` is the leader's."""
        return quorum_value(
            [own_index if member == self.leader_id else self.match_index.get(member, 0) for member in members]
        )

    def confirmed_round(self, members: Collection[str], own_round: int) -> int:
        """Returns the newest round that a majority echoed; `own_round` is the leader's newest."""
        return quorum_value(
            [
                own_round if member == self.leader_id else self.acknowledged_rounds.get(member, 0)
                for member in members
            ]
        )
