"""Membership: leases, restarts, drains, flapping, and pauses and partitions of the planner."""

import random

import pytest

from rushmux.fleet import membership
from rushmux.fleet.errors import MembershipFullError
from rushmux.fleet.membership import (
    DRAIN_SETTLE_TIME,
    LEASE_DURATION,
    MASS_FAILURE_GRACE,
    MemberKind,
    Membership,
    MemberState,
    StoredMember,
)

NODE = MemberKind.NODE


class Fleet:
    """Nodes that report once a second unless silent, and a planner that ticks once a second."""

    def __init__(self, count=6):
        self.now, self.members = 0.0, Membership(0.0)
        self.incarnations = {f"n{number}": "a" for number in range(count)}
        self.silent, self.in_flight, self.changes = set(), {}, []

    def run(self, seconds):
        for _ in range(int(seconds)):
            self.now += 1.0
            for name, incarnation in self.incarnations.items():
                if name not in self.silent:
                    in_flight = self.in_flight.get(name, 0)
                    self.changes += self.members.on_report(self.now, name, NODE, incarnation, in_flight)
            self.changes += self.members.tick(self.now)
        return self

    def states(self, name):
        """All states that a member had, in order."""
        return [change.state for change in self.changes if change.member == name]

    def published(self, name):
        return dict(self.members.endpoint_states())[name]

    def removed(self):
        return [change.member for change in self.changes if change.state == MemberState.REMOVED]


@pytest.fixture
def fleet():
    return Fleet()


def test_a_silent_member_is_suspected_then_removed_and_comes_back(fleet):
    fleet.run(10).silent.add("n1")
    fleet.run(LEASE_DURATION + 2)
    assert fleet.states("n1") == [MemberState.READY, MemberState.SUSPECTED, MemberState.REMOVED]
    assert fleet.states("n0") == [MemberState.READY]
    fleet.silent.clear()
    fleet.run(2)
    assert fleet.states("n1")[-1] == MemberState.READY
    assert all(change.reason for change in fleet.changes)


def test_suspicion_changes_nothing_for_edges(fleet):
    fleet.run(10).silent.add("n1")
    fleet.run(5)
    assert fleet.states("n1")[-1] == MemberState.SUSPECTED
    assert fleet.published("n1") == MemberState.READY


def test_a_paused_planner_removes_no_member(fleet):
    fleet.run(10)
    fleet.now += 60.0
    fleet.changes += fleet.members.tick(fleet.now)
    assert not fleet.removed()
    fleet.run(3)
    assert all(fleet.states(name) == [MemberState.READY] for name in fleet.incarnations)


def test_a_clock_that_jumps_expires_no_lease_early(fleet):
    fleet.run(10)
    fleet.now += 3_600.0
    fleet.run(10)
    assert not fleet.removed()


def test_a_partitioned_planner_keeps_all_members_for_a_grace_period(fleet):
    fleet.run(10)
    fleet.silent = set(fleet.incarnations)
    fleet.run(LEASE_DURATION + 3)
    assert not fleet.removed()
    fleet.silent.clear()
    fleet.run(5)
    assert not fleet.removed()
    assert all(fleet.states(name)[-1] == MemberState.READY for name in fleet.incarnations)


def test_a_fleet_that_is_down_is_removed_after_the_grace_period(fleet):
    fleet.run(10)
    fleet.silent = set(fleet.incarnations)
    fleet.run(LEASE_DURATION + MASS_FAILURE_GRACE + 4)
    assert all(fleet.states(name)[-1] == MemberState.REMOVED for name in fleet.incarnations)


def test_a_failed_rack_is_removed_at_once_if_other_nodes_live():
    fleet = Fleet(10).run(10)
    fleet.silent = {"n0", "n1", "n2", "n3"}
    fleet.run(LEASE_DURATION + 2)
    assert all(fleet.states(name)[-1] == MemberState.REMOVED for name in fleet.silent)
    assert fleet.states("n9") == [MemberState.READY]


def test_a_late_report_of_an_older_incarnation_is_ignored(fleet):
    fleet.run(5)
    fleet.incarnations["n1"] = "b"
    fleet.run(3)
    fleet.silent.add("n1")
    for _ in range(int(LEASE_DURATION) + 2):
        fleet.run(1)
        fleet.members.on_report(fleet.now, "n1", NODE, "a")
    assert fleet.states("n1")[-1] == MemberState.REMOVED


def test_a_flapping_member_is_suppressed_and_later_used_again(fleet):
    for number in range(5):
        fleet.run(4)
        fleet.incarnations["n1"] = f"s{number}"
    fleet.run(2)
    assert fleet.states("n1")[-1] == MemberState.SUPPRESSED
    assert fleet.published("n1") == MemberState.DRAINING
    fleet.run(30)
    assert fleet.states("n1")[-1] == MemberState.SUPPRESSED
    fleet.run(100)
    assert fleet.states("n1")[-1] == MemberState.READY


def test_one_restart_does_not_suppress_a_member(fleet):
    fleet.run(5).incarnations["n1"] = "b"
    fleet.run(5)
    assert MemberState.SUPPRESSED not in fleet.states("n1")


def test_a_draining_node_is_drained_once_idle_for_the_settle_time(fleet):
    fleet.run(5).in_flight["n1"] = 3
    fleet.run(1)
    fleet.changes += fleet.members.drain(fleet.now, "n1")
    fleet.run(10)
    assert fleet.states("n1")[-1] == MemberState.DRAINING
    fleet.in_flight["n1"] = 0
    fleet.run(DRAIN_SETTLE_TIME - 1)
    fleet.in_flight["n1"] = 1  # a late attempt restarts the settle time
    fleet.run(1)
    fleet.in_flight["n1"] = 0
    fleet.run(DRAIN_SETTLE_TIME)
    assert fleet.states("n1")[-1] == MemberState.DRAINING
    fleet.run(2)
    assert fleet.states("n1")[-1] == MemberState.DRAINED
    fleet.changes += fleet.members.undrain(fleet.now, "n1")
    assert fleet.states("n1")[-1] == MemberState.READY


def test_an_unknown_member_cannot_be_drained(fleet):
    with pytest.raises(KeyError):
        fleet.members.drain(fleet.now, "nobody")


def test_restored_members_get_a_full_lease_and_stay_draining(fleet):
    fleet.now = 100.0
    fleet.members = Membership(fleet.now)
    fleet.members.restore(
        fleet.now,
        [
            StoredMember("n0", NODE, "a", False),
            StoredMember("n1", NODE, "a", True),
            StoredMember("e0", MemberKind.EDGE, "x", False),
        ],
    )
    fleet.silent = {"n1"}
    fleet.run(4)
    assert MemberState.REMOVED not in fleet.states("n1")
    assert fleet.published("n1") == MemberState.DRAINING
    assert "e0" not in dict(fleet.members.endpoint_states())


def test_members_are_bounded(monkeypatch):
    monkeypatch.setattr(membership, "MAX_MEMBERS", 2)
    members = Membership(0.0)
    members.on_report(0.0, "a", NODE, "1")
    members.on_report(0.0, "b", NODE, "1")
    with pytest.raises(MembershipFullError):
        members.on_report(0.0, "c", NODE, "1")


@pytest.mark.parametrize("seed", range(8))
def test_a_member_that_reports_within_its_lease_is_never_removed(seed):
    rng, members, now = random.Random(seed), Membership(0.0), 0.0
    last_report = {}
    for _ in range(3_000):
        now += rng.choice((0.05, 0.2, 0.5)) if rng.random() < 0.995 else rng.uniform(1, 300)
        for number in range(8):
            name = f"m{number}"
            if rng.random() < 0.4:
                members.on_report(now, name, NODE, "a")
                last_report[name] = now
        for change in members.tick(now):
            if change.state == MemberState.REMOVED:
                assert now - last_report[change.member] >= LEASE_DURATION
