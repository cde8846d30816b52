"""What a fleet on the virtual clock and one of processes do alike to their parts."""

import asyncio

from rushmux.planner import admin_server

PERSON = 60.0  # seconds that a person asks on for an answer that was lost
PAUSE = 0.5  # seconds between two of its tries


class Orders:
    """Part of a fleet that has `record`, `kill_node`, `node`, `cell_of` and `lists`."""

    async def replace(self, name, new):
        """Takes a node away and starts a new, empty one for its cell."""
        cell = self.cell_of(name)
        self.kill_node(name)
        await self.node(new, cell)

    def kill_planner(self):
        self.record("killed", planner=True)
        self.lists.process.kill()

    async def person(self, word, verb, **order):
        """A person asks about the policy until an answer comes, under one name for one order; `people` holds
        what was said.  For fleets that have `people` and `places`.
        """
        known = {"client": f"person{len(self.people)}", "n": 1, "by": "somebody"}
        row = {"word": word, "verb": verb, "said": "", "number": order.get("number")}
        self.people.append(row)
        until = self.loop.time() + PERSON
        while self.loop.time() < until:
            try:
                row["said"] = (await admin_server.policy(self.places, verb, **order, **known)).said
                break
            except admin_server.Elsewhere:
                await asyncio.sleep(PAUSE)
            except admin_server.NotOrdered as fault:
                row["said"] = f"refused: {fault}"
                break
        if row["said"].endswith("is staged"):
            row["number"] = int(row["said"].split()[0])
        self.record("told_person", **row)
