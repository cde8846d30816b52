"""Races between waiting attempts, clients that disconnect and a process that is suspended.

The tests force each race: they delay connections and suspend the process by SIGSTOP.
"""

import asyncio
import signal
import socket
import threading
import time

import pytest

from rushmux.gateway import endpoint_pool, keep_alive
from rushmux.gateway.connection_pool import ConnectionPool
from rushmux.gateway.endpoints import DiscoveredEndpoint
from rushmux.resp import CommandReader, encode_command
from rushmux.scheduling.interface import AttemptResult, EndpointState
from rushmux.standins.platform import FakeNode, read_command, success_reply, wait_until, write_command


class DelayedConnects:
    """Delays connections to nodes until `go` is set."""

    def __init__(self, loop):
        self.go, self.begun, self.connect = asyncio.Event(), asyncio.Event(), loop.create_connection
        loop.create_connection = self

    async def __call__(self, *values, **named):
        self.begun.set()
        await self.go.wait()
        return await self.connect(*values, **named)


async def send_with_delayed_connect(fleet, *arguments):
    """Sends a client's command whose attempt then waits for a connection."""
    client = await fleet.client()
    assert await client.request(b"PING") == ("+", b"PONG")
    connects = DelayedConnects(fleet.server.loop)
    client.send(*arguments)
    await asyncio.wait_for(connects.begun.wait(), 2)
    return client, connects


def make_pool(loop, connect_timeout):
    return ConnectionPool(
        loop,
        max_connections=50,
        max_partial_reply_bytes=24 << 20,
        connect_timeout=connect_timeout,
        idle_timeout=10.0,
    )


@pytest.mark.parametrize("arguments", [read_command(1), write_command(1)])
def test_an_attempt_that_waits_for_a_connection_is_not_sent_for_a_client_that_left(with_fleet, arguments):
    async def scenario(fleet):
        client, connects = await send_with_delayed_connect(fleet, *arguments)
        client.close()
        await wait_until(lambda: not fleet.server.listener.clients)
        connects.go.set()
        await asyncio.sleep(0.1)
        node = fleet.server.scheduler.endpoints.nodes["s0"]
        return fleet.nodes[0].received, fleet.server.operations, node.in_flight, node.limit.size

    received, operations, in_flight, limit = with_fleet(scenario, deadline=5_000, DialTimeout=5_000_000_000)
    assert not received and not operations and not in_flight and limit >= 1  # the node's limit is not cut


def test_an_attempt_that_waits_for_a_connection_is_not_sent_once_shutdown_has_answered(with_fleet):
    async def scenario(fleet):
        client, connects = await send_with_delayed_connect(fleet, *write_command(1, time_left=5_000))
        fleet.server.abort_all()
        answer = await client.reply()
        connects.go.set()
        await asyncio.sleep(0.1)
        return answer, fleet.nodes[0].received, fleet.server.operations

    answer, received, operations = with_fleet(scenario, deadline=5_000, DialTimeout=5_000_000_000)
    assert answer[0] == "-" and not received and not operations


def test_an_attempt_dropped_unsent_counts_as_connect_failed_so_a_retry_is_safe(with_fleet):
    """The scheduler may then shed the operation; one that may have run would have to fail."""

    async def scenario(fleet):
        results, on_result = [], fleet.server.scheduler.on_attempt_result
        fleet.server.scheduler.on_attempt_result = lambda now, report: (
            results.append(report.result),
            on_result(now, report),
        )
        client, connects = await send_with_delayed_connect(fleet, *write_command(1, time_left=400))
        answer = await client.reply()
        connects.go.set()
        await asyncio.sleep(0.1)
        return answer, results, fleet.nodes[0].received

    answer, results, received = with_fleet(scenario, DialTimeout=5_000_000_000)
    assert answer == ("-", b"BUSY") and set(results) == {AttemptResult.CONNECT_FAILED} and not received


def test_a_retry_is_not_sent_past_its_dedup_window_when_the_connection_comes_late(with_fleet):
    """The first attempt may have run; the retry was dispatched in the window but waits for a connection."""
    window = 300

    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [0.02, "close"]
        client = await fleet.client()
        assert await client.request(b"PING") == ("+", b"PONG")
        client.send(*write_command(1, time_left=4_000))
        await wait_until(lambda: fleet.nodes[0].received)
        connects = DelayedConnects(fleet.server.loop)
        fleet.nodes[0].script = lambda arguments: [success_reply()]
        await asyncio.wait_for(connects.begun.wait(), 2)
        await asyncio.sleep(window / 1000)
        connects.go.set()
        answer = await client.reply()
        await asyncio.sleep(0.1)
        return answer, len(fleet.nodes[0].received)

    answer, sent = with_fleet(scenario, deadline=4_000, dedup_window=window, DialTimeout=3_000_000_000)
    assert answer[0] == "-" and sent == 1


def test_an_attempt_that_waits_for_a_cooldown_is_not_sent_for_a_client_that_left(with_fleet, monkeypatch):
    monkeypatch.setattr(endpoint_pool, "REUSE_COOLDOWN", 0.15)  # shorter than the shortest attempt timeout

    async def scenario(fleet):
        first, second = await fleet.client(), await fleet.client()
        await first.request(*read_command(1))
        second.send(*read_command(2))
        await wait_until(lambda: fleet.server.pool.endpoints["s0"].waiting)
        second.close()
        await asyncio.sleep(0.3)
        return [arguments[2] for arguments in fleet.nodes[0].received]

    assert with_fleet(scenario) == [b"%016x" % 1]


def test_a_request_is_not_served_if_its_client_left_while_the_process_was_suspended(with_process):
    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        client = await fleet.client()
        await client.request(b"PING")
        fleet.process.send_signal(signal.SIGSTOP)
        client.send(*read_command(1))
        await client.writer.drain()
        client.close()
        await asyncio.sleep(0.4)
        fleet.process.send_signal(signal.SIGCONT)
        other = await fleet.client()
        answer = await other.request(*read_command(2))
        return answer, [arguments[2] for arguments in fleet.node.received]

    assert with_process(scenario) == (("$", b"data"), [b"%016x" % 2])


def test_a_round_that_is_already_due_does_not_serve_a_client_that_left(with_fleet):
    async def scenario(fleet):
        loop, server = asyncio.get_running_loop(), fleet.server
        await (await fleet.client()).request(
            *read_command(9)
        )  # its connection stays idle, so the next is sent at once
        sock = socket.create_connection(("127.0.0.1", fleet.port))
        sock.sendall(encode_command([b"PING"]))
        await wait_until(lambda: sum(client.has_sent_command for client in server.listener.clients) == 2)
        await asyncio.sleep(keep_alive.REUSE_COOLDOWN * 3)
        server.last_round_at = loop.time()
        server.enqueue(lambda now: None)  # schedules a round for the next tick
        sock.sendall(encode_command(read_command(1)))
        sock.close()
        time.sleep(0.05)  # command, disconnect and round are all due when the loop continues
        await asyncio.sleep(0.2)
        return [arguments[2] for arguments in fleet.nodes[0].received], server.operations

    assert with_fleet(scenario) == ([b"%016x" % 9], {})


@pytest.mark.parametrize(
    "change", [{"state": EndpointState.REMOVED}, {"started_at": 99.0}, {"state": EndpointState.DRAINING}]
)
def test_a_connection_being_opened_when_its_node_restarts_drains_or_is_removed_carries_no_attempt(change):
    """The address stays: another incarnation answers there, or the node takes no new attempts."""

    async def scenario():
        loop, node = asyncio.get_running_loop(), FakeNode()
        await node.open()
        row = DiscoveredEndpoint("s", "127.0.0.1", node.port, "a", 0, EndpointState.READY, 0.0)
        pool, connect, outcome = make_pool(loop, 5.0), loop.create_connection, loop.create_future()
        connects = DelayedConnects(loop)
        try:
            pool.update_endpoints(True, [row])
            pool.start_attempt(
                "s",
                lambda milliseconds: read_command(1),
                deadline=loop.time() + 5,
                on_reply=outcome.set_result,
            )
            await asyncio.wait_for(connects.begun.wait(), 2)
            pool.update_endpoints(False, [row._replace(**change)])
            connects.go.set()
            result = (await asyncio.wait_for(outcome, 2)).result
            await asyncio.sleep(0.1)
            return result, node.received
        finally:
            loop.create_connection = connect
            pool.close()
            node.close()

    assert asyncio.run(scenario()) == (AttemptResult.CONNECT_FAILED, [])


class UnsolicitedReplyNode(threading.Thread):
    """A node that sends an unsolicited reply after each reply.

    It runs in its own thread, so that it continues while the gateway's loop is blocked.
    """

    def __init__(self):
        super().__init__(daemon=True)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port, self.sent = self.sock.getsockname()[1], threading.Event()

    def run(self):
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = CommandReader()
        with connection:
            try:
                while data := connection.recv(65_536):
                    reader.receive_data(data)
                    while (arguments := reader.next_command()) is not None:
                        connection.sendall(success_reply(arguments[2]))
                        time.sleep(0.005)
                        connection.sendall(success_reply(b"another's"))
                        self.sent.set()
            except ConnectionError:  # the gateway closes a connection after an unsolicited reply
                pass


def run_two_attempts(port, node_event):
    """Returns the outcomes of two attempts, the second started by the first one's reply callback.

    The callback waits for `node_event` and blocks the loop past the cooldown, so that no socket is polled.
    """

    async def scenario():
        loop, outcomes = asyncio.get_running_loop(), asyncio.Queue()
        pool = make_pool(loop, 0.25)
        pool.update_endpoints(
            True, [DiscoveredEndpoint("s", "127.0.0.1", port, "a", 0, EndpointState.READY, 0.0)]
        )

        def on_reply(reply):
            outcomes.put_nowait(reply[:2])
            if outcomes.qsize() == 1:
                assert node_event.wait(2)
                time.sleep(keep_alive.REUSE_COOLDOWN * 2)
                pool.start_attempt(
                    "s", lambda milliseconds: read_command(2), deadline=loop.time() + 1, on_reply=on_reply
                )

        try:
            pool.start_attempt(
                "s", lambda milliseconds: read_command(1), deadline=loop.time() + 1, on_reply=on_reply
            )
            await wait_until(lambda: outcomes.qsize() == 2)
            return outcomes.get_nowait(), outcomes.get_nowait()
        finally:
            pool.close()

    return asyncio.run(scenario())


OWN_REPLIES = (AttemptResult.SUCCEEDED, b"%016x" % 1), (AttemptResult.SUCCEEDED, b"%016x" % 2)


def test_an_unsolicited_reply_received_while_the_loop_was_blocked_answers_no_request():
    node = UnsolicitedReplyNode()
    node.start()
    assert run_two_attempts(node.port, node.sent) == OWN_REPLIES
    node.sock.close()


def test_an_idle_connection_that_its_node_closed_while_the_loop_was_blocked_is_not_used():
    closed, server = threading.Event(), socket.create_server(("127.0.0.1", 0))

    def serve():
        for number in range(2):
            connection, _ = server.accept()
            reader = CommandReader()
            while (arguments := reader.next_command()) is None:
                reader.receive_data(connection.recv(65_536))
            connection.sendall(success_reply(arguments[2]))
            if number == 0:
                connection.close()
                closed.set()

    threading.Thread(target=serve, daemon=True).start()
    assert run_two_attempts(server.getsockname()[1], closed) == OWN_REPLIES
    server.close()


def test_an_invalid_address_leaves_no_attempt_waiting():
    async def scenario():
        loop = asyncio.get_running_loop()
        pool, outcome = make_pool(loop, 5.0), loop.create_future()
        pool.update_endpoints(
            True, [DiscoveredEndpoint("s", "x" * 70 + ".example", 1, "a", 0, EndpointState.READY, 0.0)]
        )
        pool.start_attempt(
            "s", lambda milliseconds: read_command(1), deadline=loop.time() + 60, on_reply=outcome.set_result
        )
        try:
            return (await asyncio.wait_for(outcome, 3)).result
        finally:
            pool.close()

    assert asyncio.run(scenario()) == AttemptResult.CONNECT_FAILED


@pytest.mark.parametrize("count", [150, 3_000])  # below and above the read-ahead limit
def test_a_client_that_sent_many_commands_and_left_is_not_served_further(with_process, count):
    async def scenario(fleet):
        # The first is never answered: nothing is written to the client, so no reset can come back.
        fleet.node.script = lambda arguments: (
            ["hang"] if int(arguments[2], 16) == 1 else [0.05, success_reply()]
        )
        await (await fleet.client()).request(b"PING")
        client = await fleet.connect_once()
        client.writer.write(
            b"".join(encode_command(read_command(number + 1, time_left=9_000)) for number in range(count))
        )
        await wait_until(lambda: fleet.node.received)
        client.writer.transport.abort() if count > 1_000 else client.close()
        await asyncio.sleep(3)
        return len(fleet.node.received)

    # Otherwise all 64 operations that a connection may have pending would start, some every 0.05 s; the
    # disconnect is noticed within 0.1 s.
    assert with_process(scenario, deadline=9_000, objective=9_000) < 45


def test_a_client_that_closes_without_reading_its_replies_counts_as_disconnected_at_once(with_fleet):
    async def scenario(fleet):
        value = bytes(900_000)
        fleet.nodes[0].script = lambda arguments: (
            [success_reply(value)] if int(arguments[2], 16) < 9 else ["hang"]
        )
        client = await fleet.client()
        client.writer.transport.pause_reading()
        client.writer.write(
            b"".join(encode_command(read_command(number, time_left=5_000)) for number in range(1, 10))
        )
        await wait_until(
            lambda: (
                any(one.is_writing_paused for one in fleet.server.listener.clients)
                and len([one for one in fleet.server.operations.values() if not one.ended]) == 1
            )
        )
        client.writer.write_eof()
        await wait_until(lambda: all(one.ended for one in fleet.server.operations.values()), 0.5)

    with_fleet(scenario, deadline=5_000)
