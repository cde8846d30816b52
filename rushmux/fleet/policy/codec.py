"""The stored form of policies and commands.

Keys and kinds are part of the format of logs, snapshots and policy files on disk.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from rushmux.fleet.errors import PolicyChecksumError, UnknownCommandError
from rushmux.fleet.policy.commands import (
    AbortChange,
    BootstrapFleet,
    Command,
    CommandKind,
    DecideChange,
    DrainNode,
    ForgetMember,
    ProposeChange,
    RecordActivation,
    ReinstateMembers,
    RevertChange,
    UndrainNode,
    WithdrawChange,
)
from rushmux.fleet.policy.records import FolderLimit, Policy

# Policies.


def folder_limits_from_json(rows: Iterable[Iterable[Any]]) -> tuple[FolderLimit, ...]:
    """Converts rows of folder, limit and burst to limits."""
    return tuple(FolderLimit(*row) for row in rows)


def policy_to_json(policy: Policy | None) -> list | None:
    """Returns a policy as JSON values, or None for None."""
    if policy is None:
        return None
    return [policy.version, policy.text, [list(row) for row in policy.folder_limits], policy.checksum]


def policy_from_json(values: list | None) -> Policy | None:
    """Returns the policy from JSON values, or None for None.

    Raises:
        PolicyChecksumError: The checksum is wrong; a ValueError.
    """
    if values is None:
        return None
    version, text, rows, checksum = values[0], values[1], values[2], values[3]
    policy = Policy(version, text, folder_limits_from_json(rows))
    if policy.checksum != checksum:
        raise PolicyChecksumError(policy.version)
    return policy


# Commands.

Stored = Mapping[str, Any]


def _bootstrap(stored: Stored) -> BootstrapFleet:
    limits = folder_limits_from_json(stored["rows"])
    return BootstrapFleet(tuple(stored["members"]), stored["text"], limits, stored["by"])


def _propose(stored: Stored) -> ProposeChange:
    limits = folder_limits_from_json(stored["rows"])
    return ProposeChange(stored.get("base"), stored["text"], limits, stored["by"])


def _revert(stored: Stored) -> RevertChange:
    return RevertChange(stored["number"], stored.get("base"), stored["by"])


def _decide(stored: Stored) -> DecideChange:
    return DecideChange(stored["number"], tuple(stored["joint"]), stored["why"])


def _abort(stored: Stored) -> AbortChange:
    return AbortChange(stored["number"], stored["why"])


def _withdraw(stored: Stored) -> WithdrawChange:
    return WithdrawChange(stored["number"], stored["by"])


def _record_activation(stored: Stored) -> RecordActivation:
    return RecordActivation(stored["number"], tuple(stored["members"]))


def _forget(stored: Stored) -> ForgetMember:
    return ForgetMember(stored["member"])


def _reinstate(stored: Stored) -> ReinstateMembers:
    return ReinstateMembers(tuple(stored["members"]))


def _drain(stored: Stored) -> DrainNode:
    return DrainNode(stored["member"])


def _undrain(stored: Stored) -> UndrainNode:
    return UndrainNode(stored["member"])


_DECODERS: dict[str, Callable[[Stored], Command]] = {
    CommandKind.BOOTSTRAP: _bootstrap,
    CommandKind.PROPOSE: _propose,
    CommandKind.REVERT: _revert,
    CommandKind.DECIDE: _decide,
    CommandKind.ABORT: _abort,
    CommandKind.WITHDRAW: _withdraw,
    CommandKind.RECORD_ACTIVATION: _record_activation,
    CommandKind.FORGET: _forget,
    CommandKind.REINSTATE: _reinstate,
    CommandKind.DRAIN: _drain,
    CommandKind.UNDRAIN: _undrain,
}


def decode_command(stored: Stored) -> Command:
    """Decodes the command of a log entry.

    Raises:
        UnknownCommandError: The kind is unknown, possibly because it was added in a newer version; it must be
            rejected without a state change.
        KeyError: A field is missing.
    """
    decoder = _DECODERS.get(str(stored["kind"]))
    if decoder is None:
        raise UnknownCommandError(stored["kind"])
    return decoder(stored)


def encode_command(command: Command) -> dict[str, Any]:
    """Encodes a command that the coordinator proposes to the log."""
    match command:
        case ReinstateMembers():
            return {"kind": CommandKind.REINSTATE.value, "members": list(command.members)}
        case RecordActivation():
            return {
                "kind": CommandKind.RECORD_ACTIVATION.value,
                "number": command.version,
                "members": list(command.members),
            }
        case AbortChange():
            return {"kind": CommandKind.ABORT.value, "number": command.version, "why": command.reason}
        case DecideChange():
            return {
                "kind": CommandKind.DECIDE.value,
                "number": command.version,
                "joint": list(command.joint),
                "why": command.reason,
            }
    raise TypeError(f"the coordinator does not propose {type(command).__name__}")
