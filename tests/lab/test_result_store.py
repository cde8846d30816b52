"""The result store: files of another format, and damaged rows."""

import sqlite3

from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.lab.result_store import ResultKey, ResultStore


def run_small(folder):
    return CliRunner().invoke(main, ["lab", "run", "small", "--data", str(folder)])


def test_a_store_of_another_format_is_rejected(tmp_path):
    ResultStore(tmp_path / "results.sqlite").close()
    connection = sqlite3.connect(tmp_path / "results.sqlite")
    with connection:
        connection.execute("update about set value = '9' where name = 'format'")
    result = run_small(tmp_path)
    assert result.exit_code == 1 and "format 9, this reads 1" in result.output
    (tmp_path / "results.sqlite").write_bytes(b"no store at all" * 100)
    result = run_small(tmp_path)
    assert result.exit_code == 1 and "is not a store of results" in result.output


def test_a_damaged_row_counts_as_missing(make_store):
    store, key = make_store(), ResultKey("w", "m", 1)
    store.put(key, "v", "r", {"in_time": 0.5})
    assert store.get(key) == {"in_time": 0.5} and store.get(ResultKey("w", "m", 2)) is None
    with store.connection:
        store.connection.execute("update results set outcome = x'00'")
    assert store.get(key) is None
