"""The planner: hears nodes and edges, decides who lives (`membership`), keeps it, and tells edges.

Edges keep serving on the last list when it is away.  Each change is on its disk before it is told; where the
disk takes nothing, what lives is told all the same and said in the log, and what was told is written later.
"""

import asyncio

from rushmux.fleet.errors import MembershipFullError
from rushmux.fleet.membership import (
    PUBLISHED_STATES,
    MemberKind,
    Membership,
    MemberState,
    StateChange,
    StoredMember,
)
from rushmux.fleet.quotas import GrantId, QuotaAllocator
from rushmux.nodewire import WireFault, messages
from rushmux.planner import policy_admin
from rushmux.planner.membership_store import Row, Store
from rushmux.planner.replicated_log import Council, Elsewhere, NotDecided, Planners
from rushmux.planner.server import Listener

LOOK = 0.5  # seconds between two looks at all leases
ENTRIES = 10_000  # nodes in a list: as many as edges take
WANTS = 10_000  # folders in one ask
SECOND = 10_000  # ticks in a second
FLOOR_LAG = 1.0  # seconds beyond the longest hard stop until a floor is told: ways and a late timer
MOST_ORDERS = 100  # of people that wait for an answer
APART = 0.02  # seconds by which changes are gathered into one telling


class Planner(Listener):
    """One planner.  `store` is its disk; `record(kind, **fields)` hears of what it tells.  `planners`: who
    decides with it in common, in a log at `log_path`; `deployment`: the fleet's first policy, where it has
    one; `chance` draws waits.  None: it decides alone, on its store.
    """

    def __init__(
        self,
        cells: int,
        store: Store,
        log,
        record=lambda kind, **fields: None,
        folders=(),
        edges=1,
        planners: Planners | None = None,
        log_path=None,
        deployment=None,
        chance=None,
    ):
        super().__init__("planner", str(store.term), log.bind(planner="planner", term=store.term))
        self.cells, self.store, self.record = cells, store, record
        self.folders, self.most_edges = folders, edges  # those with limits; edges there may ever be
        self.council, self.deployment = None, deployment
        self.floor = 0, 0.0  # the newest floor, and since when it stood here
        self.planners, self.log_path, self.chance = planners, log_path, chance
        self.asked, self.confirming = {}, {}  # people's orders; edges whose parts wait for a majority
        self.drained = {}  # nodes that people ordered to drain
        self.entries, self.heard_at = {}, {}  # node -> entry as it reported, and when
        self.edges, self.names = {}, {}  # peers of edges; member of a peer
        self.version, self.waiting, self.unkept = store.version, {}, {}
        self.reasons, self.tasks, self.telling = {}, [], None

    async def open(self, host: str, port: int) -> int:
        """Begins to serve; the port."""
        self.loop = asyncio.get_running_loop()
        self.restore(self.store.term)
        if self.planners is not None:
            self.council = Council(
                self.planners, self.log_path, self.chance, self.log, self.led, self.first, self.record
            )
        await self.listen(host, port)
        self.tasks = [self.loop.create_task(self.look())]
        if self.council is not None:
            self.council.start()
        return self.port

    def first(self):
        """The order that founds the fleet's policy; None where it is to have none."""
        if self.deployment is None or not self.deployment.policy:
            return None
        return policy_admin.first(self.deployment)

    @property
    def leads(self) -> bool:
        return self.council is None or self.council.leads

    def led(self, leads):
        """Its leadership begins or ends.  Danger: what it knew before is old; all are heard anew."""
        for writer, (peer, _) in list(self.peers.items()):
            if peer is not None and not peer.hello.peer.startswith(("planner ", "people")):
                writer.transport.abort()
        self.confirming = {}
        if leads:
            self.restore(self.council.term)

    def restore(self, term):
        """Begins anew with what its store knows; drains are those of the newest orders where there are
        several planners, since its own store may be old.
        """
        now = self.loop.time()
        self.entries, self.heard_at, self.waiting, self.unkept = {}, {}, {}, {}
        self.members = Membership(now)
        self.shares = QuotaAllocator(term, self.folders, self.most_edges, now)
        rows, damaged = self.store.rows()
        for name in damaged:
            self.log.error("store.damaged", member=name)
        for row in rows:
            if row.kind == MemberKind.NODE:
                entry = messages.Entry()
                entry.ParseFromString(row.entry)
                self.entries[row.name], self.heard_at[row.name] = entry, now
        self.drained = dict.fromkeys(
            self.council.register.drained_nodes
            if self.council is not None
            else [row.name for row in rows if row.draining],
            True,
        )
        self.members.restore(
            now,
            [
                StoredMember(row.name, MemberKind(row.kind), row.start, row.name in self.drained)
                for row in rows
            ],
        )
        self.log.info("planner.restored", members=len(rows), version=self.version, term=term)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        if self.council is not None:
            self.council.close()
        await self.shut()
        self.store.close()

    async def look(self):
        while True:
            await asyncio.sleep(LOOK)
            if not self.leads:
                continue
            # Edges say nothing after their greeting: one lives as long as its connection.
            for peer in list(self.edges):
                self.hear(peer.hello.peer, MemberKind.EDGE, peer.hello.start, 0)
            self.changed(self.members.tick(self.loop.time()))
            forgotten = [name for name in self.entries if name not in self.members.members]
            for name in forgotten:
                del self.entries[name], self.heard_at[name]
                self.reasons.pop(name, None)
            if self.unkept or forgotten:
                self.keep(dict.fromkeys(forgotten, True))

    # Peers.

    def met(self, peer):
        name = peer.hello.peer
        if name.startswith("planner ") and self.council is not None:
            self.council.greeted(name.split(" ", 1)[1])
        elif not self.leads and name != "people":
            raise WireFault("this planner does not lead")
        if name.startswith("edge"):
            self.edges[peer] = True
            self.names[peer] = name
            self.hear(name, MemberKind.EDGE, peer.hello.start, 0)
            self.whole(peer)

    def left(self, peer):
        self.edges.pop(peer, None)
        name = self.names.pop(peer, None)
        if name is not None and name not in self.names.values():
            self.members.on_disconnect(self.loop.time(), name)

    def message(self, peer, name, body):
        if name == "word" and self.council is not None:
            self.council.heard(body)
        elif name == "policy_order":
            self.asked_for(
                peer, lambda: policy_admin.answer(self.council, self.deployment, body), "policy_answer"
            )
        elif name == "order" and self.council is not None:
            self.asked_for(peer, lambda: self.order_in_common(body), "ordered")
        elif not self.leads:
            raise WireFault("this planner does not lead")
        elif name == "report":
            self.report(peer, body)
            self.tell_floor(peer)
        elif name == "policy_ask" and peer in self.edges and self.council is not None:
            self.council.policy_ask(peer, body)
        elif name == "ask" and peer in self.edges:
            self.ask(peer, body)
        elif name == "order":
            peer.send(ordered=self.order(body))
        else:
            raise WireFault(f"{name} is not for a planner")

    def report(self, peer, body):
        entry = body.entry
        if entry.cell >= self.cells or entry.node != peer.hello.peer or not entry.node:
            raise WireFault(f"node {entry.node} of cell {entry.cell} does not belong here")
        if len(self.entries) >= ENTRIES and entry.node not in self.entries:
            raise WireFault(f"more than {ENTRIES} nodes")
        self.names[peer] = entry.node
        known, now = self.entries.get(entry.node), self.loop.time()
        # A node that asks to drain by itself is as one that was told to.
        drains = entry.condition == "draining" or entry.node in self.drained
        self.hear(entry.node, MemberKind.NODE, entry.start, body.out)
        member = self.members.members.get(entry.node)
        if member is None or member.incarnation != entry.start:
            return  # a late word of an older start
        self.entries[entry.node], self.heard_at[entry.node] = entry, now
        if drains and not member.draining:
            self.changed(self.members.drain(now, entry.node))
        if known is None or (known.start, known.host, known.port, known.cell) != (
            entry.start,
            entry.host,
            entry.port,
            entry.cell,
        ):
            self.waiting[entry.node] = True
            self.tell_soon()

    def tell_floor(self, peer):
        """Nodes turn away what goes by an older number than any member is known to.

        Danger: what a member took before it went to the next number ends under the old one.  A floor is
        told once the longest hard stop is over since it stood here.
        """
        if self.council is None or self.deployment is None or self.council.register.fencing_floor <= 1:
            return
        floor, now = self.council.register.fencing_floor, self.loop.time()
        if self.floor[0] != floor:
            self.floor = floor, now
        longest = max(lane.deadline for lane in self.deployment.settings.request_classes.values()) / SECOND
        if now - self.floor[1] > longest + FLOOR_LAG:
            peer.send(floor=messages.Floor(number=floor))

    def asked_for(self, peer, act, kind):
        """A person's order: its answer goes out when it is known.  A bound on those that wait."""

        async def whole():
            peer.send(**{kind: await act()})

        if len(self.asked) >= MOST_ORDERS:
            raise WireFault(f"{MOST_ORDERS} orders wait")
        task = self.loop.create_task(whole())
        self.asked[task] = True
        task.add_done_callback(lambda task: self.asked.pop(task, None))

    def ask(self, peer, body):
        if self.council is not None and peer not in self.confirming:
            # Danger: a planner that others have replaced would grant parts that are another's by now.
            self.confirming[peer] = True
            self.council.confirm(lambda: (self.confirming.pop(peer, None), self.ask_confirmed(peer, body)))
        elif self.council is None:
            self.ask_confirmed(peer, body)

    def ask_confirmed(self, peer, body):
        if len(body.wants) > WANTS or any(not 0 <= want.part < 1e9 for want in body.wants):
            raise WireFault("an ask that makes no sense")
        grant = self.shares.on_quota_request(
            self.loop.time(),
            peer.hello.peer,
            body.ask,
            {want.folder: want.part for want in body.wants},
            GrantId(body.term, body.number),
        )
        peer.send(
            grant=messages.Grant(
                term=grant.term,
                number=grant.sequence,
                ask=grant.request_id,
                parts=[messages.Want(folder=folder, part=part) for folder, part in grant.quotas.items()],
            )
        )

    def hear(self, name, kind, start, out):
        try:
            self.changed(self.members.on_report(self.loop.time(), name, kind, start, out))
        except MembershipFullError as fault:
            raise WireFault(str(fault)) from fault

    # Changes.

    def changed(self, changes: list[StateChange]):
        for change in changes:
            self.log.info("member", member=change.member, condition=change.state, reason=change.reason)
            self.reasons[change.member] = change.reason
            self.waiting[change.member] = True
        if changes:
            self.tell_soon()

    def tell_soon(self):
        if self.telling is None:
            self.telling = self.loop.call_later(APART, self.tell)

    def tell(self):
        """Keeps what changed and tells every edge."""
        self.telling = None
        if not self.leads:  # what it knows is another's by now
            self.waiting = {}
            return
        names, self.waiting = self.waiting, {}
        rows, version = {}, self.version + 1
        for name in names:
            member = self.members.members.get(name)
            if member is None or member.kind == MemberKind.EDGE:
                continue
            rows[name] = self.entries[name]
        self.keep(names, version if rows else self.version)
        if not rows:
            return
        self.version = version
        listing = self.listing(rows, False)
        self.record("shown", version=version, nodes=[[told.node, told.condition] for told in listing.entries])
        for peer in self.edges:
            peer.send(listing=listing)

    def keep(self, names, version=None):
        """Danger: what edges were told must outlive a kill.  A full disk is said, and tried again."""
        self.unkept.update(names)
        rows, dropped = [], []
        for name in self.unkept:
            member = self.members.members.get(name)
            if member is None or (member.kind == MemberKind.EDGE and member.state == MemberState.REMOVED):
                dropped.append(name)
            else:
                entry = self.entries.get(name)
                rows.append(
                    Row(
                        name,
                        member.kind,
                        member.incarnation,
                        member.draining,
                        entry.SerializeToString() if entry is not None else b"",
                    )
                )
        try:
            self.store.put(rows, dropped, self.version if version is None else version)
            self.unkept = {}
        except OSError as fault:
            self.log.error("store.full", why=str(fault), waiting=len(self.unkept))

    def listing(self, rows, whole):
        now = self.loop.time()
        listing = messages.Listing(version=self.version, whole=whole, cells=self.cells)
        for name, entry in rows.items():
            told = listing.entries.add()
            told.CopyFrom(entry)
            # Danger: what a node says of itself is not what was decided of it.
            condition = self.members.members[name].state
            told.condition = PUBLISHED_STATES.get(condition, condition)
            told.age += int((now - self.heard_at[name]) * 10_000)
        return listing

    def whole(self, peer):
        """The whole list; nothing while no node is known, since a list with none is not to be believed."""
        rows = {name: entry for name, entry in self.entries.items() if name in self.members.members}
        if rows:
            peer.send(listing=self.listing(rows, True))

    # People.

    async def order_in_common(self, order) -> messages.Ordered:
        """An order that several planners decide first; the fault tells who leads."""
        if not self.leads:
            leader = self.council.voice.leader or "no planner known here"
            return messages.Ordered(fault=f"{leader} leads", elsewhere=True)
        if order.verb in ("drain", "undrain") and order.member in self.members.members:
            try:
                said = await self.council.order({"kind": order.verb, "member": order.member, "by": "people"})
            except NotDecided as fault:
                return messages.Ordered(fault=str(fault), elsewhere=isinstance(fault, Elsewhere))
            if said.startswith("refused"):
                return messages.Ordered(fault=said)
        return self.order(order)

    def order(self, order) -> messages.Ordered:
        fault: str | None = None
        if order.verb in ("drain", "undrain"):
            member = self.members.members.get(order.member)
            if member is None or member.kind != MemberKind.NODE:
                fault = f"there is no node '{order.member}'"
            elif order.verb == "drain" and member.state == MemberState.REMOVED:
                fault = f"node '{order.member}' is gone"
            else:
                self.log.info("order", verb=order.verb, member=order.member)
                if order.verb == "drain":
                    self.drained[order.member] = True
                else:
                    self.drained.pop(order.member, None)
                self.changed(getattr(self.members, order.verb)(self.loop.time(), order.member))
        elif order.verb != "show":
            fault = f"there is no order '{order.verb}'; there are show, drain, undrain"
        answer = messages.Ordered(fault=fault or "", term=self.shares.term, version=self.version)
        for member in self.members.members.values():
            entry = self.entries.get(member.name)
            answer.members.add(
                member=member.name,
                kind=member.kind,
                condition=member.state or "",
                reason=self.reasons.get(member.name, "from the store"),
                start=member.incarnation,
                out=member.in_flight,
                cell=entry.cell if entry is not None else 0,
                zone=entry.zone if entry is not None else "",
            )
        return answer
