"""A fleet on the virtual clock: list source, nodes, edges and clients in one process."""

import asyncio
import random
from pathlib import Path

from rushmux import log
from rushmux.buffer.disk import SimulatedSegments
from rushmux.buffer.writeback import write_back_factory
from rushmux.edge.edge import Edge
from rushmux.edge.endpoint_cache import EndpointCache
from rushmux.edge.node_connections import Address
from rushmux.planner.membership_store import MembershipStore
from rushmux.planner.planner import Planner
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.deployment import Deployment, build
from rushmux.simulation.loop import SimulatedLoop, run
from rushmux.standins.client import Client
from rushmux.standins.fleet_operations import FleetOperations
from rushmux.standins.lists import ListSource
from rushmux.standins.node import Identity, Node
from rushmux.standins.service_model import Shape
from rushmux.standins.store import Store

HOST = "127.0.0.1"
START_TIMEOUT = 60.0
"""Seconds for every edge to know all nodes."""
POLL_INTERVAL = 0.05
DISK_SIZE = 1 << 30
"""The default size of a node's disk, bytes."""
EPOCH = 1_800_000_000.0
"""Calendar time at the start of the virtual clock."""

FAULT_EVENTS = ("task.failed", "peer.fault", "policy_leader.answer_fault", "raft.command_unreadable")
"""Log events of internal errors that a program survived; in tests they are failures."""


class Part:
    """A program of the fleet and the simulated process that runs it."""

    def __init__(self, process, program, port):
        self.process, self.program, self.port = process, program, port

    @property
    def address(self):
        """The address at which it listens."""
        return Address(HOST, self.port)


def shape_of(deployment: Deployment, **other) -> Shape:
    """The machine that a deployment states."""
    settings = deployment.settings
    return Shape(
        cold_start=settings.initial_capacity,
        warm_within=settings.warm_up_time / TICKS_PER_SECOND,
        fall_multiple=settings.overload_multiple,
        cold_span=deployment.bounds.overload_window / TICKS_PER_SECOND,
        **other,
    )


def dedup_window_of(deployment: Deployment) -> float:
    """How long a node recognizes the mark of a change, with a second for network delays."""
    return deployment.settings.request_classes[deployment.roles["change"]].dedup_window / TICKS_PER_SECOND + 1


class VirtualFleet(FleetOperations):
    """A fleet whose parts run in simulated processes.

    Attributes:
        records: Recorded events.
        logs: Log entries.
    """

    def __init__(
        self,
        loop: SimulatedLoop,
        deployment: Deployment,
        seed: int,
        *,
        lag=1.0,
        scheduler_type=Scheduler,
        level="info",
        disk=DISK_SIZE,
        buffer_logs=True,
        planner=None,
        endpoint_cache_folder=None,
        **shape,
    ):
        self.loop, self.deployment, self.rng = loop, deployment, random.Random(seed)
        self.lag, self.scheduler_type, self.disk = lag, scheduler_type, disk
        self.shape = shape_of(deployment, **shape)
        self.records, self.logs = [], []
        self.log_disks = {} if buffer_logs else None  # edge -> disk of its write-ahead log
        self.planner = planner  # path of a planner's store; None: a list source
        self.endpoint_cache_folder = endpoint_cache_folder  # None: edges have no cache
        self.log = log.to_list(self.logs, level)
        self.nodes, self.edges, self.stores, self.endpoint_source = {}, {}, {}, None

    def record(self, kind, **fields):
        """Records an event at the current time."""
        self.records.append({"kind": kind, "at": self.loop.time(), **fields})

    def draw_seed(self):
        """Draws a seed for a part of the fleet."""
        return self.rng.getrandbits(48)

    async def start(self, nodes: int, edges: int):
        """Starts all parts, with warm nodes, and waits until every edge knows all nodes."""
        if self.planner is not None:
            await self.start_single_planner(nodes)
        else:
            await self.start_list_source(nodes)
        for cell in range(nodes):
            await self.start_node(f"node{cell}", cell, cold=False)
        for number in range(edges):
            await self.start_edge(number)
        for _ in range(int(START_TIMEOUT / POLL_INTERVAL)):
            if all(
                len(part.program.driver.endpoint_table.disk_space) == nodes for part in self.edges.values()
            ):
                return
            await self.sleep(POLL_INTERVAL)
        raise TimeoutError(f"not every edge knows all {nodes} nodes after {START_TIMEOUT:g} s")

    async def start_list_source(self, nodes, port=0):
        """Starts the list source."""
        settings = self.deployment.settings
        process = self.loop.process("lists")
        source = ListSource(
            nodes,
            self.lag,
            self.log,
            self.record,
            usage_period=settings.usage_period / TICKS_PER_SECOND,
            nominal_rates={
                name: settings.plans[folder.plan].nominal for name, folder in self.deployment.folders.items()
            },
            accepts_faults=True,
        )
        self.endpoint_source = Part(process, source, await process.spawn(source.open(HOST, port)))

    async def start_single_planner(self, nodes, port=0):
        """Starts a planner from its store; a restarted one gets its former port."""
        process = self.loop.process("planner")
        program = Planner(
            nodes,
            MembershipStore(self.planner),
            self.log,
            record=self.record,
            limited_folders=self.deployment.limits(),
            gateway_count=self.deployment.settings.gateway_count,
        )
        self.endpoint_source = Part(process, program, await process.spawn(program.open(HOST, port)))

    async def sleep(self, seconds):
        """Waits on the virtual clock."""
        await asyncio.sleep(seconds)

    async def start_node(self, name, cell, cold=True, empty=False, disk=None):
        """Starts a node; a restarted one keeps its data unless `empty` is set."""
        if empty or name not in self.stores:
            self.stores[name] = Store(":memory:", cell, disk or self.disk, dedup_window_of(self.deployment))
        process = self.loop.process(name)
        program = Node(
            Identity(name, cell, f"z{cell % 2}"),
            self.stores[name],
            self.endpoint_source.address,
            self.shape,
            seed=self.draw_seed(),
            cold=cold,
            log=self.log,
            record=self.record,
            accepts_faults=True,
        )
        self.nodes[name] = Part(process, program, await process.spawn(program.open(HOST, 0)))
        return self.nodes[name]

    def kill_node(self, name):
        """Kills a node; its uncommitted changes are lost."""
        self.record("killed", node=name)
        self.nodes[name].process.kill()
        self.stores[name].roll_back()

    async def start_edge(self, number):
        """Starts or restarts an edge."""
        process = self.loop.process(f"edge{number}")
        program = Edge(
            number,
            self.deployment,
            self.endpoint_source.address,
            seed=self.draw_seed(),
            epoch=EPOCH,
            log=self.log,
            scheduler_type=self.scheduler_type,
            make_buffer=write_back_factory(self.deployment, self.log_disk(number)),
            endpoint_cache=self.endpoint_cache(number),
        )
        program.on_listing = lambda nodes: self.record(
            "told", edge=program.name, start=program.incarnation, nodes=nodes
        )
        self.edges[number] = Part(process, program, await process.spawn(program.open(HOST, 0)))
        return self.edges[number]

    def endpoint_cache(self, number):
        """An edge's endpoint cache, or None."""
        if self.endpoint_cache_folder is None:
            return None
        return EndpointCache(
            Path(self.endpoint_cache_folder) / f"edge{number}.list",
            lambda: EPOCH + self.loop.time(),
            self.log,
        )

    def log_disk(self, number):
        """The disk of an edge's write-ahead log, or None."""
        if self.log_disks is None:
            return None
        return self.log_disks.setdefault(number, SimulatedSegments())

    def kill_edge(self, number):
        """Kills an edge."""
        self.record("killed", edge=f"edge{number}", start=self.edges[number].program.incarnation)
        self.edges[number].process.kill()

    def reload(self, numbers, raw):
        """Reloads edges as SIGHUP does; returns whether each applied the routes."""
        return [
            self.edges[number].process.context.run(self.edges[number].program.reload, lambda: build(raw))
            for number in numbers
        ]

    def cell_of(self, name):
        """Returns the cell that a node stores."""
        return self.nodes[name].program.cell

    async def inject_fault(self, target, kind, size=0.0, seconds=0.0):
        """Starts a fault at a node or at the list source (`lists`)."""
        part = self.endpoint_source if target == "lists" else self.nodes[target]
        part.process.context.run(part.program.start_fault, kind, size, seconds)

    async def client(self, number) -> Client:
        """Opens a session with an edge."""
        return await Client(self.record).connect(*self.edges[number].address)

    def raise_logged_faults(self):
        """Raises AssertionError if a program logged an internal error."""
        faults = [row for row in self.logs if row["event"] in FAULT_EVENTS]
        if faults:
            raise AssertionError(f"{len(faults)} internal errors were logged, first {faults[0]}")

    def all_records(self):
        """Returns the recorded events in order of time."""
        return sorted(self.records, key=lambda row: row["at"])


def run_fleet(deployment: Deployment, seed: int, steps, nodes=4, edges=2, **fleet):
    """Runs `steps(fleet)` on a new fleet and a virtual clock; returns the fleet and the result."""

    async def run_steps(loop):
        started = VirtualFleet(loop, deployment, seed, **fleet)
        await started.start(nodes, edges)
        result = await steps(started)
        started.raise_logged_faults()
        return started, result

    return run(run_steps, seed)
