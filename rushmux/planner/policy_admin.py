"""Operators' commands about the fleet's policy: show, propose, revert, withdraw, forget."""

from collections.abc import Mapping
from typing import Any

import orjson

from rushmux.nodewire import messages
from rushmux.planner import stored_commands
from rushmux.planner.commands import PolicyVerb
from rushmux.planner.errors import ProposalRejectedError, ProposalUndecidedError
from rushmux.planner.policy_status import encode_status
from rushmux.planner.replicated_log import ReplicatedLog
from rushmux.planner.stored_commands import Origin, PolicyDocument, StoredCommand
from rushmux.settings import policy as policy_documents
from rushmux.settings.deployment import Deployment, DeploymentError

MAX_COMMAND_BYTES = 512 << 10
MAX_NUMBER = 1 << 53  # of a version or a client's command; JSON numbers are exact up to this
MAX_NAME_LENGTH = 64  # characters of a client id or an operator's name


def bootstrap_command(deployment: Deployment) -> StoredCommand:
    """Returns the command that creates a fleet's first policy, that of its deployment file."""
    members = [f"edge{number}" for number in range(deployment.settings.gateway_count)]
    return stored_commands.bootstrap(members, _document_of(deployment))


def _document_of(deployment: Deployment) -> PolicyDocument:
    return PolicyDocument(policy_documents.serialize(deployment.raw), policy_documents.limit_rows(deployment))


async def execute(
    replicated_log: ReplicatedLog | None, deployment: Deployment | None, command: messages.PolicyOrder
) -> messages.PolicyAnswer:
    """Executes a command; the answer says what was wrong with it, if anything."""
    if replicated_log is None:
        return messages.PolicyAnswer(fault="this planner keeps no policy: start it with --planners")
    try:
        fields = _fields_of(command)
    except ValueError as error:
        return messages.PolicyAnswer(fault=f"an order that cannot be read: {error}")
    if command.verb == PolicyVerb.SHOW:
        return messages.PolicyAnswer(state=encode_status(replicated_log))
    try:
        stored = _stored_command(replicated_log, deployment, command.verb, fields)
        result = await replicated_log.propose(stored)
    except KeyError as error:
        return messages.PolicyAnswer(fault=f"the order lacks {error}")
    except (ProposalRejectedError, DeploymentError, TypeError, ValueError) as error:
        undecided = isinstance(error, ProposalUndecidedError)
        return messages.PolicyAnswer(fault=str(error), elsewhere=undecided)
    return messages.PolicyAnswer(said=result, state=encode_status(replicated_log))


def _fields_of(command: messages.PolicyOrder) -> dict[str, Any]:
    """Returns the command's fields; raises ValueError if they cannot be read."""
    fields = orjson.loads(command.order) if command.order else {}
    if len(command.order) > MAX_COMMAND_BYTES or not isinstance(fields, dict):
        raise ValueError(f"{len(command.order)} bytes")
    return fields


def _number(value: Any) -> int:
    """Returns a version or sequence number; raises ValueError or TypeError if it is invalid."""
    try:
        number = int(value)
    except OverflowError as error:
        raise ValueError(str(error)) from error
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"{str(value)[:MAX_NAME_LENGTH]} is no number of a policy or an order")
    return number


def _origin_of(fields: Mapping[str, Any]) -> Origin:
    return Origin(
        client=str(fields["client"])[:MAX_NAME_LENGTH],
        sequence=_number(fields["n"]),
        author=str(fields["by"])[:MAX_NAME_LENGTH],
    )


def _stored_command(
    replicated_log: ReplicatedLog, deployment: Deployment, verb: str, fields: Mapping[str, Any]
) -> StoredCommand:
    origin = _origin_of(fields)
    if verb == PolicyVerb.PROPOSE:
        document = _checked_document(replicated_log, deployment, fields["text"])
        base = fields.get("base")
        return stored_commands.propose(document, None if base is None else _number(base), origin)
    if verb == PolicyVerb.WITHDRAW:
        return stored_commands.withdraw(_number(fields["number"]), origin)
    if verb == PolicyVerb.REVERT:
        return stored_commands.revert(_number(fields["number"]), origin)
    if verb == PolicyVerb.FORGET:
        return stored_commands.forget(str(fields["member"]), origin)
    raise ProposalRejectedError(f"there is no order '{verb}'; there are {', '.join(PolicyVerb)}")


def _checked_document(replicated_log: ReplicatedLog, deployment: Deployment, text: str) -> PolicyDocument:
    """Returns a proposed policy, which must be valid and be able to take effect while the fleet runs."""
    active = replicated_log.policy.active
    if active is None:
        raise ProposalUndecidedError("the fleet has no first policy yet")
    proposed = policy_documents.merge(deployment, text, "the proposed policy")
    current = policy_documents.merge(deployment, active.text, "the policy in force")
    obstacles = policy_documents.restart_obstacles(current, proposed)
    if obstacles:
        raise ProposalRejectedError("; ".join(obstacles))
    return _document_of(proposed)
