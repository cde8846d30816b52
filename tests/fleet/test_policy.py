"""The fleet's policy: a change takes hold everywhere or nowhere, whatever is lost, killed, stopped or cut
off.
"""

import json

import pytest

from rushmux.fleet.errors import CommandRejectedError
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


def test_drawn_faults_pass_no_limit_and_in_a_quiet_time_all_go_by_one_number():
    ends = {"decide": 0, "end": 0, "withdraw": 0}
    for seed in range(SEEDS):
        for end in policy_simulation.run_seed(seed).checker.outcomes.values():
            ends[end] += 1
    assert ends["decide"] > 3 * SEEDS and ends["end"] > SEEDS / 3 and ends["withdraw"] > SEEDS / 10


# The same within how many seeds for each: `benchmarks/policy.py`.
@pytest.mark.parametrize(
    "defect",
    [
        policy_mutants.JointBeforePersisted,
        policy_mutants.NeverDegraded,
        policy_mutants.RaisesBeforeDecided,
        policy_mutants.IgnoresPredecessorLeases,
        policy_mutants.ForgetsOwnLeases,
        policy_mutants.ForgetsStagedAtStart,
    ],
    ids=lambda defect: defect.__name__,
)
def test_a_part_that_is_wrong_in_one_thing_is_found(defect):
    def found(seed):
        try:
            policy_simulation.run_seed(seed, parts=REAL_PARTS.with_mutant(defect))
        except InvariantViolationError:
            return True
        return False

    assert any(found(seed) for seed in range(SEEDS))


# Step by step.

MEMBERS = ["edge0", "edge1", "edge2"]


def order(kind, limit=None, **more):
    rows = {"rows": [["a", limit, 2 * limit]], "text": f"limit {limit}"} if limit is not None else {}
    return {"kind": kind, "by": "anna", **rows, **more}


def register(limit=100.0):
    made = PolicyStateMachine()
    made.apply(order("found", limit, members=MEMBERS))
    return made


def holder(name="edge0", disk=(None, None), prove=lambda policy: None):
    kept = []
    return PolicyMember(name, *disk, prove, lambda *both: kept.append(both)), kept


def grant(one, now, made, index):
    ask = one.lease_request(now)
    return LeaseGrant(one.name, ask.request_id, 1, index, made.active, made.staged)


def test_two_at_once_and_a_change_on_top_of_one_that_hangs_each_have_one_outcome():
    made = register()
    assert made.apply(order("propose", 50.0, base=1)) == "2 is staged"
    assert "2 by anna is under way" in made.apply(order("propose", 60.0))
    assert made.apply(order("withdraw", number=2)).startswith("2 is withdrawn")
    assert "withdrawn already" in made.apply(order("withdraw", number=2))
    assert made.apply(order("decide", number=2, joint=MEMBERS, why="")).startswith("refused")
    assert made.apply(order("propose", 60.0)) == "3 is staged"
    assert made.apply(order("decide", number=3, joint=MEMBERS, why="")) == "3 is decided"
    assert "propose a revert" in made.apply(order("withdraw", number=3))
    assert "1 is in force" not in made.apply(order("propose", 70.0, base=1))
    assert made.apply(order("revert", number=1)) == "4 is staged" and made.staged.text == "limit 100.0"
    assert [past[:2] for past in made.history] == [(1, "decided"), (2, "withdrawn"), (3, "decided")]


def test_what_is_unknown_to_this_planner_changes_nothing_and_a_snapshot_holds_all():
    made = register()
    assert made.apply({"kind": "of_a_newer_planner"}).startswith("refused")
    made.apply(order("propose", 50.0))
    again = PolicyStateMachine.from_snapshot(made.to_snapshot())
    assert again.__dict__ == made.__dict__
    raw = json.loads(made.to_snapshot())
    raw["force"][1] = "another text"
    with pytest.raises(ValueError, match="checksum"):
        PolicyStateMachine.from_snapshot(json.dumps(raw).encode())
    assert policy_from_json(policy_to_json(made.active)) == made.active and policy_from_json(None) is None


def test_a_member_keeps_both_before_it_is_joint_and_goes_by_the_lesser():
    made = register()
    one, kept = holder()
    assert not one.is_serving() and one.effective_limits(0.0) == {}
    assert one.on_grant(0.1, grant(one, 0.0, made, 1)) and one.effective_limits(0.1) == {"a": (100.0, 200.0)}
    made.apply(order("propose", 40.0))
    assert one.on_grant(0.6, grant(one, 0.5, made, 2)) and kept[-1][1].version == 2
    assert (
        one.lease_request(0.7).joint_version == 2
        and one.active_version == 1
        and one.effective_limits(0.7)["a"] == (40.0, 80.0)
    )
    again, _ = holder(disk=kept[-1])  # killed, and started on its disk with nobody to ask
    assert again.is_degraded(0.0) and again.effective_limits(0.0)["a"] == (
        40.0 * DEGRADED_FRACTION,
        80.0 * DEGRADED_FRACTION,
    )
    made.apply(order("end", number=2, why="no"))
    assert one.on_grant(1.1, grant(one, 1.0, made, 3)) and one.effective_limits(1.1)["a"] == (100.0, 200.0)


def test_a_lease_runs_from_the_ask_and_late_or_older_words_are_not_believed():
    made = register()
    one, _ = holder()
    late = grant(one, 0.0, made, 5)
    assert not one.on_grant(LEASE_DURATION, late)
    assert one.on_grant(11.0, grant(one, 10.5, made, 5)) and not one.is_degraded(10.5 + LEASE_DURATION - 0.01)
    assert (
        one.is_degraded(10.5 + LEASE_DURATION)
        and one.effective_limits(10.5 + LEASE_DURATION)["a"][0] == 100.0 * DEGRADED_FRACTION
    )
    assert not one.on_grant(11.1, grant(one, 11.0, made, 4)._replace(term=0))
    assert not one.on_grant(11.2, grant(one, 11.1, made, 6)._replace(member="edge1"))


def test_a_disk_that_takes_nothing_and_a_policy_that_cannot_be_proved_are_noes_with_a_reason():
    made = register()
    full = []

    def keep(*both):
        if full:
            raise OSError("no room")

    def prove(policy):
        return "a lane is unknown" if "30" in policy.text else None

    one = PolicyMember("edge0", None, None, prove, keep)
    one.on_grant(0.1, grant(one, 0.0, made, 1))
    full.append(True)
    made.apply(order("propose", 50.0))
    assert not one.on_grant(0.6, grant(one, 0.5, made, 2)) and one.lease_request(0.7)[4:] == (
        2,
        "its disk: no room",
    )
    made.apply(order("end", number=2, why=""))
    full.clear()
    made.apply(order("propose", 30.0))
    assert one.on_grant(1.1, grant(one, 1.0, made, 4)) and one.lease_request(1.2)[3:] == (
        0,
        3,
        "a lane is unknown",
    )
    made.apply(order("decide", number=3, joint=[], why=""))  # it was away for a lease, and is back
    assert not one.on_grant(1.6, grant(one, 1.5, made, 5)) and not one.is_serving()


def asked(conduct, now, member, force=1, joint=0, refused=0, against=""):
    """An ask that is answered at once."""
    conduct.on_lease_request(now, LeaseRequest(member, 1, force, joint, refused, against), 0)
    return conduct.grant_leases(now, 1, 1, 1)


def test_it_is_decided_when_all_are_joint_and_without_who_is_away_only_after_its_lease():
    made = register()
    made.apply(order("propose", 50.0))
    conduct = RolloutCoordinator(made, 100.0)
    for member in MEMBERS[:2]:
        asked(conduct, 100.1, member, joint=2)
    assert conduct.next_command(100.2) is None
    assert (
        conduct.next_command(100.0 + LEASE_DURATION) is None
    )  # the planner before may have answered the third
    asked(conduct, 105.0, "edge2")
    assert conduct.next_command(105.0 + LEASE_DURATION) is None
    found = conduct.next_command(105.0 + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT))
    assert found["kind"] == "decide" and found["joint"] == MEMBERS[:2]
    assert conduct.next_command(117.0) is None and asked(conduct, 117.0, "edge2") == []
    assert len(asked(conduct, 117.0, "edge1", joint=2)) == 1
    made.apply(found)
    assert conduct.next_command(117.1) is None and made.fencing_floor == 1
    asked(conduct, 117.2, "edge2", force=2)
    assert conduct.next_command(117.3) == {"kind": "back", "number": 2, "members": ["edge2"]}


def test_one_no_ends_it_with_its_reason():
    made = register()
    made.apply(order("propose", 50.0))
    conduct = RolloutCoordinator(made, 0.0)
    asked(conduct, 1.0, "edge1", refused=2, against="a lane is unknown")
    assert conduct.next_command(1.0) == {"kind": "end", "number": 2, "why": "edge1: a lane is unknown"}


def test_who_is_away_is_waited_for_where_its_part_does_not_fit_and_not_for_ever():
    made = register()
    made.apply(order("propose", 20.0))
    conduct = RolloutCoordinator(made, 0.0)
    for member in MEMBERS[:2]:
        asked(conduct, 11.0, member, joint=2)
    assert conduct.next_command(11.0) is None  # 25 of 100 in the hands of who is away, over the 20 of all
    assert conduct.next_command(11.0 + STAGE_TIMEOUT - 0.1) is None
    found = conduct.next_command(11.0 + STAGE_TIMEOUT)
    assert found["kind"] == "end" and "edge2" in found["why"]
    assert "keeps 25 in all of its limit" in found["why"]
    assert made.apply(order("forget", member="edge9")).startswith("refused")
    assert made.apply(order("forget", member="edge2")) == "edge2 is no longer waited for"
    for member in MEMBERS[:2]:
        asked(conduct, 11.0 + STAGE_TIMEOUT, member, joint=2)
    assert conduct.next_command(11.0 + STAGE_TIMEOUT)["kind"] == "decide"  # a person's word: it does not run
    assert PolicyStateMachine.from_snapshot(made.to_snapshot()).forgotten == {"edge2": True}


def test_one_that_asks_and_never_says_whether_it_takes_the_change_does_not_hold_it_for_ever():
    made = register()
    made.apply(order("propose", 50.0))
    conduct, now = RolloutCoordinator(made, 0.0), 20.0
    for member in MEMBERS:
        asked(conduct, now, member, joint=2 if member != "edge2" else 0)
    while (found := conduct.next_command(now)) is None:
        now += 0.5
        asked(conduct, now, "edge2")
        assert now < 20.0 + STAGE_TIMEOUT + 1
    assert found["kind"] == "end" and found["why"] == f"without answer in {STAGE_TIMEOUT:g} s: edge2"


def test_who_was_joint_and_is_silent_since_may_come_back_on_an_older_disk():
    made = register()
    made.apply(order("propose", 20.0))
    conduct = RolloutCoordinator(made, 0.0)
    asked(conduct, 11.0, "edge2", joint=2)
    for member in MEMBERS[:2]:
        asked(conduct, 25.0, member, joint=2)
    assert (
        conduct.next_command(25.0) is None
    )  # 25 of 100, by a disk of before it was joint, over the 20 of all
    asked(conduct, 26.0, "edge2", joint=2)
    assert conduct.next_command(26.0)["joint"] == MEMBERS


def test_nodes_hold_their_floor_against_what_a_member_knows_of():
    before, after = (Policy(number, "x", (("a", limit, limit),)) for number, limit in ((1, 40.0), (2, 20.0)))
    one, _ = holder(disk=(before, after))
    assert (one.active_version, one.newest_version) == (1, 2)
    one.on_fenced(2)
    assert one.is_serving() and one.effective_limits(0.0)["a"][0] == 20.0 * DEGRADED_FRACTION
    one.on_fenced(3)
    assert not one.is_serving()


def test_who_was_forgotten_counts_again_before_it_is_answered():
    made = register()
    made.apply(order("forget", member="edge2"))
    made.apply(order("propose", 20.0))
    conduct = RolloutCoordinator(made, 0.0)
    for member in MEMBERS[:2]:
        asked(conduct, 11.0, member, joint=2)
    assert asked(conduct, 11.1, "edge2") == []
    found = conduct.next_command(11.2)
    assert found == {"kind": "return", "members": ["edge2"]}
    made.apply(found)
    assert conduct.next_command(11.3) is None and len(asked(conduct, 11.4, "edge2", joint=2)) == 1
    assert conduct.next_command(11.5)["joint"] == MEMBERS


def test_who_may_go_by_an_old_number_is_counted_with_all_since_and_there_is_a_bound():
    made = register(100.0)
    made.apply(order("propose", 30.0))
    made.apply(order("decide", number=2, joint=["edge0", "edge1"], why=""))
    assert made.fencing_floor == 1
    made.apply(order("propose", 10.0))
    assert "goes by 1" in made.degraded_excess(made.staged)
    made.apply(order("back", number=2, members=["edge2"]))
    assert made.fencing_floor == 2 and made.degraded_excess(made.staged) is None
    made.apply(order("decide", number=3, joint=[], why=""))
    while not (said := made.apply(order("propose", 10.0))).startswith("refused"):
        made.apply(order("decide", number=made.last_version, joint=[], why=""))
    assert "edge0 may still go by 2" in said and len(made.limits_by_version) == MAX_VERSIONS_IN_USE
    assert made.apply(order("propose", 10.0, text="x" * (1 << 17))).startswith("refused")


def test_a_planner_that_is_not_confirmed_answers_nobody():
    conduct = RolloutCoordinator(register(), 0.0)
    conduct.on_lease_request(1.0, LeaseRequest("edge0", 1, 1, 0), 7)
    assert conduct.grant_leases(1.1, 7, 1, 1) == [] and len(conduct.grant_leases(1.2, 8, 1, 1)) == 1
    conduct.on_lease_request(1.0, LeaseRequest("edge9", 1, 1, 0), 7)
    assert conduct.grant_leases(1.2, 9, 1, 1) == []


def test_nodes_that_turn_its_number_away_end_its_service():
    made = register()
    one, _ = holder(disk=(Policy(1, "x", (("a", 5.0, 5.0),)), None))
    assert one.is_serving()
    one.on_fenced(2)
    assert not one.is_serving() and one.effective_limits(0.0) == {}
    made.apply(order("propose", 50.0))
    made.apply(order("decide", number=2, joint=[], why=""))
    assert one.on_grant(0.2, grant(one, 0.1, made, 3)) and one.is_serving()


def test_refused_is_an_error_of_its_own():
    with pytest.raises(CommandRejectedError, match="not under way"):
        register().require_staged(4)
