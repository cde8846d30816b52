"""A gateway stays within its limit of memory, whatever clients and nodes send it.

The platform kills a gateway that exceeds `memory_mb`, and with it every operation in flight. Forty clients
that each sent 200 writes of 64 KiB at once took a gateway from 22 to 136 MB within half a second, over its
limit of 128 MB. The number of a connection's pending commands was bounded (64), the bytes of all were not.
Nor were those of values that wait behind a reply, of commands received in part, or of buffers whose content
had been processed.
"""

import asyncio
import contextlib
import gc
import socket
import time
import weakref
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import given, strategies

from rushmux.gateway.memory_limits import ByteBudget, memory_limits_of
from rushmux.resp import CommandReader, encode_command
from rushmux.standins.platform import read_command, success_reply, write_command

LARGEST_VALUE = b"x" * 65_536
NOISE = b"\xff" * 100_000
FLOODED_CELL, QUIET_CELL = 0, 1
FLOOD_TIME = 2.5
QUIET_INTERVAL = 0.05


def peak_memory_mb(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024 / 1_000_000


def read(number):
    return encode_command(read_command(number, cell=FLOODED_CELL, time_left=2_000))


def large_write(number):
    return encode_command(write_command(number, cell=FLOODED_CELL, time_left=2_000, data=LARGEST_VALUE))


# What a client of the flood sends at once; its commands are numbered from `first`.


def large_writes(first):
    return [large_write(first + count) for count in range(200)]


def half_a_write(first):
    return [large_write(first)[:40_000]]


def reads(first):
    return [read(first + count) for count in range(64)]


def reads_before_large_writes(first):
    return [b"".join([*reads(first), *(large_write(first + 100 + count) for count in range(20))])]


class Flood(NamedTuple):
    clients: int
    messages: Callable
    """Returns what a client sends, given its first command's number."""
    script: Callable
    """The node's script."""
    reads_replies: bool = True


async def run_flood(connect, load):
    """Sends from all clients at once, and keeps the connections open for `FLOOD_TIME`."""

    async def run(index):
        client = await connect()
        if not load.reads_replies:
            client.writer.transport.pause_reading()
        with contextlib.suppress(ConnectionError):
            for message in load.messages(index * 1_000):
                client.writer.write(message)
                await client.writer.drain()
            while await client.reader.read(len(LARGEST_VALUE)):
                pass

    tasks = [asyncio.create_task(run(index)) for index in range(1, load.clients + 1)]
    await asyncio.sleep(FLOOD_TIME)
    for task in tasks:
        task.cancel()


# How the node answers the flood.


def hang(arguments):
    return ["hang"]


def hang_on_each_clients_first_read(arguments):
    return ["hang"] if int(arguments[2], 16) % 1_000 == 0 else [success_reply(LARGEST_VALUE)]


def serve_large_values(arguments):
    return [success_reply(LARGEST_VALUE)]


def serve_quiet_cell(flooded_script):
    """Returns a node's script that serves `QUIET_CELL` at once and runs `flooded_script` for the other."""
    quiet = b"shard=%d," % QUIET_CELL
    return lambda arguments: [success_reply()] if quiet in arguments[3] else flooded_script(arguments)


FLOODS = pytest.mark.parametrize(
    "load",
    [
        Flood(40, large_writes, hang),
        Flood(400, half_a_write, hang),
        Flood(40, reads, hang_on_each_clients_first_read),
        Flood(100, reads, serve_large_values, reads_replies=False),
        Flood(100, reads_before_large_writes, hang),
    ],
    ids=["large-writes", "half-writes", "values-that-wait-in-order", "unread-values", "read-ahead"],
)
OPTIONS = {"nodes": 2, "sockets": 1_024, "deadline": 2_000, "objective": 1_000, "MostHeld": 20_000}


@pytest.mark.parametrize("memory_mb", [32, 128])  # the platform's smallest limit, and a usual one
@FLOODS
def test_a_flood_of_large_messages_stays_within_the_memory_limit(with_process, memory_mb, load):
    """Guards against a gateway that is killed for the bytes that clients make it hold."""

    async def scenario(fleet):
        fleet.node.script = serve_quiet_cell(load.script)
        quiet = await fleet.client()
        flooding = asyncio.create_task(run_flood(fleet.connect_once, load))
        replies = []
        while not flooding.done():
            command = read_command((1 << 32) + len(replies), cell=QUIET_CELL, volume=2)
            replies.append(await quiet.request(*command))
            await asyncio.sleep(QUIET_INTERVAL)
        return replies, fleet.process.returncode, peak_memory_mb(fleet.process.pid)

    replies, exit_code, peak_mb = with_process(scenario, memory_mb=memory_mb, **OPTIONS)
    assert exit_code is None and None not in replies
    assert peak_mb < memory_mb
    # A flood may cost other clients some replies, but not the service.
    assert replies.count(("$", b"data")) > len(replies) / 2


def connect_and_send_noise(port, until):
    """Opens connections one after the other and ends each once the gateway has ended it."""
    while time.monotonic() < until:
        with socket.create_connection(("127.0.0.1", port)) as client, contextlib.suppress(OSError):
            client.sendall(NOISE)
            while client.recv(len(LARGEST_VALUE)):
                pass


def test_thousands_of_short_connections_stay_within_the_memory_limit(with_process):
    """Guards against ended connections that wait for the garbage collector.

    One client that sent noise, was answered and closed, 2,000 times a second, took a gateway from 24 to 45 MB
    within three seconds, over its limit of 32 MB. 6,000 ended connections were in reference cycles with their
    lingering closes and transports, and the interpreter collects old objects only rarely.
    """

    async def scenario(fleet):
        quiet = await fleet.client()
        flooding = asyncio.create_task(
            asyncio.to_thread(connect_and_send_noise, fleet.port, time.monotonic() + 2 * FLOOD_TIME)
        )
        replies = []
        while not flooding.done():
            replies.append(await quiet.request(b"PING"))
            await asyncio.sleep(QUIET_INTERVAL)
        return replies, fleet.process.returncode, peak_memory_mb(fleet.process.pid)

    replies, exit_code, peak_mb = with_process(scenario, memory_mb=32, **OPTIONS)
    assert exit_code is None and set(replies) == {("+", b"PONG")}
    assert peak_mb < 32


def test_a_connection_that_has_ended_is_freed_without_the_garbage_collector(with_fleet):
    async def scenario(fleet):
        client = await fleet.client()
        await client.request(b"PING")
        [connection] = map(weakref.ref, fleet.server.listener.clients)
        client.writer.write(NOISE)
        assert (await client.reply())[0] == "-"
        client.close()
        async with asyncio.timeout(1):
            while fleet.server.listener.clients:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)  # the event loop drops its last callback
        return connection()

    gc.disable()
    try:
        assert with_fleet(scenario) is None
    finally:
        gc.enable()


@FLOODS
def test_all_memory_is_released_after_a_flood(with_fleet, load):
    """Guards against budgets that shrink with every flood until everything is refused."""

    async def scenario(fleet):
        fleet.nodes[0].script = load.script
        await run_flood(fleet.client, load)
        for client in fleet.clients:
            client.writer.transport.abort()
        server, listener = fleet.server, fleet.server.listener
        async with asyncio.timeout(OPTIONS["deadline"] / 1_000 + 1):  # attempts run on at their nodes
            while server.operations or listener.clients:
                await asyncio.sleep(0.05)
        return (
            server.operation_budget.held,
            server.undelivered_reply_bytes,
            listener.partial_command_budget.held,
            listener.reply_budget.held,
            listener.read_ahead_bytes,
            server.pool.partial_reply_bytes,
        )

    assert with_fleet(scenario, memory_mb=32, **OPTIONS) == (0, 0, 0, 0, 0, 0)


def test_a_client_without_other_requests_is_served_while_pipelines_fill_the_memory(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = hang
        fleet.nodes[1].script = serve_large_values
        flooding = asyncio.create_task(run_flood(fleet.client, Flood(40, large_writes, hang)))
        await asyncio.sleep(1)
        refused = fleet.server.operation_budget.refused
        writing = await fleet.client()
        command = write_command(1, cell=QUIET_CELL, data=LARGEST_VALUE)
        kind, _ = await writing.request(*command)
        await flooding
        return refused > 0, kind

    assert with_fleet(scenario, memory_mb=64, **OPTIONS) == (True, "$")


@given(
    strategies.lists(
        strategies.lists(strategies.integers(0, 3_000), min_size=1, max_size=6), min_size=1, max_size=6
    ),
    strategies.randoms(use_true_random=False),
)
def test_arguments_without_memory_are_discarded_and_the_commands_after_them_are_read(sizes, rng):
    commands = [[b"x" * size for size in command] for command in sizes]
    data = b"".join(map(encode_command, commands))
    budget = ByteBudget(rng.randint(0, 4_000))
    reader, found = CommandReader(budget), []
    while data:
        size = rng.randint(1, 2_000)
        reader.receive_data(data[:size])
        data = data[size:]
        while (command := reader.next_command()) is not None:
            found.append(command)
        assert budget.held <= budget.limit
    kept = [
        [
            argument if other is not None else None
            for argument, other in zip(command, other_command, strict=True)
        ]
        for command, other_command in zip(commands, found, strict=True)
    ]
    assert found == kept and budget.held == 0


def test_a_reader_that_is_closed_releases_its_memory():
    budget = ByteBudget(100_000)
    reader = CommandReader(budget)
    reader.receive_data(encode_command([b"BLK.WRITE", LARGEST_VALUE])[:40_000])
    assert reader.next_command() is None and budget.held == len(LARGEST_VALUE)
    reader.close()
    assert budget.held == 0 and reader.unread_bytes() == 0


@pytest.mark.parametrize("memory_mb", [0, 32, 48, 80, 128, 192, 2_048])
@pytest.mark.parametrize("endpoints", [1, 200, 3_200])
def test_the_bounds_leave_room_for_the_program_and_serve_with_any_limit(memory_mb, endpoints):
    limits = memory_limits_of(memory_mb, endpoints, max_clients=540)
    assert min(limits) >= len(LARGEST_VALUE)
    available = memory_mb * 1_000_000 - 24_000_000 - endpoints * 7_000 - 540 * 8_000
    if available > 4_000_000:
        assert sum(limits) <= available / 2
