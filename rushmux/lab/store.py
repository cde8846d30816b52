"""Results of experiments in an embedded store: a row for each variant and seed, written whole or not at "
"all.
"""

import hashlib
import json
import sqlite3
import zlib
from pathlib import Path

FORMAT = 1


class BadStore(Exception):
    """A store that cannot be used; the text names the file and why."""


def digest(raw: dict, variant: dict) -> str:
    """Names what is played: the experiment without its seeds and other variants, and the variant."""
    text = {name: value for name, value in raw.items() if name not in ("variants", "seeds", "question")}
    return hashlib.blake2b(json.dumps([text, variant], sort_keys=True).encode(), digest_size=12).hexdigest()


class Store:
    """One file of results.  A row holds the commit that it was played on and the module's digest."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.base = sqlite3.connect(self.path)
            self.base.execute("pragma journal_mode=wal")
            self.base.execute("create table if not exists about (name text primary key, value text)")
            row = self.base.execute("select value from about where name = 'format'").fetchone()
            if row is None:
                with self.base:
                    self.base.execute("insert into about values ('format', ?)", (str(FORMAT),))
                    self.base.execute(
                        "create table results (what text, module text, seed integer, variant "
                        "text, "
                        "revision text, outcome blob, sum integer, primary key (what, module, "
                        "seed))"
                    )
            elif row[0] != str(FORMAT):
                raise BadStore(
                    f"{path}: results of format {row[0]}, this reads {FORMAT}; choose another directory"
                )
        except sqlite3.DatabaseError as fault:
            raise BadStore(f"{path}: is no store of results: {fault}") from fault

    def put(self, what, module, seed, variant, revision, outcome: dict):
        blob = zlib.compress(json.dumps(outcome).encode())
        with self.base:
            self.base.execute(
                "insert or replace into results values (?, ?, ?, ?, ?, ?, ?)",
                (what, module, seed, variant, revision, blob, zlib.crc32(blob)),
            )

    def get(self, what, module, seed):
        """The outcome of a seed, None where it was not played; a damaged row counts as not played."""
        row = self.base.execute(
            "select outcome, sum from results where what = ? and module = ? and seed = ?",
            (what, module, seed),
        ).fetchone()
        if row is None or zlib.crc32(row[0]) != row[1]:
            return None
        return json.loads(zlib.decompress(row[0]))

    def close(self):
        self.base.close()
