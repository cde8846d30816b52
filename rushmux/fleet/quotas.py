"""Quotas: which share of a folder's limit each edge may use, so that all together never exceed it.

The planner grants quotas; an edge uses what it was granted until its lease expires, and a safe quota after
that.  Nothing is assumed of messages: they may be lost, repeated, late and out of order, and two clocks may
differ by anything but their rates (`MAX_CLOCK_DRIFT`).

The invariant: for each folder, the sum over all edges of the most that each may still use is at most the
limit.  So quotas go down everywhere before they go up anywhere: what was lowered is free only when the edge
confirmed it, or when its lease has expired.

Sans I/O and without a clock: times are seconds of the caller's.  Quotas and demands are fractions of a limit.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

LEASE_DURATION = 10.0  # seconds for which a grant holds, from the edge's request on
MAX_CLOCK_DRIFT = 0.01  # fraction by which the rates of two clocks may differ
SAFE_FRACTION = 0.25  # of a limit: what edges without a lease share evenly
HYSTERESIS = 0.1  # of a quota: for smaller changes hundreds of edges would be told each second
MIN_DEMAND = 0.02  # counted for each edge that asked for less: room for a first burst
DEMAND_SMOOTHING = 0.5  # weight of the newest demand in an edge's moving average
EPSILON = 1e-9  # quotas are compared to this
MAX_REQUESTS_IN_FLIGHT = 16  # older ones are taken for lost


class GrantId(NamedTuple):
    """A grant by the planner's term and its number within the term; ids rise."""

    term: int
    sequence: int


class QuotaRequest(NamedTuple):
    """What an edge sends beside its demands: the number of the request, and the grant that it applies."""

    request_id: int
    applied: GrantId


class QuotaGrant(NamedTuple):
    """The quotas of an edge, by folder, and the request that they answer.

    The lease runs from when the edge sent the request.
    """

    edge: str
    term: int
    sequence: int
    request_id: int
    quotas: dict[str, float]

    @property
    def grant_id(self) -> GrantId:
        """Which grant this is."""
        return GrantId(self.term, self.sequence)


class Reservation:
    """What one edge may use of one folder."""

    __slots__ = ("demand", "last_sent", "reserved")

    def __init__(self, quota: float):
        self.reserved = quota
        """The most that it may use now, whichever grants it has received."""
        self.last_sent = quota
        self.demand = 0.0
        """Moving average of what it could use."""


class QuotaAllocator:
    """The planner's side, for one term.

    Args:
        term: The planner's term.
        folders: Folders that have a limit.
        max_edges: Edges that there may ever be; each has its safe quota, heard of or not.
        now: Seconds.
    """

    def __init__(self, term: int, folders: Iterable[str], max_edges: int, now: float):
        self.term = term
        self.max_edges = max_edges
        self.safe_quota = SAFE_FRACTION / max_edges
        self.reservations: dict[str, dict[str, Reservation]] = {name: {} for name in folders}
        """By folder and edge."""
        self.lease_expiry: dict[str, float] = {}
        self.last_sequence = 0
        self.pending_grants: dict[str, QuotaGrant] = {}
        """The last grant of each edge."""
        # A planner that has just begun does not know what another one granted: nothing above the safe quotas
        # goes out until every lease of an older term has expired.
        self.predecessor_leases_end = _planner_lease_end(now)

    def on_quota_request(
        self,
        now: float,
        edge: str,
        request_id: int,
        demands: Mapping[str, float],
        applied: GrantId | None = None,
    ) -> QuotaGrant:
        """Answers a request.

        Args:
            now: Seconds.
            edge: Who asks.
            request_id: The edge's number of the request.
            demands: What it could use of each folder.
            applied: The grant that it applies, and nothing older.
        """
        self._expire_leases(now)
        self._release_lowered(edge, applied)
        if edge not in self.lease_expiry and len(self.lease_expiry) >= self.max_edges:
            return QuotaGrant(edge, self.term, 0, request_id, {})  # one too many: it gets nothing at all
        self.lease_expiry[edge] = _planner_lease_end(now)
        quotas = {}
        for folder, demand in demands.items():
            if folder in self.reservations:
                self._record_demand(folder, edge, demand)
                quotas[folder] = self._quota(now, folder, edge)
        self.last_sequence += 1
        grant = QuotaGrant(edge, self.term, self.last_sequence, request_id, quotas)
        self.pending_grants[edge] = grant
        for folder, quota in quotas.items():
            reservation = self.reservations[folder][edge]
            reservation.reserved = max(reservation.reserved, quota)
            reservation.last_sent = quota
        return grant

    def max_reserved(self, folder: str) -> float:
        """The most that all edges together may use of a folder."""
        reservations = self.reservations[folder]
        reserved = sum(reservation.reserved for reservation in reservations.values())
        return reserved + self.safe_quota * (self.max_edges - len(reservations))

    def _release_lowered(self, edge: str, applied: GrantId | None) -> None:
        """Frees what the last grant lowered, once the edge says that it applies that one."""
        last_grant = self.pending_grants.get(edge)
        if last_grant is None or applied != last_grant.grant_id:
            return
        for folder, quota in last_grant.quotas.items():
            self.reservations[folder][edge].reserved = quota

    def _record_demand(self, folder: str, edge: str, demand: float) -> None:
        reservation = self.reservations[folder].setdefault(edge, Reservation(self.safe_quota))
        demand = min(1.0, max(0.0, demand))
        reservation.demand += DEMAND_SMOOTHING * (demand - reservation.demand)

    def _quota(self, now: float, folder: str, edge: str) -> float:
        """An edge's fair share of the limit by all demands, and no more than is free."""
        reservations = self.reservations[folder]
        own = reservations[edge]
        if now < self.predecessor_leases_end:
            return min(own.last_sent, self.safe_quota)
        spare = 1.0 - self.safe_quota * self.max_edges
        total_demand = sum(max(MIN_DEMAND, other.demand) for other in reservations.values())
        target = self.safe_quota + spare * max(MIN_DEMAND, own.demand) / max(total_demand, EPSILON)
        if abs(target - own.last_sent) < HYSTERESIS * own.last_sent:
            target = own.last_sent
        if target <= own.reserved:
            return target
        taken = sum(other.reserved - self.safe_quota for name, other in reservations.items() if name != edge)
        return max(self.safe_quota, min(target, self.safe_quota + max(0.0, spare - taken)))

    def _expire_leases(self, now: float) -> None:
        """Edges whose leases have expired are at their safe quotas."""
        expired = [edge for edge, expiry in self.lease_expiry.items() if expiry <= now]
        for edge in expired:
            del self.lease_expiry[edge]
            self.pending_grants.pop(edge, None)
            for reservations in self.reservations.values():
                reservations.pop(edge, None)


class EdgeQuotas:
    """An edge's side: what it may use now.

    Args:
        edge: The edge's name.
        max_edges: Edges that there may ever be, as for the planner.
    """

    def __init__(self, edge: str, max_edges: int):
        self.edge = edge
        self.safe_quota = SAFE_FRACTION / max_edges
        self.applied = GrantId(0, 0)
        self.quotas: dict[str, float] = {}
        self.lease_expiry = 0.0
        self.last_request_id = 0
        self.sent_at: dict[int, float] = {}
        """When each request that is in flight was sent."""

    def request(self, now: float) -> QuotaRequest:
        """A new request, to be sent now."""
        self.last_request_id += 1
        self.sent_at[self.last_request_id] = now
        while len(self.sent_at) > MAX_REQUESTS_IN_FLIGHT:
            del self.sent_at[next(iter(self.sent_at))]
        return QuotaRequest(self.last_request_id, self.applied)

    def on_grant(self, now: float, grant: QuotaGrant) -> bool:
        """Takes in a grant; whether it is believed: an older one, or one of no known request, is not."""
        requested_at = self.sent_at.get(grant.request_id)
        if requested_at is None or grant.grant_id <= self.applied:
            return False
        expiry = requested_at + LEASE_DURATION
        if expiry <= now:
            return False  # it was under way for a whole lease
        self.applied = grant.grant_id
        self.quotas = dict(grant.quotas)
        self.lease_expiry = expiry
        return True

    def quota(self, now: float, folder: str) -> float:
        """The share of a folder's limit that this edge may use now."""
        # An edge that was paused wakes with old quotas: the clock is read before any is used.
        if now >= self.lease_expiry:
            return self.safe_quota
        return self.quotas.get(folder, self.safe_quota)


def _planner_lease_end(now: float) -> float:
    """When a lease that is granted now has expired at the edge, whatever the drift of its clock."""
    return now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)
