"""Shares never pass a limit, whatever happens to messages, edges and planners; and they follow what is "
"wanted.
"""

import random

import pytest

from rushmux.fleet.quotas import LEASE_DURATION, MAX_CLOCK_DRIFT, SAFE_FRACTION, EdgeQuotas, QuotaAllocator

FOLDERS = ("a", "b")


class World:
    """Edges and planners on one true time; each edge's clock runs at its own speed, messages as they like."""

    def __init__(self, seed, edges=5, loss=0.2, late=6.0):
        self.chance, self.now, self.loss, self.late = random.Random(seed), 0.0, loss, late
        self.edges = {f"e{number}": EdgeQuotas(f"e{number}", edges) for number in range(edges)}
        self.speeds = {
            name: 1 + self.chance.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2 for name in self.edges
        }
        self.still, self.way = {}, []
        self.wants = {name: {folder: self.chance.random() for folder in FOLDERS} for name in self.edges}
        self.planners = [QuotaAllocator(1, FOLDERS, edges, 0.0)]
        self.most = dict.fromkeys(FOLDERS, 0.0)

    def clock(self, name):
        return self.now * self.speeds[name]

    def send(self, call):
        for _ in range(1 + (self.chance.random() < 0.1)):
            if self.chance.random() >= self.loss:
                late = self.chance.random() < 0.15
                self.way.append((self.now + self.chance.uniform(0.0, self.late if late else 0.3), call))

    def ask(self, name):
        edge, planner = self.edges[name], self.chance.choice(self.planners)
        number, done = edge.request(self.clock(name))
        wants = dict(self.wants[name])

        def reach():
            grant = planner.on_quota_request(self.now, name, number, wants, done)
            self.send(lambda: self.reach_edge(name, grant))

        self.send(reach)

    def reach_edge(self, name, grant):
        if self.still.get(name, 0.0) <= self.now:
            self.edges[name].on_grant(self.clock(name), grant)

    def step(self, span=0.1):
        self.now += span
        due = [call for at, call in self.way if at <= self.now]
        self.way = [(at, call) for at, call in self.way if at > self.now]
        for call in due:
            call()
        for name in self.edges:
            if self.still.get(name, 0.0) <= self.now and self.chance.random() < span:
                self.ask(name)
            if self.chance.random() < span / 20:
                self.wants[name] = {folder: self.chance.random() ** 3 for folder in FOLDERS}
        for folder in FOLDERS:
            total = sum(edge.quota(self.clock(name), folder) for name, edge in self.edges.items())
            self.most[folder] = max(self.most[folder], total)


@pytest.mark.parametrize("seed", range(12))
def test_a_limit_is_never_passed_whatever_is_lost_late_or_repeated(seed):
    world = World(seed)
    for _ in range(1_500):
        world.step()
        if world.chance.random() < 0.004:
            world.still[world.chance.choice(list(world.edges))] = world.now + world.chance.uniform(
                1, 3 * LEASE_DURATION
            )
    assert max(world.most.values()) <= 1 + 1e-9
    assert max(world.most.values()) > 0.9  # and the limit is used


@pytest.mark.parametrize("seed", range(12))
def test_a_planner_that_forgot_everything(seed):
    world = World(seed)
    for step in range(2_000):
        world.step()
        if step in (500, 1_200):
            # A new one with the next term begins when the old one's leadership is over; what that had
            # granted is on its way still, and in the edges' hands.
            world.planners = [
                QuotaAllocator(world.planners[0].term + 1, FOLDERS, len(world.edges), world.now)
            ]
    assert 0.9 < max(world.most.values()) <= 1 + 1e-9


def test_two_that_grant_at_once_would_pass_the_limit():
    # What the test above rests on: without an end of the old one's leadership the rule breaks.
    broken = 0
    for seed in range(12):
        world = World(seed)
        for step in range(1_500):
            world.step()
            if step == 500:
                world.planners.append(QuotaAllocator(2, FOLDERS, len(world.edges), world.now))
        broken += max(world.most.values()) > 1 + 1e-6
    assert broken


def test_what_was_lowered_is_free_only_when_the_edge_says_so():
    shares, one, two = QuotaAllocator(1, ["a"], 2, -100.0), EdgeQuotas("one", 2), EdgeQuotas("two", 2)

    def turn(now, edge, want):
        ask, done = edge.request(now)
        return shares.on_quota_request(now, edge.edge, ask, {"a": want}, done)

    for now in range(6):
        one.on_grant(now, turn(now, one, 1.0))
    assert one.quota(5, "a") > 0.8
    two.on_grant(6, turn(6, two, 1.0))
    lost = turn(6, one, 0.0)  # lowered, and the word is lost
    for now in range(7, 10):
        two.on_grant(now, turn(now, two, 1.0))
    assert one.quota(9, "a") + two.quota(9, "a") <= 1 + 1e-9 and two.quota(9, "a") < 0.3
    assert lost.quotas["a"] < one.quota(9, "a")
    for now in (10, 11, 12, 13, 14, 15):
        one.on_grant(now, turn(now, one, 0.0))
        two.on_grant(now, turn(now, two, 1.0))
    assert two.quota(15, "a") > 0.6 and one.quota(15, "a") + two.quota(15, "a") <= 1 + 1e-9


def test_an_edge_that_stood_still_wakes_at_its_safe_part():
    shares, edge = QuotaAllocator(1, ["a"], 4, -100.0), EdgeQuotas("e", 4)
    for now in range(5):
        ask, done = edge.request(now)
        edge.on_grant(now, shares.on_quota_request(now, "e", ask, {"a": 1.0}, done))
    assert edge.quota(5, "a") > SAFE_FRACTION / 4
    assert edge.quota(4 + LEASE_DURATION, "a") == SAFE_FRACTION / 4


def test_a_grant_of_an_older_term_or_of_no_ask_is_not_believed():
    old, new, edge = (
        QuotaAllocator(1, ["a"], 2, -100.0),
        QuotaAllocator(2, ["a"], 2, -100.0),
        EdgeQuotas("e", 2),
    )
    ask, done = edge.request(0)
    late = old.on_quota_request(0, "e", ask, {"a": 1.0}, done)
    assert edge.on_grant(1, new.on_quota_request(1, "e", ask, {"a": 1.0}, done))
    assert not edge.on_grant(2, late) and not edge.on_grant(
        2, late._replace(term=3, sequence=1, request_id=99)
    )
    assert not edge.on_grant(0 + LEASE_DURATION, late._replace(term=9, sequence=9))


def test_more_edges_than_there_may_be_get_nothing_above_nothing():
    shares = QuotaAllocator(1, ["a"], 2, -100.0)
    for name in ("one", "two"):
        shares.on_quota_request(0, name, 1, {"a": 1.0})
    assert shares.on_quota_request(0, "three", 1, {"a": 1.0}).quotas == {}
    assert shares.max_reserved("a") <= 1


def test_shares_follow_what_is_wanted_and_small_wishes_change_nothing():
    shares, edges = QuotaAllocator(1, ["a"], 3, -100.0), [EdgeQuotas(f"e{n}", 3) for n in range(3)]

    def turns(wants, since, count):
        for now in range(since, since + count):
            for edge, want in zip(edges, wants):
                ask, done = edge.request(now)
                edge.on_grant(now, shares.on_quota_request(now, edge.edge, ask, {"a": want}, done))
        return [edge.quota(since + count, "a") for edge in edges]

    first = turns((0.9, 0.1, 0.1), 0, 20)
    assert first[0] > 2.5 * first[1] and sum(first) > 0.95
    assert turns((0.92, 0.1, 0.1), 20, 5) == pytest.approx(first, rel=0.11)
    last = turns((0.0, 0.1, 0.9), 30, 30)
    assert last[2] > 2.5 * last[1] and sum(last) <= 1 + 1e-9
