"""The member's part of a rollout: its lease and the limits it applies."""

from collections.abc import Callable
from typing import NamedTuple

from rushmux.fleet.policy.records import (
    DEGRADED_FRACTION,
    LEASE_DURATION,
    LeaseGrant,
    LeaseRequest,
    LogPosition,
    Policy,
)

MAX_REQUESTS_IN_FLIGHT = 16  # older requests are considered lost


class Rejection(NamedTuple):
    """A version that a member cannot apply, and the reason; version 0 means none."""

    version: int
    reason: str


class PolicyMember:
    """A member that serves under the policy.

    Args:
        name: The member's name in the fleet.
        active: The active policy read from disk, if any.
        staged: The staged policy read from disk, if any.
        validate: Returns the reason why a policy cannot be applied, or None if it can.
        persist: Writes the active and the staged policy to disk and syncs it; raises OSError on failure.
    """

    def __init__(
        self,
        name: str,
        active: Policy | None,
        staged: Policy | None,
        validate: Callable[[Policy], str | None],
        persist: Callable[[Policy, Policy | None], None],
    ):
        self.name = name
        self.active = active
        self.staged = staged
        self.validate = validate
        self.persist = persist
        self.lease_expiry: float | None = None
        self.last_grant_position = LogPosition(0, 0)
        self.last_request_id = 0
        self.sent_at: dict[int, float] = {}
        """Send times of recent requests, by request id."""
        self.rejected = Rejection(0, "")
        self.fenced_below = 0
        """Nodes reject operations under versions below this one."""

    @property
    def active_version(self) -> int:
        """The version that newly accepted operations run under, or 0."""
        return self.active.version if self.active is not None else 0

    @property
    def newest_version(self) -> int:
        """The newest version whose limits it obeys; nodes compare it with their fencing floor."""
        return self.staged.version if self.staged is not None else self.active_version

    # Lease.

    def lease_request(self, now: float) -> LeaseRequest:
        """Creates a request to be sent now."""
        self.last_request_id += 1
        self.sent_at[self.last_request_id] = now
        while len(self.sent_at) > MAX_REQUESTS_IN_FLIGHT:
            del self.sent_at[next(iter(self.sent_at))]
        return LeaseRequest(
            member=self.name,
            request_id=self.last_request_id,
            active_version=self.active_version,
            joint_version=self.staged.version if self.staged else 0,
            rejected_version=self.rejected.version,
            rejection_reason=self.rejected.reason,
        )

    def on_grant(self, now: float, grant: LeaseGrant) -> bool:
        """Applies a grant after persisting what it changes.

        Returns:
            Whether the grant was accepted.
        """
        requested_at = self.sent_at.get(grant.request_id)
        if grant.member != self.name or requested_at is None or grant.position < self.last_grant_position:
            return False
        expiry = requested_at + LEASE_DURATION
        if expiry <= now:
            return False  # it arrived after the lease had expired
        staged = self._accepted_stage(grant)
        if not self._accepts_active(grant.active) or not self._persist(grant, staged):
            return False
        self.last_grant_position = grant.position
        self.active, self.staged = grant.active, staged
        self.lease_expiry = expiry if self.lease_expiry is None else max(self.lease_expiry, expiry)
        if self.active.version >= self.fenced_below:
            self.fenced_below = 0
        return True

    def _accepted_stage(self, grant: LeaseGrant) -> Policy | None:
        """Returns the staged policy of a grant if this member can apply it."""
        staged = grant.staged
        if staged is None or staged.version == self.rejected.version:
            return None
        if self.staged is None or self.staged.version != staged.version:
            reason = self.validate(staged)
            if reason is not None:
                self.rejected = Rejection(staged.version, reason)
                return None
        return staged

    def _accepts_active(self, active: Policy) -> bool:
        """Whether this member can apply the active policy; if not, it stops serving."""
        if active.version == self.active_version:
            return True
        reason = self.validate(active)
        if reason is None:
            return True
        # The policy was decided without this member.
        self.rejected = Rejection(active.version, reason)
        self.lease_expiry = None
        self.fenced_below = active.version
        return False

    def _persist(self, grant: LeaseGrant, staged: Policy | None) -> bool:
        """Persists what a grant changes; returns False on a disk failure, and the old lease continues."""
        unchanged = grant.active.version == self.active_version
        if unchanged and _version(staged) == _version(self.staged):
            return True
        try:
            self.persist(grant.active, staged)
        except OSError as error:
            if grant.staged is not None and unchanged:
                self.rejected = Rejection(grant.staged.version, f"its disk: {error}")
            return False
        return True

    # Serving.

    def on_fenced(self, floor: int) -> None:
        """Handles a node's rejection of versions below `floor`; this member's disk is outdated."""
        self.fenced_below = max(self.fenced_below, floor)

    def is_serving(self) -> bool:
        """Whether it may accept operations at all."""
        return self.active is not None and self.newest_version >= self.fenced_below

    def is_degraded(self, now: float) -> bool:
        """Whether it has no valid lease, so that changes may have been decided without it."""
        return self.lease_expiry is None or now >= self.lease_expiry

    def effective_limits(self, now: float) -> dict[str, tuple[float, float]]:
        """Returns the limit and burst to apply now, by folder, for all members together; 0 means unlimited.

        The member uses its even share of them.
        """
        if not self.is_serving():
            return {}
        known = [policy.limits() for policy in (self.active, self.staged) if policy is not None]
        fraction = DEGRADED_FRACTION if self.is_degraded(now) else 1.0
        effective = {}
        for folder, own in known[0].items():
            limits, bursts = zip(*(limits.get(folder, own) for limits in known), strict=True)
            effective[folder] = fraction * _least_bound(limits), fraction * _least_bound(bursts)
        return effective


def _version(policy: Policy | None) -> int | None:
    return None if policy is None else policy.version


def _least_bound(values: tuple[float, ...]) -> float:
    """Returns the lowest bound, where 0 means unlimited."""
    return min((value for value in values if value), default=0.0)
