"""Who lives: leases, suspicion, starts, drains and flapping of nodes and edges.  No I/O, no clock.

Every member renews a lease.  Silence that is long for this member makes it suspected, which tells
people and nothing else; the end of its lease makes it gone.  A planner that stood still, came back, or is
cut off itself knows less than it seems: it ends no lease early for that.  Times are seconds of the
caller's clock, which never moves backwards but may jump.
"""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from rushmux.fleet.errors import MembershipFullError

LEASE_DURATION = 6.0  # seconds without a word until a member is gone: three lost reports and a long pause
REPORT_INTERVAL = 1.0  # seconds between a member's reports
DISCONNECT_GRACE = 1.0  # seconds until a member whose connection broke is gone: a few dials
MAX_TICK_GAP = 2.0  # seconds between two looks of a planner: more is a pause of its own, or a jump
SUSPICION_FACTOR = 4.0  # times a member's own usual gap until it is suspected
REPORT_GAPS_KEPT = 16  # gaps kept of a member
MIN_REPORT_GAP = 0.5  # seconds: below that a gap says nothing of the next one
MASS_FAILURE_FRACTION = 0.5  # of the members: more gone at once is this planner's own trouble
MASS_FAILURE_MIN_MEMBERS = 4  # members at least for that
MASS_FAILURE_WINDOW = 4.0  # seconds within which "at once" is
MASS_FAILURE_GRACE = 10.0  # seconds that such a crowd is kept, unless some of it speak
FLAP_PENALTY = 1.0  # added to a member's penalty at each start
PENALTY_HALF_LIFE = 60.0  # seconds in which a penalty halves
SUPPRESS_PENALTY, REUSE_PENALTY = (
    3.5,
    1.5,
)  # penalty at which a member is held back, and below which it is used again
DRAIN_SETTLE_TIME = 3.0  # seconds that a drained node is silent before it may be stopped
MAX_MEMBERS = 20_000  # members kept
REMOVED_RETENTION = 900.0  # seconds for which a gone member is remembered


class MemberKind(StrEnum):
    """What a member is; the values stand on the wire and in the store."""

    NODE = "node"
    EDGE = "edge"


class MemberState(StrEnum):
    """What was decided of a member; the values stand on the wire and in logs."""

    READY = "ready"
    SUSPECTED = "suspected"
    SUPPRESSED = "held"
    DRAINING = "draining"
    DRAINED = "drained"
    REMOVED = "gone"


# Conditions that edges take as another: suspicion changes nothing for them.
PUBLISHED_STATES = {
    MemberState.SUSPECTED: MemberState.READY,
    MemberState.DRAINED: MemberState.DRAINING,
    MemberState.SUPPRESSED: MemberState.DRAINING,
}


class StoredMember(NamedTuple):
    """What a planner's store knows of a member."""

    name: str
    kind: MemberKind
    incarnation: str
    draining: bool


class StateChange(NamedTuple):
    """A member's state and why it is so."""

    member: str
    state: MemberState
    reason: str


class Member:
    """What is known of one member."""

    def __init__(self, name, kind, now):
        self.name, self.kind = name, kind
        self.incarnation, self.last_report_at, self.lease_expiry = "", now, now + LEASE_DURATION
        self.known_incarnations = {}  # starts of it that were seen, in order: an older one is not believed
        self.report_gaps, self.flap_penalty, self.flap_penalty_at = deque(maxlen=REPORT_GAPS_KEPT), 0.0, now
        self.draining, self.in_flight, self.idle_since, self.state = False, 0, None, None

    def usual_report_gap(self):
        return (
            max(MIN_REPORT_GAP, sorted(self.report_gaps)[len(self.report_gaps) // 2])
            if self.report_gaps
            else REPORT_INTERVAL
        )

    def decay_flap_penalty(self, now):
        """The penalty now; it halves in PENALTY_HALF_LIFE seconds."""
        self.flap_penalty *= 0.5 ** ((now - self.flap_penalty_at) / PENALTY_HALF_LIFE)
        self.flap_penalty_at = now
        return self.flap_penalty


class Membership:
    """All members.  Each call gives the changes that it brought, in the order of the members' first words."""

    def __init__(self, now):
        self.members, self.last_tick_at, self.mass_failure_since = {}, now, None

    def restore(self, now, stored: list[StoredMember]):
        """Members known from before this planner's start.
        Danger: it has heard nobody yet; each gets a whole lease.
        """
        for name, kind, start, draining in stored:
            member = self.members[name] = Member(name, kind, now)
            member.incarnation, member.draining, member.state = (
                start,
                draining,
                MemberState.DRAINING if draining else MemberState.READY,
            )
            member.known_incarnations[start] = True

    def on_report(self, now, name, kind, incarnation, in_flight=0) -> list[StateChange]:
        """A report came: of an incarnation, with so many executions out at it."""
        self.compensate_pause(now)
        member = self.members.get(name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                raise MembershipFullError(f"{name}: {MAX_MEMBERS} members are known")
            member = self.members[name] = Member(name, kind, now)
        if incarnation != member.incarnation:
            if incarnation in member.known_incarnations:
                return []  # a late word of a start that is over
            if member.incarnation:
                member.flap_penalty = member.decay_flap_penalty(now) + FLAP_PENALTY
                member.report_gaps.clear()
            member.incarnation, member.known_incarnations[incarnation] = incarnation, True
            while len(member.known_incarnations) > REPORT_GAPS_KEPT:
                del member.known_incarnations[next(iter(member.known_incarnations))]
        elif member.state != MemberState.REMOVED:
            member.report_gaps.append(now - member.last_report_at)
        member.last_report_at, member.lease_expiry, member.in_flight = now, now + LEASE_DURATION, in_flight
        if member.draining:
            member.idle_since = None if in_flight else now if member.idle_since is None else member.idle_since
        return self.evaluate(now, member)

    def on_disconnect(self, now, name):
        """A member's connection broke: mostly it died.  It has a moment to come back on another."""
        member = self.members.get(name)
        if member is not None and member.state != MemberState.REMOVED:
            member.lease_expiry = min(member.lease_expiry, now + DISCONNECT_GRACE)
        self.compensate_pause(now)

    def tick(self, now) -> list[StateChange]:
        """To be called every second or so: ends leases and lets drained nodes go."""
        self.compensate_pause(now)
        self.last_tick_at = now
        ending = [
            member
            for member in self.members.values()
            if member.state not in (MemberState.REMOVED, None) and now >= member.lease_expiry
        ]
        if self.is_own_failure(now, ending):
            return []
        changes = []
        for member in list(self.members.values()):
            changes += self.evaluate(now, member)
            if member.state == MemberState.REMOVED and now - member.last_report_at > REMOVED_RETENTION:
                del self.members[member.name]
        return changes

    def compensate_pause(self, now):
        """Danger: after a pause of this planner's own, or a jump of its clock, all have been silent."""
        lost = now - self.last_tick_at - MAX_TICK_GAP
        self.last_tick_at = max(self.last_tick_at, now)
        if lost > 0:
            for member in self.members.values():
                if member.state != MemberState.REMOVED:
                    member.lease_expiry += lost + MAX_TICK_GAP
                    member.last_report_at += lost + MAX_TICK_GAP

    def is_own_failure(self, now, ending) -> bool:
        """Whether so many leases end together that this planner must be the one cut off; for a while."""
        living = [
            member for member in self.members.values() if member.state not in (MemberState.REMOVED, None)
        ]
        together = [
            member
            for member in ending
            if now - member.lease_expiry < MASS_FAILURE_WINDOW + MASS_FAILURE_GRACE
        ]
        if len(living) < MASS_FAILURE_MIN_MEMBERS or len(together) <= MASS_FAILURE_FRACTION * len(living):
            self.mass_failure_since = None
            return False
        self.mass_failure_since = now if self.mass_failure_since is None else self.mass_failure_since
        return now - self.mass_failure_since < MASS_FAILURE_GRACE

    def drain(self, now, name) -> list[StateChange]:
        """Nothing new is to go there; KeyError where nobody of that name is known."""
        member = self.members[name]
        member.draining, member.idle_since = True, now if not member.in_flight else None
        return self.evaluate(now, member)

    def undrain(self, now, name) -> list[StateChange]:
        """It may be used again."""
        member = self.members[name]
        member.draining, member.idle_since = False, None
        return self.evaluate(now, member)

    def evaluate(self, now, member) -> list[StateChange]:
        state, reason = self.state_of(now, member)
        if state == member.state:
            return []
        member.state = state
        return [StateChange(member.name, state, reason)]

    def state_of(self, now, member):
        silent = now - member.last_report_at
        if now >= member.lease_expiry:
            return MemberState.REMOVED, f"silent for {silent:.1f} s, its lease is over"
        if member.draining:
            # Danger: edges hear of a drain late; it is over when nothing was out for longer than that.
            if member.idle_since is not None and now - member.idle_since >= DRAIN_SETTLE_TIME:
                return (
                    MemberState.DRAINED,
                    f"nothing out for {now - member.idle_since:.1f} s: it may be stopped",
                )
            return MemberState.DRAINING, f"told to drain; {member.in_flight} out"
        penalty = member.decay_flap_penalty(now)
        if penalty >= SUPPRESS_PENALTY or (
            member.state == MemberState.SUPPRESSED and penalty >= REUSE_PENALTY
        ):
            return MemberState.SUPPRESSED, f"started too often of late (penalty {penalty:.1f})"
        if silent > SUSPICION_FACTOR * member.usual_report_gap():
            return (
                MemberState.SUSPECTED,
                f"silent for {silent:.1f} s, usually {member.usual_report_gap():.1f}",
            )
        return MemberState.READY, f"start {member.incarnation}"

    def endpoint_states(self) -> list[tuple[str, str]]:
        """Nodes and their conditions as edges are to take them."""
        return [
            (member.name, PUBLISHED_STATES.get(member.state, member.state))
            for member in self.members.values()
            if member.kind == MemberKind.NODE and member.state
        ]
