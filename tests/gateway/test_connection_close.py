"""Closing of client connections: no reply is lost, and no command that was read stays unanswered.

The tests force the races: data arrives while a connection closes, or the client limit is reached.
"""

import asyncio
import errno
import resource
import signal
import socket
import struct
import time

import pytest

from rushmux.gateway import client_connection, eviction
from rushmux.resp import encode_command
from rushmux.standins.platform import FakeNode, read_command, success_reply, wait_until


async def replies_until_end(client, within=5):
    """Returns all replies until the connection ends, and whether it was reset."""
    replies = []
    while (reply := await client.reply(within=within)) is not None:
        replies.append(reply)
    return replies, client.was_reset


@pytest.mark.parametrize(
    "rejected",
    [
        b"noise\r\n",
        b"".join(encode_command(read_command(number, request_class="none")) for number in range(3)),
    ],
)
def test_a_client_that_keeps_sending_after_its_error_reads_it_and_an_orderly_end(with_fleet, rejected):
    async def scenario(fleet):
        client = await fleet.client()
        client.writer.transport.pause_reading()
        client.writer.write(rejected)
        for _ in range(20):  # longer than LINGER_TIME
            await asyncio.sleep(0.02)
            client.writer.write(b"x")
        client.writer.transport.resume_reading()
        replies, reset = await replies_until_end(client)
        return {kind for kind, _ in replies}, len(replies), reset

    kinds, count, reset = with_fleet(scenario)
    assert kinds == {"-"} and count == (1 if rejected == b"noise\r\n" else 3) and not reset


def test_a_client_that_reset_its_connection_before_its_commands_were_rejected_leaves_no_fault(
    with_fleet, monkeypatch
):
    """Guards against an exception in a callback, as the sending side of a reset connection is shut down.

    Drawn run 0 with a crowd logged `Exception in callback ClientConnection._process_scheduled() ... Transport
    endpoint is not connected` once commands were rejected in a callback of their own.
    """

    async def scenario(fleet):
        faults = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        listener = fleet.server.listener
        client = socket.create_connection(("127.0.0.1", fleet.port))
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        flush = client_connection.ClientConnection.flush

        def flush_and_reset(connection):
            flush(connection)
            client.close()

        monkeypatch.setattr(client_connection.ClientConnection, "flush", flush_and_reset)
        client.send(encode_command([b"GET", b"name"]) * 3)
        await wait_until(lambda: listener.stats.ended_connections)
        return [repr(context.get("exception")) for context in faults]

    assert with_fleet(scenario) == []


def test_a_client_that_never_stops_sending_after_its_error_is_aborted(with_fleet):
    async def scenario(fleet):
        client, began = await fleet.client(), time.monotonic()
        client.writer.write(b"noise\r\n")
        while time.monotonic() < began + 4 and fleet.server.listener.clients:
            try:
                client.writer.write(b"x" * 10_000)
                await client.writer.drain()
            except ConnectionError:
                break
            await asyncio.sleep(0.005)
        return time.monotonic() - began, len(fleet.server.listener.clients)

    took, left = with_fleet(scenario)
    assert took < 3 and not left


async def fill_all_connections(fleet):
    """Connects clients up to the limit, each of which has just been active."""
    clients = [await fleet.client() for _ in range(fleet.server.listener.max_clients)]
    for number, client in enumerate(clients):
        assert (await client.request(*read_command(number + 1)))[0] == "$"
    return clients


def test_a_new_clients_operation_gets_busy_when_all_connections_are_in_use(with_fleet, monkeypatch):
    monkeypatch.setattr(eviction, "SHORT_IDLE_TIMEOUT", 60.0)

    async def scenario(fleet):
        clients = await fill_all_connections(fleet)
        new_client = await fleet.client_that_sends(*read_command(900))
        replies = await replies_until_end(new_client)
        return replies, [await client.request(*read_command(1_000 + at)) for at, client in enumerate(clients)]

    replies, clients = with_fleet(scenario, sockets=64)
    assert replies == ([("-", b"BUSY")], False) and clients == [("$", b"data")] * len(clients)


def test_clients_past_the_overflow_limit_wait_in_the_accept_queue_and_are_answered(with_fleet, monkeypatch):
    monkeypatch.setattr(eviction, "SHORT_IDLE_TIMEOUT", 0.5)

    async def scenario(fleet):
        await fill_all_connections(fleet)
        new_clients = [await fleet.client_that_sends(*read_command(900 + number)) for number in range(30)]
        ends = [asyncio.ensure_future(replies_until_end(client)) for client in new_clients]
        peak = 0
        while not all(end.done() for end in ends):
            peak = max(peak, len(fleet.server.listener.clients))
            await asyncio.sleep(0.001)
            for client, end in zip(new_clients, ends, strict=True):
                if client.replies_received and not end.done():
                    client.close()
        return [end.result() for end in ends], peak <= 1.2 * fleet.server.listener.max_clients

    ends, bounded = with_fleet(scenario, sockets=64)
    assert bounded and all(len(replies) == 1 and not reset for replies, reset in ends)


def is_reset_after_command(sock, arguments):
    """Sends a command after the gateway's end of stream; returns whether the connection was reset unread."""
    while sock.recv(65_536):  # replies up to the end of stream
        pass
    sock.sendall(encode_command(arguments))
    for _ in range(300):
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) in (errno.ECONNRESET, errno.EPIPE):
            return True
        time.sleep(0.01)
    return False


@pytest.mark.parametrize("end", ["silent", "stop"])
def test_a_command_sent_during_an_orderly_close_stays_unread_so_that_its_client_retries(with_process, end):
    """Eleven requests on fleet days were read after the end of stream, discarded and never answered.

    A command left unread causes a reset, after which the client may send it again.
    """

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        await (await fleet.client()).request(b"PING")
        with socket.create_connection(("127.0.0.1", fleet.port)) as sock:
            if end == "stop":
                sock.sendall(encode_command([b"PING"]))
                fleet.process.send_signal(signal.SIGTERM)
            sock.settimeout(10)
            return await loop.run_in_executor(
                None, is_reset_after_command, sock, read_command(1)
            ), fleet.node.received

    assert with_process(scenario) == (True, [])


def test_no_client_is_aborted_when_the_platform_reports_no_tcp_state(with_fleet, monkeypatch):
    """The bench reports the state of a socket that was never connected: 1,682 connections ended early."""
    monkeypatch.setattr(
        asyncio.trsock.TransportSocket,
        "getsockopt",
        lambda self, level, option, *size: b"\x07" if size else 0,
    )
    monkeypatch.setattr(client_connection, "MAX_READ_AHEAD", 1_000)
    asked = 300

    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [0.02, success_reply()]
        client = await fleet.client()
        client.writer.write(
            b"".join(encode_command(read_command(number, time_left=9_000)) for number in range(asked))
        )
        return len([reply for reply in [await client.reply() for _ in range(asked)] if reply is not None])

    assert with_fleet(scenario, deadline=9_000, objective=9_000) == asked


def test_accepted_connections_that_fail_during_setup_no_longer_count_towards_the_limit(with_fleet):
    async def scenario(fleet):
        listener, loop, connect = (
            fleet.server.listener,
            fleet.server.loop,
            fleet.server.loop.connect_accepted_socket,
        )
        listener.max_clients, listener.overflow_limit, go = 0, 3, asyncio.Event()

        async def fails(protocol, sock):
            await go.wait()
            sock.close()
            raise OSError("client disconnected during setup")

        loop.connect_accepted_socket = fails
        for _ in range(listener.overflow_limit):
            await fleet.client()
        client = await fleet.client_that_sends(b"PING")
        async with asyncio.timeout(2):
            while not listener.is_accepting_paused:
                await asyncio.sleep(0.005)
        loop.connect_accepted_socket = connect
        go.set()
        return await client.reply(within=2)

    assert with_fleet(scenario) == ("+", b"PONG")


def test_many_idle_clients_leave_descriptors_for_nodes_and_discovery(with_process):
    """The system enforces a small limit; nodes need descriptors when discovery comes back."""

    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        resource.prlimit(fleet.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        fleet.discovery.is_silent = True
        idle_clients = []
        for _ in range(200):
            idle_clients.append(await fleet.connect_once())
        for client in idle_clients:
            client.send(b"PING")
        await asyncio.sleep(2.5)
        node = FakeNode()
        await node.open()
        fleet.discovery.update(node.row("s1", 1))
        fleet.discovery.is_silent = False
        async with asyncio.timeout(6):
            while not node.received:
                client = await fleet.connect_once()
                client.send(*read_command(len(idle_clients) + 1, cell=1))
                await client.reply()
                idle_clients.append(client)
                await asyncio.sleep(0.05)
        fleet.process.terminate()
        log = (await fleet.process.stderr.read()).decode()
        node.close()
        for client in idle_clients:
            client.close()
        return "accepting a connection failed" in log, "Traceback" in log

    assert with_process(scenario, sockets=64) == (False, False)


def test_idle_connections_with_commands_received_during_a_pause_of_the_process_stay_open(with_process):
    """Near the client limit, connections idle for 2 s are closed, but not those with an unread command."""

    async def scenario(fleet):
        clients = [await fleet.client() for _ in range(15)]  # over half of the limit
        await asyncio.gather(
            *(client.request(*read_command(number + 1)) for number, client in enumerate(clients))
        )
        await asyncio.sleep(1.5)
        fleet.process.send_signal(signal.SIGSTOP)
        for number, client in enumerate(clients):
            client.send(*read_command(number + 100))
        await asyncio.sleep(1.0)
        fleet.process.send_signal(signal.SIGCONT)
        return [await client.reply() for client in clients]

    assert with_process(scenario, sockets=64) == [("$", b"data")] * 15


def test_an_incomplete_command_after_a_complete_one_uses_no_cpu_time(with_process):
    async def scenario(fleet):
        client = await fleet.client()
        client.writer.write(encode_command([b"PING"]) + b"*4\r\n$8\r\nBLK")
        assert await client.reply() == ("+", b"PONG")
        await asyncio.sleep(0.2)

        def used():
            with open(f"/proc/{fleet.process.pid}/stat", encoding="ascii") as file:
                return sum(map(int, file.read().rsplit(")", 1)[1].split()[11:13]))

        before = used()
        await asyncio.sleep(1.0)
        return used() - before

    assert with_process(scenario) < 30  # clock ticks, of 100 per second; a busy loop would use all


def test_commands_after_large_unread_replies_are_processed_once_those_are_read(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [success_reply(bytes(900_000))]
        client = await fleet.client()
        client.writer.transport.pause_reading()
        client.writer.write(b"".join(encode_command(read_command(number)) for number in range(1, 10)))
        async with asyncio.timeout(3):
            while not any(one.is_writing_paused for one in fleet.server.listener.clients):
                await asyncio.sleep(0.005)
        client.writer.write(encode_command([b"PING"]))
        await asyncio.sleep(0.1)
        client.writer.transport.resume_reading()
        return [(await client.reply())[0] for _ in range(10)]

    # Memory for all values, in whatever order they come: a value that waits for others may be refused.
    assert with_fleet(scenario, deadline=3_000, memory_mb=512) == ["$"] * 9 + ["+"]


# Commands that were read are answered on every path that ends a connection.  The reader of a connection that
# was told BUSY was once replaced, and with it went the commands behind the first.


def reads(count):
    return b"".join(encode_command(read_command(number, time_left=900)) for number in range(count))


def test_every_command_sent_with_the_first_on_a_crowded_gateway_is_answered(with_fleet):
    async def scenario(fleet):
        client = await fleet.client()
        await wait_until(lambda: fleet.server.listener.clients, within=5)
        fleet.server.listener.max_clients = 0
        client.writer.write(reads(4) + encode_command([b"PING"]) + reads(1))
        return await replies_until_end(client)

    busy = ("-", b"BUSY")
    assert with_fleet(scenario) == ([busy] * 4 + [("+", b"PONG"), busy], False)


@pytest.mark.parametrize("end", ["shutdown", "invalid commands"])
def test_commands_beyond_the_pending_limit_are_answered_when_the_connection_ends(with_fleet, end):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: ["hang"]
        client = await fleet.client()
        count = 0 if end == "shutdown" else client_connection.MAX_PROTOCOL_ERRORS
        client.writer.write(encode_command([b"GET", b"x"]) * count + reads(150))
        await wait_until(lambda: fleet.server.operations, within=5)
        if end == "shutdown":
            fleet.server.abort_all()
            fleet.server.listener.finish_all()
        replies, was_reset = await replies_until_end(client)
        return len(replies) - count, {kind for kind, _ in replies}, was_reset

    assert with_fleet(scenario) == (150, {"-"}, False)
