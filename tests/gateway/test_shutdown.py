"""From SIGTERM to the end: whatever is read gets its one answer before SIGKILL may come.

Seen on a fleet day (seed 90002): with deadlines over the 3.3 s after which all operations are aborted, some
were still in flight at SIGKILL; the timer that should have aborted them called a number.

Seen on other days: connections that the system had accepted were reset when the listener closed, and commands
right behind a reply were never read.  The program's own count knows of neither: complete commands that
clients wrote are counted here.
"""

import asyncio
import signal
import socket

import pytest

from rushmux.resp import encode_command
from rushmux.standins.platform import FakeDiscovery, read_command, success_reply

STEP = 0.05  # seconds between two commands on each kind of connection
PAUSE = 0.15  # seconds for which the process stands still
GRACE = 0.7  # seconds past the longest hard stop, 3 s at most, until SIGKILL may come
CROSSING = 0.05  # seconds before a connection's end in which a command may cross it, on a busy machine


class Asker:
    """A client that asks, reads all that comes, and counts."""

    def __init__(self, port):
        self.port, self.asks, self.answers, self.client, self.ended = port, [], [], None, False
        self.task = self.ended_at = None

    def unanswered(self):
        """When each command was written that got no reply and did not cross the connection's end."""
        return [at for at in self.asks[len(self.answers) :] if at < self.ended_at - CROSSING]

    async def open(self, client):
        self.client = client
        self.task = asyncio.ensure_future(self.listen())

    async def listen(self):
        try:
            while (reply := await self.client.reply(within=10)) is not None:
                self.answers.append((asyncio.get_running_loop().time(), reply))
        finally:
            self.ended, self.ended_at = True, asyncio.get_running_loop().time()

    def request(self, *numbers, deadline):
        if not self.ended:
            self.asks += [asyncio.get_running_loop().time()] * len(numbers)
            self.client.writer.write(
                b"".join(encode_command(read_command(number, time_left=deadline)) for number in numbers)
            )


@pytest.mark.parametrize(
    "deadline, pauses",
    [
        # The last stand-still is over 0.3 s before SIGKILL may come: a busy machine takes its part of that.
        (100, (0.3,)),
        (300, ()),
        (1_000, (0.45,)),
        (2_000, (1.4, 2.25)),
        (6_700, (0.2, 2.45, 3.2)),
        (10_000, (2.4, 3.25)),
    ],
)
def test_each_command_after_sigterm_is_answered_before_sigkill_or_never_read(with_process, deadline, pauses):
    killed_after = min(3.0, deadline / 1000) + GRACE

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        # A third is answered at once, a third late, a third never: those must be ended in time.
        fleet.node.script = lambda arguments: [[success_reply()], [0.4, success_reply()], ["hang"]][
            int(arguments[2], 16) % 3
        ]
        idle, busy, pipe = Asker(fleet.port), Asker(fleet.port), Asker(fleet.port)
        for one in (idle, busy, pipe):
            await one.open(await fleet.client())
        busy.request(1, deadline=deadline)  # answered late
        askers, number = [idle, busy, pipe], 10
        begun = loop.time()
        fleet.process.send_signal(signal.SIGTERM)
        for at in pauses:
            loop.call_at(begun + at, fleet.process.send_signal, signal.SIGSTOP)
            loop.call_at(begun + at + PAUSE, fleet.process.send_signal, signal.SIGCONT)
        while loop.time() < begun + killed_after:
            number += 3
            if len(idle.answers) == len(idle.asks):
                idle.request(number, deadline=deadline)
            busy.request(number + 1, deadline=deadline)
            pipe.request(1000 + 3 * number, 1001 + 3 * number, deadline=deadline)
            try:
                new = Asker(fleet.port)
                await new.open(await asyncio.wait_for(fleet.connect_once(), STEP))
                askers.append(new)
                new.request(number + 2, deadline=deadline)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(STEP)
        # Anything still on its way comes with the end of each connection.
        log = (await fleet.process.stderr.read()).decode()
        code, ended = await fleet.process.wait(), loop.time() - begun
        await asyncio.gather(*(one.task for one in askers))
        answers = [answer for one in askers for answer in one.answers]
        return answers, log, code, ended, begun, [at - begun for one in askers for at in one.unanswered()]

    answers, log, code, ended, begun, lost = with_process(scenario, deadline=deadline)
    last = log.splitlines()[-1]
    assert code == 0 and "fault" not in log and "Traceback" not in log
    assert ended < killed_after + 0.5  # the interpreter takes its time to end
    # Each that was taken is answered, and no connection is answered on more often.
    assert f"taken={len(answers)} open=0" in last, (last, len(answers))
    assert max(at for at, _ in answers) - begun < killed_after
    assert not lost, lost


async def asking(fleet, *commands):
    """A client that the system connected, with whole commands written; nobody need have accepted it."""
    client = await fleet.connect_once()
    client.writer.write(b"".join(map(encode_command, commands)))
    return client


async def answers_on(client):
    """All replies that come until the connection ends; None behind them where it was reset."""
    given = []
    while (reply := await client.reply(within=6)) is not None:
        given.append(reply)
    return given + [None] * client.was_reset


@pytest.mark.parametrize("clients", [1, 100])
def test_connections_in_the_accept_queue_when_the_listener_closes_are_answered(with_process, clients):
    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        fleet.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.25)  # new connections come for 0.4 s
        fleet.process.send_signal(signal.SIGSTOP)
        askers = [await asking(fleet, read_command(number, time_left=2_000)) for number in range(clients)]
        await asyncio.sleep(0.4)  # past the time at which no new ones are waited for
        fleet.process.send_signal(signal.SIGCONT)
        return await asyncio.gather(*map(answers_on, askers)), await fleet.process.wait()

    assert with_process(scenario, deadline=2_000) == ([[("$", b"data")]] * clients, 0)


def test_commands_past_the_bound_of_pending_replies_are_answered_at_shutdown(with_process):
    asked = 150  # more than the pending replies of a connection

    async def scenario(fleet):
        fleet.node.script = lambda arguments: ["hang"]
        await (await fleet.client()).request(b"PING")
        client = await asking(fleet, *(read_command(number, time_left=9_000) for number in range(asked)))
        await asyncio.sleep(0.2)
        fleet.process.send_signal(signal.SIGTERM)
        return await answers_on(client)

    answers = with_process(scenario, deadline=9_000)
    assert [kind for kind, _ in answers] == ["-"] * asked


def test_a_valid_command_behind_invalid_ones_is_answered(with_process):
    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        bad = [read_command(number, request_class="none") for number in range(3)]
        return await answers_on(await asking(fleet, *bad, read_command(4)))

    answers = with_process(scenario)
    assert [kind for kind, _ in answers] == ["-", "-", "-", "$"]


@pytest.mark.parametrize("deadline", [1_000, 6_000])
def test_a_client_that_asks_again_at_once_is_served_through_the_shutdown(with_process, deadline):
    """Each answer is followed at once by the next command, for as long as the connection stands."""

    async def scenario(fleet):
        loop, unanswered, served_by = asyncio.get_running_loop(), 0, []
        fleet.node.script = lambda arguments: [0.03, success_reply()]
        clients = [await fleet.client() for _ in range(10)]
        fleet.process.send_signal(signal.SIGTERM)
        begun = loop.time()

        async def again(client, number):
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

        await asyncio.gather(*(again(client, place) for place, client in enumerate(clients)))
        await fleet.process.wait()
        return unanswered, max(served_by), len(clients)

    unanswered, last, clients = with_process(scenario, deadline=deadline)
    killed_after = min(3.0, deadline / 1000) + GRACE
    # Only the cut itself is crossed, and it comes shortly before SIGKILL may.
    assert unanswered <= clients and killed_after - 0.3 < last < killed_after


def test_a_reload_during_shutdown_harms_nothing(with_process):
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
        ]  # the connection is ended 0.5 s after SIGTERM
        client = await fleet.client()
        client.writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536
        )
        client.writer.write(b"".join(encode_command(read_command(number)) for number in range(asked)))
        await asyncio.sleep(0.05)
        client.writer.transport.pause_reading()  # a client that is slow to read
        fleet.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.1)
        client.writer.transport.resume_reading()
        return [await client.reply() for _ in range(asked)]

    assert with_process(scenario) == [("$", value)] * asked
