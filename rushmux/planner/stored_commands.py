"""The stored form of the commands that planners propose: the JSON keys and kinds of the log's entries."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from rushmux.fleet.policy.commands import CommandKind

StoredCommand = dict[str, Any]

BOOTSTRAP_AUTHOR = "the deployment file"
FLEET_AUTHOR = "people"  # of drains: their senders do not give their names


class Origin(NamedTuple):
    """Who sent a command, and its idempotency key.

    Attributes:
        client: the sender's id.
        sequence: the command's number; a client's later commands have higher ones.
        author: the operator's name.
    """

    client: str
    sequence: int
    author: str


class PolicyDocument(NamedTuple):
    """A policy to be proposed.

    Attributes:
        text: what members apply, as JSON.
        limits: folder, limit and burst of each folder with a limit.
    """

    text: str
    limits: Sequence[tuple[str, float, float]]


def bootstrap(members: Sequence[str], document: PolicyDocument) -> StoredCommand:
    """Makes the fleet's first policy, and names the members that there may ever be."""
    return {
        "kind": CommandKind.BOOTSTRAP.value,
        "members": list(members),
        "by": BOOTSTRAP_AUTHOR,
        "text": document.text,
        "rows": document.limits,
    }


def propose(document: PolicyDocument, base: int | None, origin: Origin) -> StoredCommand:
    """Stages a policy, on the condition that `base` is the active one; None: on no condition."""
    return {
        "kind": CommandKind.PROPOSE.value,
        "base": base,
        "text": document.text,
        "rows": document.limits,
        **_stored_origin(origin),
    }


def revert(version: int, origin: Origin) -> StoredCommand:
    """Stages a past policy anew."""
    return {"kind": CommandKind.REVERT.value, "number": version, **_stored_origin(origin)}


def withdraw(version: int, origin: Origin) -> StoredCommand:
    """Ends the staged change."""
    return {"kind": CommandKind.WITHDRAW.value, "number": version, **_stored_origin(origin)}


def forget(member: str, origin: Origin) -> StoredCommand:
    """No change waits for a member any more."""
    return {"kind": CommandKind.FORGET.value, "member": member, **_stored_origin(origin)}


def drain(node: str) -> StoredCommand:
    """Nothing new is to go to a node."""
    return {"kind": CommandKind.DRAIN.value, "member": node, "by": FLEET_AUTHOR}


def undrain(node: str) -> StoredCommand:
    """A node may be used again."""
    return {"kind": CommandKind.UNDRAIN.value, "member": node, "by": FLEET_AUTHOR}


def _stored_origin(origin: Origin) -> StoredCommand:
    return {"client": origin.client, "n": origin.sequence, "by": origin.author}


def origin_of(command: StoredCommand) -> Origin | None:
    """The origin of a stored command; None where it has no idempotency key."""
    if "client" not in command:
        return None
    return Origin(command["client"], command["n"], command.get("by", ""))


def is_same_change(command: StoredCommand, other: StoredCommand) -> bool:
    """Whether two commands are of one kind and about one version of the policy."""
    return (command["kind"], command.get("number")) == (other["kind"], other.get("number"))
