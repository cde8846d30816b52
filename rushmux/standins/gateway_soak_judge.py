"""Checks what clients and nodes observed of a gateway against the operators' protocol.

All limits grow by the observer's own delay, since its times are no more accurate.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

ANSWER_SLACK = 0.5
"""Seconds past a request's deadline after which its answer is overdue."""
DISCONNECT_SLACK = 0.1
"""Seconds after a client's close in which an attempt may still start."""
TIME_SLACK = 0.05
"""Seconds by which sockets may delay each observation."""
DRAIN_NOTICE_TIME = 6.0
"""Seconds within which a gateway must learn of a change, even in an outage."""
CLOSE_RACE_TIME = 0.05
"""Seconds before a connection's end in which a request may cross the close and stay unread."""
MAX_WRITE_DELAY = 0.15
"""Seconds that a gateway may take from reading its clock to writing."""
MAX_QUOTE_LENGTH = 300
STOP_SENDING_WITHIN = 0.25
"""Seconds from a drain notice to the last attempt (`StopSendingWithin` of the settings)."""


class Scenario(StrEnum):
    """The condition that a run tests besides load."""

    PLAIN = "plain"
    CROWD = "crowd"
    NODES = "failing nodes"
    DISCOVERY = "discovery away"
    BEFORE_FIRST_LIST = "SIGTERM before the first list"


class Signals(StrEnum):
    """The signals sent at the end of the load."""

    TERM = "TERM"
    HUP_TERM = "HUP TERM"
    HUP_HUP_TERM = "HUP HUP TERM"
    TERM_TERM = "TERM TERM"
    TERM_HUP = "TERM HUP"
    BAD_HUP_TERM = "bad file, HUP TERM"


@dataclass
class Request:
    """A client's request and its result; times are the event loop's, in seconds."""

    number: int
    sent_at: float
    deadline: float
    is_write: bool
    replied_at: float | None = None
    client_left_at: float | None = None
    connection_ended_at: float | None = None
    attempts: list["Attempt"] = field(default_factory=list)


@dataclass
class Attempt:
    """A command that a node received.

    Attributes:
        at: Event loop time, in seconds.
        node: The node's name.
        may_have_run: Whether it may have taken effect.
        time_told: Seconds for which the gateway says that it will wait.
    """

    at: float
    node: str
    may_have_run: bool
    time_told: float


@dataclass
class Settings:
    """The settings drawn for a run."""

    scenario: Scenario
    signals: Signals
    deadline: float
    dedup_window: float
    write_idempotency: str
    node_count: int
    client_count: int
    sockets: int
    idle_clients: int
    checks_descriptors: bool = False


class _RequestChecker:
    def __init__(self, settings: Settings, drained_at: Mapping[str, float], lag: float):
        self._settings, self._drained_at, self._longest_lag = settings, drained_at, lag
        self.breaches: list[str] = []

    def check_answer(self, request: Request) -> None:
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
        elif request.connection_ended_at - request.sent_at > CLOSE_RACE_TIME + self._longest_lag:
            waited = request.connection_ended_at - request.sent_at
            self.breaches.append(f"request {request.number} waited {waited:.3f} s, and its connection ended")

    def check_attempts(self, request: Request) -> None:
        slack = TIME_SLACK + self._longest_lag
        for attempt in request.attempts:
            if request.client_left_at is not None:
                since_left = attempt.at - request.client_left_at
                if since_left > DISCONNECT_SLACK + slack:
                    self.breaches.append(
                        f"request {request.number} was forwarded {since_left:.3f} s after its client left"
                    )
            if request.replied_at is not None and attempt.at > request.replied_at + slack:
                self.breaches.append(f"request {request.number} was forwarded after its answer")
            time_left = request.sent_at + request.deadline - attempt.at
            if attempt.time_told > time_left + MAX_WRITE_DELAY + slack:
                self.breaches.append(
                    f"request {request.number} was forwarded with {attempt.time_told:.3f} s, when its client"
                    f" had {time_left:.3f} s left"
                )
            self._check_drain(request, attempt, slack)
        self._check_retries(request, slack)

    def _check_drain(self, request: Request, attempt: Attempt, slack: float) -> None:
        drained_at = self._drained_at.get(attempt.node)
        if drained_at is None:
            return
        outage = DRAIN_NOTICE_TIME if self._settings.scenario is Scenario.DISCOVERY else 0.0
        late = attempt.at - drained_at - STOP_SENDING_WITHIN - outage - slack
        if late > 0:
            self.breaches.append(
                f"request {request.number} was sent to draining {attempt.node} {late:.3f} s too late"
            )

    def _check_retries(self, request: Request, slack: float) -> None:
        if not request.is_write:
            return
        idempotency = self._settings.write_idempotency
        for earlier, attempt in zip(request.attempts, request.attempts[1:], strict=False):
            if idempotency == "unsafe" and earlier.may_have_run:
                self.breaches.append(f"request {request.number} may have run twice")
            first = request.attempts[0]
            if idempotency == "keyed" and attempt.at - first.at > self._settings.dedup_window + slack:
                self.breaches.append(f"request {request.number} was retried past its window")


def check_requests(
    requests: Sequence[Request], settings: Settings, drained_at: Mapping[str, float], lag: float
) -> list[str]:
    """Returns the rule breaches of a run.

    Args:
        requests: All requests of its clients, with their attempts.
        settings: The run's settings.
        drained_at: When discovery reported each draining node, by name.
        lag: The observer's largest delay in seconds.
    """
    checker = _RequestChecker(settings, drained_at, lag)
    for request in requests:
        checker.check_answer(request)
        checker.check_attempts(request)
    return checker.breaches


def check_log(text: str) -> list[str]:
    """Returns the first fault that the gateway itself logged, if any."""
    found = (line for line in text.splitlines() if "Traceback" in line or "fault" in line)
    return [f"the gateway logged: {line[:MAX_QUOTE_LENGTH]}" for line in found][:1]
