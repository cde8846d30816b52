"""The decisions of one rushmux gateway.

Build a `Gateway` at each start, call it with what happens (`rushmux/interface.py` lists the
calls, `Decisions`, and the answers, `Outbox`), and close each round of events with `act`.
Times are whole tenths of a millisecond.  An operation passes the stages KeyOrder, Placing,
Pacing and Sending; what comes back of an execution runs through them the other way.
The mechanism is Zygaria's (docs/design.md): a reserve bucket sets deadlines, a limit bucket
release times, passed deadlines go first, slack goes to the lowest weighted average.
"""
from bisect import insort
from collections import deque
from heapq import heappop, heappush

from rushmux import interface as say

# Constants: value, unit, and the reason for the size.
SECOND = 10_000          # ticks (0.1 ms) in the second that plans are stated by
DEPTH_CAP = 10           # executions out at a node: the bound of the design
QUARTER = 2_500          # ticks: width of a bin of the moving average, from the design
QUARTERS = 20            # bins: five seconds, from the design
DECAY = 0.9              # weight of a bin against the next younger one, from the design
FIRST_DEPTH = 1          # executions: hundreds of gateways may start with a node at once
LEAST_DEPTH = 0.05       # executions: below one, pauses after answers make up the rest
DUE_FACTOR = 3           # room for passed deadlines against room for slack: reserves are what is owed
BATCH_EXTRA = 3          # executions past the room for one piece of data: in a row they are cheap
WAIT_BASE = 0.1          # of the quoted time: an answer within this never shrinks the room
WAIT_SIZE = 0.1          # of the quoted time for each mean operation in it: large ones take longer
GROWTH = 1               # executions of a volume's gateways together, for each full room of early answers
SHRINK = 0.7             # factor on the room at a late answer: two of them halve it
BIN = 250                # ticks: first bin of the histogram of answer times; each next is twice as wide
BINS = 8                 # bins: the last one begins at 1.6 s, beyond any use
HALVE_AT = 32            # answers in a histogram before it is halved: some seconds of memory
COLD_CREDIT = 0.5        # of what the rule leaves above a cold node's capacity, for what it has answered
PATIENCE = 10            # median answer times, by size, until an execution is held for lost
REST = 500               # ticks: first rest of a node that turns away or cannot be reached
ALLOWED_FAILURES = 2     # in a row before a node rests: chance losses are not a silent node
REST_DOUBLINGS = 5       # doublings of the rest: at most 1.6 s, so that a return is found soon
BAD_WEIGHT = 8           # executions that a node failing everything counts as more in the pick
SAME_END = 50            # ticks: how far a retry's hard stop may be from its first try's, for jitter
ASK_AGAIN = 0.1          # of the time within which the list must be asked: for a lost or failed ask

NEVER_RAN = (say.FULL, say.UNREACHED, say.MOOT)
MAY_BE_SILENT = (say.UNREACHED, say.OVERDUE, say.SEVERED)
MAY_STILL_RUN = (say.OVERDUE, say.SEVERED, say.WITHDRAWN)
NEVER = 1 << 62          # ticks: later than any time


class Chance:
    """A linear congruential generator; the high bits are used."""

    def __init__(self, seed):
        self.state = seed & (2 ** 64 - 1)

    def below(self, bound):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2 ** 64
        return (self.state >> 33) * bound >> 31


class Operation:
    """An operation that this gateway has taken and not forgotten."""

    def __init__(self, op_id, lane, volume, key, units, named, now, quoted_at, stop_at):
        self.op_id, self.lane, self.volume, self.key, self.units = op_id, lane, volume, key, units
        self.named = named               # the cell that holds its data; negative: a new object
        self.taken_at, self.quoted_at, self.stop_at = now, quoted_at, stop_at
        self.cell = None
        self.node, self.sends = None, 0  # where an execution is out: never more than one at a time
        self.maybe_at = self.maybe_node = None   # when and where the first left that may have run
        self.over = self.held = False


class Volume:
    """Both buckets and the moving average of a volume, as this gateway sees it."""

    def __init__(self, name, plan, mounts, terms, began, now):
        self.name, self.plan, self.mounts, self.at = name, plan, mounts, now
        # First fill: a volume not seen for long is owed a full bucket, and most are that at a start.
        self.reserve = self.reserve_cap = plan.reserve + terms.most_units
        self.rate, self.limit_cap = plan.limit / mounts, plan.burst / mounts
        # Danger: a gateway that came back has forgotten what its share of the limit had used.  It
        # cannot tell this from a first start, so the share fills from the start of the gateway,
        # beginning with its part of the slack.  Harm: a volume's first burst may wait a moment.
        self.limit = min(self.limit_cap, plan.slack / mounts + self.rate * (now - began) / SECOND)
        self.bins, self.sum, self.quarter = [0.0] * QUARTERS, 0.0, now // QUARTER
        self.metered_at = now

    def advance(self, now):
        span, self.at = (now - self.at) / SECOND, now
        self.reserve = min(self.reserve_cap, self.reserve + self.plan.reserve * span)
        self.limit = min(self.limit_cap, self.limit + self.rate * span)
        for quarter in range(max(self.quarter, now // QUARTER - QUARTERS) + 1, now // QUARTER + 1):
            place = quarter % QUARTERS
            self.sum = (self.sum - self.bins[place] * DECAY ** (QUARTERS - 1)) * DECAY
            self.bins[place] = 0.0
        self.quarter = now // QUARTER

    def deadline(self, units, now):
        """When the reserve bucket has, or will have, the units."""
        rate = self.plan.reserve
        return now - int((self.reserve - units) / rate * SECOND) if rate > 0 else NEVER

    def release(self, units, now):
        """When the limit bucket has the units."""
        waits = self.plan.limit > 0 and self.limit < units
        return now + 1 + int((units - self.limit) / self.rate * SECOND) if waits else now

    def debit(self, units):
        """Negative units give back.  The debt is a second's fill at most: reserves are owed by the second."""
        self.reserve = min(self.reserve_cap, max(self.reserve - units, -self.plan.reserve))

    def charge(self, units):
        self.debit(units)
        units = max(units, -self.bins[self.quarter % QUARTERS])
        self.bins[self.quarter % QUARTERS] += units
        self.sum += units


class Node:
    """A node as the list shows it and as this gateway's own executions found it."""

    def __init__(self, entry):
        self.entry = entry
        self.out = {}                    # operation -> time sent, oldest first
        self.depth = FIRST_DEPTH
        self.answers = [0] * (BINS + 1)  # histogram of answer times; the last place counts failures
        self.failures, self.rest_until = 0, 0   # failures in a row
        self.arrivals = deque()          # (time, units) sent within the cold span
        self.shrunk_at = self.open_at = self.due_at = self.answered_at = 0

    def typical(self):
        """Upper edge of the bin with the median answer time."""
        seen, half = 0, sum(self.answers[:BINS]) / 2
        for place, count in enumerate(self.answers[:BINS]):
            seen += count
            if seen >= half > 0:
                return BIN << place
        return 0

    def count(self, place):
        self.answers[place] += 1
        if sum(self.answers) >= HALVE_AT:
            self.answers = [count // 2 for count in self.answers]

    def burden(self, cell):
        """What speaks against it in the pick: all that this gateway has there, and failures."""
        held = sum(map(len, cell.queues.values()))
        failing = self.answers[BINS] / (sum(self.answers) + 1)
        return (len(self.out) + held + 1 + BAD_WEIGHT * failing) / self.depth

    def prune(self, until):
        while self.arrivals and self.arrivals[0][0] <= until:
            self.arrivals.popleft()

    def allowance(self, terms, began, now):
        """Units that may still go to a cold node within its span; NEVER once it is warm.

        Danger: all gateways together push a cold node over.  Each keeps to an even part of what
        such a node always bears, grown by the least that it has warmed since, and part of what it
        had answered within the span, since it has shown that it can do that much.  A gateway that
        came back has forgotten what it sent, so it waits one span.  Harm: a slow return.
        """
        age = now - self.entry.online_since
        if not self.entry.online_since or age >= terms.warm_within:
            return NEVER
        if now - began < terms.cold_span:
            return 0
        self.prune(now - terms.cold_span)
        warmed = 1 + (1 / terms.cold_start - 1) * max(0, age - terms.cold_span) / terms.warm_within
        return terms.cold_units * warmed / terms.gateways - sum(units for _, units in self.arrivals)


class Cell:
    """The nodes that hold one shard of data, and what is held for them, by volume."""

    def __init__(self):
        self.nodes = {}
        self.queues = {}                 # volume -> its held operations in turn
        self.try_at = NEVER              # when something held may go though nothing happens

    def open_node(self):
        ready = (node for node in self.nodes.values() if node.entry.condition == say.READY)
        return min(ready, key=lambda node: len(node.out), default=None)


class Stage:
    """A link of the chain.  `accept` says whether the operation goes on (else it is kept or ended);
    `back` sees what came back of it, on the way out."""

    def __init__(self, gateway):
        self.gateway, self.terms, self.out = gateway, gateway.terms, gateway.out

    def back(self, op, node, result, now):
        pass


class KeyOrder(Stage):
    """Operations of lanes in order go one at a time for a key, in the order they were taken."""

    def __init__(self, gateway):
        super().__init__(gateway)
        self.lines = {}                  # key -> operations in the order taken
        self.rests = {}                  # key -> until when it rests

    def accept(self, op, now):
        if not (op.lane.in_order and op.key):
            return True
        line = self.lines.setdefault(op.key, deque())
        if op not in line:
            line.append(op)
        rested = self.rests.get(op.key, 0) <= now
        if line[0] is op and not rested:
            self.gateway.later(self.rests[op.key], op)
        return line[0] is op and rested

    def back(self, op, node, result, now):
        """Also called with no result when an operation is over and nothing of it is out."""
        line = self.lines.get(op.key, ()) if op.lane.in_order else ()
        if result in MAY_STILL_RUN:
            self.rests[op.key] = now + self.terms.order_rest + 1
        if op.over and not op.node and op in line:
            had_turn = line[0] is op
            line.remove(op)
            if not line:
                del self.lines[op.key]
            elif had_turn:
                self.gateway.forward(line[0], now)


class Placing(Stage):
    """Finds the cell: the named one, or for a new object the better of two drawn."""

    def accept(self, op, now):
        if op.cell is None or op.maybe_at is None or op.lane.repeat == say.REPLAYABLE:
            op.cell = self.gateway.cell(op.named) if op.named >= 0 else self.pick(op.units, now)
        return True

    def pick(self, units, now):
        # Exception to the plain draw: nodes that rest, are cold or keep answers back are left out
        # while others are open.  Danger: new objects, and the reads that follow them, lost to a
        # node that is silent or failing.  Harm: should most nodes rest, the few left get all.
        gateway = self.gateway
        ready = [(cell, node) for cell in gateway.cells.values() if (node := cell.open_node())]
        if not ready:
            return gateway.cell(-1)
        fit = [pair for pair in ready if gateway.fit(*pair, units, now)] or ready
        first, second = (fit[gateway.chance.below(len(fit))] for _ in range(2))
        return min(first, second, key=lambda pair: pair[1].burden(pair[0]))[0]


class Pacing(Stage):
    """Holds operations by cell and volume and lets them go as both buckets and the average say."""

    def accept(self, op, now):
        queue = op.cell.queues.setdefault(op.volume, [])
        # Of one volume's operations the lane of the most utility goes first, then the first taken.
        insort(queue, op, key=lambda held: (-held.lane.utility, held.taken_at))
        op.held = True
        self.gateway.dirty[op.cell] = True
        return False

    def remove(self, op):
        queue = op.cell.queues[op.volume]
        queue.remove(op)
        if not queue:
            del op.cell.queues[op.volume]
        op.held = False

    def free_at(self, op, node, now):
        """When to look whether the limit bucket and a cold node's allowance let it go."""
        if op.units > node.allowance(self.terms, self.gateway.began, now):
            return now + REST
        return now if op.sends else op.volume.release(op.units, now)

    def choose(self, cell, node, now):
        """The operation to go next to this node, or None; sets when to look again."""
        room = len(node.out) < max(1, int(node.depth))
        if len(node.out) >= min(DEPTH_CAP, max(1, int(DUE_FACTOR * node.depth))):
            return None
        if node.rest_until > now:
            cell.try_at = min(cell.try_at, node.rest_until)
            return None
        if node.open_at > now:
            cell.try_at = min(cell.try_at, node.open_at)
            room = False
            if node.due_at > now:
                return None
        typical = node.typical() if node.out else 0
        due, due_at, slack, lowest = None, NEVER, None, NEVER
        for volume, queue in list(cell.queues.items()):
            while queue and queue[0].quoted_at < now + typical and queue[0].taken_at < now:
                # Danger: in a backlog only the oldest would leave, each just too late.
                self.gateway.finish(queue[0], now)
            if not queue:
                continue
            op = queue[0]
            volume.advance(now)
            free_at = self.free_at(op, node, now)
            if free_at > now:
                cell.try_at = min(cell.try_at, free_at)
                continue
            deadline = max(op.taken_at, volume.deadline(op.units, now))
            if deadline <= now < op.quoted_at and deadline < due_at:
                due, due_at = op, deadline
            if op.quoted_at <= now and (node.out or len(cell.queues) > 1):
                # Danger: clients' retries, late already, take the place of answers still in time.
                self.gateway.finish(op, now)
            elif room and volume.sum / volume.plan.weight < lowest:
                slack, lowest = op, volume.sum / volume.plan.weight
        return due or slack

    def back(self, op, node, result, now):
        # Danger: fast errors charge as if served, and a failing volume looks fed.
        if result != say.SUCCEEDED:
            op.volume.charge(-op.units)

    def told(self, volume, fleet_use, from_others, now):
        """Debits what other gateways had served, as the answer's meter tells it."""
        volume.advance(now)
        volume.debit(from_others)
        if fleet_use and self.terms.meter_span and now - volume.metered_at >= self.terms.meter_span:
            volume.metered_at = now
            total = (fleet_use - 1) / 100 * volume.plan.nominal
            own = sum(volume.bins) * SECOND / (QUARTER * QUARTERS)
            volume.debit(max(0.0, total - own) * self.terms.meter_span / SECOND)


class Sending(Stage):
    """Sends what is let go, under the rules for sending, and judges the node by what comes back."""

    def may_run_again(self, op, node, now):
        if op.sends >= self.terms.executions or not self.gateway.budget_left(now):
            return False
        if op.maybe_at is None or op.lane.repeat == say.REPLAYABLE:
            return True
        if op.lane.repeat == say.SINGLE_USE or now - op.maybe_at >= op.lane.window - self.terms.tick:
            return False
        same, entry = op.maybe_node.entry, node.entry
        return (op.lane.group == "all" or op.lane.group == "zone" and same.zone == entry.zone
                or op.lane.group == "cell" and same.cell == entry.cell)

    def send(self, op, node, now):
        if op.sends:
            if not self.may_run_again(op, node, now):
                return self.gateway.finish(op, now)
            self.gateway.extras.append(now)
        self.gateway.pacing.remove(op)
        op.volume.charge(op.units)
        if not op.sends:
            op.volume.limit -= op.units
        op.node, node.out[op] = node, now
        node.arrivals.append((now, op.units))
        node.prune(now - self.terms.cold_span)
        op.sends += 1
        # Danger: executions lost on the way, while the node answers others, fill the room and use up
        # the quoted time.  Also guards against a node that hangs.  Harm: a jam of many answer times
        # is taken for a loss, and what was done for it is wasted.
        patience = (node.typical() or op.lane.quoted_time) * max(1, op.units / self.terms.mean_units)
        self.out.execute(op.op_id, node.entry.node, min(op.stop_at - now, int(PATIENCE * patience)))

    def back(self, op, node, result, now):
        sent = node.out.pop(op)
        latency = now - sent
        if result not in NEVER_RAN and result != say.SUCCEEDED and op.maybe_at is None:
            op.maybe_at, op.maybe_node = sent, node
        good = result == say.SUCCEEDED
        node.count(min(BINS - 1, (latency // BIN).bit_length()) if good else BINS)
        if good:
            node.failures, node.answered_at = 0, now
            node.arrivals.append((now, -COLD_CREDIT * (self.terms.fall_multiple - 1) * op.units))
            self.judge(op, node, latency, now)
        elif result == say.FULL or result in MAY_BE_SILENT and node.answered_at <= sent:
            # Danger: a node that is silent, gone, cut off or full swallows what is sent to it until
            # the list says so.  One that has answered since only lost this execution, and goes on.
            # Harm: after a short cut the first operations wait out the rest.
            node.failures += 1
            if result == say.FULL or node.failures > ALLOWED_FAILURES:
                node.depth = LEAST_DEPTH
                node.rest_until = now + (REST << min(node.failures, REST_DOUBLINGS))

    def judge(self, op, node, latency, now):
        """Danger: ten out from each of several gateways outlast a quoted time.  The room for slack
        follows the answer times: late answers shrink it, early ones let it grow to the bound."""
        size = op.units / self.terms.mean_units
        if latency > op.lane.quoted_time * (WAIT_BASE + WAIT_SIZE * size):
            if now - latency >= node.shrunk_at:
                node.depth, node.shrunk_at = max(LEAST_DEPTH, node.depth * SHRINK), now
        elif len(node.out) + 1 >= int(node.depth):
            growth = GROWTH / op.volume.mounts * min(node.depth, 1 / node.depth)
            node.depth = min(DEPTH_CAP, node.depth + growth)
        wait = min(latency, node.typical())
        node.open_at = now + int(wait * max(0, 1 / node.depth - 1))
        node.due_at = now + int(wait * max(0, 1 / node.depth / DUE_FACTOR - 1))


class Gateway:
    """One gateway's decisions, from one start to the next."""

    def __init__(self, terms, seed, now, out):
        self.terms, self.out, self.began, self.chance = terms, out, now, Chance(seed)
        self.ops, self.volumes, self.cells, self.nodes = {}, {}, {}, {}
        self.ended, self.turn_at = ({}, {}), now   # (volume, key) -> what was shed or terminated, new and old
        self.dirty = {}                  # cells where something changed
        self.times = []                  # heap of (time, number, operation) to look at again
        self.number, self.extras, self.takes = 0, deque(), deque()
        self.wake_at, self.ask_at = NEVER, now if terms.list_asked else NEVER
        self.pacing, self.sending = Pacing(self), Sending(self)
        self.stages = (KeyOrder(self), Placing(self), self.pacing, self.sending)

    def cell(self, number):
        return self.cells.setdefault(number, Cell())

    def listed(self, now, kind, entries):
        if kind == say.UNAVAILABLE:
            # Danger: a failed ask may have ended the watch.  Asked again after a drawn pause, so
            # that the gateways do not come back all at once.
            pause = int(self.terms.ask_within * ASK_AGAIN)
            self.ask_at = now + pause + self.chance.below(pause + 1)
            return
        if kind != say.RESTORED and self.terms.list_asked:
            self.ask_at = NEVER
        if kind != say.CHANGES:
            named = {entry.node: True for entry in entries}
            for node in self.nodes.values():
                if node.entry.node not in named:
                    node.entry = node.entry._replace(condition=say.GONE)
        for entry in entries:
            node = self.nodes.setdefault(entry.node, Node(entry))
            if node.entry.online_since != entry.online_since:
                node.depth, node.rest_until, node.failures = LEAST_DEPTH, 0, 0
            node.entry = entry
            self.cell(entry.cell).nodes[entry.node] = node
            self.dirty[self.cell(entry.cell)] = True
        lost = self.cells.get(-1)
        for op in [op for queue in lost.queues.values() for op in queue] if lost else ():
            self.pacing.remove(op)
            self.forward(op, now)

    def taken(self, now, op_id, lane, plan, volume, key, left, units, cell, mounts, again):
        lane = self.terms.lanes[lane]
        if volume not in self.volumes:
            self.volumes[volume] = Volume(volume, self.terms.plans[plan], mounts, self.terms, self.began, now)
        # Danger: a client's retry taken for a first try, or an impatient client's for a retry.  A retry
        # comes here again and its client stops waiting when it would have for the first try.
        tries = self.ended[0].get((volume, key), []) + self.ended[1].get((volume, key), [])
        quoted_at = next((quoted_at for ends_at, quoted_at in tries
                          if again or abs(ends_at - now - left) <= SAME_END), now + lane.quoted_time)
        stop_at = now + max(0, left - 2 * self.terms.tick)
        op = self.ops[op_id] = Operation(op_id, lane, self.volumes[volume], key, units, cell, now,
                                         min(quoted_at, stop_at), stop_at)
        if self.terms.budget_share is not None:
            self.takes.append(now)
        self.later(op.quoted_at, op)
        self.forward(op, now)

    def forward(self, op, now):
        for stage in self.stages:
            if not stage.accept(op, now):
                return

    def later(self, when, op):
        self.number += 1
        heappush(self.times, (when, self.number, op))

    def answered(self, now, op_id, execution, result, ended, fleet_use, from_others):
        op = self.ops.get(op_id)
        if op is None or op.node is None or execution != op.sends - 1:
            return
        node, op.node = op.node, None
        op.over = op.over or ended
        self.dirty[op.cell] = True
        self.pacing.told(op.volume, fleet_use, from_others, now)
        for stage in reversed(self.stages):
            stage.back(op, node, result, now)
        if op.over:
            del self.ops[op_id]
        elif now < op.quoted_at and self.sending.may_run_again(op, node, now):
            self.forward(op, now)
        else:
            self.finish(op, now)

    def left(self, now, op_id):
        op = self.ops.get(op_id)
        if op is not None and not op.over:
            self.end(op, now)

    def finish(self, op, now):
        """The final answer: shed where that is true, else terminated; a late client may stay away."""
        harmless = (op.maybe_at is None and not op.node or op.lane.repeat == say.REPLAYABLE
                    or op.lane.repeat == say.REFERENCED and op.lane.group == "all")
        if harmless:
            self.out.shed(op.op_id, self.terms.come_back if now >= op.quoted_at else 0)
        else:
            self.out.terminate(op.op_id)
        self.end(op, now)

    def end(self, op, now):
        op.over = True
        if now >= self.turn_at:
            self.ended, self.turn_at = ({}, self.ended[0]), now + op.lane.hard_stop
        tries = self.ended[0].setdefault((op.volume.name, op.key), [])
        tries.append((op.stop_at + 2 * self.terms.tick, op.quoted_at))
        if op.held:
            self.pacing.remove(op)
        if not op.node:
            self.stages[0].back(op, None, None, now)
            del self.ops[op.op_id]

    def budget_left(self, now):
        if self.terms.budget_share is None:
            return True
        for times in (self.extras, self.takes):
            while times and times[0] <= now - self.terms.budget_span:
                times.popleft()
        # The oldest tick of the window is left out of what was taken: rounding must not overdraw.
        taken = sum(1 for time in self.takes if time > now - self.terms.budget_span + 1)
        return len(self.extras) + 1 <= self.terms.budget_free + self.terms.budget_share * taken

    def fit(self, cell, node, units, now):
        silent = now - max(node.answered_at, next(iter(node.out.values()), now))
        least = self.terms.most_units if cell.queues else units
        return (node.rest_until <= now and silent < max(SECOND, 2 * node.typical())
                and node.allowance(self.terms, self.began, now) >= least)

    def act(self, now):
        """Closes a round: lets go what may go, ends what is past use, and sets the next wake."""
        if now >= self.ask_at:
            self.out.watch()
            self.ask_at = now + int(self.terms.ask_within / 2)
        dirty, self.dirty = self.dirty, {}
        for cell in self.cells.values():
            if cell.queues and (cell in dirty or cell.try_at <= now):
                self.pump(cell, now)
        while self.times and self.times[0][0] <= now:
            op = heappop(self.times)[2]
            if op.over or op.node:
                continue
            if now >= op.quoted_at:
                self.finish(op, now)
            elif not op.held:
                self.forward(op, now)
        next_at = min([now + 1 if self.dirty else self.ask_at, self.times[0][0] if self.times else NEVER]
                      + [cell.try_at for cell in self.cells.values() if cell.queues])
        if next_at < (self.wake_at if self.wake_at > now else NEVER):
            self.wake_at = max(next_at, now + 1)
            self.out.wake(self.wake_at - now)

    def pump(self, cell, now):
        cell.try_at = NEVER
        while cell.queues:
            node = cell.open_node()
            op = node and self.pacing.choose(cell, node, now)
            if not op:
                return
            self.sending.send(op, node, now)
            # The paper's batches: what is held for the same piece of data goes along, since a node
            # does it cheaply while it remembers the piece; little past the room for slack.
            for mate in [mate for mate in cell.queues.get(op.volume, ()) if op.key == mate.key != ""]:
                room = len(node.out) < min(DEPTH_CAP, node.depth + BATCH_EXTRA)
                if room and self.pacing.free_at(mate, node, now) <= now:
                    self.sending.send(mate, node, now)
