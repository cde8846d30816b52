"""Mutants of the policy rollout: each is one of its three classes with one defect.

The checker of `policy_simulation` has to find each of them; `benchmarks/policy.py` prints how many seeds that
takes.
"""

from collections.abc import Iterable
from typing import Any

from rushmux.fleet.errors import PolicyCommandError
from rushmux.fleet.policy import (
    DEGRADED_FRACTION,
    LeaseGrant,
    LeaseRequest,
    LogPosition,
    Policy,
    PolicyMember,
    PolicyStateMachine,
    RolloutCoordinator,
)
from rushmux.fleet.policy.commands import ProposeChange, WithdrawChange

# Mutants of the member's side.


class JointBeforePersisted(PolicyMember):
    """Reports that it is joint without having persisted the staged policy."""

    def __init__(self, name, active, staged, validate, persist):
        super().__init__(name, active, staged, validate, lambda active, staged: persist(active, None))


class LeaseFromGrant(PolicyMember):
    """Starts its lease when the grant arrives, not when it sent the request."""

    def on_grant(self, now: float, grant: LeaseGrant) -> bool:
        """As the original, except for the start of the lease."""
        if grant.request_id in self.sent_at:
            self.sent_at[grant.request_id] = now
        return super().on_grant(now, grant)


class NeverDegraded(PolicyMember):
    """Does not reduce its limits without a lease."""

    def is_degraded(self, now: float) -> bool:
        """Always false."""
        return False


class RaisesBeforeDecided(PolicyMember):
    """Applies the new limits as soon as a change is staged."""

    def effective_limits(self, now: float) -> dict[str, tuple[float, float]]:
        """The staged limits."""
        if not self.is_serving():
            return {}
        fraction = DEGRADED_FRACTION if self.is_degraded(now) else 1.0
        known = (self.staged or self.active).limits()
        return {folder: (fraction * limit, fraction * burst) for folder, (limit, burst) in known.items()}


class BelievesOldGrants(PolicyMember):
    """Accepts grants for older log positions than it has seen."""

    def on_grant(self, now: float, grant: LeaseGrant) -> bool:
        """As the original, without the newest position seen."""
        self.last_grant_position = LogPosition(0, 0)
        return super().on_grant(now, grant)


class ForgetsStagedAtStart(PolicyMember):
    """Drops the staged policy when it starts."""

    def __init__(self, name, active, staged, validate, persist):
        super().__init__(name, active, None, validate, persist)


class LeaseWithoutClock(PolicyMember):
    """Checks its lease against the time of its last request instead of its clock."""

    def effective_limits(self, now: float) -> dict[str, tuple[float, float]]:
        """As the original, at the time of the last request."""
        if self.lease_expiry is not None:
            now = max(self.sent_at.values(), default=0.0)
        return super().effective_limits(now)


# Mutants of the leader's side.


class IgnoresPredecessorLeases(RolloutCoordinator):
    """Does not wait for the leases that its predecessor granted."""

    def __init__(self, state_machine: PolicyStateMachine, now: float):
        super().__init__(state_machine, now)
        self.predecessor_leases_end = now


class ForgetsOwnLeases(RolloutCoordinator):
    """Forgets the leases that it granted, so that silent members count as members without a lease."""

    def grant_lease(self, now: float, request: LeaseRequest, term: int, index: int) -> LeaseGrant | None:
        """As the original, and forgets the lease."""
        grant = super().grant_lease(now, request, term, index)
        self.lease_expiry.pop(request.member, None)
        self.predecessor_leases_end = 0.0
        return grant


class GrantsUnconfirmed(RolloutCoordinator):
    """Grants leases without confirming that it still leads."""

    def grant_leases(self, now: float, confirmed_round: int, term: int, index: int) -> list[LeaseGrant]:
        """As the original, with all rounds confirmed."""
        return super().grant_leases(now, 1 << 60, term, index)


class GrantsWhileDeciding(RolloutCoordinator):
    """Grants leases to members without which a change is being decided."""

    def grant_lease(self, now: float, request: LeaseRequest, term: int, index: int) -> LeaseGrant | None:
        """As the original without the pending decision."""
        pending_decision, self.pending_decision = self.pending_decision, None
        grant = super().grant_lease(now, request, term, index)
        self.pending_decision = pending_decision
        return grant


class MajorityIsEnough(RolloutCoordinator):
    """Decides as soon as a majority is joint."""

    def is_joint(self, member: str, version: int) -> bool:
        """Whether a majority is joint."""
        members = self.state_machine.members
        joint = sum(super(MajorityIsEnough, self).is_joint(name, version) for name in members)
        return joint * 2 > len(members)


class RejectionCountsAsJoint(RolloutCoordinator):
    """Treats a rejection as an acceptance."""

    def on_lease_request(self, now: float, request: LeaseRequest, round_: int) -> None:
        """As the original, with a rejected version reported as joint."""
        if request.rejected_version:
            request = request._replace(joint_version=request.rejected_version, rejected_version=0)
        super().on_lease_request(now, request, round_)


class NeverTimesOut(RolloutCoordinator):
    """Waits for a staged change without a timeout."""

    def next_command(self, now: float) -> dict[str, Any] | None:
        """As the original, as if the change had been staged just now."""
        self.staged_since = {}
        return super().next_command(now)


class SilentCountsAsLeased(RolloutCoordinator):
    """Assumes that a member that was joint still has a lease."""

    def next_command(self, now: float) -> dict[str, Any] | None:
        """As the original, with the leases of joint members extended."""
        staged = self.state_machine.staged
        for member in self.state_machine.members:
            if staged is not None and self.is_joint(member, staged.version):
                self.lease_expiry[member] = now + 1.0
        return super().next_command(now)


# Mutants of the replicated state.


class ExcessNotChecked(PolicyStateMachine):
    """Ignores the fraction of its limit that a degraded member may use."""

    def degraded_excess(self, policy: Policy) -> str | None:
        """Always None."""
        return None


class OnlyNewestCounts(PolicyStateMachine):
    """Forgets that an absent member may apply a version older than the active one."""

    def advance_members(self, members: Iterable[str]) -> None:
        """As the original, and forgets the older limits."""
        super().advance_members(members)
        self.limits_by_version = {self.active.version: self.active.folder_limits}


class WithdrawsDecided(PolicyStateMachine):
    """Withdraws decided changes."""

    def withdraw(self, command: WithdrawChange) -> str:
        """As the original, and reverts the active version."""
        if command.version == self.active.version and self.past_policies:
            self.active = next(reversed(self.past_policies.values()))
            return "withdrawn"
        return super().withdraw(command)


class ReplacesStaged(PolicyStateMachine):
    """Replaces a staged change with a new one."""

    def propose(self, command: ProposeChange) -> str:
        """As the original without the staged change."""
        staged, self.staged = self.staged, None
        try:
            return super().propose(command)
        except PolicyCommandError:
            self.staged = staged
            raise


class DecidesAnyStaged(PolicyStateMachine):
    """Applies an old leader's command on another change to the staged one."""

    def require_staged(self, version: int) -> Policy:
        """Returns the staged change, whatever its version."""
        if self.staged is None:
            raise PolicyCommandError("nothing is under way")
        return self.staged


MUTANTS = (
    JointBeforePersisted,
    LeaseFromGrant,
    NeverDegraded,
    RaisesBeforeDecided,
    BelievesOldGrants,
    ForgetsStagedAtStart,
    LeaseWithoutClock,
    IgnoresPredecessorLeases,
    ForgetsOwnLeases,
    GrantsUnconfirmed,
    GrantsWhileDeciding,
    MajorityIsEnough,
    RejectionCountsAsJoint,
    NeverTimesOut,
    SilentCountsAsLeased,
    ExcessNotChecked,
    OnlyNewestCounts,
    WithdrawsDecided,
    ReplacesStaged,
    DecidesAnyStaged,
)
