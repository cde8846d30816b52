"""The programs, run as processes on loopback."""

import io
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from paramiko.sftp_client import SFTPClient
from paramiko.ssh_exception import SSHException

from rushmux.standins.checker import RULES

COMMAND = [sys.executable, "-m", "rushmux"]


class ClientSocket(socket.socket):
    """A socket with the one further method that the stock client requires."""

    def get_name(self):
        return "plain"


def stock_client(address):
    host, port = address.split(":")
    connection = ClientSocket()
    connection.settimeout(20)
    connection.connect((host, int(port)))
    return SFTPClient(connection)


@pytest.fixture
def start_fleet(tmp_path):
    """Starts a fleet with one command; returns the process and the addresses of its edges."""
    started = []

    def start(*args):
        process = subprocess.Popen(
            [*COMMAND, "up", "--data", str(tmp_path / "fleet"), *args], stdout=subprocess.PIPE
        )
        started.append(process)
        return process, json.loads(process.stdout.readline())["edges"]

    yield start
    for process in started:
        if process.poll() is None:
            process.terminate()
            process.wait(30)


def child_processes(process):
    """Returns the `ps` lines of a process's children."""
    found = subprocess.run(
        ["ps", "-o", "pid=,args=", "--ppid", str(process.pid)], capture_output=True, text=True
    )
    return [line for line in found.stdout.splitlines() if "rushmux" in line]


def test_a_fleet_keeps_its_files_and_leaves_no_processes(start_fleet):
    data = os.urandom(600_000)
    process, edges = start_fleet("--edges", "2", "--nodes", "3")
    one, two = stock_client(edges[0]), stock_client(edges[1])
    one.putfo(io.BytesIO(data), "/limon/a.bin")
    got = io.BytesIO()
    two.getfo("/limon/a.bin", got)
    assert got.getvalue() == data and two.listdir("/limon") == ["a.bin"]
    with one.open("/limon/log", "a") as log:
        log.write("more\n")
    one.posix_rename("/limon/log", "/limon/renamed")
    assert one.stat("/limon/renamed").st_size == 5
    children = child_processes(process)
    assert len(children) == 6
    edge = next(int(line.split()[0]) for line in children if " edge " in line)
    os.kill(edge, signal.SIGKILL)  # the other edge still serves the same files
    connected = [client for client, address in zip((one, two), edges, strict=True) if is_connected(client)]
    assert len(connected) == 1 and connected[0].listdir("/limon") == ["a.bin", "renamed"]
    process.send_signal(signal.SIGTERM)
    assert process.wait(30) == 0
    for line in children:
        with pytest.raises(ProcessLookupError):
            os.kill(int(line.split()[0]), 0)
    _, edges = start_fleet("--edges", "1", "--nodes", "3")
    got = io.BytesIO()
    stock_client(edges[0]).getfo("/limon/a.bin", got)
    assert got.getvalue() == data


def is_connected(client):
    try:
        client.listdir("/limon")
        return True
    except (OSError, EOFError, SSHException):  # SSHException: disconnected during a request
        return False


def test_a_fleet_ends_when_its_starter_is_killed(start_fleet):
    process, _ = start_fleet("--edges", "1", "--nodes", "1")
    children = [int(line.split()[0]) for line in child_processes(process)]
    process.kill()
    process.wait()
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline and any(is_alive(pid) for pid in children):
        time.sleep(0.1)
    assert len(children) == 3 and not any(is_alive(pid) for pid in children)


def is_alive(pid):
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().split()[2] != "Z"
    except FileNotFoundError:
        return False


def test_connect_relays_a_client_to_an_edge(start_fleet):
    from rushmux.sftp import packets as sftp

    _, edges = start_fleet("--edges", "1", "--nodes", "1")
    requests = sftp.encode(sftp.Init(3, ())) + sftp.encode(sftp.RealPath(1, "/limon/.."))
    process = subprocess.Popen([*COMMAND, "connect", edges[0]], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    process.stdin.write(requests)
    process.stdin.flush()
    splitter, found = sftp.PacketSplitter(), []
    while len(found) < 2:
        found += [sftp.decode(body) for body in splitter.feed(process.stdout.read1(4_096))]
    process.stdin.close()
    assert found[1].names[0].name == "/" and process.wait(10) == 0


def test_a_short_bad_day_over_sockets_keeps_every_rule():
    result = subprocess.run(
        [*COMMAND, "demo", "--day", "short", "--load", "0.4"], capture_output=True, text=True, timeout=120
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert result.stdout.count("   kept") == len(RULES)


def test_the_virtual_day_does_not_depend_on_the_hash_seed():
    reports = [
        subprocess.run(
            [*COMMAND, "demo", "--virtual", "--day", "short", "--load", "0.3"],
            text=True,
            capture_output=True,
            timeout=120,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert reports[0] == reports[1] and " kept" in reports[0]


@pytest.mark.parametrize(
    "args, message",
    [
        (["check", "none.json"], "cannot be read"),
        (["edge", "--lists", "nowhere"], "'nowhere' is not HOST:PORT"),
        (
            ["edge", "--lists", "127.0.0.1:1", "--number", "9"],
            "--number 9 is out of range: the deployment has 3 edges, numbered from 0",
        ),
        (["demo", "--day", "none"], "cannot be read"),
        (["connect", "127.0.0.1:1"], "Connect call failed"),
        (
            ["node", "--name", "n", "--cell", "0", "--lists", "127.0.0.1:1", "--data", __file__],
            "not a database",
        ),
    ],
)
def test_invalid_arguments_are_reported_without_a_traceback(args, message):
    result = subprocess.run([*COMMAND, *args], capture_output=True, text=True, timeout=30)
    assert result.returncode not in (0, -11) and message in result.stderr and "Traceback" not in result.stderr
