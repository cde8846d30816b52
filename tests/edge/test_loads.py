"""Load reports that edges request from nodes, over real sockets on loopback and in whole fleets."""

import asyncio
import random
from pathlib import Path

import pytest
from click.testing import CliRunner

from rushmux import log
from rushmux.cli.main import main
from rushmux.edge.node_connections import Address, NodeConnections
from rushmux.nodewire import messages
from rushmux.scheduling.interface import AttemptResult
from rushmux.scheduling.node import INITIAL_LIMIT
from rushmux.settings import deployment
from rushmux.standins.checker import RULES
from rushmux.standins.node import Identity, Node
from rushmux.standins.service_model import Shape
from rushmux.standins.store import Store

HOST = "127.0.0.1"


def test_a_node_reports_its_load_over_an_open_connection():
    async def steps():
        quiet = log.to_list([], "info")
        store = Store(":memory:", 0, 1 << 20, 10.0)
        node = Node(
            Identity("n", 0, "z"),
            store,
            Address(HOST, 1),
            Shape(unit=0.02),
            seed=5,
            cold=False,
            log=quiet,
            record=lambda kind, **fields: None,
        )
        connections = NodeConnections(
            messages.Hello(version=1, peer="e", start="1"),
            connect_timeout=1.0,
            connections_per_node=1,
            rng=random.Random(1),
            log=quiet,
        )
        connections.set_address("n", Address(HOST, await node.open(HOST, 0)))

        async def result_of(call, *values):
            future = asyncio.get_running_loop().create_future()
            call(*values, lambda result, reply: future.done() or future.set_result((result, reply)))
            return await asyncio.wait_for(future, 5)

        try:
            assert await result_of(connections.request_load_report, "n") == (
                AttemptResult.CONNECT_FAILED,
                None,
            )  # no connection is open, and none is opened for a load report
            execute = messages.Execute(
                op="o",
                volume="v",
                units=2,
                time_out=40_000,
                read=messages.ReadObject(object="none", length=1),
            )
            assert (await result_of(connections.send, "n", execute))[0] == AttemptResult.SUCCEEDED
            result, load = await result_of(connections.request_load_report, "n")
            assert result == AttemptResult.SUCCEEDED and load.queue == 0 and 50 < load.service < 5_000
            node.start_fault("silent")
            waiting = asyncio.ensure_future(result_of(connections.request_load_report, "n"))
            await asyncio.sleep(0.05)
            assert not waiting.done()
            node.abort_connections()
            assert await waiting == (AttemptResult.CONNECTION_LOST, None)
        finally:
            await connections.close()
            await node.close()

    asyncio.run(steps())


def node_states(fleet, node):
    """Returns a node's expected service times and concurrency limits in the edges' schedulers."""
    states = [part.program.driver.scheduler.endpoints.nodes[node] for part in fleet.edges.values()]
    return [state.expected_service for state in states], [state.limit.size for state in states]


@pytest.fixture
def states_of_slow_nodes(raw, run_fleet):
    """Reads from slow nodes for two seconds; returns the schedulers' node states."""
    return lambda load: _states_of_slow_nodes(raw, run_fleet, load)


def _states_of_slow_nodes(raw, run_fleet, load):
    raw["fleet"]["load"] = load

    async def steps(fleet):
        one = await fleet.client(0)
        await asyncio.gather(*(one.put(f"/heredia/{number}", b"x" * 9_000) for number in range(8)))
        for name in fleet.nodes:
            await fleet.inject_fault(name, "slow", 12, 6)
        for _ in range(4):
            await asyncio.gather(
                *(one.get(f"/heredia/{number}") for number in range(8)), return_exceptions=True
            )
            await fleet.sleep(0.5)
        return [node_states(fleet, name) for name in fleet.nodes]

    return run_fleet(steps)[1]


def test_an_edge_requests_load_reports_of_slow_nodes_and_limits_them_accordingly(states_of_slow_nodes):
    states = states_of_slow_nodes("probe")
    assert any(service > 500 for service_times, _ in states for service in service_times)
    assert any(limit < INITIAL_LIMIT for _, limits in states for limit in limits)


def test_without_the_setting_no_load_report_is_requested(states_of_slow_nodes):
    states = states_of_slow_nodes("none")
    assert all(service == 0 for service_times, _ in states for service in service_times)


def test_a_day_with_load_reports_and_an_ordered_request_class_keeps_every_rule(tmp_path):
    path = tmp_path / "new.json"
    arguments = [
        "move",
        str(Path(deployment.__file__).with_name("example.json")),
        "--to",
        str(path),
        "--meter-ms",
        "1000",
        "--in-order",
        "archivo-nuevo",
    ]
    assert CliRunner().invoke(main, arguments).exit_code == 0
    result = CliRunner().invoke(main, ["demo", "--virtual", "--deployment", str(path)])
    assert result.exit_code == 0, result.output
    assert result.output.count("kept\n") == len(RULES)
