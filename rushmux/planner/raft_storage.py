"""A planner's log on its disk: what `fleet.raft` hands out is written and synced before anything is sent.

One file of records (`rushmux.records`).  The first may be a snapshot; a new snapshot makes the file anew,
whole, so that a kill leaves the old one or the new one.  A torn tail was answered to nobody and is cut off;
a damaged middle was, and the planner does not start on it: it would break what it promised.
"""

import fcntl
import os
from pathlib import Path

import orjson

from rushmux import atomic_write, records
from rushmux.fleet.raft import Entry, EntryKind, PersistentState, Ready, Snapshot, entry_kind

WORD, FORMAT = b"RMPL", 1
MOST = 4 << 20  # bytes of a record: a snapshot of the largest state with room
MOST_LOG = 64 << 20  # bytes of a file: far above what is kept between two snapshots
LIFE, VOTE, ENTRY, CUT, SNAPSHOT = b"L", b"V", b"E", b"C", b"S"


class BadLog(Exception):
    """A log that cannot be gone on with; the text names the file and why."""


def _entry(index, entry):
    body = list(entry.body) if entry.kind == EntryKind.CONFIGURATION else entry.body.decode()
    return ENTRY + orjson.dumps([index, entry.term, entry.kind, body])


def _snapshot(snapshot):
    return SNAPSHOT + orjson.dumps([snapshot.index, snapshot.term, snapshot.members, snapshot.state.decode()])


class LogFile:
    """The file of one planner, held by one program at a time.  `life` names this disk: one that was lost
    comes back as another.  `fresh` draws the life of a new one.
    """

    def __init__(self, path, fresh):
        self.path, self.sink = Path(path), None
        self.path.parent.mkdir(parents=True, exist_ok=True)
        # Danger: an older self that was only stopped goes on voting beside the new one.
        self.lock = os.open(self.path.with_name(self.path.name + ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            raise BadLog(f"{path}: another program holds this log") from fault
        self.kept: PersistentState | None = None
        self.life, self.new = "", not self.path.exists()
        if self.new:
            self.life = fresh()
        else:
            try:
                self.load()
            except BadLog:
                os.close(self.lock)
                raise

    def load(self):
        """Reads the file anew, and cuts a torn tail off."""
        if self.path.stat().st_size > MOST_LOG:
            raise BadLog(f"{self.path}: over {MOST_LOG} bytes")
        try:
            found = records.read(self.path.read_bytes(), WORD, FORMAT, MOST)
        except records.BadFile as fault:
            raise BadLog(f"{self.path}: is no log of a planner: {fault}") from fault
        if found.damaged:
            raise BadLog(
                f"{self.path}: damaged at byte {found.end}, and whole records follow: what this "
                f"planner promised is not known any more.  Put the file aside and start it with "
                f"none: it comes back as a new member"
            )
        try:
            self.kept = self.replayed(found.bodies)
        except (ValueError, IndexError, TypeError) as fault:
            raise BadLog(f"{self.path}: holds what no planner wrote: {fault}") from fault
        self.close()
        self.sink = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        os.ftruncate(self.sink, found.end)
        os.fsync(self.sink)

    def replayed(self, bodies) -> PersistentState | None:
        term, voted, snapshot, entries = 0, None, Snapshot(0, 0, (), b""), {}
        for body in bodies:
            kind, values = body[:1], orjson.loads(body[1:])
            if kind == LIFE:
                self.life = values
            elif kind == VOTE:
                term, voted = values
            elif kind == CUT:
                entries = {index: entry for index, entry in entries.items() if index < values}
            elif kind == SNAPSHOT:
                snapshot = Snapshot(values[0], values[1], tuple(values[2]), values[3].encode())
            elif kind == ENTRY:
                index, of, what, value = values
                entries[index] = Entry(
                    of, entry_kind(what), tuple(value) if what == EntryKind.CONFIGURATION else value.encode()
                )
            else:
                raise ValueError(f"a record of kind {kind!r}")
        if not bodies:
            raise ValueError("no life of its disk: it was killed while it was made")
        following, index = [], snapshot.index + 1
        while index in entries:
            following.append(entries[index])
            index += 1
        return PersistentState(term, voted, snapshot, tuple(following))

    def begin(self, kept: PersistentState):
        """Makes the file of a planner that starts for the first time."""
        self.kept = kept
        self.rewrite()
        self.new = False

    def rewrite(self):
        kept = self.kept
        rows = enumerate(kept.entries, kept.snapshot.index + 1)
        bodies = [
            LIFE + orjson.dumps(self.life),
            _snapshot(kept.snapshot),
            VOTE + orjson.dumps([kept.term, kept.voted_for]),
            *(_entry(index, entry) for index, entry in rows),
        ]
        atomic_write.whole(self.path, records.head(WORD, FORMAT) + b"".join(map(records.pack, bodies)))
        self.close()
        self.sink = os.open(self.path, os.O_WRONLY | os.O_APPEND)

    def write(self, ready: Ready):
        """Puts what was handed out on the disk, synced; OSError where the disk does not take it, and then
        nothing of it may be sent.
        """
        kept, bodies = self.kept, []
        entries = dict(enumerate(kept.entries, kept.snapshot.index + 1))
        if ready.hard_state is not None:
            bodies.append(VOTE + orjson.dumps([ready.hard_state.term, ready.hard_state.voted_for]))
        if ready.truncate_from is not None:
            bodies.append(CUT + orjson.dumps(ready.truncate_from))
            entries = {index: entry for index, entry in entries.items() if index < ready.truncate_from}
        bodies += [_entry(index, entry) for index, entry in ready.entries]
        entries.update(ready.entries)
        snapshot = ready.snapshot or kept.snapshot
        rows = [entries[index] for index in range(snapshot.index + 1, max([snapshot.index, *entries]) + 1)]
        self.kept = PersistentState(*(ready.hard_state or (kept.term, kept.voted_for)), snapshot, tuple(rows))
        if ready.snapshot is not None:
            self.rewrite()
        elif bodies:
            data = b"".join(map(records.pack, bodies))
            while data:
                data = data[os.write(self.sink, data) :]
            os.fsync(self.sink)

    def close(self):
        if self.sink is not None:
            os.close(self.sink)
            self.sink = None

    def release(self):
        """The planner ends: another may have the file."""
        self.close()
        os.close(self.lock)
