"""Disk faults of the write-ahead log, and recovery from a damaged log, on simulated fleets."""

import errno

import pytest

from rushmux.sftp import packets as sftp
from rushmux.standins.client import StatusError


def cut_off(segment):
    """Cuts a segment off within its last record, as a crash does."""
    del segment[-3:]


def overwrite(segment):
    """Damages a record that complete ones follow."""
    segment[segment.index(b"first")] ^= 1


@pytest.mark.parametrize("append_errno, partial_append", [(errno.ENOSPC, True), (errno.EIO, False)])
def test_writes_go_to_the_nodes_when_the_disk_of_the_log_fails(
    run_fleet, append_errno, partial_append, files, buffered_bytes
):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"logged")
        disk = fleet.log_disks[0]
        disk.append_errno, disk.partial_append = append_errno, partial_append
        await one.ask(sftp.Write, handle, 6, b"-not")
        await one.ask(sftp.Write, handle, 10, b"-through")
        assert buffered_bytes(fleet) == 0  # by now writes bypass the buffer
        fleet.kill_edge(0)
        return await two.get("/heredia/a")

    fleet, data = run_fleet(steps)
    assert data == b"logged-not-through"
    assert any(row["event"] == "buffer.log_append_failed" for row in fleet.logs)


@pytest.mark.parametrize(
    "damage, contents, event",
    [
        (cut_off, (b"first", b""), "buffer.log_segment_torn"),
        (overwrite, (b"", b""), "buffer.log_segment_corrupt"),
    ],
)
def test_a_damaged_log_is_reported_and_used_up_to_the_damage(run_fleet, files, damage, contents, event):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handles = [await files.open(one, f"/heredia/{name}") for name in "ab"]
        await one.ask(sftp.Write, handles[0], 0, b"first")
        await one.ask(sftp.Write, handles[1], 0, b"second")
        fleet.kill_edge(0)
        (name,) = fleet.log_disks[0].names()
        damage(fleet.log_disks[0].files[name])
        await fleet.start_edge(0)
        restarted = await fleet.client(0)
        await restarted.list_directory("/heredia")
        await fleet.sleep(1)
        return await two.get("/heredia/a"), await two.get("/heredia/b"), sorted(fleet.log_disks[0].files)

    fleet, (first, second, stored_files) = run_fleet(steps)
    assert (first, second) == contents
    assert any(row["event"] == event for row in fleet.logs)
    if damage is overwrite:
        assert stored_files[0].endswith(".damaged")


def test_recovered_writes_come_after_those_of_another_edge(run_fleet, files):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"from one")
        await one.ask(sftp.Close, handle)
        handle = await files.open(two, "/heredia/a")
        await two.ask(sftp.Write, handle, 5, b"two")
        fleet.kill_edge(1)
        await fleet.start_edge(1)
        two = await fleet.client(1)
        return await two.get("/heredia/a")

    assert run_fleet(steps)[1] == b"from two"  # the unflushed write was recovered from the log


def test_discarded_writes_do_not_come_back_after_a_crash(run_fleet, raw, files, buffered_bytes):
    raw["buffer"] = {"keep_ms": 600, "age_ms": 200}

    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handles = [await files.open(one, f"/heredia/{name}") for name in "ab"]
        for handle in handles:
            await one.ask(sftp.Write, handle, 0, b"discarded")
        for node in range(4):
            await fleet.inject_fault(f"node{node}", "silent", seconds=20)
        while buffered_bytes(fleet):
            await fleet.sleep(0.1)
        for handle in handles:
            with pytest.raises(StatusError, match="written before and lost"):
                await files.fsync(one, handle)
        fleet.kill_edge(0)
        await fleet.sleep(25)
        await fleet.start_edge(0)
        await fleet.sleep(5)
        return [await two.get(f"/heredia/{name}") for name in "ab"]

    fleet, contents = run_fleet(steps)
    assert contents == [b"", b""]
    assert sum(row["event"] == "buffer.writes_discarded" for row in fleet.logs) == 2
