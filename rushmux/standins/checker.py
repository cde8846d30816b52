"""Checks the recordings of a day against `RULES`.

Recordings are rows with a `kind` and a time `at` (seconds of a common clock): of clients (session, ask,
answer, left, writing, wrote, unsure, got), nodes' sockets (start, execution, outcome, effect, reset, fell),
processes through which nodes' messages pass (stall: the event loop did not run since a time), edges (took;
told: the endpoint list) and faults (killed).  Operation ids have the form
EDGE.START.NUMBER/SESSION.REQUEST, or EDGE.START.NUMBER/- if no client requested the operation.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import pairwise
from typing import Any, NamedTuple

from rushmux.nodewire import messages
from rushmux.scheduling.driver import NEVER, TICKS_PER_SECOND
from rushmux.scheduling.interface import EndpointState, Idempotency
from rushmux.settings.deployment import Deployment
from rushmux.standins import file_versions, shed_effects

RULES = (
    "no operation lost",
    "no effect twice",
    "no effect of what was shed",
    "drains kept",
    "no cold node pushed over",
    "order kept",
    "budgets kept",
    "limits kept",
    "bytes as written",
)
MAX_BREACHES_SHOWN = 20
"""Breaches of a rule that are described; further ones are only counted."""
NO_REQUEST = "-"
EVERY_NODE = "*"
"""The node of a stall of a process through which the messages to all nodes pass."""
BACKLOG_TIME = 0.05
"""Seconds after a stall in which a process reads what arrived during it."""

Row = Mapping[str, Any]


class Verdict(NamedTuple):
    """The result of checking a rule.

    Attributes:
        rule: Its name.
        checked: Number of events that were checked.
        nearest: The highest ratio of an event's value to the bound of the rule; None if there was none.
        breaches: Descriptions.
    """

    rule: str
    checked: int
    nearest: float | None
    breaches: tuple[str, ...]


class _RuleCheck:
    """Collects the results of checking a rule."""

    def __init__(self, name: str):
        self.name = name
        self.checked = 0
        self._nearest: float | None = None
        self._breaches: list[str] = []
        self._not_shown = 0

    def record_ratio(self, ratio: float) -> None:
        self._nearest = ratio if self._nearest is None else max(self._nearest, ratio)

    def breach(self, text: str) -> None:
        if len(self._breaches) < MAX_BREACHES_SHOWN:
            self._breaches.append(text)
        else:
            self._not_shown += 1

    def verdict(self) -> Verdict:
        more = [f"and {self._not_shown} more"] if self._not_shown else []
        return Verdict(self.name, self.checked, self._nearest, tuple(self._breaches + more))


class Attempt(NamedTuple):
    """An attempt as it arrived at a node's socket."""

    at: float
    sent_at: float  # the earliest time, but for the network's delay, at which it can have been sent
    node: str
    edge: str
    start: str
    number: int  # of the operation, in the order in which its edge took them
    request: str  # session and request, "" if no client requested it
    row: Row

    @property
    def is_store(self) -> bool:
        """Whether it stores an object, which has no effect until rows refer to it."""
        return self.row["what"] == "write"

    @property
    def description(self) -> str:
        """Its name in breaches."""
        return f"{self.row['op']} execution {self.row['execution']} at {self.node}, {self.at:.4f} s"


def _attempt(row: Row, sent_at: float) -> Attempt:
    operation, request = row["op"].split("/", 1)
    edge, start, number = operation.rsplit(".", 2)
    session = "" if request == NO_REQUEST else f"{edge}.{start}/{request}"
    return Attempt(row["at"], sent_at, row["node"], edge, start, int(number), session, row)


class Checker:
    """Checks the recordings of a day.

    Args:
        records: The rows, in order of time.
        deployment: The deployment of the fleet.
        max_delay: Longest network delay of a message, seconds.
    """

    def __init__(self, records: Iterable[Row], deployment: Deployment, max_delay: float):
        self.deployment, self.settings, self.max_delay = deployment, deployment.settings, max_delay
        self.rows: dict[str, list[Row]] = defaultdict(list)
        for row in records:
            self.rows[row["kind"]].append(row)
        self._stalls = sorted(self.rows["stall"], key=lambda row: row["at"], reverse=True)
        self.attempts = [_attempt(row, self._earliest_send(row)) for row in self.rows["execution"]]
        self.outcomes = {(row["op"], row["execution"], row["node"]): row for row in self.rows["outcome"]}
        self._edge_killed_at = {
            f"{row['edge']}.{row['start']}": row["at"] for row in self.rows["killed"] if "edge" in row
        }
        self._session_left_at = {row["session"]: row["at"] for row in self.rows["left"]}

    def breaches(self) -> list[str]:
        """The breaches of all rules."""
        return [text for verdict in self.verdicts() for text in verdict.breaches]

    def verdicts(self) -> list[Verdict]:
        """One verdict for each of `RULES`, in that order."""
        checks = (
            self._check_answers,
            self._check_effects,
            self._check_shed_requests,
            self._check_drains,
            self._check_cold_nodes,
            self._check_order,
            self._check_retry_budgets,
            self._check_limits,
            self._check_bytes,
        )
        verdicts = []
        for name, check in zip(RULES, checks, strict=True):
            rule = _RuleCheck(name)
            check(rule)
            verdicts.append(rule.verdict())
        return verdicts

    def _outcome_of(self, attempt: Attempt) -> Row | None:
        return self.outcomes.get((attempt.row["op"], attempt.row["execution"], attempt.node))

    def _earliest_send(self, execution: Row) -> float:
        # The arrival of an attempt, or the begin of the stalls during which it may have waited in a socket.
        earliest = execution["at"]
        for stall in self._stalls:
            delays_it = stall["node"] in (execution["node"], EVERY_NODE)
            if delays_it and stall["since"] <= earliest <= stall["at"] + BACKLOG_TIME:
                earliest = stall["since"]
        return earliest

    # No operation lost.

    def _check_answers(self, rule: _RuleCheck) -> None:
        """Checks that each request has one answer in time, and that no attempt is sent after the answer."""
        answers = defaultdict(list)
        for row in self.rows["answer"]:
            answers[row["session"], row["number"]].append(row)
        for request in self.rows["ask"]:
            rule.checked += 1
            self._check_request(rule, request, answers.pop((request["session"], request["number"]), []))
        for (session, number), rows in answers.items():
            rule.breach(f"{session} request {number}: an answer without a request, at {rows[0]['at']:.4f} s")
        self._check_nothing_sent_after_answers(rule)

    def _check_request(self, rule: _RuleCheck, request: Row, answers: Sequence[Row]) -> None:
        timeout = self.deployment.sessions.request_timeout
        name = f"{request['session']} request {request['number']} ({request['what']})"
        if len(answers) > 1:
            rule.breach(f"{name}: {len(answers)} answers")
        if answers:
            elapsed = answers[0]["at"] - request["at"]
            rule.record_ratio(elapsed / timeout)
            if elapsed > timeout:
                rule.breach(f"{name}: answered after {elapsed:.3f} s, with a timeout of {timeout} s")
        elif self._excused_at(request["session"]) > request["at"] + timeout:
            rule.breach(f"{name}: no answer")

    def _excused_at(self, session: str) -> float:
        """When the edge was killed or the client left: after that, no answer is due.

        An edge that closes a session by itself still owes its answers.
        """
        edge = session.split("/")[0]
        return min(self._edge_killed_at.get(edge, NEVER), self._session_left_at.get(session, NEVER))

    def _check_nothing_sent_after_answers(self, rule: _RuleCheck) -> None:
        answered_at = {f"{row['session']}.{row['number']}": row["at"] for row in self.rows["answer"]}
        for attempt in self.attempts:
            at = answered_at.get(attempt.request)
            if at is not None and attempt.sent_at > at + self.max_delay:
                rule.breach(f"{attempt.description}: sent {attempt.sent_at - at:.4f} s after the answer")

    # No effect twice.

    def _check_effects(self, rule: _RuleCheck) -> None:
        """Checks that changes take effect once, and that their retries reach nodes that recognize them."""
        by_operation = defaultdict(list)
        for attempt in self.attempts:
            by_operation[attempt.row["op"]].append(attempt)
        for attempts in by_operation.values():
            request_class = self.settings.request_classes[attempts[0].row["lane"]]
            if request_class.idempotency != Idempotency.IDEMPOTENT:
                rule.checked += 1
                attempts.sort(key=lambda attempt: attempt.row["execution"])
                self._check_retries(rule, attempts, request_class)
        self._check_marks(rule)

    def _check_retries(self, rule: _RuleCheck, attempts: Sequence[Attempt], request_class) -> None:
        """Checks the attempts, in order, of an operation that is not idempotent."""
        window = request_class.dedup_window / TICKS_PER_SECOND
        first = None  # the first attempt that may have run
        for attempt in attempts:
            if first is not None:
                elapsed = attempt.at - first.at
                rule.record_ratio(elapsed / window if request_class.dedup_window else 0)
                if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
                    rule.breach(f"{attempt.description}: an earlier attempt may have run")
                elif elapsed > window + self.max_delay:
                    rule.breach(f"{attempt.description}: its deduplication mark has expired")
                elif request_class.dedup_scope == "cell" and attempt.row["cell"] != first.row["cell"]:
                    rule.breach(f"{attempt.description}: another cell does not know its deduplication mark")
            elif self._may_have_run(attempt):
                first = attempt

    def _may_have_run(self, attempt: Attempt) -> bool:
        outcome = self._outcome_of(attempt)
        return outcome is None or outcome["code"] != messages.BUSY

    def _check_marks(self, rule: _RuleCheck) -> None:
        node_by_mark: dict[str, str] = {}
        for row in self.rows["effect"]:
            rule.checked += 1
            mark = row["mark"]
            if mark in node_by_mark:
                rule.breach(
                    f"{row['op']}: its change took effect at {node_by_mark[mark]} and at {row['node']}"
                )
            node_by_mark[mark] = row["node"]

    # No effect of what was shed.

    def _check_shed_requests(self, rule: _RuleCheck) -> None:
        stored = [(attempt.request, attempt.row["key"]) for attempt in self.attempts if attempt.is_store]
        shed = shed_effects.shed_requests(self.rows["answer"])
        rule.checked += len(shed)
        for text in shed_effects.breaches(shed, stored, self.rows["effect"]):
            rule.breach(text)

    # Drains kept.

    def _check_drains(self, rule: _RuleCheck) -> None:
        """Checks that edges send no attempts to a node after the grace period of its drain."""
        told = defaultdict(list)
        for row in self.rows["told"]:
            for node, state in row["nodes"]:
                rule.checked += state != EndpointState.READY
                told[row["edge"], row["start"], node].append((row["at"], state))
        grace = self.deployment.drain_grace + self.max_delay
        for attempt in self.attempts:
            listings = told.get((attempt.edge, attempt.start, attempt.node), ())
            since = _not_ready_since(listings, attempt.sent_at)
            if since is None:
                continue
            rule.checked += 1
            elapsed = attempt.sent_at - since
            rule.record_ratio(elapsed / grace)
            if elapsed > grace:
                rule.breach(f"{attempt.description}: listed as draining or removed {elapsed:.3f} s before")

    # No cold node pushed over.

    def _check_cold_nodes(self, rule: _RuleCheck) -> None:
        """Checks that the load of a cold node stays below the overload multiple of its capacity."""
        for row in self.rows["fell"]:
            rule.breach(f"{row['node']} failed under overload at {row['at']:.3f} s")
        by_node = defaultdict(list)
        for attempt in self.attempts:
            by_node[attempt.node].append(attempt)
        for start in self.rows["start"]:
            if start["cold"]:
                self._check_cold_start(rule, start, by_node[start["node"]])

    def _check_cold_start(self, rule: _RuleCheck, start: Row, attempts: Sequence[Attempt]) -> None:
        """Checks the attempts at a node within any window while it was warming up."""
        window = self.deployment.bounds.overload_window / TICKS_PER_SECOND
        times = [attempt.at for attempt in attempts]
        first = bisect_left(times, start["at"])
        last = bisect_right(times, start["at"] + start["warm_within"] + window)
        next_start = self._next_start(start)
        oldest, units = first, 0.0
        for index in range(first, last):
            attempt = attempts[index]
            if attempt.at >= next_start:
                break
            units += attempt.row["units"]
            while times[oldest] <= attempt.at - window:
                units -= attempts[oldest].row["units"]
                oldest += 1
            bound = self.settings.overload_multiple * _capacity(start, attempt.at) * window
            rule.checked += 1
            rule.record_ratio(units / bound)
            if units > bound:
                rule.breach(
                    f"{attempt.description}: {units:.1f} units in {window} s, at most {bound:.1f} are allowed"
                )

    def _next_start(self, start: Row) -> float:
        later = (
            other["at"]
            for other in self.rows["start"]
            if other["node"] == start["node"] and other["at"] > start["at"]
        )
        return min(later, default=NEVER)

    # Order kept.

    def _check_order(self, rule: _RuleCheck) -> None:
        """Checks that ordered request classes run a key's operations one at a time, in the order taken."""
        by_key = defaultdict(list)
        for attempt in self.attempts:
            if self.settings.request_classes[attempt.row["lane"]].ordered and attempt.row["key"]:
                by_key[attempt.edge, attempt.start, attempt.row["key"]].append(attempt)
        breaks = list(self._connection_breaks())
        for attempts in by_key.values():
            attempts.sort(key=lambda attempt: attempt.at)
            for before, attempt in pairwise(attempts):
                if before.row["op"] == attempt.row["op"]:
                    continue
                rule.checked += 1
                if attempt.number < before.number:
                    rule.breach(f"{attempt.description}: taken before {before.description}")
                if attempt.at < self._key_free_at(before, breaks) - self.max_delay:
                    rule.breach(f"{attempt.description}: {before.description} has not ended")

    def _connection_breaks(self) -> Iterator[tuple[float, str]]:
        """Times at which an edge may have considered the attempts at a node as lost, with the node."""
        for kind in ("killed", "reset", "fell"):
            yield from ((row["at"], row["node"]) for row in self.rows[kind] if "node" in row)
        for row in self.rows["told"]:
            yield from ((row["at"], node) for node, state in row["nodes"] if state == EndpointState.REMOVED)

    def _key_free_at(self, attempt: Attempt, breaks: Iterable[tuple[float, str]]) -> float:
        """When the next operation on the same key may be sent.

        An attempt that timed out or lost its connection counts as lost, after which the key has a cooldown.
        """
        outcome = self._outcome_of(attempt)
        timed_out_at = attempt.at + attempt.row["time_out"] / TICKS_PER_SECOND
        if outcome is not None and outcome["at"] <= timed_out_at:
            return outcome["at"]
        broken_at = [
            at
            for at, node in breaks
            if node == attempt.node and attempt.at <= at + self.max_delay and at < timed_out_at
        ]
        return self.settings.key_cooldown / TICKS_PER_SECOND + min([timed_out_at, *broken_at])

    # Budgets kept.

    def _check_retry_budgets(self, rule: _RuleCheck) -> None:
        """Checks that the retries of each edge stay within the budget in any window."""
        if self.settings.retry_budget_ratio is None:
            return
        by_edge, taken_at = defaultdict(list), defaultdict(list)
        for row in self.rows["took"]:
            taken_at[row["edge"], row["start"]].append(row["at"])
        for attempt in self.attempts:
            by_edge[attempt.edge, attempt.start].append(attempt)
        for edge, attempts in by_edge.items():
            attempts.sort(key=lambda attempt: attempt.at)
            self._check_retry_budget(rule, attempts, taken_at.get(edge))

    def _check_retry_budget(
        self, rule: _RuleCheck, attempts: Sequence[Attempt], taken_at: Sequence[float] | None
    ) -> None:
        window = self.settings.retry_budget_window / TICKS_PER_SECOND
        retries = [attempt for attempt in attempts if attempt.row["execution"]]
        retried_at = [retry.at for retry in retries]
        estimate = _TakenEstimate(attempts)
        for index, retry in enumerate(retries):
            oldest = bisect_left(retried_at, retry.at - window + 2 * self.max_delay)
            if taken_at is None:
                taken = estimate.taken_by(retry.at) - estimate.taken_by(retry.at - window)
            else:  # recorded by the edge, including operations that it never sent
                taken = bisect_right(taken_at, retry.at) - bisect_left(taken_at, retry.at - window)
            allowed = self.settings.retry_budget_burst + self.settings.retry_budget_ratio * taken
            count = index - oldest + 1
            rule.checked += 1
            rule.record_ratio(count / max(1, allowed))
            if count > allowed:
                rule.breach(
                    f"{retry.description}: {count} retries in {window} s, "
                    f"{allowed:.1f} are allowed for {taken} operations taken"
                )

    # Limits kept.

    def _check_limits(self, rule: _RuleCheck) -> None:
        """Checks the first attempts of all edges for a folder against the limit of its plan."""
        levels: dict[str, tuple[float, float]] = {}  # units left in a folder's bucket, and when
        seen = set()
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.at):
            folder = attempt.row["volume"]
            plan = self.settings.plans[self.deployment.folders[folder].plan]
            if not plan.limit or attempt.row["op"] in seen:
                continue
            seen.add(attempt.row["op"])
            level, at = levels.get(folder, (plan.burst, attempt.at))
            level = min(plan.burst, level + plan.limit * (attempt.at - at)) - attempt.row["units"]
            levels[folder] = level, attempt.at
            rule.checked += 1
            rule.record_ratio((plan.burst - level) / (plan.burst + plan.slack))
            if level < -plan.slack - plan.limit * self.max_delay:
                rule.breach(
                    f"{attempt.description}: the limit of '{folder}' is exceeded by {-level:.1f} units, "
                    f"{plan.slack} are allowed"
                )

    # Bytes as written.

    def _check_bytes(self, rule: _RuleCheck) -> None:
        """Checks that reads return complete versions, no older than the last one acknowledged before."""
        rule.checked += len(self.rows["got"])
        for text in file_versions.breaches(self.rows):
            rule.breach(text)


class _TakenEstimate:
    """A lower bound of the number of operations that an edge had taken by a time.

    Operations are numbered in the order taken, so that it is the highest number sent by then.
    """

    def __init__(self, attempts: Sequence[Attempt]):
        self._times = [attempt.at for attempt in attempts]
        self._highest: list[int] = []
        highest = 0
        for attempt in attempts:
            highest = max(highest, attempt.number)
            self._highest.append(highest)

    def taken_by(self, at: float) -> int:
        count = bisect_right(self._times, at)
        return self._highest[count - 1] if count else 0


def _not_ready_since(history: Iterable[tuple[float, EndpointState]], at: float) -> float | None:
    """Since when a node was not ready at a time, by an edge's endpoint lists; None if it was ready."""
    since = None
    for told_at, state in history:
        if told_at > at:
            break
        if state == EndpointState.READY:
            since = None
        elif since is None:
            since = told_at
    return since


def _capacity(start: Row, at: float) -> float:
    """Units per second that a node can serve at a time after a cold start."""
    age = (at - start["at"]) / start["warm_within"]
    fraction = min(1.0, start["cold_start"] + (1 - start["cold_start"]) * age)
    return fraction * start["per_second"]
