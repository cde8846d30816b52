"""The troubles that the gateway is for, each played on the virtual clock and judged by the checker."""

import asyncio

import pytest

from rushmux.files.paths import home_cell
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.deployment import build
from rushmux.sftp import packets as sftp
from rushmux.standins import report, scenario, script
from rushmux.standins.client import ConnectionClosedError, StatusError


async def outcome(call):
    """What came of a request: ok, or the first word of its refusal."""
    try:
        await call
        return "ok"
    except StatusError as refusal:
        return refusal.status.message.split(":")[0]
    except ConnectionClosedError:
        return "gone"


def test_a_node_takes_operations_and_never_answers(judged):
    async def story(fleet):
        one = await fleet.client(0)
        await fleet.inject_fault("node1", "silent", seconds=8)
        results = []

        async def write(number):
            results.append(await outcome(one.put(f"/heredia/{number}", b"x" * 5_000)))

        tasks = []
        for number in range(60):
            tasks.append(asyncio.ensure_future(write(number)))
            await fleet.sleep(0.1)
        await asyncio.gather(*tasks)
        return results

    fleet, results = judged(story)
    assert len(results) == 60 and home_cell("heredia", 4) != 1
    assert results.count("ok") > 50  # names lie elsewhere, and data is written elsewhere
    assert any(row["kind"] == "execution" and row["node"] == "node1" for row in fleet.records)


def test_the_same_read_twice_while_the_first_is_out(judged):
    async def story(fleet):
        one = await fleet.client(0)
        await one.put("/heredia/a", b"twice" * 100)
        handle = await one.open("/heredia/a", sftp.READ)
        for name in fleet.nodes:
            await fleet.inject_fault(name, "slow", 10, 5)
        replies = await asyncio.gather(*(one.ask(sftp.Read, handle, 0, 500) for _ in range(2)))
        return [reply.data for reply in replies]

    assert judged(story, unit=0.01)[1] == [b"twice" * 100] * 2


def test_an_edge_is_killed_with_operations_out_and_comes_back_empty(judged):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        await one.put("/heredia/a", b"before" * 1_000)
        tasks = [
            asyncio.ensure_future(outcome(one.put(f"/heredia/n{number}", b"y" * 60_000)))
            for number in range(20)
        ]
        await fleet.sleep(0.03)
        fleet.kill_edge(0)
        results = await asyncio.gather(*tasks)
        assert await two.get("/heredia/a") == b"before" * 1_000
        await fleet.edge(0)
        await fleet.sleep(2)
        again = await fleet.client(0)
        for number, result in enumerate(results):
            if result == "ok":
                assert await again.get(f"/heredia/n{number}") == b"y" * 60_000
        assert await again.get("/heredia/a") == b"before" * 1_000
        return results

    assert "gone" in judged(story)[1]


def test_half_of_the_nodes_restart_cold_at_once_under_load(judged):
    async def story(fleet):
        await scenario.play(
            fleet,
            script.parse("""
            length 20
            at 4 kill node0
            at 4 kill node1
            at 4 kill node2
            at 5 start node0
            at 5 start node1
            at 5 start node2"""),
            scenario.Load(part=1.5),
            7,
        )

    fleet, _ = judged(story, nodes=6, edges=3, unit=0.02)
    starts = [row for row in fleet.records if row["kind"] == "start" and row["cold"]]
    assert len(starts) == 3
    for start in starts:  # they were used while cold
        assert any(
            row["kind"] == "outcome" and row["node"] == start["node"] and row["at"] > start["at"]
            for row in fleet.records
        )


def test_a_drain_notice_comes_late(judged):
    async def story(fleet):
        await scenario.play(
            fleet,
            script.parse("""
            length 12
            at 0 trouble lists lag size 3 for 10
            at 2 trouble node1 drain"""),
            scenario.Load(),
            7,
        )

    fleet, _ = judged(story, nodes=3, edges=2, lag=0.5)
    told = [row for row in fleet.records if row["kind"] == "told" and ["node1", "draining"] in row["nodes"]]
    assert len(told) == 2 and all(row["at"] > 5 for row in told)
    sends = [row["at"] for row in fleet.records if row["kind"] == "execution" and row["node"] == "node1"]
    assert any(at > 3 for at in sends) and max(sends) <= max(row["at"] for row in told) + 1.0


def test_a_surge_of_one_folder_leaves_the_others_their_reserves(judged, raw):
    async def story(fleet):
        await scenario.play(
            fleet, script.parse("length 15\nat 3 surge caribe times 25 for 10"), scenario.Load(part=0.6), 9
        )

    fleet, _ = judged(story, nodes=4, edges=3, unit=0.02)
    alone = {name: {"asked": 0, "in time": 0} for name in ("caribe", "others")}
    service = report.Service(fleet.all_records(), build(raw))
    asks = {
        (row["session"], row["number"]): row
        for row in fleet.records
        if row["kind"] == "ask" and "folder" in row
    }
    for row in fleet.records:
        ask = row["kind"] == "answer" and asks.get((row["session"], row["number"]))
        if ask:
            count = alone["caribe" if ask["folder"] == "caribe" else "others"]
            count["asked"] += 1
            count["in time"] += service.kind(row) == "succeeded" and row["at"] - ask[
                "at"
            ] <= service.objectives.get(ask["what"], 0.4)
    shares = {name: count["in time"] / count["asked"] for name, count in alone.items()}
    assert shares["others"] > 0.97 and shares["caribe"] < 0.9


def test_all_nodes_of_one_cell_are_gone(judged):
    async def story(fleet):
        clients = {name: await fleet.client(0) for name in fleet.deployment.folders}
        for name, client in clients.items():
            await client.put(f"/{name}/a", b"kept")
        fleet.kill_node("node2")
        await fleet.sleep(3)
        begun = fleet.loop.time()
        results = await asyncio.gather(
            *(outcome(client.put(f"/{name}/b", b"new")) for name, client in clients.items())
        )
        return dict(zip(clients, results, strict=True)), fleet.loop.time() - begun

    _, (results, took) = judged(story)
    for name, result in results.items():
        assert result == ("shed" if home_cell(name, 4) == 2 else "ok"), name
    assert "shed" in results.values() and took < 7


def test_a_disk_is_full(judged):
    async def story(fleet):
        one, full = await fleet.client(0), "node1"
        await one.put("/heredia/a", b"small")
        await fleet.inject_fault(full, "disk", seconds=6)
        results = [await outcome(one.put(f"/heredia/f{number}", b"z" * 30_000)) for number in range(20)]
        await fleet.sleep(6)
        assert await outcome(one.put("/heredia/late", b"z")) == "ok"
        return results

    fleet, results = judged(story)
    assert home_cell("heredia", 4) != 1, "the names lie on another node"
    assert results.count("ok") >= 18
    assert any(row["kind"] == "outcome" and row["code"] == 1 for row in fleet.records)


def test_a_write_held_for_lost_that_runs_late_undoes_nothing(judged):
    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        await one.put("/heredia/a", b"old")
        handles = [await client.open("/heredia/a", sftp.WRITE) for client in (one, two)]
        # What reaches the names' node now is held there, and runs when the trouble ends.
        await fleet.inject_fault(f"node{home_cell('heredia', 4)}", "stuck", seconds=5)
        first = asyncio.ensure_future(outcome(one.ask(sftp.Write, handles[0], 0, b"lost")))
        await fleet.sleep(4.9)
        assert await first != "ok"
        second = outcome(two.ask(sftp.Write, handles[1], 0, b"kept"))
        assert await second == "ok"
        await fleet.sleep(5)
        return await one.get("/heredia/a")

    assert judged(story)[1] == b"kept"


class Faulty(Scheduler):
    """The module with a fault in it: some operations make it raise."""

    def on_operation(self, now, request):
        if request.request_class == "archivo-nuevo":
            raise RuntimeError("a fault of the module")
        super().on_operation(now, request)


def test_a_fault_in_the_module_costs_its_operation_only(play):
    async def story(fleet):
        one = await fleet.client(0)
        result = await outcome(one.put("/limon/a", b"x"))
        return result, await one.names("/limon")

    fleet, result = play(story, decisions=Faulty)
    assert result == ("terminated", ["a"])
    assert any(row["event"] == "scheduler.fault" and "RuntimeError" in row["exception"] for row in fleet.logs)


class Mute(Scheduler):
    """A module that forgets operations."""

    def on_operation(self, now, request):
        pass


def test_an_operation_that_the_module_forgets_is_answered_before_its_hard_stop(play):
    async def story(fleet):
        one, begun = await fleet.client(0), fleet.loop.time()
        return await outcome(one.ask(sftp.Stat, "/limon/a")), fleet.loop.time() - begun

    fleet, (result, took) = play(story, decisions=Mute)
    assert result == "terminated" and took < 2.1
    assert any(row["event"] == "scheduler.overrun" for row in fleet.logs)


def test_an_edge_that_is_told_to_end_answers_what_it_holds_and_takes_nothing_new(judged):
    async def story(fleet):
        one = await fleet.client(0)
        for name in fleet.nodes:
            await fleet.inject_fault(name, "slow", 5, 3)
        tasks = [asyncio.ensure_future(outcome(one.put(f"/heredia/n{number}", b"y"))) for number in range(10)]
        await fleet.sleep(0.02)
        part = fleet.edges[0]
        closing = part.process.spawn(part.program.close())
        await fleet.sleep(0.01)
        late = await outcome(one.ask(sftp.Stat, "/heredia/a"))
        begun = fleet.loop.time()
        await closing
        return late, await asyncio.gather(*tasks), fleet.loop.time() - begun

    _, (late, results, took) = judged(story)
    assert late == "shed" and "gone" not in results and took < 7


def test_an_operation_ends_when_its_client_leaves(judged):
    async def story(fleet):
        one = await fleet.client(0)
        for name in fleet.nodes:
            await fleet.inject_fault(name, "silent", seconds=5)
        request = asyncio.ensure_future(outcome(one.ask(sftp.Stat, "/heredia/a")))
        await fleet.sleep(0.05)
        driver = fleet.edges[0].program.driver
        held = len(driver.operations)
        await one.close()
        await fleet.sleep(0.1)
        ended = sum(taken.ended for taken in driver.operations.values())
        await fleet.sleep(4)
        assert request.done()
        return held, ended, len(driver.operations)

    _, (held, ended, left) = judged(story)
    assert held == ended == 1 and left == 0


def test_the_same_seed_plays_the_same_day(play):
    async def story(fleet):
        await scenario.play(fleet, script.load("short"), scenario.Load(part=0.5), 3)

    one, two = (play(story, nodes=4, edges=2)[0].all_records() for _ in range(2))
    assert one == two and len(one) > 3_000


def test_the_bad_day(judged, raw):
    async def story(fleet):
        await scenario.play(fleet, script.load("bad"), scenario.Load(part=0.6), 5)

    fleet, _ = judged(story, nodes=6, edges=3, unit=0.02)
    service = report.Service(fleet.all_records(), build(raw))
    assert service.share() > 0.8


def test_the_module_hears_what_the_fleet_and_other_edges_served(play, raw):
    raw["fleet"]["meter_span_ms"] = 500
    heard = []

    class Hearing(Scheduler):
        def on_attempt_result(self, now, report):
            heard.append((now, report.fleet_usage, report.remote_usage))
            super().on_attempt_result(now, report)

    async def story(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        for number in range(20):
            await asyncio.gather(
                one.put(f"/golfo/a{number}", b"x" * 30_000), two.put(f"/golfo/b{number}", b"y")
            )
            await fleet.sleep(0.1)

    play(story, decisions=Hearing)
    assert heard[0][1] == 0  # no period had ended
    assert max(use for _, use, _ in heard) > 50 and any(others > 0 for _, _, others in heard)


def test_a_list_that_says_nothing_is_gone_by_until_it_speaks_again(judged):
    async def story(fleet):
        one = await fleet.client(0)
        await fleet.inject_fault("lists", "silent", seconds=4)
        fleet.kill_node(f"node{(home_cell('heredia', 4) + 1) % 4}")
        await fleet.sleep(0.5)
        results = [await outcome(one.put(f"/heredia/{number}", b"x")) for number in range(10)]
        before = len([row for row in fleet.records if row["kind"] == "told"])
        await fleet.sleep(5)
        return results, before, len([row for row in fleet.records if row["kind"] == "told"])

    _, (results, before, after) = judged(story)
    assert results.count("ok") >= 9 and before == 2 and after == 4


@pytest.mark.parametrize("window, all_read", [(12, True), (4_096, False)])
def test_a_client_that_reads_far_ahead_is_paced_and_not_shed(judged, raw, window, all_read):
    raw["sessions"].update(window=window, pipelined=256)

    async def story(fleet):
        one = await fleet.client(0)
        await one.put("/heredia/a", b"ahead" * 800_000)
        handle = await one.open("/heredia/a", sftp.READ)
        return await asyncio.gather(
            *(outcome(one.ask(sftp.Read, handle, at, 32_768)) for at in range(0, 4_000_000, 32_768))
        )

    results = judged(story, unit=0.01)[1]
    assert (set(results) == {"ok"}) is all_read


def test_answers_are_lost_while_nodes_tell_their_load_and_a_lane_keeps_order(raw, judged):
    raw["fleet"]["load"] = "probe"
    raw["lanes"]["archivo-nuevo"]["in_order"] = True

    async def story(fleet):
        one, tasks = await fleet.client(0), []
        for name in fleet.nodes:
            await fleet.inject_fault(name, "unanswered", 0.3, 6)
        for number in range(40):
            tasks.append(asyncio.ensure_future(outcome(one.put(f"/heredia/{number}", b"x" * 9_000))))
            await fleet.sleep(0.15)
        results = await asyncio.gather(*tasks)
        return results, [
            node.expected_service
            for part in fleet.edges.values()
            for node in part.program.driver.scheduler.endpoints.nodes.values()
        ]

    # By seed 20 to 30 of 40 get through, 26 in the mean of twelve seeds: one seed alone says little.
    days = [judged(story, seed=seed)[1] for seed in range(1, 5)]
    assert all(len(results) == 40 for results, _ in days)
    assert sum(results.count("ok") for results, _ in days) > 90
    assert all(any(told) for _, told in days)  # probes came through
