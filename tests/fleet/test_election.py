"""At most one planner leads at any time; one does soon after the last is gone; orders outlive a leader."""
import random

import pytest

from rushmux.fleet.election import DRIFT, EVERY, LEASE, MOST, Ask, Elector, Vote

STEP = 0.05


class World:
    """Planners with clocks of their own; messages lost, late, repeated; planners that stop and start."""

    def __init__(self, seed, planners=3, loss=0.1):
        self.chance, self.now, self.loss, self.count = random.Random(seed), 0.0, loss, planners
        self.speeds = [1 + self.chance.uniform(-DRIFT, DRIFT) / 2 for _ in range(planners)]
        self.shifts = [self.chance.uniform(0, 1_000) for _ in range(planners)]
        self.down, self.still, self.cut, self.way = set(), {}, set(), []
        self.electors = [self.start(number) for number in range(planners)]
        self.history = []

    def clock(self, number):
        return self.shifts[number] + self.now * self.speeds[number]

    def start(self, number):
        return Elector(number, self.count, self.clock(number), random.Random(self.chance.random()))

    def awake(self, number):
        return number not in self.down and self.still.get(number, 0.0) <= self.now

    def send(self, source, target, call):
        if (source in self.cut) != (target in self.cut):
            return
        for _ in range(1 + (self.chance.random() < 0.1)):
            if self.chance.random() >= self.loss:
                longest = 5.0 if self.chance.random() < 0.1 else 0.1
                late = self.chance.uniform(0.0, longest)
                self.way.append((self.now + late, target, self.electors[target], call))

    def step(self):
        self.now += STEP
        due = [row for row in self.way if row[0] <= self.now]
        self.way = [row for row in self.way if row[0] > self.now]
        for _, target, elector, call in due:
            if self.awake(target) and self.electors[target] is elector:
                call(elector)
        for number, elector in enumerate(self.electors):
            if not self.awake(number):
                continue
            ask = elector.look(self.clock(number))
            for other in range(self.count) if ask else ():
                if other != number:
                    self.send(number, other, lambda voter, n=number, o=other, ask=ask: self.vote(n, o, voter,
                                                                                                 ask))
        # Danger: one that stands still believes at once when it wakes; its clock says whether it leads.
        leaders = [number for number, elector in enumerate(self.electors)
                   if number not in self.down and elector.leads(self.clock(number))]
        assert len(leaders) <= 1, (self.now, leaders)
        self.history.append(leaders[0] if leaders else None)
        return leaders

    def vote(self, candidate, voter, elector, ask):
        vote = elector.asks(self.clock(voter), ask)
        self.send(voter, candidate, lambda one: one.told(self.clock(candidate), vote))


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("planners", [3, 5])
def test_never_two_lead_whatever_happens(seed, planners):
    world = World(seed, planners)
    for _ in range(4_000):
        world.step()
        draw = world.chance.random()
        if draw < 0.004:
            world.down ^= {world.chance.randrange(planners)}
            for number in list(world.down):
                if world.chance.random() < 0.5:
                    world.down.discard(number)
                    world.electors[number] = world.start(number)   # it starts and has forgotten everything
        elif draw < 0.008:
            world.still[world.chance.randrange(planners)] = world.now + world.chance.uniform(0.5, 3 * LEASE)
        elif draw < 0.011:
            world.cut = set(world.chance.sample(range(planners), world.chance.randrange(planners)))
    led = sum(leader is not None for leader in world.history)
    assert led > 0.15 * len(world.history)


def until_led(world, seconds):
    for step in range(int(seconds / STEP)):
        leaders = world.step()
        if leaders:
            return leaders[0], step * STEP
    raise AssertionError("nobody leads")


@pytest.mark.parametrize("seed", range(10))
def test_the_next_leads_soon_after_the_last_is_gone(seed):
    world = World(seed, 3, loss=0.0)
    first, _ = until_led(world, 20)
    for _ in range(200):
        world.step()
    assert world.history[-1] == first              # nobody takes over from one that lives
    world.down.add(first)
    second, took = until_led(world, 20)
    assert second != first and took < 3 * LEASE
    assert world.electors[second].term > world.electors[first].term


def test_one_cut_off_stops_leading_before_the_others_begin():
    world = World(4, 5, loss=0.0)
    first, _ = until_led(world, 20)
    world.cut = {first}
    for _ in range(int(4 * LEASE / STEP)):
        world.step()
    assert world.history[-1] not in (None, first)
    world.cut = set()
    for _ in range(100):
        world.step()


def test_without_a_majority_nobody_leads():
    world = World(5, 3, loss=0.0)
    until_led(world, 20)
    world.down |= {0, 1}
    for _ in range(int(3 * LEASE / STEP)):
        world.step()
    assert world.history[-1] is None


def test_orders_are_known_to_the_next_leader():
    world = World(6, 3, loss=0.0)
    first, _ = until_led(world, 20)
    world.electors[first].order(["n3"])
    for _ in range(int(3 * EVERY / STEP)):
        world.step()
    world.down.add(first)
    second, _ = until_led(world, 20)
    assert world.electors[second].orders == (1, ("n3",))


def test_a_vote_is_given_once_and_not_by_one_that_has_just_started():
    voter = Elector(0, 3, 0.0, random.Random(1))
    ask = Ask(1, 4, 1, (0, ()))
    assert not voter.asks(1.0, ask).given
    now = LEASE * (1 + DRIFT)
    assert voter.asks(now, ask).given and voter.asks(now + 1, ask).given
    assert not voter.asks(now + 1.5, Ask(2, 8, 1, (0, ()))).given
    assert not voter.asks(now + 9, Ask(1, 4, 2, (0, ()))).given       # an older term than one heard of


def test_terms_are_never_used_twice():
    electors = [Elector(number, 3, 0.0, random.Random(number)) for number in range(3)]
    for known in range(20):
        for elector in electors:
            elector.known = known
        terms = [elector.next_term() for elector in electors]
        assert len(set(terms)) == 3 and min(terms) > known
    with pytest.raises(ValueError):
        Elector(3, 3, 0.0, random.Random(1))
    with pytest.raises(ValueError):
        Elector(0, MOST + 1, 0.0, random.Random(1))


def elected(now=100.0):
    """A candidate of three that leads since `now`, and its first ask."""
    one = Elector(0, 3, now - 10, random.Random(1))
    one.ask_at = now
    ask = one.look(now)
    assert one.told(now + 0.1, Vote(1, 0, ask.term, ask.number, True, ask.term, (0, ())))
    return one, ask


def test_a_vote_counts_from_when_it_was_asked_for():
    one, _ = elected()
    assert one.until() == 100.0 + LEASE
    second = one.look(100.6)
    for voter in (1, 2):
        one.told(102.9, Vote(voter, 0, second.term, second.number, True, second.term, (0, ())))
    assert one.until() <= 100.6 + LEASE


def test_a_late_vote_does_not_bring_back_a_term_that_ended():
    one, first = elected()
    renewal = one.look(100.6)
    assert renewal.term == first.term and not one.leads(103.2)
    assert not one.told(103.3, Vote(2, 0, renewal.term, renewal.number, True, renewal.term, (0, ())))
    assert not one.leads(103.3)
    one.ask_at = 103.4
    assert one.look(103.4).term > first.term
