"""The planners' log: what is decided is never undone, whatever is lost, repeated, late, cut off or killed."""

import pytest

from rushmux.fleet import raft
from rushmux.standins.raft_simulation import World

SEEDS = 150


def test_drawn_faults_undo_nothing_and_in_a_quiet_time_the_log_goes_on():
    most, changed, killed = 0, 0, 0
    for seed in range(SEEDS):
        world = World(seed, members=3 + seed % 3).play(until=26.0, heal=18.0)
        most = max(most, max(world.applied))
        changed += any(entry.kind == raft.MEMBERS for entry in world.applied.values())
        killed += any(host.kept.snapshot.index for host in world.hosts.values())
    assert most > 200 and changed > SEEDS / 5 and killed > SEEDS / 3


# Each defect is a member that is wrong in one thing.  `seeds`: within which the judge has to find it.


class VotesTwice(raft.Voice):
    def ask(self, now, message):
        if not message.trial:
            self.voted = None
        super().ask(now, message)


class VotesForAnOlderLog(raft.Voice):
    def ask(self, now, message):
        super().ask(now, message._replace(last=1 << 30, last_term=1 << 30))


class AnswersBeforeItsDisk(raft.Voice):
    """What it says of its log is not on its disk."""

    def ready(self):
        done = super().ready()
        return done and done._replace(entries=())


class DecidesAlone(raft.Voice):
    def majority(self, names):
        return sum(name in names for name in self.members) * 2 >= len(self.members) - 1


class KeepsAConflict(raft.Voice):
    def append(self, now, message):
        before = message.before if self.term_at(message.before) is not None else self.last
        super().append(now, message._replace(before=before, before_term=self.term_at(before)))


class StaysLeader(raft.Voice):
    """Does not step down when it hears a higher term."""

    def follow(self, now, term, leader=None):
        if self.role == raft.LEADS and leader is None:
            self.term = max(term, self.term)
        else:
            super().follow(now, term, leader)


class NeverAppliesOnce(raft.Voice):
    """Applies again what its snapshot holds."""

    def __init__(self, me, kept, now, draw):
        super().__init__(me, kept, now, draw)
        self.applied = max(0, self.applied - 1)


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
            World(seed, members=3 + seed % 3, make=defect).play(until=18.0)
        except AssertionError:  # a breach, or the log's own check that nothing decided is dropped
            return True
        return False

    assert any(found(seed) for seed in range(SEEDS))


# What drawn plays seldom reach, step by step.


def voice(me="a", term=0, voted=None, entries=(), members=("a", "b", "c"), now=100.0):
    kept = raft.founded(members)._replace(term=term, voted=voted, entries=tuple(entries))
    return raft.Voice(me, kept, now, lambda below: 0)


def steps(one, now=100.0):
    """All that is handed out until nothing is left: what was sent, and what was decided."""
    sent, decided, votes = [], [], []
    while (done := one.ready()) is not None:
        sent += done.send
        decided += [index for index, _ in done.decided]
        votes += [done.vote] if done.vote else []
        one.written(now, done)
    return sent, decided, votes


def leading(entries=(), term=3):
    """`a` leads in the term after `term`, with what it had in its log."""
    one = voice(term=term, entries=entries)
    one.tick(105.0)
    steps(one)
    one.hear(105.0, raft.Vote("b", "a", term + 1, True, True))
    steps(one)
    one.hear(105.0, raft.Vote("b", "a", term + 1, False, True))
    steps(one)
    assert one.role == raft.LEADS and one.term == term + 1
    return one


def test_a_vote_is_written_before_it_is_sent_and_outlives_the_start():
    one = voice()
    one.hear(105.0, raft.Ask("b", "a", 5, 0, 0, False))
    done = one.ready()
    assert done.vote == (5, "b") and done.send[0].given
    again = voice(term=done.vote[0], voted=done.vote[1])
    again.hear(105.0, raft.Ask("c", "a", 5, 0, 0, False))
    again.hear(105.0, raft.Ask("b", "a", 5, 0, 0, False))
    assert [(vote.to, vote.given) for vote in steps(again)[0]] == [("c", False), ("b", True)]


def test_entries_of_older_terms_are_decided_only_with_one_of_the_leaders_own():
    one = leading([raft.Entry(2, raft.ORDER, b"x")])
    one.hear(105.1, raft.Appended("b", "a", 4, True, 1))
    assert steps(one)[1] == []  # a majority has it, and it may still be overwritten
    one.hear(105.2, raft.Appended("b", "a", 4, True, 2))
    assert steps(one)[1] == [1, 2]


def test_members_change_one_at_a_time_and_only_once_the_leader_has_decided_something():
    one = leading()
    with pytest.raises(raft.Refused, match="decided nothing"):
        one.change(105.0, ["a", "b"])
    one.hear(105.1, raft.Appended("b", "a", 4, True, 1))
    with pytest.raises(raft.Refused, match="one at a time"):
        one.change(105.1, ["a", "d"])
    with pytest.raises(raft.Refused, match="caught up"):
        one.change(105.1, ["a", "b", "c", "d"])
    one.change(105.1, ["a", "b"])
    with pytest.raises(raft.Refused, match="not decided"):
        one.change(105.1, ["a"])
    assert one.members == ("a", "b")  # it counts from when it stands in the log


def test_one_that_was_cut_off_raises_no_term_and_unseats_nobody():
    alone = voice()
    for tenth in range(200):
        alone.tick(101.0 + tenth / 10)
    assert alone.term == 0 and all(ask.trial for ask in steps(alone)[0])
    heard = voice("b")
    heard.hear(120.0, raft.Append("c", "b", 1, 0, 0, (), 0))
    heard.hear(120.1, raft.Ask("a", "b", 2, 9, 9, True))
    heard.hear(120.2, raft.Ask("a", "b", 7, 9, 9, False))
    assert heard.term == 1 and not any(getattr(vote, "given", False) for vote in steps(heard)[0])


def test_a_leader_that_hears_no_majority_stops_and_says_so():
    one = leading()
    one.tick(105.9)
    assert one.role == raft.LEADS
    one.tick(106.1)
    with pytest.raises(raft.Refused, match="leads"):
        one.propose(106.1, b"x")


def test_a_log_that_nobody_decides_is_bounded():
    one = leading()
    for _ in range(raft.MOST_OPEN - 1):
        one.propose(105.0, b"x")
    with pytest.raises(raft.Refused, match="wait"):
        one.propose(105.0, b"x")


def test_an_order_that_is_proposed_again_is_not_applied_again():
    sessions, done = raft.Sessions(), []
    for number in (1, 1, 2, 1):
        answer = sessions.once("c", number, lambda number=number: done.append(number) or f"done {number}")
    assert done == [1, 2] and "older" in answer
    assert raft.Sessions(sessions.kept()).once("c", 2, lambda: "again") == "done 2"
    for number in range(raft.MOST_CLIENTS + 1):
        sessions.once(f"d{number}", 1, lambda: "")
    assert len(sessions.rows) == raft.MOST_CLIENTS and "c" not in sessions.rows
