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
from typing import NamedTuple

from rushmux import log
from rushmux.edge.planner_client import PlannerClient
from rushmux.fleet.membership import REPORT_INTERVAL
from rushmux.nodewire import VERSION, frame, messages
from rushmux.planner import admin_client
from rushmux.planner.membership_store import MembershipStore
from rushmux.planner.planner import Planner
from rushmux.simulation.loop import run

HOST = "127.0.0.1"
NODES = 47
START_TIME = 5.0  # seconds until everything is up
DEATHS = 5
QUIET = 20.0  # seconds of nothing but reports, for the cost of standing still


async def reports(name, cell, port, loop):
    """A node that only reports."""
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(frame(messages.Message(hello=messages.Hello(version=VERSION, peer=name, start="1"))))
    while True:
        entry = messages.Entry(
            node=name,
            host=HOST,
            port=1 + cell,
            cell=cell,
            zone=f"z{cell % 3}",
            condition="ready",
            start="1",
            age=int(loop.time() * 10_000),
        )
        writer.write(frame(messages.Message(report=messages.Report(entry=entry))))
        await asyncio.sleep(REPORT_INTERVAL)


class Figures(NamedTuple):
    """What a run measured; times in seconds."""

    removals: list[float]
    drains: list[float]
    releases: list[float]
    recovery: float
    processor_part: float
    bytes_per_second: float


class Trial:
    """A planner, nodes that only report, and edges' list clients, on a virtual clock."""

    def __init__(self, loop, edges, seed, folder):
        self.loop, self.edges, self.seed = loop, edges, seed
        self.store_path = Path(folder) / f"p{edges}"
        self.log = log.to_list([], "error")
        self.nodes, self.clients = {}, []
        self.informed = {}  # node and state -> when each edge was told
        self.bytes_sent = 0

    async def open(self):
        """Starts everything."""
        self.process = self.loop.process("planner")
        self.planner = Planner(NODES, MembershipStore(self.store_path), self.log)
        self.port = await self.process.spawn(self.planner.open(HOST, 0))
        for cell in range(NODES):
            process = self.loop.process(f"n{cell}")
            process.spawn(reports(f"n{cell}", cell, self.port, self.loop))
            self.nodes[f"n{cell}"] = process
        self.clients = [self.loop.create_task(self.client(number).run()) for number in range(self.edges)]
        await asyncio.sleep(START_TIME)

    def client(self, number):
        """The list client of an edge."""
        return PlannerClient(
            (HOST, self.port),
            messages.Hello(version=VERSION, peer=f"edge{number}", start="1"),
            random.Random(f"{self.seed}/{number}"),
            self.log,
            lambda listing: self.on_listing(number, listing),
        )

    def on_listing(self, number, listing):
        """Notes when an edge was told of each entry."""
        self.bytes_sent += listing.ByteSize()
        for entry in listing.entries:
            informed = self.informed.setdefault((entry.node, entry.condition), {})
            informed.setdefault(number, self.loop.time())

    async def all_informed(self, node, state, poll):
        """Waits until every edge was told of a node's state; when the last was."""
        while len(self.informed.get((node, state), ())) < self.edges:
            await asyncio.sleep(poll)
        return max(self.informed[node, state].values())

    async def idle_cost(self):
        """Part of a core and bytes a second while nothing happens."""
        self.bytes_sent, begun = 0, time.process_time()
        await asyncio.sleep(QUIET)
        return (time.process_time() - begun) / QUIET, self.bytes_sent / QUIET

    async def kill_nodes(self):
        """Seconds from a node's death until the last edge knows."""
        removals, rng = [], random.Random(self.seed)
        for name in rng.sample(sorted(self.nodes), DEATHS):
            await asyncio.sleep(rng.uniform(1, 3))
            died_at = self.loop.time()
            self.nodes[name].kill()
            removals.append(await self.all_informed(name, "gone", 0.05) - died_at)
        return removals

    async def drain_nodes(self):
        """Seconds from a drain until the last edge knows, and until the node is released."""
        drains, releases = [], []
        for name in [name for name in sorted(self.nodes) if not self.nodes[name].dead][:DEATHS]:
            asked_at = self.loop.time()
            await admin_client.send_fleet_command((HOST, self.port), "drain", name)
            drains.append(await self.all_informed(name, "draining", 0.01) - asked_at)
            while self.planner.state.membership.members[name].state != "drained":
                await asyncio.sleep(0.1)
            releases.append(self.loop.time() - asked_at)
        return drains, releases

    async def restart_planner(self):
        """Seconds from a planner's start until the last edge has its list."""
        self.process.kill()
        self.informed.clear()
        await asyncio.sleep(2)
        process, begun_at = self.loop.process("planner"), self.loop.time()
        planner = Planner(NODES, MembershipStore(self.store_path), self.log)
        await process.spawn(planner.open(HOST, self.port))
        while len({number for informed in self.informed.values() for number in informed}) < self.edges:
            await asyncio.sleep(0.05)
        return max(at for informed in self.informed.values() for at in informed.values()) - begun_at


def measured(edges, seed, folder):
    """The figures of a fleet with so many edges."""

    async def run_trial(loop):
        trial = Trial(loop, edges, seed, folder)
        await trial.open()
        processor_part, bytes_per_second = await trial.idle_cost()
        removals = await trial.kill_nodes()
        drains, releases = await trial.drain_nodes()
        recovery = await trial.restart_planner()
        for client in trial.clients:
            client.cancel()
        return Figures(removals, drains, releases, recovery, processor_part, bytes_per_second)

    return run(run_trial, seed)


def main():
    """Runs the benchmark and prints its table."""
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
            figures = measured(edges, seed, folder)
        values = (
            edges,
            statistics.median(figures.removals),
            max(figures.removals),
            statistics.median(figures.drains),
            statistics.median(figures.releases),
            figures.recovery,
            figures.processor_part,
            figures.bytes_per_second,
        )
        print(
            "".join(
                f"{value:{max(9, len(head) + 2)}.{0 if head in ('edges', 'bytes/s at rest') else 3}f}"
                for value, head in zip(values, heads, strict=True)
            )
        )
    print(
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB, edges' list clients and "
        f"{NODES} nodes "
        "included; CPU of them too"
    )


if __name__ == "__main__":
    main()
