"""What people ask of the planners about the fleet's policy, and what they are told."""

import orjson

from rushmux.fleet.policy import DEGRADED_FRACTION, LEASE_DURATION, ChangeRecord
from rushmux.nodewire import messages
from rushmux.planner.replicated_log import Elsewhere, NotDecided
from rushmux.settings import policy as documents
from rushmux.settings.deployment import BadDeployment, Deployment

MOST_ORDER = 512 << 10  # bytes of an order


def first(deployment: Deployment) -> dict:
    """The order that founds the policy of a fleet: its deployment file's."""
    members = [f"edge{number}" for number in range(deployment.settings.gateway_count)]
    return {"kind": "found", "members": members, "by": "the deployment file", **document(deployment)}


def document(deployment: Deployment) -> dict:
    return {"text": documents.text(deployment.raw), "rows": documents.rows(deployment)}


async def answer(council, deployment, body: messages.PolicyOrder) -> messages.PolicyAnswer:
    """The answer to a person; never raises."""
    if council is None:
        return messages.PolicyAnswer(fault="this planner keeps no policy: start it with --planners")
    try:
        order = orjson.loads(body.order) if body.order else {}
        if len(body.order) > MOST_ORDER or not isinstance(order, dict):
            raise ValueError(f"{len(body.order)} bytes")
    except ValueError as fault:
        return messages.PolicyAnswer(fault=f"an order that cannot be read: {fault}")
    if body.verb == "show":
        return messages.PolicyAnswer(state=orjson.dumps(shown(council)))
    try:
        return messages.PolicyAnswer(
            said=await decided(council, deployment, body.verb, order), state=orjson.dumps(shown(council))
        )
    except (NotDecided, BadDeployment, KeyError, TypeError, ValueError) as fault:
        what = f"the order lacks {fault}" if isinstance(fault, KeyError) else str(fault)
        return messages.PolicyAnswer(fault=what, elsewhere=isinstance(fault, Elsewhere))


async def decided(council, deployment, verb, order) -> str:
    """Has an order decided; what came of it.  Whoever asks again with the same client and number is told the
    same, and nothing is done twice.
    """
    known = {"client": str(order["client"])[:64], "n": int(order["n"]), "by": str(order["by"])[:64]}
    if verb == "propose":
        if council.register.active is None:
            raise Elsewhere("the fleet has no first policy yet")
        proposed = documents.merged(deployment, order["text"], "the proposed policy")
        now = documents.merged(deployment, council.register.active.text, "the policy in force")
        against = documents.against(now, proposed)
        if against:
            raise NotDecided("; ".join(against))
        made = {"kind": "propose", "base": order.get("base"), **document(proposed)}
    elif verb in ("withdraw", "revert"):
        made = {"kind": verb, "number": int(order["number"])}
    elif verb == "forget":
        made = {"kind": "forget", "member": str(order["member"])}
    else:
        raise NotDecided(f"there is no order '{verb}'; there are show, propose, withdraw, revert, forget")
    return await council.order({**made, **known})


def past_change(record: ChangeRecord) -> dict:
    return {
        "number": record.version,
        "end": record.outcome,
        "why": record.reason,
        "by": record.proposed_by,
    }


def shown(council) -> dict:
    """What this planner knows of the policy: the same on all but for how new it is."""
    register, conduct = council.register, council.conduct
    active, staged, now = register.active, register.staged, council.loop.time()
    members = []
    for member in register.members:
        said = conduct.latest_requests.get(member) if conduct is not None else None
        until = conduct.lease_expiry.get(member, 0.0) if conduct is not None else 0.0
        members.append(
            {
                "member": member,
                "goes": register.member_versions[member],
                "gone": member in register.forgotten,
                "says": said.active_version if said else None,
                "joint": said.joint_version if said else None,
                "lease": round(max(0.0, until - now), 1),
                "against": said.rejection_reason if said and said.rejected_version else "",
            }
        )
    return {
        "planner": council.me,
        "leads": council.leads,
        "term": council.term,
        "leader": council.voice.leader,
        "planners": list(council.voice.members),
        "index": council.index,
        "floor": register.fencing_floor,
        "force": active and {"number": active.version, "text": active.text, "sum": active.checksum},
        "staged": staged and {"number": staged.version, "text": staged.text, "by": register.proposed_by},
        "history": [past_change(record) for record in register.history],
        "kept": list(register.past_policies),
        "texts": {str(number): policy.text for number, policy in register.past_policies.items()},
        "members": members,
        "narrow": DEGRADED_FRACTION,
        "lease": LEASE_DURATION,
        "harm": staged and register.degraded_excess(staged),
    }
