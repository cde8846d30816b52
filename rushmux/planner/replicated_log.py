"""Several planners as one: carries the words of their log, keeps it, and applies what was decided.

`fleet.raft` decides the log, `fleet.policy` what its orders make.  A planner whose disk takes nothing says
so and is silent until it does: it neither votes nor answers.  One whose disk was lost comes back as a new
member (its name and the new disk's life), is taught the log, and takes the place of its old self by two
changes of members.
"""

import asyncio
import base64
import zlib
from collections.abc import Callable
from typing import NamedTuple

import orjson

from rushmux.fleet import raft
from rushmux.fleet.policy import LeaseRequest, PolicyStateMachine, RolloutCoordinator
from rushmux.nodewire import VERSION, Frames, WireFault, frame, messages
from rushmux.planner import raft_codec
from rushmux.planner.raft_storage import BadLog, LogFile

TICK = 0.1  # seconds between two looks at the log
AGAIN = 0.3  # seconds until another planner is dialled again
DIAL = 1.0  # seconds for a dial: one that was cut off answers nothing at all
MOST_BUFFERED = 2 << 20  # bytes for a planner that reads nothing: more are not written
MANY = 200  # entries after which the log is made shorter
ORDER = 8.0  # seconds until a person hears that an order was not decided
DISK_AGAIN = 1.0  # seconds until a disk that took nothing is tried again
MOST_WAITING = 4_096  # orders that wait to be decided: one of each edge of a thousand, with room
MOST_NEW = 8  # members that ask to be taken in


class NotDecided(Exception):
    """An order that was refused; the text says why."""


class Elsewhere(NotDecided):
    """An order that this planner cannot have decided, or of which it does not know: another may."""


class Planners(NamedTuple):
    """This planner's name, where all listen (itself included), and whether the fleet is founded by this
    start.
    """

    name: str
    addresses: dict[str, tuple[str, int]]
    found: bool = False


class Council:
    """This planner's part.  `changed(leads)` hears when its leadership begins and ends; `first()` gives the
    order that founds the fleet's policy, or None; `chance` draws waits and the life of a new disk.
    """

    def __init__(
        self,
        planners: Planners,
        path,
        chance,
        log,
        changed: Callable,
        first: Callable,
        record=lambda kind, **fields: None,
    ):
        self.planners, self.chance, self.log, self.changed, self.first = planners, chance, log, changed, first
        self.record = record
        self.disk = LogFile(path, lambda: f"{chance.getrandbits(48):012x}")
        if self.disk.new:
            if planners.found:
                self.disk.life = "1"
                kept = raft.bootstrap([f"{name}/1" for name in planners.addresses])
            else:
                kept = raft.PersistentState(0, None, raft.Snapshot(0, 0, (), b""))
            self.disk.begin(kept)
        self.me = f"{planners.name}/{self.disk.life}"
        self.loop, self.writers, self.tasks, self.waiting = asyncio.get_running_loop(), {}, [], {}
        self.asking, self.new, self.peers, self.led, self.broken = [], {}, {}, 0, None
        self.conduct, self.last_fault = None, ""
        self.begin()

    def begin(self):
        """Takes up the log as the disk has it."""
        kept = self.disk.kept
        self.voice = raft.RaftNode(self.me, kept, self.loop.time(), self.chance.randrange)
        self.restore(kept.snapshot)

    def restore(self, snapshot):
        raw = {"register": "", "sessions": []}
        if snapshot.state:
            raw = orjson.loads(zlib.decompress(base64.b64decode(snapshot.state)))
        self.register = PolicyStateMachine.from_snapshot(raw["register"].encode())
        self.sessions = raft.ClientSessions([tuple(row) for row in raw["sessions"]])
        self.index = snapshot.index

    def state(self) -> bytes:
        """What all entries made, small enough for one word whatever the policies hold."""
        raw = orjson.dumps(
            {"register": self.register.to_snapshot().decode(), "sessions": self.sessions.to_rows()}
        )
        return base64.b64encode(zlib.compress(raw))

    def start(self):
        others = [name for name in self.planners.addresses if name != self.planners.name]
        self.tasks = [self.loop.create_task(self.live(name)) for name in others]
        self.tasks.append(self.loop.create_task(self.look()))

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.fail_waiting("this planner ends")
        self.disk.release()

    # The log.

    @property
    def leads(self) -> bool:
        """Whether it leads and a majority said so since it was chosen."""
        return self.broken is None and self.voice.confirmed_round > 0

    @property
    def term(self) -> int:
        return self.voice.term

    async def look(self):
        while True:
            if self.broken is not None:
                self.mend()
            else:
                self.voice.tick(self.loop.time())
                self.work()
                self.take_in()
            await asyncio.sleep(TICK)

    def mend(self):
        """Tries a disk again that took nothing.  Danger: what it took in part must be known before it goes
        on.
        """
        if self.loop.time() - self.broken < DISK_AGAIN:
            return
        self.broken = self.loop.time()
        try:
            self.disk.load()
            self.disk.rewrite()
        except (OSError, BadLog) as fault:
            self.log.error("council.disk", why=str(fault))
            return
        self.broken = None
        self.begin()
        self.log.info("council.disk.mended")

    def work(self):
        """Does what the log hands out: writes, sends, applies."""
        while self.broken is None and (ready := self.voice.ready()) is not None:
            try:
                self.disk.write(ready)
            except OSError as fault:
                self.log.error("council.disk", why=str(fault))
                self.broken = self.loop.time()
                self.fail_waiting("its disk takes nothing")
                break
            for word in ready.messages:
                self.send(word)
            if ready.restore is not None:
                self.restore(ready.restore)
            for index, entry in ready.committed:
                self.apply(index, entry)
            self.voice.on_persisted(self.loop.time(), ready)
            if len(self.voice.log) > MANY and self.voice.last_applied - self.voice.snapshot.index > MANY // 2:
                self.voice.compact(self.voice.last_applied, self.state())
        self.judge()

    def judge(self):
        """Begins and ends its leadership, and does a leader's work."""
        term = self.voice.term if self.leads else 0
        if term != self.led:
            self.led = term
            self.conduct = RolloutCoordinator(self.register, self.loop.time()) if term else None
            self.log.info("planner.leads" if term else "planner.follows", term=self.voice.term)
            if not term:
                self.fail_waiting("another planner leads; it may still be decided")
                self.asking, self.peers = [], {}
            self.record("leads", planner=self.me, term=self.voice.term, leads=bool(term))
            self.changed(bool(term))
        if not term:
            return
        confirmed = self.voice.confirmed_round
        ready = [call for round_, call in self.asking if round_ < confirmed]
        self.asking = [(round_, call) for round_, call in self.asking if round_ >= confirmed]
        for call in ready:
            call()
        now = self.loop.time()
        for grant in self.conduct.grant_leases(now, confirmed, term, self.index):
            peer, known = self.peers[grant.member]
            peer.send(policy_grant=raft_codec.grant(grant, known))
        order = self.first() if self.register.active is None else self.conduct.next_command(now)
        if order is not None and not any(
            (known["kind"], known.get("number")) == (order["kind"], order.get("number"))
            for _, known, _ in self.waiting.values()
        ):
            try:
                self.put(order)
            except raft.ProposalRejectedError as fault:
                self.conduct.on_command_rejected()
                self.say("council.full", str(fault))

    def say(self, event, why):
        if (event, why) != self.last_fault:
            self.last_fault = event, why
            self.log.warning(event, why=why)

    def put(self, order) -> asyncio.Future:
        """Gives an order to the log; what was said of it when it is decided."""
        if len(self.waiting) >= MOST_WAITING:
            raise raft.ProposalRejectedError(f"{MOST_WAITING} orders wait to be decided")
        index, term = self.voice.propose(self.loop.time(), orjson.dumps(order))
        future = self.loop.create_future()
        self.waiting[index] = term, order, future
        future.add_done_callback(lambda _: future.cancelled() or future.exception())
        self.loop.call_soon(self.work)
        return future

    async def order(self, order) -> str:
        """Has an order decided; NotDecided where it cannot be, or is not within `ORDER` seconds."""
        if not self.leads:
            raise Elsewhere(f"{self.voice.leader or 'no planner that is known here'} leads")
        try:
            async with asyncio.timeout(ORDER):
                return await self.put(order)
        except raft.ProposalRejectedError as fault:
            raise NotDecided(str(fault)) from fault
        except TimeoutError as fault:
            raise Elsewhere(
                f"not decided within {ORDER:g} s; it may still be: look before you ask again with other words"
            ) from fault

    def apply(self, index, entry):
        self.index = index
        term, _, future = self.waiting.pop(index, (None, None, None))
        said = ""
        if entry.kind == raft.EntryKind.COMMAND:
            order = orjson.loads(entry.body)
            if "client" in order:
                said = self.sessions.apply_once(
                    order["client"], order["n"], lambda: self.register.apply(order)
                )
            else:
                said = self.register.apply(order)
            self.log.info("council.decided", index=index, kind=order["kind"], said=said)
            active, staged = self.register.active, self.register.staged
            self.record(
                "decided",
                planner=self.me,
                index=index,
                order=order["kind"],
                said=said,
                force=active.version if active else 0,
                rows=[list(row) for row in active.folder_limits] if active else [],
                staged=staged.version if staged else 0,
            )
        if future is not None and not future.done():
            if term == entry.term:
                future.set_result(said)
            else:
                future.set_exception(Elsewhere("another planner led meanwhile; it was not decided"))

    def fail_waiting(self, why):
        waiting, self.waiting = self.waiting, {}
        for _, _, future in waiting.values():
            if not future.done():
                future.set_exception(Elsewhere(why))

    def confirm(self, call: Callable):
        """Calls `call` once a majority has said, after this, that this planner leads; never if it does
        not.
        """
        if self.leads and len(self.asking) < MOST_WAITING:
            self.asking.append((self.voice.round, call))

    # Members' policies.

    def policy_ask(self, peer, body):
        """A member asks what holds; it is answered once this planner is sure that it still leads."""
        if body.member != peer.hello.peer:
            raise WireFault(f"{peer.hello.peer} asks for {body.member}")
        if self.leads:
            request = LeaseRequest(body.member, body.ask, body.force, body.joint, body.refused, body.against)
            self.peers[body.member] = peer, (body.force, body.joint)
            self.conduct.on_lease_request(self.loop.time(), request, self.voice.round)

    # Other planners.

    def send(self, word):
        writer = self.writers.get(word.receiver.split("/")[0])
        if writer is not None and writer.transport.get_write_buffer_size() <= MOST_BUFFERED:
            try:
                writer.write(frame(messages.Message(word=raft_codec.sent(word))))
            except WireFault as fault:
                self.say("council.word", str(fault))

    def heard(self, body):
        """A word from another planner."""
        if self.broken is not None:
            return
        word = raft_codec.heard(body)
        self.voice.receive(self.loop.time(), word)
        self.work()

    def greeted(self, name):
        """Another planner came by its name and life."""
        if (
            name not in self.voice.members
            and name.split("/")[0] in self.planners.addresses
            and len(self.new) < MOST_NEW
        ):
            self.new[name] = self.loop.time()

    def take_in(self):
        """Members change by one at a time: a disk's new life is taught the log, comes in, and the old life
        goes.
        """
        if not self.leads:
            return
        now = self.loop.time()
        for name in list(self.new):
            if name in self.voice.members:
                old = [
                    other
                    for other in self.voice.members
                    if other != name and other.split("/")[0] == name.split("/")[0]
                ]
                if not old:
                    del self.new[name]
                    continue
                wanted = [other for other in self.voice.members if other not in old[:1]]
            else:
                wanted = [*self.voice.members, name]
            try:
                if name not in self.voice.members:
                    self.voice.add_learner(now, name)
                self.voice.change_members(now, wanted)
                self.log.info("council.members", members=wanted)
            except raft.ProposalRejectedError as fault:
                self.say("council.waits", f"{name}: {fault}")
            self.work()
            return

    async def live(self, name):
        """Keeps a connection to another planner, on which this one's words go."""
        while True:
            writer = None
            try:
                async with asyncio.timeout(DIAL):
                    reader, writer = await asyncio.open_connection(*self.planners.addresses[name])
                hello = messages.Hello(version=VERSION, peer=f"planner {self.me}", start="0")
                writer.write(frame(messages.Message(hello=hello)))
                self.writers[name], frames = writer, Frames()
                while data := await reader.read(1 << 16):
                    frames.feed(data)
            except (OSError, WireFault, TimeoutError):
                pass
            finally:
                self.writers.pop(name, None)
                if writer is not None:
                    writer.close()
            await asyncio.sleep(AGAIN)
