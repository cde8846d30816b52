"""Drives the decision module: tells it what happens and carries out what it decides.

It decides nothing.  Events are collected while the loop turns, and each round is closed by
`act`.  Ticks are whole tenths of a millisecond of the loop's clock.
"""
import asyncio
from functools import partial
from typing import Callable, NamedTuple

from rushmux import interface as say
from rushmux.edge.links import Address, Links
from rushmux.nodewire import messages
from rushmux.rules import Gateway
from rushmux.settings.deployment import Deployment

SECOND = 10_000          # ticks in a second
MOST_TAKEN = 20_000      # operations held at a time; beyond it they are shed at the door
MOST_STARTS = 4          # starts of a node kept, against late words of an older one
NONSENSE = 1e9           # of any figure of a load: beyond a day of service time
MOST_LISTED = 10_000     # nodes in a listing: beyond any fleet this is for


class Shed(Exception):
    """The operation was not done and may be tried again, in `come_back` seconds (0: no advice)."""

    def __init__(self, come_back=0.0):
        super().__init__("shed")
        self.come_back = come_back


class Terminated(Exception):
    """The operation was given up; it may have been done."""


class Work(NamedTuple):
    """An operation: what the module reads of it, and what fills in the execution's message."""
    lane: str
    folder: str
    key: str
    units: float
    cell: int                    # negative: a new object
    fill: Callable[[messages.Execute], None]


class Answer(NamedTuple):
    """What a node answered, the cell it was asked in, and other cells where it may have been done."""
    outcome: messages.Outcome
    cell: int
    elsewhere: tuple[int, ...] = ()


class Taken:
    """An operation between being taken and its last execution's return."""
    __slots__ = ("work", "future", "sent", "flying", "backstop", "cells")

    def __init__(self, work, future):
        self.work, self.future, self.sent, self.flying, self.backstop = work, future, 0, {}, None
        self.cells = {}                  # where an execution went that may have run


class Driver:
    """The module and what it acts upon, for one start of an edge."""

    def __init__(self, name: str, start: str, deployment: Deployment, links: Links, seed: int, log,
                 chance, decisions=Gateway):
        self.name, self.start, self.deployment, self.links, self.log = name, start, deployment, links, log
        self.chance = chance
        self.loop = asyncio.get_running_loop()
        self.taken, self.count, self.inbox, self.scheduled = {}, 0, [], False
        self.names = 0
        self.cells, self.node_cell, self.online = 0, {}, {}
        self.entries = {}                # node -> as the module was last told of it
        links.met = self.greeted
        self.taking = lambda folder, units: None   # hears of each operation
        self.left_over = lambda folder, cell, name: None   # hears of objects that no name will point at
        self.disk = {}                   # node -> (total, free) bytes
        self.timer = None
        self.gateway = decisions(deployment.terms, seed, self.now(), self)

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def unique(self) -> str:
        """A name never used before, by this start or another."""
        self.names += 1
        return f"{self.name}.{self.start}.{self.names}"

    # What happens: each is put down for the round, since the module must not be called from within.

    def event(self, call, *values):
        self.inbox.append((call, values))
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.round)

    def round(self):
        self.scheduled, now = False, self.now()
        inbox, self.inbox = self.inbox, []
        for call, values in inbox:
            call(now, *values)
        self.guarded(None, self.gateway.act, now)

    def guarded(self, op_id, call, *values):
        """A fault of the module is logged and costs one operation, not the edge."""
        try:
            call(*values)
        except Exception:   # pylint: disable=broad-except
            self.log.exception("module.fault", op=op_id)
            if op_id is not None:
                self.terminate(op_id)

    def routed(self, deployment: Deployment):
        """Takes over a new file's routes; what was taken before keeps its own."""
        self.deployment = deployment
        self.event(lambda now: self.guarded(None, self.gateway.routed, deployment.terms.routes))

    def shared(self, folder: str, part: float):
        """Goes by a part of a folder's limit from the next round on."""
        self.event(lambda now: self.guarded(None, self.gateway.shared, now, folder, part))

    def told(self, listing: messages.Listing) -> bool:
        """Takes in a listing; one that makes no sense is logged and left out: False.

        Danger: a source that has just begun, or went wrong, may know no node.  A whole list with none that is
        ready is not believed while some are; that each of them is gone is told one by one.
        """
        ready = sum(entry.condition == say.READY for entry in listing.entries)
        known = sum(entry.condition == say.READY for entry in self.entries.values())
        if (len(listing.entries) > MOST_LISTED or not 0 < listing.cells <= MOST_LISTED
                or listing.whole and not ready and known):
            self.log.warning("list.refused", entries=len(listing.entries), cells=listing.cells, ready=ready)
            return False
        now, entries = self.now(), []
        for entry in listing.entries:
            if entry.cell >= listing.cells or entry.condition not in (say.READY, say.DRAINING, say.GONE):
                self.log.warning("list.entry.refused", node=entry.node, cell=entry.cell,
                                 condition=entry.condition)
                continue
            since = self.online_since(now, entry.node, entry.start, entry.age)
            gone = entry.condition == say.GONE
            self.links.listed(entry.node, None if gone else Address(entry.host, entry.port))
            self.node_cell[entry.node] = entry.cell
            self.disk[entry.node] = (0, 0) if gone else (entry.total, entry.free)
            entries.append(say.Listed(entry.node, entry.cell, entry.zone, entry.condition, since))
            self.entries[entry.node] = entries[-1]
        if listing.whole:
            named = {entry.node for entry in entries}
            for node in [node for node in self.links.nodes if node not in named]:
                self.links.listed(node, None)
                self.disk.pop(node, None)
        self.cells = listing.cells
        self.log.info("list.told", version=listing.version, whole=listing.whole,
                      nodes=[[entry.node, entry.condition] for entry in entries])
        kind = say.WHOLE if listing.whole else say.CHANGES
        self.event(lambda now: self.guarded(None, self.gateway.listed, now, kind, entries))
        return True

    def online_since(self, now, node, start, age):
        """When a node started, on this clock, put down once; 0: long ago.  A later start is believed
        from whoever tells of it first, and an older one no more."""
        known = self.online.get(node)
        if known is None or start not in known:
            since = 0 if age >= self.deployment.terms.warm_within else max(1, now - age)
            if known is not None and since <= max(known.values()):
                return max(known.values())
            known = self.online[node] = {**(known or {}), start: since}
            while len(known) > MOST_STARTS:
                del known[next(iter(known))]
        return max(known.values())

    def greeted(self, node, start, age):
        """Danger: a node that restarted is cold, and the list will say so only seconds later."""
        entry = self.entries.get(node)
        if entry is None:
            return
        since = self.online_since(self.now(), node, start, age)
        if since != entry.online_since:
            self.entries[node] = entry = entry._replace(online_since=since)
            self.log.info("node.restarted", node=node, start=start)
            self.event(lambda now: self.guarded(None, self.gateway.listed, now, say.CHANGES, [entry]))

    async def run(self, work: Work, left: float, tag: str) -> Answer:
        """Has one operation done within `left` seconds; raises Shed or Terminated."""
        if len(self.taken) >= MOST_TAKEN:
            raise Shed()
        self.count += 1
        op_id = f"{self.name}.{self.start}.{self.count}/{tag}"
        taken = self.taken[op_id] = Taken(work, self.loop.create_future())
        self.taking(work.folder, work.units)
        terms = self.deployment.terms
        hard_stop = (terms.lanes[work.lane].hard_stop + terms.tick) / SECOND
        taken.backstop = self.loop.call_later(min(hard_stop, left), self.overrun, op_id)
        self.event(self.tell_taken, op_id, work, self.loop.time() + left)
        try:
            return await taken.future
        except asyncio.CancelledError:
            self.event(self.tell_left, op_id)
            raise

    def tell_taken(self, now, op_id, work, ends):
        if op_id not in self.taken:      # its client left before the round began
            return
        # Danger: a late round has used up a part of the client's time already.
        ticks = max(0, min(self.deployment.terms.lanes[work.lane].hard_stop, int(ends * SECOND) - now))
        plan = self.deployment.folders[work.folder].plan
        self.guarded(op_id, self.gateway.taken, now, op_id, work.lane, plan, work.folder, work.key,
                     ticks, work.units, work.cell, self.deployment.mounts(work.folder), False)

    def tell_left(self, now, op_id):
        if op_id in self.taken:
            self.guarded(op_id, self.gateway.left, now, op_id)
            self.over(op_id)

    def overrun(self, op_id):
        """The module's answer did not come before the hard stop: it gets one all the same."""
        if not self.taken[op_id].future.done():
            self.log.error("module.overrun", op=op_id)
            self.terminate(op_id)
            self.event(self.tell_left, op_id)

    def came(self, op_id, number, result, outcome):
        self.event(self.tell_answered, op_id, number, result, outcome)

    def tell_answered(self, now, op_id, number, result, outcome):
        taken = self.taken.get(op_id)
        if taken is None or number not in taken.flying:
            return                       # it had come back before, as overdue
        node, timer, sent = taken.flying.pop(number)
        if timer is not None:
            timer.cancel()
        if sent is not None:
            sent.drop()
        if result == say.SUCCEEDED and not taken.future.done():
            cell = self.node_cell[node]
            taken.future.set_result(Answer(outcome, cell, tuple(c for c in taken.cells if c != cell)))
        ended = taken.future.done()
        use, others = (outcome.fleet_use, outcome.from_others) if outcome is not None else (0, 0.0)
        self.log.debug("execution.back", op=op_id, execution=number, node=node, result=result)
        self.guarded(op_id, self.gateway.answered, now, op_id, number, result, ended, use, others)
        self.over(op_id)

    def over(self, op_id):
        taken = self.taken.get(op_id)
        if taken is not None and taken.future.done() and not taken.flying:
            taken.backstop.cancel()
            del self.taken[op_id]

    # What the module decides (`rushmux.interface.Outbox`).

    def execute(self, op_id, node, time_out):
        taken = self.taken[op_id]
        number, taken.sent = taken.sent, taken.sent + 1
        # Danger: nothing may be sent for an operation that was answered, whatever the module says.
        if taken.future.done():
            taken.flying[number] = node, None, None
            self.loop.call_soon(self.came, op_id, number, say.MOOT, None)
            return
        work = taken.work
        message = messages.Execute(op=op_id, execution=number, volume=work.folder, lane=work.lane,
                                   key=work.key, units=work.units, time_out=time_out)
        work.fill(message)
        taken.cells[self.node_cell[node]] = True
        sent = self.links.send(node, message, partial(self.came, op_id, number))
        timer = self.loop.call_later(time_out / SECOND, self.came, op_id, number, say.OVERDUE, None)
        taken.flying[number] = node, timer, sent

    def withdraw(self, op_id, execution):
        _, _, sent = self.taken[op_id].flying[execution]
        if sent is not None:
            sent.withdraw()
        # Danger: the module must not be called from within; its answer comes with the next round.
        self.came(op_id, execution, say.WITHDRAWN, None)

    def probe(self, node):
        def came(result, load):
            timer.cancel()
            if sent is not None:
                sent.drop()
            self.event(self.tell_load, node, result, load)
        sent = self.links.probe(node, came)
        # Danger: a node that hangs never tells; the module takes it for a crowd when the time is over.
        timer = self.loop.call_later(self.deployment.dial, came, say.OVERDUE, None)

    def tell_load(self, now, node, result, load):
        values = [getattr(load, name) if load is not None and load.HasField(name) else None
                  for name in ("queue", "service")]
        # Danger: a node that tells nonsense moves a room for it.  What is no sound figure counts as not told.
        values = [value if value is not None and 0 <= value < NONSENSE else None for value in values]
        self.guarded(None, self.gateway.reported, node, result, *values)

    def shed(self, op_id, come_back):
        self.end(op_id, Shed(come_back / SECOND))

    def terminate(self, op_id):
        self.end(op_id, Terminated())

    def end(self, op_id, fault):
        taken = self.taken.get(op_id)
        if taken is not None and not taken.future.done():
            taken.future.set_exception(fault)
            self.over(op_id)

    def wake(self, after):
        if self.timer is not None:
            self.timer.cancel()          # the module asks anew only for an earlier time
        self.timer = self.loop.call_later(after / SECOND, self.event, self.woken)

    def woken(self, now):
        """A wake has no words: `act` closes the round."""

    def watch(self):
        """Changes of the list come by themselves here."""
