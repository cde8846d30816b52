"""Workers exit when the program that started them is killed, instead of waiting for work forever."""

import os
import subprocess
import sys
import time

import pytest

PROGRAM = """
import os, sys, time
from rushmux.worker_pool import worker_pool

def work(seconds):
    # print() of an unbuffered Python writes the line end by itself, so that two lines may mix.
    os.write(sys.stdout.fileno(), b"%d\\n" % os.getpid())
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pass

if __name__ == "__main__":
    with worker_pool(2) as pool:
        list(pool.map(work, [{seconds}] * 2))
        time.sleep(60)
"""


def is_alive(process_id):
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize("seconds", [0.2, 60], ids=["waiting", "working"])
def test_workers_end_when_their_parent_is_killed(tmp_path, seconds):
    path = tmp_path / "program.py"
    path.write_text(PROGRAM.format(seconds=seconds))
    parent = subprocess.Popen([sys.executable, path], stdout=subprocess.PIPE, text=True)
    try:
        workers = {int(parent.stdout.readline()) for _ in range(2)}
        time.sleep(0.5)
        assert all(map(is_alive, workers))
    finally:
        parent.kill()
        parent.wait()
        parent.stdout.close()
    deadline = time.monotonic() + 10
    while any(map(is_alive, workers)) and time.monotonic() < deadline:
        time.sleep(0.1)
    assert not any(map(is_alive, workers))
