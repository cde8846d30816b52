"""After a crash, writes are discarded only where another edge wrote later, and the next barrier is told.

A client's write through one edge came after another client's flush through a second edge, in other bytes of
the same file.  The first edge was killed; its restart took the earlier write for a later one, discarded all
of the file's writes, and a barrier of a new session succeeded.
"""

import pytest
import structlog

from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.disk import SimulatedSegments
from rushmux.buffer.overwritten_runs import judge_runs
from rushmux.buffer.recovery import recover
from rushmux.buffer.row_cache import NO_BLOCK, BlockRow, FileRows, StoredRun
from rushmux.buffer.write_ahead_log import WriteAheadLog
from rushmux.files import layout
from rushmux.files.layout import UNKNOWN_VERSION, Extent, FileKind, FileRow
from rushmux.sftp import packets as sftp
from rushmux.standins.client import StatusError

FOLDER, PATH = "heredia", "/heredia/manifest"
LOSS_MESSAGE = "written before and lost"
SIZE, PART = 4_096, 512
FIRST_AT, SECOND_AT, THIRD_AT = 0, 2_048, 3_072
EMPTY = b"-" * SIZE
LOGGER = structlog.get_logger()


def with_parts(*parts, size=SIZE):
    """The file's bytes with parts (offset, data) written over them."""
    data = bytearray(EMPTY[:size])
    for start, part in parts:
        data[start : start + len(part)] = part
    return bytes(data)


async def restart(fleet):
    fleet.kill_edge(0)
    await fleet.sleep(1.5)
    await fleet.start_edge(0)


async def set_barrier(fleet, files):
    """Sets a barrier in a new session; returns whether it tells of a loss."""
    try:
        await files.set_barrier(await fleet.client(0), f"/{FOLDER}")
    except StatusError as error:
        if LOSS_MESSAGE not in str(error):
            raise
        return True
    return False


async def write_and_flush(client, files, start, data, flags=sftp.WRITE):
    handle = await client.open(PATH, flags)
    await client.ask(sftp.Write, handle, start, data)
    await files.fsync(client, handle)


@pytest.fixture
def run_case(run_fleet, files):
    """Runs a case with a client of each edge and a handle of the first that is open from the start.

    `change` is what happens before the kill.  Returns which of two barriers after the restart told of a loss,
    and the file's bytes then, or None if there is no file.
    """

    def run(change, owner=0):
        async def steps(fleet):
            clients = one, two = await fleet.client(0), await fleet.client(1)
            await clients[owner].put(PATH, EMPTY)
            handle = await one.open(PATH, sftp.READ | sftp.WRITE)
            await change(one, two, handle)
            await restart(fleet)
            told = [await set_barrier(fleet, files) for _ in range(2)]
            try:
                return told, await (await fleet.client(1)).get(PATH)
            except StatusError:
                return told, None

        return run_fleet(steps)[1]

    return run


@pytest.mark.parametrize("owner", [0, 1], ids=["written by this edge", "written by the other edge"])
def test_a_write_to_other_bytes_than_another_edges_is_kept(run_case, files, owner):
    async def change(one, two, handle):
        await write_and_flush(two, files, SECOND_AT, b"B" * PART)
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)

    expected = with_parts((FIRST_AT, b"A" * PART), (SECOND_AT, b"B" * PART))
    assert run_case(change, owner) == ([False, False], expected)


def test_a_write_to_the_same_bytes_is_told_as_lost_and_the_others_are_kept(run_case, files):
    async def change(one, two, handle):
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await one.ask(sftp.Write, handle, SECOND_AT, b"A" * PART)
        await write_and_flush(two, files, SECOND_AT, b"B" * PART)

    expected = with_parts((FIRST_AT, b"A" * PART), (SECOND_AT, b"B" * PART))
    assert run_case(change) == ([True, False], expected)


def test_a_write_in_two_blocks_is_lost_whole(run_fleet, files):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        block_size = fleet.edges[0].program.deployment.files.object_bytes
        await one.put(PATH, b"-" * (block_size + PART))
        handle = await one.open(PATH, sftp.WRITE)
        await one.ask(sftp.Write, handle, block_size - PART, b"A" * 2 * PART)
        await write_and_flush(two, files, block_size, b"B")
        await restart(fleet)
        told = await set_barrier(fleet, files)
        return told, (await (await fleet.client(1)).get(PATH))[block_size - PART :]

    assert run_fleet(steps)[1] == (True, b"-" * PART + b"B" + b"-" * (PART - 1))


def test_a_write_after_the_other_edges_was_read_is_kept(run_case, files):
    """Only the first of a handle's writes has the old base."""

    async def change(one, two, handle):
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await write_and_flush(two, files, SECOND_AT, b"B" * PART)
        await write_and_flush(two, files, THIRD_AT, b"B" * PART)
        reader = await one.open(PATH, sftp.READ | sftp.WRITE)
        await one.ask(sftp.Write, reader, SECOND_AT, b"C" * PART)

    expected = with_parts((FIRST_AT, b"A" * PART), (SECOND_AT, b"C" * PART), (THIRD_AT, b"B" * PART))
    assert run_case(change) == ([False, False], expected)


def test_two_handles_writes_are_judged_one_by_one(run_case, files):
    async def change(one, two, handle):
        other_handle = await one.open(PATH, sftp.WRITE)
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await one.ask(sftp.Write, other_handle, THIRD_AT, b"C" * PART)
        await write_and_flush(two, files, FIRST_AT, b"B" * PART)

    expected = with_parts((FIRST_AT, b"B" * PART), (THIRD_AT, b"C" * PART))
    assert run_case(change) == ([True, False], expected)


def test_a_write_beside_another_edges_append_is_kept(run_case, files):
    async def change(one, two, handle):
        await write_and_flush(two, files, 0, b"B" * PART, sftp.WRITE | sftp.APPEND)
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)

    expected = with_parts((FIRST_AT, b"A" * PART)) + b"B" * PART
    assert run_case(change) == ([False, False], expected)


def test_a_write_to_bytes_that_another_edge_cut_is_told_as_lost(run_case):
    async def change(one, two, handle):
        await one.ask(sftp.Write, handle, SECOND_AT, b"A" * PART)
        await two.ask(sftp.SetStat, PATH, sftp.Attributes(size=PART))
        await two.ask(sftp.SetStat, PATH, sftp.Attributes(size=SIZE))

    assert run_case(change) == ([True, False], EMPTY[:PART] + b"\0" * (SIZE - PART))


def test_a_write_to_a_file_that_another_edge_emptied_is_told_as_lost(run_case, files):
    async def change(one, two, handle):
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await write_and_flush(two, files, FIRST_AT, b"B", sftp.WRITE | sftp.TRUNCATE)

    assert run_case(change) == ([True, False], b"B")


def test_a_write_to_a_renamed_file_is_kept(run_case, files):
    async def change(one, two, handle):
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await two.ask(sftp.Rename, PATH, f"{PATH}.old")
        await two.ask(sftp.Rename, f"{PATH}.old", PATH)

    assert run_case(change) == ([False, False], with_parts((FIRST_AT, b"A" * PART)))


@pytest.mark.parametrize("replacement", [None, b"new"], ids=["removed", "replaced under its name"])
def test_a_write_to_a_removed_file_is_told_as_lost(run_case, replacement):
    async def change(one, two, handle):
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await two.ask(sftp.Remove, PATH)
        if replacement is not None:
            await two.put(PATH, replacement)

    assert run_case(change) == ([True, False], replacement)


def test_a_change_of_attributes_by_another_edge_discards_nothing(run_case):
    async def change(one, two, handle):
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await two.ask(sftp.SetStat, PATH, sftp.Attributes(mode=0o600))

    assert run_case(change) == ([False, False], with_parts((FIRST_AT, b"A" * PART)))


def test_a_barrier_is_told_of_a_loss_also_after_a_second_crash(run_fleet, files):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        await one.put(PATH, EMPTY)
        handle = await one.open(PATH, sftp.WRITE)
        await one.ask(sftp.Write, handle, FIRST_AT, b"A" * PART)
        await write_and_flush(two, files, FIRST_AT, b"B" * PART)
        for _ in range(2):
            await restart(fleet)
            await fleet.sleep(5)  # the recovered writes are flushed or discarded
        return await set_barrier(fleet, files), await set_barrier(fleet, files)

    assert run_fleet(steps)[1] == (True, False)


# The rule by itself.

BASE = 10
STAMP = "edge0.a1.7"


def judged(blocks, version=BASE + 4, stamps=(), runs=None, **fields):
    """The numbers of the blocks whose runs are lost, of writes at offset 100 to 200 of each block."""
    file = BufferedFile(FOLDER, "id", PATH)
    file.bases.add(1, BASE)
    file.stamps.extend(stamps)
    row = FileRow(FileKind.FILE, 0o644, **{"cut_over": 0, **fields})
    rows = FileRows(version, row, {number: BlockRow(1, extents) for number, extents in blocks.items()})
    if runs is None:
        runs = [run(number, number + 1) for number in blocks]
    return [lost.number for lost in judge_runs(file, rows, runs).lost]


def run(number, *sequences):
    return StoredRun(number, Extent(100, 100, f"new{number}", 0, 0), frozenset(sequences))


def extent(committed_over, name="edge1.b2.3", start=150):
    return Extent(start, 100, name, 0, 0, committed_over)


@pytest.mark.parametrize(
    "extents, stamps, fields, lost",
    [
        ([], (), {}, []),
        ([extent(BASE - 1)], (), {}, []),
        ([extent(BASE)], (), {}, [0]),
        ([extent(BASE + 3)], (), {}, [0]),
        ([extent(BASE, start=200), extent(BASE, start=0)], (), {}, []),
        ([extent(UNKNOWN_VERSION)], (), {}, [0]),
        ([extent(UNKNOWN_VERSION)], (), {"version": BASE}, []),
        ([extent(UNKNOWN_VERSION)], (STAMP,), {"batch_stamp": STAMP}, []),
        ([extent(BASE)], (STAMP,), {"batch_stamp": STAMP}, [0]),
        ([extent(BASE, "edge0.a1.6")], (STAMP,), {}, []),
        ([extent(BASE, "edge0.a1.8")], (STAMP,), {}, [0]),
        ([extent(BASE, "edge0.a0.6")], (STAMP,), {}, [0]),
        ([], (), {"cut_over": BASE}, [0]),
        ([], (), {"cut_over": UNKNOWN_VERSION}, [0]),
        ([], (STAMP,), {"cut_over": UNKNOWN_VERSION, "batch_stamp": STAMP}, []),
    ],
    ids=[
        "hole",
        "older than the base",
        "change of the base",
        "later change",
        "other bytes",
        "unknown version",
        "unknown version, unchanged file",
        "unknown version, own batch last",
        "other edge before the own batch",
        "own batch, others wrote elsewhere",
        "own write after the last batch",
        "own write of another run",
        "cut since",
        "cut at an unknown time",
        "cut at an unknown time, own batch last",
    ],
)
def test_a_run_is_lost_where_another_edge_may_have_written_later(extents, stamps, fields, lost):
    assert judged({0: extents}, stamps=stamps, **fields) == lost


def test_runs_that_share_a_write_are_lost_together():
    blocks = {0: [extent(BASE)], 1: [], 2: [], 3: []}
    runs = [run(0, 1), run(1, 1, 2), run(2, 2), run(3, 3)]
    assert judged(blocks, runs=runs) == [0, 1, 2]


def test_a_block_without_a_row_is_not_overwritten():
    file = BufferedFile(FOLDER, "id", PATH)
    file.bases.add(1, BASE)
    rows = FileRows(BASE + 1, FileRow(FileKind.FILE, 0o644, cut_over=0), {0: NO_BLOCK})
    assert judge_runs(file, rows, [run(0, 1)]).lost == []


# Bases in the log.


def test_each_writes_base_survives_a_rewrite_of_the_log_and_a_restart():
    disk, versions = SimulatedSegments(), [3, 3, 8, 9]
    writes = BufferedWrites(lambda folder: 1.0)
    wal = WriteAheadLog(writes, disk, 1 << 30, LOGGER)
    file = writes.file(FOLDER, "id", PATH)
    for number, version in enumerate(versions):
        sequence = writes.add(file, number * PART, b"A" * PART, 0.0)
        file.bases.add(sequence, version)
    wal.begin_epoch()
    for _ in range(2):
        writes = BufferedWrites(lambda folder: 1.0)
        recover(WriteAheadLog(writes, disk, 1 << 30, LOGGER), writes, [FOLDER], 0.0, LOGGER)
        found = writes.find_file(FOLDER, "id")
        assert [found.bases.of(number + 1) for number in range(len(versions))] == versions


def test_rows_of_earlier_versions_are_written_again_byte_for_byte():
    block = b'[[0,5,"edge0.a1.1",1,0]]'
    row = b'["f",420,5,1764000000,1764000000,0,0,"edge0.a1.2",262144,""]'
    assert layout.pack_block(layout.unpack_block(block)) == block
    assert layout.pack_file(layout.unpack_file(row)) == row
