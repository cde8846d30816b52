"""A fleet's policy: a change of it takes hold at every member that serves, or at none.  No I/O, no clock of
its own.

Three parts.  `Register` is the state that the planners' log makes, the same at each of them.  `Conduct` is
what the planner that leads does with what members say.  `Holder` is a member's side.

A change is staged by an entry of the log.  A member proves it, keeps it beside the one in force, and from
then on is *joint*: it goes by the lesser limit of both, so that it is harmless whichever way the change
ends.  When every member is joint, or was silent until its lease was over, an entry decides it; one member's
no ends it everywhere.  A member whose lease is over is *narrow*: it goes by a safe part (`NARROW`) of all
that it knows, and a change is decided without it only where that part fits into its even part of the new
limit.  So limits are down everywhere before they are up anywhere, and nobody needs a new decision to go on
serving.

A lease runs from when the member asked, by its own clock; the planner counts it from when it answered,
longer by DRIFT.  Clocks may stand apart and be set; they may not run apart by more than DRIFT. Limits are
units a second of all members together, 0: none.
"""

import json
import zlib
from collections.abc import Callable
from typing import NamedTuple

LEASE = 10.0  # seconds that a member goes by what it was told, from when it asked
DRIFT = 0.01  # part by which two clocks may run apart
NARROW = 0.25  # of its limits: what a member keeps that hears of no planner
PATIENCE = 35.0  # seconds until a staged change that not all have answered ends: three leases
MOST_TEXT = 64 << 10  # bytes of a policy
MOST_BETWEEN = 32  # decided since the oldest that a member may go by: their limits are all kept
KEPT = 4  # texts of past policies kept, to go back to
HISTORY = 200  # changes remembered with how they ended
MOST_DRAINED = 10_000  # nodes
MOST_ASKS = 2_000  # members' asks that wait for one round of the log
TOLERANCE = 1e-9  # parts are compared to this

DECIDED, ENDED, WITHDRAWN = "decided", "ended", "withdrawn"


class Policy(NamedTuple):
    """`rows`: (folder, limit, burst) of each folder; `text`: what members prove and go by, as JSON."""

    number: int
    text: str
    rows: tuple[tuple[str, float, float], ...]

    @property
    def sum(self) -> int:
        rows = json.dumps([[folder, float(limit), float(burst)] for folder, limit, burst in self.rows])
        return zlib.crc32(f"{self.number}\0{self.text}\0{rows}".encode())

    def limits(self) -> dict[str, tuple[float, float]]:
        return {folder: (limit, burst) for folder, limit, burst in self.rows}


def packed(policy: Policy | None):
    """A policy as JSON values; None stays so."""
    return (
        None
        if policy is None
        else [policy.number, policy.text, [list(row) for row in policy.rows], policy.sum]
    )


def unpacked(values) -> Policy | None:
    """A policy of JSON values; ValueError where its checksum is wrong."""
    if values is None:
        return None
    policy = Policy(values[0], values[1], tuple((folder, limit, burst) for folder, limit, burst in values[2]))
    if policy.sum != values[3]:
        raise ValueError(f"policy {policy.number} has a wrong checksum")
    return policy


class Refused(Exception):
    """An order that cannot be, with the reason."""


class Past(NamedTuple):
    """A change and how it ended: `why` and by whom it was proposed."""

    number: int
    end: str
    why: str
    by: str


# What planners hold in common.


class Register:
    """The state.  `apply` takes orders as the log decides them; `kept` and `restored` are for snapshots."""

    def __init__(self):
        self.members, self.force, self.staged, self.last = (), None, None, 0
        self.by = ""  # who proposed what is staged
        self.goes = {}  # member -> the oldest number that it may go by
        self.gone = {}  # members that people said will never serve again
        self.drained = {}  # nodes that people ordered to drain
        self.past, self.texts, self.rows = [], {}, {}  # rows: of all decided numbers from the floor on

    @property
    def floor(self) -> int:
        """No member goes by an older number, but one whose disk is older than what it said."""
        return min(
            (number for member, number in self.goes.items() if member not in self.gone),
            default=self.force.number if self.force is not None else 0,
        )

    def apply(self, order: dict) -> str:
        """What came of an order, in words; those that begin with `refused` changed nothing."""
        try:
            return getattr(self, f"order_{order['kind']}", self.order_unknown)(order)
        except Refused as fault:
            return f"refused: {fault}"

    def order_unknown(self, order):
        # Danger: a planner that knows fewer orders than the one that leads must still make the same state.
        raise Refused(f"there is no order '{order['kind']}'")

    def order_found(self, order):
        """The first policy, and the members that there may ever be."""
        if self.force is not None:
            raise Refused("the fleet has a policy")
        self.members = tuple(order["members"])
        self.force, self.last = Policy(1, order["text"], rows_of(order)), 1
        self.goes = dict.fromkeys(self.members, 1)
        self.rows[1] = self.force.rows
        self.note(1, DECIDED, "the first", order["by"])
        return "1 is the first"

    def order_propose(self, order):
        if self.force is None:
            raise Refused("the fleet has no first policy yet")
        if self.staged is not None:
            raise Refused(f"{self.staged.number} by {self.by} is under way: wait, or withdraw it")
        if order.get("base") not in (None, self.force.number):
            raise Refused(f"it was made on {order['base']}, and {self.force.number} is in force")
        if len(order["text"].encode()) > MOST_TEXT:
            raise Refused(f"a policy holds {MOST_TEXT} bytes")
        if len(self.rows) >= MOST_BETWEEN:
            slow = next(member for member in self.members if self.goes[member] == self.floor)
            raise Refused(f"{slow} may still go by {self.floor}: bring it back, or forget it")
        self.last += 1
        self.staged, self.by = Policy(self.last, order["text"], rows_of(order)), order["by"]
        return f"{self.last} is staged"

    def order_revert(self, order):
        text = self.texts.get(order["number"])
        if text is None:
            raise Refused(
                f"{order['number']} is not kept; there are {', '.join(map(str, self.texts))}"
                if self.texts
                else "no past policy is kept yet"
            )
        return self.order_propose({**order, "text": text.text, "rows": text.rows})

    def order_decide(self, order):
        policy = self.under_way(order)
        self.texts[self.force.number] = self.force
        while len(self.texts) > KEPT:
            del self.texts[next(iter(self.texts))]
        self.force, self.staged = policy, None
        self.rows[policy.number] = policy.rows
        self.note(policy.number, DECIDED, order["why"], self.by)
        self.raised(order["joint"])
        return f"{policy.number} is decided"

    def order_end(self, order):
        policy = self.under_way(order)
        self.staged = None
        self.note(policy.number, ENDED, order["why"], self.by)
        return f"{policy.number} took hold nowhere: {order['why']}"

    def order_withdraw(self, order):
        if self.staged is None or self.staged.number != order["number"]:
            found = next((past for past in self.past if past.number == order["number"]), None)
            if found is None:
                raise Refused(f"there is no change {order['number']}")
            raise Refused(
                f"{found.number} is {found.end} already"
                + (": propose a revert" if found.end == DECIDED else "")
            )
        self.note(self.staged.number, WITHDRAWN, f"by {order['by']}", self.by)
        self.staged = None
        return f"{order['number']} is withdrawn and took hold nowhere"

    def order_back(self, order):
        """Members said that they go by the number in force."""
        if self.force is None or order["number"] != self.force.number:
            raise Refused("another number is in force by now")
        self.raised(order["members"])
        return f"{len(order['members'])} go by {self.force.number}"

    def order_forget(self, order):
        """A person says that a member does not run and will not: nothing waits for it any more."""
        if order["member"] not in self.goes:
            raise Refused(f"there is no member '{order['member']}'")
        self.gone[order["member"]] = True
        self.raised([])
        return f"{order['member']} is no longer waited for"

    def order_return(self, order):
        """Members that were forgotten asked: they count again before they are answered."""
        for member in order["members"]:
            self.gone.pop(member, None)
        return f"{len(order['members'])} are back"

    def order_drain(self, order):
        if len(self.drained) >= MOST_DRAINED:
            raise Refused(f"{MOST_DRAINED} nodes are to drain already")
        self.drained[order["member"]] = True
        return f"{order['member']} drains"

    def order_undrain(self, order):
        self.drained.pop(order["member"], None)
        return f"{order['member']} may be used"

    def under_way(self, order):
        if self.staged is None or self.staged.number != order["number"]:
            raise Refused(f"{order['number']} is not under way")
        return self.staged

    def raised(self, members):
        for member in members:
            if member in self.goes:
                self.goes[member] = self.force.number
        self.rows = {number: rows for number, rows in self.rows.items() if number >= self.floor}

    def note(self, number, end, why, by):
        self.past = [*self.past, Past(number, end, why, by)][-HISTORY:]

    def unharmed(self, policy: Policy) -> str | None:
        """What a member that hears of nobody could use beyond its even part of a policy's limits; None:
        nothing. It may go by any number from the floor on.
        """
        limits = policy.limits()
        for number, rows in self.rows.items():
            for folder, limit, burst in rows:
                wills = limits.get(folder, (limit, burst))
                for was, will, what in zip((limit, burst), wills, ("limit", "burst")):
                    if will and (not was or NARROW * was > will + TOLERANCE):
                        part = f"{NARROW * was:g} in all" if was else "no bound"
                        return (
                            f"{folder}: who is away and goes by {number} keeps {part} of its "
                            f"{what}, over the {will:g} of {policy.number}"
                        )
        return None

    # Snapshots.

    def kept(self) -> bytes:
        return json.dumps(
            {
                "members": self.members,
                "force": packed(self.force),
                "staged": packed(self.staged),
                "last": self.last,
                "by": self.by,
                "goes": self.goes,
                "past": self.past,
                "texts": [packed(policy) for policy in self.texts.values()],
                "rows": list(self.rows.items()),
                "drained": list(self.drained),
                "gone": list(self.gone),
            }
        ).encode()

    @classmethod
    def restored(cls, state: bytes) -> "Register":
        """Of `kept`; ValueError where it is damaged."""
        made = cls()
        if state:
            raw = json.loads(state)
            made.members, made.last, made.by = tuple(raw["members"]), raw["last"], raw["by"]
            made.force, made.staged, made.goes = unpacked(raw["force"]), unpacked(raw["staged"]), raw["goes"]
            made.past = [Past(*past) for past in raw["past"]]
            made.texts = {policy.number: policy for policy in map(unpacked, raw["texts"])}
            made.rows = {number: rows_of({"rows": rows}) for number, rows in raw["rows"]}
            made.drained = dict.fromkeys(raw["drained"], True)
            made.gone = dict.fromkeys(raw["gone"], True)
        return made


def rows_of(order) -> tuple[tuple[str, float, float], ...]:
    return tuple((folder, limit, burst) for folder, limit, burst in order["rows"])


# What members and the planner that leads say to each other.


class Ask(NamedTuple):
    """`force`: the number it goes by (0: none); `joint`: the staged number that it keeps beside it (0: none);
    `against`: why it does not take the number `refused`.
    """

    member: str
    ask: int
    force: int
    joint: int
    refused: int = 0
    against: str = ""


class Grant(NamedTuple):
    """What holds for a lease from the ask on: `force` and, while a change is under way, `staged`.  `term` and
    `index` are of the log: what is older is not believed.
    """

    member: str
    ask: int
    term: int
    index: int
    force: Policy
    staged: Policy | None


class Conduct:
    """The planner that leads, for one term, from when it was chosen."""

    def __init__(self, register: Register, now: float):
        self.register = register
        # Danger: the one that led before may have answered an ask just before it was not leading any more.
        self.open_at = now + LEASE * (1 + DRIFT)
        self.until, self.said = {}, {}  # member -> when its lease is over; its newest ask
        self.asks, self.began = [], {}  # asks that wait for a round; staged number -> since when it is seen
        self.returning = {}  # members that were forgotten and ask
        self.closing = None  # the number that it asked the log to decide, and who was joint

    def asked(self, now, ask: Ask, round_: int):
        """An ask came while the log's newest round was `round_`: it is answered once a later one is
        confirmed.
        """
        if ask.member in self.register.gone:
            # Danger: with an answer it would hold a lease that nothing waits for.
            self.returning[ask.member] = True
        elif ask.member in self.register.goes and len(self.asks) < MOST_ASKS:
            self.asks.append((round_, ask))

    def answers(self, now, confirmed: int, term: int, index: int) -> list[Grant]:
        """Grants for asks that came before a round which a majority echoed.

        Danger: a planner that others have replaced does not know it.  What it answers by a round of before
        the ask could be older than what was decided since.
        """
        ready = [ask for round_, ask in self.asks if round_ < confirmed]
        self.asks = [(round_, ask) for round_, ask in self.asks if round_ >= confirmed]
        return [grant for ask in ready if (grant := self.answer(now, ask, term, index)) is not None]

    def answer(self, now, ask, term, index):
        register = self.register
        if register.force is None or ask.member in register.gone:
            return None
        self.said[ask.member] = ask
        # Danger: a change that is being decided without this member must not find it with a lease.
        if self.closing is not None and ask.member not in self.closing[1]:
            return None
        self.until[ask.member] = now + LEASE * (1 + DRIFT)
        return Grant(ask.member, ask.ask, term, index, register.force, register.staged)

    def joint(self, member, number) -> bool:
        said = self.said.get(member)
        return said is not None and said.joint == number

    def look(self, now) -> dict | None:
        """The order that is to go to the log now; None: none."""
        register = self.register
        if register.force is None:
            return None
        staged = register.staged
        returning = [member for member in self.returning if member in register.gone]
        self.returning = {}
        if returning:
            return {"kind": "return", "members": returning}
        if staged is None:
            self.closing, self.began = None, {}
            back = [
                member
                for member in register.members
                if self.goes_by(member, register.force.number)
                and register.goes[member] != register.force.number
            ]
            return {"kind": "back", "number": register.force.number, "members": back} if back else None
        if self.closing is not None and self.closing[0] == staged.number:
            return None
        number, since = staged.number, self.began.setdefault(staged.number, now)
        for member in register.members:
            said = self.said.get(member)
            if said is not None and said.refused == number:
                return {"kind": "end", "number": number, "why": f"{member}: {said.against}"}
        waiting = [
            member
            for member in register.members
            if member not in register.gone and not self.joint(member, number)
        ]
        held = [member for member in waiting if self.until.get(member, self.open_at) > now]
        # Danger: who was joint and is silent since may come back on an older disk that knows nothing of it.
        silent = [
            member
            for member in register.members
            if member not in register.gone
            and (member in waiting or self.until.get(member, self.open_at) <= now)
        ]
        harm = register.unharmed(staged) if silent else None
        if not held and harm is None:
            joint = [member for member in register.members if member not in waiting]
            self.closing = number, dict.fromkeys(joint, True)
            return {
                "kind": "decide",
                "number": number,
                "joint": joint,
                "why": f"{len(joint)} of {len(register.members)} were there",
            }
        if now - since >= PATIENCE:
            away = waiting or silent
            who = ", ".join(away[:5]) + (f" and {len(away) - 5} more" if len(away) > 5 else "")
            why = f"without answer in {PATIENCE:g} s: {who}" + (f"; {harm}" if harm is not None else "")
            return {"kind": "end", "number": number, "why": why}
        return None

    def goes_by(self, member, number) -> bool:
        said = self.said.get(member)
        return said is not None and said.force == number

    def unkept(self):
        """The order that `look` gave did not get into the log."""
        self.closing = None


# A member.


class Holder:
    """`prove(policy)`: why it cannot be gone by, None: it can.  `keep(force, staged)`: puts both on its
    disk, synced; OSError where the disk does not take them.  `force`, `staged`: what its disk held.
    """

    def __init__(
        self,
        member: str,
        force: Policy | None,
        staged: Policy | None,
        prove: Callable[[Policy], str | None],
        keep: Callable,
    ):
        self.member, self.force, self.staged, self.prove, self.keep = member, force, staged, prove, keep
        self.until, self.seen, self.count, self.asks = None, (0, 0), 0, {}
        self.refused = 0, ""  # a number that it said no to, and why
        self.fenced = 0  # nodes turned away what goes by numbers below this one

    def ask(self, now) -> Ask:
        self.count += 1
        self.asks[self.count] = now
        while len(self.asks) > 16:
            del self.asks[next(iter(self.asks))]
        joint = self.staged.number if self.staged else 0
        return Ask(self.member, self.count, self.number, joint, *self.refused)

    @property
    def number(self) -> int:
        """The number that operations taken now go by; 0: none."""
        return self.force.number if self.force is not None else 0

    def granted(self, now, grant: Grant) -> bool:
        """Takes in a grant; whether it was believed.  What it changes is on the disk before it holds."""
        asked_at = self.asks.get(grant.ask)
        if grant.member != self.member or asked_at is None or (grant.term, grant.index) < self.seen:
            return False
        if asked_at + LEASE <= now:
            return False  # so long on its way that it is over
        force, staged = grant.force, self.stages(grant)
        if force.number != self.number:
            reason = self.prove(force)
            if reason is not None:
                # It was decided while this member was away, and it cannot go by it: it serves nothing.
                self.refused, self.until, self.fenced = (force.number, reason), None, force.number
                return False
        if (force.number, staged and staged.number) != (self.number, self.staged and self.staged.number):
            try:
                self.keep(force, staged)
            except OSError as fault:
                if grant.staged is not None and force.number == self.number:
                    self.refused = grant.staged.number, f"its disk: {fault}"
                # Danger: what is not on the disk is not gone by; the lease it had goes on.
                return False
        self.seen, self.force, self.staged = (grant.term, grant.index), force, staged
        self.until = asked_at + LEASE if self.until is None else max(self.until, asked_at + LEASE)
        self.fenced = 0 if force.number >= self.fenced else self.fenced
        return True

    def stages(self, grant) -> Policy | None:
        """The change under way, where this member takes part in it."""
        staged = grant.staged
        if staged is None or staged.number == self.refused[0]:
            return None
        if self.staged is None or self.staged.number != staged.number:
            reason = self.prove(staged)
            if reason is not None:
                self.refused = staged.number, reason
                return None
        return staged

    @property
    def knows(self) -> int:
        """The newest number whose limits it keeps to: what nodes hold against their floor."""
        return self.staged.number if self.staged is not None else self.number

    def turned_away(self, floor: int):
        """A node goes by nothing older than `floor`: this member's disk is older than it believes."""
        self.fenced = max(self.fenced, floor)

    def serves(self) -> bool:
        """Whether it may take operations at all."""
        return self.force is not None and self.knows >= self.fenced

    def narrow(self, now) -> bool:
        """Whether it hears of no planner, so that others may have decided what it does not know."""
        return self.until is None or now >= self.until

    def limits(self, now) -> dict[str, tuple[float, float]]:
        """Limit and burst of each folder that this member goes by at this moment, as those of all members
        together: it uses its even part of them.  0: no limit.
        """
        if not self.serves():
            return {}
        known = [policy.limits() for policy in (self.force, self.staged) if policy is not None]
        part = NARROW if self.narrow(now) else 1.0
        return {
            folder: tuple(
                part * min((limit for limit in values if limit), default=0.0)
                for values in zip(*(limits.get(folder, own) for limits in known))
            )
            for folder, own in known[0].items()
        }
