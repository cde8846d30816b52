"""What an emulated client does with an operation: its retries, and the outcome that it sees."""

import random
from enum import StrEnum
from typing import NamedTuple

from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import RequestClass

MAX_ATTEMPTS = 3  # of a client, the first included
BACKOFF = (0.2, 0.6)  # seconds until the next attempt where no Retry-After was given
PATIENCE = 1.5  # deadlines of the request class after which a client gives up


class ClientOutcome(StrEnum):
    """How an operation, or one attempt of it, ended for its client."""

    SUCCEEDED = "succeeded"
    SHED = "shed"
    """It did not run."""
    FAILED = "terminated"
    """It may have run."""
    LOST = "lost"
    """Its gateway was not there, or stopped with it."""


RETRIED_OUTCOMES = (ClientOutcome.SHED, ClientOutcome.LOST)


class CompletedOperation(NamedTuple):
    """How one operation of a client ended; times in seconds from the begin of the day."""

    sent_at: float
    volume: str
    request_class: str
    units: float
    latency: float
    """From when the client meant to send it, retries included."""
    outcome: ClientOutcome
    attempts: int


def gives_up_at(sent_at: float, request_class: RequestClass) -> float:
    """When a client starts no further attempt, on the clock of `sent_at` (seconds)."""
    return sent_at + request_class.deadline / TICKS_PER_SECOND * PATIENCE


def next_attempt_at(now: float, retry_after: float, generator: random.Random) -> float:
    """When a client would try again: after what the gateway advised (0: nothing), or a drawn backoff."""
    return now + (retry_after or generator.uniform(*BACKOFF))


def should_retry(outcome: ClientOutcome, attempts: int, retry_at: float, give_up_at: float) -> bool:
    """Whether a client starts another attempt at `retry_at`."""
    return outcome in RETRIED_OUTCOMES and attempts < MAX_ATTEMPTS and retry_at < give_up_at
