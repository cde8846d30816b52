"""Measures the platform's gateway by endpoint list size: scheduler rounds, startup and memory.

python -m benchmarks.members
"""

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from rushmux.scheduling.interface import (
    AttemptReport,
    AttemptResult,
    Endpoint,
    EndpointState,
    OperationRequest,
    UpdateKind,
)
from rushmux.scheduling.scheduler import Scheduler
from rushmux.scheduling.structures import RandomGenerator
from rushmux.settings.platform import scheduler_settings_of
from rushmux.standins.platform import FakeClient, FakeDiscovery, FakeNode, configuration, settings

ROOT = Path(__file__).resolve().parents[1]
SIZES = 64, 256, 1_024
"""Numbers of nodes, and of shards and gateways."""
OPERATIONS = 2_000
"""Operations of each case."""
VOLUMES = 50
OPERATION_INTERVAL = 20
"""Ticks between two operations."""
WARM_UP_TIME = 300_000
"""Ticks of a node's slow start; longer than a case."""
START = 10_000
"""Ticks at which a case begins."""
OPERATION_TIME_LEFT = 10_000
"""Ticks until an operation's deadline."""
PORT = 27_381
LIST_TIME = 1.0
"""Seconds to wait for the list from discovery."""
CONNECT_INTERVAL = 0.01
"""Seconds between two attempts to connect."""
KIB_PER_MIB = 1024


class SchedulerCost(NamedTuple):
    """Cost of the scheduler in one case."""

    is_slow_start: bool
    list_ms: float
    median_us: float
    """Of an operation's two rounds."""
    p99_us: float


class ProcessCost(NamedTuple):
    """Cost of a gateway process."""

    ready_s: float
    """Until the first PONG."""
    peak_mb: float


class RecordingActions:
    """Records started attempts and ignores other actions."""

    def __init__(self):
        self.started: list[str] = []

    def start_attempt(self, op_id: str, node: str, timeout: int) -> None:
        """Records the operation's id."""
        self.started.append(op_id)

    def __getattr__(self, name):
        return lambda *_: None


def measure_scheduler(size: int) -> Iterator[SchedulerCost]:
    """Yields the cost with warm nodes, then in slow start."""
    scheduler_settings = scheduler_settings_of(settings(gateways=size, shards=size))._replace(
        warm_up_time=WARM_UP_TIME, slow_start_units=200 * size
    )
    for is_slow_start in (False, True):
        actions = RecordingActions()
        scheduler = Scheduler(scheduler_settings, 7, 0, actions)
        online_since = START if is_slow_start else 0
        endpoints = [
            Endpoint(f"s{number}", number, "a", EndpointState.READY, online_since) for number in range(size)
        ]
        started_at = time.perf_counter()
        scheduler.on_endpoints(START, UpdateKind.SNAPSHOT, endpoints)
        scheduler.run_round(START)
        list_time = time.perf_counter() - started_at
        times = sorted(_operation_times(scheduler, actions, size))
        median, p99 = times[OPERATIONS // 2], times[OPERATIONS * 99 // 100]
        yield SchedulerCost(is_slow_start, list_time * 1e3, median * 1e6, p99 * 1e6)


def _operation_times(scheduler: Scheduler, actions: RecordingActions, size: int) -> Iterator[float]:
    rng, now = RandomGenerator(1), START
    for number in range(OPERATIONS):
        now += OPERATION_INTERVAL
        started_at = time.perf_counter()
        volume, key, cell = f"v{number % VOLUMES}", f"k{number}", rng.below(size)
        request = OperationRequest(
            f"o{number}", "read", "base", volume, key, OPERATION_TIME_LEFT, 2, cell, 3, False
        )
        scheduler.on_operation(now, request)
        scheduler.run_round(now)
        for op_id in actions.started:
            report = AttemptReport(op_id, 0, AttemptResult.SUCCEEDED, True, 50, 0.0)
            scheduler.on_attempt_result(now + 1, report)
        actions.started.clear()
        scheduler.run_round(now + 1)
        yield time.perf_counter() - started_at


async def measure_process(size: int) -> ProcessCost:
    """Measures a gateway process."""
    node, discovery, loop = FakeNode(), FakeDiscovery(), asyncio.get_running_loop()
    await node.open()
    await discovery.open()
    discovery.update(*(node.row(f"s{number}", number) for number in range(size)))
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        rows = list(discovery.rows.values())
        json.dump(configuration(discovery.port, rows, PORT, gateways=size, shards=size), file)
        file.flush()
        started_at = loop.time()
        process = subprocess.Popen(
            [sys.executable, "-m", "rushmux.gateway"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": file.name},
        )
        try:
            client = await _connect()
            await client.request(b"PING")
            ready = loop.time() - started_at
            await asyncio.sleep(LIST_TIME)
            status = Path(f"/proc/{process.pid}/status").read_text()
        finally:
            process.kill()
            process.wait()
            node.close()
            discovery.close()
    return ProcessCost(ready, int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / KIB_PER_MIB)


async def _connect() -> FakeClient:
    while True:
        try:
            return await FakeClient().open(PORT)
        except OSError:
            await asyncio.sleep(CONNECT_INTERVAL)


def main() -> None:
    """Prints the costs for each size."""
    for size in SIZES:
        for cost in measure_scheduler(size):
            print(
                f"{size} nodes {'cold' if cost.is_slow_start else 'warm'}: list {cost.list_ms:.1f} ms, "
                f"operation {cost.median_us:.0f} us, {cost.p99_us:.0f} us (99th)"
            )
        process = asyncio.run(measure_process(size))
        print(f"{size} nodes: ready {process.ready_s:.2f} s, {process.peak_mb:.1f} MB")


if __name__ == "__main__":
    main()
