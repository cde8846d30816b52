"""Shutdown: each command that is read after SIGTERM gets exactly one reply before SIGKILL may come.

Failures on fleet days: with deadlines over 3.3 s, after which operations are aborted, some were in flight at
SIGKILL (seed 90002), because the abort timer had a number as its callback; connections in the accept queue
were reset when the listener closed; commands sent right after a reply were never read. The gateway counts
neither of the last two, so the tests count the complete commands that clients wrote.
"""

import asyncio
import signal
import socket

import pytest

from rushmux.resp import encode_command
from rushmux.standins.platform import FakeDiscovery, read_command, success_reply

SEND_INTERVAL = 0.05  # seconds between two commands on a connection
PAUSE_TIME = 0.15  # seconds for which the process is suspended
KILL_MARGIN = 0.7  # seconds after the longest deadline (3 s at most) until SIGKILL may come
CLOSE_MARGIN = 0.05  # seconds before a close in which a command may arrive too late, on a busy machine


class RequestingClient:
    """A client that records when it sent commands and received replies."""

    def __init__(self, port):
        self.port, self.sent_at, self.replies, self.client, self.ended = port, [], [], None, False
        self.task = self.ended_at = None

    def unanswered(self):
        """Returns the send times of unanswered commands, except those within CLOSE_MARGIN of the close."""
        return [at for at in self.sent_at[len(self.replies) :] if at < self.ended_at - CLOSE_MARGIN]

    async def open(self, client):
        self.client = client
        self.task = asyncio.ensure_future(self.listen())

    async def listen(self):
        try:
            while (reply := await self.client.reply(within=10)) is not None:
                self.replies.append((asyncio.get_running_loop().time(), reply))
        finally:
            self.ended, self.ended_at = True, asyncio.get_running_loop().time()

    def request(self, *numbers, deadline):
        if not self.ended:
            self.sent_at += [asyncio.get_running_loop().time()] * len(numbers)
            self.client.writer.write(
                b"".join(encode_command(read_command(number, time_left=deadline)) for number in numbers)
            )


@pytest.mark.parametrize(
    "deadline, pauses",
    [
        # The last pause ends over 0.3 s before SIGKILL may come, which leaves a busy machine enough time.
        (100, (0.3,)),
        (300, ()),
        (1_000, (0.45,)),
        (2_000, (1.4, 2.25)),
        (6_700, (0.2, 2.45, 3.2)),
        (10_000, (2.4, 3.25)),
    ],
)
def test_each_command_after_sigterm_is_answered_before_sigkill_or_never_read(with_process, deadline, pauses):
    killed_after = min(3.0, deadline / 1000) + KILL_MARGIN

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        # A third is answered at once, a third late and a third never; these must be aborted in time.
        fleet.node.script = lambda arguments: [[success_reply()], [0.4, success_reply()], ["hang"]][
            int(arguments[2], 16) % 3
        ]
        idle, busy, pipe = (
            RequestingClient(fleet.port),
            RequestingClient(fleet.port),
            RequestingClient(fleet.port),
        )
        for one in (idle, busy, pipe):
            await one.open(await fleet.client())
        busy.request(1, deadline=deadline)  # answered late
        clients, number = [idle, busy, pipe], 10
        begun = loop.time()
        fleet.process.send_signal(signal.SIGTERM)
        for at in pauses:
            loop.call_at(begun + at, fleet.process.send_signal, signal.SIGSTOP)
            loop.call_at(begun + at + PAUSE_TIME, fleet.process.send_signal, signal.SIGCONT)
        while loop.time() < begun + killed_after:
            number += 3
            if len(idle.replies) == len(idle.sent_at):
                idle.request(number, deadline=deadline)
            busy.request(number + 1, deadline=deadline)
            pipe.request(1000 + 3 * number, 1001 + 3 * number, deadline=deadline)
            try:
                new = RequestingClient(fleet.port)
                await new.open(await asyncio.wait_for(fleet.connect_once(), SEND_INTERVAL))
                clients.append(new)
                new.request(number + 2, deadline=deadline)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(SEND_INTERVAL)
        # Collects the remaining replies up to the end of each connection.
        log = (await fleet.process.stderr.read()).decode()
        code, ended = await fleet.process.wait(), loop.time() - begun
        await asyncio.gather(*(one.task for one in clients))
        replies = [answer for one in clients for answer in one.replies]
        return replies, log, code, ended, begun, [at - begun for one in clients for at in one.unanswered()]

    replies, log, code, ended, begun, lost = with_process(scenario, deadline=deadline)
    last = log.splitlines()[-1]
    assert code == 0 and "fault" not in log and "Traceback" not in log
    assert ended < killed_after + 0.5  # allows for the exit of the interpreter
    # Each accepted operation is answered exactly once.
    assert f"taken={len(replies)} open=0" in last, (last, len(replies))
    assert max(at for at, _ in replies) - begun < killed_after
    assert not lost, lost


async def connect_and_send(fleet, *commands):
    """Connects a client and writes commands, without waiting until the gateway has accepted it."""
    client = await fleet.connect_once()
    client.writer.write(b"".join(map(encode_command, commands)))
    return client


async def replies_until_end(client):
    """Returns all replies until the connection ends, followed by None if it was reset."""
    replies = []
    while (reply := await client.reply(within=6)) is not None:
        replies.append(reply)
    return replies + [None] * client.was_reset


@pytest.mark.parametrize("client_count", [1, 100])
def test_connections_in_the_accept_queue_when_the_listener_closes_are_answered(with_process, client_count):
    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        fleet.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.25)  # within ACCEPT_TIME
        fleet.process.send_signal(signal.SIGSTOP)
        clients = [
            await connect_and_send(fleet, read_command(number, time_left=2_000))
            for number in range(client_count)
        ]
        await asyncio.sleep(0.4)  # past the end of ACCEPT_TIME
        fleet.process.send_signal(signal.SIGCONT)
        return await asyncio.gather(*map(replies_until_end, clients)), await fleet.process.wait()

    assert with_process(scenario, deadline=2_000) == ([[("$", b"data")]] * client_count, 0)


def test_commands_past_the_limit_of_pending_replies_are_answered_at_shutdown(with_process):
    asked = 150  # more than MAX_PENDING_REPLIES

    async def scenario(fleet):
        fleet.node.script = lambda arguments: ["hang"]
        await (await fleet.client()).request(b"PING")
        client = await connect_and_send(
            fleet, *(read_command(number, time_left=9_000) for number in range(asked))
        )
        await asyncio.sleep(0.2)
        fleet.process.send_signal(signal.SIGTERM)
        return await replies_until_end(client)

    replies = with_process(scenario, deadline=9_000)
    assert [kind for kind, _ in replies] == ["-"] * asked


def test_a_valid_command_after_invalid_ones_is_answered(with_process):
    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        bad = [read_command(number, request_class="none") for number in range(3)]
        return await replies_until_end(await connect_and_send(fleet, *bad, read_command(4)))

    replies = with_process(scenario)
    assert [kind for kind, _ in replies] == ["-", "-", "-", "$"]


@pytest.mark.parametrize("deadline", [1_000, 6_000])
def test_a_client_that_sends_a_command_right_after_each_reply_is_served_through_the_shutdown(
    with_process, deadline
):

    async def scenario(fleet):
        loop, unanswered, served_by = asyncio.get_running_loop(), 0, []
        fleet.node.script = lambda arguments: [0.03, success_reply()]
        clients = [await fleet.client() for _ in range(10)]
        fleet.process.send_signal(signal.SIGTERM)
        begun = loop.time()

        async def request_repeatedly(client, number):
            nonlocal unanswered
            while True:
                number += 100
                try:
                    reply = await client.request(*read_command(number, time_left=deadline))
                except ConnectionError:
                    return
                if reply is None:
                    unanswered += 1
                    return
                served_by.append(loop.time() - begun)

        await asyncio.gather(*(request_repeatedly(client, place) for place, client in enumerate(clients)))
        await fleet.process.wait()
        return unanswered, max(served_by), len(clients)

    unanswered, last, clients = with_process(scenario, deadline=deadline)
    killed_after = min(3.0, deadline / 1000) + KILL_MARGIN
    # At most one command per client arrives during the close, which comes shortly before SIGKILL may.
    assert unanswered <= clients and killed_after - 0.3 < last < killed_after


def test_a_reload_during_shutdown_does_not_disturb_it(with_process):
    async def scenario(fleet):
        other = FakeDiscovery()
        await other.open()
        other.update(*fleet.discovery.rows.values())
        client = await fleet.client()
        assert await client.request(*read_command(1)) == ("$", b"data")
        fleet.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        fleet.write_config(discovery=other.port)
        fleet.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        answer = await client.request(*read_command(2))
        log = (await fleet.process.stderr.read()).decode()
        other.close()
        return answer, len(other.requests) > 0, "fault" in log, await fleet.process.wait()

    assert with_process(scenario) == (("$", b"data"), True, False, 0)


def test_large_replies_are_sent_completely_while_their_connection_ends(with_process):
    value, asked = bytes(900_000), 5

    async def scenario(fleet):
        fleet.node.script = lambda arguments: [
            0.6,
            success_reply(value),
        ]  # the connection starts to close 0.5 s after SIGTERM
        client = await fleet.client()
        client.writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536
        )
        client.writer.write(b"".join(encode_command(read_command(number)) for number in range(asked)))
        await asyncio.sleep(0.05)
        client.writer.transport.pause_reading()  # simulates a slow reader
        fleet.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.1)
        client.writer.transport.resume_reading()
        return [await client.reply() for _ in range(asked)]

    assert with_process(scenario) == [("$", value)] * asked
