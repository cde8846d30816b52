"""Plays the real decision module through schedules within stated bounds, and watches the rules.

Every delay that a deployment allows is a choice: ways of messages, late rounds, dials, what a node
does with an execution.  `search` goes through the choices in order, worst first, and then draws
some.  Small on purpose: a handful of operations, one matter at a time.  Times are whole ticks.
"""

import random
from collections import defaultdict
from heapq import heappop, heappush
from typing import NamedTuple, Optional

from rushmux.routes.bounds import Bounds
from rushmux.scheduling.interface import (
    AttemptReport,
    AttemptResult,
    Endpoint,
    EndpointState,
    Idempotency,
    OperationRequest,
    UpdateKind,
)
from rushmux.scheduling.scheduler import Scheduler

MOST_EVENTS = 20_000  # of one schedule: beyond it the play has run away
WORST = 0.7  # of the choices drawn are the worst: delays add up to a breach only together
SILENT, DONE, FAILED, TURNED_AWAY = range(4)


class Breach(NamedTuple):
    """A rule broken in a play, and what happened until then: (tick, what)."""

    rule: str
    text: str
    steps: tuple[tuple[int, str], ...]


class Choices:
    """One path through a tree of choices; `next` steps to the following path, None at the end."""

    def __init__(self, path=(), chance=None):
        self.path, self.met, self.chance = path, [], chance

    def of(self, options, even=False):
        """One of the options; the first is the worst, and drawn most often unless they are `even`."""
        if len(options) == 1:
            return options[0]
        place = len(self.met)
        if self.chance is not None:
            worst = not even and self.chance.random() < WORST
            pick = 0 if worst else self.chance.randrange(len(options))
        else:
            pick = self.path[place] if place < len(self.path) else 0
        self.met.append((pick, len(options)))
        return options[pick]

    def next(self) -> Optional["Choices"]:
        met = list(self.met)
        while met:
            pick, count = met.pop()
            if pick + 1 < count:
                return Choices(tuple(p for p, _ in met) + (pick + 1,))
        return None


class Place:
    """One gateway of a play: an Outbox whose rounds may be late."""

    def __init__(self, play, number):
        self.play, self.number, self.handled, self.awake, self.starts = play, number, 0, None, 0
        self.start()

    def start(self):
        """Starts, or starts anew with nothing remembered."""
        self.starts += 1
        self.out = defaultdict(dict)  # operation -> execution -> (node, sent)
        self.sent, self.over, self.orphans = defaultdict(int), {}, {}
        self.scheduler = Scheduler(
            self.play.bounds.settings,
            self.play.seed * 64 + self.number * 8 + self.starts,
            self.play.now,
            self,
        )

    def tell(self, at, call, *values):
        """Something reaches the gateway at `at`; the round that takes it in may be late."""
        start = self.starts

        def happen():
            if start == self.starts:
                call(*values)
                self.scheduler.run_round(self.play.now)

        def reach():
            self.handled = max(self.handled, self.play.now + self.play.choices.of(self.play.lates))
            self.play.at(self.handled, happen)

        self.play.at(at, reach)

    def listed(self, endpoints):
        self.scheduler.on_endpoints(self.play.now, UpdateKind.DELTA, endpoints)

    def taken(self, op, lane, plan, ends, units, cell, mounts):
        # Danger: a late round has used up a part of the client's time already.
        left = max(0, ends - self.play.now)
        self.play.note(f"gateway {self.number} takes {op}")
        self.play.takes[self.number].append(self.play.now)
        request = OperationRequest(op, lane, plan, "v" + plan, "", left, units, cell, mounts, False)
        self.scheduler.on_operation(self.play.now, request)

    def back(self, op, number, result):
        if number in self.out[op]:
            del self.out[op][number]
            ended = result == AttemptResult.SUCCEEDED and op not in self.over
            if ended:
                self.answer(op, "succeeded")
            report = AttemptReport(op, number, result, op in self.over, 2, 0.0)
            self.scheduler.on_attempt_result(self.play.now, report)

    def answer(self, op, how):
        self.over[op] = True
        self.play.answered(op, how)

    # What the module does.

    def start_attempt(self, op, node, timeout):
        play, now, number = self.play, self.play.now, self.sent[op]
        self.sent[op] += 1
        play.sends(self, op, number, node, len(self.out[op]))
        self.out[op][number] = node, now
        dial = play.choices.of(play.dials)
        dial = min(dial, timeout + play.bounds.settings.round_interval)
        self.tell(now + timeout, self.back, op, number, AttemptResult.TIMED_OUT)

        def connected():
            # What is given up while it waits for a connection is never sent.
            if number in self.out[op] or not dial:
                arrives = play.now + play.choices.of(play.ways)
                play.at(arrives, lambda: play.arrives(self, op, number, node, now))

        play.at(now + dial, connected)

    def shed(self, op, retry_after):
        self.answer(op, "shed")

    def fail(self, op):
        self.answer(op, "terminated")

    def cancel_attempt(self, op, attempt):
        self.tell(self.play.now, self.back, op, attempt, AttemptResult.CANCELLED)

    def poll_endpoints(self):
        """Lists come by themselves here."""

    def request_load_report(self, node):
        """Loads move rooms alone, which no rule of the proof rests on."""

    def wake_after(self, delay):
        self.tell(self.play.now + delay, lambda: None)


class Play:
    """One schedule over a deployment.  `acts`: what nodes may do with an execution, worst first; `way`:
    messages, rounds and connections may be late.
    """

    def __init__(self, bounds: Bounds, choices, acts=(SILENT,), gateways=1, seed=1, way=True):
        self.bounds, self.choices, self.acts, self.seed = bounds, choices, acts, seed
        self.now, self.number, self.heap = 10, 0, []
        self.steps, self.breach = [], None
        both = lambda value: (value, 0) if value else (0,)  # noqa: E731
        self.ways, self.dials, self.lates = (0,), (0,), (0,)
        if way:
            self.ways, self.dials, self.lates = (
                both(bounds.network_delay),
                both(bounds.dial_timeout),
                both(bounds.settings.round_interval),
            )
        self.ops, self.answers, self.first, self.extras = {}, {}, {}, defaultdict(list)
        self.takes = defaultdict(list)
        self.told, self.nodes, self.arrived, self.store = {}, {}, [], {}
        self.busy_until = 0
        self.places = [Place(self, number) for number in range(gateways)]

    def note(self, what):
        self.steps.append((self.now, what))

    def at(self, when, call):
        self.number += 1
        heappush(self.heap, (max(when, self.now), self.number, call))

    def broke(self, rule, text):
        if self.breach is None:
            self.note(text)
            self.breach = Breach(rule, text, tuple(self.steps))

    def run(self, until) -> Breach | None:
        """Plays until a tick or a breach; at the end each operation must have been answered."""
        count = 0
        while self.heap and self.heap[0][0] <= until and self.breach is None:
            self.now, _, call = heappop(self.heap)
            call()
            count += 1
            if count > MOST_EVENTS:
                raise RuntimeError("the play has run away")
        for op, (sent, lane, _) in self.ops.items():
            if op not in self.answers and sent + lane.deadline <= until:
                self.broke("no operation lost", f"{op} has no answer")
        return self.breach

    # What happens to the gateways.

    def list(self, entries, places=None):
        """Each node's entry reaches the gateways at once."""
        for entry in entries:
            self.nodes[entry.node] = entry
        for place in self.places if places is None else places:
            for entry in entries:
                if entry.state != EndpointState.READY:
                    self.told[place.number, entry.node] = self.now
                else:
                    self.told.pop((place.number, entry.node), None)
            place.tell(self.now, place.listed, entries)

    def take(self, place, op, lane, plan, units, cell, mounts=1):
        """A client sends an operation now."""
        lane = self.bounds.settings.request_classes[lane]
        self.ops[op] = self.now, lane, units
        self.note(f"a client sends {op}")
        # Danger: the gateway counts from what reaches it, and the client from its send.
        arrives = self.now + self.choices.of(self.ways)
        place.tell(arrives, place.taken, op, lane.name, plan, arrives + lane.deadline, units, cell, mounts)

    def answered(self, op, how):
        sent, lane, _ = self.ops[op]
        if op in self.answers:
            self.broke("no operation lost", f"{op} is answered twice")
        self.answers[op] = how
        arrives = self.now + self.choices.of(self.ways)
        self.note(f"{op} {how}; its client knows at {arrives / 10:g} ms")
        if arrives > sent + lane.deadline:
            self.broke(
                "no operation lost",
                f"{op} is answered {(arrives - sent) / 10:g} ms after its send, of {lane.deadline / 10:g}",
            )

    # What the gateways send, and where it arrives.

    def sends(self, place, op, number, node, out):
        settings = self.bounds.settings
        self.note(f"gateway {place.number} sends {op} execution {number} to {node}")
        if op in place.over:
            self.broke("no operation lost", f"{op} is sent after its answer")
        if out and not settings.allows_hedging:
            self.broke("no effect twice", f"{op} has two executions out")
        if number and settings.retry_budget_ratio is not None:
            times = self.extras[place.number]
            times.append(self.now)
            since = self.now - settings.retry_budget_window
            extras = sum(at > since for at in times)
            taken = sum(at > since for at in self.takes[place.number])
            if extras > settings.retry_budget_burst + settings.retry_budget_ratio * taken:
                self.broke("budgets kept", f"{extras} further executions for {taken} operations taken")
        if not number:
            plan = next(iter(settings.plans.values()))
            if plan.limit:
                level, at = self.store.get(plan.name, (plan.burst, self.now))
                level = min(plan.burst, level + plan.limit * (self.now - at) / 10_000) - self.ops[op][2]
                self.store[plan.name] = level, self.now
                if level < -plan.slack - 1e-6:
                    self.broke(
                        "limits kept", f"the limit is passed by {-level:g} units, {plan.slack:g} are allowed"
                    )

    def arrives(self, place, op, number, node, sent):
        _, lane, units = self.ops[op]
        self.note(f"{op} execution {number} arrives at {node}")
        told = self.told.get((place.number, node))
        if told is not None and self.now - told > self.bounds.drain_grace:
            self.broke("drains kept", f"{op} arrives {(self.now - told) / 10:g} ms after the drain was told")
        if self.nodes[node].online_since:
            self.cold(units)
        act = self.choices.of(self.acts)
        if op in self.first and lane.idempotency != Idempotency.IDEMPOTENT:
            maybe, where = self.first[op]
            if lane.idempotency == Idempotency.NOT_IDEMPOTENT:
                self.broke("no effect twice", f"{op} may run twice")
            elif self.now - maybe > lane.dedup_window:
                self.broke(
                    "no effect twice",
                    f"{op} arrives {(self.now - maybe) / 10:g} ms after the first "
                    f"was "
                    f"sent, its mark is known for {lane.dedup_window / 10:g}",
                )
            elif lane.dedup_scope == "cell" and self.nodes[node].cell != self.nodes[where].cell:
                self.broke("no effect twice", f"{op} arrives in another cell")
        if act != TURNED_AWAY:
            self.first.setdefault(op, (sent, node))
        if act == DONE:
            self.busy_until = max(self.busy_until, self.now) + self.work(node, units)
            place.tell(
                self.busy_until + self.choices.of(self.ways), place.back, op, number, AttemptResult.SUCCEEDED
            )
        elif act != SILENT:
            place.tell(
                self.now + self.choices.of(self.ways),
                place.back,
                op,
                number,
                AttemptResult.FAILED if act == FAILED else AttemptResult.REJECTED,
            )

    def work(self, node, units):
        """Ticks of a just-started node for so many units."""
        if not self.nodes[node].online_since:
            return 0
        return int(units * self.bounds.overload_window / self.bounds.served_units)

    def cold(self, units):
        span = self.bounds.overload_window
        self.arrived.append((self.now, units))
        total = sum(sent for at, sent in self.arrived if at > self.now - span)
        if total > self.bounds.overload_units:
            self.broke(
                "no cold node pushed over",
                f"{total:g} units within {span / 10:g} ms, {self.bounds.overload_units:g} push it over",
            )


# One story for each matter: it sets a play going and says until when.


def late(play, lane, plan):
    """One operation of a lane, and another that follows it."""
    place = play.places[0]
    play.list([Endpoint(f"n{cell}", cell, "z", EndpointState.READY, 0) for cell in range(3)])
    cell = -1 if play.bounds.settings.request_classes[lane].idempotency == Idempotency.IDEMPOTENT else 0
    play.at(40_000, lambda: play.take(place, "a", lane, plan, 1.0, cell))
    play.at(40_001, lambda: play.take(place, "b", lane, plan, 1.0, cell))
    return 40_000 + 3 * play.bounds.settings.request_classes[lane].deadline + 100_000


def drained(play, lane, plan):
    """An operation is taken while its node's drain is being told."""
    place = play.places[0]
    play.list([Endpoint("n0", 0, "z", EndpointState.READY, 0)])
    play.at(40_000, lambda: play.list([Endpoint("n0", 0, "z", EndpointState.DRAINING, 0)]))
    for number, before in enumerate((play.bounds.network_delay, 0)):
        play.at(40_000 - before, lambda number=number: play.take(place, f"d{number}", lane, plan, 1.0, 0))
    return 200_000


def held_back(play, lane, plan):
    """An operation's node is away after its first execution and back just before the repeat is too late."""
    row, tick, way = (
        play.bounds.settings.request_classes[lane],
        play.bounds.settings.round_interval,
        play.bounds.network_delay,
    )
    node = Endpoint("n0", 0, "z", EndpointState.READY, 0)
    play.list([node])
    play.at(40_000, lambda: play.take(play.places[0], "a", lane, plan, 1.0, 0))
    play.at(40_001 + way + tick, lambda: play.list([node._replace(state=EndpointState.DRAINING)]))
    taken = 40_000 + way + tick
    last = play.choices.of(
        (row.latency_objective - 1, row.dedup_window - tick - 1, row.dedup_window - 1), even=True
    )
    play.at(taken + last - play.choices.of((tick, 0)), lambda: play.list([node]))
    return 40_000 + 2 * row.deadline


def started(play, lane, plan):
    """All gateways have largest and small operations for a node that has just started, and go on so."""
    settings, began = play.bounds.settings, 2 * play.bounds.settings.slow_start_window
    entries = [Endpoint("n0", 0, "z", EndpointState.READY, began)]
    # What each wants besides: the part of all cells that the bounds state.
    cells = max(1, round(1 / play.bounds.contended_cells))
    entries += [Endpoint(f"n{cell}", cell, "z", EndpointState.READY, 0) for cell in range(1, cells)]
    play.at(began, lambda: play.list(entries))
    chance, count = random.Random(play.seed), 0
    for step in range(4):
        for place in play.places:
            when = (
                began
                + step * settings.slow_start_window // 2
                + chance.randrange(settings.slow_start_window // 4)
                + 1
            )
            for units in (1.0,) * chance.randrange(3) + (settings.max_units,):
                count += 1
                play.at(
                    when,
                    lambda place=place, count=count, units=units: play.take(
                        place, f"c{count}", lane, plan, units, 0
                    ),
                )
    return began + 3 * settings.slow_start_window


def forgotten(play, lane, plan):
    """All gateways use up their parts of a limit and start anew, as often as the bounds allow."""
    settings, count = play.bounds.settings, 0
    mounts = settings.gateway_count
    ready = [Endpoint("n0", 0, "z", EndpointState.READY, 0)]
    size = 1.0
    many = int(settings.plans[plan].burst / mounts / size) + 2
    full = int(settings.plans[plan].burst / settings.plans[plan].limit * 10_000) + 10_000
    play.list(ready)

    def wave(number):
        nonlocal count
        for place in play.places:
            if number:
                place.start()
                play.list(ready, [place])
            for _ in range(many):
                count += 1
                play.take(place, f"l{count}", lane, plan, size, 0, mounts)

    for number in range(play.bounds.restarts + 1):
        play.at(full + 100 * number, lambda number=number: wave(number))
    return full + 100 * (play.bounds.restarts + 1)


def search(bounds: Bounds, story, lane, plan, acts, most=300, seed=1, gateways=1, way=True) -> Breach | None:
    """The first breach found in `most` schedules, half of them in order and half drawn; None: none."""
    choices, chance = Choices(), random.Random(seed)
    for number in range(most):
        if choices is None or number >= most // 2:
            choices = Choices(chance=random.Random(chance.getrandbits(32)))
        play = Play(bounds, choices, acts, gateways, seed * 1_000 + number, way)
        until = story(play, lane, plan)
        breach = play.run(until)
        if breach is not None:
            return breach
        choices = choices.next() if choices.chance is None else choices
    return None
