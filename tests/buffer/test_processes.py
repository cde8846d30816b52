"""Kills of real edges: tens here, hundreds by `rushmux kills --real`."""

import subprocess
import sys


def test_real_edges_are_killed_within_their_write_back():
    done = subprocess.run(
        [sys.executable, "-m", "rushmux", "kills", "--real", "--runs", "24", "--jobs", "4", "--seed", "500"],
        capture_output=True,
        text=True,
        timeout=280,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.startswith("24 kills, real processes") and "0 with something wrong" in done.stdout
