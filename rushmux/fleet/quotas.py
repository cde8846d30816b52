"""Quotas: the share of each folder's limit that an edge may use, so that all edges stay within the limit.

The planner grants quotas.  An edge uses its granted quotas until its lease expires, then a fixed safe quota.
Messages may be lost, duplicated, delayed and reordered; clocks may differ, but their rates by no more than
`MAX_CLOCK_DRIFT`.

Invariant: for each folder, the maximum usage that edges may still have adds up to at most the limit.  Quotas
are therefore lowered before others are raised: the freed share is granted again only once the edge has
confirmed the lower quota or its lease has expired.

Sans I/O; the caller passes the time in seconds.  Quotas and demands are fractions of a limit.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

LEASE_DURATION = 10.0  # seconds from the edge's request until its grant expires
MAX_CLOCK_DRIFT = 0.01  # maximum relative difference between the rates of two clocks
SAFE_FRACTION = 0.25  # of a limit, split evenly into safe quotas
HYSTERESIS = 0.1  # of a quota; smaller changes are skipped, or hundreds of edges would change each second
MIN_DEMAND = 0.02  # assumed for each edge, as room for a first burst
DEMAND_SMOOTHING = 0.5  # weight of the newest demand in the moving average
EPSILON = 1e-9
MAX_REQUESTS_IN_FLIGHT = 16  # older requests are considered lost


class GrantId(NamedTuple):
    """Identifies a grant by the planner's term and a sequence number within it; ids increase."""

    term: int
    sequence: int


class QuotaRequest(NamedTuple):
    """A request's number and the grant that the edge applies; sent along with its demands."""

    request_id: int
    applied: GrantId


class QuotaGrant(NamedTuple):
    """An edge's quotas by folder, in response to a request.

    The lease runs from when the edge sent the request.
    """

    edge: str
    term: int
    sequence: int
    request_id: int
    quotas: dict[str, float]

    @property
    def grant_id(self) -> GrantId:
        """The id of this grant."""
        return GrantId(self.term, self.sequence)


class Reservation:
    """One edge's share of one folder's limit."""

    __slots__ = ("demand", "last_sent", "reserved")

    def __init__(self, quota: float):
        self.reserved = quota
        """The maximum that the edge may use now, whichever of its grants have arrived."""
        self.last_sent = quota
        self.demand = 0.0
        """Moving average of the reported demand."""


class QuotaAllocator:
    """Grants quotas on the planner, for one term.

    Args:
        term: The planner's term.
        folders: Folders that have a limit.
        max_edges: Maximum number of edges; a safe quota is set aside for each, known or not.
        now: Current time in seconds.
    """

    def __init__(self, term: int, folders: Iterable[str], max_edges: int, now: float):
        self.term = term
        self.max_edges = max_edges
        self.safe_quota = SAFE_FRACTION / max_edges
        self.reservations: dict[str, dict[str, Reservation]] = {name: {} for name in folders}
        """Reservations by folder and edge."""
        self.lease_expiry: dict[str, float] = {}
        self.last_sequence = 0
        self.latest_grants: dict[str, QuotaGrant] = {}
        """The latest grant of each edge."""
        # The predecessor's grants are unknown, so only safe quotas are granted until all its leases expired.
        self.predecessor_leases_end = _planner_lease_end(now)

    def on_quota_request(
        self,
        now: float,
        edge: str,
        request_id: int,
        demands: Mapping[str, float],
        applied: GrantId | None = None,
    ) -> QuotaGrant:
        """Answers a quota request.

        Args:
            now: Current time in seconds.
            edge: Name of the requesting edge.
            request_id: The edge's number for the request.
            demands: The edge's demand by folder.
            applied: The grant that the edge applies; it no longer uses any older one.
        """
        self._expire_leases(now)
        self._release_lowered(edge, applied)
        if edge not in self.lease_expiry and len(self.lease_expiry) >= self.max_edges:
            return QuotaGrant(edge, self.term, 0, request_id, {})
        self.lease_expiry[edge] = _planner_lease_end(now)
        quotas = {}
        for folder, demand in demands.items():
            if folder in self.reservations:
                self._record_demand(folder, edge, demand)
                quotas[folder] = self._quota(now, folder, edge)
        self.last_sequence += 1
        grant = QuotaGrant(edge, self.term, self.last_sequence, request_id, quotas)
        self.latest_grants[edge] = grant
        for folder, quota in quotas.items():
            reservation = self.reservations[folder][edge]
            reservation.reserved = max(reservation.reserved, quota)
            reservation.last_sent = quota
        return grant

    def max_reserved(self, folder: str) -> float:
        """Returns the maximum that all edges together may use of a folder."""
        reservations = self.reservations[folder]
        reserved = sum(reservation.reserved for reservation in reservations.values())
        return reserved + self.safe_quota * (self.max_edges - len(reservations))

    def _release_lowered(self, edge: str, applied: GrantId | None) -> None:
        """Frees the difference to the latest grant's quotas once the edge confirms that grant."""
        last_grant = self.latest_grants.get(edge)
        if last_grant is None or applied != last_grant.grant_id:
            return
        for folder, quota in last_grant.quotas.items():
            self.reservations[folder][edge].reserved = quota

    def _record_demand(self, folder: str, edge: str, demand: float) -> None:
        reservation = self.reservations[folder].setdefault(edge, Reservation(self.safe_quota))
        demand = min(1.0, max(0.0, demand))
        reservation.demand += DEMAND_SMOOTHING * (demand - reservation.demand)

    def _quota(self, now: float, folder: str, edge: str) -> float:
        """Returns an edge's share of the limit in proportion to its demand, capped at the free share."""
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
        """Drops the reservations of edges with expired leases, which use their safe quotas."""
        expired = [edge for edge, expiry in self.lease_expiry.items() if expiry <= now]
        for edge in expired:
            del self.lease_expiry[edge]
            self.latest_grants.pop(edge, None)
            for reservations in self.reservations.values():
                reservations.pop(edge, None)


class EdgeQuotas:
    """Applies granted quotas on an edge.

    Args:
        edge: The edge's name.
        max_edges: Maximum number of edges, the same value as the planner's.
    """

    def __init__(self, edge: str, max_edges: int):
        self.edge = edge
        self.safe_quota = SAFE_FRACTION / max_edges
        self.applied = GrantId(0, 0)
        self.quotas: dict[str, float] = {}
        self.lease_expiry = 0.0
        self.last_request_id = 0
        self.sent_at: dict[int, float] = {}
        """Send times of requests in flight, by request id."""

    def request(self, now: float) -> QuotaRequest:
        """Creates a request to be sent now."""
        self.last_request_id += 1
        self.sent_at[self.last_request_id] = now
        while len(self.sent_at) > MAX_REQUESTS_IN_FLIGHT:
            del self.sent_at[next(iter(self.sent_at))]
        return QuotaRequest(self.last_request_id, self.applied)

    def on_grant(self, now: float, grant: QuotaGrant) -> bool:
        """Applies a grant; returns False if it is outdated, expired, or answers an unknown request."""
        requested_at = self.sent_at.get(grant.request_id)
        if requested_at is None or grant.grant_id <= self.applied:
            return False
        expiry = requested_at + LEASE_DURATION
        if expiry <= now:
            return False  # it arrived after the lease had expired
        self.applied = grant.grant_id
        self.quotas = dict(grant.quotas)
        self.lease_expiry = expiry
        return True

    def quota(self, now: float, folder: str) -> float:
        """Returns the share of a folder's limit that this edge may use now."""
        # After a pause of the process the quotas may be outdated, so the expiry is checked at each use.
        if now >= self.lease_expiry:
            return self.safe_quota
        return self.quotas.get(folder, self.safe_quota)


def _planner_lease_end(now: float) -> float:
    """Returns when a lease granted now has expired at the edge despite clock drift."""
    return now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)
