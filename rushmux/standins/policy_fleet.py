"""A fleet with several planners on the virtual clock, under random faults while its policy changes.

It runs the production planners and edges, with their files in a real folder, and stand-ins for nodes and
clients.  Runs are deterministic for a seed.  `policy_history_checker` checks the recordings.
"""

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from rushmux.buffer.writeback import write_back_factory
from rushmux.edge.edge import Edge
from rushmux.edge.policy_store import PolicyStore
from rushmux.planner.membership_store import MembershipStore
from rushmux.planner.planner import Planner
from rushmux.planner.replication_settings import ReplicationSettings
from rushmux.settings import policy as documents
from rushmux.settings.deployment import build
from rushmux.simulation.loop import run
from rushmux.standins import fault_scenario
from rushmux.standins.client import ConnectionClosedError, StatusError
from rushmux.standins.fleet import EPOCH, FAULT_EVENTS, HOST, Part, VirtualFleet
from rushmux.standins.policy_history_checker import check_history

FIRST_PORT = 7_000
"""Port of the first planner."""
FAULT_TIME = 40.0
"""Seconds with faults and policy changes."""
QUIET_TIME = 45.0
"""Seconds without faults at the end; a change may wait for its timeout and for a lease to expire."""
START_TIMEOUT, POLL_INTERVAL = 60.0, 0.05
MAX_RATES = (0.15, 0.1, 0.15, 0.1, 0.15)
"""Highest rates, in the order of `FaultRates`."""
FAULT_PRESENT_PROBABILITY, REVERT_PROBABILITY, PARTITION_PROBABILITY = 0.7, 0.15, 0.3
OBJECT_BYTES = 40_000
MAX_ERRORS_SHOWN, MAX_ERROR_LENGTH = 3, 300
LIMITS = (120.0, 60.0, 40.0, 30.0)
BAD_EVENTS = ("scheduler.fault", "policy.grant_rejected", *FAULT_EVENTS)
"""Log events that process and network faults must not cause."""
PLANNERS = ("plannera", "plannerb", "plannerc")


class FaultRates(NamedTuple):
    """Rates per second, over all planners or edges."""

    planner_kills: float
    planner_pauses: float
    edge_kills: float
    edge_pauses: float
    partitions: float


def draw_fault_rates(rng: random.Random) -> FaultRates:
    """Draws the fault rates of a seed; some faults are left out."""
    return FaultRates(
        *(rate * rng.random() ** 2 if rng.random() < FAULT_PRESENT_PROBABILITY else 0.0 for rate in MAX_RATES)
    )


class PolicyFleet(VirtualFleet):
    """The fleet; the planners' logs and the edges' stored policies are in `folder`."""

    def __init__(self, loop, deployment, seed, folder):
        super().__init__(loop, deployment, seed, unit=0.002)
        self.folder, self.planners, self.operator_commands, self.paused = Path(folder), {}, [], {}
        self.partition_number, self.fault_rng = 0, random.Random(f"policy {seed}")

    @property
    def planner_addresses(self):
        """The planners' addresses."""
        return tuple((HOST, FIRST_PORT + index) for index in range(len(PLANNERS)))

    async def start_planner(self, name, bootstrap=False):
        """Starts a planner from its disk, or with a new log (`bootstrap`)."""
        process = self.loop.process(name)
        data = self.folder / f"{name}.db"
        replication = ReplicationSettings(
            name,
            dict(zip(PLANNERS, self.planner_addresses, strict=True)),
            f"{data}.log",
            random.Random(self.draw_seed()),
            bootstrap=bootstrap,
        )
        program = Planner(
            self.cells,
            MembershipStore(data),
            self.log,
            record=self.record,
            limited_folders=self.deployment.limits(),
            gateway_count=self.deployment.settings.gateway_count,
            deployment=self.deployment,
            replication=replication,
        )
        port = await process.spawn(program.open(HOST, FIRST_PORT + PLANNERS.index(name)))
        self.planners[name] = Part(process, program, port)

    def kill_planner_by_name(self, name):
        """Kills a planner and closes its files."""
        part = self.planners.pop(name)
        part.process.kill()
        part.program.replicated_log.storage.release()  # the kernel releases the lock of a dead process
        part.program.store.close()

    async def start(self, nodes, edges):
        """Starts all programs, with warm nodes, and waits until every edge serves with a lease."""
        self.cells = nodes
        for name in PLANNERS:
            await self.start_planner(name, True)
        self.endpoint_source = type("Lists", (), {"address": self.planner_addresses})
        for cell in range(nodes):
            await self.start_node(f"node{cell}", cell, cold=False)
        for number in range(edges):
            await self.start_edge(number)
        for _ in range(int(START_TIMEOUT / POLL_INTERVAL)):
            members = [part.program.policy_client.member for part in self.edges.values()]
            if all(member.is_serving() and not member.is_degraded(self.loop.time()) for member in members):
                return
            await self.sleep(POLL_INTERVAL)
        raise TimeoutError("not every edge serves with a lease in time")

    async def start_edge(self, number):
        """Starts or restarts an edge."""
        process = self.loop.process(f"edge{number}")
        program = Edge(
            number,
            self.deployment,
            self.planner_addresses,
            seed=self.draw_seed(),
            epoch=EPOCH,
            log=self.log,
            scheduler_type=self.scheduler_type,
            make_buffer=write_back_factory(self.deployment, None),
            policy_store=PolicyStore(self.folder / f"edge{number}.kept"),
        )
        program.on_listing = lambda nodes: self.record(
            "told", edge=program.name, start=program.incarnation, nodes=nodes
        )
        program.on_policy_state = lambda state: self.record(
            "goes_by",
            edge=program.name,
            start=program.incarnation,
            number=state.active_version,
            staged=state.staged_version or 0,
            narrow=state.degraded,
            serves=state.serving,
        )
        self.edges[number] = Part(process, program, await process.spawn(program.open(HOST, 0)))
        return self.edges[number]

    # Operators and faults.

    async def propose_changes(self, until):
        """Sends policy changes and reverts; a new one may follow before the last one has ended."""
        while self.loop.time() < until:
            await self.sleep(self.fault_rng.uniform(0.5, 9.0))
            raw = fault_scenario.raw_deployment(fault_scenario.parse(f"edges {len(self.edges)}\n"))
            limit = self.fault_rng.choice(LIMITS)
            raw["plans"]["basico"].update(limit=limit, burst=2 * limit)
            label = f"change {len(self.operator_commands)}"
            if self.fault_rng.random() < REVERT_PROBABILITY:
                await self.send_policy_command(label, "revert", number=self.fault_rng.randrange(1, 4))
            else:
                await self.send_policy_command(label, "propose", text=documents.serialize(raw))

    async def repeat(self, rate, action, until):
        """Repeats an action at random intervals, at a mean rate per second, until a time."""
        while rate and self.loop.time() < until:
            await self.sleep(self.fault_rng.expovariate(rate))
            if self.loop.time() < until:
                await action()

    async def restart_random_planner(self):
        """Kills a planner, unless it is the last one that runs, and restarts it after a delay."""
        if len(self.planners) > 1:
            name = self.fault_rng.choice(sorted(self.planners))
            self.kill_planner_by_name(name)
            await self.sleep(0.05 * 200 ** self.fault_rng.random())
            await self.start_planner(name)

    async def pause_random_planner(self):
        """Pauses a planner's process."""
        self.planners[self.fault_rng.choice(sorted(self.planners))].process.pause(
            0.5 * 40 ** self.fault_rng.random()
        )

    async def restart_random_edge(self):
        """Kills an edge and restarts it after a delay."""
        number = self.fault_rng.choice(sorted(self.edges))
        if not self.edges[number].process.dead:
            self.kill_edge(number)
            await self.sleep(0.05 * 400 ** self.fault_rng.random())
            await self.start_edge(number)

    async def pause_random_edge(self):
        """Pauses an edge's process."""
        part = self.edges[self.fault_rng.choice(sorted(self.edges))]
        self.paused[part.program.name] = True
        part.process.pause(0.5 * 40 ** self.fault_rng.random())

    async def partition_some(self):
        """Separates a few planners and edges, as one group, from all other processes."""
        self.partition_number += 1
        seconds = 0.5 * 40 ** self.fault_rng.random()
        for part in [*self.planners.values(), *self.edges.values()]:
            if self.fault_rng.random() < PARTITION_PROBABILITY:
                part.process.partition(self.partition_number, seconds)
                # Its clients are outside the group: its late answers to them are no breach.
                self.paused[getattr(part.program, "name", "")] = True

    async def clients(self, until):
        """Runs a client of each edge that writes files to a limited folder, one after another."""

        async def write_files(number):
            count = 0
            while self.loop.time() < until:
                try:
                    client = await self.client(number)
                    while self.loop.time() < until:
                        count += 1
                        await client.put(
                            f"/{fault_scenario.LIMITED_FOLDER}/e{number}-{count}", b"x" * OBJECT_BYTES
                        )
                        await self.sleep(0.02)
                except StatusError:
                    await self.sleep(0.2)
                except (ConnectionClosedError, OSError):
                    await self.sleep(0.5)

        await asyncio.gather(*(write_files(number) for number in sorted(self.edges)))

    def convergence_errors(self):
        """Describes planners and edges without the newest version or a lease after the quiet time."""
        errors = []
        versions = {part.program.replicated_log.policy.active.version for part in self.planners.values()}
        if len(versions) != 1 or any(
            part.program.replicated_log.policy.staged for part in self.planners.values()
        ):
            errors.append(f"planners ended with versions {sorted(versions)}, or with a staged change")
        for part in self.edges.values():
            member = part.program.policy_client.member
            degraded = member.is_degraded(self.loop.time())
            if member.active_version != max(versions) or degraded:
                errors.append(
                    f"{member.name} ended with version {member.active_version}, degraded: {degraded}"
                )
        return errors


class Result(NamedTuple):
    """Breaches (none if the run passed), counts of events, and the log."""

    breaches: list[str]
    facts: Counter
    logs: list


def run_seed(seed, folder, edges=3, nodes=2) -> Result:
    """Runs one seed on a new fleet with its disks in `folder`."""
    deployment = build(fault_scenario.raw_deployment(fault_scenario.parse(f"edges {edges}\n")))

    async def play(loop):
        fleet = PolicyFleet(loop, deployment, seed, folder)
        await fleet.start(nodes, edges)
        until, rates = loop.time() + FAULT_TIME, draw_fault_rates(fleet.fault_rng)
        actions = (
            fleet.restart_random_planner,
            fleet.pause_random_planner,
            fleet.restart_random_edge,
            fleet.pause_random_edge,
            fleet.partition_some,
        )
        work = [fleet.repeat(rate, action, until) for rate, action in zip(rates, actions, strict=True)]
        await asyncio.gather(*work, fleet.propose_changes(until), fleet.clients(until + 5))
        await fleet.sleep(QUIET_TIME)
        convergence_errors = fleet.convergence_errors()
        breaches, facts = check_history(
            fleet.all_records(), deployment, (), fleet.operator_commands, fleet.paused
        )
        bad = [row for row in fleet.logs if row["event"] in BAD_EVENTS]
        return Result(
            breaches + convergence_errors + [str(row)[:MAX_ERROR_LENGTH] for row in bad[:MAX_ERRORS_SHOWN]],
            facts,
            fleet.logs,
        )

    return run(play, seed)
