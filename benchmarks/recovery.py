"""Measures how long an edge takes to recover the log of an earlier start, by the log's size.

    python benchmarks/recovery.py [--most 64]

The log is as an edge writes it: packets of 4 KiB over 64 files in 8 folders; its size is MiB of data.
"""

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path

from rushmux.buffer import journal
from rushmux.buffer.disk import SegmentFolder
from rushmux.settings import deployment
from rushmux.standins import fleet as fleets

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())
PACKET_BYTES, FILES, SEGMENT_BYTES = 4_096, 64, 4 << 20


def write_log(disk, size):
    """Writes a log with `size` MiB of data."""
    folders, parts = sorted(EXAMPLE["folders"])[:8], [journal.HEADER, journal.encode(journal.EpochRecord(1))]
    segment = 1
    for number, packet in enumerate(range(size * 256), 1):
        file, offset = packet % FILES, packet // FILES * PACKET_BYTES
        if offset == 0:
            parts.append(
                journal.encode(
                    journal.BaseRecord(folder=folders[file % 8], file=f"f{file}", path=f"/{file}", version=1)
                )
            )
        parts.append(
            journal.encode(
                journal.WriteRecord(
                    folder=folders[file % 8],
                    file=f"f{file}",
                    start=offset,
                    number=number,
                    barrier=0,
                    data=bytes(PACKET_BYTES),
                )
            )
        )
        if sum(map(len, parts[-1:])) * len(parts) > SEGMENT_BYTES:
            disk.append(f"00000001-{segment:06}.log", b"".join(parts))
            parts, segment = [journal.HEADER], segment + 1
    disk.append(f"00000001-{segment:06}.log", b"".join(parts))


def measure_recovery(size):
    """Returns seconds until an edge with such a log serves, and bytes recovered."""
    with tempfile.TemporaryDirectory() as folder:
        disk = SegmentFolder(folder)
        write_log(disk, size)
        raw = {**EXAMPLE, "buffer": {"edge_bytes": 1 << 30, "folder_bytes": 1 << 29, "log_bytes": 1 << 30}}

        async def scenario(fleet):
            fleet.log_disks[0] = disk
            fleet.kill_edge(0)
            started_at = time.perf_counter()
            await fleet.start_edge(0)
            took = time.perf_counter() - started_at
            await asyncio.sleep(0)
            return took, fleet.edges[0].program.buffer.writes.byte_count

        return fleets.run_fleet(deployment.build(raw), 1, scenario)[1]


def main():
    """Prints the benchmark's table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--most", type=int, default=64)
    size = 1
    while size <= parser.parse_args().most:
        took, recovered_bytes = measure_recovery(size)
        assert recovered_bytes == size << 20
        print(f"{size:4} MiB, {size * 256:6} packets: serves after {took:.3f} s", flush=True)
        size *= 4


if __name__ == "__main__":
    main()
