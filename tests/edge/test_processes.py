"""The programs as processes on loopback."""

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

COMMAND = [sys.executable, "-m", "rushmux"]


class Plain(socket.socket):
    """A socket with the one more thing that the stock client asks of what it speaks through."""

    def get_name(self):
        return "plain"


def stock_client(address):
    host, port = address.split(":")
    plain = Plain()
    plain.settimeout(20)
    plain.connect((host, int(port)))
    return SFTPClient(plain)


@pytest.fixture
def up(tmp_path):
    """Starts fleets with one command; the process and the addresses of its edges."""
    started = []

    def start(*words):
        process = subprocess.Popen(
            [*COMMAND, "up", "--data", str(tmp_path / "fleet"), *words], stdout=subprocess.PIPE
        )
        started.append(process)
        return process, json.loads(process.stdout.readline())["edges"]

    yield start
    for process in started:
        if process.poll() is None:
            process.terminate()
            process.wait(30)


def of_group(process):
    """Processes that this one started."""
    found = subprocess.run(
        ["ps", "-o", "pid=,args=", "--ppid", str(process.pid)], capture_output=True, text=True
    )
    return [line for line in found.stdout.splitlines() if "rushmux" in line]


def test_a_fleet_keeps_its_files_and_leaves_no_process(up):
    data = os.urandom(600_000)
    process, edges = up("--edges", "2", "--nodes", "3")
    one, two = stock_client(edges[0]), stock_client(edges[1])
    one.putfo(io.BytesIO(data), "/limon/a.bin")
    got = io.BytesIO()
    two.getfo("/limon/a.bin", got)
    assert got.getvalue() == data and two.listdir("/limon") == ["a.bin"]
    with one.open("/limon/log", "a") as log:
        log.write("more\n")
    one.posix_rename("/limon/log", "/limon/renamed")
    assert one.stat("/limon/renamed").st_size == 5
    children = of_group(process)
    assert len(children) == 6
    edge = next(int(line.split()[0]) for line in children if " edge " in line)
    os.kill(edge, signal.SIGKILL)  # the other edge serves the same files at once
    left = [client for client, address in zip((one, two), edges, strict=True) if works(client)]
    assert len(left) == 1 and left[0].listdir("/limon") == ["a.bin", "renamed"]
    process.send_signal(signal.SIGTERM)
    assert process.wait(30) == 0
    for line in children:
        with pytest.raises(ProcessLookupError):
            os.kill(int(line.split()[0]), 0)
    _, edges = up("--edges", "1", "--nodes", "3")
    got = io.BytesIO()
    stock_client(edges[0]).getfo("/limon/a.bin", got)
    assert got.getvalue() == data


def works(client):
    try:
        client.listdir("/limon")
        return True
    except (OSError, EOFError, SSHException):  # the last: it broke in the middle of a request
        return False


def test_a_fleet_whose_starter_is_killed_ends_too(up):
    process, _ = up("--edges", "1", "--nodes", "1")
    children = [int(line.split()[0]) for line in of_group(process)]
    process.kill()
    process.wait()
    until = time.monotonic() + 20
    while time.monotonic() < until and any(alive(pid) for pid in children):
        time.sleep(0.1)
    assert len(children) == 3 and not any(alive(pid) for pid in children)


def alive(pid):
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().split()[2] != "Z"
    except FileNotFoundError:
        return False


def test_connect_joins_a_client_to_an_edge(up):
    from rushmux.sftp import packets as sftp

    _, edges = up("--edges", "1", "--nodes", "1")
    asked = sftp.encode(sftp.Init(3, ())) + sftp.encode(sftp.RealPath(1, "/limon/.."))
    joined = subprocess.Popen([*COMMAND, "connect", edges[0]], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    joined.stdin.write(asked)
    joined.stdin.flush()
    splitter, found = sftp.PacketSplitter(), []
    while len(found) < 2:
        found += [sftp.decode(body) for body in splitter.feed(joined.stdout.read1(4_096))]
    joined.stdin.close()
    assert found[1].names[0].name == "/" and joined.wait(10) == 0


def test_a_short_bad_day_over_sockets_keeps_every_rule():
    played = subprocess.run(
        [*COMMAND, "demo", "--day", "short", "--load", "0.4"], capture_output=True, text=True, timeout=120
    )
    assert played.returncode == 0, played.stdout + played.stderr
    assert played.stdout.count("   kept") == 8


def test_the_virtual_day_does_not_hang_on_the_order_of_hashes():
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
    "words, said",
    [
        (["check", "none.json"], "cannot be read"),
        (["edge", "--lists", "nowhere"], "'nowhere' is no HOST:PORT"),
        (["edge", "--lists", "127.0.0.1:1", "--number", "9"], "edge 9 of 3"),
        (["demo", "--day", "none"], "cannot be read"),
        (["connect", "127.0.0.1:1"], "Connect call failed"),
        (
            ["node", "--name", "n", "--cell", "0", "--lists", "127.0.0.1:1", "--data", __file__],
            "not a database",
        ),
    ],
)
def test_bad_words_are_told_plainly(words, said):
    done = subprocess.run([*COMMAND, *words], capture_output=True, text=True, timeout=30)
    assert done.returncode not in (0, -11) and said in done.stderr and "Traceback" not in done.stderr
