"""The planners' log: what is decided is never undone, whatever is lost, repeated, late, cut off or killed."""

import pytest

from rushmux.fleet import raft
from rushmux.standins.raft_simulation import RaftSimulation

SEEDS = 150


def test_drawn_faults_undo_nothing_and_in_a_quiet_time_the_log_goes_on():
    most, changed, killed = 0, 0, 0
    for seed in range(SEEDS):
        world = RaftSimulation(seed, members=3 + seed % 3).run(until=26.0, heal_at=18.0)
        most = max(most, max(world.log_checker.applied_entries))
        changed += any(
            entry.kind == raft.EntryKind.CONFIGURATION for entry in world.log_checker.applied_entries.values()
        )
        killed += any(member.disk.snapshot.index for member in world.members.values())
    assert most > 200 and changed > SEEDS / 5 and killed > SEEDS / 3


# Each defect is a member that is wrong in one thing.  `seeds`: within which the judge has to find it.


class VotesTwice(raft.RaftNode):
    def on_request_vote(self, now, message):
        if not message.pre_vote:
            self.voted_for = None
        super().on_request_vote(now, message)


class VotesForAnOlderLog(raft.RaftNode):
    def on_request_vote(self, now, message):
        super().on_request_vote(now, message._replace(last_log_index=1 << 30, last_log_term=1 << 30))


class AnswersBeforeItsDisk(raft.RaftNode):
    """What it says of its log is not on its disk."""

    def ready(self):
        done = super().ready()
        return done and done._replace(entries=())


class DecidesAlone(raft.RaftNode):
    def is_quorum(self, names):
        return sum(name in names for name in self.members) * 2 >= len(self.members) - 1


class KeepsAConflict(raft.RaftNode):
    def on_append_entries(self, now, message):
        before = message.prev_log_index
        if self.log.term_at(before) is None:
            before = self.log.last_index
        super().on_append_entries(
            now, message._replace(prev_log_index=before, prev_log_term=self.log.term_at(before))
        )


class StaysLeader(raft.RaftNode):
    """Does not step down when it hears a higher term."""

    def become_follower(self, now, term, leader=None):
        if self.role == raft.Role.LEADER and leader is None:
            self.term = max(term, self.term)
        else:
            super().become_follower(now, term, leader)


class NeverAppliesOnce(raft.RaftNode):
    """Applies again what its snapshot holds."""

    def __init__(self, member_id, state, now, random_below):
        super().__init__(member_id, state, now, random_below)
        self.log.last_applied = max(0, self.last_applied - 1)


@pytest.mark.parametrize(
    "defect",
    [
        VotesTwice,
        VotesForAnOlderLog,
        AnswersBeforeItsDisk,
        DecidesAlone,
        KeepsAConflict,
        StaysLeader,
        NeverAppliesOnce,
    ],
    ids=lambda defect: defect.__name__,
)
def test_a_member_that_is_wrong_in_one_thing_is_found(defect):
    def found(seed):
        try:
            RaftSimulation(seed, members=3 + seed % 3, node_class=defect).run(until=18.0)
        except AssertionError:  # a breach, or the log's own check that nothing decided is dropped
            return True
        return False

    assert any(found(seed) for seed in range(SEEDS))


# What drawn plays seldom reach, step by step.


def voice(me="a", term=0, voted=None, entries=(), members=("a", "b", "c"), now=100.0):
    kept = raft.bootstrap(members)._replace(term=term, voted_for=voted, entries=tuple(entries))
    return raft.RaftNode(me, kept, now, lambda below: 0)


def steps(one, now=100.0):
    """All that is handed out until nothing is left: what was sent, and what was decided."""
    sent, decided, votes = [], [], []
    while (ready := one.ready()) is not None:
        sent += ready.messages
        decided += [index for index, _ in ready.committed]
        votes += [ready.hard_state] if ready.hard_state else []
        one.on_persisted(now, ready)
    return sent, decided, votes


def leading(entries=(), term=3):
    """`a` leads in the term after `term`, with what it had in its log."""
    one = voice(term=term, entries=entries)
    one.tick(105.0)
    steps(one)
    one.receive(105.0, raft.RequestVoteResponse("b", "a", term + 1, True, True))
    steps(one)
    one.receive(105.0, raft.RequestVoteResponse("b", "a", term + 1, False, True))
    steps(one)
    assert one.role == raft.Role.LEADER and one.term == term + 1
    return one


def test_a_vote_is_written_before_it_is_sent_and_outlives_the_start():
    one = voice()
    one.receive(105.0, raft.RequestVote("b", "a", 5, 0, 0, False))
    ready = one.ready()
    assert ready.hard_state == (5, "b") and ready.messages[0].granted
    again = voice(term=ready.hard_state.term, voted=ready.hard_state.voted_for)
    again.receive(105.0, raft.RequestVote("c", "a", 5, 0, 0, False))
    again.receive(105.0, raft.RequestVote("b", "a", 5, 0, 0, False))
    assert [(vote.receiver, vote.granted) for vote in steps(again)[0]] == [("c", False), ("b", True)]


def test_entries_of_older_terms_are_decided_only_with_one_of_the_leaders_own():
    one = leading([raft.Entry(2, raft.EntryKind.COMMAND, b"x")])
    one.receive(105.1, raft.AppendEntriesResponse("b", "a", 4, True, 1))
    assert steps(one)[1] == []  # a majority has it, and it may still be overwritten
    one.receive(105.2, raft.AppendEntriesResponse("b", "a", 4, True, 2))
    assert steps(one)[1] == [1, 2]


def test_members_change_one_at_a_time_and_only_once_the_leader_has_decided_something():
    one = leading()
    with pytest.raises(raft.ProposalRejectedError, match="decided nothing"):
        one.change_members(105.0, ["a", "b"])
    one.receive(105.1, raft.AppendEntriesResponse("b", "a", 4, True, 1))
    with pytest.raises(raft.ProposalRejectedError, match="one at a time"):
        one.change_members(105.1, ["a", "d"])
    with pytest.raises(raft.ProposalRejectedError, match="caught up"):
        one.change_members(105.1, ["a", "b", "c", "d"])
    one.change_members(105.1, ["a", "b"])
    with pytest.raises(raft.ProposalRejectedError, match="not decided"):
        one.change_members(105.1, ["a"])
    assert one.members == ("a", "b")  # it counts from when it stands in the log


def test_one_that_was_cut_off_raises_no_term_and_unseats_nobody():
    alone = voice()
    for tenth in range(200):
        alone.tick(101.0 + tenth / 10)
    assert alone.term == 0 and all(ask.pre_vote for ask in steps(alone)[0])
    heard = voice("b")
    heard.receive(120.0, raft.AppendEntries("c", "b", 1, 0, 0, (), 0))
    heard.receive(120.1, raft.RequestVote("a", "b", 2, 9, 9, True))
    heard.receive(120.2, raft.RequestVote("a", "b", 7, 9, 9, False))
    assert heard.term == 1 and not any(getattr(vote, "granted", False) for vote in steps(heard)[0])


def test_a_leader_that_hears_no_majority_stops_and_says_so():
    one = leading()
    one.tick(105.9)
    assert one.role == raft.Role.LEADER
    one.tick(106.1)
    with pytest.raises(raft.ProposalRejectedError, match="leads"):
        one.propose(106.1, b"x")


def test_a_log_that_nobody_decides_is_bounded():
    one = leading()
    for _ in range(raft.MAX_UNCOMMITTED_ENTRIES - 1):
        one.propose(105.0, b"x")
    with pytest.raises(raft.ProposalRejectedError, match="wait"):
        one.propose(105.0, b"x")


def test_an_order_that_is_proposed_again_is_not_applied_again():
    sessions, done = raft.ClientSessions(), []
    for number in (1, 1, 2, 1):
        answer = sessions.apply_once(
            "c", number, lambda number=number: done.append(number) or f"done {number}"
        )
    assert done == [1, 2] and "older" in answer
    assert raft.ClientSessions(sessions.to_rows()).apply_once("c", 2, lambda: "again") == "done 2"
    for number in range(raft.MAX_CLIENT_SESSIONS + 1):
        sessions.apply_once(f"d{number}", 1, lambda: "")
    assert len(sessions.responses) == raft.MAX_CLIENT_SESSIONS and "c" not in sessions.responses
