"""Operators' commands on the fleet's policy: show, propose, revert, withdraw, forget."""

from collections.abc import Mapping
from typing import Any

import orjson

from rushmux.nodewire import messages
from rushmux.planner.commands import PolicyVerb
from rushmux.planner.errors import ProposalRejectedError, ProposalUndecidedError
from rushmux.planner.policy_status import encode_status
from rushmux.planner.replicated_log import ReplicatedLog
from rushmux.settings import policy as policy_documents
from rushmux.settings.deployment import BadDeployment, Deployment

MAX_COMMAND = 512 << 10  # bytes
MAX_NAME = 64  # characters of a client id and of an operator's name


def bootstrap_command(deployment: Deployment) -> dict[str, Any]:
    """The command that makes a fleet's first policy: that of its deployment file."""
    members = [f"edge{number}" for number in range(deployment.settings.gateway_count)]
    return {"kind": "found", "members": members, "by": "the deployment file", **_document(deployment)}


def _document(deployment: Deployment) -> dict[str, Any]:
    return {
        "text": policy_documents.text(deployment.raw),
        "rows": policy_documents.rows(deployment),
    }


async def execute(
    replicated_log: ReplicatedLog | None, deployment: Deployment | None, command: messages.PolicyOrder
) -> messages.PolicyAnswer:
    """Carries out a command; whatever is wrong with it is said in the answer."""
    if replicated_log is None:
        return messages.PolicyAnswer(fault="this planner keeps no policy: start it with --planners")
    try:
        fields = _fields_of(command)
    except ValueError as fault:
        return messages.PolicyAnswer(fault=f"an order that cannot be read: {fault}")
    if command.verb == PolicyVerb.SHOW:
        return messages.PolicyAnswer(state=encode_status(replicated_log))
    try:
        key = _idempotency_key(fields)
        entry = _entry_of(replicated_log, deployment, command.verb, fields)
        result = await replicated_log.propose({**entry, **key})
    except KeyError as fault:
        return messages.PolicyAnswer(fault=f"the order lacks {fault}")
    except (ProposalRejectedError, BadDeployment, TypeError, ValueError) as fault:
        undecided = isinstance(fault, ProposalUndecidedError)
        return messages.PolicyAnswer(fault=str(fault), elsewhere=undecided)
    return messages.PolicyAnswer(said=result, state=encode_status(replicated_log))


def _fields_of(command: messages.PolicyOrder) -> dict[str, Any]:
    """The command's fields; ValueError where they cannot be read."""
    fields = orjson.loads(command.order) if command.order else {}
    if len(command.order) > MAX_COMMAND or not isinstance(fields, dict):
        raise ValueError(f"{len(command.order)} bytes")
    return fields


def _idempotency_key(fields: Mapping[str, Any]) -> dict[str, Any]:
    """The client's key: who sends a command again under it is told the first result, and nothing more."""
    return {
        "client": str(fields["client"])[:MAX_NAME],
        "n": int(fields["n"]),
        "by": str(fields["by"])[:MAX_NAME],
    }


def _entry_of(
    replicated_log: ReplicatedLog, deployment: Deployment, verb: str, fields: Mapping[str, Any]
) -> dict[str, Any]:
    """The log's entry for a command, without its idempotency key."""
    if verb == PolicyVerb.PROPOSE:
        return _proposal(replicated_log, deployment, fields)
    if verb in (PolicyVerb.WITHDRAW, PolicyVerb.REVERT):
        return {"kind": verb, "number": int(fields["number"])}
    if verb == PolicyVerb.FORGET:
        return {"kind": verb, "member": str(fields["member"])}
    raise ProposalRejectedError(f"there is no order '{verb}'; there are {', '.join(PolicyVerb)}")


def _proposal(
    replicated_log: ReplicatedLog, deployment: Deployment, fields: Mapping[str, Any]
) -> dict[str, Any]:
    """The entry of a proposed policy, which must be valid and one that can change while the fleet runs."""
    active = replicated_log.policy.active
    if active is None:
        raise ProposalUndecidedError("the fleet has no first policy yet")
    proposed = policy_documents.merged(deployment, fields["text"], "the proposed policy")
    current = policy_documents.merged(deployment, active.text, "the policy in force")
    obstacles = policy_documents.against(current, proposed)
    if obstacles:
        raise ProposalRejectedError("; ".join(obstacles))
    return {"kind": PolicyVerb.PROPOSE, "base": fields.get("base"), **_document(proposed)}
