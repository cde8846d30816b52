"""The planner at 10, 100 and 300 edges: from a node's death or drain until the last edge knows, and its cost.

    python -m benchmarks.planner [--seed N]

On the virtual clock with the planner's own program, edges' list clients and nodes that report each second.
"""

import argparse
import asyncio
import random
import resource
import statistics
import tempfile
import time
from pathlib import Path

from rushmux import log
from rushmux.edge.planner_client import PlannerClient
from rushmux.fleet.membership import REPORT_INTERVAL
from rushmux.nodewire import VERSION, frame, messages
from rushmux.planner import admin_client
from rushmux.planner.membership_store import MembershipStore
from rushmux.planner.planner import Planner
from rushmux.simulation.loop import run

NODES = 47
DEATHS = 5
QUIET = 20.0  # seconds of nothing but reports, for the cost of standing still


async def reports(name, cell, port, loop):
    """A node that only reports."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(frame(messages.Message(hello=messages.Hello(version=VERSION, peer=name, start="1"))))
    while True:
        entry = messages.Entry(
            node=name,
            host="127.0.0.1",
            port=1 + cell,
            cell=cell,
            zone=f"z{cell % 3}",
            condition="ready",
            start="1",
            age=int(loop.time() * 10_000),
        )
        writer.write(frame(messages.Message(report=messages.Report(entry=entry))))
        await asyncio.sleep(REPORT_INTERVAL)


def measured(edges, seed, folder):
    async def whole(loop):
        rows, told, sent = [], {}, [0]
        logger = log.to_list(rows, "error")
        process = loop.process("planner")
        planner = Planner(NODES, MembershipStore(Path(folder) / f"p{edges}"), logger)
        port = await process.spawn(planner.open("127.0.0.1", 0))
        nodes = {}
        for cell in range(NODES):
            part = loop.process(f"n{cell}")
            part.spawn(reports(f"n{cell}", cell, port, loop))
            nodes[f"n{cell}"] = part

        def heard(number, listing):
            sent[0] += listing.ByteSize()
            for entry in listing.entries:
                told.setdefault((entry.node, entry.condition), {}).setdefault(number, loop.time())

        tasks = []
        for number in range(edges):
            hello = messages.Hello(version=VERSION, peer=f"edge{number}", start="1")
            tasks.append(
                loop.create_task(
                    PlannerClient(
                        ("127.0.0.1", port),
                        hello,
                        random.Random(f"{seed}/{number}"),
                        logger,
                        lambda listing, n=number: heard(n, listing),
                    ).run()
                )
            )
        await asyncio.sleep(5)
        sent[0], begun = 0, time.process_time()
        await asyncio.sleep(QUIET)
        quiet_cpu, quiet_bytes = (time.process_time() - begun) / QUIET, sent[0] / QUIET
        deaths, drains, released = [], [], []
        chance = random.Random(seed)
        for name in chance.sample(sorted(nodes), DEATHS):
            await asyncio.sleep(chance.uniform(1, 3))
            died = loop.time()
            nodes[name].kill()
            while len(told.get((name, "gone"), ())) < edges:
                await asyncio.sleep(0.05)
            deaths.append(max(told[name, "gone"].values()) - died)
        for name in [name for name in sorted(nodes) if not nodes[name].dead][:DEATHS]:
            asked = loop.time()
            await admin_client.send_fleet_command(("127.0.0.1", port), "drain", name)
            while len(told.get((name, "draining"), ())) < edges:
                await asyncio.sleep(0.01)
            drains.append(max(told[name, "draining"].values()) - asked)
            while planner.state.membership.members[name].state != "drained":
                await asyncio.sleep(0.1)
            released.append(loop.time() - asked)
        killed = loop.time()
        process.kill()
        told.clear()
        await asyncio.sleep(2)
        again = loop.process("planner")
        back = loop.time()
        await again.spawn(
            Planner(NODES, MembershipStore(Path(folder) / f"p{edges}"), logger).open("127.0.0.1", port)
        )
        while len({number for known in told.values() for number in known}) < edges:
            await asyncio.sleep(0.05)
        last = max(at for known in told.values() for at in known.values())
        for task in tasks:
            task.cancel()
        return deaths, drains, released, last - back, back - killed, quiet_cpu, quiet_bytes

    return run(whole, seed)


def main():
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--seed", type=int, default=1)
    seed = asked.parse_args().seed
    heads = (
        "edges",
        "death to last edge s",
        "worst",
        "drain to last edge s",
        "to release s",
        "back to last edge s",
        "CPU part at rest",
        "bytes/s at rest",
    )
    print("".join(f"{head:>{max(9, len(head) + 2)}}" for head in heads))
    for edges in (10, 100, 300):
        with tempfile.TemporaryDirectory() as folder:
            deaths, drains, released, back, _, cpu, sent = measured(edges, seed, folder)
        values = (
            edges,
            statistics.median(deaths),
            max(deaths),
            statistics.median(drains),
            statistics.median(released),
            back,
            cpu,
            sent,
        )
        print(
            "".join(
                f"{value:{max(9, len(head) + 2)}.{0 if head in ('edges', 'bytes/s at rest') else 3}f}"
                for value, head in zip(values, heads)
            )
        )
    print(
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB, edges' list clients and "
        f"{NODES} nodes "
        "included; CPU of them too"
    )


if __name__ == "__main__":
    main()
