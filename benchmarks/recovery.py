"""How long an edge needs to take in the log of an earlier start, by the log's size.

    python benchmarks/recovery.py [--most 64]

The log is made as an edge makes it: packets of 4 KiB over 64 files of 8 folders, in MiB held.
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
PACKET, FILES, SEGMENT = 4_096, 64, 4 << 20


def made(disk, size):
    """A log that holds `size` MiB."""
    folders, parts = sorted(EXAMPLE["folders"])[:8], [journal.HEADER, journal.encode(journal.EpochRecord(1))]
    segment = 1
    for number, place in enumerate(range(size * 256), 1):
        file, at = place % FILES, place // FILES * PACKET
        if at == 0:
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
                    start=at,
                    number=number,
                    barrier=0,
                    data=bytes(PACKET),
                )
            )
        )
        if sum(map(len, parts[-1:])) * len(parts) > SEGMENT:
            disk.append(f"00000001-{segment:06}.log", b"".join(parts))
            parts, segment = [journal.HEADER], segment + 1
    disk.append(f"00000001-{segment:06}.log", b"".join(parts))


def taken_in(size):
    """Seconds until an edge with such a log serves; its packets."""
    with tempfile.TemporaryDirectory() as folder:
        disk = SegmentFolder(folder)
        made(disk, size)
        raw = {**EXAMPLE, "buffer": {"edge_bytes": 1 << 30, "folder_bytes": 1 << 29, "log_bytes": 1 << 30}}

        async def story(fleet):
            fleet.log_disks[0] = disk
            fleet.kill_edge(0)
            begun = time.perf_counter()
            await fleet.start_edge(0)
            took = time.perf_counter() - begun
            await asyncio.sleep(0)
            return took, fleet.edges[0].program.buffer.writes.byte_count

        return fleets.run_fleet(deployment.build(raw), 1, story)[1]


def main():
    """Runs the benchmark and prints its table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--most", type=int, default=64)
    size = 1
    while size <= parser.parse_args().most:
        took, held = taken_in(size)
        assert held == size << 20
        print(f"{size:4} MiB, {size * 256:6} packets: serves after {took:.3f} s", flush=True)
        size *= 4


if __name__ == "__main__":
    main()
