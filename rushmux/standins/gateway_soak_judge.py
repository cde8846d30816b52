"""Judges what clients and nodes saw of a gateway, against the sentences of the operators' protocol page.

The bounds are the page's; times are longer by what the observer itself was late, since it measures no better.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

ANSWER_SLACK = 0.5
"""Seconds past a request's time after which its answer counts as lost."""
LEFT_SLACK = 0.1
"""Seconds after a client's close in which an attempt may still begin."""
TIME_SLACK = 0.05
"""Seconds by which every limit is longer on sockets."""
DRAIN_TOLD_WITHIN = 6.0
"""Seconds within which a change counts as told, whatever discovery does."""
CROSSING = 0.05
"""Seconds before a connection's end in which a request may cross it unread."""
HELD_UP = 0.15
"""Seconds for which a gateway may be held up between its clock and its write."""
MAX_QUOTED = 300
STOP_SENDING_WITHIN = 0.25
"""Seconds after a drain was told (`StopSendingWithin` of the settings)."""


class Scenario(StrEnum):
    """What a run is about, beside the load of all."""

    PLAIN = "plain"
    CROWD = "crowd"
    NODES = "failing nodes"
    DISCOVERY = "discovery away"
    NO_LIST = "SIGTERM before the first list"


class Signals(StrEnum):
    """The series of signals at the end of the load."""

    TERM = "TERM"
    HUP_TERM = "HUP TERM"
    HUP_HUP_TERM = "HUP HUP TERM"
    TERM_TERM = "TERM TERM"
    TERM_HUP = "TERM HUP"
    BAD_HUP_TERM = "bad file, HUP TERM"


@dataclass
class Request:
    """A client's request, and what became of it; times of the loop's clock in seconds."""

    number: int
    sent_at: float
    deadline: float
    is_write: bool
    is_on_new_connection: bool
    replied_at: float | None = None
    client_left_at: float | None = None
    connection_ended_at: float | None = None
    attempts: list["Attempt"] = field(default_factory=list)


@dataclass
class Attempt:
    """A command that came to a node: when, whether it began, and the node's name."""

    at: float
    node: str
    may_have_run: bool


@dataclass
class Settings:
    """What is drawn for a run."""

    scenario: Scenario
    signals: Signals
    deadline: float
    window: float
    write_idempotency: str
    node_count: int
    client_count: int
    sockets: int
    idle_clients: int
    checks_descriptors: bool = False


class _Judge:
    def __init__(self, settings: Settings, drained_at: Mapping[str, float], lag: float):
        self._settings, self._drained_at, self._longest_lag = settings, drained_at, lag
        self.breaches: list[str] = []

    def judge_answer(self, request: Request) -> None:
        if request.replied_at is not None:
            late = request.replied_at - request.sent_at - request.deadline - ANSWER_SLACK - self._longest_lag
            if late > 0:
                self.breaches.append(f"request {request.number} was answered {late:.3f} s too late")
            return
        if request.client_left_at is not None:
            return
        if request.connection_ended_at is None:
            self.breaches.append(f"request {request.number} got no answer")
        elif request.attempts:
            self.breaches.append(f"request {request.number} was forwarded, and its connection ended")
        elif self._settings.scenario is Scenario.CROWD and request.is_on_new_connection:
            pass  # where idle clients fill the descriptors, a new connection may be shut unread
        elif request.connection_ended_at - request.sent_at > CROSSING + self._longest_lag:
            waited = request.connection_ended_at - request.sent_at
            self.breaches.append(f"request {request.number} waited {waited:.3f} s, and its connection ended")

    def judge_attempts(self, request: Request) -> None:
        slack = TIME_SLACK + self._longest_lag
        for attempt in request.attempts:
            if request.client_left_at is not None:
                since_left = attempt.at - request.client_left_at
                if since_left > LEFT_SLACK + slack:
                    self.breaches.append(
                        f"request {request.number} was forwarded {since_left:.3f} s after its client left"
                    )
            if request.replied_at is not None and attempt.at > request.replied_at + slack:
                self.breaches.append(f"request {request.number} was forwarded after its answer")
            self._judge_drain(request, attempt, slack)
        self._judge_repeats(request, slack)

    def _judge_drain(self, request: Request, attempt: Attempt, slack: float) -> None:
        drained_at = self._drained_at.get(attempt.node)
        if drained_at is None:
            return
        away = DRAIN_TOLD_WITHIN if self._settings.scenario is Scenario.DISCOVERY else 0.0
        late = attempt.at - drained_at - STOP_SENDING_WITHIN - away - slack
        if late > 0:
            self.breaches.append(
                f"request {request.number} went to draining {attempt.node} {late:.3f} s too late"
            )

    def _judge_repeats(self, request: Request, slack: float) -> None:
        if not request.is_write:
            return
        effect = self._settings.write_idempotency
        for earlier, attempt in zip(request.attempts, request.attempts[1:], strict=False):
            if effect == "unsafe" and earlier.may_have_run:
                self.breaches.append(f"request {request.number} may have run twice")
            first = request.attempts[0]
            if effect == "keyed" and attempt.at - first.at > self._settings.window + slack:
                self.breaches.append(f"request {request.number} was repeated past its window")


def judge(
    requests: Sequence[Request], settings: Settings, drained_at: Mapping[str, float], lag: float
) -> list[str]:
    """What is wrong with a run.

    Args:
        requests: All requests of its clients, with their attempts.
        settings: What was drawn for it.
        drained_at: When discovery said of a node that it drains, by the node's name.
        lag: Seconds by which the observer was late at the most.
    """
    judging = _Judge(settings, drained_at, lag)
    for request in requests:
        judging.judge_answer(request)
        judging.judge_attempts(request)
    return judging.breaches


def judge_log(text: str) -> list[str]:
    """Faults that the gateway itself logged."""
    found = (line for line in text.splitlines() if "Traceback" in line or "fault" in line)
    return [f"its log has: {line[:MAX_QUOTED]}" for line in found][:1]
