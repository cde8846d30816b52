"""The words of the planners' log on the nodes' wire: `fleet.raft` messages to frames and back, no I/O."""

from rushmux.fleet import raft
from rushmux.fleet.policy import Grant, Policy
from rushmux.nodewire import WireFault, messages

MOST_BYTES = 512 << 10  # of entries in one word: a frame holds a megabyte
KINDS = {
    "ask": raft.Ask,
    "vote": raft.Vote,
    "append": raft.Append,
    "install": raft.Install,
    "appended": raft.Appended,
}


def _entry(entry):
    if entry.kind == raft.MEMBERS:
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


def encode(word) -> messages.Word:
    """A word of the log as a message."""
    kind = type(word).__name__.lower()
    made = messages.Word(kind=kind, sender=word.sender, to=word.to, term=word.term)
    if kind == "ask":
        made.index, made.index_term, made.trial = word.last, word.last_term, word.trial
    elif kind == "vote":
        made.trial, made.good = word.trial, word.given
    elif kind == "append":
        made.index, made.index_term, made.decided, made.round = (
            word.before,
            word.before_term,
            word.decided,
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
        made.good, made.index, made.round = word.good, word.index, word.round
    return made


def decode(made: messages.Word):
    """The word of a message; WireFault where there is no such kind."""
    begin = made.sender, made.to, made.term
    if made.kind == "ask":
        return raft.Ask(*begin, made.index, made.index_term, made.trial)
    if made.kind == "vote":
        return raft.Vote(*begin, made.trial, made.good)
    if made.kind == "append":
        entries = tuple(
            raft.Entry(
                entry.term, entry.kind, tuple(entry.members) if entry.kind == raft.MEMBERS else entry.body
            )
            for entry in made.entries
        )
        return raft.Append(*begin, made.index, made.index_term, entries, made.decided, made.round)
    if made.kind == "install":
        row = made.snapshot
        snapshot = raft.Snapshot(row.index, row.term, tuple(row.members), row.state)
        return raft.Install(*begin, snapshot, made.round)
    if made.kind == "appended":
        return raft.Appended(*begin, made.good, made.index, made.round)
    raise WireFault(f"there is no word '{made.kind}' of a log")


# Policies.


def encode_policy(made: Policy, whole: bool) -> messages.Policy:
    """A policy as a message; not `whole`: its number and checksum alone, for who has the rest."""
    if not whole:
        return messages.Policy(number=made.number, sum=made.sum)
    return messages.Policy(
        number=made.number,
        sum=made.sum,
        text=made.text,
        rows=[messages.Limit(folder=folder, limit=limit, burst=burst) for folder, limit, burst in made.rows],
    )


def encode_grant(made: Grant, known) -> messages.PolicyGrant:
    """A grant for a member that has the texts of the `known` numbers."""
    told = messages.PolicyGrant(
        member=made.member,
        ask=made.ask,
        term=made.term,
        index=made.index,
        force=encode_policy(made.force, made.force.number not in known),
    )
    if made.staged is not None:
        told.staged.CopyFrom(encode_policy(made.staged, made.staged.number not in known))
    return told
