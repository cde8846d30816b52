"""Rollout of the fleet's policy: a change takes effect at every serving member, or at none.

Sans I/O, in three parts: `PolicyStateMachine` is the replicated state, equal on all planners;
`RolloutCoordinator` runs on the leading planner and handles the members' lease requests; `PolicyMember` runs
on each member.

A log entry stages a change.  A member validates the staged policy, persists it beside the active one, and is
then *joint*: it applies the lower limit of both (like a joint configuration in consensus), which is safe
however the change ends.  Once every member is joint or its lease has expired, another entry decides the
change; a rejection by any member aborts it everywhere.  A member whose lease has expired is *degraded*: it
applies `DEGRADED_FRACTION` of the limits it knows, and a change is decided without it only if that fits into
its even share of the new limits.  Limits are therefore lowered everywhere before they are raised anywhere,
and no member needs a new decision to continue serving.

A lease runs from the member's request by the member's clock; the planner counts it from its answer, extended
by `MAX_CLOCK_DRIFT`.  Clocks may differ and be set, but their rates may differ by at most `MAX_CLOCK_DRIFT`.
This follows Gray and Cheriton, "Leases" (SOSP 1989), with fencing of members whose disk is older than what
they reported.

Times are in seconds, limits in units per second and bursts in units, both for all members together; 0 means
unlimited.
"""

from rushmux.fleet.policy.codec import (
    decode_command,
    encode_command,
    policy_from_json,
    policy_to_json,
)
from rushmux.fleet.policy.coordinator import MAX_PENDING_REQUESTS, STAGE_TIMEOUT, RolloutCoordinator
from rushmux.fleet.policy.member import PolicyMember, Rejection
from rushmux.fleet.policy.records import (
    DEGRADED_FRACTION,
    LEASE_DURATION,
    MAX_CLOCK_DRIFT,
    ChangeOutcome,
    ChangeRecord,
    FolderLimit,
    LeaseGrant,
    LeaseRequest,
    LogPosition,
    Policy,
)
from rushmux.fleet.policy.state_machine import (
    MAX_CHANGE_RECORDS,
    MAX_DRAINED_NODES,
    MAX_POLICY_BYTES,
    MAX_VERSIONS_IN_USE,
    PAST_POLICIES_KEPT,
    PolicyStateMachine,
)

__all__ = [
    "DEGRADED_FRACTION",
    "LEASE_DURATION",
    "MAX_CHANGE_RECORDS",
    "MAX_CLOCK_DRIFT",
    "MAX_DRAINED_NODES",
    "MAX_PENDING_REQUESTS",
    "MAX_POLICY_BYTES",
    "MAX_VERSIONS_IN_USE",
    "PAST_POLICIES_KEPT",
    "STAGE_TIMEOUT",
    "ChangeOutcome",
    "ChangeRecord",
    "FolderLimit",
    "LeaseGrant",
    "LeaseRequest",
    "LogPosition",
    "Policy",
    "PolicyMember",
    "PolicyStateMachine",
    "Rejection",
    "RolloutCoordinator",
    "decode_command",
    "encode_command",
    "policy_from_json",
    "policy_to_json",
]
