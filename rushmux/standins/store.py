"""What a stand-in node keeps: objects and rows of names, in an embedded store (SQLite).

Several changes go into one commit; a caller hears of its change only after that commit.
"""

import sqlite3
import zlib

from rushmux.nodewire import messages

FORMAT = 1
LOOK_MOST = 1_000  # rows in one answer, whatever was asked
LOOK_BYTES = 700_000  # bytes of rows in one answer: a frame holds a megabyte
SCHEMA = """
create table if not exists about (name text primary key, value) without rowid;
create table if not exists objects (name text primary key, data blob not null, crc integer not null);
create table if not exists rows (folder text not null, key text not null, value blob not null,
    version integer not null, primary key (folder, key)) without rowid;
create table if not exists marks (folder text not null, mark text not null, at real not null,
    outcome blob not null, primary key (folder, mark)) without rowid;
create index if not exists marks_by_age on marks (at);
"""


class BadStore(Exception):
    """A file that is no store of this format, or belongs to another cell."""


class DiskFull(Exception):
    """What was to be written does not fit."""


class Store:
    """One node's disk.  `path` may be ":memory:"; `limit` is its size in bytes; `window` is how many
    seconds the mark of a change is known again.
    """

    def __init__(self, path, cell: int, limit: int, window: float, sync=False):
        self.limit, self.window = limit, window
        try:
            self.base = sqlite3.connect(path, isolation_level=None)
            self.base.execute("pragma journal_mode = wal")
            self.base.execute(f"pragma synchronous = {'full' if sync else 'normal'}")
            self.base.executescript(SCHEMA)
            known = dict(self.base.execute("select name, value from about"))
        except sqlite3.DatabaseError as fault:
            raise BadStore(f"{path}: {fault}") from fault
        if known.get("format", FORMAT) != FORMAT:
            raise BadStore(f"{path}: format {known['format']}; this program reads {FORMAT}")
        if known.get("cell", cell) != cell:
            raise BadStore(f"{path}: holds cell {known['cell']}, not {cell}")
        self.base.executemany(
            "insert or replace into about values (?, ?)", [("format", FORMAT), ("cell", cell)]
        )
        self.floor = known.get("floor", 0)  # the oldest policy whose operations run here
        self.recount()

    def raise_floor(self, number):
        """Puts a floor on the disk, by itself or with the changes under way."""
        self.floor = number
        self.base.execute("insert or replace into about values ('floor', ?)", (number,))

    def recount(self):
        row = self.base.execute("select value from about where name = 'version'").fetchone()
        self.version = row[0] if row else 0
        (held,) = self.base.execute("select coalesce(sum(length(data)), 0) from objects").fetchone()
        (rows,) = self.base.execute("select coalesce(sum(length(value)), 0) from rows").fetchone()
        self.used = held + rows

    def crashed(self):
        """Forgets what was not committed, as a disk does whose process was killed."""
        if self.base.in_transaction:
            self.base.execute("rollback")
        self.recount()

    @property
    def free(self):
        return max(0, self.limit - self.used)

    def begin(self):
        if not self.base.in_transaction:
            self.base.execute("begin immediate")

    def commit(self):
        if self.base.in_transaction:
            self.base.execute("insert or replace into about values ('version', ?)", (self.version,))
            self.base.execute("commit")

    def close(self):
        self.commit()
        self.base.close()

    def read(self, what: messages.ReadObject) -> messages.Outcome:
        found = self.base.execute("select data, crc from objects where name = ?", (what.object,)).fetchone()
        if found is None:
            return messages.Outcome(code=messages.MISSING)
        data, crc = found
        if zlib.crc32(data) != crc:
            return messages.Outcome(code=messages.FAILED, error="the object is damaged on disk")
        part = data[what.offset : what.offset + what.length]
        return messages.Outcome(data=part, crc=zlib.crc32(part))

    def write(self, what: messages.WriteObject) -> messages.Outcome:
        if zlib.crc32(what.data) != what.crc:
            return messages.Outcome(code=messages.FAILED, error="the data came damaged")
        if self.base.execute("select 1 from objects where name = ?", (what.object,)).fetchone():
            return messages.Outcome()  # an execution of the same operation was here before
        self.grow(len(what.data))
        self.base.execute("insert into objects values (?, ?, ?)", (what.object, what.data, what.crc))
        return messages.Outcome()

    def grow(self, size):
        if size > self.free:
            raise DiskFull(f"{size} bytes where {self.free} are free")
        self.used += size

    def drop(self, what: messages.DropObjects) -> messages.Outcome:
        for name in what.objects:
            for (size,) in self.base.execute("select length(data) from objects where name = ?", (name,)):
                self.used -= size
            self.base.execute("delete from objects where name = ?", (name,))
        return messages.Outcome()

    def row(self, folder, key):
        return self.base.execute(
            "select key, value, version from rows where folder = ? and key = ?", (folder, key)
        ).fetchone()

    def look(self, folder: str, what: messages.Look) -> messages.Outcome:
        found = messages.Outcome()
        if what.path:
            parent = "0"
            for name in what.path:
                entry = self.row(folder, f"d/{parent}/{name}")
                file = entry and self.row(folder, "i/" + self.named(entry[1]))
                if not file:
                    break
                for row in (entry, file):
                    found.rows.add(key=row[0], value=row[1], version=row[2])
                parent = self.named(entry[1])
        for key in what.keys[:LOOK_MOST]:
            row = self.row(folder, key)
            if row:
                found.rows.add(key=row[0], value=row[1], version=row[2])
        if what.below:
            most, size = min(what.most or LOOK_MOST, LOOK_MOST), 0
            rows = self.base.execute(
                "select key, value, version from rows where folder = ? and key > ? and key < ? "
                "order by key limit ?",
                (folder, what.after, what.below, most + 1),
            ).fetchall()
            for row in rows[:most]:
                size += len(row[0]) + len(row[1])
                if size > LOOK_BYTES:
                    found.more = True
                    break
                found.rows.add(key=row[0], value=row[1], version=row[2])
            found.more = found.more or len(rows) > most
        return found

    @staticmethod
    def named(value):
        """The id in an entry's row: the first text of a JSON list."""
        return value.split(b'"', 2)[1].decode()

    def change(self, folder: str, what: messages.Change, now: float) -> messages.Outcome:
        before = self.base.execute(
            "select outcome from marks where folder = ? and mark = ?", (folder, what.mark)
        ).fetchone()
        if before:  # a repeat: the same answer, and no second effect
            return messages.Outcome.FromString(before[0])
        outcome = messages.Outcome()
        if not all(self.holds(folder, check) for check in what.checks):
            outcome.code = messages.CONFLICT
        else:
            self.grow(sum(len(row.value) for row in what.puts))
            for key in what.drops:
                self.used -= len((self.row(folder, key) or (key, b""))[1])
                self.base.execute("delete from rows where folder = ? and key = ?", (folder, key))
            for row in what.puts:
                self.version += 1  # one count for the node: a row made anew never repeats a version
                self.used -= len((self.row(folder, row.key) or (row.key, b""))[1])
                self.base.execute(
                    "insert or replace into rows values (?, ?, ?, ?)",
                    (folder, row.key, row.value, self.version),
                )
                outcome.rows.add(key=row.key, version=self.version)
        self.base.execute("delete from marks where at < ?", (now - self.window,))
        self.base.execute(
            "insert into marks values (?, ?, ?, ?)", (folder, what.mark, now, outcome.SerializeToString())
        )
        return outcome

    def holds(self, folder, check):
        if check.empty_below:
            return (
                self.base.execute(
                    "select 1 from rows where folder = ? and key > ? and key < ? limit 1",
                    (folder, check.key, check.empty_below),
                ).fetchone()
                is None
            )
        row = self.row(folder, check.key)
        return row is not None if check.exists else (row[2] if row else 0) == check.version
