"""Policies, change records, and the lease messages between members and the leader."""

import json
import zlib
from enum import StrEnum
from typing import NamedTuple

LEASE_DURATION = 10.0  # seconds from the member's request until its lease expires
MAX_CLOCK_DRIFT = 0.01  # maximum relative difference between the rates of two clocks
DEGRADED_FRACTION = 0.25  # fraction of its limits that a member without a lease applies


class FolderLimit(NamedTuple):
    """A folder's limit (units per second) and burst (units) for all members together; 0 means unlimited."""

    folder: str
    limit: float
    burst: float


class Policy(NamedTuple):
    """A version of the policy; `text` is the JSON document that members validate and apply."""

    version: int
    text: str
    folder_limits: tuple[FolderLimit, ...]

    @property
    def checksum(self) -> int:
        """CRC-32 over version, text and limits, as used on disk and on the wire."""
        rows = json.dumps(
            [[folder, float(limit), float(burst)] for folder, limit, burst in self.folder_limits]
        )
        return zlib.crc32(f"{self.version}\0{self.text}\0{rows}".encode())

    def limits(self) -> dict[str, tuple[float, float]]:
        """Returns limit and burst by folder."""
        return {folder: (limit, burst) for folder, limit, burst in self.folder_limits}


class ChangeOutcome(StrEnum):
    """How a change ended; the values are used in snapshots."""

    DECIDED = "decided"
    ABORTED = "ended"
    WITHDRAWN = "withdrawn"


class ChangeRecord(NamedTuple):
    """A change that has ended."""

    version: int
    outcome: ChangeOutcome
    reason: str
    proposed_by: str


class LogPosition(NamedTuple):
    """A position in the replicated log, ordered by term first."""

    term: int
    index: int


class LeaseRequest(NamedTuple):
    """A member's request for a lease, with its state.

    `active_version` and `joint_version` are the active and the staged version that it has persisted;
    `rejected_version` is one that it cannot apply, with the reason.  0 means none.
    """

    member: str
    request_id: int
    active_version: int
    joint_version: int
    rejected_version: int = 0
    rejection_reason: str = ""


class LeaseGrant(NamedTuple):
    """A lease that runs from the request, with the active policy and the staged one, if any.

    `term` and `index` are the log position; members ignore grants from positions before one already seen.
    """

    member: str
    request_id: int
    term: int
    index: int
    active: Policy
    staged: Policy | None

    @property
    def position(self) -> LogPosition:
        """The log position at which the lease was granted."""
        return LogPosition(self.term, self.index)
