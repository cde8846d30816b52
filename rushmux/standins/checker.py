"""Judges a day by its recordings alone: the seven rules, and the bytes read against those written.

Recordings are rows with a `kind` and a time `at` in seconds of one clock: of the clients (session,
ask, answer, left, writing, wrote, unsure, got), of the nodes' sockets (start, execution, outcome,
effect, reset, fell), of what edges were told (told) and of what was done to the fleet (killed).  An
operation's id reads EDGE.START.NUMBER/SESSION.REQUEST, or /- where no client asked for it.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import NamedTuple

from rushmux.nodewire import messages
from rushmux.scheduling.interface import EndpointState, Idempotency
from rushmux.settings.deployment import Deployment

RULES = (
    "no operation lost",
    "no effect twice",
    "drains kept",
    "no cold node pushed over",
    "order kept",
    "budgets kept",
    "limits kept",
    "bytes as written",
)
SECOND = 10_000  # ticks in a second
MOST_TOLD = 20  # breaches told of a rule; more are counted


class Verdict(NamedTuple):
    """One rule: how many events were held against it, how near the nearest came (1: the edge of it;
    None where nothing came near), and the breaches.
    """

    rule: str
    checked: int
    nearest: float
    breaches: tuple[str, ...]


class _Rule:
    def __init__(self, name):
        self.name, self.checked, self.nearest, self.breaches, self.more = name, 0, None, [], 0

    def near(self, part):
        self.nearest = part if self.nearest is None else max(self.nearest, part)

    def breach(self, text):
        if len(self.breaches) < MOST_TOLD:
            self.breaches.append(text)
        else:
            self.more += 1

    def verdict(self):
        more = [f"and {self.more} more"] if self.more else []
        return Verdict(self.name, self.checked, self.nearest, tuple(self.breaches + more))


class Sent(NamedTuple):
    """An execution as a node's socket saw it."""

    at: float
    node: str
    edge: str
    start: str
    number: int  # of the operation, in the order that its edge took them
    request: str  # session and request, "" where no client asked
    row: dict

    @property
    def name(self):
        return f"{self.row['op']} execution {self.row['execution']} at {self.node}, {self.at:.4f} s"


def _sent(row):
    whole, tag = row["op"].split("/", 1)
    edge, start, number = whole.rsplit(".", 2)
    return Sent(
        row["at"], row["node"], edge, start, int(number), "" if tag == "-" else f"{edge}.{start}/{tag}", row
    )


class Checker:
    """All recordings of one day.  `way` is the longest time a message is on its way, in seconds."""

    def __init__(self, records, deployment: Deployment, way: float):
        self.deployment, self.settings, self.way = deployment, deployment.settings, way
        self.rows = defaultdict(list)
        for row in records:
            self.rows[row["kind"]].append(row)
        self.sent = [_sent(row) for row in self.rows["execution"]]
        self.outcomes = {(row["op"], row["execution"], row["node"]): row for row in self.rows["outcome"]}

    def breaches(self) -> list[str]:
        """What broke any rule."""
        return [text for verdict in self.verdicts() for text in verdict.breaches]

    def verdicts(self) -> list[Verdict]:
        """One for each of RULES, in that order."""
        checks = (
            self.lost,
            self.effects,
            self.drains,
            self.cold,
            self.order,
            self.budgets,
            self.limits,
            self.bytes,
        )
        found = []
        for name, check in zip(RULES, checks):
            rule = _Rule(name)
            check(rule)
            found.append(rule.verdict())
        return found

    def lost(self, rule):
        """Each request that a running edge took has one answer in time, and nothing is sent after it."""
        patience = self.deployment.sessions.patience
        killed = {f"{row['edge']}.{row['start']}": row["at"] for row in self.rows["killed"] if "edge" in row}
        answers = defaultdict(list)
        for row in self.rows["answer"]:
            answers[row["session"], row["number"]].append(row)
        left = {row["session"]: row["at"] for row in self.rows["left"]}
        for ask in self.rows["ask"]:
            key = ask["session"], ask["number"]
            name = f"{ask['session']} request {ask['number']} ({ask['what']})"
            rule.checked += 1
            found = answers.pop(key, [])
            if len(found) > 1:
                rule.breach(f"{name}: {len(found)} answers")
            if found:
                took = found[0]["at"] - ask["at"]
                rule.near(took / patience)
                if took > patience:
                    rule.breach(f"{name}: answered after {took:.3f} s of {patience} s")
            else:
                edge = ask["session"].split("/")[0]
                # Danger: an edge that closes on a client owes the answers; only its own death or the
                # client's leaving excuses them.
                over = min(killed.get(edge, float("inf")), left.get(ask["session"], float("inf")))
                if over > ask["at"] + patience:
                    rule.breach(f"{name}: no answer")
        for (session, number), rows in answers.items():
            rule.breach(
                f"{session} request {number}: an answer that nobody asked for, at {rows[0]['at']:.4f} s"
            )
        answered = {f"{row['session']}.{row['number']}": row["at"] for row in self.rows["answer"]}
        for sent in self.sent:
            over = answered.get(sent.request)
            if over is not None and sent.at > over + self.way:
                rule.breach(f"{sent.name}: sent {sent.at - over:.4f} s after the answer")

    def effects(self, rule):
        """Repeats of a single-use or referenced operation stay where and when they are known again."""
        by_op = defaultdict(list)
        for sent in self.sent:
            by_op[sent.row["op"]].append(sent)
        for sends in by_op.values():
            lane = self.settings.request_classes[sends[0].row["lane"]]
            if lane.idempotency == Idempotency.IDEMPOTENT:
                continue
            sends.sort(key=lambda sent: sent.row["execution"])
            rule.checked += 1
            maybe = None
            for sent in sends:
                if maybe is not None:
                    rule.near((sent.at - maybe.at) / (lane.dedup_window / SECOND) if lane.dedup_window else 0)
                    if lane.idempotency == Idempotency.NOT_IDEMPOTENT:
                        rule.breach(f"{sent.name}: an earlier one may have run")
                    elif sent.at - maybe.at > lane.dedup_window / SECOND + self.way:
                        rule.breach(f"{sent.name}: its mark is forgotten by then")
                    elif lane.dedup_scope == "cell" and sent.row["cell"] != maybe.row["cell"]:
                        rule.breach(f"{sent.name}: another cell does not know its mark")
                outcome = self.outcomes.get((sent.row["op"], sent.row["execution"], sent.node))
                known = outcome is not None and outcome["code"] == messages.BUSY
                maybe = maybe if maybe is not None or known else sent
        marks = {}
        for row in self.rows["effect"]:
            rule.checked += 1
            if row["mark"] in marks:
                rule.breach(
                    f"{row['op']}: its change took effect at {marks[row['mark']]} and at {row['node']}"
                )
            marks[row["mark"]] = row["node"]

    def drains(self, rule):
        """Nothing new from an edge to a node later than the grace after it was told of its drain."""
        told = defaultdict(list)  # edge, start, node -> times and conditions
        for row in self.rows["told"]:
            for node, condition in row["nodes"]:
                rule.checked += condition != EndpointState.READY
                told[row["edge"], row["start"], node].append((row["at"], condition))
        grace = self.deployment.drain_grace
        for sent in self.sent:
            history = told.get((sent.edge, sent.start, sent.node), ())
            since = None
            for at, condition in history:
                if at > sent.at:
                    break
                since = (since if since is not None else at) if condition != EndpointState.READY else None
            if since is None:
                continue
            rule.checked += 1
            rule.near((sent.at - since) / (grace + self.way))
            if sent.at - since > grace + self.way:
                rule.breach(f"{sent.name}: told {sent.at - since:.3f} s before that it drains or is gone")

    def cold(self, rule):
        """What comes to a node that has just started stays under the stated multiple of what it can do."""
        span, settings = self.deployment.bounds.overload_window / SECOND, self.settings
        for row in self.rows["fell"]:
            rule.breach(f"{row['node']} was pushed over at {row['at']:.3f} s")
        by_node = defaultdict(list)
        for sent in self.sent:
            by_node[sent.node].append(sent)
        for start in self.rows["start"]:
            if not start["cold"]:
                continue
            sends = by_node[start["node"]]
            times = [sent.at for sent in sends]
            first = bisect_left(times, start["at"])
            last = bisect_right(times, start["at"] + start["warm_within"] + span)
            others = [
                other["at"]
                for other in self.rows["start"]
                if other["node"] == start["node"] and other["at"] > start["at"]
            ]
            low, held = first, 0.0
            for place in range(first, last):
                sent = sends[place]
                if others and sent.at >= min(others):
                    break
                held += sent.row["units"]
                while times[low] <= sent.at - span:
                    held -= sends[low].row["units"]
                    low += 1
                part = min(
                    1.0,
                    start["cold_start"]
                    + (1 - start["cold_start"]) * (sent.at - start["at"]) / start["warm_within"],
                )
                most = settings.overload_multiple * part * start["per_second"] * span
                rule.checked += 1
                rule.near(held / most)
                if held > most:
                    rule.breach(f"{sent.name}: {held:.1f} units in {span} s, {most:.1f} push it over")

    def order(self, rule):
        """In a lane in order, one at a time for a key and in the order taken, with rests."""
        lines = defaultdict(list)
        for sent in self.sent:
            if self.settings.request_classes[sent.row["lane"]].ordered and sent.row["key"]:
                lines[sent.edge, sent.start, sent.row["key"]].append(sent)
        rest = self.settings.key_cooldown / SECOND
        breaks = sorted(
            (row["at"], row["node"])
            for kind in ("killed", "reset", "fell")
            for row in self.rows[kind]
            if "node" in row
        )
        breaks += [
            (row["at"], node)
            for row in self.rows["told"]
            for node, condition in row["nodes"]
            if condition == EndpointState.REMOVED
        ]
        for line in lines.values():
            line.sort(key=lambda sent: sent.at)
            for before, sent in zip(line, line[1:]):
                if before.row["op"] == sent.row["op"]:
                    continue
                rule.checked += 1
                if sent.number < before.number:
                    rule.breach(f"{sent.name}: taken before {before.name}")
                outcome = self.outcomes.get((before.row["op"], before.row["execution"], before.node))
                over = before.at + before.row["time_out"] / SECOND
                # What the edge did not hear in time, or what broke off, it held for lost; then the key rests.
                if outcome is not None and outcome["at"] <= over:
                    free = outcome["at"]
                else:
                    broke = [
                        at
                        for at, node in breaks
                        if node == before.node and before.at <= at + self.way and at < over
                    ]
                    free = rest + min([over, *broke])
                if sent.at < free - self.way:
                    rule.breach(f"{sent.name}: {before.name} is not over")

    def budgets(self, rule):
        """Further executions of an edge stay within the budget in any window."""
        share, free, span = (
            self.settings.retry_budget_ratio,
            self.settings.retry_budget_burst,
            self.settings.retry_budget_window / SECOND,
        )
        if share is None:
            return
        edges, taken_at = defaultdict(list), defaultdict(list)
        for row in self.rows["took"]:
            taken_at[row["edge"], row["start"]].append(row["at"])
        for sent in self.sent:
            edges[sent.edge, sent.start].append(sent)
        for sends in edges.values():
            sends.sort(key=lambda sent: sent.at)
            extras = [sent for sent in sends if sent.row["execution"]]
            # Operations are numbered as they are taken: those taken by a time are at least the highest
            # number sent by then, and those taken before it at most the lowest first sent after it.
            times = [sent.at for sent in sends]
            took = taken_at.get((sends[0].edge, sends[0].start))
            highest, top = [], 0
            for sent in sends:
                top = max(top, sent.number)
                highest.append(top)
            for place, extra in enumerate(extras):
                low = bisect_left([other.at for other in extras], extra.at - span + 2 * self.way)
                seen = highest[bisect_right(times, extra.at) - 1]
                before = bisect_right(times, extra.at - span)
                taken = seen - (highest[before - 1] if before else 0)
                if took is not None:  # told by the edge itself, those that it never sent included
                    taken = bisect_right(took, extra.at) - bisect_left(took, extra.at - span)
                rule.checked += 1
                most = free + share * taken
                rule.near((place - low + 1) / max(1, most))
                if place - low + 1 > most:
                    rule.breach(
                        f"{extra.name}: {place - low + 1} further executions in {span} s, "
                        f"{most:.1f} for {taken} taken"
                    )

    def limits(self, rule):
        """What all edges first send for a folder keeps to its plan's limit."""
        stores, seen = {}, set()
        for sent in sorted(self.sent, key=lambda sent: sent.at):
            folder = sent.row["volume"]
            plan = self.settings.plans[self.deployment.folders[folder].plan]
            if not plan.limit or sent.row["op"] in seen:
                continue
            seen.add(sent.row["op"])
            level, at = stores.get(folder, (plan.burst, sent.at))
            level = min(plan.burst, level + plan.limit * (sent.at - at)) - sent.row["units"]
            stores[folder] = level, sent.at
            rule.checked += 1
            rule.near((plan.burst - level) / (plan.burst + plan.slack))
            if level < -plan.slack - plan.limit * self.way:
                rule.breach(
                    f"{sent.name}: the limit of '{folder}' is passed by {-level:.1f} units, "
                    f"{plan.slack} are allowed"
                )

    def bytes(self, rule):
        """What was read is a version that was whole, and no older than the last one acknowledged."""
        writes = defaultdict(dict)  # path -> digest -> [begun, over, acknowledged]
        for row in self.rows["writing"]:
            writes[row["path"]][row["digest"]] = [row["begun"], float("inf"), False]
        for kind in ("wrote", "unsure"):
            for row in self.rows[kind]:
                writes[row["path"]][row["digest"]][1:] = row["at"], kind == "wrote"
        for row in self.rows["got"]:
            rule.checked += 1
            known = writes[row["path"]].get(row["digest"])
            if known is None:
                rule.breach(f"{row['path']} read at {row['at']:.4f} s: bytes that nobody wrote whole")
                continue
            newer = [
                other
                for other in writes[row["path"]].values()
                if other[2] and other[0] > known[1] and other[1] < row["begun"]
            ]
            if newer or known[0] > row["at"]:
                rule.breach(
                    f"{row['path']} read at {row['at']:.4f} s: a version of {known[0]:.4f} s, "
                    f"over {len(newer)} newer ones that were acknowledged before"
                )
