"""The whole gateway: its state against what crosses the sockets, draining nodes, state that ages out."""

import asyncio
import random
import socket
import threading
import time

from rushmux.gateway.server import GatewayServer
from rushmux.scheduling import scheduler as scheduling
from rushmux.standins.platform import FakeNode, option_of, read_command, success_reply, write_command


def test_attempts_in_flight_match_what_the_nodes_have_open(with_fleet):
    """At each check, requests open at a node lie within the attempts in flight there since the last."""

    async def scenario(fleet):
        chance, checks, wrong = random.Random(5), 0, []

        def in_flight():
            """The scheduler's attempts in flight at each node, less those that wait for a connection."""
            return {
                name: len(node.in_flight) - len(fleet.server.pool.endpoints[name].waiting)
                for name, node in fleet.server.scheduler.endpoints.nodes.items()
            }

        for node in fleet.nodes:
            node.script = lambda arguments: [chance.uniform(0.01, 0.06), success_reply()]
        clients = [await fleet.client() for _ in range(20)]

        async def asks(client, base):
            for number in range(12):
                await client.request(*read_command(base + number, cell=(base + number) % 3))

        tasks = [asyncio.ensure_future(asks(client, 1000 * (at + 1))) for at, client in enumerate(clients)]
        while not all(task.done() for task in tasks):
            believed = in_flight()
            await asyncio.sleep(0.004)  # a round and the way there
            after = in_flight()
            for number, node in enumerate(fleet.nodes):
                name = f"s{number}"
                low, high = min(believed[name], after[name]) - 3, max(believed[name], after[name]) + 3
                checks += 1
                if not low <= node.running <= high:
                    wrong.append((name, believed[name], node.running, after[name]))
        await asyncio.sleep(0.05)
        rest = [len(node.in_flight) for node in fleet.server.scheduler.endpoints.nodes.values()]
        running = [node.running for node in fleet.nodes]
        return checks, wrong, rest, running, max(node.max_running for node in fleet.nodes)

    checks, wrong, rest, running, most = with_fleet(scenario, nodes=3)
    assert checks > 50 and not wrong and rest == running == [0, 0, 0] and most <= 10


def test_a_node_that_refuses_connections_loses_concurrency_and_one_that_serves_keeps_it(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].close()
        client = await fleet.client()
        for number in range(6):
            await client.request(*read_command(10 + number, cell=number % 2))
            await asyncio.sleep(0.03)
        nodes = fleet.server.scheduler.endpoints.nodes
        return nodes["s0"].limit.size, nodes["s1"].limit.size

    refuses, serves = with_fleet(scenario, nodes=2)
    assert refuses < serves


def test_usage_figures_reach_the_scheduler_as_the_simulator_counts_them(with_fleet):
    async def scenario(fleet):
        heard, on_result = [], fleet.server.scheduler.on_attempt_result
        fleet.server.scheduler.on_attempt_result = lambda now, report: (
            heard.append((report.fleet_usage, report.remote_usage)),
            on_result(now, report),
        )
        fleet.nodes[0].script = lambda arguments: [success_reply(used=b"$7\r\nused=36\r\n")]
        await (await fleet.client()).request(*read_command(1))
        await asyncio.sleep(0.05)
        return heard

    assert with_fleet(scenario) == [(37, 0.0)]


def test_a_draining_node_gets_no_new_attempt(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [0.02, success_reply()]
        client = await fleet.client()
        await client.request(*read_command(1))
        fleet.discovery.update(fleet.nodes[0].row("s0", 0, "draining"))
        await asyncio.sleep(0.1)
        before = len(fleet.nodes[0].received)
        client.send(*read_command(2, time_left=900))
        await asyncio.sleep(0.1)
        held = len(fleet.nodes[0].received) - before
        other = FakeNode()  # it takes over the shard and serves what is held
        await other.open()
        fleet.nodes.append(other)
        fleet.discovery.update(other.row("s9", 0))
        return held, await client.reply(), len(other.received)

    assert with_fleet(scenario) == (0, ("$", b"data"), 1)


def test_with_an_empty_snapshot_operations_are_shed_at_their_latency_objective(with_fleet):
    async def scenario(fleet):
        await asyncio.sleep(0.05)  # the watch has brought its first list
        fleet.server.on_discovered(True, [])
        await asyncio.sleep(0.02)
        client = await fleet.client()
        began = asyncio.get_running_loop().time()
        answer = await client.request(*read_command(1))
        return answer, asyncio.get_running_loop().time() - began < 0.5, fleet.nodes[0].received

    assert with_fleet(scenario) == (("-", b"BUSY"), True, [])  # no sooner: a node may come until then


def test_the_start_of_a_node_is_known_on_the_schedulers_clock(with_fleet):
    async def scenario(fleet):
        now = asyncio.get_running_loop().time()
        fleet.discovery.update(
            fleet.nodes[0].row("s0", 0, "up", int((now - 1) * 1000)),
            fleet.nodes[1].row("s1", 1, "up", int(max(1, now - 1000) * 1000)),
        )
        await asyncio.sleep(0.1)
        entries = [
            fleet.server.scheduler.endpoints.nodes[name].endpoint.online_since for name in ("s0", "s1")
        ]
        return (fleet.server.now() - entries[0]) / 10_000, entries[1]

    age, old = with_fleet(scenario, nodes=2)
    assert 1 < age < 1.5 and old == 0


def test_a_write_that_may_have_run_is_retried_with_its_key(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: (
            ["close"] if len(fleet.nodes[0].received) == 1 else [success_reply()]
        )
        answer = await (await fleet.client()).request(*write_command(1))
        return (
            answer,
            len(fleet.nodes[0].received),
            {arguments[3].split(b",k=")[1] for arguments in fleet.nodes[0].received},
        )

    answer, got, keys = with_fleet(scenario)
    assert answer == ("$", b"data") and got == 2 and len(keys) == 1


def test_an_operation_that_the_scheduler_gave_up_is_answered_at_once(with_fleet):
    """No node can be reached: the operation ends when the scheduler says so, not at its deadline."""

    async def scenario(fleet):
        fleet.nodes[0].close()
        loop = asyncio.get_running_loop()
        client, began = await fleet.client(), loop.time()
        kind, _ = await client.request(*read_command(1, time_left=1000))
        return kind, loop.time() - began

    kind, took = with_fleet(scenario)
    assert kind == "-" and took < 0.6


def test_a_reply_received_while_the_process_stood_still_is_not_a_timeout(with_fleet):
    """The node is a thread: it answers in 50 ms, while the loop stands still past the time-out."""
    listening = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listening.accept()
        connection.recv(65_536)
        time.sleep(0.05)
        connection.sendall(success_reply())
        time.sleep(1)
        connection.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()

    async def scenario(fleet):
        heard, on_result = [], fleet.server.scheduler.on_attempt_result
        fleet.server.scheduler.on_attempt_result = lambda now, report: (
            heard.append(report.result),
            on_result(now, report),
        )
        row = fleet.nodes[0].row("s0", 0)
        fleet.discovery.update({**row, "addr": f"127.0.0.1:{listening.getsockname()[1]}"})
        await asyncio.sleep(0.1)
        client = await fleet.client()
        client.send(*read_command(1, time_left=300))
        await asyncio.sleep(0.03)  # it is out
        begun = fleet.server.loop.time()
        time.sleep(0.2)
        # The pause may fall between the look at the sockets and that at the timers: the time-out goes first.
        fleet.server.on_timeout(f"{1:016x}", 0, begun + 0.1)
        await asyncio.sleep(0.05)
        return heard

    assert with_fleet(scenario) == ["succeeded"]
    listening.close()


def test_a_volumes_limit_holds_over_a_restart_of_the_gateway(with_fleet):
    """Units by the time they came: a token bucket starts full and fills at the plan's rate.

    It falls below zero by the plan's tolerance and 150 ms of its rate at most.
    """
    rate, burst, tolerance = 40.0, 20.0, 8.0

    async def scenario(fleet):
        came = []

        def script(arguments):
            came.append((time.monotonic(), float(option_of(arguments, "units"))))
            # As the platform's meter: no figure until a period has ended.
            metered = came[-1][0] - came[0][0] > 1
            return [success_reply(used=b"$6\r\nused=4\r\n" if metered else b"$-1\r\n")]

        fleet.nodes[0].script = script

        async def ask(port, base):
            fleet.port = port
            clients = [await fleet.client() for _ in range(6)]

            async def asks(client, first):
                for number in range(12):
                    await client.request(*read_command(first + number, units=2, time_left=500))

            await asyncio.gather(*(asks(client, base + 100 * at) for at, client in enumerate(clients)))

        await ask(fleet.port, 1_000)
        config = fleet.server.config
        again = GatewayServer(config._replace(seed=7), 0.0, asyncio.get_running_loop(), fleet.log)
        await again.open()
        await ask(again.listener.listening_socket.getsockname()[1], 9_000)
        for part in (again.discovery, again.pool, again.listener):
            part.close()
        return came

    came = with_fleet(scenario, plan={"NeverOver": rate, "CapDepth": burst, "Tolerance": tolerance})
    held, least, at = burst, 0.0, None
    for when, units in came:
        held = min(burst, held + (when - (at or when)) * rate) - units
        at, least = when, min(least, held)
    assert len(came) > 20 and least >= -tolerance - 0.15 * rate


def test_nodes_ids_volumes_and_connections_that_are_gone_leave_nothing_behind(with_fleet, monkeypatch):
    async def scenario(fleet):
        sizes = []
        for generation in range(12):
            node = FakeNode()
            await node.open()
            name = f"g{generation}"
            fleet.discovery.update(
                node.row(name, 0),
                fleet.nodes[-1].row(f"g{generation - 1}", 0, "removed")
                if generation
                else fleet.nodes[-1].row("s0", 0, "removed"),
            )
            fleet.nodes.append(node)
            await asyncio.sleep(0.03)
            client = await fleet.client()
            for number in range(5):
                await client.request(
                    *read_command(100 * (generation + 1) + number, volume=10 * generation + number)
                )
            client.close()
            fleet.server.pool.sweep()
            fleet.server.pool.sweep_timer.cancel()
            scheduler = fleet.server.scheduler
            # A removed node counts for the slow start window; the next list forgets it then.
            for gone in scheduler.endpoints.nodes.values():
                gone.recent_units.clear()
            sizes.append(
                (
                    len(scheduler.endpoints.nodes),
                    len(scheduler.endpoints.cells[0].nodes),
                    len(scheduler.operations),
                    len(fleet.server.operations),
                    len(fleet.server.pool.endpoints),
                    len(fleet.server.known_states),
                )
            )
            volumes.append(len(scheduler.volumes))
        await asyncio.sleep(0.05)
        return sizes, len(fleet.server.listener.clients)

    monkeypatch.setattr(scheduling, "VOLUME_IDLE_TIME", 1_000)
    volumes = []
    sizes, clients = with_fleet(scenario)
    assert sizes[-1][2:4] == (0, 0) and max(sizes[-1]) <= 3 and clients == 0
    assert max(volumes) < 25  # of 60 that came: those of the last tenth of a second
