"""What a planner knows, on its disk: members, drains, the version of the list and the planner's term.

An embedded store; a row is written whole or not at all, with a checksum.  A kill loses nothing that was
told to edges: a change is on the disk before the first edge hears of it.
"""

import sqlite3
import zlib
from pathlib import Path
from typing import NamedTuple

FORMAT = 1
MOST_ROWS = 100_000


class BadStore(Exception):
    """A store that cannot be used; the text names the file and why."""


class Row(NamedTuple):
    """One member as it is kept; `entry` is the list's message, empty for an edge."""

    name: str
    kind: str
    start: str
    draining: bool
    entry: bytes


def _sum(*parts):
    return zlib.crc32("\0".join(map(str, parts)).encode())


class Store:
    """The file of one planner.  `term` is of this start and higher than of any before it."""

    def __init__(self, path):
        self.path = str(path)
        if self.path != ":memory:":
            Path(path).parent.mkdir(parents=True, exist_ok=True)
        try:
            self.base = sqlite3.connect(self.path, isolation_level=None)
            self.base.execute("pragma journal_mode=wal")
            self.base.execute("pragma synchronous=full")
            self.base.execute("create table if not exists about (name text primary key, value integer)")
            self.base.execute(
                "create table if not exists members (name text primary key, kind text, start "
                "text, "
                "draining integer, entry blob, sum integer)"
            )
            known = dict(self.base.execute("select name, value from about"))
        except sqlite3.DatabaseError as fault:
            raise BadStore(f"{path}: is no store of a planner: {fault}") from fault
        if known.get("format", FORMAT) != FORMAT:
            raise BadStore(
                f"{path}: format {known['format']}, this planner reads {FORMAT}; start the newer one"
            )
        self.term, self.version = known.get("term", 0) + 1, known.get("version", 0)
        self.put_about(format=FORMAT, term=self.term)

    def put_about(self, **values):
        self.base.executemany("insert or replace into about values (?, ?)", list(values.items()))

    def rows(self) -> tuple[list[Row], list[str]]:
        """All members in the order of their names, and the names of rows that were damaged and left out."""
        found, damaged = [], []
        for name, kind, start, draining, entry, mark in self.base.execute(
            "select * from members order by name limit ?", (MOST_ROWS,)
        ):
            if mark != _sum(name, kind, start, draining, entry.hex()):
                damaged.append(name)
            else:
                found.append(Row(name, kind, start, bool(draining), entry))
        return found, damaged

    def put(self, rows, dropped, version):
        """Writes members and the list's version together; OSError where the disk has no room."""
        try:
            self.base.execute("begin immediate")
            for row in rows:
                self.base.execute(
                    "insert or replace into members values (?, ?, ?, ?, ?, ?)",
                    (
                        *row[:3],
                        int(row.draining),
                        row.entry,
                        _sum(row.name, row.kind, row.start, int(row.draining), row.entry.hex()),
                    ),
                )
            self.base.executemany("delete from members where name = ?", [(name,) for name in dropped])
            self.put_about(version=version)
            self.base.execute("commit")
        except sqlite3.OperationalError as fault:
            if self.base.in_transaction:
                self.base.execute("rollback")
            raise OSError(f"{self.path}: {fault}") from fault
        self.version = version

    def close(self):
        self.base.close()
