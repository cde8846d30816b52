"""The one helper file: plays a scenario in the notation of tests/scenarios/README.md."""

import pytest

from rushmux import interface as say
from rushmux.rules import Gateway

MS = 10  # ticks in a millisecond

TERMS = {
    "gateways": 2,
    "tick": 20,
    "list_asked": False,
    "ask_within": 10_000 * MS,
    "executions": 3,
    "come_back": 2_000 * MS,
    "mean_units": 2.0,
    "most_units": 8.0,
    "cold_units": 16.0,
    "cold_span": 2_000 * MS,
    "fall_multiple": 2.0,
    "cold_start": 0.25,
    "warm_within": 16_000 * MS,
    "meter_span": 0,
    "order_rest": 0,
    "budget_share": None,
    "budget_free": 0.0,
    "budget_span": 0,
    "copies": False,
    "cancel": False,
    "load_asked": False,
}
LANE = {
    "quoted": 400,
    "stop": 2000,
    "utility": 1.0,
    "repeat": say.REPLAYABLE,
    "group": "all",
    "window": 3000,
    "in_order": False,
}
ROUTE = {
    "time_out": 1 << 40,
    "executions": 1 << 40,
    "wait": 0,
    "copy_after": 0,
    "held": 1 << 40,
    "share": 0.0,
    "free": 1e12,
}
PLAN = {"nominal": 4.0, "reserve": 2.0, "limit": 0.0, "burst": 0.0, "slack": 0.0, "weight": 1.0, "price": 1.0}


def valued(words, defaults):
    """`name=value` words over the defaults, each as the kind of thing its default is."""
    fields = dict(defaults)
    for word in words:
        name, value = word.split("=")
        kind = float if defaults[name] is None else type(defaults[name])
        fields[name] = value == "yes" if kind is bool else kind(value)
    return fields


class Player:
    """An Outbox that writes down what a gateway does, and the verbs of the notation."""

    def __init__(self):
        self.now, self.gateway, self.done, self.wakes, self.time_outs = 0, None, [], [], {}
        self.terms, self.lanes, self.plans, self.executions = dict(TERMS), {}, {}, {}
        self.routes, self.advice = {}, {}
        self.lane("read")
        self.plan("base")

    def execute(self, op_id, node, time_out):
        assert time_out >= 0
        self.executions[op_id] = self.executions.get(op_id, -1) + 1
        self.time_outs[op_id] = time_out
        self.done.append(f"run {op_id} {node}")

    def shed(self, op_id, come_back):
        self.advice[op_id] = come_back
        self.done.append(f"shed {op_id}")

    def terminate(self, op_id):
        self.done.append(f"end {op_id}")

    def wake(self, after):
        assert after > 0
        self.wakes.append(self.now + after)

    def watch(self):
        self.done.append("watch")

    def withdraw(self, op_id, execution):
        self.done.append(f"withdraw {op_id} {execution}")

    def probe(self, node):
        self.done.append(f"probe {node}")

    def told(self, node, result, *words):
        """A node's load, or how asking for it ended: queue, and service in ms."""
        row = valued(words, {"queue": -1.0, "service": -1.0})
        row["service"] *= MS
        self.gateway.reported(node, result, *(value if value >= 0 else None for value in row.values()))

    def terms_(self, *words):
        self.terms = valued(words, self.terms)

    def lane(self, name, *words):
        row = valued(words, LANE)
        self.lanes[name] = say.Lane(
            name,
            row["quoted"] * MS,
            row["stop"] * MS,
            row["utility"],
            row["repeat"],
            row["group"],
            row["window"] * MS,
            row["in_order"],
        )

    def plan(self, name, *words):
        self.plans[name] = say.Plan(name, **valued(words, PLAN))

    def route(self, lane, plan, *words):
        """A route; `copies=` none stands for no copies.  A running gateway is told at once."""
        row = valued([word for word in words if word != "copies=none"], ROUTE)
        copy_after = None if "copies=none" in words else row["copy_after"] * MS
        self.routes[lane, plan] = say.Route(
            row["time_out"] * MS,
            row["executions"],
            row["wait"] * MS,
            copy_after,
            row["held"],
            row["share"],
            row["free"],
        )
        if self.gateway:
            self.gateway.routed(dict(self.routes))

    def start(self):
        terms = say.Terms(lanes=self.lanes, plans=self.plans, routes=dict(self.routes), **self.terms)
        self.wakes, self.executions = [], {}
        self.gateway = Gateway(terms, 7, self.now, self)

    def list(self, kind, *nodes):
        """Each node as name/cell/condition/online-since in ms/zone, the last three left out at will."""
        entries = []
        for text in nodes:
            name, cell, condition, since, zone = (text.split("/") + ["", "", ""])[:5]
            entries.append(
                say.Listed(name, int(cell), zone or "z", condition or say.READY, int(since or 0) * MS)
            )
        self.gateway.listed(self.now, kind, entries)

    def take(self, op_ids, *words):
        row = valued(
            words,
            {
                "lane": "read",
                "plan": "base",
                "vol": "v",
                "key": "",
                "left": 0,
                "units": 2.0,
                "cell": 0,
                "mounts": 1,
                "again": False,
            },
        )
        left = row["left"] * MS or self.lanes[row["lane"]].hard_stop
        for op_id in op_ids.split(","):
            self.gateway.taken(
                self.now,
                op_id,
                row["lane"],
                row["plan"],
                row["vol"],
                row["key"],
                left,
                row["units"],
                row["cell"],
                row["mounts"],
                row["again"],
            )

    def back(self, op_ids, result, *words):
        row = valued(words, {"others": 0.0, "use": 0})
        self.gateway.act(self.now)
        for op_id in op_ids.split(","):
            op_id, _, number = op_id.partition("/")
            number = int(number) if number else self.executions[op_id]
            self.gateway.answered(
                self.now, op_id, number, result, result == say.SUCCEEDED, row["use"], row["others"]
            )

    def pause(self, milliseconds):
        self.now, self.wakes = self.now + int(milliseconds) * MS, []

    def timeout(self, op_id, milliseconds):
        assert self.time_outs[op_id] == int(milliseconds) * MS, f"{op_id}: {self.time_outs[op_id]}"

    def comeback(self, op_id, milliseconds):
        assert self.advice[op_id] == int(milliseconds) * MS, f"{op_id}: {self.advice[op_id]}"

    def play(self, text):
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            if not words:
                continue
            if words[0] == "at":
                self.until(int(words[1]) * MS)
            elif words[0] == "expect":
                self.gateway.act(self.now)
                wanted = [part.strip() for part in " ".join(words[1:]).split(";")]
                wanted = [] if wanted == ["nothing"] else wanted
                assert self.done == wanted, f"line {number}: {line}: {self.done}"
                self.done = []
            elif words[0] == "count":
                self.gateway.act(self.now)
                found = sum(deed.startswith(" ".join(words[2:])) for deed in self.done)
                assert found == int(words[1]), f"line {number}: {line}: {self.done}"
                self.done = []
            else:
                getattr(self, "terms_" if words[0] == "terms" else words[0])(*words[1:])

    def until(self, when):
        """Lets time pass, with the wakes that the gateway asked for."""
        if self.gateway:
            self.gateway.act(self.now)
        while self.wakes and min(self.wakes) <= when:
            self.now = min(self.wakes)
            self.wakes = [wake for wake in self.wakes if wake > self.now]
            self.gateway.act(self.now)
        self.now = when


@pytest.fixture
def player():
    return Player()
