"""The policy's state as JSON for operators; clients read its keys."""

from typing import Any

import orjson

from rushmux.fleet.policy import DEGRADED_FRACTION, LEASE_DURATION, ChangeRecord, Policy
from rushmux.planner.replicated_log import ReplicatedLog


def encode_status(replicated_log: ReplicatedLog) -> bytes:
    """Returns the policy's state as this planner knows it.

    Others may know an older or newer one; only the leader knows what members report.
    """
    policy = replicated_log.policy
    active, staged = policy.active, policy.staged
    return orjson.dumps(
        {
            "planner": replicated_log.member_id,
            "leads": replicated_log.is_leader,
            "term": replicated_log.term,
            "leader": replicated_log.leader,
            "planners": list(replicated_log.members),
            "index": replicated_log.applied_index,
            "floor": policy.fencing_floor,
            "force": active and _active_status(active),
            "staged": staged and _staged_status(staged, policy.proposed_by),
            "history": [_change_status(record) for record in policy.history],
            "kept": list(policy.past_policies),
            "texts": {str(version): past.text for version, past in policy.past_policies.items()},
            "members": [_member_status(replicated_log, member) for member in policy.members],
            "narrow": DEGRADED_FRACTION,
            "lease": LEASE_DURATION,
            "harm": staged and policy.degraded_excess(staged),
        }
    )


def _active_status(active: Policy) -> dict[str, Any]:
    return {"number": active.version, "text": active.text, "sum": active.checksum}


def _staged_status(staged: Policy, proposed_by: str) -> dict[str, Any]:
    return {"number": staged.version, "text": staged.text, "by": proposed_by}


def _change_status(record: ChangeRecord) -> dict[str, Any]:
    return {
        "number": record.version,
        "end": record.outcome,
        "why": record.reason,
        "by": record.proposed_by,
    }


def _member_status(replicated_log: ReplicatedLog, member: str) -> dict[str, Any]:
    policy, coordinator = replicated_log.policy, replicated_log.coordinator
    request, lease_expiry = None, 0.0
    if coordinator is not None:
        request = coordinator.latest_requests.get(member)
        lease_expiry = coordinator.lease_expiry.get(member, 0.0)
    return {
        "member": member,
        "goes": policy.member_versions[member],
        "gone": member in policy.forgotten,
        "says": request.active_version if request else None,
        "joint": request.joint_version if request else None,
        "lease": round(max(0.0, lease_expiry - replicated_log.time()), 1),
        "against": request.rejection_reason if request and request.rejected_version else "",
    }
