"""The words of the planners' log on the nodes' wire: `fleet.raft` messages to frames and back, no I/O."""

from rushmux.fleet import raft
from rushmux.fleet.policy import LeaseGrant, Policy
from rushmux.nodewire import WireFault, messages

MOST_BYTES = 512 << 10  # of entries in one word: a frame holds a megabyte
KINDS = {  # message -> its kind on the wire
    raft.RequestVote: "ask",
    raft.RequestVoteResponse: "vote",
    raft.AppendEntries: "append",
    raft.InstallSnapshot: "install",
    raft.AppendEntriesResponse: "appended",
}


def _entry(entry):
    if entry.kind == raft.EntryKind.CONFIGURATION:
        return messages.LogEntry(term=entry.term, kind=entry.kind, members=entry.body)
    return messages.LogEntry(term=entry.term, kind=entry.kind, body=entry.body)


def _entries(entries):
    """As many as fit: the rest goes with the next word."""
    found, size = [], 0
    for entry in entries:
        size += len(entry.body) + 64
        if found and size > MOST_BYTES:
            break
        found.append(_entry(entry))
    return found


def sent(word) -> messages.Word:
    """A word of the log as a message."""
    kind = KINDS[type(word)]
    made = messages.Word(kind=kind, sender=word.sender, to=word.receiver, term=word.term)
    if kind == "ask":
        made.index, made.index_term, made.trial = word.last_log_index, word.last_log_term, word.pre_vote
    elif kind == "vote":
        made.trial, made.good = word.pre_vote, word.granted
    elif kind == "append":
        made.index, made.index_term, made.decided, made.round = (
            word.prev_log_index,
            word.prev_log_term,
            word.commit_index,
            word.round,
        )
        made.entries.extend(_entries(word.entries))
    elif kind == "install":
        snapshot = word.snapshot
        made.round = word.round
        made.snapshot.CopyFrom(
            messages.LogSnapshot(
                index=snapshot.index, term=snapshot.term, members=snapshot.members, state=snapshot.state
            )
        )
    else:
        made.good, made.index, made.round = word.success, word.match_index, word.round
    return made


def heard(made: messages.Word):
    """The word of a message; WireFault where there is no such kind."""
    begin = made.sender, made.to, made.term
    if made.kind == "ask":
        return raft.RequestVote(*begin, made.index, made.index_term, made.trial)
    if made.kind == "vote":
        return raft.RequestVoteResponse(*begin, made.trial, made.good)
    if made.kind == "append":
        entries = tuple(
            raft.Entry(
                entry.term,
                raft.entry_kind(entry.kind),
                tuple(entry.members) if entry.kind == raft.EntryKind.CONFIGURATION else entry.body,
            )
            for entry in made.entries
        )
        return raft.AppendEntries(*begin, made.index, made.index_term, entries, made.decided, made.round)
    if made.kind == "install":
        row = made.snapshot
        snapshot = raft.Snapshot(row.index, row.term, tuple(row.members), row.state)
        return raft.InstallSnapshot(*begin, snapshot, made.round)
    if made.kind == "appended":
        return raft.AppendEntriesResponse(*begin, made.good, made.index, made.round)
    raise WireFault(f"there is no word '{made.kind}' of a log")


# Policies.


def policy(made: Policy, whole: bool) -> messages.Policy:
    """A policy as a message; not `whole`: its number and checksum alone, for who has the rest."""
    if not whole:
        return messages.Policy(number=made.version, sum=made.checksum)
    return messages.Policy(
        number=made.version,
        sum=made.checksum,
        text=made.text,
        rows=[
            messages.Limit(folder=folder, limit=limit, burst=burst)
            for folder, limit, burst in made.folder_limits
        ],
    )


def grant(made: LeaseGrant, known) -> messages.PolicyGrant:
    """A grant for a member that has the texts of the `known` numbers."""
    told = messages.PolicyGrant(
        member=made.member,
        ask=made.request_id,
        term=made.term,
        index=made.index,
        force=policy(made.active, made.active.version not in known),
    )
    if made.staged is not None:
        told.staged.CopyFrom(policy(made.staged, made.staged.version not in known))
    return told
