"""The store of a stand-in node: objects and rows of names, in a SQLite database.

A commit covers several changes; the node answers them only after it.
"""

import sqlite3
import zlib
from os import PathLike
from typing import NamedTuple

from rushmux.nodewire import messages

FORMAT = 1
MAX_ROWS = 1_000
"""Rows in a reply, for any request."""
MAX_REPLY_BYTES = 700_000
"""The most bytes of rows in a reply; a frame holds at most a megabyte."""
ROOT_ID = "0"
SCHEMA = """
create table if not exists about (name text primary key, value) without rowid;
create table if not exists objects (name text primary key, data blob not null, crc integer not null);
create table if not exists rows (folder text not null, key text not null, value blob not null,
    version integer not null, primary key (folder, key)) without rowid;
create table if not exists marks (folder text not null, mark text not null, at real not null,
    outcome blob not null, primary key (folder, mark)) without rowid;
create index if not exists marks_by_age on marks (at);
"""


class StoreError(Exception):
    """A file cannot be opened, has another format or belongs to another cell."""


class DiskFullError(Exception):
    """The disk has no room for the data to be written."""


class Row(NamedTuple):
    """A row of names."""

    key: str
    value: bytes
    version: int


class Store:
    """The disk of a node.

    Attributes:
        fencing_floor: Attempts of edges that know only older policy versions are rejected.
        version: The version of the row changed last.

    Args:
        path: The database file, or ":memory:".
        cell: The cell whose data it holds.
        limit: Its capacity, bytes.
        window: Seconds for which the mark of a change is recognized.
        sync: Whether each commit waits for the disk.

    Raises:
        StoreError: The file can't be used.
    """

    def __init__(self, path: str | PathLike[str], cell: int, limit: int, window: float, sync: bool = False):
        self.limit, self.window = limit, window
        metadata = self._open(path, sync)
        if metadata.get("format", FORMAT) != FORMAT:
            raise StoreError(f"{path}: format {metadata['format']}, this program reads {FORMAT}")
        if metadata.get("cell", cell) != cell:
            raise StoreError(f"{path}: the store belongs to cell {metadata['cell']}, not {cell}")
        self.database.executemany(
            "insert or replace into about values (?, ?)", [("format", FORMAT), ("cell", cell)]
        )
        self.fencing_floor = metadata.get("floor", 0)
        self._load_counts()

    def _open(self, path: str | PathLike[str], sync: bool) -> dict:
        """Opens the database; returns its metadata."""
        try:
            self.database = sqlite3.connect(path, isolation_level=None)
            self.database.execute("pragma journal_mode = wal")
            self.database.execute(f"pragma synchronous = {'full' if sync else 'normal'}")
            self.database.executescript(SCHEMA)
            return dict(self.database.execute("select name, value from about"))
        except sqlite3.DatabaseError as error:
            raise StoreError(f"{path}: {error}") from error

    def raise_fencing_floor(self, version: int) -> None:
        """Stores a new floor, within the current transaction if there is one."""
        self.fencing_floor = version
        self.database.execute("insert or replace into about values ('floor', ?)", (version,))

    def _load_counts(self) -> None:
        row = self.database.execute("select value from about where name = 'version'").fetchone()
        self.version = row[0] if row else 0
        (objects,) = self.database.execute("select coalesce(sum(length(data)), 0) from objects").fetchone()
        (rows,) = self.database.execute("select coalesce(sum(length(value)), 0) from rows").fetchone()
        self.used = objects + rows

    def roll_back(self) -> None:
        """Discards uncommitted changes, as the kill of a process does."""
        if self.database.in_transaction:
            self.database.execute("rollback")
        self._load_counts()

    @property
    def free(self) -> int:
        """The number of free bytes."""
        return max(0, self.limit - self.used)

    def begin(self) -> None:
        """Starts a transaction, if there is none."""
        if not self.database.in_transaction:
            self.database.execute("begin immediate")

    def commit(self) -> None:
        """Commits the current transaction."""
        if self.database.in_transaction:
            self.database.execute("insert or replace into about values ('version', ?)", (self.version,))
            self.database.execute("commit")

    def close(self) -> None:
        """Commits and closes."""
        self.commit()
        self.database.close()

    def read(self, request: messages.ReadObject) -> messages.Outcome:
        """Reads a part of an object."""
        result = self.database.execute(
            "select data, crc from objects where name = ?", (request.object,)
        ).fetchone()
        if result is None:
            return messages.Outcome(code=messages.MISSING)
        data, crc = result
        if zlib.crc32(data) != crc:
            return messages.Outcome(code=messages.FAILED, error="the object is damaged on disk")
        part = data[request.offset : request.offset + request.length]
        return messages.Outcome(data=part, crc=zlib.crc32(part))

    def write(self, request: messages.WriteObject) -> messages.Outcome:
        """Stores an object, unless an earlier attempt of the operation has stored it."""
        if zlib.crc32(request.data) != request.crc:
            return messages.Outcome(code=messages.FAILED, error="the data came damaged")
        if self.database.execute("select 1 from objects where name = ?", (request.object,)).fetchone():
            return messages.Outcome()
        self._allocate(len(request.data))
        self.database.execute(
            "insert into objects values (?, ?, ?)", (request.object, request.data, request.crc)
        )
        return messages.Outcome()

    def _allocate(self, size: int) -> None:
        if size > self.free:
            raise DiskFullError(f"{size} bytes where {self.free} are free")
        self.used += size

    def drop(self, request: messages.DropObjects) -> messages.Outcome:
        """Removes objects."""
        for name in request.objects:
            sizes = self.database.execute("select length(data) from objects where name = ?", (name,))
            self.used -= sum(size for (size,) in sizes)
            self.database.execute("delete from objects where name = ?", (name,))
        return messages.Outcome()

    def row(self, folder: str, key: str) -> Row | None:
        """Returns a row, or None."""
        result = self.database.execute(
            "select key, value, version from rows where folder = ? and key = ?", (folder, key)
        ).fetchone()
        return Row(*result) if result else None

    def look(self, folder: str, request: messages.Look) -> messages.Outcome:
        """The rows that a request names by path, key or range."""
        outcome = messages.Outcome()
        if request.path:
            self._look_up_path(folder, request.path, outcome)
        for key in request.keys[:MAX_ROWS]:
            row = self.row(folder, key)
            if row:
                outcome.rows.add(key=row.key, value=row.value, version=row.version)
        if request.below:
            self._look_up_range(folder, request, outcome)
        return outcome

    def _look_up_path(self, folder: str, path: list[str], outcome: messages.Outcome) -> None:
        """Adds the rows of each name along a path and of its file, until one is missing."""
        parent = ROOT_ID
        for name in path:
            entry = self.row(folder, f"d/{parent}/{name}")
            file = entry and self.row(folder, "i/" + _file_id(entry))
            if not file:
                return
            for row in (entry, file):
                outcome.rows.add(key=row.key, value=row.value, version=row.version)
            parent = _file_id(entry)

    def _look_up_range(self, folder: str, request: messages.Look, outcome: messages.Outcome) -> None:
        """Adds the rows of a range in key order, as many as fit into a reply."""
        limit, size = min(request.most or MAX_ROWS, MAX_ROWS), 0
        rows = self.database.execute(
            "select key, value, version from rows where folder = ? and key > ? and key < ? "
            "order by key limit ?",
            (folder, request.after, request.below, limit + 1),
        ).fetchall()
        for row in map(Row._make, rows[:limit]):
            size += len(row.key) + len(row.value)
            if size > MAX_REPLY_BYTES:
                outcome.more = True
                return
            outcome.rows.add(key=row.key, value=row.value, version=row.version)
        outcome.more = len(rows) > limit

    def change(self, folder: str, request: messages.Change, now: float) -> messages.Outcome:
        """Changes rows atomically; a repetition within the window only returns the first outcome again.

        Args:
            folder: The folder of the rows.
            request: The mark, the checks, and the rows to put and to drop.
            now: The time, seconds.

        Raises:
            DiskFullError: The rows do not fit; nothing was changed.
        """
        repeated = self.database.execute(
            "select outcome from marks where folder = ? and mark = ?", (folder, request.mark)
        ).fetchone()
        if repeated:
            return messages.Outcome.FromString(repeated[0])
        if all(self._holds(folder, check) for check in request.checks):
            outcome = self._apply(folder, request)
        else:
            outcome = messages.Outcome(code=messages.CONFLICT)
        self.database.execute("delete from marks where at < ?", (now - self.window,))
        self.database.execute(
            "insert into marks values (?, ?, ?, ?)", (folder, request.mark, now, outcome.SerializeToString())
        )
        return outcome

    def _apply(self, folder: str, request: messages.Change) -> messages.Outcome:
        outcome = messages.Outcome()
        self._allocate(sum(len(row.value) for row in request.puts))
        for key in request.drops:
            self._release(folder, key)
            self.database.execute("delete from rows where folder = ? and key = ?", (folder, key))
        for row in request.puts:
            self.version += 1  # counted per node, so that a recreated row never reuses a version
            self._release(folder, row.key)
            self.database.execute(
                "insert or replace into rows values (?, ?, ?, ?)", (folder, row.key, row.value, self.version)
            )
            outcome.rows.add(key=row.key, version=self.version)
        return outcome

    def _release(self, folder: str, key: str) -> None:
        """Frees the bytes of a row that is about to be removed or replaced."""
        row = self.row(folder, key)
        if row:
            self.used -= len(row.value)

    def _holds(self, folder: str, check: messages.Check) -> bool:
        """Whether the state that a change was based on still holds."""
        if check.empty_below:
            result = self.database.execute(
                "select 1 from rows where folder = ? and key > ? and key < ? limit 1",
                (folder, check.key, check.empty_below),
            ).fetchone()
            return result is None
        row = self.row(folder, check.key)
        if check.exists:
            return row is not None
        return (row.version if row else 0) == check.version


def _file_id(entry: Row) -> str:
    """The id of a directory entry's file: the first string of a JSON list."""
    return entry.value.split(b'"', 2)[1].decode()
