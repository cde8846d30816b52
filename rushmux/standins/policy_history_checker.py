"""Checks recorded histories of policy changes, of simulated fleets and of real processes.

It relies only on the recorded rows: `decided` (a planner applied a command), `leads`, `goes_by` (an edge's
policy state), `execution` (an attempt at a node), `fenced` (a node rejected an attempt), `ask` and `answer`
(a client's request and reply), and the answers that operators received.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from rushmux.settings.deployment import Deployment
from rushmux.standins.checker import Checker

MAX_DELAY = 0.25  # longest message delay between processes on a busy machine, seconds
MAX_BREACHES = 20  # breaches by operations that are listed
EXCLUDED_RULES = ("limits kept", "no cold node pushed over")
"""Rules of `Checker` that are checked here against the active policy, or do not apply here."""
OUTCOMES = {"decide": "decided", "end": "ended", "withdraw": "withdrawn"}
"""Outcome of a change by the kind of the command that ended it."""

Row = Mapping[str, Any]


class AppliedCommand(NamedTuple):
    """A command as a planner recorded it: its kind, its result and the active version after it."""

    kind: str
    answer: str
    active_version: int


class ActivePolicy(NamedTuple):
    """When a version became active, and its limit and burst by folder."""

    since: float
    limits: Mapping[str, Sequence[float]]


def check_history(
    rows: Sequence[Row],
    deployment: Deployment,
    expectations: Iterable[Sequence[str]],
    operators: Iterable[Row],
    paused: Collection[str],
) -> tuple[list[str], Counter]:
    """Checks a whole history.

    Args:
        rows: All recorded rows, in order of time.
        deployment: The deployment that the fleet started with.
        expectations: Expected outcomes of the scenario's changes.
        operators: The operators' commands and the answers to them.
        paused: Names of programs that were paused or partitioned at some time.

    Returns:
        The breaches, and counts of events.
    """
    facts: Counter = Counter()
    applied, breaches = _applied_commands(rows)
    versions = [applied[index].active_version for index in sorted(applied)]
    if versions != sorted(versions):
        breaches.append(f"the active version decreased: {versions}")
    outcomes = _outcomes(applied, facts)
    policies = active_policies(rows)
    breaches += check_operations(rows, policies, facts)[:MAX_BREACHES]
    breaches += check_answers(operators, outcomes, expectations, versions[-1] if versions else 0)
    breaches += _check_rules(rows, deployment, paused)
    facts["executions"] = sum(row["kind"] == "execution" for row in rows)
    facts["answers"] = sum(row["kind"] == "answer" and row["status"] in (0, 1) for row in rows)
    facts["fenced"] = sum(row["kind"] == "fenced" for row in rows)
    return breaches, facts


def _applied_commands(rows: Iterable[Row]) -> tuple[dict[int, AppliedCommand], list[str]]:
    """The command at each log index, and breaches where planners disagree on it."""
    applied: dict[int, AppliedCommand] = {}
    breaches = []
    for row in rows:
        if row["kind"] != "decided":
            continue
        command = AppliedCommand(row["order"], row["said"], row["force"])
        known = applied.setdefault(row["index"], command)
        if known != command:
            breaches.append(f"planners disagree on entry {row['index']}: {tuple(known)} and {command.answer}")
    return applied, breaches


def active_policies(rows: Iterable[Row]) -> dict[int, ActivePolicy]:
    """The policies that became active, by version."""
    policies: dict[int, ActivePolicy] = {}
    for row in rows:
        if row["kind"] == "decided" and row["force"] and row["force"] not in policies:
            limits = {folder: limit_and_burst for folder, *limit_and_burst in row["rows"]}
            policies[row["force"]] = ActivePolicy(row["at"], limits)
    return policies


def _outcomes(applied: Mapping[int, AppliedCommand], facts: Counter) -> dict[int, str]:
    """Outcome of each change by its version; also counts the commands that ended changes."""
    outcomes: dict[int, str] = {}
    for index in sorted(applied):
        command = applied[index]
        if command.kind in OUTCOMES and not command.answer.startswith("refused"):
            version = int(command.answer.split()[0])
            outcomes.setdefault(version, OUTCOMES[command.kind])
            facts[command.kind] += 1
    return outcomes


def _check_rules(rows: Sequence[Row], deployment: Deployment, paused: Collection[str]) -> list[str]:
    """Checks the rules of `Checker` except `EXCLUDED_RULES`."""
    # An edge that was paused or partitioned may answer late.
    checked = [
        row
        for row in rows
        if row["kind"] not in ("ask", "answer") or row["session"].split(".")[0] not in paused
    ]
    breaches = []
    for verdict in Checker(checked, deployment, MAX_DELAY).verdicts():
        if verdict.rule in EXCLUDED_RULES:
            continue
        # Messages of a program in a partition reach a node when the partition ends, long after fencing.
        found = [text for text in verdict.breaches if not any(f"{name}." in text for name in paused if name)]
        only_summary_left = found == list(verdict.breaches[-1:])
        breaches += [
            f"{verdict.rule}: {text}" for text in found if not (only_summary_left and text.startswith("and "))
        ]
    return breaches


def check_operations(rows: Sequence[Row], policies: Mapping[int, ActivePolicy], facts: Counter) -> list[str]:
    """Checks that each operation ran under one version, which was active, and within its limits."""
    fenced = {(row["op"], row["execution"]) for row in rows if row["kind"] == "fenced"}
    served: dict[str, list[tuple[float, float]]] = defaultdict(list)
    """By folder, the start and units of each operation."""
    version_of: dict[str, int] = {}
    breaches = []
    for row in rows:
        if row["kind"] != "execution":
            continue
        operation, version = row["op"], row["policy"]
        if version not in policies or policies[version].since > row["at"] + MAX_DELAY:
            breaches.append(
                f"{row['at']:.3f} s: {operation} ran under version {version}, which was not decided"
            )
        elif version_of.setdefault(operation, version) != version:
            breaches.append(f"{operation} ran under {version_of[operation]} and {version}")
        if (operation, row["execution"]) not in fenced and row["execution"] == 0:
            served[row["volume"]].append((row["at"], row["units"]))
    for folder, sent in served.items():
        breaches += _check_limits(folder, sent, policies, facts)
    return breaches


def _check_limits(
    folder: str,
    sent: Sequence[tuple[float, float]],
    policies: Mapping[int, ActivePolicy],
    facts: Counter,
) -> list[str]:
    """Checks a folder's operations against the limit of each version while it was active."""
    breaches = []
    changes = sorted((policy.since, version) for version, policy in policies.items())
    ends = [since for since, _ in changes[1:]] + [float("inf")]
    for (since, version), until in zip(changes, ends, strict=True):
        limit, burst = policies[version].limits.get(folder, (0, 0))
        if not limit:
            continue
        peak = _peak_usage(sent, limit, since, until)
        facts[f"used of {folder} under {version}"] = round(100 * peak / burst)
        if peak > burst + limit * MAX_DELAY:
            breaches.append(
                f"{folder}: {peak:.0f} units at once under {version}, which allows {burst:g} and {limit:g}/s"
            )
    return breaches


def _peak_usage(sent: Sequence[tuple[float, float]], limit: float, since: float, until: float) -> float:
    """Peak level of a leaky bucket that drains `limit` units per second."""
    level, last, peak = 0.0, since, 0.0
    for at, units in sent:
        if since + MAX_DELAY <= at < until:
            level = max(0.0, level - limit * (at - last)) + units
            last = at
            peak = max(peak, level)
    return peak


def check_answers(
    operators: Iterable[Row],
    outcomes: Mapping[int, str],
    expectations: Iterable[Sequence[str]],
    active_version: int,
) -> list[str]:
    """Checks that answers to operators were true, and that changes ended as the scenario expects."""
    breaches = []
    answers: dict[str, Row] = {}
    for row in operators:
        answers[row["word"]] = row
        refused = row["said"].startswith("refused") and row["verb"] == "propose"
        if refused and row["number"] in outcomes:
            outcome = outcomes[row["number"]]
            breaches.append(f"{row['word']}: told {row['said']}, but {row['number']} is {outcome}")
    for name, *expected in expectations:
        if name == "force":
            if active_version != int(expected[0]):
                breaches.append(f"the active version is {active_version}, not {expected[0]}")
        elif name not in answers:
            breaches.append(f"no operator proposed {name}")
        else:
            breaches += _check_expected(name, answers[name], outcomes, expected)
    return breaches


def _check_expected(
    name: str, answer: Row, outcomes: Mapping[int, str], expected: Sequence[str]
) -> list[str]:
    """Checks a change; `expected`: its allowed outcomes, separated by `|`, and words of the answer."""
    wanted, *words = expected
    outcome = outcomes.get(answer["number"], answer["said"] or "no answer")
    if answer["said"].startswith("refused"):
        outcome = "refused"
    if outcome in wanted.split("|") and " ".join(words) in answer["said"]:
        return []
    return [f"{name} is {outcome} ({answer['said']}), expected {' '.join(expected)}"]
