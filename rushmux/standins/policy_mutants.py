"""Seeded defects of the fleet's policy: each is a part that is wrong in one thing.  The judge of `policies`
has to find every one of them; tests and the measurement say within how many seeds.
"""

from rushmux.fleet import policy
from rushmux.fleet.policy import Conduct, Holder, Register


class YesBeforeItsDisk(Holder):
    """Says that it is joint and has not kept it."""

    def __init__(self, *values):
        super().__init__(*values)
        whole = self.keep
        self.keep = lambda force, staged: whole(force, None)


class LeaseFromTheAnswer(Holder):
    """Counts its lease from when the answer came."""

    def granted(self, now, grant):
        if grant.ask in self.asks:
            self.asks[grant.ask] = now
        return super().granted(now, grant)


class NeverNarrow(Holder):
    """Goes on as before when it hears of no planner."""

    def narrow(self, now):
        return False


class UpBeforeDown(Holder):
    """Goes by the new limits as soon as a change is staged."""

    def limits(self, now):
        known = self.staged or self.force
        return (
            {
                folder: tuple(policy.NARROW * value if self.narrow(now) else value for value in both)
                for folder, both in known.limits().items()
            }
            if self.serves()
            else {}
        )


class BelievesOldWords(Holder):
    """Takes an older state of the log for the newest."""

    def granted(self, now, grant):
        self.seen = 0, 0
        return super().granted(now, grant)


class JointIsForgotten(Holder):
    """A start drops what was under way."""

    def __init__(self, member, force, staged, prove, keep):
        super().__init__(member, force, None, prove, keep)


class WakesWithItsLease(Holder):
    """Counts its lease by what it last looked at, not by its clock."""

    def limits(self, now):
        return super().limits(max(self.asks.values(), default=0.0) if self.until is not None else now)


class OldLeasesForgotten(Conduct):
    """Does not wait for what the planner before it answered."""

    def __init__(self, register, now):
        super().__init__(register, now)
        self.open_at = now


class OwnLeasesForgotten(Conduct):
    """Takes who did not answer for who is away."""

    def answer(self, now, ask, term, index):
        grant = super().answer(now, ask, term, index)
        self.until.pop(ask.member, None)
        self.open_at = 0.0
        return grant


class AnswersUnconfirmed(Conduct):
    """Answers without asking whether it still leads."""

    def answers(self, now, confirmed, term, index):
        return super().answers(now, 1 << 60, term, index)


class AnswersWhileItCloses(Conduct):
    """Gives leases to members that a change is being decided without."""

    def answer(self, now, ask, term, index):
        closing, self.closing = self.closing, None
        grant = super().answer(now, ask, term, index)
        self.closing = closing
        return grant


class MostAreEnough(Conduct):
    """Decides as soon as most are joint."""

    def joint(self, member, number):
        there = sum(super(MostAreEnough, self).joint(name, number) for name in self.register.members)
        return there * 2 > len(self.register.members)


class ANoIsAYes(Conduct):
    def asked(self, now, ask, round_):
        if ask.refused:
            ask = ask._replace(joint=ask.refused, refused=0)
        super().asked(now, ask, round_)


class WaitsForEver(Conduct):
    def look(self, now):
        self.began = {}
        return super().look(now)


class SilentIsThere(Conduct):
    """Who was joint once is taken for being there."""

    def look(self, now):
        for member in self.register.members:
            if self.register.staged is not None and self.joint(member, self.register.staged.number):
                self.until[member] = now + 1.0
        return super().look(now)


class HarmNotChecked(Register):
    def unharmed(self, staged):
        return None


class OnlyTheNewestCounts(Register):
    """Forgets that who is away may go by an older number than the one in force."""

    def raised(self, members):
        super().raised(members)
        self.rows = {self.force.number: self.force.rows}


class WithdrawsWhatIsDecided(Register):
    def order_withdraw(self, order):
        if order["number"] == self.force.number and self.texts:
            self.force = next(reversed(self.texts.values()))
            return "withdrawn"
        return super().order_withdraw(order)


class TwoAtOnce(Register):
    """A change on top of one that is under way takes its place."""

    def order_propose(self, order):
        staged, self.staged = self.staged, None
        try:
            return super().order_propose(order)
        except policy.Refused:
            self.staged = staged
            raise


class DecidesWhatIsStaged(Register):
    """Takes an old leader's word on another change for one on this."""

    def under_way(self, order):
        if self.staged is None:
            raise policy.Refused("nothing is under way")
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
    return tuple(defect if issubclass(defect, part) else part for part in (Register, Conduct, Holder))
