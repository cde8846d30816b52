"""The buffer's troubles on the virtual clock."""

import asyncio
import errno

import pytest

from rushmux.files import layout
from rushmux.files.paths import home
from rushmux.sftp import packets as sftp
from rushmux.standins import scenario, script
from rushmux.standins.checker import Checker
from rushmux.standins.client import Refusal

PLAIN = sftp.Attributes()
HOME = home("heredia", 4)


def text(raw):
    return len(raw).to_bytes(4, "big") + raw


async def flush(client, handle):
    await client.ask(sftp.Extended, "fsync@openssh.com", text(handle))


async def barrier(client, folder):
    await client.ask(sftp.Extended, "barrier@rushmux", text(folder.encode()))


async def opened(client, path, flags=sftp.READ | sftp.WRITE | sftp.CREATE):
    return await client.open(path, flags)


def held(fleet, number=0):
    return fleet.edges[number].program.buffer.writes.byte_count


def test_a_write_is_answered_at_once_and_read_back_before_any_node_has_it(play):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(0)
        handle = await opened(one, "/heredia/a")
        begun = fleet.loop.time()
        await one.ask(sftp.Write, handle, 10, b"held")
        took = fleet.loop.time() - begun
        assert held(fleet) == 4
        assert (await one.ask(sftp.Read, handle, 0, 100)).data == bytes(10) + b"held"
        assert (await two.ask(sftp.Stat, "/heredia/a")).attributes.size == 14
        return took

    assert play(story)[1] < 0.002


def test_close_makes_it_readable_elsewhere_and_fsync_and_barrier_too(play):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        for name, settle in (("a", "close"), ("b", "fsync"), ("c", "barrier")):
            handle = await opened(one, f"/heredia/{name}")
            await one.ask(sftp.Write, handle, 0, b"settled")
            if settle == "close":
                await one.ask(sftp.Close, handle)
            elif settle == "fsync":
                await flush(one, handle)
            else:
                await barrier(one, "/heredia")
            assert held(fleet) == 0 and await two.get(f"/heredia/{name}") == b"settled"

    play(story)


def test_what_nobody_flushes_goes_out_by_itself(play):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"alone")
        await fleet.sleep(3)
        return held(fleet), await two.get("/heredia/a")

    assert play(story)[1] == (0, b"alone")


def test_a_stream_of_small_writes_becomes_few_operations(play):
    async def story(fleet):
        one = await fleet.client(0)
        handle = await opened(one, "/heredia/a")
        for at in range(0, 1 << 20, 4_096):
            await one.ask(sftp.Write, handle, at, bytes([at >> 12 & 255]) * 4_096)
        await one.ask(sftp.Close, handle)
        return await one.get("/heredia/a")

    fleet, data = play(story)
    assert data == b"".join(bytes([number & 255]) * 4_096 for number in range(256))
    writes = [row for row in fleet.records if row["kind"] == "execution" and row["what"] == "write"]
    assert len(writes) < 30  # of 256


def test_killed_right_after_a_flush_was_answered(play):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"flushed" * 9_000)
        await flush(one, handle)
        fleet.kill_edge(0)
        return await two.get("/heredia/a")

    assert play(story, logs=False)[1] == b"flushed" * 9_000


@pytest.mark.parametrize("kind", ["silent", "stuck", "disk", "errors"])
def test_a_flush_while_a_node_is_in_trouble_tells_the_truth(play, kind):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"careful" * 30_000)
        for node in (HOME, (HOME + 1) % 4):
            await fleet.trouble(f"node{node}", kind, 1.0, 6)
        begun = fleet.loop.time()
        try:
            await flush(one, handle)
            told = "ok"
        except Refusal as refusal:
            told = refusal.status.message.split(":")[0]
        took = fleet.loop.time() - begun
        if told == "ok":
            fleet.kill_edge(0)
        else:
            await fleet.sleep(12)  # it goes on and comes through when the trouble is over
        return told, took, await two.get("/heredia/a")

    _, (told, took, data) = play(story)
    assert data == b"careful" * 30_000 and took < 7 and told in ("ok", "terminated")


def test_the_node_of_a_part_is_drained_and_replaced(play):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        other = f"node{(HOME + 1) % 4}"
        for at in range(20):
            await one.ask(sftp.Write, handle, at * 300_000, b"p" * 1_000)
        await fleet.trouble(other, "drain")
        flushing = asyncio.ensure_future(flush(one, handle))
        await fleet.sleep(0.01)
        await fleet.replace(other, "new")
        await flushing
        await fleet.sleep(4)  # until the list has told of the new one
        return [await tried(two, at) for at in range(20)]

    async def tried(client, at):
        handle = await client.open("/heredia/a", sftp.READ)
        try:
            return (await client.ask(sftp.Read, handle, at * 300_000, 1_000)).data == b"p" * 1_000
        except Refusal as refusal:
            return "not on its node" in refusal.status.message

    # What lay on the node that was replaced by an empty one is lost with it, and told so, never wrong.
    assert all(play(story)[1])


def test_another_session_cuts_renames_and_removes_what_is_held(play):
    async def story(fleet):
        one, two, far = await fleet.client(0), await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"0123456789")
        await two.ask(sftp.SetStat, "/heredia/a", sftp.Attributes(size=4))
        assert await far.get("/heredia/a") == b"0123"
        await one.ask(sftp.Write, handle, 4, b"more")
        await two.ask(sftp.Rename, "/heredia/a", "/heredia/b")
        await flush(one, handle)
        assert await far.get("/heredia/b") == b"0123more"
        await one.ask(sftp.Write, handle, 0, b"gone")
        await far.ask(sftp.Remove, "/heredia/b")
        with pytest.raises(Refusal, match=r"/heredia/.: the file was removed"):
            await flush(one, handle)
        await flush(one, handle)  # told once
        await one.ask(sftp.Close, handle)
        again = await two.open("/heredia/c", sftp.WRITE | sftp.CREATE)
        await two.ask(sftp.Write, again, 0, b"long before")
        await one.ask(sftp.Open, "/heredia/c", sftp.WRITE | sftp.TRUNCATE, PLAIN)
        await two.ask(sftp.Close, again)
        return await far.get("/heredia/c")

    assert play(story)[1] == b""


def test_a_barrier_waits_for_a_silent_node_and_nothing_passes_it(play):
    async def story(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        first, second = [await opened(one, f"/heredia/{name}") for name in "ab"]
        await one.ask(sftp.Write, first, 0, b"before" * 40_000)
        await fleet.trouble(f"node{HOME}", "silent", seconds=3)
        waiting = asyncio.ensure_future(barrier(one, "/heredia"))
        await fleet.sleep(0.05)
        assert not waiting.done()
        try:
            await waiting
        except Refusal:
            await fleet.sleep(8)
        await one.ask(sftp.Write, second, 0, b"after")
        await flush(one, second)
        return await far.get("/heredia/a"), await far.get("/heredia/b")

    assert play(story)[1] == (b"before" * 40_000, b"after")


@pytest.mark.parametrize("fault, half", [(errno.ENOSPC, True), (errno.EIO, False)])
def test_the_disk_of_the_log_fails_and_writes_go_through(play, fault, half):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"logged")
        disk = fleet.log_disks[0]
        disk.append_errno, disk.takes_half = fault, half
        await one.ask(sftp.Write, handle, 6, b"-not")
        await one.ask(sftp.Write, handle, 10, b"-through")
        assert held(fleet) == 0  # at the latest the next write goes to the nodes itself
        fleet.kill_edge(0)
        return await two.get("/heredia/a")

    fleet, data = play(story)
    assert data == b"logged-not-through"
    assert any(row["event"] == "buffer.log_append_failed" for row in fleet.logs)


def test_a_log_that_was_cut_off_or_damaged_is_told_and_used_as_far_as_it_goes(play):
    async def story(fleet, hurt):
        one, two = await fleet.client(0), await fleet.client(1)
        handles = [await opened(one, f"/heredia/{name}") for name in "ab"]
        await one.ask(sftp.Write, handles[0], 0, b"first")
        await one.ask(sftp.Write, handles[1], 0, b"second")
        fleet.kill_edge(0)
        (name,) = fleet.log_disks[0].names()
        hurt(fleet.log_disks[0].files[name])
        await fleet.edge(0)
        again = await fleet.client(0)
        await again.names("/heredia")
        await fleet.sleep(1)
        return await two.get("/heredia/a"), await two.get("/heredia/b"), sorted(fleet.log_disks[0].files)

    def torn(data):
        del data[-3:]

    def damaged(data):
        data[data.index(b"first")] ^= 1

    fleet, (one, two, _) = play(lambda fleet: story(fleet, torn))
    assert (one, two) == (b"first", b"") and any(
        row["event"] == "buffer.log_segment_torn" for row in fleet.logs
    )
    fleet, (one, two, files) = play(lambda fleet: story(fleet, damaged))
    assert (one, two) == (b"", b"") and files[0].endswith(".damaged")
    assert any(row["event"] == "buffer.log_segment_corrupt" for row in fleet.logs)


def test_a_full_buffer_makes_writers_wait_and_stays_within_its_bounds(play, raw):
    raw["buffer"] = {"edge_bytes": 2 << 20, "folder_bytes": 1 << 20, "log_bytes": 16 << 20}

    async def story(fleet):
        most = log = 0
        results = []

        async def file(client, name):
            try:
                await client.put(f"/heredia/{name}", bytes([name]) * 300_000)
                results.append(name)
            except Refusal as refusal:
                results.append(refusal.status.message.split(":")[0])

        clients = [await fleet.client(0) for _ in range(4)]
        tasks = [asyncio.ensure_future(file(clients[name % 4], name)) for name in range(40)]
        while not all(task.done() for task in tasks):
            await fleet.sleep(0.01)
            most = max(most, held(fleet))
            log = max(log, sum(len(data) for data in fleet.log_disks[0].files.values()))
        far = await fleet.client(1)
        for name in results:
            if isinstance(name, int):
                assert await far.get(f"/heredia/{name}") == bytes([name]) * 300_000
        return most, log, results

    _, (most, log, results) = play(story, unit=0.002)
    assert 0 < most <= 1 << 20 and log <= 17 << 20
    assert sum(isinstance(name, int) for name in results) >= 10 and len(results) == 40


def test_an_edge_that_stands_still_with_flushes_due_answers_in_time_or_is_known_to_be_late(play):
    async def story(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"paused" * 10_000)
        flushing = asyncio.ensure_future(flush(one, handle))
        await fleet.sleep(0.004)
        fleet.edges[0].process.hold(3)
        begun = fleet.loop.time()
        await flushing
        return fleet.loop.time() - begun, await far.get("/heredia/a")

    _, (took, data) = play(story)
    assert 2.9 < took < 7 and data == b"paused" * 10_000


def test_a_block_written_in_many_small_flushes_stays_in_few_pieces(play, raw):
    raw["files"] = {"extents": 8}

    async def story(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        for at in range(60):  # every other place, so that nothing lies together
            await one.ask(sftp.Write, handle, at * 200, bytes([at]) * 100)
            await flush(one, handle)
        rows = (
            fleet.stores[f"node{HOME}"].base.execute("select value from rows where key like 'b/%'").fetchall()
        )
        await fleet.sleep(5)  # until the cleaner has dropped what is no more named
        return max(len(layout.unpack_block(value)) for (value,) in rows), await far.get("/heredia/a")

    fleet, (pieces, data) = play(story)
    assert pieces <= 8 and data == b"".join(bytes([at]) * 100 + bytes(100) for at in range(60))[:-100]
    assert any(row["kind"] == "execution" and row["what"] == "drop" for row in fleet.records)


def test_two_edges_write_one_file(play):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handles = [await opened(client, "/heredia/a") for client in (one, two)]
        for at in range(10):  # each its own half of every stretch, and one place for both
            await one.ask(sftp.Write, handles[0], at * 1_000, b"1" * 500)
            await two.ask(sftp.Write, handles[1], at * 1_000 + 500, b"2" * 500)
        await one.ask(sftp.Write, handles[0], 20_000, b"one")
        await flush(one, handles[0])
        await two.ask(sftp.Write, handles[1], 20_000, b"two")
        await flush(two, handles[1])
        return await one.get("/heredia/a")

    data = play(story)[1]
    assert data[:10_000] == (b"1" * 500 + b"2" * 500) * 10 and data[20_000:] == b"two"


def test_a_folder_moves_to_another_edge_without_losing_order(play):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"from one")
        await one.ask(sftp.Close, handle)
        handle = await opened(two, "/heredia/a")
        await two.ask(sftp.Write, handle, 5, b"two")
        fleet.kill_edge(1)
        await fleet.edge(1)
        two = await fleet.client(1)
        return await two.get("/heredia/a")

    assert play(story)[1] == b"from two"  # its log brought back what was not flushed


def test_an_edge_that_ends_writes_out_what_it_holds(play):
    async def story(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        handle = await opened(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"in time")
        part = fleet.edges[0]
        await part.process.spawn(part.program.close())
        return await far.get("/heredia/a")

    assert play(story, logs=False)[1] == b"in time"


def test_the_bad_day_with_the_buffer_on_keeps_every_rule(play, raw):
    from rushmux.settings.deployment import build

    async def story(fleet):
        await scenario.play(fleet, script.load("bad"), scenario.Load(part=0.4), 5)

    fleet, _ = play(story, nodes=6, edges=3, unit=0.02)
    for verdict in Checker(fleet.all_records(), build(raw), 0.005).verdicts():
        assert not verdict.breaches, verdict
