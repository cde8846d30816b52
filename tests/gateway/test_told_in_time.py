"""A change counts as told 6 s after discovery had it and could be reached, whatever call failed before.

Each story lets one call fail in its way, by the stand-in's hand, and then wants the change here.
"""

import asyncio
import json
import signal
import socket

import pytest

from rushmux.gateway import discovery as watches
from rushmux.gateway.discovery import Watch
from rushmux.standins.platform import Discovery, command, read

TOLD = 6.0  # seconds until a change counts as told
CORE = 0.3  # seconds that a gateway with a tenth of a core may need for a whole list


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


def head(text, status="200 OK"):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n".encode()


class Log:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = info


class Told:
    """What a watch heard: each node's condition."""

    def __init__(self):
        self.conditions, self.heard = {}, asyncio.Event()

    def __call__(self, whole, members):
        if whole:
            self.conditions = {}
        self.conditions.update((one.node, one.state) for one in members)
        self.heard.set()
        self.heard = asyncio.Event()

    async def until(self, node, condition, within):
        async with asyncio.timeout(within):
            while self.conditions.get(node) != condition:
                await asyncio.sleep(0.005)


def played(story, first=True):
    async def whole():
        source, told = Discovery(), Told()
        await source.open()
        source.put(row("a"), row("b"))
        log = Log()
        watch = Watch(asyncio.get_running_loop(), ("127.0.0.1", source.port), log, told)
        watch.start()
        try:
            if first:
                await told.until("a", "ready", 2)
            return await story(source, watch, told)
        finally:
            watch.close()
            source.close()
            await asyncio.sleep(0.01)
            assert sum(event == "discovery.lost" for event, _ in log.lines) < 5

    return asyncio.run(whole())


def once(source, steps):
    """The next answer is played by these steps, those after it as usual."""

    def plays(target, text):
        source.plays = None
        return steps(text)

    source.plays = plays


def test_the_worst_that_can_follow_one_another_is_over_in_time():
    """An answer that trickles, begun before the change; a dial that nobody takes; an answer that trickles."""
    assert 2 * watches.ANSWER + watches.DIAL + 2 * watches.AGAIN + CORE <= TOLD
    assert watches.WAIT + watches.SLACK + watches.DIAL + 2 * watches.AGAIN + watches.ANSWER + CORE <= TOLD


@pytest.mark.parametrize("changes", [1, 3])
def test_answers_with_neither_length_nor_chunks_end_with_the_connection(changes):
    async def story(source, watch, told):
        source.plays = lambda target, text: [b"HTTP/1.1 200 OK\r\n\r\n", text[:9], 0.01, text[9:], "close"]
        for number in range(changes):
            source.put(row(f"n{number}"))
            await told.until(f"n{number}", "ready", 2)
        return watch.down

    assert played(story) is False  # an orderly end is no fault


def test_a_reset_is_no_end_of_an_answer_without_length():
    async def story(source, watch, told):
        spoilt = json.dumps({"version": 99, "full": True, "servers": [row("z")]}).encode()
        once(source, lambda text: [b"HTTP/1.1 200 OK\r\n\r\n" + spoilt, 0.05, "reset"])
        source.put(row("a", "draining"))
        await told.until("a", "draining", 2)
        return "z" in told.conditions, watch.version

    assert played(story) == (False, 3)


def test_one_bad_row_leaves_its_node_in_force_and_the_others_are_heard():
    async def story(source, watch, told):
        source.put(row("a", "draining"), row("b", addr=7), row("c"))
        await told.until("a", "draining", 2)
        await told.until("c", "ready", 2)
        changes = dict(told.conditions)
        source.version, source.changes = 1, []  # and so in a whole list
        source.rows["d"] = row("d")
        once(source, lambda text: [head(b"", "410 Gone")])
        source.put(row("d"))
        await told.until("d", "ready", 2)
        return changes, told.conditions

    assert played(story) == (
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
def test_rows_that_make_no_sense_beside_a_good_one(bad):
    async def story(source, watch, told):
        body = json.dumps({"version": 9, "full": False, "servers": [bad, row("c")]}).encode()
        source.plays = lambda target, text: [head(body) + body] if "after=2" in target else [0.05, "close"]
        source.put(row("a"))
        await told.until("c", "ready", 2)
        return told.conditions

    assert played(story) == {"a": "ready", "b": "ready", "c": "ready"}


@pytest.mark.parametrize("status", ["410 Gone", "400 Bad Request", "404 Not Found"])
def test_a_status_that_refuses_our_version_begins_anew(status):
    async def story(source, watch, told):
        source.plays = lambda target, text: (
            [head(b"", status)] if "after=2" in target else [head(text) + text]
        )
        source.put(row("a", "draining"))
        await told.until("a", "draining", 2)
        return told.conditions

    assert played(story) == {"a": "draining", "b": "ready"}


def test_a_server_error_keeps_the_version():
    async def story(source, watch, told):
        once(source, lambda text: [head(b"", "503 Service Unavailable")])
        source.put(row("a", "draining"))
        await told.until("a", "draining", 2)
        return [target for _, target in source.calls].count(watches.PATH)

    assert played(story) == 1


def test_a_discovery_that_counts_anew_is_believed():
    async def story(source, watch, told):
        for number in range(9):
            source.put(row("a"))
        await asyncio.sleep(0.1)
        source.version, source.changes = 0, []
        source.put(row("a", "draining"))
        source.moved.set()
        await told.until("a", "draining", 3)
        before = source.version
        source.put(row("b", "draining"))
        await told.until("b", "draining", 2)
        return before

    assert played(story) == 1


def test_an_answer_that_trickles_is_given_up_and_the_change_is_here_in_time():
    async def story(source, watch, told):
        once(source, lambda text: [head(text)] + [part for byte in text for part in (bytes([byte]), 0.5)])
        source.put(row("a", "draining"))
        await told.until("a", "draining", TOLD - CORE)

    played(story)


def test_an_answer_that_comes_slowly_and_whole_is_taken():
    async def story(source, watch, told):
        source.plays = lambda target, text: [head(text) + text[:5], 1.8, text[5:]]
        source.put(row("a", "draining"))
        await told.until("a", "draining", TOLD - CORE)

    played(story)


def test_a_connection_that_never_comes_up_is_given_up(monkeypatch):
    async def story(source, watch, told):
        loop, connect, begun = watch.loop, watch.loop.create_connection, asyncio.Event()

        async def never(*_, **__):
            loop.create_connection = connect
            begun.set()
            await asyncio.sleep(60)

        loop.create_connection = never
        once(source, lambda text: ["reset"])
        source.put(row("a", "draining"))
        await asyncio.wait_for(begun.wait(), 2)
        await told.until("a", "draining", watches.DIAL + 1)

    played(story)


def test_an_address_that_can_be_none_is_left_for_a_good_one():
    async def story(source, watch, told):
        watch.move(("x" * 70 + ".example", 1))
        await asyncio.sleep(0.2)
        source.put(row("a", "draining"))
        watch.move(("127.0.0.1", source.port))
        await told.until("a", "draining", 2)

    played(story)


def test_a_list_in_flight_when_the_address_moves_is_heard_though_the_new_one_is_silent():
    async def story(source, watch, told):
        new, go = Discovery(), asyncio.Event()
        await new.open()
        new.silent = True
        asked = asyncio.Event()

        def plays(target, text):
            asked.set()
            return [head(text) + text[:9], go, text[9:]]

        source.plays = plays
        source.put(row("a", "draining"))
        await asyncio.wait_for(asked.wait(), 2)
        await asyncio.sleep(0.05)
        watch.move(("127.0.0.1", new.port))
        watch.move(("127.0.0.1", new.port))  # SIGHUP twice
        go.set()
        await told.until("a", "draining", 1)
        new.version, new.rows = source.version, dict(source.rows)
        new.put(row("b", "draining"))
        new.silent = False
        await told.until("b", "draining", TOLD - CORE)
        await asyncio.sleep(0.1)
        calls = len(source.calls)
        new.close()
        return watch.leaving, calls == len(source.calls)

    assert played(story) == ({}, True)


def test_former_addresses_are_listened_to_within_a_bound():
    async def story(source, watch, told):
        source.silent = True
        for _ in range(40):
            watch.move(("127.0.0.1", source.port))
            async with asyncio.timeout(1):
                while watch.task is not None:
                    await asyncio.sleep(0.001)
        return len(watch.leaving)

    assert played(story) <= watches.MOST_LEAVING


# The program's own process.

# The first list is waited for longer than a test takes.
PATIENT = (
    "import runpy, rushmux.gateway.server as front\n"
    "front.FIRST_LIST = 60.0\n"
    "runpy.run_module('rushmux.gateway', run_name='__main__')\n"
)


def test_nobody_is_let_in_before_the_first_list_is_here(running):
    """The file's list is old: what the agent has counts as told from the first moment of a process."""

    async def story(stage):
        go = asyncio.Event()
        stage.discovery.plays = lambda target, text: [go, head(text) + text]
        stage.discovery.put(stage.node.row("s0", 0, "draining"))
        stage.write_known(stage.node.row("s0", 0))
        await stage.restart("-c", PATIENT)
        async with asyncio.timeout(5):
            while not stage.discovery.calls:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        with pytest.raises(OSError):
            await stage.client_once()
        go.set()
        client = await stage.client()
        client.writer.write(command([b"PING"]) + command(read(1)))
        return [await client.reply() for _ in range(2)], stage.node.got

    (pong, answer), got = running(story)
    assert pong == ("+", b"PONG") and answer[0] == "-" and not got


def test_a_silent_discovery_delays_the_start_by_a_second_at_most(running):
    async def story(stage):
        stage.discovery.silent = True
        await stage.restart()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            while not stage.discovery.calls:
                await asyncio.sleep(0.01)
        asked_at = stage.discovery.calls[0][0]
        client = await stage.client()
        assert await client.ask(b"PING") == ("+", b"PONG")
        return loop.time() - asked_at, await client.ask(*read(1))

    took, answer = running(story)
    assert took < 4 and answer == ("$", b"data")  # the stand-in is silent for good


def test_a_stop_before_it_is_ready_ends_it_with_nobody_let_in(running):
    async def story(stage):
        stage.discovery.silent = True
        await stage.restart("-c", PATIENT)
        async with asyncio.timeout(5):
            while not stage.discovery.calls:
                await asyncio.sleep(0.01)
        stage.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(8):  # long before it would have listened
            code = await stage.process.wait()
        return code, (await stage.process.stderr.read()).decode()

    code, log = running(story)
    assert code == 0 and "Traceback" not in log and "serves" not in log


async def goes_over(stage):
    """Another discovery, named by a good file and SIGHUP, once the gateway has asked it."""
    other = Discovery()
    await other.open()
    other.put(*stage.discovery.rows.values())
    stage.write(discovery=other.port)
    stage.process.send_signal(signal.SIGHUP)
    async with asyncio.timeout(3):
        while not other.calls:
            await asyncio.sleep(0.01)
    return other


@pytest.mark.parametrize("limits", [{"sockets": 1e308}, {"sockets": "x"}, {"sockets": [1]}, {}, None])
def test_a_configuration_that_makes_no_sense_in_any_way_leaves_the_next_one_heard(running, limits):
    async def story(stage):
        client = await stage.client()
        torn = json.loads(stage.file.read_text())
        torn["limits"] = limits
        stage.file.write_text(json.dumps(torn))
        stage.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        other = await goes_over(stage)
        answer = await client.ask(*read(1))
        stage.process.terminate()
        log = (await stage.process.stderr.read()).decode()
        other.close()
        return answer, "Traceback" in log

    assert running(story) == (("$", b"data"), False)


def test_a_reload_that_fails_as_nobody_thought_of_leaves_the_next_one_heard(running):
    """A fault of ours while the file is read must not end the reading of files."""
    code = (
        "import runpy, rushmux.gateway.config as config\n"
        "good, calls = config.read, []\n"
        "def read(path):\n"
        "    calls.append(path)\n"
        "    if len(calls) == 2:\n"
        "        raise RuntimeError('nobody thought of it')\n"
        "    return good(path)\n"
        "config.read = read\n"
        "runpy.run_module('rushmux.gateway', run_name='__main__')\n"
    )

    async def story(stage):
        await (await stage.client()).ask(b"PING")
        stage.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        other = await goes_over(stage)
        other.close()
        stage.process.terminate()
        return (await stage.process.stderr.read()).decode().count("config.refused")

    assert running(story, arguments=("-c", code)) == 1


def test_a_port_that_is_taken_is_said_without_a_traceback(running):
    async def story(stage):
        await (await stage.client()).ask(b"PING")
        first = stage.process
        await stage.run("-m", "rushmux.gateway")
        log = (await stage.process.stderr.read()).decode()
        code = await stage.process.wait()
        first.terminate()
        await first.wait()
        return code, "listen.refused" in log, "Traceback" in log

    assert running(story) == (2, True, False)


def test_the_stand_in_resets_as_the_system_does():
    """What the tests above lean on: a reset reaches the other end as a reset, not as an end."""

    async def story(source, watch, told):
        source.plays = lambda target, text: [b"HTTP/1.1 200 OK\r\n\r\n{", 0.02, "reset"]
        with socket.create_connection(("127.0.0.1", source.port)) as sock:
            sock.sendall(b"GET /catalog/members HTTP/1.1\r\n\r\n")
            loop = asyncio.get_running_loop()
            first = await loop.run_in_executor(None, sock.recv, 100)
            try:
                return first[-1:], await loop.run_in_executor(None, sock.recv, 100)
            except ConnectionResetError:
                return first[-1:], "reset"

    assert played(story) == (b"{", "reset")
