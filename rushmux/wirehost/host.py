"""The adapter between the simulator's wire and the decision module.

It hosts one `Gateway` per instance, turns each event into one call and each call of the
module into one action.  It decides nothing.
"""

import orjson

from rushmux import interface as say
from rushmux.rules import Gateway
from rushmux.settings.platform import LOADS, TICK_NS, loads_of, terms_of

RESULTS = {
    "completed": say.SUCCEEDED,
    "errored": say.ERRORED,
    "saturated": say.FULL,
    "overdue": say.OVERDUE,
    "refused_conn": say.UNREACHED,
    "severed": say.SEVERED,
    "recalled": say.WITHDRAWN,
    "superseded": say.MOOT,
}
LISTS = {
    "update": say.CHANGES,
    "replace": say.WHOLE,
    "restored": say.RESTORED,
    "unavailable": say.UNAVAILABLE,
}


class Malformed(Exception):
    """Input that the wire does not allow, in one plain sentence."""


class Outlet:
    """The module's calls of one instance, written as actions."""

    def __init__(self, gateway, host):
        self.gateway = gateway
        self.host = host

    def put(self, action, **fields):
        self.host.actions.append({action: {"Gateway": self.gateway, **fields}})

    def execute(self, op_id, node, time_out):
        self.put("Relay", Corr=op_id, TryFor=time_out * TICK_NS, Node=node)

    def shed(self, op_id, come_back):
        self.put("Reject", Corr=op_id, RetryAfter=come_back * TICK_NS)

    def terminate(self, op_id):
        self.put("FinishError", Corr=op_id)

    def wake(self, after):
        self.put("NotifyMe", Span=after * TICK_NS, Cookie="wake")

    def watch(self):
        self.put("Watch", Active=True)

    def withdraw(self, op_id, execution):
        self.put("Retract", Corr=op_id, SendNo=execution)

    def probe(self, node):
        self.put("Probe", Node=node)


class Host:
    """All instances of one process; they share nothing but the lists that events refer to."""

    def __init__(self):
        self.gateways = {}
        self.loads = {}  # gateway -> where the values of a report stand
        self.lists = {}
        self.now = 0
        self.actions = []
        self.calls = {
            "Attach": self.attach,
            "Down": self.down,
            "Catalog": self.catalog,
            "DirectoryUpdate": self.directory,
            "Call": self.call,
            "AckFirst": None,
            "Settled": self.settled,
            "TimedOutClient": self.timed_out,
            "Fired": None,
            "Health": self.health,
            "PeerData": None,
        }

    def serve(self, source, sink):
        for number, line in enumerate(source, 1):
            try:
                batch = orjson.loads(line)
                sink.write(self.batch(batch["Clock"] // TICK_NS, batch["input"]))
            except KeyError as fault:
                raise Malformed(f"line {number} lacks or does not know {fault}") from fault
            except (TypeError, ValueError, AttributeError) as fault:
                raise Malformed(f"line {number} is not a batch of events: {fault}") from fault
            sink.write(b"\n")
            sink.flush()

    def batch(self, now, events):
        self.now, self.actions = now, []
        met = {}
        for event in events:
            ((name, fields),) = event.items()
            call = self.calls[name]
            gateway = fields["Gateway"] if name != "Catalog" else None
            if gateway is not None:
                met[gateway] = True
            if call is not None:
                self.guarded(gateway, *call(fields))
        for gateway in met:
            if gateway in self.gateways:
                self.guarded(gateway, self.gateways[gateway].act, now)
        return orjson.dumps({"do": self.actions})

    def guarded(self, gateway, call, *values):
        """Let a fault of the module end the day with its text, not the process."""
        try:
            call(*values)
        except Exception as fault:  # pylint: disable=broad-except
            text = f"{type(fault).__name__}: {fault}"
            self.actions.append({"BailOut": {"Gateway": gateway, "Text": text}})

    # Each of these reads one event's fields and returns the module's call with its values.

    def attach(self, e):
        outlet = Outlet(e["Gateway"], self)
        self.loads[e["Gateway"]] = loads_of(e["Env"])
        return self.start, e["Gateway"], terms_of(e["Env"]), e["Entropy"], outlet

    def start(self, gateway, terms, seed, outlet):
        self.gateways[gateway] = Gateway(terms, seed, self.now, outlet)

    def down(self, e):
        return self.gateways.pop, e["Gateway"], None

    def catalog(self, e):
        entries = [
            say.Listed(
                row["Node"],
                row["Cohort"],
                row["Dc"],
                row["Condition"],
                -(-row.get("OnlineSince", 0) // TICK_NS),
            )
            for row in e["MembersList"]
        ]
        return self.lists.__setitem__, e["SetId"], entries

    def directory(self, e):
        kind = LISTS[e["Kind"]]
        entries = () if kind == say.UNAVAILABLE else self.lists[e["SetId"]]
        return self.gateways[e["Gateway"]].listed, self.now, kind, entries

    def call(self, e):
        return (
            self.gateways[e["Gateway"]].taken,
            self.now,
            e["Corr"],
            e["Service"],
            e["Grade"],
            e["StoreUser"],
            e.get("Chunk", ""),
            e["Left"] // TICK_NS,
            e["Units"],
            e["GroupNo"],
            e["Mounts"],
            e.get("IsRetry", False),
        )

    def settled(self, e):
        return (
            self.gateways[e["Gateway"]].answered,
            self.now,
            e["Corr"],
            e["SendNo"],
            RESULTS[e["Verdict"]],
            e.get("Ended", False),
            e.get("SeenUse", 0),
            e.get("FromOthers", 0),
        )

    def health(self, e):
        row, places = e.get("Metrics") or (), self.loads[e["Gateway"]]
        values = [
            float(row[place]) * scale if place is not None and place < len(row) else None
            for place, scale in zip(places, LOADS.values())
        ]
        return self.gateways[e["Gateway"]].reported, e["Node"], RESULTS[e["Verdict"]], *values

    def timed_out(self, e):
        return self.gateways[e["Gateway"]].left, self.now, e["Corr"]
