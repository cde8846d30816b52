"""Restrictions on the gateway: one process, TCP and UDP over IPv4, no code of the control plane.

The tests start the `run` command of the deploy file under an audit hook of the interpreter.
"""

import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from rushmux.standins.platform import read_command

ROOT = Path(__file__).resolve().parents[2]

# Run as `python -c GUARD MODULE`: refuses forbidden calls and reports them on standard error, and at the end
# the imported modules.
GUARD = """
import _socket, os, runpy, sys
STARTS = ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "pty.spawn",
          "subprocess.Popen")
PAIRS = [2]   # Unix sockets allowed: the event loop's own socket pair
def refuse(what):
    os.write(2, b"FORBIDDEN %s\\n" % what.encode())
    raise PermissionError(what)
def guard(event, args):
    if event in STARTS:
        refuse(event)
    if event == "socket.__new__":
        family, kind = args[1], args[2] & 15
        if family == _socket.AF_UNIX and PAIRS[0]:
            PAIRS[0] -= 1
        elif family != _socket.AF_INET or kind not in (_socket.SOCK_STREAM, _socket.SOCK_DGRAM):
            refuse(f"socket {family} {kind}")
    if event in ("socket.bind", "socket.connect", "socket.sendto") and args[0].family != _socket.AF_INET:
        refuse(event)
for name in ("sendfile", "splice"):
    if hasattr(os, name):
        setattr(os, name, lambda *args, name=name: refuse(name))
sys.addaudithook(guard)
try:
    runpy.run_module(sys.argv[1], run_name="__main__")
finally:
    os.write(2, b"IMPORTED %s\\n" % " ".join(sorted(sys.modules)).encode())
"""
CONTROL_PLANE = (
    "rushmux.planner",
    "rushmux.fleet",
    "rushmux.lab",
    "rushmux.standins",
    "rushmux.cli",
    "sqlite3",
    "google.protobuf",
    "numpy",
    "structlog",
)


def module_of_run():
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    arguments = line.split()
    # `exec` replaces the shell, so that the interpreter is the only process.
    assert arguments[:3] == ["exec", ".venv/bin/python", "-m"] and len(arguments) == 4
    return arguments[3]


def test_run_serves_within_the_restrictions(with_process):
    async def scenario(fleet):
        client = await fleet.client()
        answers = [await client.request(b"PING"), await client.request(*read_command(1))]
        fleet.process.send_signal(signal.SIGTERM)
        log = (await fleet.process.stderr.read()).decode()
        return answers, log, await fleet.process.wait()

    answers, log, code = with_process(scenario, ("-c", GUARD, module_of_run()))
    assert answers == [("+", b"PONG"), ("$", b"data")] and code == 0
    assert "FORBIDDEN" not in log
    imported = log.rpartition("IMPORTED ")[2].split()
    assert "rushmux.gateway.server" in imported
    assert [
        name for name in imported if any(name == one or name.startswith(one + ".") for one in CONTROL_PLANE)
    ] == []


@pytest.mark.parametrize(
    "act",
    [
        "os.fork()",
        "os.system('true')",
        "subprocess.run(['true'])",
        "socket.socket(socket.AF_INET6)",
        "[socket.socketpair() for _ in range(2)]",
        "os.sendfile(1, 0, 0, 1)",
    ],
)
def test_the_guard_refuses_forbidden_calls(act, tmp_path):
    (tmp_path / "bad.py").write_text(f"import os, socket, subprocess\n{act}\n")
    done = subprocess.run(
        [sys.executable, "-c", GUARD, "bad"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode and "FORBIDDEN" in done.stderr
