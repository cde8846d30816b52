"""What becomes of writes that were acknowledged and are then discarded, over crashes of the edge.

A client is told once that buffered writes of a file were discarded.  From the moment at which the log holds
the record of it they must not come back, and everything that was acknowledged and not discarded must.  The
record was never written: `WriteBack` called a method that did not exist, and the task of the batch ended with
an AttributeError that nobody saw.  After a crash the log brought the discarded writes back.
"""

import asyncio
import errno

import pytest

from rushmux.buffer.disk import SimulatedSegments
from rushmux.sftp import packets as sftp
from rushmux.standins.client import ConnectionClosedError, StatusError

LOST = "written before and lost"
FAULT_TIME = 20  # seconds, far beyond `keep_ms`
RECOVERY_TIME = 5


@pytest.fixture
def discards(raw):
    """A deployment whose buffer discards after 0.6 s what it cannot flush."""
    raw["buffer"] = {"keep_ms": 600, "age_ms": 200}
    return raw["buffer"]


async def silence_nodes(fleet):
    for node in range(4):
        await fleet.inject_fault(f"node{node}", "silent", seconds=FAULT_TIME)


async def discarded(fleet, count):
    """Waits until so many files' writes were discarded; AssertionError where they are not in time."""
    for _ in range(FAULT_TIME * 5):
        if sum(row["event"] == "buffer.writes_discarded" for row in fleet.logs) >= count:
            return
        await fleet.sleep(0.1)
    raise AssertionError(f"fewer than {count} files' writes were discarded")


async def restart_after_fault(fleet):
    """Kills edge 0, lets the nodes answer again, and waits until it has recovered."""
    fleet.kill_edge(0)
    await fleet.sleep(FAULT_TIME + RECOVERY_TIME)
    await fleet.edge(0)
    await fleet.sleep(RECOVERY_TIME)


async def told(client, files, handle):
    """Whether a flush says that earlier writes were discarded."""
    try:
        await files.fsync(client, handle)
    except StatusError as refusal:
        return LOST in str(refusal)
    return False


async def begin_barrier(fleet, files):
    """Has a session of its own set a barrier; a task of what its answer says of writes that were discarded.

    Later requests of the same session would wait for the answer.
    """
    client = await fleet.client(0)

    async def barrier():
        try:
            await files.set_barrier(client, "/heredia")
        except StatusError as refusal:
            return str(refusal) if LOST in str(refusal) else ""
        except ConnectionClosedError:
            pass
        return ""

    answer = asyncio.ensure_future(barrier())
    await fleet.sleep(0.01)  # it is set before whatever comes next
    return answer


def test_files_above_a_discarded_layer_are_logged_and_stay_discarded(play, discards, files):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        below, above = [await files.open(one, f"/heredia/{name}") for name in ("below", "above")]
        await one.ask(sftp.Write, below, 0, b"below")
        await silence_nodes(fleet)  # before the batch begins, so that none of it can reach a node
        barrier = await begin_barrier(fleet, files)
        await one.ask(sftp.Write, above, 0, b"above")
        await discarded(fleet, 2)
        answers = ["/heredia/below" in await barrier]  # a client is told of a file once
        answers += [await told(one, files, handle) for handle in (below, above)]
        await restart_after_fault(fleet)
        return answers, [await two.get(f"/heredia/{name}") for name in ("below", "above")]

    _, (answers, contents) = play(story)
    assert answers == [True, False, True] and contents == [b"", b""]


def test_a_lower_layer_that_was_not_discarded_survives_a_crash(play, discards, files):
    # The second file of the layer is in no batch when the first is discarded.
    discards.update(batch_files=1, keep_ms=3_000)

    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        first, second = [await files.open(one, f"/heredia/{name}") for name in ("first", "second")]
        await one.ask(sftp.Write, first, 0, b"first")
        await silence_nodes(fleet)
        await fleet.sleep(0.5)
        await one.ask(sftp.Write, second, 0, b"kept ")
        barrier = await begin_barrier(fleet, files)
        await one.ask(sftp.Write, second, 5, b"gone ")
        await discarded(fleet, 2)
        fleet.kill_edge(0)
        await barrier
        await fleet.sleep(FAULT_TIME + RECOVERY_TIME)
        await fleet.edge(0)
        await fleet.sleep(RECOVERY_TIME)
        return [await two.get(f"/heredia/{name}") for name in ("first", "second")]

    assert play(story)[1] == [b"", b"kept "]


def test_a_file_written_again_after_its_writes_were_discarded_is_recovered(play, discards, files):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"discarded")
        await silence_nodes(fleet)
        await discarded(fleet, 1)
        was_told = await told(one, files, handle)
        await fleet.sleep(FAULT_TIME)
        await one.ask(sftp.Write, handle, 9, b"-again")
        fleet.kill_edge(0)
        await fleet.edge(0)
        await fleet.sleep(RECOVERY_TIME)
        return was_told, await two.get("/heredia/a")

    assert play(story)[1] == (True, b"\0" * 9 + b"-again")


def test_writes_after_the_edges_own_flush_are_recovered(play, files):
    """An edge took its own flush for another edge's write, and dropped what was acknowledged after it.

    The base record of the log had the version that the handle had seen when it was opened, not that of the
    edge's own last batch: `buffer.recovered_writes_overwritten` at a start though no other edge had written.
    """

    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"first")
        await files.fsync(one, handle)
        await one.ask(sftp.Write, handle, 5, b"-second")
        fleet.kill_edge(0)
        await fleet.edge(0)
        await fleet.sleep(RECOVERY_TIME)
        return await two.get("/heredia/a")

    fleet, data = play(story)
    assert data == b"first-second"
    assert not any(row["event"] == "buffer.recovered_writes_overwritten" for row in fleet.logs)


def test_a_client_that_was_not_told_before_a_crash_is_told_after_it(play, discards, files):
    async def story(fleet):
        one = await fleet.client(0)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"discarded")
        await silence_nodes(fleet)
        await discarded(fleet, 1)
        answers = []
        for _ in range(2):
            await restart_after_fault(fleet)
            client = await fleet.client(0)
            handle = await files.open(client, "/heredia/a")
            answers += [await told(client, files, handle) for _ in range(2)]
            await client.ask(sftp.Write, handle, 20, b"new")
            await files.fsync(client, handle)
        return answers

    assert play(story)[1] == [True, False, False, False]


def test_a_client_that_was_told_is_not_told_again_after_a_later_crash(play, discards, files):
    async def story(fleet):
        one = await fleet.client(0)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"discarded")
        await silence_nodes(fleet)
        await discarded(fleet, 1)
        was_told = await told(one, files, handle)
        await fleet.sleep(2)
        await restart_after_fault(fleet)  # nothing else was written to the log since
        client = await fleet.client(0)
        return was_told, await told(client, files, await files.open(client, "/heredia/a"))

    assert play(story)[1] == (True, False)


def test_writes_above_a_file_that_others_overwrote_stay_discarded(play, files):
    """Recovery finds one file overwritten and discards what lies behind the next barrier; then it crashes."""

    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        below, above = [await files.open(one, f"/heredia/{name}") for name in ("below", "above")]
        await one.ask(sftp.Write, below, 0, b"below")
        barrier = await begin_barrier(fleet, files)
        await one.ask(sftp.Write, above, 0, b"above")
        fleet.kill_edge(0)
        await barrier
        handle = await files.open(two, "/heredia/below")
        await two.ask(sftp.Write, handle, 0, b"other")
        await two.ask(sftp.Close, handle)
        await fleet.edge(0)
        await discarded(fleet, 2)
        one = await fleet.client(0)
        handles = [await files.open(one, f"/heredia/{name}") for name in ("below", "above")]
        answers = [await told(one, files, handle) for handle in handles]
        fleet.kill_edge(0)  # before anything else is flushed, which would begin a new epoch of the log
        await two.ask(sftp.Remove, "/heredia/below")
        await fleet.edge(0)
        await fleet.sleep(RECOVERY_TIME)
        return answers, await two.get("/heredia/above")

    assert play(story)[1] == ([True, True], b"")


def test_writes_of_a_removed_file_are_logged_as_discarded(play, files):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"data")
        await two.ask(sftp.Remove, "/heredia/a")
        return await told(one, files, handle)

    fleet, was_told = play(story)
    assert was_told
    assert [row["reason"] for row in fleet.logs if row["event"] == "buffer.writes_discarded"] == [
        "/heredia/a: the file was removed"
    ]


@pytest.mark.parametrize("partial_append", [False, True])
@pytest.mark.parametrize("crash", [False, True])
def test_what_the_disk_does_not_record_as_discarded_is_not_discarded(
    play, discards, files, crash, partial_append
):
    """A client told of a loss that a crash undoes would be told wrong: the writes are kept and retried."""

    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"kept")
        await silence_nodes(fleet)
        disk = fleet.log_disks[0]
        disk.append_errno, disk.partial_append = errno.ENOSPC, partial_append
        await fleet.sleep(FAULT_TIME / 2)
        was_told = await told(one, files, handle)
        if crash:
            disk.append_errno = None
            await restart_after_fault(fleet)
        else:
            await fleet.sleep(FAULT_TIME + RECOVERY_TIME)
        return was_told, await two.get("/heredia/a")

    assert play(story)[1] == (False, b"kept")


class CrashingDisk(SimulatedSegments):
    """Kills the edge at one append, of which it takes a part."""

    def __init__(self, crash_at, taken, kill):
        super().__init__()
        self.appends_left, self.taken, self.kill = crash_at, taken, kill

    def append(self, name, data):
        self.appends_left -= 1
        if self.appends_left:
            super().append(name, data)
            return
        super().append(name, data[: int(len(data) * self.taken)])
        self.kill()
        raise asyncio.CancelledError


@pytest.mark.parametrize("taken", [0, 0.4, 0.8, 1])
@pytest.mark.parametrize("crash_at", range(1, 7))
def test_a_crash_at_any_record_undoes_nothing_that_a_client_was_told(play, discards, files, crash_at, taken):
    names = ("below", "other", "above")

    async def story(fleet):
        fleet.kill_edge(0)
        fleet.log_disks[0] = CrashingDisk(crash_at, taken, lambda: fleet.kill_edge(0))
        await fleet.edge(0)
        await fleet.sleep(RECOVERY_TIME)
        one, two = await fleet.client(0), await fleet.client(1)
        handles = {name: await files.open(one, f"/heredia/{name}") for name in names}
        acknowledged, lost = set(), set()
        barrier = None
        try:
            for name in names:
                if name == "above":
                    await silence_nodes(fleet)
                    barrier = await begin_barrier(fleet, files)
                await one.ask(sftp.Write, handles[name], 0, name.encode())
                acknowledged.add(name)
            await fleet.sleep(3)
            lost |= {name for name in names if await told(one, files, handles[name])}
            fleet.kill_edge(0)
        except ConnectionClosedError:
            pass
        if barrier is not None:
            answer = await barrier
            lost |= {name for name in names if name in answer}
        await fleet.sleep(FAULT_TIME + RECOVERY_TIME)
        fleet.log_disks[0].appends_left = 0  # no further crash
        await fleet.edge(0)
        await fleet.sleep(RECOVERY_TIME)
        one = await fleet.client(0)
        for name in names:
            handle = await files.open(one, f"/heredia/{name}")
            if await told(one, files, handle):
                lost.add(name)
        return acknowledged, lost, {name: await two.get(f"/heredia/{name}") for name in names}

    _, (acknowledged, lost, contents) = play(story)
    assert all(contents[name] == b"" for name in lost)
    assert all(contents[name] == name.encode() for name in acknowledged - lost)
