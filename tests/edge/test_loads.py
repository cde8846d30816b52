"""Nodes that tell their load to edges that ask: over real sockets on loopback, and through whole edges."""

import asyncio
import random
from pathlib import Path

from click.testing import CliRunner

from rushmux import log
from rushmux.cli.main import main
from rushmux.edge.node_connections import Address, NodeConnections
from rushmux.nodewire import messages
from rushmux.scheduling.interface import AttemptResult
from rushmux.scheduling.node import INITIAL_LIMIT
from rushmux.settings import deployment
from rushmux.standins.node import Node
from rushmux.standins.service_model import Shape
from rushmux.standins.store import Store

HOST = "127.0.0.1"


def test_a_node_tells_its_load_over_a_connection_that_stands():
    async def story():
        quiet = log.to_list([], "info")
        store = Store(":memory:", 0, 1 << 20, 10.0)
        node = Node(
            "n",
            0,
            "z",
            store,
            Address(HOST, 1),
            Shape(unit=0.02),
            5,
            False,
            quiet,
            lambda kind, **fields: None,
        )
        connections = NodeConnections(
            messages.Hello(version=1, peer="e", start="1"),
            connect_timeout=1.0,
            connections_per_node=1,
            rng=random.Random(1),
            log=quiet,
        )
        connections.set_address("n", Address(HOST, await node.open(HOST, 0)))

        async def once(call, *values):
            future = asyncio.get_running_loop().create_future()
            call(*values, lambda result, told: future.done() or future.set_result((result, told)))
            return await asyncio.wait_for(future, 5)

        try:
            assert await once(connections.request_load_report, "n") == (
                AttemptResult.CONNECT_FAILED,
                None,
            )  # nothing stands: no dial for it
            execute = messages.Execute(
                op="o",
                volume="v",
                units=2,
                time_out=40_000,
                read=messages.ReadObject(object="none", length=1),
            )
            assert (await once(connections.send, "n", execute))[0] == AttemptResult.SUCCEEDED
            result, load = await once(connections.request_load_report, "n")
            assert result == AttemptResult.SUCCEEDED and load.queue == 0 and 50 < load.service < 5_000
            node.begin("silent")
            waiting = asyncio.ensure_future(once(connections.request_load_report, "n"))
            await asyncio.sleep(0.05)
            assert not waiting.done()
            node.drop_peers()
            assert await waiting == (AttemptResult.CONNECTION_LOST, None)
        finally:
            await connections.close()
            await node.close()

    asyncio.run(story())


def heard(fleet, node):
    """What each edge's module knows of a node: how long a mean operation takes there, and its room."""
    found = [part.program.driver.scheduler.endpoints.nodes[node] for part in fleet.edges.values()]
    return [known.expected_service for known in found], [known.limit.size for known in found]


def busy(raw, play, load):
    """Two seconds of reads from a node that has grown slow; what the edges' modules then know of it."""
    raw["fleet"]["load"] = load

    async def story(fleet):
        one = await fleet.client(0)
        await asyncio.gather(*(one.put(f"/heredia/{number}", b"x" * 9_000) for number in range(8)))
        for name in fleet.nodes:
            await fleet.trouble(name, "slow", 12, 6)
        for _ in range(4):
            await asyncio.gather(
                *(one.get(f"/heredia/{number}") for number in range(8)), return_exceptions=True
            )
            await fleet.sleep(0.5)
        return [heard(fleet, name) for name in fleet.nodes]

    return play(story)[1]


def test_an_edge_asks_nodes_that_answer_late_and_goes_by_what_they_tell(raw, play):
    known = busy(raw, play, "probe")
    assert any(answers_in > 500 for told, _ in known for answers_in in told)
    assert any(room < INITIAL_LIMIT for _, rooms in known for room in rooms)


def test_without_the_setting_no_node_is_asked(raw, play):
    assert all(answers_in == 0 for told, _ in busy(raw, play, "none") for answers_in in told)


def test_a_bad_day_with_loads_and_a_lane_in_order_keeps_every_rule(tmp_path):
    to = tmp_path / "new.json"
    words = [
        "move",
        str(Path(deployment.__file__).with_name("example.json")),
        "--to",
        str(to),
        "--meter-ms",
        "1000",
        "--in-order",
        "archivo-nuevo",
    ]
    assert CliRunner().invoke(main, words).exit_code == 0
    played = CliRunner().invoke(main, ["demo", "--virtual", "--deployment", str(to)])
    assert played.exit_code == 0, played.output
    assert played.output.count("kept\n") == 8
