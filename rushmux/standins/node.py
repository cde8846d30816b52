"""A stand-in storage node: it keeps objects and rows, takes as long as a machine would, and can
be told to be in trouble.
"""

import asyncio
import random
from collections import OrderedDict

from rushmux.nodewire import FrameReader, WireError, frame, messages
from rushmux.planner.server import PeerConnection
from rushmux.standins.fault_control import Obeying
from rushmux.standins.service_model import Engine, Shape, neighbour
from rushmux.standins.store import DiskFull, Store

MOST_VOLUMES = 100_000  # folders whose served units are kept, and edges they were told to
REPORT_EVERY = 1.0  # seconds between reports of free space to the list source
AGAIN = 0.3  # seconds until the list source is dialled again
HOLD_MOST = 10_000  # executions kept by the trouble `stuck`
TROUBLES = (
    "silent",
    "stuck",
    "slow",
    "errors",
    "lost",
    "resets",
    "drain",
    "disk",
    "neighbour",
    "unmetered",
    "unanswered",
)


class Served:
    """Units served for each folder, in all and for each edge, as answers tell of them."""

    def __init__(self):
        self.total, self.told, self.period = {}, OrderedDict(), {}

    def add(self, folder, edge, units):
        """Counts a served execution; what other edges had served since this edge's last answer."""
        total = self.total[folder] = self.total.get(folder, 0.0) + units
        before = self.told.pop((folder, edge), 0.0)
        self.told[folder, edge] = total
        if len(self.told) > MOST_VOLUMES:
            self.told.popitem(last=False)
        if folder in self.period or len(self.period) < MOST_VOLUMES:
            self.period[folder] = self.period.get(folder, 0.0) + units
        return max(0.0, total - units - before)


class Node(Obeying):
    """One node from one start.  `record(kind, **fields)` hears of every execution; `obeys`: troubles
    may be ordered over the socket.
    """

    def __init__(
        self,
        name,
        cell,
        zone,
        store: Store,
        lists,
        shape: Shape,
        seed,
        cold,
        log,
        record,
        obeys=False,
        tell=None,
    ):
        super().__init__(name, f"{seed & 0xFFFFFFFFFFFF:012x}", log.bind(node=name))
        self.tell = tell  # (host, port) where edges find it, if not where it listens
        self.cell, self.zone, self.store, self.lists, self.shape = cell, zone, store, lists, shape
        self.chance, self.cold, self.record, self.obeys = random.Random(seed), cold, record, obeys
        self.condition, self.trouble, self.served, self.use = "ready", {}, Served(), None
        self.waiting_commit, self.stuck, self.fallen, self.task = [], [], False, None
        self.calls = {}  # (peer, corr) -> call of what the machine holds

    async def open(self, host, port):
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.engine = Engine(self.shape, self.chance, self.cold, self.fall)
        self.host = host
        await self.listen(host, port)
        self.record(
            "start",
            node=self.name,
            cell=self.cell,
            cold=self.cold,
            start=self.start,
            per_second=self.engine.per_second(),
            cold_start=self.shape.cold_start,
            warm_within=self.shape.warm_within,
        )
        self.task = self.loop.create_task(self.register())
        return self.port

    async def close(self):
        """Ends as a process does that is killed: nothing more is answered."""
        self.engine.stop()
        if self.task:
            self.task.cancel()
        await self.close_server()
        self.store.close()

    def fall(self):
        """Pushed over: stays down."""
        self.fallen = True
        self.record("fell", node=self.name)
        self.log.error("node.fell")
        if self.task:
            self.task.cancel()
        self.server.close()
        self.abort_connections()

    # Towards the list source.

    def age(self):
        return int((self.loop.time() - self.began + (0 if self.cold else self.shape.warm_within)) * 10_000)

    def report(self):
        host, port = self.tell or (self.host, self.port)
        entry = messages.Entry(
            node=self.name,
            host=host,
            port=port,
            cell=self.cell,
            zone=self.zone,
            condition=self.condition,
            start=self.start,
            age=self.age(),
            total=self.store.limit,
            free=self.store.free,
        )
        used = [messages.Used(volume=folder, units=units) for folder, units in self.served.period.items()]
        self.served.period = {}
        return messages.Message(report=messages.Report(entry=entry, used=used, out=self.engine.inflight))

    async def register(self):
        """Tells the list source what this node is, now and then, for as long as it lives; of several planners
        the one that takes it.
        """
        turn = -1
        while True:
            writer, turn = None, turn + 1
            try:
                lists = [self.lists] if isinstance(self.lists[0], str) else self.lists
                reader, writer = await asyncio.open_connection(*lists[turn % len(lists)])
                hello = messages.Hello(version=1, peer=self.name, start=self.start)
                writer.write(frame(messages.Message(hello=hello)))
                reading = self.loop.create_task(self.hear(reader))
                try:
                    while not reading.done():
                        writer.write(frame(self.report()))
                        await writer.drain()
                        await asyncio.sleep(REPORT_EVERY)
                finally:
                    reading.cancel()
            except OSError:
                pass
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(AGAIN)

    async def hear(self, reader):
        frames = FrameReader()
        while data := await reader.read(1 << 16):
            for message in frames.feed(data):
                if message.WhichOneof("body") == "floor":
                    self.raise_floor(message.floor.number)
                elif message.WhichOneof("body") == "meter":
                    self.use = {used.volume: used.percent for used in message.meter.used}

    def raise_floor(self, number):
        """Turns away what goes by older policies from now on, and after a start too."""
        if number > self.store.floor:
            self.store.raise_floor(number)
            self.log.info("node.floor", number=number)

    # Towards the edges.

    def on_message(self, peer, name, body):
        if name == "execute":
            self.execute(peer, body)
        elif name == "withdraw":
            done = self.calls.pop((peer, body.corr), None)
            if done is not None and self.engine.withdraw(done):
                self.record("withdrawn", node=self.name, edge=peer.hello.peer)
        elif name == "probe":
            if not self.fallen and "silent" not in self.trouble and "stuck" not in self.trouble:
                peer.send(load=messages.Load(corr=body.corr, **self.engine.load()))
        elif name == "trouble" and self.obeys:
            self.obey(peer, body)
        else:
            raise WireError(f"{name} is not for a node")

    def begin(self, kind, size=0.0, seconds=0.0):
        """Begins a trouble, for so many seconds (0: for good)."""
        if kind not in TROUBLES:
            raise WireError(f"there is no trouble '{kind}'")
        self.log.warning("trouble", kind=kind, size=size, seconds=seconds)
        if kind == "resets":
            self.record("reset", node=self.name)
            self.abort_connections()
            return
        if kind == "drain":
            self.condition = "draining"
            return
        self.trouble[kind] = size
        if kind == "neighbour":
            neighbour(self.loop, lambda: self.engine, size, self.loop.time() + seconds)
        if kind == "slow":
            self.engine.slowed = size
        if seconds:
            self.loop.call_later(seconds, self.end, kind)

    def end(self, kind):
        self.trouble.pop(kind, None)
        self.engine.slowed = self.trouble.get("slow", 1.0)
        if kind == "stuck":  # what was held for lost runs now
            stuck, self.stuck = self.stuck, []
            for peer, body in stuck:
                self.serve(peer, body, body.WhichOneof("what"))

    def execute(self, peer: PeerConnection, body: messages.Execute):
        if self.fallen:
            return
        what = body.WhichOneof("what")
        self.record(
            "execution",
            node=self.name,
            cell=self.cell,
            edge=peer.hello.peer,
            op=body.op,
            execution=body.execution,
            volume=body.volume,
            lane=body.lane,
            key=body.key,
            units=body.units,
            what=what,
            time_out=body.time_out,
            policy=body.policy,
        )
        # Danger: whoever goes by a number that no member goes by any more has an old disk.
        if 0 < body.knows < self.store.floor:
            self.record("fenced", node=self.name, op=body.op, execution=body.execution, policy=body.policy)
            self.answer(peer, body, messages.Outcome(code=messages.BUSY, floor=self.store.floor))
            return
        if "lost" in self.trouble and self.chance.random() < self.trouble["lost"]:
            return
        if "stuck" in self.trouble:
            if len(self.stuck) < HOLD_MOST:
                self.stuck.append((peer, body))
            return
        self.serve(peer, body, what)

    def serve(self, peer, body, what):
        if "errors" in self.trouble and self.chance.random() < self.trouble["errors"]:
            self.answer(peer, body, messages.Outcome(code=messages.FAILED, error="in trouble"))
            return
        writes = what in ("write", "change")
        key = f"{body.volume}/{body.key}" if body.key else ""

        def done(late):
            self.calls.pop((peer, body.corr), None)
            self.work(peer, body, what, late)

        # Bounded by the machine's waiting room; what a pushed-over node holds ends with it.
        if self.engine.offer(body.units, key, writes, body.time_out / 10_000, done):
            self.calls[peer, body.corr] = done
        elif not self.fallen:
            self.answer(peer, body, messages.Outcome(code=messages.BUSY))

    def work(self, peer, body, what, late):
        """The machine's time for an execution is over: it takes effect now, all of it or nothing."""
        if self.fallen:
            return
        if late:
            self.record("dropped", node=self.name, op=body.op, execution=body.execution)
            return
        try:
            if what == "read":
                self.answer(peer, body, self.store.read(body.read))
                return
            if what == "look":
                self.answer(peer, body, self.store.look(body.volume, body.look))
                return
            if not self.waiting_commit:
                self.store.begin()
                self.loop.call_soon(self.commit)
            if "disk" in self.trouble and what in ("write", "change"):
                raise DiskFull("in trouble")
            if what == "write":
                outcome = self.store.write(body.write)
            elif what == "drop":
                outcome = self.store.drop(body.drop)
            elif what == "change":
                known = self.store.version
                outcome = self.store.change(body.volume, body.change, self.loop.time())
                if self.store.version != known:
                    self.record("effect", node=self.name, mark=body.change.mark, op=body.op)
            else:
                outcome = messages.Outcome(code=messages.FAILED, error="nothing to do")
        except DiskFull as fault:
            outcome = messages.Outcome(code=messages.FAILED, error=f"disk full: {fault}")
        self.waiting_commit.append((peer, body, outcome))

    def commit(self):
        self.store.commit()
        waiting, self.waiting_commit = self.waiting_commit, []
        for peer, body, outcome in waiting:
            self.answer(peer, body, outcome)

    def answer(self, peer, body, outcome):
        outcome.corr, outcome.inflight = body.corr, self.engine.inflight
        if outcome.code in (messages.DONE, messages.MISSING, messages.CONFLICT):
            outcome.from_others = self.served.add(body.volume, peer.hello.peer, body.units)
            if self.use is not None:
                outcome.fleet_use = 1 + self.use.get(body.volume, 0)
        if "silent" in self.trouble:
            return
        # The work is done and its answer lost on the way; probes come through.
        if "unanswered" in self.trouble and self.chance.random() < self.trouble["unanswered"]:
            return
        if "unmetered" in self.trouble:
            outcome.from_others = outcome.fleet_use = 0
        self.record("outcome", node=self.name, op=body.op, execution=body.execution, code=outcome.code)
        peer.send(outcome=outcome)
