"""The membership store: damaged rows are left out; files of another kind or format are rejected."""

import sqlite3

import pytest

from rushmux.planner.errors import MembershipStoreError, PlannerError
from rushmux.planner.membership_store import MemberRow, MembershipStore

DAMAGED = MemberRow("n0", "node", "1", True, b"x")
INTACT = MemberRow("n1", "node", "1", False, b"y")


@pytest.fixture
def path(tmp_path):
    """The path of a closed store with two rows."""
    path = tmp_path / "planner.db"
    store = MembershipStore(path)
    store.save([DAMAGED, INTACT], [], 7)
    store.close()
    return path


def change(path, statement):
    """Changes a store's file directly."""
    with sqlite3.connect(path) as connection:
        connection.execute(statement)


def test_a_damaged_row_is_left_out_and_named(path):
    change(path, "update members set start = '2' where name = 'n0'")
    store = MembershipStore(path)
    assert store.load() == ([INTACT], ["n0"])
    assert (store.term, store.version) == (2, 7)
    store.close()


def test_a_newer_format_is_rejected(path):
    change(path, "update about set value = 2 where name = 'format'")
    with pytest.raises(MembershipStoreError, match="format 2, this planner reads 1") as error:
        MembershipStore(path)
    assert error.value.path == path and isinstance(error.value, PlannerError)


def test_a_file_that_is_no_store_is_rejected(tmp_path):
    (tmp_path / "b").write_bytes(b"nothing of a store" * 99)
    with pytest.raises(MembershipStoreError, match="is not a planner's membership store"):
        MembershipStore(tmp_path / "b")


def test_removed_members_are_no_longer_stored(path):
    store = MembershipStore(path)
    store.save([], [DAMAGED.name], 8)
    assert store.load() == ([INTACT], []) and store.version == 8
    store.close()
