"""A change arrives within 6 s after discovery has it and is reachable, whatever failed before.

Each scenario makes one request fail in some way and then expects the change.
"""

import asyncio
import json
import signal
import socket

import pytest

from rushmux.gateway import discovery
from rushmux.gateway.discovery import DiscoveryWatch
from rushmux.gateway.discovery_connection import PATH
from rushmux.gateway.discovery_timing import LOCAL_AGENT, RECONNECT_DELAY, SHARED_SERVICE
from rushmux.gateway.endpoints import SocketAddress
from rushmux.resp import encode_command
from rushmux.standins.platform import FakeDiscovery, read_command

RECEIVED_WITHIN = 6.0  # seconds within which a change must arrive
LONGEST_TURN = 2.0  # seconds that a call may wait for its turn
PROMPT_RESPONSE_TIME = 0.5
PROCESSING_TIME = 0.3  # seconds that a gateway with a tenth of a core may need for a snapshot


def row(name, state="up", **more):
    return {
        "id": name,
        "addr": "127.0.0.1:6379",
        "zone": "a",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
        **more,
    }


def response_head(text, status="200 OK"):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n".encode()


class Log:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = info


class ReceivedStates:
    """The state of each node as passed on by a watch."""

    def __init__(self):
        self.states, self.updated = {}, asyncio.Event()

    def __call__(self, is_snapshot, endpoints):
        if is_snapshot:
            self.states = {}
        self.states.update((one.node, one.state) for one in endpoints)
        self.updated.set()
        self.updated = asyncio.Event()

    async def until(self, node, state, within):
        async with asyncio.timeout(within):
            while self.states.get(node) != state:
                await asyncio.sleep(0.005)


def run_scenario(scenario, first=True):
    async def main():
        source, received = FakeDiscovery(), ReceivedStates()
        await source.open()
        source.update(row("a"), row("b"))
        log = Log()
        watch = DiscoveryWatch(
            asyncio.get_running_loop(), SocketAddress("127.0.0.1", source.port), log, received
        )
        watch.start()
        try:
            if first:
                await received.until("a", "ready", 2)
            return await scenario(source, watch, received)
        finally:
            watch.close()
            source.close()
            await asyncio.sleep(0.01)
            assert sum(event == "discovery.unavailable" for event, _ in log.lines) < 5

    return asyncio.run(main())


def script_next_response(source, steps):
    """Makes the next response follow these steps; later ones are as usual."""

    def script(target, text):
        source.script = None
        return steps(text)

    source.script = script


def test_the_worst_sequence_of_failures_of_an_agent_takes_less_than_the_limit():
    """A slow response that began before the change, a failed connect, and another slow response."""
    reconnect = discovery.CONNECT_TIMEOUT + 2 * RECONNECT_DELAY
    for first in (LOCAL_AGENT.response, LOCAL_AGENT.first_byte):
        assert first + reconnect + LOCAL_AGENT.response + PROCESSING_TIME <= RECEIVED_WITHIN
    assert LOCAL_AGENT.retry.max_pause == RECONNECT_DELAY


def test_the_worst_sequence_of_failures_of_a_shared_service_takes_less_than_the_limit():
    """A silent call that began before the change, a failed connect, and a prompt response."""
    pauses = SHARED_SERVICE.retry.pause(0) + SHARED_SERVICE.retry.pause(1)
    begun = SHARED_SERVICE.first_byte + discovery.CONNECT_TIMEOUT + pauses
    assert begun + PROMPT_RESPONSE_TIME + PROCESSING_TIME / 2 <= RECEIVED_WITHIN
    # A call may wait for its turn as long as the service lets it.
    assert SHARED_SERVICE.first_byte >= SHARED_SERVICE.watch + LONGEST_TURN
    assert SHARED_SERVICE.response > SHARED_SERVICE.first_byte


@pytest.mark.parametrize("changes", [1, 3])
def test_responses_with_neither_length_nor_chunks_end_with_the_connection(changes):
    async def scenario(source, watch, received):
        source.script = lambda target, text: [b"HTTP/1.1 200 OK\r\n\r\n", text[:9], 0.01, text[9:], "close"]
        for number in range(changes):
            source.update(row(f"n{number}"))
            await received.until(f"n{number}", "ready", 2)
        return watch.failures

    assert run_scenario(scenario) == 0  # an orderly end is not a failure


def test_a_reset_does_not_end_a_response_without_length():
    async def scenario(source, watch, received):
        incomplete = json.dumps({"version": 99, "full": True, "servers": [row("z")]}).encode()
        script_next_response(source, lambda text: [b"HTTP/1.1 200 OK\r\n\r\n" + incomplete, 0.05, "reset"])
        source.update(row("a", "draining"))
        await received.until("a", "draining", 2)
        return "z" in received.states, watch.version

    assert run_scenario(scenario) == (False, 3)


def test_one_malformed_row_keeps_its_node_as_known_and_the_other_rows_apply():
    async def scenario(source, watch, received):
        source.update(row("a", "draining"), row("b", addr=7), row("c"))
        await received.until("a", "draining", 2)
        await received.until("c", "ready", 2)
        changes = dict(received.states)
        source.version, source.changes = 1, []  # the same in a snapshot
        source.rows["d"] = row("d")
        script_next_response(source, lambda text: [response_head(b"", "410 Gone")])
        source.update(row("d"))
        await received.until("d", "ready", 2)
        return changes, received.states

    assert run_scenario(scenario) == (
        {"a": "draining", "b": "ready", "c": "ready"},
        {"a": "draining", "b": "ready", "c": "ready", "d": "ready"},
    )


@pytest.mark.parametrize(
    "bad",
    [
        7,
        None,
        {},
        {"id": 5},
        row("x", cell=None),
        row("x", addr="h:0"),
        row("x", state="odd"),
        row("x", started_ms=None),
    ],
)
def test_a_malformed_row_beside_a_good_one_is_skipped(bad):
    async def scenario(source, watch, received):
        body = json.dumps({"version": 9, "full": False, "servers": [bad, row("c")]}).encode()
        source.script = lambda target, text: (
            [response_head(body) + body] if "after=2" in target else [0.05, "close"]
        )
        source.update(row("a"))
        await received.until("c", "ready", 2)
        return received.states

    assert run_scenario(scenario) == {"a": "ready", "b": "ready", "c": "ready"}


@pytest.mark.parametrize("status", ["410 Gone", "400 Bad Request", "404 Not Found"])
def test_a_status_that_rejects_our_version_leads_to_a_snapshot(status):
    async def scenario(source, watch, received):
        source.script = lambda target, text: (
            [response_head(b"", status)] if "after=2" in target else [response_head(text) + text]
        )
        source.update(row("a", "draining"))
        await received.until("a", "draining", 2)
        return received.states

    assert run_scenario(scenario) == {"a": "draining", "b": "ready"}


def test_a_server_error_keeps_the_version():
    async def scenario(source, watch, received):
        script_next_response(source, lambda text: [response_head(b"", "503 Service Unavailable")])
        source.update(row("a", "draining"))
        await received.until("a", "draining", 2)
        return [target for _, target in source.requests].count(PATH)

    assert run_scenario(scenario) == 1


def test_a_discovery_whose_versions_restart_is_followed():
    async def scenario(source, watch, received):
        for _ in range(9):
            source.update(row("a"))
        await asyncio.sleep(0.1)
        source.version, source.changes = 0, []
        source.update(row("a", "draining"))
        source.changed.set()
        await received.until("a", "draining", 3)
        restarted_version = source.version
        source.update(row("b", "draining"))
        await received.until("b", "draining", 2)
        return restarted_version

    assert run_scenario(scenario) == 1


def test_a_response_in_single_bytes_is_abandoned_and_the_change_received_in_time():
    async def scenario(source, watch, received):
        script_next_response(
            source,
            lambda text: [response_head(text)] + [part for byte in text for part in (bytes([byte]), 0.5)],
        )
        source.update(row("a", "draining"))
        await received.until("a", "draining", RECEIVED_WITHIN - PROCESSING_TIME)

    run_scenario(scenario)


def test_a_slow_but_complete_response_is_accepted():
    async def scenario(source, watch, received):
        source.script = lambda target, text: [response_head(text) + text[:5], 1.8, text[5:]]
        source.update(row("a", "draining"))
        await received.until("a", "draining", RECEIVED_WITHIN - PROCESSING_TIME)

    run_scenario(scenario)


def test_a_connection_that_is_never_established_is_abandoned(monkeypatch):
    async def scenario(source, watch, received):
        loop, connect, begun = watch.loop, watch.loop.create_connection, asyncio.Event()

        async def never(*_, **__):
            loop.create_connection = connect
            begun.set()
            await asyncio.sleep(60)

        loop.create_connection = never
        script_next_response(source, lambda text: ["reset"])
        source.update(row("a", "draining"))
        await asyncio.wait_for(begun.wait(), 2)
        await received.until("a", "draining", discovery.CONNECT_TIMEOUT + 1)

    run_scenario(scenario)


def test_an_invalid_address_is_replaced_by_a_valid_one():
    async def scenario(source, watch, received):
        watch.change_address(SocketAddress("x" * 70 + ".example", 1))
        await asyncio.sleep(0.2)
        source.update(row("a", "draining"))
        watch.change_address(SocketAddress("127.0.0.1", source.port))
        await received.until("a", "draining", 2)

    run_scenario(scenario)


def test_a_response_in_flight_when_the_address_changes_is_accepted_while_the_new_one_is_silent():
    async def scenario(source, watch, received):
        new, go = FakeDiscovery(), asyncio.Event()
        await new.open()
        new.is_silent = True
        requested = asyncio.Event()

        def script(target, text):
            requested.set()
            return [response_head(text) + text[:9], go, text[9:]]

        source.script = script
        source.update(row("a", "draining"))
        await asyncio.wait_for(requested.wait(), 2)
        await asyncio.sleep(0.05)
        watch.change_address(SocketAddress("127.0.0.1", new.port))
        watch.change_address(SocketAddress("127.0.0.1", new.port))  # SIGHUP twice
        go.set()
        await received.until("a", "draining", 1)
        new.version, new.rows = source.version, dict(source.rows)
        new.update(row("b", "draining"))
        new.is_silent = False
        await received.until("b", "draining", RECEIVED_WITHIN - PROCESSING_TIME)
        await asyncio.sleep(0.1)
        calls = len(source.requests)
        new.close()
        return watch.former_connections, calls == len(source.requests)

    assert run_scenario(scenario) == ({}, True)


def test_connections_to_former_addresses_are_bounded():
    async def scenario(source, watch, received):
        source.is_silent = True
        for _ in range(40):
            watch.change_address(SocketAddress("127.0.0.1", source.port))
            async with asyncio.timeout(1):
                while watch.dial_task is not None:
                    await asyncio.sleep(0.001)
        return len(watch.former_connections)

    assert run_scenario(scenario) <= discovery.MAX_FORMER_CONNECTIONS


# Tests of the gateway process.

# The process waits for the first list for longer than a test takes.
LONG_FIRST_LIST_TIMEOUT = (
    "import runpy, rushmux.gateway.server as server\n"
    "server.FIRST_LIST_TIMEOUT = 60.0\n"
    "runpy.run_module('rushmux.gateway', run_name='__main__')\n"
)


def test_no_client_is_accepted_before_the_first_list_is_received(with_process):
    """The list in the configuration file is old: a gateway must not serve from it if discovery responds."""

    async def scenario(fleet):
        go = asyncio.Event()
        fleet.discovery.script = lambda target, text: [go, response_head(text) + text]
        fleet.discovery.update(fleet.node.row("s0", 0, "draining"))
        fleet.write_known_endpoints(fleet.node.row("s0", 0))
        await fleet.restart("-c", LONG_FIRST_LIST_TIMEOUT)
        async with asyncio.timeout(5):
            while not fleet.discovery.requests:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        with pytest.raises(OSError):
            await fleet.connect_once()
        go.set()
        client = await fleet.client()
        client.writer.write(encode_command([b"PING"]) + encode_command(read_command(1)))
        return [await client.reply() for _ in range(2)], fleet.node.received

    (pong, answer), received = with_process(scenario)
    assert pong == ("+", b"PONG") and answer[0] == "-" and not received


def test_a_silent_discovery_delays_the_start_by_a_second_at_most(with_process):
    async def scenario(fleet):
        fleet.discovery.is_silent = True
        await fleet.restart()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            while not fleet.discovery.requests:
                await asyncio.sleep(0.01)
        asked_at = fleet.discovery.requests[0][0]
        client = await fleet.client()
        assert await client.request(b"PING") == ("+", b"PONG")
        return loop.time() - asked_at, await client.request(*read_command(1))

    took, answer = with_process(scenario)
    assert took < 4 and answer == ("$", b"data")  # the fake discovery never responds


def test_a_gateway_stopped_before_it_is_ready_exits_without_accepting_clients(with_process):
    async def scenario(fleet):
        fleet.discovery.is_silent = True
        await fleet.restart("-c", LONG_FIRST_LIST_TIMEOUT)
        async with asyncio.timeout(5):
            while not fleet.discovery.requests:
                await asyncio.sleep(0.01)
        fleet.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(8):  # long before it would have listened
            code = await fleet.process.wait()
        return code, (await fleet.process.stderr.read()).decode()

    code, log = with_process(scenario)
    assert code == 0 and "Traceback" not in log and "gateway.listening" not in log


async def change_discovery(fleet):
    """Starts another discovery, reloads the gateway with its address and waits for the first request."""
    other = FakeDiscovery()
    await other.open()
    other.update(*fleet.discovery.rows.values())
    fleet.write_config(discovery=other.port)
    fleet.process.send_signal(signal.SIGHUP)
    async with asyncio.timeout(3):
        while not other.requests:
            await asyncio.sleep(0.01)
    return other


@pytest.mark.parametrize("limits", [{"sockets": 1e308}, {"sockets": "x"}, {"sockets": [1]}, {}, None])
def test_after_a_malformed_configuration_the_next_one_is_loaded(with_process, limits):
    async def scenario(fleet):
        client = await fleet.client()
        malformed = json.loads(fleet.file.read_text())
        malformed["limits"] = limits
        fleet.file.write_text(json.dumps(malformed))
        fleet.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        other = await change_discovery(fleet)
        answer = await client.request(*read_command(1))
        fleet.process.terminate()
        log = (await fleet.process.stderr.read()).decode()
        other.close()
        return answer, "Traceback" in log

    assert with_process(scenario) == (("$", b"data"), False)


def test_after_an_unexpected_error_in_a_reload_the_next_one_is_loaded(with_process):
    """A bug that shows while a file is read must not prevent later reloads."""
    code = (
        "import runpy, rushmux.gateway.config as config\n"
        "original, calls = config.load_config, []\n"
        "def load_config(path):\n"
        "    calls.append(path)\n"
        "    if len(calls) == 2:\n"
        "        raise RuntimeError('unexpected')\n"
        "    return original(path)\n"
        "config.load_config = load_config\n"
        "runpy.run_module('rushmux.gateway', run_name='__main__')\n"
    )

    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        fleet.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        other = await change_discovery(fleet)
        other.close()
        fleet.process.terminate()
        return (await fleet.process.stderr.read()).decode().count("config.rejected")

    assert with_process(scenario, arguments=("-c", code)) == 1


def test_a_port_in_use_is_logged_without_a_traceback(with_process):
    async def scenario(fleet):
        await (await fleet.client()).request(b"PING")
        first = fleet.process
        await fleet.start("-m", "rushmux.gateway")
        log = (await fleet.process.stderr.read()).decode()
        code = await fleet.process.wait()
        first.terminate()
        await first.wait()
        return code, "listener.bind_failed" in log, "Traceback" in log

    assert with_process(scenario) == (2, True, False)


def test_the_fake_discovery_sends_real_resets():
    """The tests above rely on this: the peer sees a reset, not the end of the stream."""

    async def scenario(source, watch, received):
        source.script = lambda target, text: [b"HTTP/1.1 200 OK\r\n\r\n{", 0.02, "reset"]
        with socket.create_connection(("127.0.0.1", source.port)) as sock:
            sock.sendall(b"GET /catalog/members HTTP/1.1\r\n\r\n")
            loop = asyncio.get_running_loop()
            first = await loop.run_in_executor(None, sock.recv, 100)
            try:
                return first[-1:], await loop.run_in_executor(None, sock.recv, 100)
            except ConnectionResetError:
                return first[-1:], "reset"

    assert run_scenario(scenario) == (b"{", "reset")
