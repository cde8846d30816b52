"""Measures the planner at 10, 100 and 300 edges: delays until the last edge knows a change, and the cost.

    python -m benchmarks.planner [--seed N]

Runs the real planner, and the edges' planner clients, on a virtual clock, with nodes that only report.
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
DEATHS = 5  # also the number of drains
IDLE_TIME = 20.0  # seconds without changes, to measure the idle cost


async def send_reports(name, cell, port, loop):
    """Reports to the planner as a node."""
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


class Results(NamedTuple):
    """Results of a run; times in seconds."""

    removals: list[float]
    drains: list[float]
    releases: list[float]
    recovery: float
    cpu_fraction: float
    bytes_per_second: float


class Trial:
    """One run with a fixed number of edges."""

    def __init__(self, loop, edges, seed, folder):
        self.loop, self.edges, self.seed = loop, edges, seed
        self.store_path = Path(folder) / f"p{edges}"
        self.log = log.to_list([], "error")
        self.nodes, self.clients = {}, []
        self.informed = {}  # node and state -> when each edge learned of it
        self.bytes_sent = 0

    async def open(self):
        """Starts everything."""
        self.process = self.loop.process("planner")
        self.planner = Planner(NODES, MembershipStore(self.store_path), self.log)
        self.port = await self.process.spawn(self.planner.open(HOST, 0))
        for cell in range(NODES):
            process = self.loop.process(f"n{cell}")
            process.spawn(send_reports(f"n{cell}", cell, self.port, self.loop))
            self.nodes[f"n{cell}"] = process
        self.clients = [self.loop.create_task(self.client(number).run()) for number in range(self.edges)]
        await asyncio.sleep(START_TIME)

    def client(self, number):
        """Returns an edge's planner client."""
        return PlannerClient(
            (HOST, self.port),
            messages.Hello(version=VERSION, peer=f"edge{number}", start="1"),
            random.Random(f"{self.seed}/{number}"),
            self.log,
            lambda listing: self.on_listing(number, listing),
        )

    def on_listing(self, number, listing):
        """Records when an edge learned of each entry."""
        self.bytes_sent += listing.ByteSize()
        for entry in listing.entries:
            informed = self.informed.setdefault((entry.node, entry.condition), {})
            informed.setdefault(number, self.loop.time())

    async def all_informed(self, node, state, poll):
        """Waits until every edge knows a node's state; returns when the last one learned it."""
        while len(self.informed.get((node, state), ())) < self.edges:
            await asyncio.sleep(poll)
        return max(self.informed[node, state].values())

    async def idle_cost(self):
        """Returns CPU fraction and bytes per second while nothing changes."""
        self.bytes_sent, cpu_started_at = 0, time.process_time()
        await asyncio.sleep(IDLE_TIME)
        return (time.process_time() - cpu_started_at) / IDLE_TIME, self.bytes_sent / IDLE_TIME

    async def kill_nodes(self):
        """Returns seconds from a node's death until the last edge knows."""
        removals, rng = [], random.Random(self.seed)
        for name in rng.sample(sorted(self.nodes), DEATHS):
            await asyncio.sleep(rng.uniform(1, 3))
            died_at = self.loop.time()
            self.nodes[name].kill()
            removals.append(await self.all_informed(name, "gone", 0.05) - died_at)
        return removals

    async def drain_nodes(self):
        """Returns seconds from a drain until the last edge knows, and until the node is released."""
        drains, releases = [], []
        for name in [name for name in sorted(self.nodes) if not self.nodes[name].dead][:DEATHS]:
            requested_at = self.loop.time()
            await admin_client.send_fleet_command((HOST, self.port), "drain", name)
            drains.append(await self.all_informed(name, "draining", 0.01) - requested_at)
            while self.planner.state.membership.members[name].state != "drained":
                await asyncio.sleep(0.1)
            releases.append(self.loop.time() - requested_at)
        return drains, releases

    async def restart_planner(self):
        """Returns seconds from a planner's restart until the last edge has its list."""
        self.process.kill()
        self.informed.clear()
        await asyncio.sleep(2)
        process, started_at = self.loop.process("planner"), self.loop.time()
        planner = Planner(NODES, MembershipStore(self.store_path), self.log)
        await process.spawn(planner.open(HOST, self.port))
        while len({number for informed in self.informed.values() for number in informed}) < self.edges:
            await asyncio.sleep(0.05)
        return max(at for informed in self.informed.values() for at in informed.values()) - started_at


def measure(edges, seed, folder):
    """Runs a trial and returns its results."""

    async def run_trial(loop):
        trial = Trial(loop, edges, seed, folder)
        await trial.open()
        cpu_fraction, bytes_per_second = await trial.idle_cost()
        removals = await trial.kill_nodes()
        drains, releases = await trial.drain_nodes()
        recovery = await trial.restart_planner()
        for client in trial.clients:
            client.cancel()
        return Results(removals, drains, releases, recovery, cpu_fraction, bytes_per_second)

    return run(run_trial, seed)


def main():
    """Prints the benchmark's table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    headings = (
        "edges",
        "death to last edge s",
        "worst",
        "drain to last edge s",
        "to release s",
        "back to last edge s",
        "CPU part at rest",
        "bytes/s at rest",
    )
    print("".join(f"{heading:>{max(9, len(heading) + 2)}}" for heading in headings))
    for edges in (10, 100, 300):
        with tempfile.TemporaryDirectory() as folder:
            results = measure(edges, seed, folder)
        values = (
            edges,
            statistics.median(results.removals),
            max(results.removals),
            statistics.median(results.drains),
            statistics.median(results.releases),
            results.recovery,
            results.cpu_fraction,
            results.bytes_per_second,
        )
        print(
            "".join(
                f"{value:{max(9, len(heading) + 2)}.{0 if heading in ('edges', 'bytes/s at rest') else 3}f}"
                for value, heading in zip(values, headings, strict=True)
            )
        )
    print(
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB, edges' list clients and "
        f"{NODES} nodes "
        "included; CPU of them too"
    )


if __name__ == "__main__":
    main()
