"""The retries of a simulated client, and the outcomes that it sees."""

import random
from enum import StrEnum
from typing import NamedTuple

from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import RequestClass

MAX_ATTEMPTS = 3  # of a client for one operation, including the first
BACKOFF = (0.2, 0.6)  # range of seconds until the next attempt if there was no Retry-After
GIVE_UP_FACTOR = 1.5  # times the request class's deadline until a client gives up


class ClientOutcome(StrEnum):
    """How an operation, or one attempt of it, ended for its client."""

    SUCCEEDED = "succeeded"
    SHED = "shed"
    """It did not run."""
    FAILED = "terminated"
    """It may have run."""
    LOST = "lost"
    """Its gateway was down, or stopped before it answered."""


RETRIED_OUTCOMES = (ClientOutcome.SHED, ClientOutcome.LOST)


class CompletedOperation(NamedTuple):
    """How an operation ended for its client; times in seconds since the start of the day."""

    sent_at: float
    volume: str
    request_class: str
    units: float
    latency: float
    """From the intended send time, retries included."""
    outcome: ClientOutcome
    attempts: int


def gives_up_at(sent_at: float, request_class: RequestClass) -> float:
    """Returns when a client stops starting attempts, on the clock of `sent_at` (seconds)."""
    return sent_at + request_class.deadline / TICKS_PER_SECOND * GIVE_UP_FACTOR


def next_attempt_at(now: float, retry_after: float, generator: random.Random) -> float:
    """Returns when a client would retry: after `retry_after`, or if that is 0, after a random backoff."""
    return now + (retry_after or generator.uniform(*BACKOFF))


def should_retry(outcome: ClientOutcome, attempts: int, retry_at: float, give_up_at: float) -> bool:
    """Returns whether a client starts another attempt at `retry_at`."""
    return outcome in RETRIED_OUTCOMES and attempts < MAX_ATTEMPTS and retry_at < give_up_at
