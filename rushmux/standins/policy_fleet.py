"""A whole fleet with several planners on the virtual clock, and drawn faults while its policy is changed.

The programs are those that run: planners with their logs on a real folder, edges, nodes, clients.  All
follows from the seed.  `policy_history_checker` checks the recordings, as it does those of real processes.
"""

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from rushmux.buffer.writeback import buffered
from rushmux.edge.edge import Edge
from rushmux.edge.policy_client import Kept
from rushmux.planner.membership_store import MembershipStore
from rushmux.planner.planner import Planner
from rushmux.planner.replication_settings import ReplicationSettings
from rushmux.settings import policy as documents
from rushmux.settings.deployment import build
from rushmux.simulation.loop import run
from rushmux.standins import fault_injection
from rushmux.standins.client import Gone, Refusal
from rushmux.standins.fleet import EPOCH, HOST, Part, VirtualFleet
from rushmux.standins.policy_history_checker import check_history

PORT = 7_000  # of the first planner
FAULTS = 40.0  # seconds of faults, and of changes
QUIET = 45.0  # seconds at the end: a change may hang for PATIENCE, and a lease be waited for
LIMITS = (120.0, 60.0, 40.0, 30.0)
PLANNERS = ("plannera", "plannerb", "plannerc")


class Faults(NamedTuple):
    """Each a second, over all parts of its kind; a seed leaves some out."""

    planner_kills: float
    planner_holds: float
    edge_kills: float
    edge_holds: float
    cuts: float


def drawn(chance) -> Faults:
    return Faults(
        *(
            most * chance.random() ** 2 if chance.random() < 0.7 else 0.0
            for most in (0.15, 0.1, 0.15, 0.1, 0.15)
        )
    )


class PolicyFleet(VirtualFleet):
    """The fleet; logs and kept policies lie in `folder`."""

    def __init__(self, loop, deployment, seed, folder):
        super().__init__(loop, deployment, seed, unit=0.002)
        self.folder, self.planners, self.operator_commands, self.stopped = Path(folder), {}, [], {}
        self.island, self.draw = 0, random.Random(f"policy {seed}")

    @property
    def places(self):
        return tuple((HOST, PORT + place) for place in range(len(PLANNERS)))

    async def start_planner(self, name, found=False):
        process = self.loop.process(name)
        data = self.folder / f"{name}.db"
        replication = ReplicationSettings(
            name,
            dict(zip(PLANNERS, self.places)),
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
        place = PLANNERS.index(name)
        port = await process.spawn(program.open(HOST, PORT + place))
        self.planners[name] = Part(process, program, port)

    def kill_planner_of(self, name):
        part = self.planners.pop(name)
        part.process.kill()
        part.program.replicated_log.storage.release()  # the kernel lets go of a dead process' lock
        part.program.store.close()

    async def up(self, nodes, edges):
        self.cells = nodes
        for name in PLANNERS:
            await self.start_planner(name, True)
        self.lists = type("Lists", (), {"address": self.places})
        for cell in range(nodes):
            await self.node(f"node{cell}", cell, cold=False)
        for number in range(edges):
            await self.edge(number)
        for _ in range(1_200):
            holders = [part.program.going.holder for part in self.edges.values()]
            if all(holder.is_serving() and not holder.is_degraded(self.loop.time()) for holder in holders):
                return
            await self.sleep(0.05)
        raise TimeoutError("the edges were told no policy")

    async def edge(self, number):
        process = self.loop.process(f"edge{number}")
        program = Edge(
            number,
            self.deployment,
            self.places,
            self.seed(),
            EPOCH,
            self.log,
            self.decisions,
            buffered(self.deployment, None),
            kept=Kept(self.folder / f"edge{number}.kept"),
        )
        program.heard = lambda nodes: self.record("told", edge=program.name, start=program.start, nodes=nodes)
        program.went_by = lambda state: self.record(
            "goes_by",
            edge=program.name,
            start=program.start,
            number=state[0],
            staged=state[1] or 0,
            narrow=state[2],
            serves=state[3],
        )
        self.edges[number] = Part(process, program, await process.spawn(program.open(HOST, 0)))
        return self.edges[number]

    # What people and faults do.

    async def changes(self, until):
        """Changes one after another, now and then two at once."""
        while self.loop.time() < until:
            await self.sleep(self.draw.uniform(0.5, 9.0))
            raw = fault_injection.stated(fault_injection.parse(f"edges {len(self.edges)}\n"))
            limit = self.draw.choice(LIMITS)
            raw["plans"]["basico"].update(limit=limit, burst=2 * limit)
            word = f"change {len(self.operator_commands)}"
            if self.draw.random() < 0.15:
                await self.send_policy_command(word, "revert", number=self.draw.randrange(1, 4))
            else:
                await self.send_policy_command(word, "propose", text=documents.text(raw))

    async def happens(self, rate, act, until):
        while rate and self.loop.time() < until:
            await self.sleep(self.draw.expovariate(rate))
            if self.loop.time() < until:
                await act()

    async def kill_a_planner(self):
        if len(self.planners) > 1:
            name = self.draw.choice(sorted(self.planners))
            self.kill_planner_of(name)
            await self.sleep(0.05 * 200 ** self.draw.random())
            await self.start_planner(name)

    async def hold_a_planner(self):
        self.planners[self.draw.choice(sorted(self.planners))].process.hold(0.5 * 40 ** self.draw.random())

    async def kill_an_edge(self):
        number = self.draw.choice(sorted(self.edges))
        if not self.edges[number].process.dead:
            self.kill_edge(number)
            await self.sleep(0.05 * 400 ** self.draw.random())
            await self.edge(number)

    async def hold_an_edge(self):
        part = self.edges[self.draw.choice(sorted(self.edges))]
        self.stopped[part.program.name] = True
        part.process.hold(0.5 * 40 ** self.draw.random())

    async def cut_some(self):
        """Cuts a few parts off, together on an island of their own."""
        self.island += 1
        seconds = 0.5 * 40 ** self.draw.random()
        for part in [*self.planners.values(), *self.edges.values()]:
            if self.draw.random() < 0.3:
                part.process.cut(self.island, seconds)
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
                        await client.put(f"/{fault_injection.SURGED}/e{number}-{count}", b"x" * 40_000)
                        await self.sleep(0.02)
                except Refusal:
                    await self.sleep(0.2)
                except (Gone, OSError):
                    await self.sleep(0.5)

        await asyncio.gather(*(one(number) for number in sorted(self.edges)))

    def settled(self):
        """What is not as it should be after the quiet time; nothing: it is."""
        found = []
        forces = {part.program.replicated_log.policy.active.version for part in self.planners.values()}
        if len(forces) != 1 or any(
            part.program.replicated_log.policy.staged for part in self.planners.values()
        ):
            found.append(f"planners end with {sorted(forces)}, or with a change under way")
        for part in self.edges.values():
            holder = part.program.going.holder
            if holder.active_version != max(forces) or holder.is_degraded(self.loop.time()):
                narrow = holder.is_degraded(self.loop.time())
                found.append(f"{holder.name} ends with {holder.active_version}, narrow {narrow}")
        return found


class Told(NamedTuple):
    breaches: list[str]
    facts: Counter
    logs: list


def played(seed, folder, edges=3, nodes=2) -> Told:
    """One seed on a fleet of its own, whose disks lie in `folder`."""
    deployment = build(fault_injection.stated(fault_injection.parse(f"edges {edges}\n")))

    async def whole(loop):
        fleet = PolicyFleet(loop, deployment, seed, folder)
        await fleet.up(nodes, edges)
        until, faults = loop.time() + FAULTS, drawn(fleet.draw)
        acts = (
            fleet.kill_a_planner,
            fleet.hold_a_planner,
            fleet.kill_an_edge,
            fleet.hold_an_edge,
            fleet.cut_some,
        )
        work = [fleet.happens(rate, act, until) for rate, act in zip(faults, acts)]
        await asyncio.gather(*work, fleet.changes(until), fleet.clients(until + 5))
        await fleet.sleep(QUIET)
        settled = fleet.settled()
        breaches, facts = check_history(
            fleet.all_records(), deployment, (), fleet.operator_commands, fleet.stopped
        )
        bad = [row for row in fleet.logs if row["event"] in ("scheduler.fault", "policy.refused")]
        return Told(breaches + settled + [str(row)[:300] for row in bad[:3]], facts, fleet.logs)

    return run(whole, seed)
