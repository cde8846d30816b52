"""The write-back buffer as clients see it, on simulated fleets."""

import asyncio

import pytest

from rushmux.files import layout
from rushmux.files.paths import home_cell
from rushmux.sftp import packets as sftp
from rushmux.standins.client import StatusError

NO_ATTRIBUTES = sftp.Attributes()
HOME = home_cell("heredia", 4)


def test_a_write_is_answered_at_once_and_read_back_before_any_node_has_it(run_fleet, files, buffered_bytes):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(0)
        handle = await files.open(one, "/heredia/a")
        started_at = fleet.loop.time()
        await one.ask(sftp.Write, handle, 10, b"held")
        elapsed = fleet.loop.time() - started_at
        assert buffered_bytes(fleet) == 4
        assert (await one.ask(sftp.Read, handle, 0, 100)).data == bytes(10) + b"held"
        assert (await two.ask(sftp.Stat, "/heredia/a")).attributes.size == 14
        return elapsed

    assert run_fleet(steps)[1] < 0.002


def test_close_fsync_and_barrier_make_writes_readable_through_another_edge(run_fleet, files, buffered_bytes):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        flushes = {
            "a": lambda handle: one.ask(sftp.Close, handle),
            "b": lambda handle: files.fsync(one, handle),
            "c": lambda handle: files.set_barrier(one, "/heredia"),
        }
        for name, flush in flushes.items():
            handle = await files.open(one, f"/heredia/{name}")
            await one.ask(sftp.Write, handle, 0, b"flushed")
            await flush(handle)
            assert buffered_bytes(fleet) == 0 and await two.get(f"/heredia/{name}") == b"flushed"

    run_fleet(steps)


def test_writes_that_nobody_flushes_reach_the_nodes(run_fleet, files, buffered_bytes):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"alone")
        await fleet.sleep(3)
        return buffered_bytes(fleet), await two.get("/heredia/a")

    assert run_fleet(steps)[1] == (0, b"alone")


def test_a_stream_of_small_writes_becomes_few_operations(run_fleet, files):
    async def steps(fleet):
        one = await fleet.client(0)
        handle = await files.open(one, "/heredia/a")
        for at in range(0, 1 << 20, 4_096):
            await one.ask(sftp.Write, handle, at, bytes([at >> 12 & 255]) * 4_096)
        await one.ask(sftp.Close, handle)
        return await one.get("/heredia/a")

    fleet, data = run_fleet(steps)
    assert data == b"".join(bytes([number & 255]) * 4_096 for number in range(256))
    writes = [row for row in fleet.records if row["kind"] == "execution" and row["what"] == "write"]
    assert len(writes) < 30  # of 256


def test_an_answered_flush_survives_a_crash_right_after_it(run_fleet, files):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"flushed" * 9_000)
        await files.fsync(one, handle)
        fleet.kill_edge(0)
        return await two.get("/heredia/a")

    assert run_fleet(steps, buffer_logs=False)[1] == b"flushed" * 9_000


def test_another_session_truncates_renames_and_removes_a_dirty_file(run_fleet, files):
    async def steps(fleet):
        one, two, far = await fleet.client(0), await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"0123456789")
        await two.ask(sftp.SetStat, "/heredia/a", sftp.Attributes(size=4))
        assert await far.get("/heredia/a") == b"0123"
        await one.ask(sftp.Write, handle, 4, b"more")
        await two.ask(sftp.Rename, "/heredia/a", "/heredia/b")
        await files.fsync(one, handle)
        assert await far.get("/heredia/b") == b"0123more"
        await one.ask(sftp.Write, handle, 0, b"gone")
        await far.ask(sftp.Remove, "/heredia/b")
        with pytest.raises(StatusError, match=r"/heredia/.: the file was removed"):
            await files.fsync(one, handle)
        await files.fsync(one, handle)  # the error is raised once
        await one.ask(sftp.Close, handle)
        again = await two.open("/heredia/c", sftp.WRITE | sftp.CREATE)
        await two.ask(sftp.Write, again, 0, b"long before")
        await one.ask(sftp.Open, "/heredia/c", sftp.WRITE | sftp.TRUNCATE, NO_ATTRIBUTES)
        await two.ask(sftp.Close, again)
        return await far.get("/heredia/c")

    assert run_fleet(steps)[1] == b""


def test_writers_wait_while_the_buffer_is_full_and_it_keeps_its_limits(run_fleet, raw, buffered_bytes):
    raw["buffer"] = {"edge_bytes": 2 << 20, "folder_bytes": 1 << 20, "log_bytes": 16 << 20}

    async def steps(fleet):
        max_buffered = max_log = 0
        stored, rejected = [], []

        async def put(client, name):
            try:
                await client.put(f"/heredia/{name}", bytes([name]) * 300_000)
                stored.append(name)
            except StatusError:
                rejected.append(name)

        clients = [await fleet.client(0) for _ in range(4)]
        tasks = [asyncio.ensure_future(put(clients[name % 4], name)) for name in range(40)]
        while not all(task.done() for task in tasks):
            await fleet.sleep(0.01)
            max_buffered = max(max_buffered, buffered_bytes(fleet))
            max_log = max(max_log, sum(len(data) for data in fleet.log_disks[0].files.values()))
        far = await fleet.client(1)
        for name in stored:
            assert await far.get(f"/heredia/{name}") == bytes([name]) * 300_000
        return max_buffered, max_log, stored, rejected

    _, (max_buffered, max_log, stored, rejected) = run_fleet(steps, unit=0.002)
    assert 0 < max_buffered <= 1 << 20 and max_log <= 17 << 20
    assert len(stored) >= 10 and len(stored) + len(rejected) == 40


def test_a_block_of_many_small_flushes_keeps_few_extents(run_fleet, raw, files):
    raw["files"] = {"extents": 8}

    async def steps(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        for at in range(60):  # with gaps, so that no two are adjacent
            await one.ask(sftp.Write, handle, at * 200, bytes([at]) * 100)
            await files.fsync(one, handle)
        rows = (
            fleet.stores[f"node{HOME}"]
            .database.execute("select value from rows where key like 'b/%'")
            .fetchall()
        )
        await fleet.sleep(5)  # until the garbage collector has dropped unreferenced objects
        return max(len(layout.unpack_block(value)) for (value,) in rows), await far.get("/heredia/a")

    fleet, (extents, data) = run_fleet(steps)
    assert extents <= 8 and data == b"".join(bytes([at]) * 100 + bytes(100) for at in range(60))[:-100]
    assert any(row["kind"] == "execution" and row["what"] == "drop" for row in fleet.records)


def test_two_edges_write_one_file_without_losing_bytes(run_fleet, files):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handles = [await files.open(client, "/heredia/a") for client in (one, two)]
        for at in range(10):  # each writes its half of every range, then both write one place
            await one.ask(sftp.Write, handles[0], at * 1_000, b"1" * 500)
            await two.ask(sftp.Write, handles[1], at * 1_000 + 500, b"2" * 500)
        await one.ask(sftp.Write, handles[0], 20_000, b"one")
        await files.fsync(one, handles[0])
        await two.ask(sftp.Write, handles[1], 20_000, b"two")
        await files.fsync(two, handles[1])
        return await one.get("/heredia/a")

    data = run_fleet(steps)[1]
    assert data[:10_000] == (b"1" * 500 + b"2" * 500) * 10 and data[20_000:] == b"two"


def test_a_graceful_shutdown_flushes_everything(run_fleet, files):
    async def steps(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"in time")
        part = fleet.edges[0]
        await part.process.spawn(part.program.close())
        return await far.get("/heredia/a")

    assert run_fleet(steps, buffer_logs=False)[1] == b"in time"
