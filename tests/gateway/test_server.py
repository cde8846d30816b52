"""The whole gateway: its state compared with the traffic, draining nodes, expiry of state."""

import asyncio
import random
import socket
import threading
import time

from rushmux.gateway.server import GatewayServer
from rushmux.scheduling import scheduler as scheduling
from rushmux.standins.platform import FakeNode, option_of, read_command, success_reply, write_command


class AttemptCheck:
    """Compares the attempts that the scheduler counts as in flight with what nodes and clients see.

    Each attempt is compared by its id, in the moment in which something happens to it: a comparison of counts
    at other times would depend on how long this process takes to transmit commands and replies.
    """

    def __init__(self, fleet, rng):
        self.counted_nodes = fleet.server.scheduler.endpoints.nodes
        self.rng, self.checks, self.mismatches = rng, 0, []

    def check(self, op_id, expected, event):
        """Checks for which nodes the scheduler counts an attempt of the operation."""
        found = [
            name
            for name, node in self.counted_nodes.items()
            for operation, _ in node.in_flight
            if operation.op_id == op_id
        ]
        self.checks += 1
        if found != expected:
            self.mismatches.append((event, op_id, expected, found))

    def script_of(self, name, node):
        """Returns the script of a node, which checks each command and its own number of open ones."""

        def check_node(op_id, event):
            self.check(op_id, [name], event)
            in_flight = len(self.counted_nodes[name].in_flight)
            if not node.running <= in_flight <= 10:
                self.mismatches.append((event, name, node.running, in_flight))

        def script(arguments):
            op_id = arguments[2].decode()
            check_node(op_id, "received")
            yield self.rng.uniform(0.01, 0.06)
            check_node(op_id, "about to reply")
            yield success_reply()

        return script


def test_attempts_in_flight_match_what_the_nodes_have_open(with_fleet):
    """From arrival to reply, an attempt is counted for its node alone; after the answer, for none."""

    async def scenario(fleet):
        attempts = AttemptCheck(fleet, random.Random(5))
        for number, node in enumerate(fleet.nodes):
            node.script = attempts.script_of(f"s{number}", node)
        clients = [await fleet.client() for _ in range(20)]

        async def send_requests(client, base):
            for number in range(12):
                await client.request(*read_command(base + number, cell=(base + number) % 3))
                attempts.check(f"{base + number:016x}", [], "answered")

        await asyncio.gather(*(send_requests(client, 1000 * (at + 1)) for at, client in enumerate(clients)))
        await asyncio.sleep(0.05)
        rest = [len(node.in_flight) for node in fleet.server.scheduler.endpoints.nodes.values()]
        running = [node.running for node in fleet.nodes]
        received = sum(len(node.received) for node in fleet.nodes)
        peak = max(node.max_running for node in fleet.nodes)
        return attempts, rest, running, received, peak

    attempts, rest, running, received, peak = with_fleet(scenario, nodes=3)
    assert attempts.checks == 3 * received == 3 * 240 and not attempts.mismatches
    assert rest == running == [0, 0, 0] and peak <= 10


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


def test_usage_figures_reach_the_scheduler_in_the_simulators_units(with_fleet):
    async def scenario(fleet):
        reports, on_result = [], fleet.server.scheduler.on_attempt_result
        fleet.server.scheduler.on_attempt_result = lambda now, report: (
            reports.append((report.fleet_usage, report.remote_usage)),
            on_result(now, report),
        )
        fleet.nodes[0].script = lambda arguments: [success_reply(used=b"$7\r\nused=36\r\n")]
        await (await fleet.client()).request(*read_command(1))
        await asyncio.sleep(0.05)
        return reports

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
        other = FakeNode()  # takes over the cell and serves the held operation
        await other.open()
        fleet.nodes.append(other)
        fleet.discovery.update(other.row("s9", 0))
        return held, await client.reply(), len(other.received)

    assert with_fleet(scenario) == (0, ("$", b"data"), 1)


def test_with_an_empty_snapshot_operations_are_shed_at_their_latency_objective(with_fleet):
    async def scenario(fleet):
        await asyncio.sleep(0.05)  # lets the first endpoint list arrive
        fleet.server.on_discovered(True, [])
        await asyncio.sleep(0.02)
        client = await fleet.client()
        began = asyncio.get_running_loop().time()
        answer = await client.request(*read_command(1))
        return answer, asyncio.get_running_loop().time() - began < 0.5, fleet.nodes[0].received

    assert with_fleet(scenario) == (("-", b"BUSY"), True, [])  # not earlier, since a node may still come up


def test_a_nodes_start_time_is_converted_to_the_schedulers_clock(with_fleet):
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

    answer, received, keys = with_fleet(scenario)
    assert answer == ("$", b"data") and received == 2 and len(keys) == 1


def test_an_operation_that_the_scheduler_gave_up_is_answered_at_once(with_fleet):
    """With no node reachable, the operation ends when the scheduler gives up, not at its deadline."""

    async def scenario(fleet):
        fleet.nodes[0].close()
        loop = asyncio.get_running_loop()
        client, began = await fleet.client(), loop.time()
        kind, _ = await client.request(*read_command(1, time_left=1000))
        return kind, loop.time() - began

    kind, took = with_fleet(scenario)
    assert kind == "-" and took < 0.6


def test_a_reply_received_while_the_event_loop_was_blocked_is_not_a_timeout(with_fleet):
    """The node runs in a thread and answers in 50 ms, while the loop is blocked past the timeout."""
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
        reports, on_result = [], fleet.server.scheduler.on_attempt_result
        fleet.server.scheduler.on_attempt_result = lambda now, report: (
            reports.append(report.result),
            on_result(now, report),
        )
        row = fleet.nodes[0].row("s0", 0)
        fleet.discovery.update({**row, "addr": f"127.0.0.1:{listening.getsockname()[1]}"})
        await asyncio.sleep(0.1)
        client = await fleet.client()
        client.send(*read_command(1, time_left=300))
        await asyncio.sleep(0.03)  # the attempt has been sent
        begun = fleet.server.loop.time()
        time.sleep(0.2)
        # Simulates a pause between polling sockets and running timers, where the timeout runs first.
        fleet.server.on_timeout(f"{1:016x}", 0, begun + 0.1)
        await asyncio.sleep(0.05)
        return reports

    assert with_fleet(scenario) == ["succeeded"]
    listening.close()


def test_a_volumes_limit_holds_across_a_restart_of_the_gateway(with_fleet):
    """Replays the units received by the node against a token bucket with the plan's rate and burst.

    The bucket may fall below zero by at most the plan's tolerance and 150 ms of its rate.
    """
    rate, burst, tolerance = 40.0, 20.0, 8.0

    async def scenario(fleet):
        received = []

        def script(arguments):
            received.append((time.monotonic(), float(option_of(arguments, "units"))))
            # Like the platform's meter, reports no usage until a period has ended.
            metered = received[-1][0] - received[0][0] > 1
            return [success_reply(used=b"$6\r\nused=4\r\n" if metered else b"$-1\r\n")]

        fleet.nodes[0].script = script

        async def send_from_clients(port, base):
            fleet.port = port
            clients = [await fleet.client() for _ in range(6)]

            async def send_requests(client, first):
                for number in range(12):
                    await client.request(*read_command(first + number, units=2, time_left=500))

            await asyncio.gather(
                *(send_requests(client, base + 100 * at) for at, client in enumerate(clients))
            )

        await send_from_clients(fleet.port, 1_000)
        config = fleet.server.config
        restarted = GatewayServer(config._replace(seed=7), 0.0, asyncio.get_running_loop(), fleet.log)
        await restarted.open()
        await send_from_clients(restarted.listener.listening_socket.getsockname()[1], 9_000)
        for part in (restarted.discovery, restarted.pool, restarted.listener):
            part.close()
        return received

    received = with_fleet(scenario, plan={"NeverOver": rate, "CapDepth": burst, "Tolerance": tolerance})
    tokens, lowest, last_at = burst, 0.0, None
    for when, units in received:
        tokens = min(burst, tokens + (when - (last_at or when)) * rate) - units
        last_at, lowest = when, min(lowest, tokens)
    assert len(received) > 20 and lowest >= -tolerance - 0.15 * rate


def test_no_state_is_kept_for_nodes_operations_volumes_and_connections_that_are_gone(with_fleet, monkeypatch):
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
            # A removed node is kept for the slow start window and dropped at the next list after it.
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
    assert max(volumes) < 25  # of 60 in all; volumes idle for 0.1 s are dropped
