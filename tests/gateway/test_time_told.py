"""The time that nodes are told is at most what the client has left.

Commands beyond the 64 that may be unanswered wait in the gateway; their time counted from when they were
taken up, so that an attempt told up to the whole time again, and their answers came late.
"""

import asyncio
import signal
import time

import pytest
from hypothesis import given, strategies

from rushmux.gateway.arrival_times import RESOLUTION, ArrivalTimes
from rushmux.resp import encode_command
from rushmux.standins.platform import option_of, read_command, success_reply, write_command

SLACK = 0.15
"""Seconds by which an attempt may tell more than its client has left, by the platform's rules."""
TIME_LEFT = 1.0
OPTIONS = {"deadline": 1_000, "objective": 1_000, "shards": 2, "MostHeld": 20_000}


def test_commands_that_waited_tell_the_time_that_is_left_and_are_answered_in_time(with_process):
    async def scenario(fleet):
        told = []

        def record_and_serve(arguments):
            told.append((time.monotonic(), int(option_of(arguments, "d")) / 1_000))
            # The replies to the others wait behind that to the first, and further commands behind them.
            return [0.85, success_reply()] if int(arguments[2], 16) == 1 else [success_reply()]

        fleet.node.script = record_and_serve
        client = await fleet.client()
        sent_at = time.monotonic()
        for number in range(1, 151):
            client.send(*read_command(number, cell=number % 2, time_left=round(TIME_LEFT * 1_000)))
        for _ in range(150):
            await client.reply()
        answered_at = time.monotonic()
        return told, sent_at, answered_at

    told, sent_at, answered_at = with_process(scenario, nodes=2, **OPTIONS)
    late = [at for at, _ in told if at > sent_at + 0.8]
    assert len(late) > 20
    assert max(seconds - (sent_at + TIME_LEFT - at) for at, seconds in told) <= SLACK
    assert answered_at < sent_at + TIME_LEFT + 0.5


def test_commands_whose_time_is_over_when_they_are_taken_up_are_not_forwarded(with_process):
    async def scenario(fleet):
        fleet.node.script = lambda arguments: ["hang"] if int(arguments[2], 16) == 1 else [success_reply()]
        client = await fleet.client()
        client.writer.write(
            b"".join(
                encode_command(read_command(number, cell=number % 2, time_left=1_000 if number == 1 else 500))
                for number in range(1, 151)
            )
        )
        replies = [await client.reply() for _ in range(150)]
        return replies, {int(arguments[2], 16) for arguments in fleet.node.received}

    replies, forwarded = with_process(scenario, nodes=2, **OPTIONS)
    assert replies[64:] == [("-", b"BUSY")] * 86 and max(forwarded) <= 64


def test_the_time_of_a_command_counts_from_its_first_byte(with_fleet):
    async def scenario(fleet):
        client = await fleet.client()
        data = encode_command(write_command(1, time_left=900))
        client.writer.write(data[:20])
        await asyncio.sleep(0.4)
        client.writer.write(data[20:])
        await client.reply()
        [arguments] = fleet.nodes[0].received
        return int(option_of(arguments, "d"))

    assert with_fleet(scenario, **OPTIONS) <= 500


def test_the_time_of_the_first_command_counts_while_its_connection_waits_to_be_accepted(with_process):
    async def scenario(fleet):
        await fleet.client()  # the gateway listens
        fleet.process.send_signal(signal.SIGSTOP)
        client = await fleet.connect_once()
        client.send(*read_command(1, time_left=900))
        await asyncio.sleep(0.4)
        fleet.process.send_signal(signal.SIGCONT)
        reply = await client.reply()
        [arguments] = fleet.node.received
        return reply, int(option_of(arguments, "d"))

    reply, told = with_process(scenario, **OPTIONS)
    assert reply == ("$", b"data") and told <= 520


@given(
    strategies.lists(strategies.tuples(strategies.integers(1, 9), strategies.floats(0.0, 0.02)), min_size=1)
)
def test_arrival_times_are_those_of_the_bytes_or_a_little_earlier(chunks):
    times, arrived_at, now = ArrivalTimes(), [], 100.0
    for size, pause in chunks:
        now += pause
        times.add(size, now)
        arrived_at += [now] * size
    for position, at in enumerate(arrived_at):
        assert at - RESOLUTION <= times.first_of(len(arrived_at) - position) <= at


def test_the_memory_for_arrival_times_does_not_grow_with_single_bytes():
    times = ArrivalTimes()
    for count in range(10_000):
        times.add(1, count * RESOLUTION / 100)
    assert len(times._chunks) <= 101
    assert times.first_of(10_000) == 0.0


@pytest.mark.parametrize("unread, expected", [(10, 1.0), (9, 1.0), (8, 2.0), (1, 2.0)])
def test_the_first_unread_byte_decides(unread, expected):
    times = ArrivalTimes()
    times.add(2, 1.0)
    times.add(8, 2.0)
    assert times.first_of(unread) == expected
