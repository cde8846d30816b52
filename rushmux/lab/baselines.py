"""Plain policies with the module's calls, to compare with: each keeps the bound of ten and drains, and no "
  "more.

They are baselines of the laboratory only; no program uses them.
"""

from collections import defaultdict
from itertools import count

from rushmux import interface as say
from rushmux.rules import DEPTH_CAP, Chance


class Baseline:
    """Holds operations by cell; a subclass says which goes next, the least of its `order`."""

    def __init__(self, terms, seed, now, out):
        self.terms, self.out, self.chance = terms, out, Chance(seed)
        self.cells, self.ops, self.held, self.free = {}, {}, defaultdict(dict), defaultdict(int)
        self.numbers, self.now, self.served = count(), now, defaultdict(float)

    def order(self, op):
        """What an operation is ordered by: the least goes first."""
        raise NotImplementedError

    def listed(self, now, kind, entries):
        if kind == say.WHOLE:
            self.cells = {}
        for entry in entries:
            self.cells.setdefault(entry.cell, {})[entry.node] = entry.condition

    def taken(self, now, op_id, lane, plan, volume, key, left, units, cell, mounts, again):
        lane = self.terms.lanes[lane]
        if cell < 0:
            cells = list(self.cells)
            if not cells:
                self.out.shed(op_id, 0)
                return
            cell = cells[self.chance.below(len(cells))]
        stop_at = now + max(0, left - 2 * self.terms.tick)
        op = self.ops[op_id] = {
            "id": op_id,
            "lane": lane,
            "plan": self.terms.plans[plan],
            "volume": volume,
            "units": units,
            "cell": cell,
            "quoted": min(now + lane.quoted_time, stop_at),
            "stop": stop_at,
            "number": next(self.numbers),
            "out": None,
        }
        self.held[cell][op_id] = op

    def answered(self, now, op_id, execution, result, ended, fleet_use, from_others):
        op = self.ops.pop(op_id, None)
        if op is None:
            return
        self.free[op["out"]] -= 1
        if ended or op.get("left"):
            return
        ran = result not in (say.FULL, say.UNREACHED, say.MOOT)
        if ran and op["lane"].repeat != say.REPLAYABLE:
            self.out.terminate(op_id)
        else:
            self.out.shed(op_id, 0)

    def left(self, now, op_id):
        op = self.ops.get(op_id)
        if op is not None and op["out"] is None:
            del self.ops[op_id]
            self.held[op["cell"]].pop(op_id, None)
        elif op is not None:
            op["left"] = True

    def shared(self, now, volume, part):
        """Limits are the module's."""

    def routed(self, routes):
        """Routes are the module's."""

    def act(self, now):
        soonest = None
        for cell, held in self.held.items():
            for op_id in [op_id for op_id, op in held.items() if op["quoted"] <= now]:
                del held[op_id], self.ops[op_id]
                self.out.shed(op_id, 0)
            ready = [node for node, condition in self.cells.get(cell, {}).items() if condition == say.READY]
            while held and ready and self.free[ready[0]] < DEPTH_CAP:
                op = min(held.values(), key=self.order)
                del held[op["id"]]
                op["out"] = ready[0]
                self.free[ready[0]] += 1
                self.served[op["volume"]] += op["units"] / op["plan"].weight
                self.out.execute(op["id"], ready[0], op["stop"] - now)
            if held:
                first = min(op["quoted"] for op in held.values())
                soonest = first if soonest is None else min(soonest, first)
        if soonest is not None:
            self.out.wake(max(1, soonest - now))


class FirstCome(Baseline):
    """The first taken goes first."""

    def order(self, op):
        return op["number"]


class RandomNext(Baseline):
    """Any goes."""

    def order(self, op):
        return self.chance.below(1 << 20)


class FairShare(Baseline):
    """The volume that had least for its weight goes first."""

    def order(self, op):
        return self.served[op["volume"]], op["number"]


class EarliestDeadline(Baseline):
    """The nearest quoted time goes first."""

    def order(self, op):
        return op["quoted"], op["number"]


BASELINES = {
    "first-come": FirstCome,
    "random": RandomNext,
    "fair-share": FairShare,
    "earliest-deadline": EarliestDeadline,
}
