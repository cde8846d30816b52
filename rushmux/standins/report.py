"""The plain-text report of a day, from its recordings."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.settings.deployment import Deployment
from rushmux.sftp import packets as sftp
from rushmux.standins.checker import Checker, Verdict

WINDOW = 10.0
"""Length of the windows of which the worst is reported, seconds."""
MIN_WINDOW_REQUESTS = 20
"""Windows with fewer requests are ignored."""
DEFAULT_OBJECTIVE = 0.4
"""Latency objective of requests that are not in `ACCESSES`, seconds."""
MAX_BREACHES_SHOWN = 5
ACCESSES = {
    "Open": ("look", "change"),
    "Close": ("look",),
    "Read": ("look", "read"),
    "Write": ("write", "change"),
    "Stat": ("look",),
    "OpenDir": ("look",),
    "ReadDir": ("look", "look"),
}
"""Accesses that a request consists of; its latency objective is the sum of theirs."""
KINDS = ("asked", "succeeded", "shed", "terminated", "refused")
IN_TIME = "in time"

Row = Mapping[str, Any]


class ServiceStatistics:
    """Counts a day's requests by plan and by time window.

    Attributes:
        counts: Requests by plan and outcome.
        objectives: Latency objectives by request name, seconds.

    Args:
        records: The rows of the day.
        deployment: The deployment of the fleet.
    """

    def __init__(self, records: Sequence[Row], deployment: Deployment):
        self.counts: dict[str, Counter] = defaultdict(Counter)
        self.objectives = {
            name: sum(
                deployment.settings.request_classes[deployment.roles[role]].latency_objective
                for role in roles
            )
            / TICKS_PER_SECOND
            for name, roles in ACCESSES.items()
        }
        self._plans = {name: folder.plan for name, folder in deployment.folders.items()}
        self._begun_at = next(row["begun"] for row in records if row["kind"] == "day")
        self._windows: dict[int, Counter] = defaultdict(Counter)
        requests: dict[tuple[str, int], Row] = {}
        for row in records:
            if row["kind"] == "ask" and "folder" in row:
                requests[row["session"], row["number"]] = row
                self._count(row, "asked")
            elif row["kind"] == "answer" and (row["session"], row["number"]) in requests:
                self._count_answer(requests[row["session"], row["number"]], row)

    def _count(self, request: Row, kind: str) -> None:
        self.counts[self._plans[request["folder"]]][kind] += 1
        if kind in ("asked", IN_TIME):
            self._windows[int((request["at"] - self._begun_at) // WINDOW)][kind] += 1

    def _count_answer(self, request: Row, answer: Row) -> None:
        kind = self.outcome_of(answer)
        self._count(request, kind)
        objective = self.objectives.get(request["what"], DEFAULT_OBJECTIVE)
        if kind == "succeeded" and answer["at"] - request["at"] <= objective:
            self._count(request, IN_TIME)

    @property
    def worst(self) -> float:
        """Fraction of requests answered in time in the worst window."""
        counted = (count for count in self._windows.values() if count["asked"] >= MIN_WINDOW_REQUESTS)
        return min((count[IN_TIME] / count["asked"] for count in counted), default=0.0)

    @staticmethod
    def outcome_of(answer: Row) -> str:
        """The outcome of a request by its answer: one of `KINDS`."""
        if answer["status"] in (sftp.OK, sftp.EOF):
            return "succeeded"
        word = answer["text"].split(":")[0]
        return word if word in ("shed", "terminated") else "refused"

    def share(self, plan: str | None = None) -> float:
        """Fraction of the requests of a plan, or of all plans, that succeeded in time."""
        counts = [self.counts[plan]] if plan else list(self.counts.values())
        return sum(count[IN_TIME] for count in counts) / max(1, sum(count["asked"] for count in counts))

    def lines(self) -> Iterator[str]:
        """The lines of a table by plan."""
        yield f"{'plan':14}" + "".join(f"{kind:>12}" for kind in KINDS) + f"{'lost':>8}{IN_TIME:>9}"
        for plan, count in sorted(self.counts.items()):
            lost = count["asked"] - sum(count[kind] for kind in KINDS[1:])
            columns = "".join(f"{count[kind]:12}" for kind in KINDS)
            yield f"{plan:14}{columns}{lost:8}{self.share(plan):9.3f}"
        yield f"all in time {self.share():.3f}; in the worst {WINDOW:.0f} s {self.worst:.3f}"


class Report(NamedTuple):
    """The report's lines, whether every rule was kept, and the statistics."""

    lines: list[str]
    rules_kept: bool
    service: ServiceStatistics


def _verdict_lines(verdicts: Sequence[Verdict]) -> Iterator[str]:
    for verdict in verdicts:
        nearest = "-" if verdict.nearest is None else f"{verdict.nearest:.2f}"
        state = "kept" if not verdict.breaches else f"BROKEN ({len(verdict.breaches)})"
        yield f"{verdict.rule:28}{verdict.checked:9} checked   nearest {nearest:>5}   {state}"
        yield from (f"    {text}" for text in verdict.breaches[:MAX_BREACHES_SHOWN])


def evaluate(records: Sequence[Row], deployment: Deployment, max_delay: float) -> Report:
    """Checks the recordings of a day and reports on them.

    Args:
        records: The rows of the day, in order of time.
        deployment: The deployment of the fleet.
        max_delay: Longest network delay of a message, seconds.
    """
    verdicts = Checker(records, deployment, max_delay).verdicts()
    service = ServiceStatistics(records, deployment)
    rules_kept = not any(verdict.breaches for verdict in verdicts)
    return Report([*service.lines(), "", *_verdict_lines(verdicts)], rules_kept, service)
