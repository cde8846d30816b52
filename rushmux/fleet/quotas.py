"""Shares of limits: how much of a folder's limit each edge may use, so that all together never pass it.

No I/O, no clock of its own.  The planner grants; an edge uses what it was granted until its lease ends and a
stated safe share after that.  Nothing is assumed of messages: they may be lost, repeated, late and out
of order, and the two clocks may differ by anything but their speed (DRIFT).

The rule: for each folder the sum over all edges of the most that each may still believe in is at most the
limit.  So shares go down everywhere before they go up anywhere: what was lowered is free only when the
edge said so, or when its lease is over.
"""

from typing import NamedTuple

LEASE = 10.0  # seconds for which a grant holds, from when the edge asked
DRIFT = 0.01  # part by which two clocks may run apart
SAFE = 0.25  # of a limit: what edges that hear of nobody share evenly
STEADY = 0.1  # of a share: for smaller wishes hundreds of edges would be told each second
FLOOR = 0.02  # of what is shared out goes to each edge that asked for none: a first burst
RISE = 0.5  # weight of the newest report in what an edge wants
NOTHING = 1e-9  # shares are compared to this


class Grant(NamedTuple):
    """What an edge is told: parts of each folder's limit, and the ask that it answers."""

    edge: str
    term: int  # of the planner: an older one is not believed
    number: int  # of the grant, rising within a term
    ask: int  # the edge's own number of the ask: the lease runs from then
    parts: dict[str, float]


class _Held:
    """What one edge may believe of one folder."""

    __slots__ = ("granted", "sent", "want")

    def __init__(self, part):
        self.granted = part  # the most that it may use now, whatever it has heard
        self.sent = part  # what it was last told
        self.want = 0.0


class Shares:
    """The planner's side, for one term.  `edges`: most edges there may ever be; each has its safe part."""

    def __init__(self, term: int, folders, edges: int, now: float):
        self.term, self.count = term, edges
        self.safe = SAFE / edges
        self.folders = {name: {} for name in folders}  # folder -> edge -> what it may believe
        self.until, self.number, self.pending = {}, 0, {}  # edge -> end of its lease; its last grant
        # Danger: a planner that has just begun does not know what another one had granted: nothing above the
        # safe parts goes out until every lease of an older term is over.
        self.open_at = now + LEASE * (1 + DRIFT)

    def asked(self, now, edge: str, ask: int, wants: dict[str, float], done: tuple | None = None) -> Grant:
        """An edge asks, tells what it could use of each folder (parts of the limit), and which grant it "
          "goes by
        (`done`: its term and number).  What it is granted holds for a lease from when it asked.
        """
        self.lapse(now)
        known = self.pending.get(edge)
        if done == (self.term, known and known[0]):
            # It goes by the last grant and by nothing older: what was lowered is free now.
            for folder, part in known[1].items():
                self.folders[folder][edge].granted = part
        if edge not in self.until and len(self.until) >= self.count:
            return Grant(edge, self.term, 0, ask, {})  # one too many: it stays at nothing
        self.until[edge] = now + LEASE * (1 + DRIFT)
        parts = {}
        for folder, want in wants.items():
            held = self.folders.get(folder)
            if held is None:
                continue
            mine = held.setdefault(edge, _Held(self.safe))
            mine.want += RISE * (min(1.0, max(0.0, want)) - mine.want)
            parts[folder] = self.part(now, folder, edge)
        self.number += 1
        self.pending[edge] = self.number, dict(parts)
        for folder, part in parts.items():
            mine = self.folders[folder][edge]
            mine.granted, mine.sent = max(mine.granted, part), part
        return Grant(edge, self.term, self.number, ask, parts)

    def part(self, now, folder, edge) -> float:
        """What this edge is to have: a fair part of the limit by what all want, and no more than is free."""
        held, mine = self.folders[folder], self.folders[folder][edge]
        if now < self.open_at:
            return min(mine.sent, self.safe)
        # Every edge that there may be keeps its safe part, heard of or not.
        spare = 1.0 - self.safe * self.count
        wanted = sum(max(FLOOR, other.want) for other in held.values())
        target = self.safe + spare * max(FLOOR, mine.want) / max(wanted, NOTHING)
        if abs(target - mine.sent) < STEADY * mine.sent:
            target = mine.sent
        if target <= mine.granted:
            return target
        others = sum(other.granted - self.safe for name, other in held.items() if name != edge)
        return max(self.safe, min(target, self.safe + max(0.0, spare - others)))

    def lapse(self, now):
        """Edges whose leases are over are at their safe parts."""
        for edge in [edge for edge, until in self.until.items() if until <= now]:
            del self.until[edge]
            self.pending.pop(edge, None)
            for held in self.folders.values():
                held.pop(edge, None)

    def most(self, folder) -> float:
        """The most that all edges together may believe of a folder, as a part of its limit."""
        held = self.folders[folder]
        return sum(other.granted for other in held.values()) + self.safe * (self.count - len(held))


class Believed:
    """An edge's side: what it may use now.  `count`: as for the planner."""

    def __init__(self, edge: str, count: int):
        self.edge, self.safe = edge, SAFE / count
        self.term, self.number, self.parts, self.until = 0, 0, {}, 0.0
        self.asks, self.count = {}, 0

    def ask(self, now) -> tuple[int, tuple[int, int]]:
        """A new ask goes out: its number, and the grant that is in force (what `asked` takes as `done`)."""
        self.count += 1
        self.asks[self.count] = now
        while len(self.asks) > 16:
            del self.asks[next(iter(self.asks))]
        return self.count, (self.term, self.number)

    def granted(self, now, grant: Grant) -> bool:
        """A grant came; whether it is believed.  An older one, of an older term or of no ask, is not."""
        asked_at = self.asks.get(grant.ask)
        if asked_at is None or (grant.term, grant.number) <= (self.term, self.number):
            return False
        if asked_at + LEASE <= now:
            return False  # so long on its way that it is over
        self.term, self.number, self.parts = grant.term, grant.number, dict(grant.parts)
        self.until = asked_at + LEASE
        return True

    def part(self, now, folder: str) -> float:
        """The part of a folder's limit that this edge may use at this moment."""
        # Danger: an edge that stood still wakes with old parts; it looks at its clock before it uses any.
        if now >= self.until:
            return self.safe
        return self.parts.get(folder, self.safe)
