"""A stand-in for the decision module that decides next to nothing: first come, first sent.

It is a baseline to hold the module against, never a choice for service.
"""

import random

from rushmux import interface as say


class PassThrough:
    """Sends each operation at once to a node of its cell, once, until its hard stop."""

    def __init__(self, terms, seed, now, out):
        self.terms, self.out, self.chance = terms, out, random.Random(seed)
        self.cells, self.ops = {}, {}

    def listed(self, now, kind, entries):
        for entry in entries:
            self.cells.setdefault(entry.cell, {})[entry.node] = entry.condition

    def taken(self, now, op_id, lane, plan, volume, key, left, units, cell, mounts, again):
        cell = cell if cell >= 0 or not self.cells else self.chance.choice(sorted(self.cells))
        ready = [node for node, state in self.cells.get(cell, {}).items() if state == say.READY]
        if not ready:
            self.out.shed(op_id, 0)
            return
        self.ops[op_id] = self.terms.lanes[lane]
        self.out.execute(op_id, ready[0], max(0, left - 2 * self.terms.tick))

    def answered(self, now, op_id, execution, result, ended, fleet_use, from_others):
        lane = self.ops.pop(op_id, None)
        if lane is None or ended:
            return
        ran = result not in (say.FULL, say.UNREACHED, say.MOOT)
        if ran and lane.repeat != say.REPLAYABLE:
            self.out.terminate(op_id)
        else:
            self.out.shed(op_id, 0)

    def left(self, now, op_id):
        self.ops.pop(op_id, None)

    def act(self, now):
        """Nothing waits here."""

    def shared(self, now, volume, part):
        """Limits are the module's."""

    def routed(self, routes):
        """Routes are the module's."""
