"""A bounded check of the policy's protocol: every order of a few events, on the very parts that run.

Three members, two planners of which the second takes over from the first (terms 1 and 2), one change after
the first policy, time in steps of half of a lease.  Messages (asks, grants) may be lost, repeated and
late; a planner may be replaced without knowing it; members may be killed and come back from their disks.
The log itself is taken as right (`voices` plays it): an entry is decided when the planner whose term is the
newest says so.

States are compared by what they hold, so that one that was reached before is not gone on from.  Bounds:
steps, asks out at a time, and what may happen how often; `check` says how many states there were.
"""

import json
from typing import NamedTuple

from rushmux.fleet import policy

MEMBERS = ("edge0", "edge1", "edge2")
STEP = policy.LEASE_DURATION / 1.9  # two of them are over any lease, its drift included
LIMITS = (90.0, 30.0)  # of the folder, before and after: the change down; up is the other way round
EPSILON = 1e-6


class Bounds(NamedTuple):
    """How much may happen in a play."""

    ticks: int = 4  # steps of the clock
    kills: int = 1
    takeovers: int = 1
    mail: int = 2  # messages on their way at a time
    states: int = 1_000_000


def joint(*names, planner=1) -> tuple[str, ...]:
    """The moves by which members become joint and say so."""
    return tuple(
        move.format(name, planner)
        for name in names
        for move in 2 * ("{0} asks planner {1}", "ask of {0} comes at {1}", "grant of {0} comes at {1}")
    )


# Where a check begins: what has happened before, by the names of moves.
BEGINS = {
    "all there": (),
    "one away, its lease over": (
        "edge0 asks planner 1",
        "ask of edge0 comes at 1",
        "grant of edge0 comes at 1",
        "time goes on",
        "time goes on",
        *joint(*MEMBERS[:2]),
    ),
    "planner 2 leads, the third has the lease of 1": (
        "planner 2 takes over",
        *joint(*MEMBERS[:2], planner=2),
    ),
    "two joint, the third serves on": joint(*MEMBERS[:2]),
    "all joint, about to be decided": joint(*MEMBERS) + ("planner 1 looks",),
}


class Found(NamedTuple):
    """States that were reached, up to how many events all orders were gone through, ends seen, and the first
    breach with its way.
    """

    states: int
    events: int
    ends: dict
    breach: str | None
    way: tuple


def shallow(one):
    """Another of the same kind that holds the same."""
    made = object.__new__(type(one))
    made.__dict__.update(one.__dict__)
    return made


class State:
    """Everything that matters of one moment; `parts` are PolicyStateMachine, RolloutCoordinator and PolicyMember."""

    def __init__(self, parts, first, second):
        register, conduct, holder = parts
        self.parts, self.now, self.term = parts, 0.0, 1
        self.register = register()
        self.register.apply(
            {
                "kind": "found",
                "by": "x",
                "members": list(MEMBERS),
                "text": "first",
                "rows": [["a", first, first]],
            }
        )
        self.index = 1
        self.disks = dict.fromkeys(MEMBERS, (self.register.active, None))
        self.members = {name: self.member(name) for name in MEMBERS}
        # Planner 1 leads; planner 2 may take over, and 1 may not know.
        self.leaders = {1: conduct(self.register, -2 * policy.LEASE_DURATION)}
        self.views = {}  # of a replaced planner: the register as it last knew it
        self.mail, self.kills, self.takeovers, self.ticks = (), 0, 0, 0
        self.pending = None  # an order that stands in the newest planner's log, not decided yet
        for name in MEMBERS:  # each has just heard that 1 is in force
            ask = self.members[name].lease_request(self.now)
            self.leaders[1].on_lease_request(self.now, ask, 0)
            for grant in self.leaders[1].grant_leases(self.now, 1, 1, self.index):
                self.members[name].on_grant(self.now, grant)
        self.register.apply({"kind": "propose", "by": "x", "text": "second", "rows": [["a", second, second]]})
        self.index = 2

    def member(self, name):
        return self.parts[2](name, *self.disks[name], lambda made: None, self.keeper(name))

    def keeper(self, name):
        def keep(force, staged):
            self.disks[name] = force, staged

        return keep

    def copied(self):
        made = shallow(self)
        made.register = self.of_its_own(self.register)
        made.disks, made.views = dict(self.disks), dict(self.views)
        made.leaders = {}
        for term, conduct in self.leaders.items():
            other = shallow(conduct)
            other.lease_expiry = dict(conduct.lease_expiry)
            other.latest_requests = dict(conduct.latest_requests)
            other.staged_since = dict(conduct.staged_since)
            other.pending_requests = list(conduct.pending_requests)
            other.state_machine = made.register if term == self.term else self.views[term]
            made.leaders[term] = other
        made.members = {}
        for name, holder in self.members.items():
            made.members[name] = other = shallow(holder)
            # An ask that is not on its way any more, nor its grant, is never answered.
            other.sent_at = {
                what.request_id: holder.sent_at[what.request_id]
                for _, what, _ in self.mail
                if what.member == name
            }
            other.persist = made.keeper(name)
        return made

    @staticmethod
    def of_its_own(register):
        made = shallow(register)
        made.member_versions, made.limits_by_version, made.past_policies = (
            dict(register.member_versions),
            dict(register.limits_by_version),
            dict(register.past_policies),
        )
        return made

    def key(self):
        """What tells two states apart.  Members differ by nothing but their names: they are put in order."""

        def ago(at):
            return None if at is None else round(max(-0.01, min(at - self.now, 30.0)) * 100)

        rows = []
        for name, holder in self.members.items():
            mail = tuple(
                (kind, term, ago(holder.sent_at[what.request_id]), *self.told(what))
                for kind, what, term in self.mail
                if what.member == name
            )
            known = tuple(
                (
                    ago(conduct.lease_expiry.get(name, 0.0)),
                    self.said(conduct.latest_requests.get(name)),
                    conduct.deciding is not None and name in conduct.deciding[1],
                )
                for conduct in self.leaders.values()
            )
            rows.append(
                (
                    holder.active_version,
                    holder.staged is not None,
                    ago(holder.lease_expiry) or 0,
                    holder.last_grant_position,
                    self.disks[name][1] is not None,
                    self.register.member_versions[name],
                    mail,
                    known,
                )
            )
        leaders = tuple(
            (term, ago(conduct.predecessor_leases_end), conduct.deciding is not None)
            for term, conduct in self.leaders.items()
        )
        return hash(
            (
                self.ticks,
                self.index,
                self.register.staged is None,
                self.register.active.version,
                tuple(sorted(rows)),
                leaders,
                self.kills,
                self.pending and self.pending["kind"],
            )
        )

    @staticmethod
    def said(ask):
        return (0, 0) if ask is None else (ask.active_version, ask.joint_version)

    @staticmethod
    def told(what):
        if isinstance(what, policy.LeaseRequest):
            return what.active_version, what.joint_version
        return what.index, what.active.version, what.staged.version if what.staged else 0

    # What may happen next: (name, what to do) each.

    def moves(self, bounds):
        room = len(self.mail) < bounds.mail
        for name in MEMBERS:
            if room and not any(kind == "ask" and what.member == name for kind, what, _ in self.mail):
                for term in self.leaders:
                    yield (
                        f"{name} asks planner {term}",
                        lambda made, name=name, term=term: made.asks(name, term),
                    )
            if self.kills < bounds.kills:
                yield f"{name} is killed and started", lambda made, name=name: made.killed(name)
        for place, (kind, what, term) in enumerate(self.mail):
            yield (
                f"{kind} of {what.member} comes at {term}",
                lambda made, place=place: made.comes(place, True),
            )
            yield (f"{kind} of {what.member} is lost", lambda made, place=place: made.comes(place, False))
            if room and kind == "grant":
                yield (
                    f"{kind} of {what.member} comes, and again",
                    lambda made, place=place: made.comes(place, True, keep=True),
                )
        if self.ticks < bounds.ticks:
            yield "time goes on", lambda made: made.passes()
        if self.takeovers < bounds.takeovers:
            yield "planner 2 takes over", lambda made: made.taken_over(False)
            if self.pending is not None:
                yield "planner 2 takes over with what is pending", lambda made: made.taken_over(True)
        if self.pending is None:
            yield f"planner {self.term} looks", lambda made: made.looks()
        else:
            yield "what is pending is decided", lambda made: made.decides()

    def asks(self, name, term):
        self.mail += (("ask", self.members[name].lease_request(self.now), term),)

    def killed(self, name):
        """What it had asked for is never heard again: its asks begin anew."""
        self.kills += 1
        self.members[name] = self.member(name)
        self.mail = tuple(row for row in self.mail if row[1].member != name)

    def comes(self, place, heard, keep=False):
        kind, what, term = self.mail[place]
        if not keep:
            # Once here it is not on its way; its ask stays known until its grant came.
            self.mail = self.mail[:place] + self.mail[place + 1 :]
        if not heard:
            return
        if kind == "grant":
            self.members[what.member].on_grant(self.now, what)
            return
        conduct = self.leaders[term]
        conduct.on_lease_request(self.now, what, 0)
        # A replaced planner hears no majority: no later round of it is ever confirmed.
        confirmed = 1 if term == self.term else 0
        for grant in conduct.grant_leases(self.now, confirmed, term, self.index if term == self.term else 2):
            self.mail += (("grant", grant, term),)

    def passes(self):
        self.ticks += 1
        self.now += STEP

    def taken_over(self, pending):
        """It has what stood in the other's log, and then decides it first, or has it not: then it is gone."""
        self.takeovers += 1
        if pending:
            self.decides()
        self.pending = None
        self.views[self.term] = self.of_its_own(self.register)
        self.leaders[self.term].state_machine = self.views[self.term]
        self.term += 1
        self.leaders[self.term] = self.parts[1](self.register, self.now)

    def looks(self):
        self.pending = self.leaders[self.term].next_command(self.now)

    def decides(self):
        self.register.apply(json.loads(json.dumps(self.pending)))
        self.index += 1
        self.pending = None

    def breach(self):
        """What members may use now, against the limit decided last."""
        limit, used = self.register.active.limits()["a"][0], 0.0
        for holder in self.members.values():
            used += holder.effective_limits(self.now).get("a", (0.0,))[0] / len(MEMBERS)
        if used > limit + EPSILON:
            return f"limit {limit:g} by {self.register.active.version}, {used:g} may be used"
        return None


def begun(parts, limits, begin) -> State:
    """The state that a list of moves leads to; ValueError where one of them cannot be."""
    state = State(parts, *limits)
    for name in begin:
        act = dict(state.moves(Bounds(mail=9, ticks=99))).get(name)
        if act is None:
            raise ValueError(f"'{name}' cannot be here")
        state = state.copied()
        act(state)
    state.ticks = 0
    return state


def check(
    bounds=Bounds(),
    parts=(policy.PolicyStateMachine, policy.RolloutCoordinator, policy.PolicyMember),
    limits=LIMITS,
    begin=(),
) -> Found:
    """Goes through all orders of events, breadth first, until as many states were reached as the bounds
    allow; the first breach is a shortest one.
    """
    start = begun(parts, limits, begin)
    seen, edge, ends, events = {start.key(): None}, [(start, ())], {}, 0
    while edge:
        following = []
        for state, way in edge:
            for name, act in state.moves(bounds):
                made = state.copied()
                act(made)
                key = made.key()
                if key in seen:
                    continue
                seen[key] = None
                end = "under way" if made.register.staged is not None else str(made.register.active.version)
                ends[end] = ends.get(end, 0) + 1
                found = made.breach()
                if found is not None:
                    return Found(len(seen), events, ends, found, way + (name,))
                if len(seen) >= bounds.states:
                    return Found(len(seen), events, ends, None, ())
                following.append((made, way + (name,)))
        edge, events = following, events + 1
    return Found(len(seen), events, ends, None, ())
