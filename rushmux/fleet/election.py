"""Which of several planners leads: votes that are leases, of a majority.  No I/O, no clock of its own.

A planner asks the others for their votes for a term; a vote holds for a lease from when it was asked for, and
within it the voter gives no other its vote.  Who holds votes of a majority leads until the first of just so
many ends.  So at most one leads at any time, though messages are lost, late, repeated and out of order, and
clocks differ by anything but their speed (DRIFT).  A voter that starts has forgotten whom it voted for
and gives none for a lease; a term is never used twice, since each planner has terms of its own.

Drains that people ordered are what cannot be heard again from nodes: they go along with each ask, and a
candidate leads with the newest that its voters know.
"""
from typing import NamedTuple, Optional

LEASE = 3.0              # seconds for which a vote holds
DRIFT = 0.01             # part by which two clocks may run apart
EVERY = 0.5              # seconds between two asks of a leader: five of a lease may be lost
WAIT = (0.6, 2.0)        # seconds that a planner waits, drawn, once nobody leads: two seldom ask together
MOST = 9                 # planners: more make nothing safer


class Ask(NamedTuple):
    """A planner asks for a vote; `number` rises with each ask of it."""
    planner: int
    term: int
    number: int
    orders: tuple[int, tuple[str, ...]]   # version of the orders and the members they drain


class Vote(NamedTuple):
    """A voter's answer: whether it gives its vote, the highest term it knows, and the orders it knows."""
    voter: int
    planner: int
    term: int
    number: int
    given: bool
    known: int
    orders: tuple[int, tuple[str, ...]]


class Elector:
    """One planner's side, as voter and as candidate.  `chance` is a random generator."""

    def __init__(self, number: int, planners: int, now: float, chance):
        if not 0 <= number < planners <= MOST:
            raise ValueError(f"planner {number} of {planners}, at most {MOST}")
        self.number, self.planners, self.chance = number, planners, chance
        self.term = self.known = 0               # the term it asks for; the highest it heard of
        # Forgotten: as if given to somebody.
        self.voted, self.voted_term, self.voted_until = None, 0, now + LEASE * (1 + DRIFT)
        self.count, self.asked, self.votes, self.led = 0, {}, {}, False
        self.heard_until, self.ask_at = now + LEASE, now + LEASE + chance.uniform(*WAIT)
        self.orders = (0, ())

    # As a candidate.

    def next_term(self):
        """A term above all that were heard of, and this planner's own."""
        return self.known - self.known % self.planners + self.planners + self.number

    def look(self, now) -> Optional[Ask]:
        """To be called every tenth of a second or so: an ask that is to go to all others, or None."""
        if now < self.ask_at:
            return None
        if not self.leads(now):
            if now < self.heard_until:           # another leads, as far as this one hears
                self.ask_at = self.heard_until + self.chance.uniform(*WAIT)
                return None
            if self.voted is not None and now < self.voted_until and self.voted != self.number:
                self.ask_at = self.voted_until + self.chance.uniform(*WAIT)
                return None
            self.term = self.next_term()
            self.known, self.votes, self.led = self.term, {}, False
        self.count += 1
        self.asked = {number: at for number, at in self.asked.items() if at > now - LEASE}
        self.asked[self.count] = now
        # Its own vote: given like any other, and only if it is free.  Danger: one that asks and asks without
        # winning would keep its vote from all others; only a leader renews it before its end.
        if now >= self.voted_until or self.voted == self.number and self.leads(now):
            self.voted, self.voted_term, self.voted_until = self.number, self.term, now + LEASE
        if self.voted == self.number:
            self.voted_term = self.term
            self.votes[self.number] = self.voted_until
        self.ask_at = now + (EVERY if self.leads(now) else self.chance.uniform(*WAIT))
        return Ask(self.number, self.term, self.count, self.orders)

    def told(self, now, vote: Vote) -> bool:
        """A vote came; whether this planner leads after it."""
        self.known = max(self.known, vote.known)
        self.orders = max(self.orders, vote.orders)
        asked_at = self.asked.get(vote.number)
        # Danger: late votes must not bring back a term that has ended, since another may have led meanwhile.
        ended = self.led and not self.leads(now)
        if (vote.planner == self.number and vote.term == self.term and vote.given and asked_at is not None
                and not ended):
            # Danger: the voter counts from when the ask came, which is later: from the ask it is safe.
            self.votes[vote.voter] = max(self.votes.get(vote.voter, 0.0), asked_at + LEASE)
        if self.leads(now):
            self.led = True
            self.ask_at = min(self.ask_at, now + EVERY)
        return self.leads(now)

    def until(self) -> float:
        """When this planner's leadership ends: the end of the last vote that makes a majority."""
        ends = sorted(self.votes.values(), reverse=True)
        need = self.planners // 2 + 1
        return ends[need - 1] if len(ends) >= need else 0.0

    def leads(self, now) -> bool:
        return now < self.until()

    # As a voter.

    def vote_free(self, now, planner):
        """Whether its vote is nobody's, or this planner's already."""
        return now >= self.voted_until or self.voted == planner

    def asks(self, now, ask: Ask) -> Vote:
        """Another planner asks; the answer."""
        # One that leads is followed, whatever higher terms others ask for in vain.
        follows = self.voted == ask.planner and self.voted_term == ask.term and now < self.voted_until
        given = follows or self.vote_free(now, ask.planner) and ask.term >= self.known
        self.known = max(self.known, ask.term)
        self.orders = max(self.orders, ask.orders)
        if given:
            self.voted, self.voted_term = ask.planner, ask.term
            self.voted_until = now + LEASE * (1 + DRIFT)
            self.heard_until = now + LEASE
        return Vote(self.number, ask.planner, ask.term, ask.number, given, self.known, self.orders)

    def order(self, drained) -> tuple[int, tuple[str, ...]]:
        """New orders of people; they are kept once a majority's votes carry their version."""
        self.orders = self.orders[0] + 1, tuple(sorted(drained))
        return self.orders
