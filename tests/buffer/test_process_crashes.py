"""Crashes of real edge processes; `rushmux kills --real` runs more of them."""

import subprocess
import sys


def test_real_edges_lose_no_answered_flush_when_killed():
    command = [sys.executable, "-m", "rushmux", "kills", "--real"]
    options = ["--runs", "24", "--jobs", "4", "--seed", "500"]
    done = subprocess.run([*command, *options], capture_output=True, text=True, timeout=280)
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.startswith("24 kills, real processes") and "0 with something wrong" in done.stdout
