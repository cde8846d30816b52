"""The core of every front: drives the decision module and carries out what it decides.

It decides nothing and knows no wire.  Events are collected while the loop turns, and each round is
closed by `act`, no sooner than the terms' tick after the last.  Ticks are whole tenths of a millisecond
of the loop's clock.  A front derives from `Core`, takes operations by `take`, and gives `carry`.
"""

import asyncio

from rushmux import interface as say
from rushmux.rules import MAY_STILL_RUN, NEVER_RAN, Gateway

SECOND = 10_000  # ticks in a second
SHED, TERMINATED = "shed", "terminated"
STOOD_STILL = 0.001  # seconds that a timer is late when this process was not running
NEVER = float("inf")  # the loop's time that never comes
READ_FIRST = 0.002  # seconds until a late time-out is judged: the sockets are read in between


class Taken:
    """An operation between being taken and its last execution's return."""

    __slots__ = ("answer", "backstop", "ended", "ends", "facts", "flying", "maybe_at", "sent", "work")

    def __init__(self, work, facts, ends, answer):
        self.work, self.facts, self.ends, self.answer = work, facts, ends, answer
        self.ended, self.sent, self.flying, self.backstop = False, 0, {}, None
        self.maybe_at = None  # when the first execution was decided that may have run


class Core:
    """The module and what it acts upon, for one start of a gateway."""

    def __init__(self, terms: say.Terms, seed: int, log, decisions=Gateway):
        self.terms, self.log = terms, log
        self.loop = asyncio.get_running_loop()
        self.taken, self.inbox, self.scheduled, self.round_at = {}, [], False, 0.0
        self.timer = None
        self.gateway = decisions(terms, seed, self.now(), self)

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    # What a front gives.

    def carry(self, op_id, number, node, taken, time_out, latest):
        """Puts an execution on the way and calls `came` once, later.  It may wait for a connection, but
        its first byte is written before the loop's time `latest` or never.  What it returns tells whether
        it has `begun`, and may be told to `drop` it, when nobody waits any more, or to `withdraw` it;
        None: there is nothing to tell.
        """
        raise NotImplementedError

    # What happens: each is put down for the round, since the module must not be called from within.

    def event(self, call, *values):
        self.inbox.append((call, values))
        if not self.scheduled:
            self.scheduled = True
            wait = self.round_at + self.terms.tick / SECOND - self.loop.time()
            if wait > 0:
                self.loop.call_later(wait, self.round)
            else:
                self.loop.call_soon(self.round)

    def round(self):
        self.scheduled, self.round_at, now = False, self.loop.time(), self.now()
        inbox, self.inbox = self.inbox, []
        for call, values in inbox:
            call(now, *values)
        self.guarded(None, self.gateway.act, now)

    def guarded(self, op_id, call, *values):
        """A fault of the module is logged and costs one operation, not the gateway."""
        try:
            call(*values)
        except Exception:  # pylint: disable=broad-except
            self.log.exception("module.fault", op=op_id)
            if op_id is not None:
                self.break_off(op_id)

    def listed(self, kind, entries):
        self.event(lambda now: self.guarded(None, self.gateway.listed, now, kind, entries))

    def take(self, op_id, work, ends, answer, lane, plan, volume, key, units, cell, mounts, again=False):
        """Takes an operation that ends by the loop's time `ends`; `answer(result, value, come_back)` is
        called once, with SUCCEEDED, SHED or TERMINATED.
        """
        taken = self.taken[op_id] = Taken(
            work, (lane, plan, volume, key, units, cell, mounts, again), ends, answer
        )
        latest = self.loop.time() + (self.terms.lanes[lane].hard_stop + self.terms.tick) / SECOND
        taken.backstop = self.loop.call_at(min(latest, ends), self.overrun, op_id)
        # Danger: while the process stood still, a client asked and left; the round would come before the
        # loop sees that.  It looks at the sockets between the two.
        self.loop.call_soon(self.loop.call_soon, self.event, self.tell_taken, op_id)

    def tell_taken(self, now, op_id):
        taken = self.taken.get(op_id)
        if taken is None or taken.ended:  # its client left before the round began
            return
        lane, plan, volume, key, units, cell, mounts, again = taken.facts
        # Danger: a late round has used up a part of the client's time already.
        left = max(0, min(self.terms.lanes[lane].hard_stop, int(taken.ends * SECOND) - now))
        self.guarded(
            op_id, self.gateway.taken, now, op_id, lane, plan, volume, key, left, units, cell, mounts, again
        )

    def leave(self, op_id):
        """The client went away: nobody is owed an answer."""
        taken = self.taken.get(op_id)
        if taken is not None:
            taken.ended = True
            self.call_off(op_id, taken)
            self.event(self.tell_left, op_id)

    def call_off(self, op_id, taken):
        """Nobody waits for the operation any more: of its executions those that wait for a connection
        never begin.

        Danger: they would be sent when the connection comes, for a client that has gone or that was
        answered already.
        """
        for number, (_, _, _, sent) in taken.flying.items():
            if sent is not None and not sent.begun:
                sent.drop()
                self.came(op_id, number, say.MOOT)

    def tell_left(self, now, op_id):
        if op_id in self.taken:
            self.guarded(op_id, self.gateway.left, now, op_id)
            self.over(op_id)

    def overrun(self, op_id):
        """The module's answer did not come before the hard stop: it gets one all the same."""
        if not self.taken[op_id].ended:
            self.log.error("module.overrun", op=op_id)
            self.break_off(op_id)

    def break_off(self, op_id):
        """Terminates an operation without the module.

        Danger: the module still holds it and would send it.  Its row stays until the module was told.
        """
        taken = self.taken.get(op_id)
        if taken is not None and not taken.ended:
            taken.ended = True
            taken.answer(TERMINATED, None, 0)
            self.call_off(op_id, taken)
            self.event(self.tell_left, op_id)

    def came(self, op_id, number, result, outcome=None, fleet_use=0, from_others=0.0):
        """How an execution came back."""
        self.event(self.tell_answered, op_id, number, result, outcome, fleet_use, from_others)

    def time_over(self, op_id, number, due):
        # Danger: this process stood still, and the answer waits in its socket.  A healthy node would be
        # blamed for a pause of our own.
        if self.loop.time() - due > STOOD_STILL:
            self.loop.call_later(READ_FIRST, self.came, op_id, number, say.OVERDUE)
        else:
            self.came(op_id, number, say.OVERDUE)

    def tell_answered(self, now, op_id, number, result, outcome, fleet_use, from_others):
        taken = self.taken.get(op_id)
        if taken is None or number not in taken.flying:
            return  # it had come back before, as overdue
        node, timer, at, sent = taken.flying.pop(number)
        if timer is not None:
            timer.cancel()
        if sent is not None:
            if result in MAY_STILL_RUN and not sent.begun:  # no byte of it was written: it never ran
                result = say.MOOT if result == say.WITHDRAWN else say.UNREACHED
            sent.drop()
        if result not in NEVER_RAN and result != say.SUCCEEDED:
            taken.maybe_at = at if taken.maybe_at is None else min(at, taken.maybe_at)
        if result == say.SUCCEEDED and not taken.ended:
            taken.ended = True
            taken.answer(say.SUCCEEDED, self.value(op_id, node, outcome), 0)
            self.call_off(op_id, taken)
        self.log.debug("execution.back", op=op_id, execution=number, node=node, result=result)
        self.guarded(
            op_id, self.gateway.answered, now, op_id, number, result, taken.ended, fleet_use, from_others
        )
        self.over(op_id)

    def value(self, op_id, node, outcome):
        """What the answer of a succeeded operation holds."""
        return outcome

    def over(self, op_id):
        taken = self.taken.get(op_id)
        if taken is not None and taken.ended and not taken.flying:
            taken.backstop.cancel()
            del self.taken[op_id]

    # What the module decides (`rushmux.interface.Outbox`).

    def execute(self, op_id, node, time_out):
        taken = self.taken[op_id]
        number, taken.sent = taken.sent, taken.sent + 1
        # Danger: nothing may be sent for an operation that was answered, whatever the module says.
        if taken.ended:
            taken.flying[number] = node, None, self.now(), None
            self.loop.call_soon(self.came, op_id, number, say.MOOT)
            return
        due = self.loop.time() + time_out / SECOND
        timer = self.loop.call_at(due, self.time_over, op_id, number, due)
        latest = min(due, self.latest_start(taken))
        taken.flying[number] = (
            node,
            timer,
            self.now(),
            self.carry(op_id, number, node, taken, time_out, latest),
        )

    def latest_start(self, taken):
        """The loop's time before which an execution has to begin by the terms.

        Danger: the module decides on a repeat of a referenced operation within the window in which nodes
        know it again; sent when a connection comes at last, past the window, it has its effect twice.
        """
        lane = self.terms.lanes[taken.facts[0]]
        first = min((at for _, _, at, _ in taken.flying.values()), default=None)
        if taken.maybe_at is not None:
            first = taken.maybe_at
        if first is None or lane.repeat != say.REFERENCED:
            return NEVER
        return (first + lane.window - self.terms.tick) / SECOND

    def withdraw(self, op_id, execution):
        _, _, _, sent = self.taken[op_id].flying[execution]
        if sent is not None:
            sent.withdraw()
        # Danger: the module must not be called from within; its answer comes with the next round.
        self.came(op_id, execution, say.WITHDRAWN)

    def shed(self, op_id, come_back):
        self.end(op_id, SHED, come_back)

    def terminate(self, op_id):
        self.end(op_id, TERMINATED, 0)

    def end(self, op_id, result, come_back):
        taken = self.taken.get(op_id)
        if taken is not None and not taken.ended:
            taken.ended = True
            taken.answer(result, None, come_back)
            self.call_off(op_id, taken)
            self.over(op_id)

    def wake(self, after):
        if self.timer is not None:
            self.timer.cancel()  # the module asks anew only for an earlier time
        self.timer = self.loop.call_later(after / SECOND, self.event, self.woken)

    def woken(self, now):
        """A wake has no words: `act` closes the round."""

    def watch(self):
        """Changes of the list come by themselves."""

    def probe(self, node):
        """Asks a node for its load; a front that can't tells so in the next round."""
        self.event(lambda now: self.guarded(None, self.gateway.reported, node, say.UNREACHED, None, None))
