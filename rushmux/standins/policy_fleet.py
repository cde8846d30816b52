"""A whole fleet with several planners on the virtual clock, and drawn faults while its policy is changed.

The programs are those that run: planners with their logs on a real folder, edges, nodes, clients.  All
follows from the seed.  `policy_history_checker` checks the recordings, as it does those of real processes.
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
"""Of the first planner."""
FAULT_TIME = 40.0
"""Seconds of faults, and of changes."""
QUIET_TIME = 45.0
"""Seconds at the end: a change may wait for its timeout, and for a lease to expire."""
START_TIMEOUT, POLL_INTERVAL = 60.0, 0.05
MAX_RATES = (0.15, 0.1, 0.15, 0.1, 0.15)
"""Of each fault, a second."""
FAULT_CHANCE, REVERT_CHANCE, CUT_CHANCE = 0.7, 0.15, 0.3
OBJECT_BYTES = 40_000
MAX_ERRORS_SHOWN, MAX_ERROR_LENGTH = 3, 300
LIMITS = (120.0, 60.0, 40.0, 30.0)
BAD_EVENTS = ("scheduler.fault", "policy.grant_rejected", *FAULT_EVENTS)
"""Log events that no fault between processes may cause."""
PLANNERS = ("plannera", "plannerb", "plannerc")


class Faults(NamedTuple):
    """Each a second, over all parts of its kind; a seed leaves some out."""

    planner_kills: float
    planner_holds: float
    edge_kills: float
    edge_holds: float
    cuts: float


def draw_faults(rng: random.Random) -> Faults:
    """Rates of a seed's faults."""
    return Faults(*(rate * rng.random() ** 2 if rng.random() < FAULT_CHANCE else 0.0 for rate in MAX_RATES))


class PolicyFleet(VirtualFleet):
    """The fleet; logs and kept policies lie in `folder`."""

    def __init__(self, loop, deployment, seed, folder):
        super().__init__(loop, deployment, seed, unit=0.002)
        self.folder, self.planners, self.operator_commands, self.stopped = Path(folder), {}, [], {}
        self.island, self.draw = 0, random.Random(f"policy {seed}")

    @property
    def places(self):
        """The planners' addresses."""
        return tuple((HOST, FIRST_PORT + index) for index in range(len(PLANNERS)))

    async def start_planner(self, name, found=False):
        """Starts a planner on its disk; `found`: it begins the log."""
        process = self.loop.process(name)
        data = self.folder / f"{name}.db"
        replication = ReplicationSettings(
            name,
            dict(zip(PLANNERS, self.places, strict=True)),
            f"{data}.log",
            random.Random(self.seed()),
            bootstrap=found,
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
        """Kills one of the planners."""
        part = self.planners.pop(name)
        part.process.kill()
        part.program.replicated_log.storage.release()  # the kernel lets go of a dead process' lock
        part.program.store.close()

    async def up(self, nodes, edges):
        """Starts everything, nodes warm, and waits until every edge serves under the policy."""
        self.cells = nodes
        for name in PLANNERS:
            await self.start_planner(name, True)
        self.lists = type("Lists", (), {"address": self.places})
        for cell in range(nodes):
            await self.node(f"node{cell}", cell, cold=False)
        for number in range(edges):
            await self.edge(number)
        for _ in range(int(START_TIMEOUT / POLL_INTERVAL)):
            members = [part.program.policy_client.member for part in self.edges.values()]
            if all(member.is_serving() and not member.is_degraded(self.loop.time()) for member in members):
                return
            await self.sleep(POLL_INTERVAL)
        raise TimeoutError("the edges were told no policy")

    async def edge(self, number):
        """Starts an edge, anew where it ran before."""
        process = self.loop.process(f"edge{number}")
        program = Edge(
            number,
            self.deployment,
            self.places,
            seed=self.seed(),
            epoch=EPOCH,
            log=self.log,
            scheduler_type=self.decisions,
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

    # What operators and faults do.

    async def changes(self, until):
        """Changes one after another, now and then two at once."""
        while self.loop.time() < until:
            await self.sleep(self.draw.uniform(0.5, 9.0))
            raw = fault_scenario.raw_deployment(fault_scenario.parse(f"edges {len(self.edges)}\n"))
            limit = self.draw.choice(LIMITS)
            raw["plans"]["basico"].update(limit=limit, burst=2 * limit)
            word = f"change {len(self.operator_commands)}"
            if self.draw.random() < REVERT_CHANCE:
                await self.send_policy_command(word, "revert", number=self.draw.randrange(1, 4))
            else:
                await self.send_policy_command(word, "propose", text=documents.serialize(raw))

    async def repeat(self, rate, act, until):
        """Does something at a rate, by chance, until a time."""
        while rate and self.loop.time() < until:
            await self.sleep(self.draw.expovariate(rate))
            if self.loop.time() < until:
                await act()

    async def kill_a_planner(self):
        """Kills a planner, unless it is the last, and starts it again after a while."""
        if len(self.planners) > 1:
            name = self.draw.choice(sorted(self.planners))
            self.kill_planner_by_name(name)
            await self.sleep(0.05 * 200 ** self.draw.random())
            await self.start_planner(name)

    async def hold_a_planner(self):
        """Pauses a planner's process."""
        self.planners[self.draw.choice(sorted(self.planners))].process.pause(0.5 * 40 ** self.draw.random())

    async def kill_an_edge(self):
        """Kills an edge and starts it again after a while."""
        number = self.draw.choice(sorted(self.edges))
        if not self.edges[number].process.dead:
            self.kill_edge(number)
            await self.sleep(0.05 * 400 ** self.draw.random())
            await self.edge(number)

    async def hold_an_edge(self):
        """Pauses an edge's process."""
        part = self.edges[self.draw.choice(sorted(self.edges))]
        self.stopped[part.program.name] = True
        part.process.pause(0.5 * 40 ** self.draw.random())

    async def cut_some(self):
        """Cuts a few parts off, together on an island of their own."""
        self.island += 1
        seconds = 0.5 * 40 ** self.draw.random()
        for part in [*self.planners.values(), *self.edges.values()]:
            if self.draw.random() < CUT_CHANCE:
                part.process.partition(self.island, seconds)
                # Its clients are on the other side: what it answers them is late, and nobody's fault.
                self.stopped[getattr(part.program, "name", "")] = True

    async def clients(self, until):
        """A client an edge that files and reads in a folder with a limit, as fast as it is answered."""

        async def one(number):
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

        await asyncio.gather(*(one(number) for number in sorted(self.edges)))

    def settled(self):
        """What is not as it should be after the quiet time; nothing: it is."""
        found = []
        versions = {part.program.replicated_log.policy.active.version for part in self.planners.values()}
        if len(versions) != 1 or any(
            part.program.replicated_log.policy.staged for part in self.planners.values()
        ):
            found.append(f"planners end with {sorted(versions)}, or with a change under way")
        for part in self.edges.values():
            member = part.program.policy_client.member
            degraded = member.is_degraded(self.loop.time())
            if member.active_version != max(versions) or degraded:
                found.append(f"{member.name} ends with {member.active_version}, degraded {degraded}")
        return found


class Result(NamedTuple):
    """Breaches (none: it passed), counts of what happened, and the log."""

    breaches: list[str]
    facts: Counter
    logs: list


def run_seed(seed, folder, edges=3, nodes=2) -> Result:
    """One seed on a fleet of its own, whose disks lie in `folder`."""
    deployment = build(fault_scenario.raw_deployment(fault_scenario.parse(f"edges {edges}\n")))

    async def play(loop):
        fleet = PolicyFleet(loop, deployment, seed, folder)
        await fleet.up(nodes, edges)
        until, faults = loop.time() + FAULT_TIME, draw_faults(fleet.draw)
        acts = (
            fleet.kill_a_planner,
            fleet.hold_a_planner,
            fleet.kill_an_edge,
            fleet.hold_an_edge,
            fleet.cut_some,
        )
        work = [fleet.repeat(rate, act, until) for rate, act in zip(faults, acts, strict=True)]
        await asyncio.gather(*work, fleet.changes(until), fleet.clients(until + 5))
        await fleet.sleep(QUIET_TIME)
        settled = fleet.settled()
        breaches, facts = check_history(
            fleet.all_records(), deployment, (), fleet.operator_commands, fleet.stopped
        )
        bad = [row for row in fleet.logs if row["event"] in BAD_EVENTS]
        return Result(
            breaches + settled + [str(row)[:MAX_ERROR_LENGTH] for row in bad[:MAX_ERRORS_SHOWN]],
            facts,
            fleet.logs,
        )

    return run(play, seed)
