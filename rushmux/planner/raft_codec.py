"""Converts Raft messages, policies and lease grants between `fleet` records and wire messages; no I/O.

All kinds of Raft messages share the wire message `Word`, whose `kind` tells which fields are used.
"""

from collections.abc import Callable, Collection, Iterable

from rushmux.fleet import raft
from rushmux.fleet.policy import LeaseGrant, Policy
from rushmux.nodewire import WireError, messages

MAX_ENTRIES_BYTES = 512 << 10  # of the entries in one message; a frame holds 1 MiB
ENTRY_OVERHEAD = 64  # maximum bytes of an entry besides its body

KINDS: dict[type, str] = {
    raft.RequestVote: "ask",
    raft.RequestVoteResponse: "vote",
    raft.AppendEntries: "append",
    raft.AppendEntriesResponse: "appended",
    raft.InstallSnapshot: "install",
}


def encode(message: raft.Message) -> messages.Word:
    """Encodes a Raft message."""
    kind = KINDS[type(message)]
    encoded = messages.Word(kind=kind, sender=message.sender, to=message.receiver, term=message.term)
    _ENCODERS[kind](message, encoded)
    return encoded


def decode(encoded: messages.Word) -> raft.Message:
    """Decodes a Raft message; raises WireError if its kind is unknown."""
    decoder = _DECODERS.get(encoded.kind)
    if decoder is None:
        raise WireError(f"unknown kind '{encoded.kind}' of a Raft message")
    return decoder(encoded)


# Raft messages, by kind.


def _encode_request_vote(message: raft.RequestVote, encoded: messages.Word) -> None:
    encoded.index = message.last_log_index
    encoded.index_term = message.last_log_term
    encoded.trial = message.pre_vote


def _decode_request_vote(encoded: messages.Word) -> raft.RequestVote:
    return raft.RequestVote(
        encoded.sender, encoded.to, encoded.term, encoded.index, encoded.index_term, encoded.trial
    )


def _encode_request_vote_response(message: raft.RequestVoteResponse, encoded: messages.Word) -> None:
    encoded.trial = message.pre_vote
    encoded.good = message.granted


def _decode_request_vote_response(encoded: messages.Word) -> raft.RequestVoteResponse:
    return raft.RequestVoteResponse(encoded.sender, encoded.to, encoded.term, encoded.trial, encoded.good)


def _encode_append_entries(message: raft.AppendEntries, encoded: messages.Word) -> None:
    encoded.index = message.prev_log_index
    encoded.index_term = message.prev_log_term
    encoded.decided = message.commit_index
    encoded.round = message.round
    encoded.entries.extend(_encode_entries(message.entries))


def _decode_append_entries(encoded: messages.Word) -> raft.AppendEntries:
    return raft.AppendEntries(
        sender=encoded.sender,
        receiver=encoded.to,
        term=encoded.term,
        prev_log_index=encoded.index,
        prev_log_term=encoded.index_term,
        entries=tuple(map(_decode_entry, encoded.entries)),
        commit_index=encoded.decided,
        round=encoded.round,
    )


def _encode_append_entries_response(message: raft.AppendEntriesResponse, encoded: messages.Word) -> None:
    encoded.good = message.success
    encoded.index = message.match_index
    encoded.round = message.round


def _decode_append_entries_response(encoded: messages.Word) -> raft.AppendEntriesResponse:
    return raft.AppendEntriesResponse(
        encoded.sender, encoded.to, encoded.term, encoded.good, encoded.index, encoded.round
    )


def _encode_install_snapshot(message: raft.InstallSnapshot, encoded: messages.Word) -> None:
    snapshot = message.snapshot
    encoded.round = message.round
    encoded.snapshot.CopyFrom(
        messages.LogSnapshot(
            index=snapshot.index, term=snapshot.term, members=snapshot.members, state=snapshot.state
        )
    )


def _decode_install_snapshot(encoded: messages.Word) -> raft.InstallSnapshot:
    row = encoded.snapshot
    snapshot = raft.Snapshot(row.index, row.term, tuple(row.members), row.state)
    return raft.InstallSnapshot(encoded.sender, encoded.to, encoded.term, snapshot, encoded.round)


_ENCODERS: dict[str, Callable] = {
    "ask": _encode_request_vote,
    "vote": _encode_request_vote_response,
    "append": _encode_append_entries,
    "appended": _encode_append_entries_response,
    "install": _encode_install_snapshot,
}
_DECODERS: dict[str, Callable[[messages.Word], raft.Message]] = {
    "ask": _decode_request_vote,
    "vote": _decode_request_vote_response,
    "append": _decode_append_entries,
    "appended": _decode_append_entries_response,
    "install": _decode_install_snapshot,
}


# Entries.


def _encode_entries(entries: Iterable[raft.Entry]) -> list[messages.LogEntry]:
    """Encodes as many entries as fit, at least one; the rest goes into the next message."""
    encoded, size = [], 0
    for entry in entries:
        size += len(entry.body) + ENTRY_OVERHEAD
        if encoded and size > MAX_ENTRIES_BYTES:
            break
        encoded.append(_encode_entry(entry))
    return encoded


def _encode_entry(entry: raft.Entry) -> messages.LogEntry:
    if entry.kind == raft.EntryKind.CONFIGURATION:
        return messages.LogEntry(term=entry.term, kind=entry.kind, members=entry.body)
    return messages.LogEntry(term=entry.term, kind=entry.kind, body=entry.body)


def _decode_entry(encoded: messages.LogEntry) -> raft.Entry:
    is_configuration = encoded.kind == raft.EntryKind.CONFIGURATION
    body = tuple(encoded.members) if is_configuration else encoded.body
    return raft.Entry(encoded.term, raft.entry_kind(encoded.kind), body)


# Policies.


def encode_policy(policy: Policy, *, is_known: bool) -> messages.Policy:
    """Encodes a policy; only its version and checksum if the receiver knows it."""
    if is_known:
        return messages.Policy(number=policy.version, sum=policy.checksum)
    limits = [
        messages.Limit(folder=folder, limit=limit, burst=burst)
        for folder, limit, burst in policy.folder_limits
    ]
    return messages.Policy(number=policy.version, sum=policy.checksum, text=policy.text, rows=limits)


def encode_grant(grant: LeaseGrant, known_versions: Collection[int]) -> messages.PolicyGrant:
    """Encodes a lease grant for a member that has the policies of the known versions."""
    encoded = messages.PolicyGrant(
        member=grant.member,
        ask=grant.request_id,
        term=grant.term,
        index=grant.index,
        force=encode_policy(grant.active, is_known=grant.active.version in known_versions),
    )
    if grant.staged is not None:
        encoded.staged.CopyFrom(encode_policy(grant.staged, is_known=grant.staged.version in known_versions))
    return encoded
