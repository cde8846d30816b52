"""Rollout of a fleet's policy: a change takes hold at every member that serves, or at none.

Sans I/O and without a clock of its own, in three parts.  `PolicyStateMachine` is the state that the
replicated log makes, the same at each planner.  `RolloutCoordinator` is what the planner that leads does
with the lease requests of members.  `PolicyMember` is a member's side.

A change is staged by an entry of the log.  A member validates it, persists it beside the active policy,
and from then on is *joint*: it applies the lesser limit of both (as a joint configuration in consensus
does), so that it is harmless whichever way the change ends.  When every member is joint, or was silent
until its lease expired, an entry decides the change; the rejection by one member aborts it everywhere.  A
member whose lease has expired is *degraded*: it applies a fraction (`DEGRADED_FRACTION`) of the limits it
knows, and a change is decided without it only where that fraction fits into its even share of the new
limits.  So limits are down everywhere before they are up anywhere, and nobody needs a new decision to go
on serving.

A lease runs from when the member requested it, by the member's clock; the planner counts it from when it
answered, and longer by `MAX_CLOCK_DRIFT`.  Clocks may differ and be set; their rates may not differ by
more than `MAX_CLOCK_DRIFT`.  The scheme is that of Gray and Cheriton, "Leases" (SOSP 1989), with fencing
of members whose disk is older than what they reported.

Times are seconds.  Limits are units a second, and bursts units, of all members together; 0 means
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
