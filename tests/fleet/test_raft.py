"""Raft keeps committed entries despite lost, repeated and late messages, partitions and crashes."""

from typing import NamedTuple

import pytest

from rushmux.fleet import raft
from rushmux.standins.raft_mutants import MUTANTS
from rushmux.standins.raft_simulation import RaftSimulation

SEEDS = 150
MEMBERS = ("a", "b", "c")
DUE = 105.0  # seconds; later than the election timeout of `node`


def test_random_faults_undo_no_committed_entry_and_the_log_advances_when_they_end():
    highest_index, with_changes, with_snapshots = 0, 0, 0
    for seed in range(SEEDS):
        simulation = RaftSimulation(seed, members=3 + seed % 3).run(until=26.0, heal_at=18.0)
        applied = simulation.log_checker.applied_entries
        highest_index = max(highest_index, *applied)
        with_changes += any(entry.kind == raft.EntryKind.CONFIGURATION for entry in applied.values())
        with_snapshots += any(member.disk.snapshot.index for member in simulation.members.values())
    assert highest_index > 200 and with_changes > SEEDS / 5 and with_snapshots > SEEDS / 3


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_a_mutant_is_found_within_the_seeds(mutant):
    def is_found(seed):
        try:
            RaftSimulation(seed, members=3 + seed % 3, node_class=mutant).run(until=18.0)
        except AssertionError:  # from the checker or from `RaftLog.truncate`
            return True
        return False

    assert any(is_found(seed) for seed in range(SEEDS))


# Single steps that the simulation seldom reaches.


class Output(NamedTuple):
    """Combined output of a node's pending `Ready` batches."""

    messages: list
    committed: list
    """Indexes of the entries."""


def node(member_id="a", *, term=0, voted_for=None, entries=()):
    state = raft.bootstrap(MEMBERS)._replace(term=term, voted_for=voted_for, entries=tuple(entries))
    return raft.RaftNode(member_id, state, 100.0, lambda below: 0)


def process(member, now=100.0):
    """Processes all pending `Ready` batches, as if every write succeeded."""
    output = Output([], [])
    while (ready := member.ready()) is not None:
        output.messages.extend(ready.messages)
        output.committed.extend(index for index, _ in ready.committed)
        member.on_persisted(now, ready)
    return output


def elected(entries=(), term=3):
    """Returns `a` as the leader of the term after `term`, with a log of `entries`."""
    member = node(term=term, entries=entries)
    member.tick(DUE)
    process(member)
    for pre_vote in (True, False):
        member.receive(DUE, raft.RequestVoteResponse("b", "a", term + 1, pre_vote, True))
        process(member)
    assert member.role == raft.Role.LEADER and member.term == term + 1
    return member


@pytest.fixture
def leader():
    """`a` as the leader of term 4, with nothing committed."""
    return elected()


def acknowledge(member, now, match_index, sender="b"):
    """Delivers a follower's acknowledgement up to an index."""
    member.receive(now, raft.AppendEntriesResponse(sender, "a", 4, True, match_index))


def test_a_vote_is_persisted_before_it_is_sent_and_outlives_a_restart():
    member = node()
    member.receive(DUE, raft.RequestVote("b", "a", 5, 0, 0, False))
    ready = member.ready()
    assert ready.hard_state == (5, "b") and ready.messages[0].granted
    restarted = node(term=ready.hard_state.term, voted_for=ready.hard_state.voted_for)
    restarted.receive(DUE, raft.RequestVote("c", "a", 5, 0, 0, False))
    restarted.receive(DUE, raft.RequestVote("b", "a", 5, 0, 0, False))
    votes = process(restarted).messages
    assert [(vote.receiver, vote.granted) for vote in votes] == [("c", False), ("b", True)]


def test_entries_of_older_terms_are_committed_only_with_one_of_the_leaders_own():
    leader = elected([raft.Entry(2, raft.EntryKind.COMMAND, b"x")])
    acknowledge(leader, 105.1, match_index=1)
    assert process(leader).committed == []  # a majority has it, but it could still be overwritten
    acknowledge(leader, 105.2, match_index=2)
    assert process(leader).committed == [1, 2]


def test_members_change_one_at_a_time_and_only_once_the_leader_has_committed_something(leader):
    with pytest.raises(raft.MembershipChangeError, match="not committed an entry"):
        leader.change_members(105.0, ["a", "b"])
    acknowledge(leader, 105.1, match_index=1)
    with pytest.raises(raft.MembershipChangeError, match="one at a time"):
        leader.change_members(105.1, ["a", "d"])
    with pytest.raises(raft.MembershipChangeError, match="caught up"):
        leader.change_members(105.1, ["a", "b", "c", "d"])
    leader.change_members(105.1, ["a", "b"])
    with pytest.raises(raft.MembershipChangeError, match="previous membership change is not committed"):
        leader.change_members(105.1, ["a"])
    assert leader.members == ("a", "b")  # in effect as soon as appended


def test_a_partitioned_member_neither_raises_the_term_nor_deposes_the_leader():
    cut_off = node()
    for tenth in range(200):
        cut_off.tick(101.0 + tenth / 10)
    assert cut_off.term == 0 and all(request.pre_vote for request in process(cut_off).messages)
    follower = node("b")
    follower.receive(120.0, raft.AppendEntries("c", "b", 1, 0, 0, (), 0))
    follower.receive(120.1, raft.RequestVote("a", "b", 2, 9, 9, True))
    follower.receive(120.2, raft.RequestVote("a", "b", 7, 9, 9, False))
    assert follower.term == 1
    assert not any(getattr(message, "granted", False) for message in process(follower).messages)


def test_a_leader_that_hears_no_majority_steps_down_and_rejects_proposals(leader):
    leader.tick(105.9)
    assert leader.role == raft.Role.LEADER
    leader.tick(106.1)
    with pytest.raises(raft.NotLeaderError, match="leads"):
        leader.propose(106.1, b"x")


def test_uncommitted_entries_are_bounded(leader):
    for _ in range(raft.MAX_UNCOMMITTED_ENTRIES - 1):
        leader.propose(105.0, b"x")
    with pytest.raises(raft.LogFullError, match="wait"):
        leader.propose(105.0, b"x")


def test_a_command_that_is_proposed_again_is_not_applied_again():
    sessions, applied = raft.ClientSessions(), []
    for sequence in (1, 1, 2, 1):
        answer = sessions.apply_once(
            "c", sequence, lambda sequence=sequence: applied.append(sequence) or f"done {sequence}"
        )
    assert applied == [1, 2] and "older" in answer
    restored = raft.ClientSessions(sessions.to_rows())
    assert restored.apply_once("c", 2, lambda: "again") == "done 2"
    for number in range(raft.MAX_CLIENT_SESSIONS + 1):
        sessions.apply_once(f"d{number}", 1, lambda: "")
    assert len(sessions.responses) == raft.MAX_CLIENT_SESSIONS and "c" not in sessions.responses
