"""Flushes and barriers while nodes or edges have faults, on simulated fleets."""

import asyncio
from types import SimpleNamespace

import pytest

from rushmux.files.paths import home_cell
from rushmux.settings import deployment
from rushmux.sftp import packets as sftp
from rushmux.standins import scenario, script
from rushmux.standins.checker import Checker
from rushmux.standins.client import StatusError

HOME = home_cell("heredia", 4)


@pytest.mark.parametrize("kind", ["silent", "stuck", "disk", "errors"])
def test_a_flush_during_a_node_fault_is_answered_correctly(run_fleet, kind, files):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"careful" * 30_000)
        for node in (HOME, (HOME + 1) % 4):
            await fleet.inject_fault(f"node{node}", kind, 1.0, 6)
        started_at = fleet.loop.time()
        try:
            await files.fsync(one, handle)
            answer = "ok"
        except StatusError as error:
            answer = error.status.message.split(":")[0]
        elapsed = fleet.loop.time() - started_at
        if answer == "ok":
            fleet.kill_edge(0)
        else:
            await fleet.sleep(12)  # the flush goes on, and succeeds after the fault
        return answer, elapsed, await two.get("/heredia/a")

    _, (answer, elapsed, data) = run_fleet(steps)
    assert data == b"careful" * 30_000 and elapsed < 7 and answer in ("ok", "terminated")


def test_a_node_is_drained_and_replaced_during_a_flush(run_fleet, files):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        other = f"node{(HOME + 1) % 4}"
        for at in range(20):
            await one.ask(sftp.Write, handle, at * 300_000, b"p" * 1_000)
        await fleet.inject_fault(other, "drain")
        flushing = asyncio.ensure_future(files.fsync(one, handle))
        await fleet.sleep(0.01)
        await fleet.replace_node(other, "new")
        await flushing
        await fleet.sleep(4)  # until the endpoint list has the new node
        return [await reads_own_bytes(two, at) for at in range(20)]

    async def reads_own_bytes(client, at):
        handle = await client.open("/heredia/a", sftp.READ)
        try:
            return (await client.ask(sftp.Read, handle, at * 300_000, 1_000)).data == b"p" * 1_000
        except StatusError as error:
            return "not on its node" in error.status.message

    # The data of the replaced node is lost: reading it fails, and never returns wrong bytes.
    assert all(run_fleet(steps)[1])


def test_a_barrier_waits_for_a_silent_node_and_no_write_passes_it(run_fleet, files):
    async def steps(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        first, second = [await files.open(one, f"/heredia/{name}") for name in "ab"]
        await one.ask(sftp.Write, first, 0, b"before" * 40_000)
        await fleet.inject_fault(f"node{HOME}", "silent", seconds=3)
        waiting = asyncio.ensure_future(files.set_barrier(one, "/heredia"))
        await fleet.sleep(0.05)
        assert not waiting.done()
        try:
            await waiting
        except StatusError:
            await fleet.sleep(8)
        await one.ask(sftp.Write, second, 0, b"after")
        await files.fsync(one, second)
        return await far.get("/heredia/a"), await far.get("/heredia/b")

    assert run_fleet(steps)[1] == (b"before" * 40_000, b"after")


def test_a_flush_on_a_paused_edge_is_answered_after_the_pause(run_fleet, files):
    async def steps(fleet):
        one, far = await fleet.client(0), await fleet.client(1)
        handle = await files.open(one, "/heredia/a")
        await one.ask(sftp.Write, handle, 0, b"paused" * 10_000)
        flushing = asyncio.ensure_future(files.fsync(one, handle))
        await fleet.sleep(0.004)
        fleet.edges[0].process.pause(3)
        started_at = fleet.loop.time()
        await flushing
        return fleet.loop.time() - started_at, await far.get("/heredia/a")

    _, (elapsed, data) = run_fleet(steps)
    assert 2.9 < elapsed < 7 and data == b"paused" * 10_000


def test_a_day_of_faults_breaks_no_rule(run_fleet, raw):
    async def steps(fleet):
        await scenario.run_day(fleet, script.load("bad"), scenario.Load(nominal_share=0.4), 5)

    fleet, _ = run_fleet(steps, nodes=6, edges=3, unit=0.02)
    for verdict in Checker(fleet.all_records(), deployment.build(raw), 0.005).verdicts():
        assert not verdict.breaches, verdict


def requests_behind_a_flush(files, client, handle):
    """Returns requests of each kind that have to wait for a flush of the same file, not sent yet."""
    return {
        "close": client.ask(sftp.Close, handle),
        "flush": files.fsync(client, handle),
        "read": client.ask(sftp.Read, handle, 0, 100),
        "write": client.ask(sftp.Write, handle, 0, b"again"),
        "attributes": client.ask(sftp.FStat, handle),
        "remove": client.ask(sftp.Remove, "/heredia/a"),
    }


@pytest.mark.parametrize("kind", ["close", "flush", "read", "write", "attributes", "remove"])
def test_a_flush_is_answered_when_its_time_limit_ends_with_that_of_a_request_behind_it(
    run_fleet, kind, files
):
    """Guards against a flush that never gets its answer while its node is silent.

    A client sent a flush and a CLOSE in a row and its node was silent for 12 s: the CLOSE was answered after
    7 s, the flush never, and the edge logged InvalidStateError in RequestOrder.complete.
    """

    async def steps(fleet):
        client = await fleet.client(0)
        handle = await files.open(client, "/heredia/a")
        await client.ask(sftp.Write, handle, 0, b"declaration" * 100)
        for node in range(4):
            await fleet.inject_fault(f"node{node}", "silent", 1.0, 12)
        requests = requests_behind_a_flush(files, client, handle)
        behind = requests.pop(kind)
        for request in requests.values():
            request.close()
        # Both arrive in one read, so that their time limits are the same.
        writer, written = client.writer, []
        client.writer = SimpleNamespace(write=written.append)
        asked = [asyncio.ensure_future(files.fsync(client, handle)), asyncio.ensure_future(behind)]
        await asyncio.sleep(0)
        client.writer = writer
        writer.write(b"".join(written))
        patience = fleet.deployment.sessions.request_timeout
        _, unanswered = await asyncio.wait(asked, timeout=patience + 0.5)
        for request in asked:
            request.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        return len(unanswered)

    fleet, unanswered = run_fleet(steps)
    assert unanswered == 0
    assert not [row for row in fleet.logs if "fault" in row["event"]]
