"""Shares of limits: how much of a folder's limit each edge may use, so that all together never pass it.

No I/O, no clock of its own.  The planner grants; an edge uses what it was granted until its lease ends and a
stated safe share after that.  Nothing is assumed of messages: they may be lost, repeated, late and out
of order, and the two clocks may differ by anything but their speed (MAX_CLOCK_DRIFT).

The rule: for each folder the sum over all edges of the most that each may still believe in is at most the
limit.  So shares go down everywhere before they go up anywhere: what was lowered is free only when the
edge said so, or when its lease is over.
"""

from typing import NamedTuple

LEASE_DURATION = 10.0  # seconds for which a grant holds, from when the edge asked
MAX_CLOCK_DRIFT = 0.01  # part by which two clocks may run apart
SAFE_FRACTION = 0.25  # of a limit: what edges that hear of nobody share evenly
HYSTERESIS = 0.1  # of a share: for smaller wishes hundreds of edges would be told each second
MIN_DEMAND = 0.02  # of what is shared out goes to each edge that asked for none: a first burst
DEMAND_SMOOTHING = 0.5  # weight of the newest report in what an edge wants
EPSILON = 1e-9  # shares are compared to this


class GrantId(NamedTuple):
    """Which grant: the planner's term, and its number within the term."""

    term: int
    sequence: int


class QuotaRequest(NamedTuple):
    """What an edge sends beside its demands: the number of the request, and the grant that it goes by."""

    request_id: int
    applied: GrantId


class QuotaGrant(NamedTuple):
    """What an edge is told: parts of each folder's limit, and the ask that it answers."""

    edge: str
    term: int  # of the planner: an older one is not believed
    sequence: int  # of the grant, rising within a term
    request_id: int  # the edge's own number of the ask: the lease runs from then
    quotas: dict[str, float]


class Reservation:
    """What one edge may believe of one folder."""

    __slots__ = ("demand", "last_sent", "reserved")

    def __init__(self, quota):
        self.reserved = quota  # the most that it may use now, whatever it has heard
        self.last_sent = quota  # what it was last told
        self.demand = 0.0


class QuotaAllocator:
    """The planner's side, for one term.  `max_edges`: edges there may ever be; each has its safe part."""

    def __init__(self, term: int, folders, max_edges: int, now: float):
        self.term, self.max_edges = term, max_edges
        self.safe_quota = SAFE_FRACTION / max_edges
        self.reservations = {name: {} for name in folders}  # folder -> edge -> what it may believe
        self.lease_expiry, self.last_sequence, self.pending_grants = (
            {},
            0,
            {},
        )  # edge -> end of its lease; its last grant
        # Danger: a planner that has just begun does not know what another one had granted: nothing above the
        # safe parts goes out until every lease of an older term is over.
        self.predecessor_leases_end = now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)

    def on_quota_request(
        self, now, edge: str, request_id: int, demands: dict[str, float], applied: GrantId | None = None
    ) -> QuotaGrant:
        """An edge asks, tells what it could use of each folder (parts of the limit), and which grant it "
          "goes by
        (`applied`: its term and number).  What it is granted holds for a lease from when it asked.
        """
        self.expire_leases(now)
        known = self.pending_grants.get(edge)
        if applied == (self.term, known and known[0]):
            # It goes by the last grant and by nothing older: what was lowered is free now.
            for folder, part in known[1].items():
                self.reservations[folder][edge].reserved = part
        if edge not in self.lease_expiry and len(self.lease_expiry) >= self.max_edges:
            return QuotaGrant(edge, self.term, 0, request_id, {})  # one too many: it stays at nothing
        self.lease_expiry[edge] = now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)
        parts = {}
        for folder, want in demands.items():
            held = self.reservations.get(folder)
            if held is None:
                continue
            mine = held.setdefault(edge, Reservation(self.safe_quota))
            mine.demand += DEMAND_SMOOTHING * (min(1.0, max(0.0, want)) - mine.demand)
            parts[folder] = self.quota(now, folder, edge)
        self.last_sequence += 1
        self.pending_grants[edge] = self.last_sequence, dict(parts)
        for folder, part in parts.items():
            mine = self.reservations[folder][edge]
            mine.reserved, mine.last_sent = max(mine.reserved, part), part
        return QuotaGrant(edge, self.term, self.last_sequence, request_id, parts)

    def quota(self, now, folder, edge) -> float:
        """What this edge is to have: a fair part of the limit by what all want, and no more than is free."""
        held, mine = self.reservations[folder], self.reservations[folder][edge]
        if now < self.predecessor_leases_end:
            return min(mine.last_sent, self.safe_quota)
        # Every edge that there may be keeps its safe part, heard of or not.
        spare = 1.0 - self.safe_quota * self.max_edges
        wanted = sum(max(MIN_DEMAND, other.demand) for other in held.values())
        target = self.safe_quota + spare * max(MIN_DEMAND, mine.demand) / max(wanted, EPSILON)
        if abs(target - mine.last_sent) < HYSTERESIS * mine.last_sent:
            target = mine.last_sent
        if target <= mine.reserved:
            return target
        others = sum(other.reserved - self.safe_quota for name, other in held.items() if name != edge)
        return max(self.safe_quota, min(target, self.safe_quota + max(0.0, spare - others)))

    def expire_leases(self, now):
        """Edges whose leases are over are at their safe parts."""
        for edge in [edge for edge, until in self.lease_expiry.items() if until <= now]:
            del self.lease_expiry[edge]
            self.pending_grants.pop(edge, None)
            for held in self.reservations.values():
                held.pop(edge, None)

    def max_reserved(self, folder) -> float:
        """The most that all edges together may believe of a folder, as a part of its limit."""
        held = self.reservations[folder]
        return sum(other.reserved for other in held.values()) + self.safe_quota * (self.max_edges - len(held))


class EdgeQuotas:
    """An edge's side: what it may use now.  `max_edges`: as for the planner."""

    def __init__(self, edge: str, max_edges: int):
        self.edge, self.safe_quota = edge, SAFE_FRACTION / max_edges
        self.term, self.sequence, self.quotas, self.lease_expiry = 0, 0, {}, 0.0
        self.sent_at, self.last_request_id = {}, 0

    def request(self, now) -> QuotaRequest:
        """A new ask goes out: its number, and the grant that is in force (what `asked` takes as `done`)."""
        self.last_request_id += 1
        self.sent_at[self.last_request_id] = now
        while len(self.sent_at) > 16:
            del self.sent_at[next(iter(self.sent_at))]
        return QuotaRequest(self.last_request_id, GrantId(self.term, self.sequence))

    def on_grant(self, now, grant: QuotaGrant) -> bool:
        """A grant came; whether it is believed.  An older one, of an older term or of no ask, is not."""
        asked_at = self.sent_at.get(grant.request_id)
        if asked_at is None or (grant.term, grant.sequence) <= (self.term, self.sequence):
            return False
        if asked_at + LEASE_DURATION <= now:
            return False  # so long on its way that it is over
        self.term, self.sequence, self.quotas = grant.term, grant.sequence, dict(grant.quotas)
        self.lease_expiry = asked_at + LEASE_DURATION
        return True

    def quota(self, now, folder: str) -> float:
        """The part of a folder's limit that this edge may use at this moment."""
        # Danger: an edge that stood still wakes with old parts; it looks at its clock before it uses any.
        if now >= self.lease_expiry:
            return self.safe_quota
        return self.quotas.get(folder, self.safe_quota)
