"""Who lives: leases, suspicion, starts, drains and flapping of nodes and edges.  No I/O, no clock.

Every member renews a lease.  Silence that is long for this member makes it suspected, which tells
people and nothing else; the end of its lease makes it gone.  A planner that stood still, came back, or is
cut off itself knows less than it seems: it ends no lease early for that.  Times are seconds of the
caller's clock, which never moves backwards but may jump.
"""

from collections import deque
from typing import NamedTuple

LEASE = 6.0  # seconds without a word until a member is gone: three lost reports and a long pause
REPORT = 1.0  # seconds between a member's reports
BROKEN = 1.0  # seconds until a member whose connection broke is gone: a few dials
STEP = 2.0  # seconds between two looks of a planner: more is a pause of its own, or a jump
SUSPECT = 4.0  # times a member's own usual gap until it is suspected
GAPS = 16  # gaps kept of a member
LEAST_GAP = 0.5  # seconds: below that a gap says nothing of the next one
PART = 0.5  # of the members: more gone at once is this planner's own trouble
CROWD = 4  # members at least for that
CROWD_SPAN = 4.0  # seconds within which "at once" is
CROWD_WAIT = 10.0  # seconds that such a crowd is kept, unless some of it speak
FLAP = 1.0  # added to a member's penalty at each start
HALF = 60.0  # seconds in which a penalty halves
HOLD, REUSE = 3.5, 1.5  # penalty at which a member is held back, and below which it is used again
SETTLE = 3.0  # seconds that a drained node is silent before it may be stopped
MOST = 20_000  # members kept
KEPT = 900.0  # seconds for which a gone member is remembered

NODE, EDGE = "node", "edge"
READY, SUSPECTED, HELD, DRAINING, DRAINED, GONE = "ready", "suspected", "held", "draining", "drained", "gone"


# Conditions that edges take as another: suspicion changes nothing for them.
SHOWN = {SUSPECTED: READY, DRAINED: DRAINING, HELD: DRAINING}


class Full(Exception):
    """More members than are kept; the text names the one that was turned away."""


class Change(NamedTuple):
    """A member's condition and why it is so."""

    member: str
    condition: str
    reason: str


class Member:
    """What is known of one member."""

    def __init__(self, name, kind, now):
        self.name, self.kind = name, kind
        self.start, self.heard_at, self.until = "", now, now + LEASE
        self.starts = {}  # starts of it that were seen, in order: an older one is not believed
        self.gaps, self.penalty, self.penalty_at = deque(maxlen=GAPS), 0.0, now
        self.draining, self.out, self.quiet_at, self.condition = False, 0, None, None

    def usual_gap(self):
        return max(LEAST_GAP, sorted(self.gaps)[len(self.gaps) // 2]) if self.gaps else REPORT

    def flapped(self, now):
        """The penalty now; it halves in HALF seconds."""
        self.penalty *= 0.5 ** ((now - self.penalty_at) / HALF)
        self.penalty_at = now
        return self.penalty


class Membership:
    """All members.  Each call gives the changes that it brought, in the order of the members' first words."""

    def __init__(self, now):
        self.members, self.looked_at, self.kept_since = {}, now, None

    def restored(self, now, names):
        """Members known from before this planner's start: (name, kind, start, draining).
        Danger: it has heard nobody yet; each gets a whole lease.
        """
        for name, kind, start, draining in names:
            member = self.members[name] = Member(name, kind, now)
            member.start, member.draining, member.condition = start, draining, DRAINING if draining else READY
            member.starts[start] = True

    def heard(self, now, name, kind, start, out=0) -> list[Change]:
        """A report came: of a start, with so many executions out at it."""
        self.paused(now)
        member = self.members.get(name)
        if member is None:
            if len(self.members) >= MOST:
                raise Full(f"{name}: {MOST} members are known")
            member = self.members[name] = Member(name, kind, now)
        if start != member.start:
            if start in member.starts:
                return []  # a late word of a start that is over
            if member.start:
                member.penalty = member.flapped(now) + FLAP
                member.gaps.clear()
            member.start, member.starts[start] = start, True
            while len(member.starts) > GAPS:
                del member.starts[next(iter(member.starts))]
        elif member.condition != GONE:
            member.gaps.append(now - member.heard_at)
        member.heard_at, member.until, member.out = now, now + LEASE, out
        if member.draining:
            member.quiet_at = None if out else now if member.quiet_at is None else member.quiet_at
        return self.judge(now, member)

    def broke(self, now, name):
        """A member's connection broke: mostly it died.  It has a moment to come back on another."""
        member = self.members.get(name)
        if member is not None and member.condition != GONE:
            member.until = min(member.until, now + BROKEN)
        self.paused(now)

    def look(self, now) -> list[Change]:
        """To be called every second or so: ends leases and lets drained nodes go."""
        self.paused(now)
        self.looked_at = now
        ending = [
            member
            for member in self.members.values()
            if member.condition not in (GONE, None) and now >= member.until
        ]
        if self.own_trouble(now, ending):
            return []
        changes = []
        for member in list(self.members.values()):
            changes += self.judge(now, member)
            if member.condition == GONE and now - member.heard_at > KEPT:
                del self.members[member.name]
        return changes

    def paused(self, now):
        """Danger: after a pause of this planner's own, or a jump of its clock, all have been silent."""
        lost = now - self.looked_at - STEP
        self.looked_at = max(self.looked_at, now)
        if lost > 0:
            for member in self.members.values():
                if member.condition != GONE:
                    member.until += lost + STEP
                    member.heard_at += lost + STEP

    def own_trouble(self, now, ending) -> bool:
        """Whether so many leases end together that this planner must be the one cut off; for a while."""
        living = [member for member in self.members.values() if member.condition not in (GONE, None)]
        together = [member for member in ending if now - member.until < CROWD_SPAN + CROWD_WAIT]
        if len(living) < CROWD or len(together) <= PART * len(living):
            self.kept_since = None
            return False
        self.kept_since = now if self.kept_since is None else self.kept_since
        return now - self.kept_since < CROWD_WAIT

    def drain(self, now, name) -> list[Change]:
        """Nothing new is to go there; KeyError where nobody of that name is known."""
        member = self.members[name]
        member.draining, member.quiet_at = True, now if not member.out else None
        return self.judge(now, member)

    def undrain(self, now, name) -> list[Change]:
        """It may be used again."""
        member = self.members[name]
        member.draining, member.quiet_at = False, None
        return self.judge(now, member)

    def judge(self, now, member) -> list[Change]:
        condition, reason = self.condition(now, member)
        if condition == member.condition:
            return []
        member.condition = condition
        return [Change(member.name, condition, reason)]

    def condition(self, now, member):
        silent = now - member.heard_at
        if now >= member.until:
            return GONE, f"silent for {silent:.1f} s, its lease is over"
        if member.draining:
            # Danger: edges hear of a drain late; it is over when nothing was out for longer than that.
            if member.quiet_at is not None and now - member.quiet_at >= SETTLE:
                return DRAINED, f"nothing out for {now - member.quiet_at:.1f} s: it may be stopped"
            return DRAINING, f"told to drain; {member.out} out"
        penalty = member.flapped(now)
        if penalty >= HOLD or (member.condition == HELD and penalty >= REUSE):
            return HELD, f"started too often of late (penalty {penalty:.1f})"
        if silent > SUSPECT * member.usual_gap():
            return SUSPECTED, f"silent for {silent:.1f} s, usually {member.usual_gap():.1f}"
        return READY, f"start {member.start}"

    def told(self) -> list[tuple[str, str]]:
        """Nodes and their conditions as edges are to take them."""
        return [
            (member.name, SHOWN.get(member.condition, member.condition))
            for member in self.members.values()
            if member.kind == NODE and member.condition
        ]
