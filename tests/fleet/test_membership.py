"""Who lives: leases, starts, drains, flapping, and a planner that was away itself."""

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


class Fleet:
    """Members that report each second unless told not to, and a planner that looks each second."""

    def __init__(self, count=6):
        self.now, self.members = 0.0, Membership(0.0)
        self.starts = {f"n{number}": "a" for number in range(count)}
        self.silent, self.out, self.changes = set(), {}, []

    def run(self, seconds, looks=True):
        for _ in range(int(seconds)):
            self.now += 1.0
            for name, start in self.starts.items():
                if name not in self.silent:
                    self.changes += self.members.on_report(
                        self.now, name, MemberKind.NODE, start, self.out.get(name, 0)
                    )
            if looks:
                self.changes += self.members.tick(self.now)
        return self

    def of(self, name):
        return [change.state for change in self.changes if change.member == name]


@pytest.fixture
def fleet():
    return Fleet()


def test_a_silent_member_is_suspected_and_then_gone_and_comes_back(fleet):
    fleet.run(10).silent.add("n1")
    fleet.run(LEASE_DURATION + 2)
    assert fleet.of("n1") == [MemberState.READY, MemberState.SUSPECTED, MemberState.REMOVED] and fleet.of(
        "n0"
    ) == [MemberState.READY]
    fleet.silent.clear()
    fleet.run(2)
    assert fleet.of("n1")[-1] == MemberState.READY
    assert all(change.reason for change in fleet.changes)


def test_suspicion_changes_nothing_for_edges(fleet):
    fleet.run(10).silent.add("n1")
    fleet.run(5)
    assert (
        fleet.of("n1")[-1] == MemberState.SUSPECTED
        and dict(fleet.members.endpoint_states())["n1"] == MemberState.READY
    )


def test_a_planner_that_stood_still_declares_nobody_gone(fleet):
    fleet.run(10)
    fleet.now += 60.0
    fleet.changes += fleet.members.tick(fleet.now)
    assert not [change for change in fleet.changes if change.state == MemberState.REMOVED]
    fleet.run(3)
    assert all(fleet.of(name) == [MemberState.READY] for name in fleet.starts)


def test_a_clock_that_jumps_ends_no_lease_early(fleet):
    fleet.run(10)
    fleet.now += 3_600.0
    fleet.run(10)
    assert not [change for change in fleet.changes if change.state == MemberState.REMOVED]


def test_a_planner_that_is_cut_off_keeps_the_fleet_for_a_while(fleet):
    fleet.run(10)
    fleet.silent = set(fleet.starts)
    fleet.run(LEASE_DURATION + 3)
    assert not [change for change in fleet.changes if change.state == MemberState.REMOVED]
    fleet.silent.clear()
    fleet.run(5)
    assert all(
        fleet.of(name)[-1] == MemberState.READY and MemberState.REMOVED not in fleet.of(name)
        for name in fleet.starts
    )


def test_a_fleet_that_is_truly_dead_is_told_in_the_end(fleet):
    fleet.run(10)
    fleet.silent = set(fleet.starts)
    fleet.run(LEASE_DURATION + MASS_FAILURE_GRACE + 4)
    assert all(fleet.of(name)[-1] == MemberState.REMOVED for name in fleet.starts)


def test_a_rack_that_dies_is_told_at_once_where_others_live():
    fleet = Fleet(10).run(10)
    fleet.silent = {"n0", "n1", "n2", "n3"}
    fleet.run(LEASE_DURATION + 2)
    assert all(fleet.of(name)[-1] == MemberState.REMOVED for name in fleet.silent) and fleet.of("n9") == [
        MemberState.READY
    ]


def test_a_late_word_of_an_older_start_is_not_believed(fleet):
    fleet.run(5)
    fleet.starts["n1"] = "b"
    fleet.run(3)
    fleet.silent.add("n1")
    for _ in range(int(LEASE_DURATION) + 2):
        fleet.run(1)
        fleet.members.on_report(fleet.now, "n1", MemberKind.NODE, "a")
    assert fleet.of("n1")[-1] == MemberState.REMOVED


def test_a_member_that_flaps_is_held_back_and_used_again_later(fleet):
    for number in range(5):
        fleet.run(4)
        fleet.starts["n1"] = f"s{number}"
    fleet.run(2)
    assert (
        fleet.of("n1")[-1] == MemberState.SUPPRESSED
        and dict(fleet.members.endpoint_states())["n1"] == MemberState.DRAINING
    )
    fleet.run(30)
    assert fleet.of("n1")[-1] == MemberState.SUPPRESSED
    fleet.run(100)
    assert fleet.of("n1")[-1] == MemberState.READY


def test_one_restart_holds_nobody_back(fleet):
    fleet.run(5).starts["n1"] = "b"
    fleet.run(5)
    assert MemberState.SUPPRESSED not in fleet.of("n1")


def test_a_drained_node_may_be_stopped_when_nothing_was_out_for_a_while(fleet):
    fleet.run(5).out["n1"] = 3
    fleet.run(1)
    fleet.changes += fleet.members.drain(fleet.now, "n1")
    fleet.run(10)
    assert fleet.of("n1")[-1] == MemberState.DRAINING
    fleet.out["n1"] = 0
    fleet.run(DRAIN_SETTLE_TIME - 1)
    fleet.out["n1"] = 1  # a late one: it begins anew
    fleet.run(1)
    fleet.out["n1"] = 0
    fleet.run(DRAIN_SETTLE_TIME)
    assert fleet.of("n1")[-1] == MemberState.DRAINING
    fleet.run(2)
    assert fleet.of("n1")[-1] == MemberState.DRAINED
    fleet.changes += fleet.members.undrain(fleet.now, "n1")
    assert fleet.of("n1")[-1] == MemberState.READY
    with pytest.raises(KeyError):
        fleet.members.drain(fleet.now, "nobody")


def test_members_from_a_store_get_a_whole_lease_and_stay_draining(fleet):
    fleet.members = Membership(100.0)
    fleet.now = 100.0
    fleet.members.restore(
        100.0,
        [
            StoredMember("n0", MemberKind.NODE, "a", False),
            StoredMember("n1", MemberKind.NODE, "a", True),
            StoredMember("e0", MemberKind.EDGE, "x", False),
        ],
    )
    fleet.silent = {"n1"}
    fleet.run(4)
    assert (
        MemberState.REMOVED not in fleet.of("n1")
        and dict(fleet.members.endpoint_states())["n1"] == MemberState.DRAINING
    )
    assert "e0" not in dict(fleet.members.endpoint_states())


def test_members_are_bounded(monkeypatch):
    monkeypatch.setattr(membership, "MAX_MEMBERS", 2)
    members = Membership(0.0)
    members.on_report(0.0, "a", MemberKind.NODE, "1")
    members.on_report(0.0, "b", MemberKind.NODE, "1")
    with pytest.raises(MembershipFullError):
        members.on_report(0.0, "c", MemberKind.NODE, "1")


@pytest.mark.parametrize("seed", range(8))
def test_nobody_who_reports_within_its_lease_is_ever_told_gone(seed):
    chance, members, now = random.Random(seed), Membership(0.0), 0.0
    last = {}
    for _ in range(3_000):
        now += chance.choice((0.05, 0.2, 0.5)) if chance.random() < 0.995 else chance.uniform(1, 300)
        for number in range(8):
            name = f"m{number}"
            if chance.random() < 0.4:
                members.on_report(now, name, MemberKind.NODE, "a")
                last[name] = now
        for change in members.tick(now):
            if change.state == MemberState.REMOVED:
                assert now - last[change.member] >= LEASE_DURATION
