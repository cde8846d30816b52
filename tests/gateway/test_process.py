"""The program: its start, signals and end, as a process."""

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path

from rushmux.standins.platform import FakeDiscovery, configuration, read_command, success_reply

ROOT = Path(__file__).resolve().parents[2]


def test_at_sigterm_it_goes_on_serving_answers_everything_and_exits_with_0(with_process):
    async def scenario(fleet):
        fleet.node.script = lambda arguments: [0.2, success_reply()]
        client, idle = await fleet.client(), await fleet.client()
        await idle.request(b"PING")
        client.send(*read_command(1))
        await asyncio.sleep(0.05)
        fleet.process.send_signal(signal.SIGTERM)
        begun = asyncio.get_running_loop().time()
        await asyncio.sleep(0.2)
        late = await fleet.client()  # new connections still come for a while
        pong = await late.request(b"PING")
        answers = [await client.reply()]
        await asyncio.sleep(0.2)
        answers.append(await late.request(*read_command(2)))  # a connection in use is served on
        ends = [await one.reply() for one in (idle, late, client)]
        return pong, answers, ends, await fleet.process.wait(), asyncio.get_running_loop().time() - begun

    pong, answers, ends, code, took = with_process(scenario)
    assert pong == ("+", b"PONG") and answers == [("$", b"data")] * 2
    assert ends == [None] * 3 and code == 0 and took < 1.7


def test_operations_in_flight_shortly_before_sigkill_get_their_final_answer(with_process):
    async def scenario(fleet):
        fleet.node.script = lambda arguments: ["hang"]
        client = await fleet.client()
        fleet.process.send_signal(signal.SIGTERM)
        begun = asyncio.get_running_loop().time()
        for number in range(28):  # asked until nothing more is taken: each has an answer, or a close
            await asyncio.sleep(0.05)
            client.send(*read_command(number))
        replies = []
        while (reply := await client.reply()) is not None:
            replies.append(reply)
        return replies, await fleet.process.wait(), asyncio.get_running_loop().time() - begun

    replies, code, took = with_process(scenario)
    assert code == 0 and took < 1.9 and replies and {kind for kind, _ in replies} == {"-"}


def test_sighup_changes_the_discovery_address_and_a_torn_file_keeps_the_old_one(with_process):
    async def scenario(fleet):
        client = await fleet.client()
        await client.request(b"PING")
        await asyncio.sleep(0.2)
        slow = await fleet.client()
        fleet.node.script = lambda arguments: [0.3 if arguments[2][-1:] == b"9" else 0.0, success_reply()]
        slow.send(*read_command(9))
        await asyncio.sleep(0.05)
        fleet.file.write_text('{"name": "n0", "lis')
        fleet.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        before = len(fleet.discovery.requests)
        other = FakeDiscovery()
        await other.open()
        other.version, other.rows = fleet.discovery.version, dict(fleet.discovery.rows)
        fleet.write_config(other.port)
        fleet.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        answer = await client.request(*read_command(1))
        calls, under = len(other.requests), await slow.reply()  # asked before the file changed
        other.close()
        return before > 0, calls > 0, answer, under, fleet.process.returncode

    assert with_process(scenario) == (True, True, ("$", b"data"), ("$", b"data"), None)


def run_gateway(config_path):
    """Runs a gateway that is expected to end by itself."""
    return subprocess.run(
        [sys.executable, "-m", "rushmux.gateway"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
        env={**os.environ, "NODE_CONFIG": config_path},
    )


def test_a_port_in_use_and_a_missing_file_are_logged_in_a_line(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration(1, [], taken.getsockname()[1])))
        for path, event in ((str(file), "listener.bind_failed"), ("", "config.rejected")):
            done = run_gateway(path)
            assert done.returncode == 2 and event in done.stderr and "Traceback" not in done.stderr


def test_descriptors_that_run_out_do_not_end_it(with_process):
    """Fewer descriptors than configured: it goes on, and serves when some are free again."""

    async def scenario(fleet):
        await fleet.client()
        resource.prlimit(fleet.process.pid, resource.RLIMIT_NOFILE, (40, 40))
        idle_clients = []
        for _ in range(80):
            idle_clients.append(await fleet.client())
        for client in idle_clients:
            client.send(b"PING")
        await asyncio.sleep(0.3)
        for client in idle_clients:
            client.close()
        await asyncio.sleep(1.2)  # the loop tries again after a second
        usual = await fleet.client()
        return await usual.request(b"PING"), await usual.request(*read_command(1)), fleet.process.returncode

    assert with_process(scenario) == (("+", b"PONG"), ("$", b"data"), None)


def test_an_empty_configuration_is_rejected_with_its_reason(tmp_path):
    file = tmp_path / "config.json"
    file.write_text("{}")
    done = run_gateway(str(file))
    assert done.returncode == 2 and "lacks" in done.stderr and "Traceback" not in done.stderr


def test_the_program_imports_no_heavy_library():
    code = (
        "import sys, rushmux.gateway.__main__; "
        "print([name for name in ('numpy', 'google.protobuf', 'structlog', 'jsonschema')"
        " if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=20, check=True
    )
    assert done.stdout.strip() == "[]"


def test_the_log_tells_volumes_attempts_and_reasons_at_the_stop(with_process):
    async def scenario(fleet):
        client = await fleet.client()
        replies = [await client.request(*read_command(number)) for number in range(3)]
        fleet.process.send_signal(signal.SIGTERM)
        client.close()
        return replies, (await fleet.process.stderr.read()).decode()

    plan = {"NeverOver": 50, "CapDepth": 64, "Tolerance": 8}
    replies, text = with_process(scenario, plan=plan)
    assert replies == [("$", b"data")] * 3
    lines = text.splitlines()
    started = [line for line in lines if " volume.started " in line]
    assert len(started) == 1 and "volume=0000000000000001 plan=base gateways=1" in started[0]
    (stats,) = [line for line in lines if " gateway.stats " in line]
    assert "attempts=succeeded:3 given_up=-" in stats
