"""The Raft log on disk: synced data is loaded again, and an incomplete last record is not damage."""

import os

import pytest

from rushmux import records
from rushmux.fleet import raft
from rushmux.planner.errors import RaftStorageError
from rushmux.planner.raft_storage import FORMAT, MAGIC, RaftStorage


def entry(term, text):
    return raft.Entry(term, raft.EntryKind.COMMAND, text.encode())


@pytest.fixture
def path(tmp_path):
    return tmp_path / "planner.log"


def opened(path):
    storage = RaftStorage(path, lambda: "77")
    if storage.is_new:
        storage.create(raft.bootstrap(["a/77", "b/1"]))
    return storage


def reopened(path, storage=None):
    if storage is not None:
        storage.release()
    return RaftStorage(path, lambda: "88")


def test_votes_entries_truncations_and_snapshots_are_loaded_again(path):
    storage = opened(path)
    storage.write(
        raft.Ready(hard_state=raft.HardState(3, "b/1"), entries=((1, entry(2, "x")), (2, entry(2, "y"))))
    )
    storage.write(
        raft.Ready(
            truncate_from=2,
            entries=((2, entry(3, "z")), (3, raft.Entry(3, raft.EntryKind.CONFIGURATION, ("a/77",)))),
        )
    )
    storage = reopened(path, storage)
    assert (
        storage.incarnation == "77" and storage.persistent.term == 3 and storage.persistent.voted_for == "b/1"
    )
    assert [row.body for row in storage.persistent.entries] == [b"x", b"z", ("a/77",)]
    snapshot = raft.Snapshot(2, 3, ("a/77",), b"state")
    storage.write(raft.Ready(snapshot=snapshot))
    storage.write(raft.Ready(entries=((4, entry(3, "w")),)))
    storage = reopened(path, storage)
    assert storage.persistent.snapshot == snapshot and [row.body for row in storage.persistent.entries] == [
        ("a/77",),
        b"w",
    ]


def test_an_incomplete_last_record_is_cut_off_at_any_byte(path):
    storage = opened(path)
    storage.write(raft.Ready(entries=((1, entry(1, "first")),)))
    storage.release()
    synced = path.read_bytes()
    storage = reopened(path)
    storage.write(raft.Ready(entries=((2, entry(1, "second")),)))
    storage.release()
    complete = path.read_bytes()
    for size in range(len(synced), len(complete)):
        path.write_bytes(complete[:size])
        storage = reopened(path)
        assert [row.body for row in storage.persistent.entries] == [b"first"] and path.stat().st_size == len(
            synced
        )
        storage.write(raft.Ready(entries=((2, entry(1, "anew")),)))
        storage = reopened(path, storage)
        assert [row.body for row in storage.persistent.entries] == [b"first", b"anew"]
        storage.release()


def with_damaged_entry(data):
    offset = data.index(b"entry 2")
    return data[:offset] + b"X" + data[offset + 1 :]


def of_another_program(data):
    return b"something else altogether"


def of_a_newer_format(data):
    return records.file_header(MAGIC, FORMAT + 1) + data[8:]


def with_an_unknown_record(data):
    return records.file_header(MAGIC, FORMAT) + records.pack_record(b"?1")


@pytest.mark.parametrize(
    "damage, message",
    [
        (with_damaged_entry, "damaged at byte"),
        (of_another_program, "is not a planner's log"),
        (of_a_newer_format, "format 2, this program reads 1"),
        (with_an_unknown_record, "invalid content: unknown record kind"),
    ],
)
def test_a_log_that_cannot_be_used_is_rejected_with_its_path(path, damage, message):
    storage = opened(path)
    for index in range(1, 5):
        storage.write(raft.Ready(entries=((index, entry(1, f"entry {index}")),)))
    storage.release()
    path.write_bytes(damage(path.read_bytes()))
    with pytest.raises(RaftStorageError, match=message) as error:
        reopened(path)
    assert error.value.path == path


def test_one_program_holds_the_log_at_a_time(path):
    storage = opened(path)
    with pytest.raises(RaftStorageError, match="another program"):
        reopened(path)
    storage.release()


def test_after_a_partial_write_the_complete_records_are_loaded(path, monkeypatch):
    storage = opened(path)
    storage.write(raft.Ready(entries=((1, entry(1, "kept")),)))
    real_write = os.write

    def write_half(file, data):
        real_write(file, data[: len(data) // 2])
        raise OSError("no room")

    monkeypatch.setattr(os, "write", write_half)
    with pytest.raises(OSError):
        storage.write(raft.Ready(entries=((2, entry(1, "lost")),)))
    monkeypatch.setattr(os, "write", real_write)
    storage.load()
    assert [row.body for row in storage.persistent.entries] == [b"kept"]
    storage.write(raft.Ready(entries=((2, entry(1, "anew")),)))
    storage = reopened(path, storage)
    assert [row.body for row in storage.persistent.entries] == [b"kept", b"anew"]
    storage.release()
