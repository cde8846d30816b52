"""Policies, the records of their changes, and what members and the leader send each other."""

import json
import zlib
from enum import StrEnum
from typing import NamedTuple

LEASE_DURATION = 10.0  # seconds that a member applies what it was granted, from its request on
MAX_CLOCK_DRIFT = 0.01  # fraction by which the rates of two clocks may differ
DEGRADED_FRACTION = 0.25  # of its limits that a member applies while it has no lease


class FolderLimit(NamedTuple):
    """Limit (units a second) and burst (units) of a folder, of all members together; 0: unlimited."""

    folder: str
    limit: float
    burst: float


class Policy(NamedTuple):
    """One version of the policy.  `text`: the JSON document that members validate and apply."""

    version: int
    text: str
    folder_limits: tuple[FolderLimit, ...]

    @property
    def checksum(self) -> int:
        """CRC-32 over version, text and limits, as stored files and the wire have it."""
        rows = json.dumps(
            [[folder, float(limit), float(burst)] for folder, limit, burst in self.folder_limits]
        )
        return zlib.crc32(f"{self.version}\0{self.text}\0{rows}".encode())

    def limits(self) -> dict[str, tuple[float, float]]:
        """Limit and burst by folder."""
        return {folder: (limit, burst) for folder, limit, burst in self.folder_limits}


class ChangeOutcome(StrEnum):
    """How a change ended; the values are those in snapshots."""

    DECIDED = "decided"
    ABORTED = "ended"
    WITHDRAWN = "withdrawn"


class ChangeRecord(NamedTuple):
    """A change that has ended: how, why, and who proposed it."""

    version: int
    outcome: ChangeOutcome
    reason: str
    proposed_by: str


class LogPosition(NamedTuple):
    """A position of the replicated log; positions compare by term first."""

    term: int
    index: int


class LeaseRequest(NamedTuple):
    """A member asks for a lease and says what it applies.

    `active_version` and `joint_version` are the active version and the staged one that it has persisted
    beside it; `rejected_version` is one that it cannot apply, for `rejection_reason`.  0: none.
    """

    member: str
    request_id: int
    active_version: int
    joint_version: int
    rejected_version: int = 0
    rejection_reason: str = ""


class LeaseGrant(NamedTuple):
    """What holds for a lease from the request on: the active policy and the staged one, if any.

    `term` and `index` are the log's: a grant of an older position than one seen before is not believed.
    """

    member: str
    request_id: int
    term: int
    index: int
    active: Policy
    staged: Policy | None

    @property
    def position(self) -> LogPosition:
        """Where the log was when the lease was granted."""
        return LogPosition(self.term, self.index)
