"""Results of experiments in an SQLite database, one row for each variant and seed."""

import hashlib
import json
import sqlite3
import zlib
from pathlib import Path
from typing import NamedTuple

from rushmux.lab.errors import LabError
from rushmux.lab.experiment_schema import Experiment, Variant
from rushmux.lab.measurements import DayResult

FORMAT = 1
DIGEST_BYTES = 12
NOT_IN_DIGEST = ("variants", "seeds", "question")
CREATE_ABOUT = "create table if not exists about (name text primary key, value text)"
CREATE_RESULTS = (
    "create table results (what text, module text, seed integer, variant text, revision text, "
    "outcome blob, sum integer, primary key (what, module, seed))"
)


class ResultStoreError(LabError):
    """A store that cannot be used.

    Attributes:
        path: Its file.
        reason: Why it cannot be used.
    """

    def __init__(self, path: str | Path, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path, self.reason = path, reason


class ResultKey(NamedTuple):
    """Identifies a result."""

    digest: str
    """Digest of experiment and variant (`experiment_digest`)."""
    scheduler: str
    """Digest of the scheduler's source."""
    seed: int


def experiment_digest(experiment: Experiment, variant: Variant) -> str:
    """Identifies what is simulated: the variant, and the experiment without seeds and other variants."""
    simulated = {name: value for name, value in experiment.items() if name not in NOT_IN_DIGEST}
    encoded = json.dumps([simulated, variant], sort_keys=True).encode()
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


class ResultStore:
    """One file of results; each row has the commit that it was made on and the digest of the scheduler.

    Raises:
        ResultStoreError: The file is not a result store, or has another format.
    """

    def __init__(self, path: str | Path):
        self.path = Path(path)
        self.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.connection = sqlite3.connect(self.path)
            self.connection.execute("pragma journal_mode=wal")
            self.connection.execute(CREATE_ABOUT)
            self._check_format(path)
        except sqlite3.DatabaseError as error:
            raise ResultStoreError(path, f"is not a store of results: {error}") from error

    def _check_format(self, path: str | Path) -> None:
        row = self.connection.execute("select value from about where name = 'format'").fetchone()
        if row is None:
            with self.connection:
                self.connection.execute("insert into about values ('format', ?)", (str(FORMAT),))
                self.connection.execute(CREATE_RESULTS)
        elif row[0] != str(FORMAT):
            raise ResultStoreError(
                path, f"results of format {row[0]}, this reads {FORMAT}; choose another directory"
            )

    def put(self, key: ResultKey, variant: str, revision: str, result: DayResult) -> None:
        """Writes a result; replaces one with the same key."""
        blob = zlib.compress(json.dumps(result).encode())
        with self.connection:
            self.connection.execute(
                "insert or replace into results values (?, ?, ?, ?, ?, ?, ?)",
                (*key, variant, revision, blob, zlib.crc32(blob)),
            )

    def get(self, key: ResultKey) -> DayResult | None:
        """The result with a key, or None if it is missing or its row is damaged."""
        row = self.connection.execute(
            "select outcome, sum from results where what = ? and module = ? and seed = ?", key
        ).fetchone()
        if row is None or zlib.crc32(row[0]) != row[1]:
            return None
        return json.loads(zlib.decompress(row[0]))

    def close(self) -> None:
        """Closes the file."""
        self.connection.close()
