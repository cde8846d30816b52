"""Failure detection and membership of nodes and edges: leases, suspicion, drains and flap damping.

Every member renews a lease with its reports.  Silence that is long for this member makes it suspected, which
operators see and which changes nothing else; a lease that expires removes the member.  A planner that was
paused, came back, or is cut off itself knows less than it seems: it lets no lease expire early for that.
Members that restart too often are suppressed by a decaying penalty, as routes are in RFC 2439.

Sans I/O and without a clock: times are seconds of the caller's, which never moves backwards but may jump.
"""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from rushmux.fleet.errors import MembershipFullError

LEASE_DURATION = 6.0  # seconds without a report until a member is removed: three lost and a long pause
REPORT_INTERVAL = 1.0  # seconds between a member's reports
DISCONNECT_GRACE = 1.0  # seconds until a member whose connection broke is removed: a few dials
MAX_TICK_GAP = 2.0  # seconds between two ticks of a planner: more is a pause of its own, or a jump
SUSPICION_FACTOR = 4.0  # times a member's usual gap between reports until it is suspected
REPORT_GAPS_KEPT = 16
INCARNATIONS_KEPT = 16
MIN_REPORT_GAP = 0.5  # seconds: a shorter gap says nothing about the next one
MASS_FAILURE_FRACTION = 0.5  # of the members: more leases that expire together are this planner's own fault
MASS_FAILURE_MIN_MEMBERS = 4
MASS_FAILURE_WINDOW = 4.0  # seconds within which leases expire "together"
MASS_FAILURE_GRACE = 10.0  # seconds for which members are kept then, unless some of them report
FLAP_PENALTY = 1.0  # added to a member's penalty by each restart
PENALTY_HALF_LIFE = 60.0  # seconds
SUPPRESS_PENALTY = 3.5  # penalty at which a member is suppressed
REUSE_PENALTY = 1.5  # penalty below which it is used again
DRAIN_SETTLE_TIME = 3.0  # seconds that a draining node is idle before it may be stopped
MAX_MEMBERS = 20_000
REMOVED_RETENTION = 900.0  # seconds for which a removed member is remembered


class MemberKind(StrEnum):
    """What a member is; the values are those on the wire and in the store."""

    NODE = "node"
    EDGE = "edge"


class MemberState(StrEnum):
    """What was decided about a member; the values are those on the wire and in logs."""

    READY = "ready"
    SUSPECTED = "suspected"
    SUPPRESSED = "held"
    """Restarted too often lately."""
    DRAINING = "draining"
    DRAINED = "drained"
    """Draining, and idle for long enough to be stopped."""
    REMOVED = "gone"


PUBLISHED_STATES = {
    MemberState.SUSPECTED: MemberState.READY,
    MemberState.DRAINED: MemberState.DRAINING,
    MemberState.SUPPRESSED: MemberState.DRAINING,
}
"""States that edges are told as another one; suspicion changes nothing for them."""


class StoredMember(NamedTuple):
    """What a planner's store knows of a member."""

    name: str
    kind: MemberKind
    incarnation: str
    draining: bool


class StateChange(NamedTuple):
    """The new state of a member, and why."""

    member: str
    state: MemberState
    reason: str


class Member:
    """What is known of one member.  `state` is None until it was evaluated first."""

    def __init__(self, name: str, kind: MemberKind, now: float):
        self.name = name
        self.kind = kind
        self.state: MemberState | None = None
        self.incarnation = ""
        self.known_incarnations: dict[str, bool] = {}
        """Incarnations that were seen, oldest first: an older one is not believed again."""
        self.last_report_at = now
        self.lease_expiry = now + LEASE_DURATION
        self.report_gaps: deque[float] = deque(maxlen=REPORT_GAPS_KEPT)
        self.flap_penalty = 0.0
        self.flap_penalty_at = now
        self.draining = False
        self.in_flight = 0
        """Attempts that were running there by its last report."""
        self.idle_since: float | None = None
        """Since when a draining member has had nothing in flight."""

    @property
    def is_living(self) -> bool:
        """Whether it was evaluated and is not removed."""
        return self.state not in (MemberState.REMOVED, None)

    def usual_report_gap(self) -> float:
        """The median gap between its reports, in seconds."""
        if not self.report_gaps:
            return REPORT_INTERVAL
        return max(MIN_REPORT_GAP, sorted(self.report_gaps)[len(self.report_gaps) // 2])

    def decay_flap_penalty(self, now: float) -> float:
        """The penalty as it is now."""
        self.flap_penalty *= 0.5 ** ((now - self.flap_penalty_at) / PENALTY_HALF_LIFE)
        self.flap_penalty_at = now
        return self.flap_penalty

    def on_restart(self, now: float, incarnation: str) -> None:
        """It reported under an incarnation that was not seen before."""
        if self.incarnation:
            self.flap_penalty = self.decay_flap_penalty(now) + FLAP_PENALTY
            self.report_gaps.clear()
        self.incarnation = incarnation
        self.known_incarnations[incarnation] = True
        while len(self.known_incarnations) > INCARNATIONS_KEPT:
            del self.known_incarnations[next(iter(self.known_incarnations))]

    def renew_lease(self, now: float, in_flight: int) -> None:
        """It reported, with so many attempts in flight."""
        self.last_report_at = now
        self.lease_expiry = now + LEASE_DURATION
        self.in_flight = in_flight
        if not self.draining:
            return
        if in_flight:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now

    def evaluate(self, now: float) -> tuple[MemberState, str]:
        """Its state now, and why."""
        silence = now - self.last_report_at
        if now >= self.lease_expiry:
            return MemberState.REMOVED, f"silent for {silence:.1f} s, its lease is over"
        if self.draining:
            return self._evaluate_drain(now)
        penalty = self.decay_flap_penalty(now)
        if penalty >= SUPPRESS_PENALTY or (self.state == MemberState.SUPPRESSED and penalty >= REUSE_PENALTY):
            return MemberState.SUPPRESSED, f"started too often of late (penalty {penalty:.1f})"
        usual_gap = self.usual_report_gap()
        if silence > SUSPICION_FACTOR * usual_gap:
            return MemberState.SUSPECTED, f"silent for {silence:.1f} s, usually {usual_gap:.1f}"
        return MemberState.READY, f"start {self.incarnation}"

    def _evaluate_drain(self, now: float) -> tuple[MemberState, str]:
        # Edges hear of a drain late; it is over when nothing was in flight for longer than that takes.
        if self.idle_since is not None and now - self.idle_since >= DRAIN_SETTLE_TIME:
            idle = now - self.idle_since
            return MemberState.DRAINED, f"nothing out for {idle:.1f} s: it may be stopped"
        return MemberState.DRAINING, f"told to drain; {self.in_flight} out"


class Membership:
    """All members.  Each call gives the changes it made, in the order of the members' first reports."""

    def __init__(self, now: float):
        self.members: dict[str, Member] = {}
        self.last_tick_at = now
        self.mass_failure_since: float | None = None

    def restore(self, now: float, stored: Iterable[StoredMember]) -> None:
        """Takes over members known from before this planner's start.

        It has heard none of them yet, so each gets a whole lease.
        """
        for name, kind, incarnation, draining in stored:
            member = self.members[name] = Member(name, kind, now)
            member.incarnation = incarnation
            member.known_incarnations[incarnation] = True
            member.draining = draining
            member.state = MemberState.DRAINING if draining else MemberState.READY

    def on_report(
        self, now: float, name: str, kind: MemberKind, incarnation: str, in_flight: int = 0
    ) -> list[StateChange]:
        """A member reported, with so many attempts in flight.

        Raises:
            MembershipFullError: It is new, and there are too many.
        """
        self._compensate_pause(now)
        member = self.members.get(name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                raise MembershipFullError(name, MAX_MEMBERS)
            member = self.members[name] = Member(name, kind, now)
        if incarnation != member.incarnation:
            if incarnation in member.known_incarnations:
                return []  # a late report of an incarnation that has ended
            member.on_restart(now, incarnation)
        elif member.state != MemberState.REMOVED:
            member.report_gaps.append(now - member.last_report_at)
        member.renew_lease(now, in_flight)
        return self._evaluate(now, member)

    def on_disconnect(self, now: float, name: str) -> None:
        """A member's connection broke: mostly it died, but it may come back on another one soon."""
        member = self.members.get(name)
        if member is not None and member.state != MemberState.REMOVED:
            member.lease_expiry = min(member.lease_expiry, now + DISCONNECT_GRACE)
        self._compensate_pause(now)

    def tick(self, now: float) -> list[StateChange]:
        """Expires leases and lets drained nodes go; to be called every second or so."""
        self._compensate_pause(now)
        self.last_tick_at = now
        expiring = [
            member for member in self.members.values() if member.is_living and now >= member.lease_expiry
        ]
        if self._is_own_failure(now, expiring):
            return []
        changes = []
        for member in list(self.members.values()):
            changes += self._evaluate(now, member)
            silence = now - member.last_report_at
            if member.state == MemberState.REMOVED and silence > REMOVED_RETENTION:
                del self.members[member.name]
        return changes

    def drain(self, now: float, name: str) -> list[StateChange]:
        """Nothing new is to go to a member.

        Raises:
            KeyError: No member of that name is known.
        """
        member = self.members[name]
        member.draining = True
        member.idle_since = None if member.in_flight else now
        return self._evaluate(now, member)

    def undrain(self, now: float, name: str) -> list[StateChange]:
        """A member may be used again.

        Raises:
            KeyError: No member of that name is known.
        """
        member = self.members[name]
        member.draining = False
        member.idle_since = None
        return self._evaluate(now, member)

    def endpoint_states(self) -> list[tuple[str, MemberState]]:
        """Nodes and the states that edges are told of them."""
        return [
            (member.name, PUBLISHED_STATES.get(member.state, member.state))
            for member in self.members.values()
            if member.kind == MemberKind.NODE and member.state
        ]

    def _compensate_pause(self, now: float) -> None:
        """Extends leases after a pause of this planner, or a jump of its clock: all were silent then."""
        lost = now - self.last_tick_at - MAX_TICK_GAP
        self.last_tick_at = max(self.last_tick_at, now)
        if lost <= 0:
            return
        for member in self.members.values():
            if member.state != MemberState.REMOVED:
                member.lease_expiry += lost + MAX_TICK_GAP
                member.last_report_at += lost + MAX_TICK_GAP

    def _is_own_failure(self, now: float, expiring: list[Member]) -> bool:
        """Whether so many leases expire together that this planner must be cut off; true for a while only."""
        living = sum(member.is_living for member in self.members.values())
        window = MASS_FAILURE_WINDOW + MASS_FAILURE_GRACE
        together = sum(now - member.lease_expiry < window for member in expiring)
        if living < MASS_FAILURE_MIN_MEMBERS or together <= MASS_FAILURE_FRACTION * living:
            self.mass_failure_since = None
            return False
        if self.mass_failure_since is None:
            self.mass_failure_since = now
        return now - self.mass_failure_since < MASS_FAILURE_GRACE

    def _evaluate(self, now: float, member: Member) -> list[StateChange]:
        state, reason = member.evaluate(now)
        if state == member.state:
            return []
        member.state = state
        return [StateChange(member.name, state, reason)]
