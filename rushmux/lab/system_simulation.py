"""Simulates a day of an experiment with real edges and stand-in nodes on a simulated clock.

Each operation is one access through an edge's driver; faults act on processes, sockets and machines.
Runs the same days as `scheduler_simulation`, for smaller fleets.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from rushmux.edge.driver import EdgeOperation
from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.lab import client
from rushmux.lab.client import ClientOutcome, CompletedOperation
from rushmux.lab.day import Day
from rushmux.lab.errors import LabError
from rushmux.lab.faults import FaultEvent, FaultKind
from rushmux.lab.fleet import DISCOVERY_LAG, REPLACEMENT_DELAY, node_name
from rushmux.lab.workload import Arrival
from rushmux.nodewire import messages
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import RequestClass
from rushmux.scheduling.scheduler import Scheduler
from rushmux.standins import fleet as standin_fleets
from rushmux.standins.fleet import VirtualFleet

STANDIN_KINDS = {FaultKind.USAGE_REPORT_LOSS: "unmetered"}  # kinds with another name in the stand-ins
STANDIN_FAULTS = (
    FaultKind.SILENT,
    FaultKind.SLOW,
    FaultKind.ERRORS,
    FaultKind.MESSAGE_LOSS,
    FaultKind.CONNECTION_RESET,
    FaultKind.NOISY_NEIGHBOUR,
    FaultKind.USAGE_REPORT_LOSS,
)
GROUPS_PER_SECOND = 1_000  # tells the groups of partitions with different start times apart
STANDIN_PREFIX = "node"  # of a stand-in node's name, before its cell
MACHINE_FIELDS = ("cores", "unit", "room", "recent", "saved", "put_off", "crowd", "pause", "pause_every")


class OperationLostError(LabError):
    """The operation's gateway was down, or was killed while it ran.

    Attributes:
        gateway: The gateway's number.
    """

    def __init__(self, gateway: int):
        super().__init__(f"the operation was lost with gateway {gateway}")
        self.gateway = gateway


class AttemptOutcome(NamedTuple):
    """How one attempt of a client ended."""

    outcome: ClientOutcome
    retry_after: float = 0.0
    """Seconds; 0 if the gateway gave none."""


class SystemResult(NamedTuple):
    """The result of a simulated day."""

    completed: list[CompletedOperation]
    standins: VirtualFleet
    """The fleet, with its records."""


class SystemSimulation:
    """One day on a running fleet of stand-ins.

    Attributes:
        completed: The outcome of each operation.
    """

    def __init__(
        self, fleet: VirtualFleet, arrivals: Sequence[Arrival], events: Sequence[FaultEvent], seed: int
    ):
        self.fleet, self.arrivals, self.events = fleet, arrivals, events
        self.loop, self.generator = fleet.loop, random.Random(f"{seed}/clients")
        self.completed: list[CompletedOperation] = []
        self.gateway_killed = {number: self.loop.create_future() for number in fleet.edges}
        self.start = self.loop.time()

    async def run(self) -> list[CompletedOperation]:
        """Simulates the day and returns the outcome of each operation."""
        length = self.arrivals[-1].at if self.arrivals else 0.0
        self.fleet.record("day", begun=self.start, length=length)
        tasks = [asyncio.ensure_future(self._inject(event)) for event in self.events]
        for number, arrival in enumerate(self.arrivals):
            delay = self.start + arrival.at - self.loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.ensure_future(self._run_client(number, arrival)))
        await asyncio.gather(*tasks)
        return self.completed

    async def _run_client(self, number: int, arrival: Arrival) -> None:
        """Sends one operation and its retries, as a client does."""
        request_class = self.fleet.deployment.settings.request_classes[arrival.request_class]
        give_up_at = client.gives_up_at(self.start + arrival.at, request_class)
        attempts = 0
        while True:
            attempts += 1
            outcome, retry_after = await self._outcome_of_attempt(number, arrival, request_class)
            retry_at = client.next_attempt_at(self.loop.time(), retry_after, self.generator)
            if not client.should_retry(outcome, attempts, retry_at, give_up_at):
                break
            await asyncio.sleep(retry_at - self.loop.time())
        self.completed.append(
            CompletedOperation(
                arrival.at,
                arrival.volume,
                arrival.request_class,
                arrival.units,
                self.loop.time() - self.start - arrival.at,
                outcome,
                attempts,
            )
        )

    async def _outcome_of_attempt(
        self, number: int, arrival: Arrival, request_class: RequestClass
    ) -> AttemptOutcome:
        try:
            await self._attempt(number, arrival, request_class)
        except OperationShedError as shed:
            return AttemptOutcome(ClientOutcome.SHED, shed.retry_after)
        except OperationFailedError:
            return AttemptOutcome(ClientOutcome.FAILED)
        except OperationLostError:
            return AttemptOutcome(ClientOutcome.LOST)
        return AttemptOutcome(ClientOutcome.SUCCEEDED)

    async def _attempt(self, number: int, arrival: Arrival, request_class: RequestClass) -> None:
        gateway = arrival.gateway % len(self.fleet.edges)
        edge, killed = self.fleet.edges[gateway], self.gateway_killed[gateway]
        if killed.done():
            raise OperationLostError(gateway)

        def fill(execute: messages.Execute) -> None:
            # Objects are empty: only the machine's time matters here.
            if arrival.is_write:
                execute.write.CopyFrom(messages.WriteObject(object=f"o{number}", data=b"", crc=0))
            else:
                execute.read.CopyFrom(messages.ReadObject(object="none", offset=0, length=1))

        operation = EdgeOperation(
            arrival.request_class, arrival.volume, arrival.key, arrival.units, arrival.cell, fill
        )
        time_left = request_class.deadline * arrival.deadline_fraction / TICKS_PER_SECOND
        task = edge.process.spawn(edge.program.driver.execute(operation, time_left, "-"))
        await asyncio.wait((task, killed), return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise OperationLostError(gateway)
        task.result()

    async def _inject(self, event: FaultEvent) -> None:
        """Waits for the time of a fault and carries it out."""
        await asyncio.sleep(event.at)
        if event.kind is FaultKind.PARTITION:
            self._partition(event)
        elif event.kind is FaultKind.GATEWAY_PAUSE:
            for number in event.targets:
                self.fleet.edges[number].process.pause(event.duration)
        elif event.kind in STANDIN_FAULTS:
            await self._inject_at_nodes(event)
        elif event.kind is FaultKind.DISCOVERY_LAG:
            await self.fleet.inject_fault("lists", "lag", event.size, event.duration)
        elif event.kind is FaultKind.GATEWAY_CRASH:
            await self._crash_gateways(event)
        elif event.kind is FaultKind.NODE_RESTART:
            await self._restart_nodes(event)
        elif event.kind is FaultKind.DRAIN:
            await self._drain_nodes(event)

    def _partition(self, event: FaultEvent) -> None:
        """Partitions processes: the targeted nodes form one group, each gateway has its own."""
        groups: dict[int, int] = {}
        for target in event.targets:
            is_gateway = isinstance(target, int)
            process = self.fleet.edges[target].process if is_gateway else self._node(target).process
            new_group = 1 + len(groups) + int(event.at * GROUPS_PER_SECOND)
            group = groups.setdefault(target if is_gateway else -1, new_group)
            process.partition(group, event.duration)

    async def _inject_at_nodes(self, event: FaultEvent) -> None:
        kind = STANDIN_KINDS.get(event.kind, str(event.kind))
        for target in event.targets:
            if target in self._running_nodes():
                await self.fleet.inject_fault(_standin_name(target), kind, event.size, event.duration)

    def _node(self, name: str):
        return self.fleet.nodes[_standin_name(name)]

    def _running_nodes(self) -> set[str]:
        """Names, as in faults, of the nodes whose processes run."""
        return {_fault_target(name) for name, node in self.fleet.nodes.items() if not node.process.dead}

    async def _crash_gateways(self, event: FaultEvent) -> None:
        for number in event.targets:
            self.fleet.kill_edge(number)
            self.gateway_killed[number].set_result(True)
        await asyncio.sleep(event.duration)
        for number in event.targets:
            await self.fleet.start_edge(number)
            self.gateway_killed[number] = self.loop.create_future()

    async def _restart_nodes(self, event: FaultEvent) -> None:
        names = [target for target in event.targets if target in self._running_nodes()]
        for name in names:
            self.fleet.kill_node(_standin_name(name))
        await asyncio.sleep(event.duration)
        for name in names:
            await self._start_node(name)

    async def _drain_nodes(self, event: FaultEvent) -> None:
        """Drains nodes and replaces each by one in slow start."""
        grace = self.fleet.deployment.drain_grace + self.fleet.lag
        for target in event.targets:
            if target not in self._running_nodes():
                continue
            await self.fleet.inject_fault(_standin_name(target), "drain")
            await asyncio.sleep(grace + REPLACEMENT_DELAY)
            if target in self._running_nodes():
                self.fleet.kill_node(_standin_name(target))
            await self._start_node(target)

    async def _start_node(self, name: str) -> None:
        await self.fleet.start_node(_standin_name(name), _cell(name))


def _standin_name(name: str) -> str:
    """The stand-in's name of a node, by its name in faults (such as `n3`)."""
    return f"{STANDIN_PREFIX}{_cell(name)}"


def _fault_target(standin_name: str) -> str:
    """The name in faults of a node, by its stand-in's name."""
    return node_name(int(standin_name.removeprefix(STANDIN_PREFIX)))


def _cell(name: str) -> int:
    """The cell of a node, by its name in faults."""
    return int(name[1:])


def simulate(day: Day, seed: int, make_scheduler: Callable = Scheduler, **settings: Any) -> SystemResult:
    """Simulates a day with real edges.

    Args:
        day: The day, with its fleet.
        seed: The seed of the day.
        make_scheduler: Makes a gateway's scheduler.
        **settings: Settings of the stand-ins that override those derived from the day's fleet.
    """

    async def run_day(standins: VirtualFleet) -> list[CompletedOperation]:
        return await SystemSimulation(standins, day.arrivals, day.events, seed).run()

    machine = {name: getattr(day.fleet.machine, name) for name in MACHINE_FIELDS}
    standins, completed = standin_fleets.run_fleet(
        day.deployment,
        seed,
        run_day,
        nodes=day.fleet.node_count,
        edges=day.fleet.gateway_count,
        level="error",
        buffer_logs=False,
        lag=DISCOVERY_LAG,
        scheduler_type=make_scheduler,
        **{**machine, **settings},
    )
    return SystemResult(completed, standins)
