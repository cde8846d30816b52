"""The whole level: a day of an experiment through real edges and stand-in nodes on the virtual clock.

Each operation is one access of an edge's driver; troubles are those of the notation, carried out on
processes, sockets and machines.  Smaller fleets than the lean level, and the same days.
"""

import asyncio
import random

from rushmux.edge.driver import EdgeOperation
from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.lab.scheduler_simulation import AGAIN, TRIES, Ended
from rushmux.nodewire import messages
from rushmux.scheduling.scheduler import Scheduler
from rushmux.standins import fleet as fleets

KINDS = {"reports": "unmetered"}  # of the notation, by the stand-in's word; all others are the same
REPLACED = 2.0  # seconds after the grace until a drained node's replacement starts


class _Lost(Exception):
    """The edge was killed with the operation."""


class Day:
    """One day on a fleet that is up."""

    def __init__(self, fleet, arrivals, events, seed):
        self.fleet, self.arrivals, self.events = fleet, arrivals, events
        self.loop, self.chance, self.ended = fleet.loop, random.Random(f"{seed}/clients"), []
        self.gone = {number: self.loop.create_future() for number in fleet.edges}
        self.begun = self.loop.time()

    async def play(self):
        """Plays it; rows as the lean level's."""
        self.fleet.record("day", begun=self.begun, length=self.arrivals[-1].at if self.arrivals else 0.0)
        tasks = [asyncio.ensure_future(self.happen(event)) for event in self.events]
        for number, arrival in enumerate(self.arrivals):
            wait = self.begun + arrival.at - self.loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(asyncio.ensure_future(self.client(number, arrival)))
        await asyncio.gather(*tasks)
        return self.ended

    # Clients.

    async def client(self, number, arrival):
        lane, how, tries = self.fleet.deployment.settings.request_classes[arrival.lane], "lost", 0
        waits = self.begun + arrival.at + lane.deadline / 10_000 * 1.5
        while True:
            tries += 1
            again = 0.0
            try:
                await self.attempt(number, arrival, lane)
                how = "succeeded"
            except OperationShedError as shed:
                how, again = "shed", shed.retry_after
            except OperationFailedError:
                how = "terminated"
            except _Lost:
                how = "lost"
            again = self.loop.time() + (again or self.chance.uniform(*AGAIN))
            if how not in ("shed", "lost") or tries >= TRIES or again >= waits:
                break
            await asyncio.sleep(again - self.loop.time())
        self.ended.append(
            Ended(
                arrival.at,
                arrival.volume,
                arrival.lane,
                arrival.units,
                self.loop.time() - self.begun - arrival.at,
                how,
                tries,
            )
        )

    async def attempt(self, number, arrival, lane):
        place = arrival.edge % len(self.fleet.edges)
        edge, gone = self.fleet.edges[place], self.gone[place]
        if gone.done():
            raise _Lost

        def fill(execute):
            # Objects of no bytes: what counts here is the machine's time.
            if arrival.cell < 0:
                execute.write.CopyFrom(messages.WriteObject(object=f"o{number}", data=b"", crc=0))
            else:
                execute.read.CopyFrom(messages.ReadObject(object="none", offset=0, length=1))

        operation = EdgeOperation(
            arrival.lane, arrival.volume, arrival.key, arrival.units, arrival.cell, fill
        )
        task = edge.process.spawn(
            edge.program.driver.execute(operation, lane.deadline * arrival.left / 10_000, "-")
        )
        await asyncio.wait((task, gone), return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise _Lost
        task.result()

    # Troubles.

    async def happen(self, event):
        await asyncio.sleep(event.at)
        islands = {}
        for target in event.targets:
            if event.kind == "cut":
                number = target if isinstance(target, int) else -1
                process = self.fleet.edges[number].process if number >= 0 else self.node(target).process
                # A zone stays together; each edge is alone.
                process.cut(
                    islands.setdefault(number, 1 + len(islands) + int(event.at * 1000)), event.seconds
                )
            elif event.kind == "still":
                self.fleet.edges[target].process.hold(event.seconds)
            elif event.kind in ("silent", "slow", "errors", "lost", "resets", "neighbour", "reports"):
                if target in self.alive():
                    await self.fleet.trouble(
                        self.name(target), KINDS.get(event.kind, event.kind), event.size, event.seconds
                    )
        if event.kind == "lag":
            await self.fleet.trouble("lists", "lag", event.size, event.seconds)
        elif event.kind == "die":
            await self.die(event)
        elif event.kind in ("restart", "drain"):
            await getattr(self, event.kind)(event)

    def name(self, target):
        return f"node{target[1:]}"

    def node(self, target):
        return self.fleet.nodes[self.name(target)]

    def alive(self):
        return {f"n{name[4:]}" for name, part in self.fleet.nodes.items() if not part.process.dead}

    async def die(self, event):
        for number in event.targets:
            self.fleet.kill_edge(number)
            self.gone[number].set_result(True)
        await asyncio.sleep(event.seconds)
        for number in event.targets:
            await self.fleet.edge(number)
            self.gone[number] = self.loop.create_future()

    async def restart(self, event):
        names = [target for target in event.targets if target in self.alive()]
        for target in names:
            self.fleet.kill_node(self.name(target))
        await asyncio.sleep(event.seconds)
        for target in names:
            await self.fleet.node(self.name(target), int(target[1:]))

    async def drain(self, event):
        for target in event.targets:
            if target not in self.alive():
                continue
            await self.fleet.trouble(self.name(target), "drain")
            await asyncio.sleep(self.fleet.deployment.drain_grace + self.fleet.lag + REPLACED)
            if target in self.alive():
                self.fleet.kill_node(self.name(target))
            await self.fleet.node(self.name(target), int(target[1:]))


def play(built, stood, arrivals, events, seed, decisions=Scheduler, **settings):
    """A day through real edges: its ended operations and the fleet with its recordings."""

    async def story(fleet):
        return await Day(fleet, arrivals, events, seed).play()

    machine = {
        name: getattr(stood.machine, name)
        for name in ("cores", "unit", "room", "recent", "saved", "put_off", "crowd", "pause", "pause_every")
    }
    fleet, ended = fleets.play(
        built,
        seed,
        story,
        nodes=stood.nodes,
        edges=stood.edges,
        level="error",
        logs=False,
        lag=0.5,
        decisions=decisions,
        **{**machine, **settings},
    )
    return ended, fleet
