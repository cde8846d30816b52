"""A planner's membership on disk: members, drains, the endpoint list's version and the planner's term.

The store is an SQLite file; each change is one transaction, and each row has a checksum.  Changes are stored
before edges are notified of them, so that they survive a crash of the planner.
"""

import sqlite3
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from rushmux.planner.errors import MembershipStoreError

STORE_FORMAT = 1
MAX_ROWS = 100_000
IN_MEMORY = ":memory:"

_CREATE_ABOUT = "create table if not exists about (name text primary key, value integer)"
_CREATE_MEMBERS = (
    "create table if not exists members "
    "(name text primary key, kind text, start text, draining integer, entry blob, sum integer)"
)


class MemberRow(NamedTuple):
    """One stored member.

    Attributes:
        name: The member's name.
        kind: The value of the member's `MemberKind`.
        incarnation: Differs at each start of the member.
        draining: Whether operators drained the member.
        entry: A node's serialized `messages.Entry`; empty for an edge.
    """

    name: str
    kind: str
    incarnation: str
    draining: bool
    entry: bytes

    @property
    def checksum(self) -> int:
        """The CRC-32 stored with the row."""
        return _checksum(self.name, self.kind, self.incarnation, int(self.draining), self.entry)


class StoredMembers(NamedTuple):
    """The store's intact rows in order of their names, and the names of its damaged rows."""

    rows: list[MemberRow]
    damaged: list[str]


def _checksum(name: str, kind: str, incarnation: str, draining: int, entry: bytes) -> int:
    return zlib.crc32("\0".join(map(str, (name, kind, incarnation, draining, entry.hex()))).encode())


class MembershipStore:
    """The store of one planner.

    Attributes:
        path: The file's path, or `IN_MEMORY`.
        term: The planner's term if it has no replicated log; increases at each start.
        version: The last stored version of the endpoint list.

    Raises:
        MembershipStoreError: The file is not a membership store, or has a newer format.
    """

    def __init__(self, path: str | Path):
        self.path = str(path)
        if self.path != IN_MEMORY:
            Path(path).parent.mkdir(parents=True, exist_ok=True)
        stored = self._open()
        if stored.get("format", STORE_FORMAT) != STORE_FORMAT:
            raise MembershipStoreError(
                self.path,
                f"format {stored['format']}, this planner reads {STORE_FORMAT}; run a newer version",
            )
        self.term = stored.get("term", 0) + 1
        self.version = stored.get("version", 0)
        self._store_about(format=STORE_FORMAT, term=self.term)

    def _open(self) -> dict[str, int]:
        """Connects, creates missing tables and returns the values in table `about`."""
        try:
            self._connection = sqlite3.connect(self.path, isolation_level=None)
            self._connection.execute("pragma journal_mode=wal")
            self._connection.execute("pragma synchronous=full")
            self._connection.execute(_CREATE_ABOUT)
            self._connection.execute(_CREATE_MEMBERS)
            return dict(self._connection.execute("select name, value from about"))
        except sqlite3.DatabaseError as error:
            raise MembershipStoreError(self.path, f"is not a planner's membership store: {error}") from error

    def _store_about(self, **values: int) -> None:
        self._connection.executemany("insert or replace into about values (?, ?)", list(values.items()))

    def load(self) -> StoredMembers:
        """Reads all members."""
        stored = StoredMembers([], [])
        cursor = self._connection.execute("select * from members order by name limit ?", (MAX_ROWS,))
        for name, kind, incarnation, draining, entry, checksum in cursor:
            if checksum == _checksum(name, kind, incarnation, draining, entry):
                stored.rows.append(MemberRow(name, kind, incarnation, bool(draining), entry))
            else:
                stored.damaged.append(name)
        return stored

    def save(self, rows: Iterable[MemberRow], removed: Iterable[str], version: int) -> None:
        """Stores and removes members and stores the endpoint list's version, in one transaction.

        Raises:
            OSError: The write failed; nothing was stored.
        """
        try:
            self._connection.execute("begin immediate")
            self._connection.executemany(
                "insert or replace into members values (?, ?, ?, ?, ?, ?)",
                [
                    (row.name, row.kind, row.incarnation, int(row.draining), row.entry, row.checksum)
                    for row in rows
                ],
            )
            self._connection.executemany("delete from members where name = ?", [(name,) for name in removed])
            self._store_about(version=version)
            self._connection.execute("commit")
        except sqlite3.OperationalError as error:
            if self._connection.in_transaction:
                self._connection.execute("rollback")
            raise OSError(f"{self.path}: {error}") from error
        self.version = version

    def close(self) -> None:
        """Closes the file."""
        self._connection.close()
