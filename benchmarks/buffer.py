"""Compares file writes, streams and concurrent reads with the write-back buffer off and on.

    python benchmarks/buffer.py [--seeds 5]

Four nodes of two cores, 15 ms of a core for one unit of work, two edges.  Times are simulated, and
comparable only with each other.
"""

import argparse
import asyncio
import copy
import json
import random
import statistics
from pathlib import Path

from rushmux.settings import deployment
from rushmux.sftp import packets as sftp
from rushmux.standins import fleet as fleets
from rushmux.standins.client import StatusError

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())
UNIT_TIME = 0.015  # core seconds for one unit of work
SETTLE_TIME = 5  # seconds for the buffer to flush after a workload
WRITERS, FILES_PER_WRITER = 8, 30  # writers of small files, and files per writer
FILE_BYTES = (2_000, 8_000)  # range, end exclusive
FILE_RATE = 5  # 1 / mean seconds between a writer's files
STREAMS, STREAM_BYTES = 4, 2 << 20
STREAM_WRITES = (4_096, 16_384, 65_536)  # bytes of a write
RATE = 40  # reads, and writes to each folder, per second
READ_BYTES, WRITE_BYTES = 20_000, 8_192
READ_TIME = 10  # seconds of reads
MS_PER_SECOND = 1_000


def percentile(times, fraction):
    """Returns a quantile of the times, in milliseconds."""
    return sorted(times)[int(fraction * (len(times) - 1))] * MS_PER_SECOND


class Run:
    """Runs a workload with the buffer off or on.

    Attributes:
        times: Seconds of the calls that succeeded, by kind.
        rejected: Calls that failed.
        operations: Operations on nodes, including `writes` and `changes`.
        counters: Counters of the first edge's buffer, if it is on.
    """

    def __init__(self, buffer_on, seed, workload):
        raw = copy.deepcopy(EXAMPLE)
        if buffer_on:
            raw["buffer"] = {}
        self.times, self.rejected, self.rng = {}, 0, random.Random(seed)

        async def scenario(fleet):
            self.loop = fleet.loop
            await workload(self, fleet)
            await fleet.sleep(SETTLE_TIME)
            if buffer_on:
                self.counters = fleet.edges[0].program.buffer.counters

        fleet, _ = fleets.run_fleet(deployment.build(raw), seed, scenario, nodes=4, edges=2, unit=UNIT_TIME)
        rows = [row for row in fleet.records if row["kind"] == "execution" and row["what"] != "drop"]
        self.operations = len(rows)
        self.writes = sum(row["what"] == "write" for row in rows)
        self.changes = sum(row["what"] == "change" for row in rows)

    async def timed(self, kind, call):
        """Waits for a call and records its duration."""
        started_at = self.loop.time()
        try:
            await call
        except StatusError:
            self.rejected += 1
            return
        self.add_time(kind, started_at)

    def add_time(self, kind, started_at):
        """Records the time since `started_at`."""
        self.times.setdefault(kind, []).append(self.loop.time() - started_at)


async def small_files(run, fleet):
    """Clients write small files one after the other."""

    async def writer(number):
        client = await fleet.client(0)
        for index in range(FILES_PER_WRITER):
            size = run.rng.randrange(*FILE_BYTES)
            await run.timed("file", client.put(f"/heredia/{number}-{index}", bytes(size)))
            await asyncio.sleep(run.rng.expovariate(FILE_RATE))

    await asyncio.gather(*(writer(number) for number in range(WRITERS)))


def streams(write_bytes):
    """Returns a workload of clients that write one long file each, write by write."""

    async def workload(run, fleet):
        async def stream(number):
            client = await fleet.client(0)
            handle = await client.open(f"/heredia/s{number}", sftp.WRITE | sftp.CREATE)
            started_at = fleet.loop.time()
            for offset in range(0, STREAM_BYTES, write_bytes):
                await run.timed("write", client.ask(sftp.Write, handle, offset, bytes(write_bytes)))
            await run.timed("close", client.ask(sftp.Close, handle))
            run.add_time("whole", started_at)

        await asyncio.gather(*(stream(number) for number in range(STREAMS)))

    return workload


async def reads(run, fleet, folders_written):
    """Reads from one folder, while streams are written to others."""
    reader = await fleet.client(0)
    await reader.put("/limon/read", bytes(READ_BYTES))
    handle = await reader.open("/limon/read", sftp.READ)
    until = fleet.loop.time() + READ_TIME
    tasks = [asyncio.ensure_future(write_until(run, fleet, folder, until)) for folder in folders_written]
    while fleet.loop.time() < until:
        await asyncio.sleep(run.rng.expovariate(RATE))
        call = run.timed("read", reader.ask(sftp.Read, handle, 0, READ_BYTES))
        tasks.append(asyncio.ensure_future(call))
    await asyncio.gather(*tasks)


async def write_until(run, fleet, folder, until):
    """Writes a stream into a folder until a time of the loop's clock."""
    client = await fleet.client(0)
    handle = await client.open(f"/{folder}/s", sftp.WRITE | sftp.CREATE)
    offset = 0
    while fleet.loop.time() < until:
        await run.timed("write", client.ask(sftp.Write, handle, offset, bytes(WRITE_BYTES)))
        offset += WRITE_BYTES
        await asyncio.sleep(run.rng.expovariate(RATE))


async def reads_alone(run, fleet):
    """Reads from one folder without concurrent writes."""
    await reads(run, fleet, ())


async def reads_beside_writes(run, fleet):
    """Reads from one folder while two others are written to."""
    await reads(run, fleet, ("heredia", "golfo"))


def report(title, kinds, seeds, workload):
    """Prints the times and operations of a workload with the buffer off and on."""
    print(f"\n{title}")
    for buffer_on in (False, True):
        runs = [Run(buffer_on, seed, workload) for seed in seeds]
        state = "on " if buffer_on else "off"
        for kind in kinds:
            times = [time for run in runs for time in run.times[kind]]
            print(
                f"  buffer {state} {kind:6} 50th {percentile(times, 0.5):8.1f}  99th "
                f"{percentile(times, 0.99):8.1f}  worst {percentile(times, 1):8.1f} ms  ({len(times)})"
            )
        print(
            f"  buffer {state} node operations {median(runs, 'operations')} (writes "
            f"{median(runs, 'writes')}, changes {median(runs, 'changes')}), "
            f"refused {median(runs, 'rejected')}"
        )
        if buffer_on:
            ratios = [run.counters.object_bytes / max(1, run.counters.bytes) for run in runs]
            print(f"  bytes stored over bytes taken {statistics.median(ratios):.3f}")


def median(runs, name):
    """Returns the median of an attribute over the runs."""
    return int(statistics.median(getattr(run, name) for run in runs))


def main():
    """Prints all workloads."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(1, parser.parse_args().seeds + 1)
    report("240 small files by 8 writers", ("file",), seeds, small_files)
    for write_bytes in STREAM_WRITES:
        report(
            f"4 streams of 2 MiB in {write_bytes // 1024} KiB writes",
            ("write", "close", "whole"),
            seeds,
            streams(write_bytes),
        )
    report("40 reads a second alone", ("read",), seeds, reads_alone)
    report("40 reads a second beside writes", ("read", "write"), seeds, reads_beside_writes)


if __name__ == "__main__":
    main()
