"""Policy rollout: changes take effect everywhere or nowhere, despite message loss, crashes and partitions."""

import json

import pytest

from rushmux.fleet.errors import NotStagedError
from rushmux.fleet.policy import (
    DEGRADED_FRACTION,
    LEASE_DURATION,
    MAX_CLOCK_DRIFT,
    MAX_VERSIONS_IN_USE,
    STAGE_TIMEOUT,
    LeaseGrant,
    LeaseRequest,
    Policy,
    PolicyMember,
    PolicyStateMachine,
    RolloutCoordinator,
    policy_from_json,
    policy_to_json,
)
from rushmux.standins import policy_mutants, policy_simulation
from rushmux.standins.policy_parts import REAL_PARTS
from rushmux.standins.raft_simulation_checker import InvariantViolationError

SEEDS = 60
MEMBERS = ["edge0", "edge1", "edge2"]
PRESENT = MEMBERS[:2]
ABSENT = MEMBERS[2]


def test_random_faults_exceed_no_limit_and_all_apply_one_version_when_they_end():
    ended = {"decide": 0, "end": 0, "withdraw": 0}
    for seed in range(SEEDS):
        for kind in policy_simulation.run_seed(seed).checker.outcomes.values():
            ended[kind] += 1
    assert ended["decide"] > 3 * SEEDS and ended["end"] > SEEDS / 3 and ended["withdraw"] > SEEDS / 10


# See `benchmarks/policy.py` for the number of seeds that find each mutant.
@pytest.mark.parametrize(
    "mutant",
    [
        policy_mutants.JointBeforePersisted,
        policy_mutants.NeverDegraded,
        policy_mutants.RaisesBeforeDecided,
        policy_mutants.IgnoresPredecessorLeases,
        policy_mutants.ForgetsOwnLeases,
        policy_mutants.ForgetsStagedAtStart,
    ],
    ids=lambda mutant: mutant.__name__,
)
def test_a_mutant_is_found_within_the_seeds(mutant):
    def is_found(seed):
        try:
            policy_simulation.run_seed(seed, parts=REAL_PARTS.with_mutant(mutant))
        except InvariantViolationError:
            return True
        return False

    assert any(is_found(seed) for seed in range(SEEDS))


# PolicyStateMachine.


def command(kind, limit=None, **fields):
    """Returns a command in its stored form, with a policy of this limit if given."""
    document = {}
    if limit is not None:
        document = {"rows": [["a", limit, 2 * limit]], "text": f"limit {limit}"}
    return {"kind": kind, "by": "anna", **document, **fields}


def bootstrapped(limit=100.0):
    machine = PolicyStateMachine()
    machine.apply(command("found", limit, members=MEMBERS))
    return machine


@pytest.fixture
def machine():
    """Three members under version 1 with a limit of 100."""
    return bootstrapped()


def test_concurrent_changes_have_one_outcome_each(machine):
    assert machine.apply(command("propose", 50.0, base=1)) == "2 is staged"
    assert "2 by anna is under way" in machine.apply(command("propose", 60.0))
    assert machine.apply(command("withdraw", number=2)).startswith("2 is withdrawn")
    assert "withdrawn already" in machine.apply(command("withdraw", number=2))
    assert machine.apply(command("decide", number=2, joint=MEMBERS, why="")).startswith("refused")
    assert machine.apply(command("propose", 60.0)) == "3 is staged"
    assert machine.apply(command("decide", number=3, joint=MEMBERS, why="")) == "3 is decided"
    assert "propose a revert" in machine.apply(command("withdraw", number=3))
    assert "1 is in force" not in machine.apply(command("propose", 70.0, base=1))
    assert machine.apply(command("revert", number=1)) == "4 is staged"
    assert machine.staged.text == "limit 100.0"
    assert [change[:2] for change in machine.history] == [(1, "decided"), (2, "withdrawn"), (3, "decided")]


def test_an_unknown_command_changes_nothing_and_a_snapshot_holds_the_whole_state(machine):
    assert machine.apply({"kind": "of_a_newer_planner"}).startswith("refused")
    machine.apply(command("propose", 50.0))
    restored = PolicyStateMachine.from_snapshot(machine.to_snapshot())
    assert restored.__dict__ == machine.__dict__


def test_a_snapshot_with_a_wrong_checksum_is_an_error(machine):
    raw = json.loads(machine.to_snapshot())
    raw["force"][1] = "another text"
    with pytest.raises(ValueError, match="checksum"):
        PolicyStateMachine.from_snapshot(json.dumps(raw).encode())
    assert policy_from_json(policy_to_json(machine.active)) == machine.active
    assert policy_from_json(None) is None


def test_all_versions_that_an_absent_member_may_apply_count_and_their_number_is_bounded(machine):
    machine.apply(command("propose", 30.0))
    machine.apply(command("decide", number=2, joint=PRESENT, why=""))
    assert machine.fencing_floor == 1
    machine.apply(command("propose", 10.0))
    assert "goes by 1" in machine.degraded_excess(machine.staged)
    machine.apply(command("back", number=2, members=[ABSENT]))
    assert machine.fencing_floor == 2 and machine.degraded_excess(machine.staged) is None
    machine.apply(command("decide", number=3, joint=[], why=""))
    while not (answer := machine.apply(command("propose", 10.0))).startswith("refused"):
        machine.apply(command("decide", number=machine.last_version, joint=[], why=""))
    assert "edge0 may still go by 2" in answer and len(machine.limits_by_version) == MAX_VERSIONS_IN_USE
    assert machine.apply(command("propose", 10.0, text="x" * (1 << 17))).startswith("refused")


def test_a_command_on_a_version_that_is_not_staged_is_rejected(machine):
    with pytest.raises(NotStagedError, match="not under way"):
        machine.require_staged(4)


# PolicyMember.


def new_member(disk=(None, None), validate=lambda policy: None):
    """Returns a member and the list of its persisted policies."""
    persisted = []
    member = PolicyMember("edge0", *disk, validate, lambda *policies: persisted.append(policies))
    return member, persisted


def grant(member, now, machine, index):
    """Returns the grant for a request made now."""
    request = member.lease_request(now)
    return LeaseGrant(member.name, request.request_id, 1, index, machine.active, machine.staged)


def policy_of(version, limit):
    return Policy(version, "x", (("a", limit, limit),))


def test_a_member_persists_both_policies_before_it_is_joint_and_applies_the_lower_limits(machine):
    member, persisted = new_member()
    assert not member.is_serving() and member.effective_limits(0.0) == {}
    assert member.on_grant(0.1, grant(member, 0.0, machine, 1))
    assert member.effective_limits(0.1) == {"a": (100.0, 200.0)}
    machine.apply(command("propose", 40.0))
    assert member.on_grant(0.6, grant(member, 0.5, machine, 2)) and persisted[-1][1].version == 2
    assert member.lease_request(0.7).joint_version == 2 and member.active_version == 1
    assert member.effective_limits(0.7)["a"] == (40.0, 80.0)
    restarted, _ = new_member(disk=persisted[-1])  # after a crash, without a planner to ask
    assert restarted.is_degraded(0.0)
    assert restarted.effective_limits(0.0)["a"] == (40.0 * DEGRADED_FRACTION, 80.0 * DEGRADED_FRACTION)
    machine.apply(command("end", number=2, why="no"))
    assert member.on_grant(1.1, grant(member, 1.0, machine, 3))
    assert member.effective_limits(1.1)["a"] == (100.0, 200.0)


def test_a_lease_runs_from_the_request_and_late_or_older_grants_are_ignored(machine):
    member, _ = new_member()
    late = grant(member, 0.0, machine, 5)
    assert not member.on_grant(LEASE_DURATION, late)
    assert member.on_grant(11.0, grant(member, 10.5, machine, 5))
    expiry = 10.5 + LEASE_DURATION
    assert not member.is_degraded(expiry - 0.01)
    assert member.is_degraded(expiry)
    assert member.effective_limits(expiry)["a"][0] == 100.0 * DEGRADED_FRACTION
    assert not member.on_grant(11.1, grant(member, 11.0, machine, 4)._replace(term=0))
    assert not member.on_grant(11.2, grant(member, 11.1, machine, 6)._replace(member="edge1"))


def test_a_failing_disk_and_an_invalid_policy_are_rejections_with_a_reason(machine):
    disk_is_full = []

    def persist(*_policies):
        if disk_is_full:
            raise OSError("no room")

    def validate(policy):
        return "a lane is unknown" if "30" in policy.text else None

    member = PolicyMember("edge0", None, None, validate, persist)
    member.on_grant(0.1, grant(member, 0.0, machine, 1))
    disk_is_full.append(True)
    machine.apply(command("propose", 50.0))
    assert not member.on_grant(0.6, grant(member, 0.5, machine, 2))
    assert member.lease_request(0.7)[4:] == (2, "its disk: no room")
    machine.apply(command("end", number=2, why=""))
    disk_is_full.clear()
    machine.apply(command("propose", 30.0))
    assert member.on_grant(1.1, grant(member, 1.0, machine, 4))
    assert member.lease_request(1.2)[3:] == (0, 3, "a lane is unknown")
    machine.apply(command("decide", number=3, joint=[], why=""))  # the member's lease had expired
    assert not member.on_grant(1.6, grant(member, 1.5, machine, 5)) and not member.is_serving()


def test_nodes_compare_their_floor_with_the_newest_version_that_a_member_knows():
    member, _ = new_member(disk=(policy_of(1, 40.0), policy_of(2, 20.0)))
    assert (member.active_version, member.newest_version) == (1, 2)
    member.on_fenced(2)
    assert member.is_serving() and member.effective_limits(0.0)["a"][0] == 20.0 * DEGRADED_FRACTION
    member.on_fenced(3)
    assert not member.is_serving()


def test_a_fenced_member_serves_nothing_until_it_has_a_newer_version(machine):
    member, _ = new_member(disk=(policy_of(1, 5.0), None))
    assert member.is_serving()
    member.on_fenced(2)
    assert not member.is_serving() and member.effective_limits(0.0) == {}
    machine.apply(command("propose", 50.0))
    machine.apply(command("decide", number=2, joint=[], why=""))
    assert member.on_grant(0.2, grant(member, 0.1, machine, 3)) and member.is_serving()


# RolloutCoordinator.


def request_lease(coordinator, now, member, **fields):
    """Sends a lease request in a confirmed round; returns the grants."""
    request = LeaseRequest(
        **{"member": member, "request_id": 1, "active_version": 1, "joint_version": 0, **fields}
    )
    coordinator.on_lease_request(now, request, 0)
    return coordinator.grant_leases(now, 1, 1, 1)


def join(coordinator, now, members=PRESENT):
    """Members report that they have persisted the staged version 2."""
    for member in members:
        request_lease(coordinator, now, member, joint_version=2)


def test_a_change_is_decided_without_an_absent_member_only_after_its_lease(machine):
    machine.apply(command("propose", 50.0))
    coordinator = RolloutCoordinator(machine, 100.0)
    join(coordinator, 100.1)
    assert coordinator.next_command(100.2) is None
    # The previous leader may have granted a lease to the absent member.
    assert coordinator.next_command(100.0 + LEASE_DURATION) is None
    request_lease(coordinator, 105.0, ABSENT)
    assert coordinator.next_command(105.0 + LEASE_DURATION) is None
    decide = coordinator.next_command(105.0 + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT))
    assert decide["kind"] == "decide" and decide["joint"] == PRESENT
    assert coordinator.next_command(117.0) is None and request_lease(coordinator, 117.0, ABSENT) == []
    assert len(request_lease(coordinator, 117.0, "edge1", joint_version=2)) == 1
    machine.apply(decide)
    assert coordinator.next_command(117.1) is None and machine.fencing_floor == 1
    request_lease(coordinator, 117.2, ABSENT, active_version=2)
    assert coordinator.next_command(117.3) == {"kind": "back", "number": 2, "members": [ABSENT]}


def test_one_rejection_aborts_a_change_with_its_reason(machine):
    machine.apply(command("propose", 50.0))
    coordinator = RolloutCoordinator(machine, 0.0)
    request_lease(coordinator, 1.0, "edge1", rejected_version=2, rejection_reason="a lane is unknown")
    aborted = {"kind": "end", "number": 2, "why": "edge1: a lane is unknown"}
    assert coordinator.next_command(1.0) == aborted


def test_an_absent_member_whose_fraction_does_not_fit_is_awaited_until_the_timeout(machine):
    machine.apply(command("propose", 20.0))
    coordinator = RolloutCoordinator(machine, 0.0)
    join(coordinator, 11.0)
    assert coordinator.next_command(11.0) is None  # the absent member could use 25, above the new limit of 20
    timeout = 11.0 + STAGE_TIMEOUT
    assert coordinator.next_command(timeout - 0.1) is None
    abort = coordinator.next_command(timeout)
    assert abort["kind"] == "end" and ABSENT in abort["why"]
    assert "keeps 25 in all of its limit" in abort["why"]
    assert machine.apply(command("forget", member="edge9")).startswith("refused")
    assert machine.apply(command("forget", member=ABSENT)) == "edge2 is no longer waited for"
    join(coordinator, timeout)
    assert coordinator.next_command(timeout)["kind"] == "decide"  # an operator declared it stopped
    assert PolicyStateMachine.from_snapshot(machine.to_snapshot()).forgotten == {ABSENT: True}


def test_a_member_that_never_answers_on_the_change_delays_it_until_the_timeout_only(machine):
    machine.apply(command("propose", 50.0))
    coordinator, now = RolloutCoordinator(machine, 0.0), 20.0
    join(coordinator, now)
    request_lease(coordinator, now, ABSENT)
    while (abort := coordinator.next_command(now)) is None:
        now += 0.5
        request_lease(coordinator, now, ABSENT)
        assert now < 20.0 + STAGE_TIMEOUT + 1
    assert abort["kind"] == "end" and abort["why"] == f"without answer in {STAGE_TIMEOUT:g} s: edge2"


def test_a_joint_member_that_went_silent_may_return_with_an_older_disk(machine):
    machine.apply(command("propose", 20.0))
    coordinator = RolloutCoordinator(machine, 0.0)
    join(coordinator, 11.0, [ABSENT])
    join(coordinator, 25.0)
    # With its older disk the absent member could use 25, above the new limit of 20.
    assert coordinator.next_command(25.0) is None
    join(coordinator, 26.0, [ABSENT])
    assert coordinator.next_command(26.0)["joint"] == MEMBERS


def test_a_forgotten_member_is_reinstated_before_it_gets_a_lease(machine):
    machine.apply(command("forget", member=ABSENT))
    machine.apply(command("propose", 20.0))
    coordinator = RolloutCoordinator(machine, 0.0)
    join(coordinator, 11.0)
    assert request_lease(coordinator, 11.1, ABSENT) == []
    reinstate = coordinator.next_command(11.2)
    assert reinstate == {"kind": "return", "members": [ABSENT]}
    machine.apply(reinstate)
    assert coordinator.next_command(11.3) is None
    assert len(request_lease(coordinator, 11.4, ABSENT, joint_version=2)) == 1
    assert coordinator.next_command(11.5)["joint"] == MEMBERS


def test_a_leader_that_is_not_confirmed_grants_nothing(machine):
    coordinator = RolloutCoordinator(machine, 0.0)
    coordinator.on_lease_request(1.0, LeaseRequest("edge0", 1, 1, 0), 7)
    assert coordinator.grant_leases(1.1, 7, 1, 1) == []
    assert len(coordinator.grant_leases(1.2, 8, 1, 1)) == 1
    coordinator.on_lease_request(1.0, LeaseRequest("edge9", 1, 1, 0), 7)
    assert coordinator.grant_leases(1.2, 9, 1, 1) == []
