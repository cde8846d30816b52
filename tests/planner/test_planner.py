"""A planner in a fleet on the virtual clock: edges work without it, and its state survives its crash."""

import asyncio
import copy
import json
import random
from pathlib import Path

import pytest

from benchmarks import planner_kills
from rushmux import log
from rushmux.edge.endpoint_cache import EndpointCache
from rushmux.edge.planner_client import PlannerClient
from rushmux.files.paths import home_cell
from rushmux.fleet.membership import LEASE_DURATION
from rushmux.nodewire import VERSION, messages
from rushmux.planner import admin_client
from rushmux.planner.errors import CommandRejectedError
from rushmux.planner.membership_store import MemberRow, MembershipStore
from rushmux.planner.planner import Planner
from rushmux.settings import deployment
from rushmux.simulation.loop import run
from rushmux.standins.checker import Checker
from rushmux.standins.client import ConnectionClosedError, StatusError
from rushmux.standins.fleet import run_fleet as run_virtual_fleet

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())
DEPLOYMENT = deployment.build(copy.deepcopy(EXAMPLE))


@pytest.fixture
def run_fleet(tmp_path):
    """Runs a scenario on a fleet with a planner, and checks the recorded history."""

    def run_scenario(scenario, seed=3, nodes=4, edges=2, **settings):
        fleet, result = run_virtual_fleet(
            DEPLOYMENT, seed, scenario, nodes, edges, planner=tmp_path / "planner.db", **settings
        )
        assert not Checker(fleet.all_records(), DEPLOYMENT, 0.005).breaches()
        return fleet, result

    return run_scenario


def published_states(fleet, node):
    """Returns the states of a node that edges were notified of, each with its time."""
    return [
        (row["at"], state)
        for row in fleet.records
        if row["kind"] == "told"
        for name, state in row["nodes"]
        if name == node
    ]


async def wait_until(fleet, condition, seconds=30.0):
    for _ in range(int(seconds / 0.05)):
        if condition():
            return
        await fleet.sleep(0.05)
    raise AssertionError("the condition did not become true in time")


def state_of(fleet, name):
    return fleet.endpoint_source.program.state.membership.members[name].state


def test_edges_are_notified_when_a_node_dies_and_when_it_is_back(run_fleet):
    async def scenario(fleet):
        await fleet.sleep(2)
        fleet.kill_node("node1")
        died = fleet.loop.time()
        await fleet.sleep(4)
        await fleet.start_node("node1", 1)
        await fleet.sleep(3)
        return died

    fleet, died = run_fleet(scenario)
    gone = [at for at, condition in published_states(fleet, "node1") if condition == "gone"]
    assert len(gone) == 2 and max(gone) - died < 2.0
    assert published_states(fleet, "node1")[-1][1] == "ready"


def test_an_edge_is_alive_as_long_as_its_connection(run_fleet):
    async def scenario(fleet):
        await fleet.sleep(2 * LEASE_DURATION)
        alive = state_of(fleet, "edge1")
        fleet.kill_edge(1)
        await fleet.sleep(3)
        return alive, state_of(fleet, "edge1"), state_of(fleet, "edge0")

    assert run_fleet(scenario)[1] == ("ready", "gone", "ready")


def test_a_draining_node_is_drained_when_nothing_is_in_flight(run_fleet):
    folder_elsewhere = next(name for name in DEPLOYMENT.folders if home_cell(name, 4) != 2)

    async def scenario(fleet):
        client = await fleet.client(0)
        await fleet.sleep(2)
        answer = await admin_client.send_fleet_command(fleet.endpoint_source.address, "drain", "node2")
        assert {row.member: row.condition for row in answer.members}["node2"] == "draining"
        for number in range(10):
            await client.put(f"/{folder_elsewhere}/{number}", b"x" * 40_000)
        await wait_until(fleet, lambda: state_of(fleet, "node2") == "drained")
        with pytest.raises(CommandRejectedError) as error:
            await admin_client.send_fleet_command(fleet.endpoint_source.address, "drain", "node9")
        await admin_client.send_fleet_command(fleet.endpoint_source.address, "undrain", "node2")
        await fleet.sleep(1)
        return str(error.value), "\n".join(
            admin_client.format_fleet(
                await admin_client.send_fleet_command(fleet.endpoint_source.address, "show")
            )
        )

    fleet, (error, text) = run_fleet(scenario)
    assert "no node 'node9'" in error and "node2" in text and "edge0" in text and "term 1" in text
    assert [condition for _, condition in published_states(fleet, "node2")][-1] == "ready"


def test_drains_and_sessions_survive_a_killed_planner(run_fleet):
    async def scenario(fleet):
        client, port = await fleet.client(0), fleet.endpoint_source.port
        await fleet.sleep(2)
        await admin_client.send_fleet_command(fleet.endpoint_source.address, "drain", "node3")
        await fleet.sleep(0.2)
        version = fleet.endpoint_source.program.publisher.version
        fleet.kill_planner()
        for number in range(20):
            await client.put(f"/limon/{number}", b"y" * 20_000)
            await fleet.sleep(0.3)
        await fleet.start_single_planner(4, port)
        await fleet.sleep(4)
        assert await client.get("/limon/7") == b"y" * 20_000
        assert (
            fleet.endpoint_source.program.store.term == 2
            and fleet.endpoint_source.program.publisher.version >= version
        )
        return state_of(fleet, "node3")

    fleet, drained = run_fleet(scenario)
    assert drained in ("draining", "drained")
    drain = min(at for at, condition in published_states(fleet, "node3") if condition == "draining")
    assert not any(condition == "ready" for at, condition in published_states(fleet, "node3") if at > drain)
    conditions = [
        condition for name in ("node0", "node1", "node2") for _, condition in published_states(fleet, name)
    ]
    assert "gone" not in conditions


@pytest.mark.parametrize("seed", range(6))
def test_a_planner_may_be_killed_at_any_moment_under_faults(seed):
    answers, succeeded, _, breaches = planner_kills.run_seed(seed)
    assert not breaches
    assert succeeded > 0.8 * answers


def test_a_full_disk_is_logged_and_edges_are_notified_nevertheless(run_fleet):
    async def scenario(fleet):
        await fleet.sleep(2)
        store = fleet.endpoint_source.program.store
        working_save, store.save = store.save, lambda *_: (_ for _ in ()).throw(OSError("no room"))
        fleet.kill_node("node1")
        await fleet.sleep(3)
        state = published_states(fleet, "node1")[-1][1]
        store.save = working_save
        await fleet.sleep(1)
        return state, fleet.endpoint_source.program.publisher.unsaved

    fleet, (state, unsaved) = run_fleet(scenario)
    assert state == "gone" and unsaved == {}
    assert any(row["event"] == "membership_store.write_failed" for row in fleet.logs)


def test_an_edge_starts_on_its_cached_list_without_a_planner(run_fleet, tmp_path):
    async def scenario(fleet):
        client = await fleet.client(0)
        await client.put("/limon/a", b"kept" * 100)
        await fleet.sleep(3)
        fleet.kill_planner()
        fleet.kill_edge(0)
        await fleet.start_edge(0)
        new_client = await fleet.client(0)
        read = await new_client.get("/limon/a")
        # A damaged file counts as none, and is logged.
        fleet.kill_edge(1)
        path = tmp_path / "edge1.list"
        path.write_bytes(path.read_bytes()[:-3] + b"???")
        await fleet.start_edge(1)
        client_without_list = await fleet.client(1)
        try:
            await client_without_list.get("/limon/a")
            return read, "served"
        except (StatusError, ConnectionClosedError) as error:
            return read, type(error).__name__

    fleet, (read, outcome_without_list) = run_fleet(scenario, endpoint_cache_folder=tmp_path)
    assert read == b"kept" * 100 and outcome_without_list == "StatusError"
    assert any(row["event"] == "endpoint_cache.loaded" for row in fleet.logs)
    assert any(
        row["event"] == "endpoint_cache.read_failed" and "checksum" in row["reason"] for row in fleet.logs
    )


def test_an_old_cached_list_is_not_used(tmp_path):
    now, rows = [1_000_000.0], []
    cache = EndpointCache(tmp_path / "l", lambda: now[0], log.to_list(rows))
    cache.update(
        messages.Listing(
            version=3, whole=True, cells=2, entries=[messages.Entry(node="n0", condition="ready")]
        )
    )
    now[0] += 100
    assert [entry.node for entry in cache.load().entries] == ["n0"]
    now[0] += 8 * 86_400
    assert cache.load() is None and rows[-1]["event"] == "endpoint_cache.expired"


@pytest.mark.parametrize("step", [0, 30, 3_600, -30, -3_600])
def test_a_step_of_the_wall_clock_makes_no_node_of_a_cached_list_older(tmp_path, step):
    """A list was not used after a step back, and cold nodes counted as warm after a step forward."""
    now, age = [1_000_000.0], 70
    cache = EndpointCache(tmp_path / "l", lambda: now[0], log.to_list([]))
    cache.update(
        messages.Listing(
            version=3, whole=True, cells=2, entries=[messages.Entry(node="n0", condition="ready", age=age)]
        )
    )
    now[0] += step
    assert [entry.age for entry in cache.load().entries] == [age]


def listing(*entries, **fields):
    """A complete list of nodes, each with its condition, of one cell each."""
    rows = [
        messages.Entry(node=node, condition=condition, cell=cell, host="127.0.0.1", port=1, start="s")
        for cell, (node, condition) in enumerate(entries)
    ]
    return messages.Listing(version=9, whole=True, cells=4, entries=rows, **fields)


@pytest.mark.parametrize("left", [0, 1], ids=["all listed", "one missing"])
def test_drains_are_kept_also_if_no_node_is_ready(run_fleet, left):
    """An edge that came back with a stored list refused the planner's while all nodes drained."""

    async def scenario(fleet):
        await fleet.sleep(1)
        driver = fleet.edges[0].program.driver
        nodes = sorted(driver.endpoint_table.endpoints)
        accepted = driver.endpoint_table.on_listing(
            listing(*((node, "draining") for node in nodes[: len(nodes) - left]))
        )
        states = [driver.endpoint_table.endpoints[node].state for node in nodes]
        return accepted, [str(state) for state in states]

    _, (accepted, states) = run_fleet(scenario)
    assert accepted is not bool(left)
    assert states == ["draining"] * (len(states) - left) + ["ready"] * left


def test_a_complete_list_without_a_ready_node_is_ignored(run_fleet):
    async def scenario(fleet):
        await fleet.sleep(1)
        table = fleet.edges[0].program.driver.endpoint_table
        accepted = table.on_listing(messages.Listing(version=9, whole=True, cells=4))
        client = await fleet.client(0)
        await client.put("/limon/a", b"x")
        return accepted

    assert run_fleet(scenario)[1] is False


def test_hundreds_of_edges_reconnect_spread_over_time(tmp_path):
    async def main(loop):
        rows, received_at, count = [], {}, 300
        logger = log.to_list(rows, "error")
        store = MembershipStore(tmp_path / "p")
        store.save(
            [
                MemberRow(
                    "n0",
                    "node",
                    "1",
                    False,
                    messages.Entry(node="n0", condition="ready", start="1", cell=0).SerializeToString(),
                )
            ],
            [],
            5,
        )
        process = loop.process("planner")
        planner = Planner(1, store, logger)
        port = await process.spawn(planner.open("127.0.0.1", 0))
        tasks = []
        for number in range(count):
            hello = messages.Hello(version=VERSION, peer=f"edge{number}", start="1")
            client = PlannerClient(
                ("127.0.0.1", port),
                hello,
                random.Random(number),
                logger,
                lambda listing, number=number: received_at.setdefault(number, []).append(loop.time()),
            )
            tasks.append(loop.create_task(client.run()))
        await asyncio.sleep(4)
        assert len(received_at) == count
        process.kill()
        await asyncio.sleep(3)
        received_at.clear()
        restarted_process = loop.process("planner")
        restarted_at = loop.time()
        await restarted_process.spawn(
            Planner(1, MembershipStore(tmp_path / "p"), logger).open("127.0.0.1", port)
        )
        await asyncio.sleep(LEASE_DURATION)
        for task in tasks:
            task.cancel()
        return restarted_at, received_at

    restarted_at, received_at = run(main, 5)
    delays = sorted(times[0] - restarted_at for times in received_at.values())
    assert len(delays) == 300 and delays[-1] < 3.0
    most_within_interval = max(sum(at <= delay < at + 0.1 for delay in delays) for at in delays)
    assert most_within_interval < 60
