"""What the write-back buffer does for filing and to live reads, on the virtual clock, off and on in one run.

    python benchmarks/buffer.py [--seeds 5]

Four nodes of two cores, 15 ms of a core for a unit, two edges.  Times are simulated and mean nothing but
against each other.
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
from rushmux.standins.client import Refusal

EXAMPLE = json.loads(Path(deployment.__file__).with_name("example.json").read_text())
UNIT = 0.015


def share(times, part):
    return sorted(times)[int(part * (len(times) - 1))] * 1_000


class Run:
    """One story with the buffer off or on."""

    def __init__(self, on, seed, story, **fleet):
        raw = copy.deepcopy(EXAMPLE)
        if on:
            raw["buffer"] = {}
        self.times, self.refused, self.chance = {}, 0, random.Random(seed)

        async def whole(made):
            self.loop = made.loop
            await story(self, made)
            await made.sleep(5)
            if on:
                self.counts = made.edges[0].program.buffer.counts

        made, _ = fleets.play(deployment.build(raw), seed, whole, nodes=4, edges=2, **{"unit": UNIT, **fleet})
        rows = [row for row in made.records if row["kind"] == "execution" and row["what"] != "drop"]
        self.operations = len(rows)
        self.writes = sum(row["what"] == "write" for row in rows)
        self.changes = sum(row["what"] == "change" for row in rows)

    async def timed(self, name, call):
        begun = self.loop.time()
        try:
            await call
        except Refusal:
            self.refused += 1
            return
        self.times.setdefault(name, []).append(self.loop.time() - begun)


async def small_files(run, fleet):
    """Eight desks file 30 documents each, one after the other."""

    async def desk(number):
        client = await fleet.client(0)
        for place in range(30):
            size = run.chance.randrange(2_000, 8_000)
            await run.timed("file", client.put(f"/heredia/{number}-{place}", bytes(size)))
            await asyncio.sleep(run.chance.expovariate(5))

    await asyncio.gather(*(desk(number) for number in range(8)))


def stream(size):
    """Four clients write 2 MiB each in pieces of `size`, one at a time, and close."""

    async def story(run, fleet):
        async def one(number):
            client = await fleet.client(0)
            handle = await client.open(f"/heredia/s{number}", sftp.WRITE | sftp.CREATE)
            begun = fleet.loop.time()
            for at in range(0, 2 << 20, size):
                await run.timed("write", client.ask(sftp.Write, handle, at, bytes(size)))
            await run.timed("close", client.ask(sftp.Close, handle))
            run.times.setdefault("whole", []).append(fleet.loop.time() - begun)

        await asyncio.gather(*(one(number) for number in range(4)))

    return story


async def reads_beside(run, fleet):
    """Readers of one folder while another two are filed into: 40 reads a second for ten seconds."""
    reader = await fleet.client(0)
    await reader.put("/limon/read", bytes(20_000))
    handle = await reader.open("/limon/read", sftp.READ)

    async def filing(folder):
        client = await fleet.client(0)
        handle = await client.open(f"/{folder}/s", sftp.WRITE | sftp.CREATE)
        at = 0
        while fleet.loop.time() < until:
            await run.timed("write", client.ask(sftp.Write, handle, at, bytes(8_192)))
            at += 8_192
            await asyncio.sleep(run.chance.expovariate(40))

    until = fleet.loop.time() + 10
    tasks = [asyncio.ensure_future(filing(folder)) for folder in ("heredia", "golfo")]
    while fleet.loop.time() < until:
        await asyncio.sleep(run.chance.expovariate(40))
        tasks.append(asyncio.ensure_future(run.timed("read", reader.ask(sftp.Read, handle, 0, 20_000))))
    await asyncio.gather(*tasks)


async def reads_alone(run, fleet):
    """The same readers with nobody filing."""
    reader = await fleet.client(0)
    await reader.put("/limon/read", bytes(20_000))
    handle = await reader.open("/limon/read", sftp.READ)
    until, tasks = fleet.loop.time() + 10, []
    while fleet.loop.time() < until:
        await asyncio.sleep(run.chance.expovariate(40))
        tasks.append(asyncio.ensure_future(run.timed("read", reader.ask(sftp.Read, handle, 0, 20_000))))
    await asyncio.gather(*tasks)


def told(name, what, seeds, story):
    print(f"\n{name}")
    for on in (False, True):
        runs = [Run(on, seed, story) for seed in seeds]
        for kind in what:
            times = [time for run in runs for time in run.times[kind]]
            print(
                f"  buffer {'on ' if on else 'off'} {kind:6} 50th {share(times, 0.5):8.1f}  99th "
                f"{share(times, 0.99):8.1f}  worst {share(times, 1):8.1f} ms  ({len(times)})"
            )
        print(
            f"  buffer {'on ' if on else 'off'} node operations {median(runs, 'operations')} (writes "
            f"{median(runs, 'writes')}, changes {median(runs, 'changes')}), "
            f"refused {median(runs, 'refused')}"
        )
        if on:
            counts = [run.counts for run in runs]
            twice = [count["object_bytes"] / max(1, count["bytes"]) for count in counts]
            print(f"  bytes stored over bytes taken {statistics.median(twice):.3f}")


def median(runs, name):
    return int(statistics.median(getattr(run, name) for run in runs))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(1, parser.parse_args().seeds + 1)
    told("240 small files by 8 desks", ("file",), seeds, small_files)
    for size in (4_096, 16_384, 65_536):
        told(
            f"4 streams of 2 MiB in {size // 1024} KiB writes",
            ("write", "close", "whole"),
            seeds,
            stream(size),
        )
    told("40 reads a second alone", ("read",), seeds, reads_alone)
    told("40 reads a second beside filing", ("read", "write"), seeds, reads_beside)


if __name__ == "__main__":
    main()
