"""A write that was answered as shed has no effect, also where another request committed it.

A node hung while one change of rows made the writes of several requests visible.  The request that had sent
the change was answered as terminated; the others tried again, their look-ups were shed, and so were they,
although the change had been done.
"""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest

from rushmux.edge.errors import (
    OperationFailedError,
    OperationShedError,
    RequestRejectedError,
)
from rushmux.edge.file_system import FileSystem
from rushmux.edge.file_view import FileView
from rushmux.edge.group_commit import MAX_BATCH, GroupCommit
from rushmux.edge.operation_runner import OperationRunner, StoredObject
from rushmux.files import layout, paths
from rushmux.files.layout import FileKind, FileRow
from rushmux.nodewire import messages
from rushmux.sftp import packets as sftp
from rushmux.simulation.loop import run
from rushmux.standins.client import StatusError

PATH, FOLDER = "/limon/manifest", "limon"
NODES, SIZE, WRITES = 4, 64, 12
BLOCK_SIZE = 262_144
FILE_ID, FILE_KEY = "id", layout.file_key("id")
SHED, TERMINATED, DONE = "shed", "terminated", "done"


class Node:
    """The rows of one file, and what becomes of the next changes and look-ups.

    Attributes:
        faults: For the next changes: "lost" (done, but the answer is lost), "ignored" (not done, and no
            answer), "shed" or "conflict" (another edge changes the file first).  Without one, it is done.
        sheds_reads: Whether look-ups are shed.
        on_change: Called at each change.
    """

    def __init__(self):
        self.rows, self.version = {}, 0
        self.faults, self.sheds_reads, self.change_count = [], False, 0
        self.on_change = lambda: None
        self.put_file()

    def put(self, key, value):
        self.version += 1
        self.rows[key] = value, self.version
        return messages.Row(key=key, version=self.version)

    def put_file(self):
        file = FileRow(FileKind.FILE, 0o644, data_id="data", block_size=BLOCK_SIZE)
        self.put(FILE_KEY, layout.pack_file(file))

    def overwrite(self):
        """Another edge overwrites the file's first block."""
        self.put_file()
        extent = layout.Extent(0, BLOCK_SIZE, "other", 0, 0)
        self.put(layout.block_key("data", 0), layout.pack_block([extent]))

    def visible_objects(self):
        value, _ = self.rows.get(layout.block_key("data", 0), (b"[]", 0))
        return {extent.object_name for extent in layout.unpack_block(value)}

    def change(self, change):
        self.change_count += 1
        self.on_change()
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "shed":
            raise OperationShedError
        if fault == "conflict":
            self.put_file()
        if fault != "ignored":
            rows = self._apply(change)
        if fault in ("lost", "ignored"):
            raise OperationFailedError
        return rows

    def _apply(self, change):
        for check in change.checks:
            if self.rows.get(check.key, (b"", 0))[1] != check.version:
                return None
        return [self.put(key, value) for key, value in change.puts]


class Runner:
    """Runs the operations of a request on `Node`."""

    def __init__(self, node):
        self.node = node

    def for_others(self):
        return self

    async def back_off(self, attempt):
        pass

    async def write_object(self, data):
        return StoredObject(data.decode(), 0)

    async def read_rows(self, key, keys):
        await asyncio.sleep(0)
        if self.node.sheds_reads:
            raise OperationShedError
        found = [(key, *self.node.rows[key]) for key in keys if key in self.node.rows]
        return messages.Outcome(rows=[messages.Row(key=key, value=v, version=n) for key, v, n in found])

    async def change_rows(self, key, change):
        await asyncio.sleep(0.01)  # further writes arrive
        return self.node.change(change)


class Commits:
    """Writes through one handle to a node."""

    def __init__(self, loop):
        self.loop, self.node = loop, Node()
        settings = SimpleNamespace(max_row_age=1.0, max_extents=1_000)
        names = iter(range(1_000))
        file_system = FileSystem(settings, lambda: f"x{next(names)}", lambda: 0, lambda folder: None, False)
        view = FileView(FILE_ID, layout.unpack_file(self.node.rows[FILE_KEY][0]), self.node.version)
        self.group = GroupCommit(view, file_system, FOLDER)

    def start(self, count, first=0):
        """Starts writes; the first one sends a change by itself, and the others wait for its end."""
        return [
            self.loop.create_task(self.answer(f"object{number}", number))
            for number in range(first, first + count)
        ]

    async def answer(self, name, number):
        try:
            await self.group.write(Runner(self.node), number * SIZE, name.encode())
        except OperationShedError:
            return SHED
        except OperationFailedError:
            return TERMINATED
        except RequestRejectedError as error:
            return str(error)
        return DONE


@pytest.fixture
def run_commits():
    """Runs `steps(commits)` on a virtual clock and returns their result."""

    def run_steps(steps):
        async def run_all(loop):
            return await steps(Commits(loop))

        return run(run_all)

    return run_steps


def lose_answers(node, fault, then):
    """Loses the answer of the second change, which has several writes, and calls `then` at that moment."""

    def on_change():
        if node.change_count == 2:
            then()

    node.faults, node.on_change = ["", fault], on_change


@pytest.mark.parametrize("fault", ["lost", "ignored"])
def test_writes_of_a_change_with_unknown_outcome_are_not_shed(run_commits, fault):
    async def steps(commits):
        node = commits.node
        lose_answers(node, fault, lambda: setattr(node, "sheds_reads", True))
        return await asyncio.gather(*commits.start(WRITES))

    assert run_commits(steps) == [DONE] + [TERMINATED] * (WRITES - 1)


def test_writes_that_are_found_in_the_rows_succeed_without_another_change(run_commits):
    async def steps(commits):
        lose_answers(commits.node, "lost", lambda: None)
        return Counter(await asyncio.gather(*commits.start(WRITES))), commits.node.change_count

    assert run_commits(steps) == ({DONE: WRITES - 1, TERMINATED: 1}, 2)


def test_writes_that_were_not_done_are_committed_again(run_commits):
    async def steps(commits):
        lose_answers(commits.node, "ignored", lambda: None)
        answers = Counter(await asyncio.gather(*commits.start(WRITES)))
        return answers, commits.node.change_count, len(commits.node.visible_objects())

    # The write that was answered as terminated is left out.
    assert run_commits(steps) == ({DONE: WRITES - 1, TERMINATED: 1}, 3, WRITES - 1)


def test_writes_that_another_edge_may_have_overwritten_are_not_committed_again(run_commits):
    async def steps(commits):
        node = commits.node
        lose_answers(node, "lost", lambda: commits.loop.call_soon(node.overwrite))
        return await asyncio.gather(*commits.start(WRITES)), node.visible_objects()

    assert run_commits(steps) == ([DONE] + [TERMINATED] * (WRITES - 1), {"other"})


@pytest.mark.parametrize("fault", ["shed", "conflict"])
def test_writes_of_a_change_that_was_not_done_are_shed(run_commits, fault):
    async def steps(commits):
        node = commits.node
        lose_answers(node, fault, lambda: setattr(node, "sheds_reads", True))
        node.faults += ["shed"] * WRITES
        return await asyncio.gather(*commits.start(WRITES)), node.visible_objects()

    assert run_commits(steps) == ([DONE] + [SHED] * (WRITES - 1), {"object0"})


def test_an_unknown_outcome_stays_unknown_after_a_later_conflict(run_commits):
    async def steps(commits):
        node = commits.node
        lose_answers(node, "ignored", lambda: None)
        node.faults += ["conflict"]
        return Counter(await asyncio.gather(*commits.start(WRITES)))

    assert run_commits(steps) == {DONE: 1, TERMINATED: WRITES - 1}


def test_only_the_writes_of_the_change_are_terminated(run_commits):
    async def steps(commits):
        node = commits.node
        lose_answers(node, "lost", lambda: setattr(node, "sheds_reads", True))
        return Counter(await asyncio.gather(*commits.start(1 + MAX_BATCH + 3)))

    assert run_commits(steps) == {DONE: 1, TERMINATED: MAX_BATCH, SHED: 3}


def test_a_cancelled_writer_leaves_the_outcome_of_its_change_unknown(run_commits):
    async def steps(commits):
        node = commits.node
        tasks = commits.start(WRITES)
        await tasks[0]
        await asyncio.sleep(0.005)  # the next one has sent a change with all others
        node.sheds_reads = True
        tasks[1].cancel()
        return [await task for task in tasks if not task.cancelled() and task is not tasks[1]]

    assert run_commits(steps) == [DONE] + [TERMINATED] * (WRITES - 2)


def test_a_removal_after_an_unknown_outcome_promises_nothing(run_commits):
    async def steps(commits):
        lose_answers(commits.node, "ignored", lambda: commits.loop.call_soon(commits.node.rows.clear))
        return await asyncio.gather(*commits.start(WRITES))

    assert run_commits(steps) == [DONE] + [TERMINATED] * (WRITES - 1)


# Whole requests on a fleet.


async def answer_of(request):
    try:
        await request
    except StatusError as error:
        return error.status.message.split(":")[0]
    return DONE


def test_no_write_that_a_silent_node_leaves_unanswered_is_shed_and_done(run_checked_fleet):
    async def steps(fleet):
        client = await fleet.client(0)
        handle = await client.open(PATH, sftp.WRITE | sftp.CREATE)
        await client.ask(sftp.Write, handle, 0, bytes(WRITES * SIZE))
        writes = [
            asyncio.ensure_future(answer_of(client.ask(sftp.Write, handle, number * SIZE, b"A" * SIZE)))
            for number in range(WRITES)
        ]
        await asyncio.wait(writes, return_when=asyncio.FIRST_COMPLETED)
        await fleet.inject_fault(f"node{paths.home_cell(FOLDER, NODES)}", "silent", seconds=6)
        answers = await asyncio.gather(*writes)
        await fleet.sleep(8)
        found = await (await fleet.client(1)).get(PATH)
        return [(text, found[number * SIZE :][:SIZE] == b"A" * SIZE) for number, text in enumerate(answers)]

    _, answers = run_checked_fleet(steps, nodes=NODES, unit=0.004)
    assert (TERMINATED, True) in answers
    assert (SHED, True) not in answers


def test_a_truncation_that_was_done_in_part_is_not_shed(run_fleet, monkeypatch):
    """A long file is cut in steps; the second one is shed."""

    async def steps(fleet):
        client = await fleet.client(0)
        await client.put(PATH, b"data")
        await client.ask(sftp.SetStat, PATH, sftp.Attributes(size=600 * BLOCK_SIZE))
        run_operation, changes = OperationRunner._run, []

        async def shed_second_change(runner, role, *arguments):
            changes.append(role == "change")
            if sum(changes) == 2:
                raise OperationShedError
            return await run_operation(runner, role, *arguments)

        monkeypatch.setattr(OperationRunner, "_run", shed_second_change)
        answer = await answer_of(client.ask(sftp.SetStat, PATH, sftp.Attributes(size=0)))
        monkeypatch.undo()
        return answer, (await client.ask(sftp.Stat, PATH)).attributes.size < 600 * BLOCK_SIZE

    assert run_fleet(steps, nodes=NODES, unit=0.004)[1] == (TERMINATED, True)
