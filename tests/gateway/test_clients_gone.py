"""Clients that close their connection while the gateway has not read all that they sent.

The end of the stream lies behind the unread bytes. While the receive window is full it has not even arrived,
so that the system can't report it; the gateway finds it by reading on. A client that closed behind 120 writes
was served for 3 more seconds, with 30 attempts.
"""

import asyncio
import select
import socket
import struct
import time

import pytest

from rushmux.gateway.client_connection import MAX_PENDING_REPLIES, MAX_UNREAD_REPLY_BYTES, RESET_TIME
from rushmux.gateway.listener import RECEIVE_SIZE
from rushmux.gateway.paused_clients import has_peer_closed
from rushmux.resp import encode_command
from rushmux.standins.gateway_soak_judge import DISCONNECT_SLACK, TIME_SLACK
from rushmux.standins.loop_lag import LoopLagWatch
from rushmux.standins.platform import option_of, read_command, success_reply, wait_until, write_command
from rushmux.standins.platform.scheduling_delay import SchedulingDelayWatch

TCP_ESTABLISHED, TCP_CLOSE_WAIT = 1, 8
TIME_LEFT = 1_000
CELLS, HANGING_CELL = 8, 0
OBSERVED_TIME = 2.5
"""Seconds; the commands taken up after the first ones' deadline would be served in it."""


class SocketTransport:
    """The part of a transport that `has_peer_closed` uses."""

    def __init__(self, sock):
        self.sock = sock

    def get_extra_info(self, name):
        return self.sock


def send_until_blocked(sock, data):
    """Sends as much as the system takes; returns the number of bytes."""
    sock.setblocking(False)
    sent = 0
    while sent < len(data):
        try:
            sent += sock.send(data[sent:])
        except BlockingIOError:
            break
    return sent


def socket_state(sock):
    """Returns the TCP state, the pending error and whether the poll reports a close by the peer."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return (
        sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0],
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
        bool(poll.poll(0)),
    )


@pytest.fixture
def connected():
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
        with client, accepted:
            yield client, accepted


def test_a_close_behind_a_full_receive_window_is_reported_only_once_the_bytes_were_read(connected):
    client, accepted = connected
    sent = send_until_blocked(client, bytes(32 << 20))
    client.close()
    time.sleep(0.1)
    assert socket_state(accepted) == (TCP_ESTABLISHED, 0, False)
    assert not has_peer_closed(SocketTransport(accepted))
    while sent:
        sent -= len(accepted.recv(1 << 18))
    asyncio.run(wait_until(lambda: has_peer_closed(SocketTransport(accepted))))
    assert socket_state(accepted) == (TCP_CLOSE_WAIT, 0, True)


def test_a_close_behind_unread_bytes_that_fit_into_the_receive_window_is_reported(connected):
    client, accepted = connected
    client.send(bytes(10_000))
    client.close()
    asyncio.run(wait_until(lambda: has_peer_closed(SocketTransport(accepted))))
    assert socket_state(accepted) == (TCP_CLOSE_WAIT, 0, True)


def test_a_reset_behind_unread_bytes_is_reported(connected):
    client, accepted = connected
    send_until_blocked(client, bytes(32 << 20))
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()
    asyncio.run(wait_until(lambda: has_peer_closed(SocketTransport(accepted))))


def cell_of(number):
    # The first command of a client hangs, so that the replies to the others wait behind its own.
    return HANGING_CELL if number == 0 else 1 + number % (CELLS - 1)


def writes_of(first, count):
    return b"".join(
        encode_command(
            write_command(first + number, cell=cell_of(number), time_left=TIME_LEFT, data=b"x" * 32_768)
        )
        for number in range(count)
    )


def reads_of(first, count):
    return b"".join(
        encode_command(read_command(first + number, cell=cell_of(number), time_left=TIME_LEFT))
        for number in range(count)
    )


@pytest.mark.parametrize(
    "clients, commands_of, count",
    [(1, writes_of, 120), (4, writes_of, 120), (1, reads_of, 40_000), (4, reads_of, 10_000)],
    ids=["writes", "writes-of-many", "reads", "reads-of-many"],
)
def test_no_attempt_begins_for_clients_that_closed_behind_unread_bytes(
    with_process, clients, commands_of, count
):
    """Guards against serving clients whose close lies behind bytes that are not read."""

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        arrivals = []

        def serve_and_record(arguments):
            arrivals.append(loop.time())
            return ["hang"] if option_of(arguments, "shard") == str(HANGING_CELL) else [success_reply()]

        fleet.node.script = serve_and_record
        lag_watch = LoopLagWatch()
        lag_task = asyncio.create_task(lag_watch.run())
        delay_watch = SchedulingDelayWatch(fleet.process.pid)
        delay_task = asyncio.create_task(delay_watch.run())
        await fleet.client()  # the gateway listens
        socks = [socket.create_connection(("127.0.0.1", fleet.port)) for _ in range(clients)]
        for index, sock in enumerate(socks):
            send_until_blocked(sock, commands_of(1 + index * count, count))
        await asyncio.sleep(0.02)
        for sock in socks:
            sock.close()
        closed_at = loop.time()
        await asyncio.sleep(OBSERVED_TIME)
        lag_task.cancel()
        delay_task.cancel()
        # On a busy machine the gateway may be ready to read and get no processor.
        elapsed = [at - closed_at - delay_watch.between(closed_at, at) for at in arrivals if at > closed_at]
        latest = DISCONNECT_SLACK + TIME_SLACK + lag_watch.longest
        return len(arrivals), [round(seconds, 3) for seconds in elapsed if seconds > latest]

    options = {"sockets": 1_024, "deadline": TIME_LEFT, "objective": TIME_LEFT // 2, "MostHeld": 20_000}
    begun, late = with_process(scenario, nodes=CELLS, shards=CELLS, memory_mb=128, **options)
    assert begun > 0 and late == []


SERVICE_TIME = 0.08
FURTHER_BYTES = 8_000_000
SEND_TIME = 0.05


def repeated(data):
    return data * (FURTHER_BYTES // len(data))


FURTHER_INPUT = {
    "noise": repeated(b"\xff"),
    "unknown-commands": repeated(encode_command([b"GET", b"name"])),
    "invalid-reads": repeated(encode_command([b"BLK.READ", b"no id"])),
    "pings": repeated(encode_command([b"PING"])),
    "large-writes": repeated(encode_command(write_command(1, cell=1, data=b"x" * 65_536))),
}


@pytest.mark.parametrize("further_input", FURTHER_INPUT.values(), ids=FURTHER_INPUT)
def test_no_attempt_begins_for_a_client_that_closed_behind_input_that_is_not_served(
    with_process, further_input
):
    """Guards against reading no further for a client with operations in flight, whatever it sends.

    A client sent 60 reads and 8 MB of noise and closed: after a protocol error the gateway discarded 1 MB and
    read no more, so that the close stood behind a full receive window, and 39 attempts began up to 0.47 s
    after it.
    """

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        arrivals = []

        def serve_and_record(arguments):
            arrivals.append(loop.time())
            is_hanging = option_of(arguments, "shard") == str(HANGING_CELL)
            return ["hang"] if is_hanging else [SERVICE_TIME, success_reply()]

        fleet.node.script = serve_and_record
        lag_watch = LoopLagWatch()
        lag_task = asyncio.create_task(lag_watch.run())
        await fleet.client()  # the gateway listens
        commands = [
            read_command(1 + number, cell=min(number, 1), time_left=TIME_LEFT) for number in range(60)
        ]
        data = memoryview(b"".join(map(encode_command, commands)) + further_input)
        with socket.create_connection(("127.0.0.1", fleet.port)) as sock:
            until = loop.time() + SEND_TIME
            while loop.time() < until:
                data = data[send_until_blocked(sock, data) :]
                await asyncio.sleep(0.001)
        closed_at = loop.time()
        await asyncio.sleep(OBSERVED_TIME)
        lag_task.cancel()
        latest = closed_at + DISCONNECT_SLACK + TIME_SLACK + lag_watch.longest
        return len(arrivals), [round(at - closed_at, 3) for at in arrivals if at > latest]

    options = {"sockets": 1_024, "deadline": TIME_LEFT, "objective": TIME_LEFT // 2, "MostHeld": 20_000}
    begun, late = with_process(scenario, nodes=CELLS, shards=CELLS, memory_mb=128, **options)
    assert begun > 0 and late == []


@pytest.mark.parametrize("commands_of, count", [(writes_of, 300), (reads_of, 9_000)], ids=["writes", "reads"])
def test_a_client_that_stays_gets_a_reply_to_each_command_and_is_served_afterwards(
    with_fleet, commands_of, count
):
    async def scenario(fleet):
        for node in fleet.nodes:
            node.script = lambda arguments: [success_reply()]
        fleet.nodes[HANGING_CELL].script = lambda arguments: ["hang"]
        client = await fleet.client()
        client.writer.write(commands_of(1, count))
        replies = [await client.reply() for _ in range(count)]
        await asyncio.sleep(2 * RESET_TIME)
        last = await client.request(*read_command(1 + count, cell=1))
        listener = fleet.server.listener
        return replies, last, listener.reply_budget.held, listener.read_ahead_bytes

    options = {"deadline": TIME_LEFT, "objective": TIME_LEFT // 2, "MostHeld": 20_000}
    replies, last, *held = with_fleet(scenario, nodes=CELLS, shards=CELLS, **options)
    kinds = [(kind, value[:4]) for kind, value in replies]
    assert kinds[1:50].count(("$", b"data")) > 30 and kinds.count(("-", b"BUSY")) > count / 2
    assert last == ("$", b"data") and held == [0, 0]


def test_a_client_that_sends_on_and_stays_has_its_operations_withdrawn_and_gets_every_reply(with_fleet):
    """Guards against replies that are lost as operations are withdrawn from a client that has not gone."""
    pings = 100_000

    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: ["hang"]
        client = await fleet.client()
        client.writer.write(
            b"".join(encode_command(read_command(number, time_left=5_000)) for number in range(1, 21))
            + encode_command([b"PING"]) * pings
        )
        replies = [await client.reply() for _ in range(20 + pings)]
        attempts = fleet.server.scheduler.operations
        await asyncio.sleep(2 * RESET_TIME)
        fleet.nodes[0].script = lambda arguments: [success_reply()]
        return replies, len(attempts), await client.request(*read_command(100))

    options = {"deadline": 5_000, "objective": TIME_LEFT, "MostHeld": 20_000}
    replies, unfinished, last = with_fleet(scenario, nodes=1, **options)
    withdrawn = [value for _, value in replies[:20]]
    assert sorted(set(withdrawn)) == [b"BUSY", b"ERR failed"]
    assert withdrawn.count(b"ERR failed") == unfinished  # their attempts run on at the node
    assert set(replies[20:]) == {("+", b"PONG")}
    assert last == ("$", b"data")


def test_replies_to_commands_that_are_shed_have_a_bound(with_fleet):
    pings = encode_command([b"PING"]) * 500_000

    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: ["hang"]
        client = await fleet.client()
        client.writer.write(encode_command(read_command(1, time_left=5_000)) + pings)
        [connection] = fleet.server.listener.clients
        # Otherwise the operation is answered before so many commands are read, and no reply is held back.
        fleet.server.listener.on_withdrawn = lambda op_id: None
        await wait_until(lambda: connection.held_reply_bytes >= MAX_UNREAD_REPLY_BYTES, within=4.0)
        await asyncio.sleep(0.1)
        return connection.held_reply_bytes, len(connection.pending_replies)

    options = {"deadline": 5_000, "objective": TIME_LEFT, "MostHeld": 20_000}
    held, count = with_fleet(scenario, nodes=1, **options)
    one_read = len(b"+PONG\r\n") * RECEIVE_SIZE // len(encode_command([b"PING"]))
    assert MAX_UNREAD_REPLY_BYTES <= held <= MAX_UNREAD_REPLY_BYTES + one_read
    assert count <= MAX_PENDING_REPLIES + 1
