"""Client connections on loopback: replies, limits, timeouts, eviction."""

import asyncio
import errno
import socket
import time

import pytest

from rushmux.gateway import client_connection, client_timeouts, eviction
from rushmux.resp import encode_command
from rushmux.standins.gateway_soak_judge import ANSWER_SLACK
from rushmux.standins.platform import option_of, read_command, success_reply, write_command
from rushmux.standins.platform.node_process import NodeProcess


def test_commands_other_than_reads_and_writes_get_a_fixed_reply(with_fleet):
    async def scenario(fleet):
        client = await fleet.client()
        return [
            await client.request(*arguments)
            for arguments in (
                [b"PING"],
                [b"ping"],
                [b"CLIENT", b"SETNAME", b"x"],
                [b"SELECT", b"0"],
                [b"HELLO", b"3"],
                [b"GET", b"x"],
            )
        ]

    assert with_fleet(scenario) == [
        ("+", b"PONG"),
        ("+", b"PONG"),
        ("+", b"OK"),
        ("+", b"OK"),
        ("-", b"ERR unknown command"),
        ("-", b"ERR unknown command"),
    ]


def test_operations_are_served_while_discovery_is_silent(with_fleet):
    async def scenario(fleet):
        fleet.discovery.is_silent = True
        client = await fleet.client()
        return (
            await client.request(b"PING"),
            await client.request(*read_command(1)),
            await client.request(*write_command(2)),
        )

    assert with_fleet(scenario) == (("+", b"PONG"), ("$", b"data"), ("$", b"data"))


def test_replies_are_sent_in_the_order_of_the_commands(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [
            0.15 if arguments[2][-1:] == b"1" else 0.0,
            success_reply(arguments[2]),
        ]
        client = await fleet.client()
        client.send(*read_command(1))
        client.send(*read_command(2))
        client.send(b"PING")
        return [await client.reply() for _ in range(3)]

    assert with_fleet(scenario) == [("$", b"%016x" % 1), ("$", b"%016x" % 2), ("+", b"PONG")]


@pytest.mark.parametrize(
    "malformed",
    [
        b"noise\r\n",
        b"*3\r\n$60000000\r\n" + b"x" * 100_000,
        b"*1\r\n$-5\r\n",
        b"*-3\r\n",
        b"*1000000000\r\n",
        b"*2\r\n" + b"$" + b"9" * 50,
    ],
)
def test_malformed_input_gets_an_error_after_the_pending_replies_and_then_a_close(with_fleet, malformed):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [0.1, success_reply()]
        client, regular = await fleet.client(), await fleet.client()
        client.send(*read_command(1))
        client.writer.write(malformed)
        replies = [await client.reply() for _ in range(3)]
        return replies, await regular.request(*read_command(2)), len(fleet.nodes[0].received)

    replies, regular, received = with_fleet(scenario)
    assert replies[0] == ("$", b"data") and replies[1][0] == "-" and replies[2] is None
    assert regular == ("$", b"data") and received == 2


def test_invalid_commands_reach_no_node_and_the_third_ends_the_connection(with_fleet):
    async def scenario(fleet):
        client = await fleet.client()
        replies = [await client.request(*read_command(number, request_class="none")) for number in range(3)]
        return [kind for kind, _ in replies], await client.reply(), fleet.nodes[0].received

    assert with_fleet(scenario) == (["-"] * 3, None, [])


def test_a_command_with_the_id_of_an_operation_in_flight_is_rejected_and_that_operation_answered(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [0.1, success_reply()]
        regular, other = await fleet.client(), await fleet.client()
        regular.send(*read_command(1))
        await asyncio.sleep(0.03)
        return (await other.request(*read_command(1)))[0], await regular.reply(), len(fleet.nodes[0].received)

    assert with_fleet(scenario) == ("-", ("$", b"data"), 1)


@pytest.mark.parametrize("begun", [b"", b"*2\r\n$4\r\nPI", b"*4\r\n$8\r\nBLK.READ\r\n"])
def test_a_client_that_sends_no_complete_command_gets_an_error_and_a_close_within_three_seconds(
    with_fleet, begun
):
    async def scenario(fleet):
        client, began = await fleet.client(), time.monotonic()
        client.writer.write(begun)
        reply = await client.reply()
        return reply, await client.reply(), time.monotonic() - began

    reply, end, took = with_fleet(scenario)
    assert reply[0] == "-" and end is None and 1 < took < 2.5


def test_a_command_that_trickles_in_byte_by_byte_times_out_too(with_fleet):
    async def scenario(fleet):
        client = await fleet.client()
        await client.request(b"PING")
        begun = time.monotonic()
        error = asyncio.ensure_future(client.reply())
        for byte in encode_command(read_command(1))[:60]:
            client.writer.write(bytes([byte]))
            await asyncio.sleep(0.05)
            if error.done():
                break
        return (await error)[0], await client.reply(), time.monotonic() - begun

    kind, end, took = with_fleet(scenario)
    assert kind == "-" and end is None and took < 2.5


def test_invalid_commands_repeated_at_full_speed_do_not_starve_other_clients(with_process):
    """Gateway, node and clients have a process each: a stall of the clients' own delays no other's work."""

    async def measure(fleet):
        stop, repeats, times = False, 0, []

        async def spam():
            nonlocal repeats
            while not stop:
                client = await fleet.client()
                while not stop and await client.request(
                    *read_command(repeats + 50_000, request_class="none")
                ):
                    repeats += 1

        regular = await fleet.client()
        tasks = [asyncio.ensure_future(spam()) for _ in range(8)]
        for number in range(30):
            begun = time.monotonic()
            answer = await regular.request(*read_command(number + 1))
            times.append((answer, time.monotonic() - begun))
        stop = True
        await asyncio.gather(*tasks)
        return repeats, {answer for answer, _ in times}, sorted(took for _, took in times)[15]

    async def scenario(fleet):
        node = NodeProcess()
        await node.start()
        try:
            await fleet.client()
            fleet.discovery.update({**fleet.node.row("s0", 0), "addr": f"127.0.0.1:{node.port}"})
            await asyncio.sleep(0.2)  # until the gateway knows of it
            return *await measure(fleet), len(fleet.node.received)
        finally:
            await node.end()

    repeats, answers, median, received_in_this_process = with_process(scenario)
    assert repeats > 200 and answers == {("$", b"data")} and median < 0.1
    assert not received_in_this_process


def test_hundreds_of_pipelined_commands_are_bounded_in_flight_and_all_answered(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [0.005, success_reply()]
        client, peak = await fleet.client(), 0
        client.writer.write(
            b"".join(encode_command(read_command(number, time_left=900)) for number in range(600))
        )
        kinds = []
        for _ in range(600):
            kinds.append((await client.reply())[0])
            peak = max(peak, len(fleet.server.operations))
        return kinds, peak

    kinds, peak = with_fleet(scenario)
    assert len(kinds) == 600 and kinds.count("$") > 50 and peak <= client_connection.MAX_PENDING_REPLIES


def test_idle_and_silent_clients_are_evicted_near_the_client_limit(with_fleet, monkeypatch):
    """On the platform's churn day no connection was closed, and descriptors ran out."""
    monkeypatch.setattr(eviction, "SHORT_IDLE_TIMEOUT", 0.2)

    async def scenario(fleet):
        max_clients = fleet.server.listener.max_clients
        for _ in range(max_clients):  # clients that send one command and stay connected
            await (await fleet.client()).request(b"PING")
        await asyncio.sleep(0.5)
        open_before = len(fleet.server.listener.clients)
        for _ in range(max_clients * 2):  # clients that send nothing
            await fleet.client()
        regular = await fleet.client()
        answer = await regular.request(*read_command(1))
        return max_clients, open_before, len(fleet.server.listener.clients), answer

    max_clients, open_before, open_after, answer = with_fleet(scenario, sockets=64)
    assert open_before < max_clients and open_after <= max_clients and answer == ("$", b"data")


def test_clients_that_only_sent_ping_are_evicted_for_new_clients_at_once(with_fleet):
    """On a recorded day such clients used up all connections, and 900 new clients a second were rejected.

    A client that requested an operation stays connected for the two seconds that the protocol grants.
    """

    async def scenario(fleet):
        max_clients, answers = fleet.server.listener.max_clients, []
        busy, asked = await fleet.client(), await fleet.client()
        fleet.nodes[0].script = lambda arguments: [
            0.15 if arguments[2][-1:] == b"f" else 0.0,
            success_reply(),
        ]
        await asked.request(*read_command(1))
        busy.send(*read_command(0xF))
        for _ in range(max_clients * 3):
            answers.append(await (await fleet.client()).request(b"PING"))
        regular = await (await fleet.client()).request(*read_command(2))
        return (
            {kind for kind, _ in answers},
            regular,
            await busy.reply(),
            await asked.request(*read_command(3)),
            len(fleet.server.listener.clients) <= max_clients,
        )

    data = ("$", b"data")
    assert with_fleet(scenario, sockets=64) == ({"+"}, data, data, data, True)


def test_a_client_that_does_not_read_is_limited_and_then_aborted(with_fleet, monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_UNREAD_REPLY_BYTES", 1 << 16)
    monkeypatch.setattr(client_timeouts, "UNREAD_REPLIES_TIMEOUT", 0.5)

    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [success_reply(b"x" * 65_536)]
        client = await fleet.client()
        client.writer.transport.pause_reading()
        for number in range(400):
            client.send(*read_command(number))
        await asyncio.sleep(2.5)
        return len(fleet.nodes[0].received), len(fleet.server.listener.clients)

    received, clients = with_fleet(scenario)
    assert received < 200 and clients == 0


def test_no_attempt_starts_for_a_client_that_closed(with_fleet):
    """On the platform, nodes reject requests of clients that have closed.

    Such rejections made a healthy node look overloaded.
    """

    async def scenario(fleet):
        client = await fleet.client()
        fleet.nodes[0].script = lambda arguments: [0.1, b"-BUSY\r\n"]
        client.send(*read_command(1))
        await asyncio.sleep(0.05)
        client.close()
        await asyncio.sleep(0.3)
        return len(fleet.nodes[0].received), len(fleet.server.operations), len(fleet.server.listener.clients)

    assert with_fleet(scenario) == (1, 0, 0)


def test_no_state_is_kept_for_a_client_that_left(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: ["hang"]
        client = await fleet.client()
        client.send(*read_command(1, time_left=600))
        await asyncio.sleep(0.05)
        client.close()
        await asyncio.sleep(0.9)
        return len(fleet.server.operations), len(fleet.server.scheduler.operations), fleet.nodes[0].running

    assert with_fleet(scenario) == (0, 0, 0)


def test_an_attempt_carries_at_most_the_time_left(with_fleet):
    async def scenario(fleet):
        client = await fleet.client()
        await client.request(*read_command(1, time_left=480))
        return int(option_of(fleet.nodes[0].received[0], "d"))

    assert 0 < with_fleet(scenario) <= 480


def test_accepting_resumes_soon_after_descriptors_ran_out(with_fleet):
    class ExhaustedSocket:
        """A listening socket that reports EMFILE until a given time."""

        def __init__(self, sock, until):
            self.sock, self.until, self.asked = sock, until, 0

        def __getattr__(self, name):
            return getattr(self.sock, name)

        def accept(self):
            self.asked += 1
            if time.monotonic() < self.until:
                raise OSError(errno.EMFILE, "too many open files")
            return self.sock.accept()

    async def scenario(fleet):
        exhausted = fleet.server.listener.listening_socket = ExhaustedSocket(
            fleet.server.listener.listening_socket, time.monotonic() + 0.35
        )
        begun = time.monotonic()
        answer = await (await fleet.client()).request(*read_command(1))
        return answer, time.monotonic() - begun, exhausted.asked

    answer, took, asked = with_fleet(scenario)
    assert answer == ("$", b"data") and took < 0.7 and asked < 12


TIME_LEFT = 0.48


@pytest.mark.parametrize("silent", [500, 800])
def test_a_request_behind_a_crowd_of_silent_connections_is_answered_in_time(with_process, silent):
    """Guards against a crowd of which each part waits for the part before it to be evicted."""

    async def scenario(fleet):
        await fleet.client()  # the gateway listens
        crowd = []
        for _ in range(silent):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", fleet.port))
            crowd.append(sock)
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        client = await fleet.connect_once()
        reply = await client.request(*read_command(1, time_left=round(TIME_LEFT * 1_000)))
        answered_after = loop.time() - begun_at
        for sock in crowd:
            sock.close()
        return reply, answered_after

    reply, answered_after = with_process(scenario, sockets=256)
    assert reply is not None and answered_after < TIME_LEFT + ANSWER_SLACK
