"""Clients of every kind on loopback: replies, bounds, timeouts, eviction."""

import asyncio
import errno
import time

import pytest

from rushmux.gateway import client_connection, eviction
from rushmux.resp import encode_command
from rushmux.standins.platform import option_of, read_command, success_reply, write_command


def test_greetings(staged):
    async def scenario(stage):
        client = await stage.client()
        return [
            await client.request(*words)
            for words in (
                [b"PING"],
                [b"ping"],
                [b"CLIENT", b"SETNAME", b"x"],
                [b"SELECT", b"0"],
                [b"HELLO", b"3"],
                [b"GET", b"x"],
            )
        ]

    assert staged(scenario) == [
        ("+", b"PONG"),
        ("+", b"PONG"),
        ("+", b"OK"),
        ("+", b"OK"),
        ("-", b"ERR unknown command"),
        ("-", b"ERR unknown command"),
    ]


def test_operations_are_served_while_discovery_is_silent(staged):
    async def scenario(stage):
        stage.discovery.is_silent = True
        client = await stage.client()
        return (
            await client.request(b"PING"),
            await client.request(*read_command(1)),
            await client.request(*write_command(2)),
        )

    assert staged(scenario) == (("+", b"PONG"), ("$", b"data"), ("$", b"data"))


def test_replies_are_sent_in_the_order_of_the_commands(staged):
    async def scenario(stage):
        stage.nodes[0].script = lambda words: [
            0.15 if words[2][-1:] == b"1" else 0.0,
            success_reply(words[2]),
        ]
        client = await stage.client()
        client.send(*read_command(1))
        client.send(*read_command(2))
        client.send(b"PING")
        return [await client.reply() for _ in range(3)]

    assert staged(scenario) == [("$", b"%016x" % 1), ("$", b"%016x" % 2), ("+", b"PONG")]


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
def test_malformed_input_gets_an_error_behind_the_pending_replies_and_then_a_close(staged, malformed):
    async def scenario(stage):
        stage.nodes[0].script = lambda words: [0.1, success_reply()]
        client, usual = await stage.client(), await stage.client()
        client.send(*read_command(1))
        client.writer.write(malformed)
        replies = [await client.reply() for _ in range(3)]
        return replies, await usual.request(*read_command(2)), len(stage.nodes[0].received)

    replies, usual, got = staged(scenario)
    assert replies[0] == ("$", b"data") and replies[1][0] == "-" and replies[2] is None
    assert usual == ("$", b"data") and got == 2


def test_an_invalid_command_reaches_no_node_and_the_third_ends_the_connection(staged):
    async def scenario(stage):
        client = await stage.client()
        replies = [await client.request(*read_command(number, request_class="none")) for number in range(3)]
        return [kind for kind, _ in replies], await client.reply(), stage.nodes[0].received

    assert staged(scenario) == (["-"] * 3, None, [])


def test_the_id_of_an_operation_in_flight_is_rejected_and_the_operation_unharmed(staged):
    async def scenario(stage):
        stage.nodes[0].script = lambda words: [0.1, success_reply()]
        usual, other = await stage.client(), await stage.client()
        usual.send(*read_command(1))
        await asyncio.sleep(0.03)
        return (await other.request(*read_command(1)))[0], await usual.reply(), len(stage.nodes[0].received)

    assert staged(scenario) == ("-", ("$", b"data"), 1)


@pytest.mark.parametrize("begun", [b"", b"*2\r\n$4\r\nPI", b"*4\r\n$8\r\nBLK.READ\r\n"])
def test_a_client_that_sends_no_complete_command_gets_an_error_and_a_close_within_three_seconds(
    staged, begun
):
    async def scenario(stage):
        client, began = await stage.client(), time.monotonic()
        client.writer.write(begun)
        reply = await client.reply()
        return reply, await client.reply(), time.monotonic() - began

    reply, end, took = staged(scenario)
    assert reply[0] == "-" and end is None and 1 < took < 2.5


def test_a_command_that_trickles_in_byte_by_byte_times_out_too(staged):
    async def scenario(stage):
        client = await stage.client()
        await client.request(b"PING")
        begun = time.monotonic()
        told = asyncio.ensure_future(client.reply())
        for byte in encode_command(read_command(1))[:60]:
            client.writer.write(bytes([byte]))
            await asyncio.sleep(0.05)
            if told.done():
                break
        return (await told)[0], await client.reply(), time.monotonic() - begun

    kind, end, took = staged(scenario)
    assert kind == "-" and end is None and took < 2.5


def test_invalid_commands_repeated_at_full_speed_do_not_starve_other_clients(staged):
    async def scenario(stage):
        stop, repeats, times = False, 0, []

        async def spam():
            nonlocal repeats
            while not stop:
                client = await stage.client()
                while not stop and await client.request(
                    *read_command(repeats + 50_000, request_class="none")
                ):
                    repeats += 1

        tasks = [asyncio.ensure_future(spam()) for _ in range(8)]
        usual = await stage.client()
        for number in range(30):
            begun = time.monotonic()
            answer = await usual.request(*read_command(number + 1))
            times.append((answer, time.monotonic() - begun))
        stop = True
        await asyncio.gather(*tasks)
        return repeats, {answer for answer, _ in times}, sorted(took for _, took in times)[15]

    repeats, answers, median = staged(scenario)
    assert repeats > 200 and answers == {("$", b"data")} and median < 0.1


def test_hundreds_of_pipelined_commands_are_bounded_in_flight_and_all_answered(staged):
    async def scenario(stage):
        stage.nodes[0].script = lambda words: [0.005, success_reply()]
        client, most = await stage.client(), 0
        client.writer.write(
            b"".join(encode_command(read_command(number, time_left=900)) for number in range(600))
        )
        kinds = []
        for _ in range(600):
            kinds.append((await client.reply())[0])
            most = max(most, len(stage.server.operations))
        return kinds, most

    kinds, most = staged(scenario)
    assert len(kinds) == 600 and kinds.count("$") > 50 and most <= client_connection.MAX_PENDING_REPLIES


def test_idle_and_silent_clients_are_evicted_where_places_run_out(staged, monkeypatch):
    """Seen on the platform's churn day: nothing was closed, and descriptors ran out."""
    monkeypatch.setattr(eviction, "SHORT_IDLE_TIMEOUT", 0.2)

    async def scenario(stage):
        most = stage.server.listener.max_clients
        for _ in range(most):  # they ask once and stay
            await (await stage.client()).request(b"PING")
        await asyncio.sleep(0.5)
        held = len(stage.server.listener.clients)
        for _ in range(most * 2):  # they say nothing
            await stage.client()
        usual = await stage.client()
        answer = await usual.request(*read_command(1))
        return most, held, len(stage.server.listener.clients), answer

    most, held, now, answer = staged(scenario, sockets=64)
    assert held < most and now <= most and answer == ("$", b"data")


def test_clients_that_only_sent_ping_are_evicted_for_newcomers_at_once(staged):
    """Seen in a recorded day: such clients held all places, and 900 newcomers a second were rejected.

    A client that requested an operation keeps its place for the two seconds that the protocol grants.
    """

    async def scenario(stage):
        most, answers = stage.server.listener.max_clients, []
        busy, asked = await stage.client(), await stage.client()
        stage.nodes[0].script = lambda words: [0.15 if words[2][-1:] == b"f" else 0.0, success_reply()]
        await asked.request(*read_command(1))
        busy.send(*read_command(0xF))
        for _ in range(most * 3):
            answers.append(await (await stage.client()).request(b"PING"))
        usual = await (await stage.client()).request(*read_command(2))
        return (
            {kind for kind, _ in answers},
            usual,
            await busy.reply(),
            await asked.request(*read_command(3)),
            len(stage.server.listener.clients) <= most,
        )

    data = ("$", b"data")
    assert staged(scenario, sockets=64) == ({"+"}, data, data, data, True)


def test_a_client_that_does_not_read_is_bounded_and_then_aborted(staged, monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_UNREAD_REPLY_BYTES", 1 << 16)
    monkeypatch.setattr(client_connection, "UNREAD_REPLIES_TIMEOUT", 0.5)

    async def scenario(stage):
        stage.nodes[0].script = lambda words: [success_reply(b"x" * 65_536)]
        client = await stage.client()
        client.writer.transport.pause_reading()
        for number in range(400):
            client.send(*read_command(number))
        await asyncio.sleep(2.5)
        return len(stage.nodes[0].received), len(stage.server.listener.clients)

    got, clients = staged(scenario)
    assert got < 200 and clients == 0


def test_no_attempt_starts_for_a_client_that_closed(staged):
    """Seen on the platform: impatient clients close, nodes then reject their requests.

    A node that served everybody else well was taken for overloaded.
    """

    async def scenario(stage):
        client = await stage.client()
        stage.nodes[0].script = lambda words: [0.1, b"-BUSY\r\n"]
        client.send(*read_command(1))
        await asyncio.sleep(0.05)
        client.close()
        await asyncio.sleep(0.3)
        return len(stage.nodes[0].received), len(stage.server.operations), len(stage.server.listener.clients)

    assert staged(scenario) == (1, 0, 0)


def test_a_client_that_leaves_has_no_state_left_behind(staged):
    async def scenario(stage):
        stage.nodes[0].script = lambda words: ["hang"]
        client = await stage.client()
        client.send(*read_command(1, time_left=600))
        await asyncio.sleep(0.05)
        client.close()
        await asyncio.sleep(0.9)
        return len(stage.server.operations), len(stage.server.scheduler.operations), stage.nodes[0].running

    assert staged(scenario) == (0, 0, 0)


def test_the_node_is_told_the_time_left(staged):
    async def scenario(stage):
        client = await stage.client()
        await client.request(*read_command(1, time_left=480))
        return int(option_of(stage.nodes[0].received[0], "d"))

    assert 0 < staged(scenario) <= 480


def test_accepting_resumes_soon_after_descriptors_ran_out(staged):
    class Short:
        """A listening socket whose process has no descriptor left, for a while."""

        def __init__(self, sock, until):
            self.sock, self.until, self.asked = sock, until, 0

        def __getattr__(self, name):
            return getattr(self.sock, name)

        def accept(self):
            self.asked += 1
            if time.monotonic() < self.until:
                raise OSError(errno.EMFILE, "too many open files")
            return self.sock.accept()

    async def scenario(stage):
        short = stage.server.listener.listening_socket = Short(
            stage.server.listener.listening_socket, time.monotonic() + 0.35
        )
        begun = time.monotonic()
        answer = await (await stage.client()).request(*read_command(1))
        return answer, time.monotonic() - begun, short.asked

    answer, took, asked = staged(scenario)
    assert answer == ("$", b"data") and took < 0.7 and asked < 12
