"""The planners' log on disk: what was synced is there again; a torn tail is told from a damaged middle."""

import os

import pytest

from rushmux import records
from rushmux.fleet import raft
from rushmux.planner.raft_storage import FORMAT, WORD, BadLog, LogFile


def entry(term, text):
    return raft.Entry(term, raft.EntryKind.COMMAND, text.encode())


def ready(**more):
    return raft.Ready(
        **{
            **dict(
                hard_state=None,
                snapshot=None,
                truncate_from=None,
                entries=(),
                messages=(),
                restore=None,
                committed=(),
            ),
            **more,
        }
    )


@pytest.fixture
def path(tmp_path):
    return tmp_path / "planner.log"


def made(path):
    disk = LogFile(path, lambda: "77")
    if disk.new:
        disk.begin(raft.bootstrap(["a/77", "b/1"]))
    return disk


def again(path, disk=None):
    if disk is not None:
        disk.release()
    return LogFile(path, lambda: "88")


def test_votes_entries_cuts_and_snapshots_are_there_again(path):
    disk = made(path)
    disk.write(ready(hard_state=raft.HardState(3, "b/1"), entries=((1, entry(2, "x")), (2, entry(2, "y")))))
    disk.write(
        ready(
            truncate_from=2,
            entries=((2, entry(3, "z")), (3, raft.Entry(3, raft.EntryKind.CONFIGURATION, ("a/77",)))),
        )
    )
    disk = again(path, disk)
    assert disk.life == "77" and disk.kept.term == 3 and disk.kept.voted_for == "b/1"
    assert [row.body for row in disk.kept.entries] == [b"x", b"z", ("a/77",)]
    whole = raft.Snapshot(2, 3, ("a/77",), b"state")
    disk.write(ready(snapshot=whole))
    disk.write(ready(entries=((4, entry(3, "w")),)))
    disk = again(path, disk)
    assert disk.kept.snapshot == whole and [row.body for row in disk.kept.entries] == [("a/77",), b"w"]


def test_a_torn_tail_is_cut_at_any_byte_and_what_was_synced_stays(path):
    disk = made(path)
    disk.write(ready(entries=((1, entry(1, "first")),)))
    disk.release()
    synced = path.read_bytes()
    disk = again(path)
    disk.write(ready(entries=((2, entry(1, "second")),)))
    disk.release()
    whole = path.read_bytes()
    for size in range(len(synced), len(whole)):
        path.write_bytes(whole[:size])
        disk = again(path)
        assert [row.body for row in disk.kept.entries] == [b"first"] and path.stat().st_size == len(synced)
        disk.write(ready(entries=((2, entry(1, "anew")),)))
        disk = again(path, disk)
        assert [row.body for row in disk.kept.entries] == [b"first", b"anew"]
        disk.release()


def test_a_damaged_middle_another_file_and_a_newer_format_are_refused_with_the_place(path):
    disk = made(path)
    for index in range(1, 5):
        disk.write(ready(entries=((index, entry(1, f"entry {index}")),)))
    disk.release()
    whole = path.read_bytes()
    place = whole.index(b"entry 2")
    path.write_bytes(whole[:place] + b"X" + whole[place + 1 :])
    with pytest.raises(BadLog, match="damaged at byte"):
        again(path)
    path.write_bytes(b"something else altogether")
    with pytest.raises(BadLog, match="is no log"):
        again(path)
    path.write_bytes(records.head(WORD, FORMAT + 1) + whole[8:])
    with pytest.raises(BadLog, match="format 2, this program reads 1"):
        again(path)
    path.write_bytes(records.head(WORD, FORMAT) + records.pack(b"?1"))
    with pytest.raises(BadLog, match="no planner wrote"):
        again(path)


def test_one_program_at_a_time(path):
    disk = made(path)
    with pytest.raises(BadLog, match="another program"):
        again(path)
    disk.release()


def test_a_disk_that_takes_half_of_a_record_is_gone_on_with_from_what_is_whole(path, monkeypatch):
    disk = made(path)
    disk.write(ready(entries=((1, entry(1, "kept")),)))
    real = os.write

    def half(sink, data):
        real(sink, data[: len(data) // 2])
        raise OSError("no room")

    monkeypatch.setattr(os, "write", half)
    with pytest.raises(OSError):
        disk.write(ready(entries=((2, entry(1, "lost")),)))
    monkeypatch.setattr(os, "write", real)
    disk.load()
    assert [row.body for row in disk.kept.entries] == [b"kept"]
    disk.write(ready(entries=((2, entry(1, "anew")),)))
    disk = again(path, disk)
    assert [row.body for row in disk.kept.entries] == [b"kept", b"anew"]
    disk.release()
