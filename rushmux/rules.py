"""The decisions of one rushmux gateway.

Build a `Gateway` at each start, call it with what happens (`rushmux/interface.py` lists the
calls, `Decisions`, and the answers, `Outbox`), and close each round of events with `act`.
Times are whole tenths of a millisecond.  An operation passes the stages KeyOrder, Placing,
Pacing and Sending; what comes back of an execution runs through them the other way.
The mechanism is Zygaria's (docs/design.md): a reserve bucket sets deadlines, a limit bucket
release times, passed deadlines go first, slack goes to the lowest weighted average.
"""
from bisect import insort
from collections import OrderedDict, defaultdict, deque
from heapq import heappop, heappush
from itertools import accumulate

from rushmux import interface as say

# Constants: value, unit, and the reason for the size.
SECOND = 10_000          # ticks (0.1 ms) in the second that plans are stated by
DEPTH_CAP = 10           # executions out at a node: the bound of the design
QUARTER = 2_500          # ticks: width of a bin of the moving average, from the design
QUARTERS = 20            # bins: five seconds, from the design
DEBT = 4                 # seconds of the reserve's fill: slack taken long ago must not eat today's
DECAY = 0.9              # weight of a bin against the next younger one, from the design
SHRINK_FAILED = 0.7      # part that a failure takes: the third in a row makes a node rest
FIRST_ROOM = 3           # executions: enough to keep a small node's cores busy before anything is known
LEAST_ROOM = 0.15        # executions: below one, pauses after answers make up the rest
DUE_FACTOR = 3           # room for passed deadlines against room for slack: reserves are what is owed
WAIT_BASE = 0.1          # of the quoted time: an answer within this never shrinks the room
WAIT_SIZE = 0.1          # of the quoted time for each mean operation in it: large ones take longer
NODE_PAUSE = 4           # part of the quoted time: the most that a node's room counts as an answer time
WHOLE_WAIT = 1.5         # times that in the room over all nodes: there only a jam should count
GROWTH = 1               # executions of a volume's gateways together, for each full room of early answers
SHRINK = 0.3             # part of the room that a late answer takes: two of them halve it
BATCH_EXTRA = 3          # executions past a node's room for one piece of data: in a row they are cheap
BIN = 250                # ticks: first bin of the histogram of answer times; each next is twice as wide
BINS = 8                 # bins: the last one begins at 1.6 s, beyond any use
HALVE_AT = 32            # answers in a histogram before it is halved: some seconds of memory
COLD_CREDIT = 0.8        # of what the rule leaves above a cold node's capacity, for what it has answered
PATIENCE = 10            # median answer times, by size, until an execution is held for lost
DRAWS = 10               # at most, for two nodes that are fit: enough with half of them resting
TRIES = 64               # ended operations kept of a volume to know retries by: some seconds of a surge
SAME_END = 50            # ticks: how far a retry's hard stop may be from its first try's, for jitter
ASK_AGAIN = 0.1          # of the time within which the list must be asked: for a lost or failed ask
CROWD = 0.5              # of the quoted time: a node whose own service and queue take longer is crowded
SHARED_ROOM = 0.5        # executions: the most a report opens a node's room to among tens of gateways
STEP = 3                 # times larger or smaller that a report makes a room at most
MEMORY = 30_000          # ticks for which the rate told of other gateways counts: surges last longer
FORGET = 600_000         # ticks: volumes come and go for hours; one idle so long is as never seen
LOAD_AGE = 20_000        # ticks until a node is asked for its load again: tens of gateways ask, it caps them
COPY_AFTER = 3           # median answer times, by size, after which a first execution counts as late
COPY_SHARE = 0.05        # second copies for each operation taken: what a fleet hardly feels
COPY_MOST = 5            # second copies saved up at most: a silent node meets some in a row

NEVER_RAN = (say.FULL, say.UNREACHED, say.MOOT)
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

    def __init__(self, op_id, lane, volume, key, units, named, now, quoted_at, stop_at, route, flow):
        self.op_id, self.lane, self.volume, self.key, self.units = op_id, lane, volume, key, units
        self.named = named               # the cell that holds its data; negative: a new object
        self.taken_at, self.quoted_at, self.stop_at = now, quoted_at, stop_at
        self.route, self.flow, self.cell = route, flow, None
        self.again_at = 0                # not before, for the route's wait
        self.out, self.sends = {}, 0     # number -> node of each execution out: two with a second copy
        self.copied, self.copy_at = False, NEVER
        self.maybe_at = self.maybe_node = None   # when and where the first left that may have run
        self.over = self.held = False


class Flow:
    """What a route's caps count: the operations of one lane and plan that this gateway holds."""

    def __init__(self, route):
        self.held, self.credit = 0, route.free   # credit: further executions that the route still allows


class Volume:
    """Both buckets and the moving average of a volume, as this gateway sees it."""

    def __init__(self, name, plan, mounts, gateway, now):
        self.name, self.plan, self.mounts, self.at = name, plan, mounts, now
        self.reserve_cap = plan.reserve + gateway.terms.most_units
        self.reserve = self.reserve_cap / mounts   # first fill: what all its gateways promise together
        self.share(gateway.parts.get(name))
        # Danger: a gateway that came back has forgotten what it had used of its part of the limit, which
        # then fills from its start.  Answers with no figure of the fleet's meter tell that no period has
        # ended yet: the whole fleet has just begun, and the part is full.  Harm: a burst may wait.
        filled = plan.slack / mounts + self.rate * (now - gateway.began) / SECOND
        self.limit = self.limit_cap if gateway.fresh else min(self.limit_cap, filled)
        self.bins, self.sum, self.quarter = [0.0] * QUARTERS, 0.0, now // QUARTER
        self.metered_at, self.others = now, 0.0   # when the fleet's meter was told; units a second
        self.tries = deque(maxlen=TRIES)   # of what is over: key, hard stop, when it was over, quoted until

    def share(self, part):
        """This gateway's part of the limit: even among the volume's, or as it was told."""
        plan, mounts = self.plan, self.mounts
        self.rate = plan.limit / mounts if part is None else plan.limit * part
        self.limit_cap = plan.burst / mounts if part is None else plan.burst * part

    def advance(self, now):
        span, self.at = (now - self.at) / SECOND, now
        others = self.others * min(span, max(0, (self.metered_at + MEMORY - now) / SECOND + span))
        self.reserve = min(self.reserve_cap, self.reserve + self.plan.reserve * span)
        self.debit(others)
        self.limit = min(self.limit_cap, self.limit + self.rate * span)
        for quarter in range(max(self.quarter, now // QUARTER - QUARTERS) + 1, now // QUARTER + 1):
            place = quarter % QUARTERS
            self.sum = (self.sum - self.bins[place] * DECAY ** (QUARTERS - 1)) * DECAY
            self.bins[place] = 0.0
        self.quarter = now // QUARTER

    def deadline(self, units, now):
        """When the reserve bucket has, or will have, the units."""
        return now - int((self.reserve - units) / self.plan.reserve * SECOND) if self.plan.reserve else NEVER

    def release(self, units, now):
        """When the limit bucket has the units."""
        waits = self.plan.limit > 0 and self.limit < units
        return now + 1 + int((units - self.limit) / self.rate * SECOND) if waits else now

    def debit(self, units):
        self.reserve = min(self.reserve_cap, max(self.reserve - units, -DEBT * self.plan.reserve))

    def charge(self, units):
        self.debit(units)
        units = max(units, -self.bins[self.quarter % QUARTERS])
        self.bins[self.quarter % QUARTERS] += units
        self.sum += units

    def told(self, fleet_use, from_others, span, now):
        """Takes in what other gateways had served, as the answer's meter tells it."""
        self.advance(now)
        if span and not fleet_use:       # the fleet has just begun
            self.limit = max(self.limit, self.limit_cap - sum(self.bins))
        elif span:
            own = sum(self.bins) * SECOND / (QUARTER * QUARTERS)
            self.metered_at, self.others = now, max(0.0, (fleet_use - 1) / 100 * self.plan.nominal - own)
        else:
            self.debit(from_others)


class Room:
    """How many executions may be out at a node, or from this gateway over all nodes together.

    Danger: one out from each of hundreds of gateways is a jam that none sees coming.  Late answers
    shrink the room, early ones let it grow; below one a pause after each answer makes up the rest.
    What is out past its quoted time is late and holds no room.  Harm: chance delays shrink it too.
    """

    def __init__(self, size, whole):
        self.size, self.whole = size, whole
        self.out = {}                    # (operation, number) -> time sent, node; oldest first
        self.shrunk_at = self.wait_from = self.wait = self.failed = 0   # failed: the last to come back
        self.answers = [0] * BINS        # histogram of answer times

    def typical(self):                   # upper edge of the bin with the median answer time
        half, sums = sum(self.answers) / 2, enumerate(accumulate(self.answers))
        return next((BIN << place for place, seen in sums if seen >= half > 0), 0)

    def opens(self, factor, now):
        """When the next may go, with that many times the room."""
        while self.out:
            (op, number), (sent, _) = next(iter(self.out.items()))
            if now - sent < op.lane.quoted_time:
                break
            self.back(op, number, say.OVERDUE, now, 1)
        size = factor * self.size
        opens = self.wait_from + int(self.wait * max(0, 1 / size - 1))
        return max(opens, sent + op.lane.quoted_time) if len(self.out) >= max(1, int(size)) else opens

    def back(self, op, number, result, now, mean_units):
        # Danger: nodes that are gone, cut off or failing shrink the room over all nodes for the others.
        full, (sent, node) = len(self.out) >= int(self.size), self.out.pop((op, number), (None, None))
        if sent is None or result in (say.MOOT,) + self.whole * (say.UNREACHED, say.SEVERED, say.ERRORED):
            return
        asks, good = node.asks, result == say.SUCCEEDED
        row, self.failed = self.failed, not good
        soft = good or self.whole or result in (say.ERRORED, say.WITHDRAWN)
        pause = op.lane.quoted_time // (1 if self.whole or asks else NODE_PAUSE)
        # Over all nodes a late answer speaks for its own alone: a part of what is out.
        wait, part = (WHOLE_WAIT, 1 / (len(self.out) + 1)) if self.whole else (1, 1)
        wait *= op.lane.quoted_time * (WAIT_BASE + WAIT_SIZE * op.units / mean_units)
        # Danger: hurried clients end an execution before it is late.  It tells nothing, as one called off.
        if (result == say.WITHDRAWN or asks and result == say.OVERDUE) and now - sent <= wait:
            return
        self.wait_from, self.wait = now, min(now - sent, pause) if good else pause
        if asks and result in (say.SUCCEEDED, say.OVERDUE, say.WITHDRAWN):
            node.late = node.late or not good or now - sent > wait
            node.doubt = node.doubt or node.late
        elif not good or now - sent > wait:
            if sent >= self.shrunk_at:
                part *= SHRINK if soft else SHRINK_FAILED
                # Danger: connections lost by chance close the rooms of nodes that serve the others well.
                least = LEAST_ROOM if row or result not in (say.SEVERED, say.UNREACHED) else min(1, self.size)
                self.size, self.shrunk_at = max(least, self.size * (1 - part)), now
        elif full and not asks:
            self.size += GROWTH / op.volume.mounts * min(self.size, 1 / self.size)
        if good:
            self.answers[min(BINS - 1, ((now - sent) // BIN).bit_length())] += 1
            if sum(self.answers) >= HALVE_AT:
                self.answers = [count // 2 for count in self.answers]


class Node:
    """A node as the list shows it and as this gateway's own executions found it."""

    def __init__(self, entry, gateway):
        terms = gateway.terms
        self.entry, self.asks = entry, terms.load_asked   # whether its load may be asked for
        self.out = {}                    # (operation, number) -> time sent, oldest first
        # Danger: many gateways' executions meet at a node unseen.  Where nodes report, ten of all begin.
        even = DEPTH_CAP / terms.gateways
        self.room = Room(min(FIRST_ROOM, even) if self.asks else FIRST_ROOM, False)
        self.rooms = (self.room,) if self.asks else (self.room, gateway.room)   # that let an execution go
        self.most_room = min(FIRST_ROOM, max(SHARED_ROOM, even))
        self.least_room = 1 / terms.gateways
        self.crowd = CROWD * min(lane.quoted_time for lane in terms.lanes.values())
        self.arrivals = deque()          # (time, units) sent within the span, the answered part given back
        self.turn = self.lot = 0         # number of the span, and what was drawn for it
        self.told = self.answers_in = 0  # service time last reported; ticks that a mean operation takes by it
        self.late = self.doubt = False   # since it was asked: an execution late; a reason to ask again
        self.asked_at = -NEVER

    def reported(self, result, queue, service):
        """Sets the room by the node's own report of its load.

        Danger: a probe turned away for other gateways' probes tells nothing of the node.  Then a late
        execution stands for a crowd, as it does where no node reports.
        """
        late, self.late = self.late, False
        load = 0.0                       # of what a node may take: above one it is crowded
        if service is not None:
            self.answers_in, self.told = min(service, self.told or service), service
            load = service * (1 + (queue or 0) / FIRST_ROOM) / self.crowd
        elif late or result == say.OVERDUE:
            load = STEP
        size = self.room.size / max(1 / STEP, min(STEP, load))
        if load > 1:
            self.room.size = max(self.least_room, size)
        elif service is not None:
            self.room.size = max(self.room.size, min(self.most_room, size))

    def allowance(self, gateway, units, now):
        """Units that may still go to a cold node within its span; NEVER once it is warm.

        Danger: all gateways together push a cold node over.  Each keeps to its part of what it always
        bears, as it warms, and part of what it answered.  The part is even among those that want the node:
        as many of all as this one wants of all nodes, or its busiest volume's; under one operation by lot.
        One that came back has forgotten what it sent and waits a span.  Harm: lots may fall together.
        """
        terms, age = gateway.terms, now - self.entry.online_since
        while self.arrivals and self.arrivals[0][0] <= now - terms.cold_span:
            self.arrivals.popleft()      # at each send, to a warm node too: kept is what is sent in a span
        if not self.entry.online_since or age >= terms.warm_within:
            return NEVER
        if now - gateway.began < terms.cold_span:
            return 0
        if self.turn != now // terms.cold_span:
            self.turn, self.lot = now // terms.cold_span, gateway.chance.below(1 << 16) / (1 << 16)
        warmed = 1 + (1 / terms.cold_start - 1) * max(0, age - terms.cold_span) / terms.warm_within
        wanted = max(1, sum(cell.wanted_at > now - terms.cold_span for cell in gateway.places))
        among = max(gateway.cells[self.entry.cell].among, wanted * terms.gateways / len(gateway.places))
        return terms.cold_units * warmed / among + self.lot * units - sum(units for _, units in self.arrivals)


class Cell:
    """The nodes that hold one shard of data, and what is held for them, by volume."""

    def __init__(self):
        self.nodes = {}
        self.queues = {}                 # volume -> its held operations in turn
        self.try_at = NEVER              # when something held may go
        self.wanted_at, self.among = -NEVER, 1   # when it was last named, the most mounts of who did lately

    def open_node(self):
        ready = (node for node in self.nodes.values() if node.entry.condition == say.READY)
        return min(ready, key=lambda node: len(node.out), default=None)


class Stage:
    """A link of the chain: `accept` says whether the operation goes on, `back` sees what came back."""
    def __init__(self, gateway):
        self.gateway, self.terms, self.out = gateway, gateway.terms, gateway.out

    def back(self, op, number, node, result, now):
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
        rested = op.sends or self.rests.get(op.key, 0) <= now   # who has the turn may go again at once
        if line[0] is op and not rested:
            self.gateway.later(self.rests[op.key], op)
        return line[0] is op and rested

    def back(self, op, number, node, result, now):
        line = self.lines.get(op.key, ()) if op.lane.in_order else ()
        if result in MAY_STILL_RUN and op.lane.in_order:
            self.rests.pop(op.key, None)
            self.rests[op.key] = now + self.terms.order_rest + 1
            while next(iter(self.rests.values())) <= now:   # the oldest stand first
                del self.rests[next(iter(self.rests))]
        if op.over and not op.out and op in line:   # then also called with no result
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
            op.cell = self.gateway.cells[op.named] if op.named >= 0 else self.pick(op.units, now)
        if op.cell is None:              # no node is listed
            self.gateway.finish(op, now)
        return op.cell is not None

    def pick(self, units, now):
        # Exception to the plain draw: a node with no room or cold is drawn again.  Danger: new objects,
        # and reads after them, lost to a node that is silent or failing.  Harm: the few left get all.
        gateway, fit, ready = self.gateway, [], None
        for _ in range(DRAWS if gateway.places else 0):
            cell = gateway.places[gateway.chance.below(len(gateway.places))]
            node = cell.open_node()
            ready = ready or cell
            least = self.terms.most_units if cell.queues else units
            if (node and node.room.opens(DUE_FACTOR, now) <= now
                    and node.allowance(gateway, units, now) >= least):
                here = len(node.out) + sum(map(len, cell.queues.values())) + 1
                fit.append((here / node.room.size, len(fit), cell))
                if len(fit) == 2:
                    break
        return min(fit)[2] if fit else ready


class Pacing(Stage):
    """Holds operations by cell and volume and lets them go as both buckets and the average say."""

    def __init__(self, gateway):
        super().__init__(gateway)
        self.most_utility = max(lane.utility for lane in self.terms.lanes.values())

    def accept(self, op, now):
        cell, queue = op.cell, op.cell.queues.setdefault(op.volume, [])
        # Of one volume's operations the lane of the most utility goes first, then the first taken.
        insort(queue, op, key=lambda held: (-held.lane.utility, held.taken_at))
        op.held = True
        cell.among = max(op.volume.mounts, cell.among * (now - cell.wanted_at < self.terms.cold_span))
        self.gateway.dirty[cell], cell.wanted_at = True, now
        return False

    def remove(self, op):
        queue = op.cell.queues[op.volume]
        queue.remove(op)
        if not queue:
            del op.cell.queues[op.volume]
        op.held = False

    def free_at(self, op, node, now):
        """When to look whether the limit bucket and a cold node's allowance let it go."""
        if op.units > node.allowance(self.gateway, op.units, now):
            return now + QUARTER
        return now if op.sends else op.volume.release(op.units, now)

    def opens(self, node, factor, now):
        """When its rooms, so many times as large, let the next go to this node."""
        return max(room.opens(factor, now) for room in node.rooms)

    def choose(self, cell, node, now):   # the operation to go next, or None; sets when to look again
        due_opens, opens = self.opens(node, DUE_FACTOR, now), self.opens(node, 1, now)
        if opens > now:
            self.gateway.waiting[cell] = True
            node.doubt = True
            cell.try_at = min(cell.try_at, due_opens if due_opens > now else opens)
        if due_opens > now or len(node.out) >= DEPTH_CAP:
            return None
        typical = 0 if node.asks and not node.out else node.room.typical() or self.gateway.room.typical()
        due, due_at, slack, lowest = None, NEVER, None, NEVER
        for volume, queue in list(cell.queues.items()):
            # Danger: retries late already, or in a backlog the oldest, take the place of answers in time.
            # And work begun for hurried clients that leave before the node, as it reports, can end it.
            while queue and queue[0].quoted_at <= now + max(
                    typical * (queue[0].taken_at < now),
                    node.answers_in * queue[0].units / self.terms.mean_units):
                node.doubt = True
                self.gateway.finish(queue[0], now, True)
            if not queue:
                continue
            op = queue[0]
            volume.advance(now)
            free_at = self.free_at(op, node, now)
            if free_at > now:
                cell.try_at = min(cell.try_at, free_at)
                continue
            # Danger: what can wait is there when a room opens, and what is worth more is not any more.
            part = op.lane.utility / self.most_utility if node.asks else 1
            due_at_part, at_part = due_opens, opens
            if part < 1:
                due_at_part, at_part = self.opens(node, DUE_FACTOR * part, now), self.opens(node, part, now)
            deadline = max(op.taken_at, volume.deadline(op.units, now))
            if due_at_part > now:
                cell.try_at = min(cell.try_at, due_at_part)
            elif deadline <= now and deadline < due_at:
                due, due_at = op, deadline
            if at_part > now:
                cell.try_at = min(cell.try_at, at_part)
            elif volume.sum / volume.plan.weight < lowest:
                slack, lowest = op, volume.sum / volume.plan.weight
        return due or slack

    def back(self, op, number, node, result, now):
        # Danger: fast errors charge as if served, and a failing volume looks fed.
        if result != say.SUCCEEDED:
            op.volume.charge(-op.units)


class Sending(Stage):
    """Sends what is let go, under the rules for sending, and judges the node by what comes back."""

    def may_run_again(self, op, node, now):
        if (op.sends >= min(self.terms.executions, op.route.executions) or op.flow.credit < 1
                or not self.gateway.budget_left(now)):
            return False
        if op.maybe_at is None or op.lane.repeat == say.REPLAYABLE:
            return True
        if op.lane.repeat == say.SINGLE_USE or now - op.maybe_at >= op.lane.window - self.terms.tick:
            return False
        # The group names what two nodes must share to drop each other's repeats.
        group = op.lane.group
        return group == "all" or getattr(op.maybe_node.entry, group) == getattr(node.entry, group)

    def send(self, op, node, now):
        if op.sends and not self.may_run_again(op, node, now):
            return self.gateway.finish(op, now)
        self.gateway.pacing.remove(op)
        self.go(op, node, now)

    def go(self, op, node, now):
        if op.sends:
            self.gateway.extras.append(now)
            op.flow.credit -= 1
        else:
            op.volume.limit -= op.units
        op.volume.charge(op.units)
        op.out[op.sends] = node
        node.out[op, op.sends] = now
        for room in node.rooms:
            room.out[op, op.sends] = now, node
        op.sends += 1
        node.arrivals.append((now, op.units))
        # Danger: executions lost on the way use up the quoted time.  Also guards against a node that
        # hangs.  Harm: a jam of many answer times is taken for a loss, and its work is wasted.
        usual = node.room.typical() or self.gateway.room.typical() or op.lane.quoted_time
        usual *= max(1, op.units / self.terms.mean_units)
        self.out.execute(op.op_id, node.entry.node,
                         min(op.stop_at - now, int(PATIENCE * usual), op.route.time_out))
        if self.terms.copies and op.route.copy_after is not None and op.named < 0 and len(op.out) == 1:
            op.copy_at = now + max(op.route.copy_after, int(COPY_AFTER * usual))
            if op.copy_at + usual < op.quoted_at:
                self.gateway.later(op.copy_at, op)

    def copy(self, op, now):
        """A second copy of a new object while the first is out: only into room that is free.

        Danger: a slow or silent node takes the quoted time of what was sent there.  Harm: work done
        twice, so it is rationed, waits for both rooms, and leaves a cold node and a jam alone.
        """
        op.copy_at, gateway = NEVER, self.gateway
        (number, first), = op.out.items()
        if (gateway.credit < 1 or gateway.room.size < gateway.even_room()
                or any(cell.queues for cell in gateway.places)):
            return
        cell = gateway.placing.pick(op.units, now)
        node = cell and cell is not op.cell and not cell.queues and cell.open_node()
        if (not node or node.out or gateway.pacing.opens(node, 1, now) > now
                or node.allowance(gateway, op.units, now) < NEVER):
            return
        if op.maybe_at is None:
            op.maybe_at, op.maybe_node = first.out[op, number], first
        if self.may_run_again(op, node, now):
            gateway.credit -= 1
            op.copied = True
            self.go(op, node, now)

    def back(self, op, number, node, result, now):
        sent = node.out.pop((op, number))
        if result not in NEVER_RAN and result != say.SUCCEEDED and op.maybe_at is None:
            op.maybe_at, op.maybe_node = sent, node
        for room in node.rooms:
            room.back(op, number, result, now, self.terms.mean_units)
        if result == say.SUCCEEDED:
            node.arrivals.append((now, -COLD_CREDIT * (self.terms.fall_multiple - 1) * op.units))


class Gateway:
    """One gateway's decisions, from one start to the next."""

    def __init__(self, terms, seed, now, out):
        # Danger: with no reserve in any plan nothing is ever owed, and surges crowd out the usual traffic.
        # Then the rate that a volume is sized for stands in, where nodes report: elsewhere all stays.
        if terms.load_asked and not any(plan.reserve for plan in terms.plans.values()):
            most = max(plan.nominal / plan.weight for plan in terms.plans.values())
            terms = terms._replace(plans={name: plan._replace(reserve=most * plan.weight)
                                          for name, plan in terms.plans.items()})
        self.terms, self.out, self.began, self.chance = terms, out, now, Chance(seed)
        self.ops, self.volumes, self.cells, self.nodes = {}, OrderedDict(), defaultdict(Cell), {}
        self.dirty, self.waiting, self.places = {}, {}, []   # cells: changed, waiting for room, all listed
        self.room, self.fresh = Room(0, True), False   # over all nodes; whether the whole fleet just began
        self.times = []                  # heap of (time, number, operation) to look at again
        self.number, self.extras, self.takes = 0, deque(), deque()
        self.wake_at, self.ask_at = NEVER, now if terms.list_asked else NEVER
        self.placing, self.pacing, self.sending = Placing(self), Pacing(self), Sending(self)
        self.stages = (KeyOrder(self), self.placing, self.pacing, self.sending)
        self.routes, self.flows, self.credit = terms.routes, {}, COPY_MOST
        self.parts = {}                  # volume -> part of its limit, where this gateway was told one

    def listed(self, now, kind, entries):
        if kind == say.UNAVAILABLE:
            # Danger: a failed ask may have ended the watch.  The pause is drawn, against all at once.
            pause = int(self.terms.ask_within * ASK_AGAIN)
            self.ask_at = now + pause + self.chance.below(pause + 1)
            return
        self.ask_at = self.ask_at if kind == say.RESTORED else NEVER
        if kind != say.CHANGES:
            for node in self.nodes.values():
                node.entry = node.entry._replace(condition=say.GONE)
        for entry in entries:
            node = self.nodes.setdefault(entry.node, Node(entry, self))
            if node.entry.online_since != entry.online_since:
                node.room.size, node.answers_in = min(LEAST_ROOM, node.room.size), 0
            node.entry = entry
            self.cells[entry.cell].nodes[entry.node] = node
            self.dirty[self.cells[entry.cell]] = True
        for node in [node for node in self.nodes.values() if node.entry.condition == say.GONE]:
            # Danger: nodes replaced for hours.  What is gone is forgotten once nothing of it counts any more.
            if not node.out and max(node.arrivals, default=(-NEVER,))[0] <= now - self.terms.cold_span:
                del self.nodes[node.entry.node], self.cells[node.entry.cell].nodes[node.entry.node]
        self.places = list(self.cells.values())
        self.room.size = self.room.size or self.even_room()

    def even_room(self):
        return DEPTH_CAP * len(self.cells) / (1 if self.terms.load_asked else self.terms.gateways)

    def taken(self, now, op_id, lane, plan, volume, key, left, units, cell, mounts, again):
        lane = self.terms.lanes[lane]
        if volume not in self.volumes:
            self.volumes[volume] = Volume(volume, self.terms.plans[plan], mounts, self, now)
        self.volumes.move_to_end(volume)
        self.volumes[volume].asked_at, first = now, next(iter(self.volumes.values()))
        if max(first.asked_at + FORGET, first.release(first.limit_cap, first.at)) <= now:
            del self.volumes[first.name]
        # Danger: after a pause of this gateway's own, told by an overdue wake, what came meanwhile seems
        # new; a retry taken for a first try, or a hurried client's first try for a retry.  A retry's client
        # stops waiting when it would have, or gave up early just now.  Harm: hurried runs on one key.
        quoted_at = now + lane.quoted_time - max(0, min(now - self.wake_at, lane.hard_stop - left))
        quoted_at = next((quoted for its_key, ends_at, over_at, quoted in reversed(self.volumes[volume].tries)
                          if its_key == key and (again or abs(ends_at - now - left) <= SAME_END
                          or now - over_at <= SAME_END and left < lane.hard_stop)), quoted_at)
        stop_at = now + max(0, left - 2 * self.terms.tick)
        route = self.routes.get((lane.name, plan), say.NO_ROUTE)
        flow = self.flows.setdefault((lane.name, plan), Flow(route))
        op = self.ops[op_id] = Operation(op_id, lane, self.volumes[volume], key, units, cell, now,
                                         min(quoted_at, stop_at), stop_at, route, flow)
        flow.held, flow.credit = flow.held + 1, min(route.free, flow.credit + route.share)
        self.credit = min(COPY_MOST, self.credit + COPY_SHARE)
        if self.terms.budget_share is not None:
            self.takes.append(now)
        if flow.held > route.held:
            return self.finish(op, now)
        self.later(op.quoted_at, op)
        self.forward(op, now)

    def shared(self, now, volume, part):
        """Takes over a part of a volume's limit.  Danger: what the bucket holds above a smaller part is
        another gateway's by now; a larger part fills at its rate and brings nothing at once."""
        self.parts[volume] = part
        known = self.volumes.get(volume)
        if known is not None:
            known.advance(now)
            known.share(part)
            known.limit = min(known.limit, known.limit_cap)
            self.dirty.update({cell: True for cell in self.places if known in cell.queues})

    def routed(self, routes):
        """Takes over routes; what was taken before keeps its own, and what is used up stays so."""
        self.routes = routes

    def forward(self, op, now):
        for stage in self.stages:
            if not stage.accept(op, now):
                return

    def later(self, when, op):
        self.number += 1
        heappush(self.times, (when, self.number, op))

    def answered(self, now, op_id, execution, result, ended, fleet_use, from_others):
        op = self.ops.get(op_id)
        if op is None or execution not in op.out:
            return
        node = op.out.pop(execution)
        op.flow.held -= ended > op.over
        op.over = op.over or ended
        self.dirty[op.cell] = True
        if op.copied:
            self.dirty[self.cells[node.entry.cell]] = True
        self.dirty.update(self.waiting)
        self.waiting = {}
        if result == say.SUCCEEDED:
            self.fresh = self.fresh or self.terms.meter_span > fleet_use == 0
            op.volume.told(fleet_use, from_others, self.terms.meter_span, now)
        for stage in reversed(self.stages):
            stage.back(op, execution, node, result, now)
        if op.over and not op.out:
            del self.ops[op_id]
        elif op.over:
            self.withdraw(op)
        elif op.out:                     # the other copy may still succeed
            pass
        elif now + op.route.wait < op.quoted_at and self.sending.may_run_again(op, node, now):
            op.again_at = now + op.route.wait
            if op.route.wait:
                self.later(op.again_at, op)
            else:
                self.forward(op, now)
        else:
            self.finish(op, now)

    def reported(self, node, result, queue, service):
        """A node's own report of its load: None for what it does not tell, or all when asked in vain."""
        if node in self.nodes:
            self.nodes[node].reported(result, queue, service)
            self.dirty.update(self.waiting)
            self.waiting = {}

    def left(self, now, op_id):
        if op_id in self.ops and not self.ops[op_id].over:
            self.end(self.ops[op_id], now)

    def finish(self, op, now, late=False):
        """The final answer: shed where that is true, else terminated; a late client may stay away."""
        harmless = (op.maybe_at is None and not op.out or op.lane.repeat == say.REPLAYABLE
                    or op.lane.repeat == say.REFERENCED and op.lane.group == "all")
        if harmless:
            self.out.shed(op.op_id, self.terms.come_back if late or now >= op.quoted_at else 0)
        else:
            self.out.terminate(op.op_id)
        self.end(op, now)

    def end(self, op, now):
        op.over = True
        op.flow.held -= 1
        op.volume.tries.append((op.key, op.stop_at + 2 * self.terms.tick, now, op.quoted_at))
        if op.held:
            self.pacing.remove(op)
        if not op.out:
            self.stages[0].back(op, None, None, None, now)
            del self.ops[op.op_id]
        self.withdraw(op)

    def withdraw(self, op):
        """Calls off what is still out of an operation that had a second copy and is over."""
        if op.copied and self.terms.cancel:
            op.copied = False
            for number in op.out:
                self.out.withdraw(op.op_id, number)

    def budget_left(self, now):
        # The oldest tick of the window is left out of what was taken: rounding must not overdraw.
        for times, oldest in ((self.extras, now - self.terms.budget_span),
                              (self.takes, now - self.terms.budget_span + 1)):
            while times and times[0] <= oldest:
                times.popleft()
        share, free = self.terms.budget_share, self.terms.budget_free
        return share is None or len(self.extras) + 1 <= free + share * len(self.takes)

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
            if not (op.over or op.out) and now >= op.quoted_at:
                self.finish(op, now)
            elif not (op.over or op.out or op.held) and now >= op.again_at:
                self.forward(op, now)
            elif not op.over and len(op.out) == 1 and now >= op.copy_at:
                self.sending.copy(op, now)
        if self.terms.load_asked:
            for node in self.nodes.values():
                if node.doubt and now - node.asked_at >= LOAD_AGE and node.entry.condition == say.READY:
                    node.doubt, node.asked_at = False, now
                    self.out.probe(node.entry.node)
        self.wake_at = self.wake_at if self.wake_at > now else NEVER
        next_at = min([now + 1 if self.dirty else self.ask_at, self.times[0][0] if self.times else NEVER]
                      + [cell.try_at for cell in self.cells.values() if cell.queues])
        if next_at < self.wake_at:
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
            # does it cheaply while it remembers the piece.
            for mate in [mate for mate in cell.queues.get(op.volume, ()) if op.key == mate.key != ""]:
                most = min(DEPTH_CAP, node.room.size + BATCH_EXTRA, DUE_FACTOR * self.room.size + 1)
                if len(node.out) < most and self.pacing.free_at(mate, node, now) <= now:
                    self.sending.send(mate, node, now)
