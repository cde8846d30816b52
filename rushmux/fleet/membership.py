"""Failure detection and membership of nodes and edges: leases, suspicion, drains and flap damping.

A member's reports renew its lease.  A member that is silent for unusually long is suspected, which operators
see but which has no other effect; a member whose lease expires is removed.  No lease expires early because
this planner itself was paused, restarted or partitioned.  Members that restart too often are suppressed by a
decaying penalty, like flapping routes in RFC 2439.

Sans I/O; the caller passes the time in seconds, which never goes backwards but may jump forward.
"""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from rushmux.fleet.errors import MembershipFullError

LEASE_DURATION = 6.0  # seconds without a report until removal; covers three lost reports and a long pause
REPORT_INTERVAL = 1.0  # seconds
DISCONNECT_GRACE = 1.0  # seconds from a lost connection until removal; allows for a few reconnect attempts
MAX_CALL_GAP = 2.0  # seconds between two calls; a longer gap means a paused planner or a clock jump
SUSPICION_FACTOR = 4.0  # a member is suspected after this many times its usual gap between reports
REPORT_GAPS_KEPT = 16
INCARNATIONS_KEPT = 16
MIN_REPORT_GAP = 0.5  # seconds; shorter gaps do not predict the next one
MASS_FAILURE_FRACTION = 0.5  # of the members; if more expire together, this planner is likely partitioned
MASS_FAILURE_MIN_MEMBERS = 4
MASS_FAILURE_WINDOW = 4.0  # seconds within which leases count as expiring together
MASS_FAILURE_GRACE = 10.0  # seconds for which members are then kept, unless some of them report
FLAP_PENALTY = 1.0  # added by each restart
PENALTY_HALF_LIFE = 60.0  # seconds
SUPPRESS_PENALTY = 3.5  # a member is suppressed from this penalty on
REUSE_PENALTY = 1.5  # a suppressed member is used again below this penalty
DRAIN_SETTLE_TIME = 3.0  # seconds that a draining node must be idle before it may be stopped
MAX_MEMBERS = 20_000
REMOVED_RETENTION = 900.0  # seconds for which removed members are kept


class MemberKind(StrEnum):
    """The kind of a member; the values are used on the wire and in the store."""

    NODE = "node"
    EDGE = "edge"


class MemberState(StrEnum):
    """The state of a member; the values are used on the wire and in logs."""

    READY = "ready"
    SUSPECTED = "suspected"
    SUPPRESSED = "held"
    """Restarted too often recently."""
    DRAINING = "draining"
    DRAINED = "drained"
    """Draining, and idle long enough to be stopped."""
    REMOVED = "gone"


PUBLISHED_STATES = {
    MemberState.SUSPECTED: MemberState.READY,
    MemberState.DRAINED: MemberState.DRAINING,
    MemberState.SUPPRESSED: MemberState.DRAINING,
}
"""The published state for each state that edges do not know."""


class StoredMember(NamedTuple):
    """A member as kept in a planner's store."""

    name: str
    kind: MemberKind
    incarnation: str
    draining: bool


class StateChange(NamedTuple):
    """A member's new state and the reason for it."""

    member: str
    state: MemberState
    reason: str


class Member:
    """One member; its `state` is None until the first evaluation."""

    def __init__(self, name: str, kind: MemberKind, now: float):
        self.name = name
        self.kind = kind
        self.state: MemberState | None = None
        self.incarnation = ""
        self.known_incarnations: dict[str, bool] = {}
        """Incarnations seen, oldest first; reports of an earlier one are ignored."""
        self.last_report_at = now
        self.lease_expiry = now + LEASE_DURATION
        self.report_gaps: deque[float] = deque(maxlen=REPORT_GAPS_KEPT)
        self.flap_penalty = 0.0
        self.flap_penalty_at = now
        self.draining = False
        self.in_flight = 0
        """Attempts running on it according to its last report."""
        self.idle_since: float | None = None
        """When a draining member became idle."""

    @property
    def is_living(self) -> bool:
        """Whether it has been evaluated and is not removed."""
        return self.state not in (MemberState.REMOVED, None)

    def usual_report_gap(self) -> float:
        """Returns the median gap between its reports, in seconds."""
        if not self.report_gaps:
            return REPORT_INTERVAL
        return max(MIN_REPORT_GAP, sorted(self.report_gaps)[len(self.report_gaps) // 2])

    def decay_flap_penalty(self, now: float) -> float:
        """Decays the penalty to the current time and returns it."""
        self.flap_penalty *= 0.5 ** ((now - self.flap_penalty_at) / PENALTY_HALF_LIFE)
        self.flap_penalty_at = now
        return self.flap_penalty

    def on_restart(self, now: float, incarnation: str) -> None:
        """Records a new incarnation; counts as a restart unless it is the first."""
        if self.incarnation:
            self.flap_penalty = self.decay_flap_penalty(now) + FLAP_PENALTY
            self.report_gaps.clear()
        self.incarnation = incarnation
        self.known_incarnations[incarnation] = True
        while len(self.known_incarnations) > INCARNATIONS_KEPT:
            del self.known_incarnations[next(iter(self.known_incarnations))]

    def renew_lease(self, now: float, in_flight: int) -> None:
        """Handles a report with this many attempts in flight."""
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
        """Returns its current state and the reason for it."""
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
        # Edges learn of a drain with a delay, so the node must have been idle for longer than that.
        if self.idle_since is not None and now - self.idle_since >= DRAIN_SETTLE_TIME:
            idle = now - self.idle_since
            return MemberState.DRAINED, f"nothing out for {idle:.1f} s: it may be stopped"
        return MemberState.DRAINING, f"told to drain; {self.in_flight} out"


class Membership:
    """All members in order of their first reports; methods return the state changes they make."""

    def __init__(self, now: float):
        self.members: dict[str, Member] = {}
        self.last_call_at = now
        self.mass_failure_since: float | None = None

    def restore(self, now: float, stored: Iterable[StoredMember]) -> None:
        """Restores members from the store at a planner's start.

        None has reported to this planner yet, so each gets a full lease.
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
        """Handles a member's report with this many attempts in flight.

        Raises:
            MembershipFullError: The member is new and the maximum number is reached.
        """
        self._compensate_pause(now)
        member = self.members.get(name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                raise MembershipFullError(name, MAX_MEMBERS)
            member = self.members[name] = Member(name, kind, now)
        if incarnation != member.incarnation:
            if incarnation in member.known_incarnations:
                return []  # a delayed report of an earlier incarnation
            member.on_restart(now, incarnation)
        elif member.state != MemberState.REMOVED:
            member.report_gaps.append(now - member.last_report_at)
        member.renew_lease(now, in_flight)
        return self._evaluate(now, member)

    def on_disconnect(self, now: float, name: str) -> None:
        """Shortens the lease of a disconnected member; not to zero, as it may reconnect soon."""
        member = self.members.get(name)
        if member is not None and member.state != MemberState.REMOVED:
            member.lease_expiry = min(member.lease_expiry, now + DISCONNECT_GRACE)
        self._compensate_pause(now)

    def tick(self, now: float) -> list[StateChange]:
        """Expires leases and updates all states; to be called more often than every `MAX_CALL_GAP`."""
        self._compensate_pause(now)
        self.last_call_at = now
        expiring = [
            member for member in self.members.values() if member.is_living and now >= member.lease_expiry
        ]
        if self._is_likely_partitioned(now, expiring):
            return []
        changes = []
        for member in list(self.members.values()):
            changes += self._evaluate(now, member)
            silence = now - member.last_report_at
            if member.state == MemberState.REMOVED and silence > REMOVED_RETENTION:
                del self.members[member.name]
        return changes

    def drain(self, now: float, name: str) -> list[StateChange]:
        """Drains a member: it gets no new operations.

        Raises:
            KeyError: No member of that name is known.
        """
        member = self.members[name]
        member.draining = True
        member.idle_since = None if member.in_flight else now
        return self._evaluate(now, member)

    def undrain(self, now: float, name: str) -> list[StateChange]:
        """Ends a member's drain.

        Raises:
            KeyError: No member of that name is known.
        """
        member = self.members[name]
        member.draining = False
        member.idle_since = None
        return self._evaluate(now, member)

    def endpoint_states(self) -> list[tuple[str, MemberState]]:
        """Returns the nodes with the states that are published to edges."""
        return [
            (member.name, PUBLISHED_STATES.get(member.state, member.state))
            for member in self.members.values()
            if member.kind == MemberKind.NODE and member.state
        ]

    def _compensate_pause(self, now: float) -> None:
        """Extends all leases by a pause of this planner or a clock jump, as no reports arrived during it."""
        excess = now - self.last_call_at - MAX_CALL_GAP
        self.last_call_at = max(self.last_call_at, now)
        if excess <= 0:
            return
        for member in self.members.values():
            if member.state != MemberState.REMOVED:
                member.lease_expiry += excess + MAX_CALL_GAP
                member.last_report_at += excess + MAX_CALL_GAP

    def _is_likely_partitioned(self, now: float, expiring: list[Member]) -> bool:
        """Whether so many leases expire together that this planner is likely partitioned.

        False again once that has lasted for `MASS_FAILURE_GRACE`.
        """
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
