"""The policy's state as operators are shown it, in JSON; its keys are those that clients read."""

from typing import Any

import orjson

from rushmux.fleet.policy import LEASE, NARROW, Policy
from rushmux.planner.replicated_log import ReplicatedLog


def encode_status(replicated_log: ReplicatedLog) -> bytes:
    """What a planner knows of the policy.

    Planners differ only in how new that is, and only the leader knows what members reported.
    """
    policy = replicated_log.policy
    active, staged = policy.force, policy.staged
    return orjson.dumps(
        {
            "planner": replicated_log.member_id,
            "leads": replicated_log.is_leader,
            "term": replicated_log.term,
            "leader": replicated_log.leader,
            "planners": list(replicated_log.members),
            "index": replicated_log.applied_index,
            "floor": policy.floor,
            "force": active and {"number": active.number, "text": active.text, "sum": active.sum},
            "staged": staged and _staged_status(staged, policy.by),
            "history": [change._asdict() for change in policy.past],
            "kept": list(policy.texts),
            "texts": {str(number): past.text for number, past in policy.texts.items()},
            "members": [_member_status(replicated_log, member) for member in policy.members],
            "narrow": NARROW,
            "lease": LEASE,
            "harm": staged and policy.unharmed(staged),
        }
    )


def _staged_status(staged: Policy, proposed_by: str) -> dict[str, Any]:
    return {"number": staged.number, "text": staged.text, "by": proposed_by}


def _member_status(replicated_log: ReplicatedLog, member: str) -> dict[str, Any]:
    policy, coordinator = replicated_log.policy, replicated_log.coordinator
    request, lease_end = None, 0.0
    if coordinator is not None:
        request = coordinator.said.get(member)
        lease_end = coordinator.until.get(member, 0.0)
    return {
        "member": member,
        "goes": policy.goes[member],
        "gone": member in policy.gone,
        "says": request.force if request else None,
        "joint": request.joint if request else None,
        "lease": round(max(0.0, lease_end - replicated_log.time()), 1),
        "against": request.against if request and request.refused else "",
    }
