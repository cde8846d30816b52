"""The stored form of the commands in the replicated log: their kinds and JSON keys."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from rushmux.fleet.policy.commands import CommandKind

StoredCommand = dict[str, Any]

BOOTSTRAP_AUTHOR = "the deployment file"
FLEET_AUTHOR = "people"  # of drains, whose senders give no names


class Origin(NamedTuple):
    """Who sent a command, and its idempotency key.

    Attributes:
        client: The sender's id.
        sequence: The command's number, which increases with each command of the client.
        author: The operator's name.
    """

    client: str
    sequence: int
    author: str


class PolicyDocument(NamedTuple):
    """A policy to propose.

    Attributes:
        text: The settings that members apply, as JSON.
        limits: Folder, limit and burst of each folder with a limit.
    """

    text: str
    limits: Sequence[tuple[str, float, float]]


def bootstrap(members: Sequence[str], document: PolicyDocument) -> StoredCommand:
    """Command that creates the fleet's first policy and names all its possible members."""
    return {
        "kind": CommandKind.BOOTSTRAP.value,
        "members": list(members),
        "by": BOOTSTRAP_AUTHOR,
        "text": document.text,
        "rows": document.limits,
    }


def propose(document: PolicyDocument, base: int | None, origin: Origin) -> StoredCommand:
    """Command that stages a policy, only if version `base` is active (None: in any case)."""
    return {
        "kind": CommandKind.PROPOSE.value,
        "base": base,
        "text": document.text,
        "rows": document.limits,
        **_stored_origin(origin),
    }


def revert(version: int, origin: Origin) -> StoredCommand:
    """Command that stages a past policy again."""
    return {"kind": CommandKind.REVERT.value, "number": version, **_stored_origin(origin)}


def withdraw(version: int, origin: Origin) -> StoredCommand:
    """Command that ends a staged change."""
    return {"kind": CommandKind.WITHDRAW.value, "number": version, **_stored_origin(origin)}


def forget(member: str, origin: Origin) -> StoredCommand:
    """Command that lets changes proceed without a member."""
    return {"kind": CommandKind.FORGET.value, "member": member, **_stored_origin(origin)}


def drain(node: str) -> StoredCommand:
    """Command that stops new work from going to a node."""
    return {"kind": CommandKind.DRAIN.value, "member": node, "by": FLEET_AUTHOR}


def undrain(node: str) -> StoredCommand:
    """Command that lets a drained node be used again."""
    return {"kind": CommandKind.UNDRAIN.value, "member": node, "by": FLEET_AUTHOR}


def _stored_origin(origin: Origin) -> StoredCommand:
    return {"client": origin.client, "n": origin.sequence, "by": origin.author}


def origin_of(command: StoredCommand) -> Origin | None:
    """Returns a command's origin, or None if it has no idempotency key."""
    if "client" not in command:
        return None
    return Origin(command["client"], command["n"], command.get("by", ""))


def is_same_change(command: StoredCommand, other: StoredCommand) -> bool:
    """Whether two commands have the same kind and policy version."""
    return (command["kind"], command.get("number")) == (other["kind"], other.get("number"))
