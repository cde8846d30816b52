"""Seeded defects of the fleet's policy: each is a part that is wrong in one thing.  The judge of `policies`
has to find every one of them; tests and the measurement say within how many seeds.
"""

from rushmux.fleet import policy
from rushmux.fleet.errors import CommandRejectedError
from rushmux.fleet.policy import PolicyMember, PolicyStateMachine, RolloutCoordinator


class YesBeforeItsDisk(PolicyMember):
    """Says that it is joint and has not kept it."""

    def __init__(self, *values):
        super().__init__(*values)
        whole = self.persist
        self.persist = lambda force, staged: whole(force, None)


class LeaseFromTheAnswer(PolicyMember):
    """Counts its lease from when the answer came."""

    def on_grant(self, now, grant):
        if grant.request_id in self.sent_at:
            self.sent_at[grant.request_id] = now
        return super().on_grant(now, grant)


class NeverNarrow(PolicyMember):
    """Goes on as before when it hears of no planner."""

    def is_degraded(self, now):
        return False


class UpBeforeDown(PolicyMember):
    """Goes by the new limits as soon as a change is staged."""

    def effective_limits(self, now):
        known = self.staged or self.active
        return (
            {
                folder: tuple(
                    policy.DEGRADED_FRACTION * value if self.is_degraded(now) else value for value in both
                )
                for folder, both in known.limits().items()
            }
            if self.is_serving()
            else {}
        )


class BelievesOldWords(PolicyMember):
    """Takes an older state of the log for the newest."""

    def on_grant(self, now, grant):
        self.last_grant_position = 0, 0
        return super().on_grant(now, grant)


class JointIsForgotten(PolicyMember):
    """A start drops what was under way."""

    def __init__(self, name, active, staged, validate, persist):
        super().__init__(name, active, None, validate, persist)


class WakesWithItsLease(PolicyMember):
    """Counts its lease by what it last looked at, not by its clock."""

    def effective_limits(self, now):
        return super().effective_limits(
            max(self.sent_at.values(), default=0.0) if self.lease_expiry is not None else now
        )


class OldLeasesForgotten(RolloutCoordinator):
    """Does not wait for what the planner before it answered."""

    def __init__(self, state_machine, now):
        super().__init__(state_machine, now)
        self.predecessor_leases_end = now


class OwnLeasesForgotten(RolloutCoordinator):
    """Takes who did not answer for who is away."""

    def grant_lease(self, now, ask, term, index):
        grant = super().grant_lease(now, ask, term, index)
        self.lease_expiry.pop(ask.member, None)
        self.predecessor_leases_end = 0.0
        return grant


class AnswersUnconfirmed(RolloutCoordinator):
    """Answers without asking whether it still leads."""

    def grant_leases(self, now, confirmed, term, index):
        return super().grant_leases(now, 1 << 60, term, index)


class AnswersWhileItCloses(RolloutCoordinator):
    """Gives leases to members that a change is being decided without."""

    def grant_lease(self, now, ask, term, index):
        closing, self.deciding = self.deciding, None
        grant = super().grant_lease(now, ask, term, index)
        self.deciding = closing
        return grant


class MostAreEnough(RolloutCoordinator):
    """Decides as soon as most are joint."""

    def is_joint(self, member, number):
        there = sum(super(MostAreEnough, self).is_joint(name, number) for name in self.state_machine.members)
        return there * 2 > len(self.state_machine.members)


class ANoIsAYes(RolloutCoordinator):
    def on_lease_request(self, now, ask, round_):
        if ask.rejected_version:
            ask = ask._replace(joint_version=ask.rejected_version, rejected_version=0)
        super().on_lease_request(now, ask, round_)


class WaitsForEver(RolloutCoordinator):
    def next_command(self, now):
        self.staged_since = {}
        return super().next_command(now)


class SilentIsThere(RolloutCoordinator):
    """Who was joint once is taken for being there."""

    def next_command(self, now):
        for member in self.state_machine.members:
            if self.state_machine.staged is not None and self.is_joint(
                member, self.state_machine.staged.version
            ):
                self.lease_expiry[member] = now + 1.0
        return super().next_command(now)


class HarmNotChecked(PolicyStateMachine):
    def degraded_excess(self, staged):
        return None


class OnlyTheNewestCounts(PolicyStateMachine):
    """Forgets that who is away may go by an older number than the one in force."""

    def advance_members(self, members):
        super().advance_members(members)
        self.limits_by_version = {self.active.version: self.active.folder_limits}


class WithdrawsWhatIsDecided(PolicyStateMachine):
    def order_withdraw(self, order):
        if order["number"] == self.active.version and self.past_policies:
            self.active = next(reversed(self.past_policies.values()))
            return "withdrawn"
        return super().order_withdraw(order)


class TwoAtOnce(PolicyStateMachine):
    """A change on top of one that is under way takes its place."""

    def order_propose(self, order):
        staged, self.staged = self.staged, None
        try:
            return super().order_propose(order)
        except CommandRejectedError:
            self.staged = staged
            raise


class DecidesWhatIsStaged(PolicyStateMachine):
    """Takes an old leader's word on another change for one on this."""

    def require_staged(self, order):
        if self.staged is None:
            raise CommandRejectedError("nothing is under way")
        return self.staged


DEFECTS = (
    YesBeforeItsDisk,
    LeaseFromTheAnswer,
    NeverNarrow,
    UpBeforeDown,
    BelievesOldWords,
    JointIsForgotten,
    WakesWithItsLease,
    OldLeasesForgotten,
    OwnLeasesForgotten,
    AnswersUnconfirmed,
    AnswersWhileItCloses,
    MostAreEnough,
    ANoIsAYes,
    WaitsForEver,
    SilentIsThere,
    HarmNotChecked,
    OnlyTheNewestCounts,
    WithdrawsWhatIsDecided,
    TwoAtOnce,
    DecidesWhatIsStaged,
)


def parts(defect):
    """The three parts with one of them replaced."""
    return tuple(
        defect if issubclass(defect, part) else part
        for part in (PolicyStateMachine, RolloutCoordinator, PolicyMember)
    )
