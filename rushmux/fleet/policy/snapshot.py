"""JSON snapshots of the state machine, as planners store them on disk."""

import json
from typing import TYPE_CHECKING

from rushmux.fleet.policy.codec import folder_limits_from_json, policy_from_json, policy_to_json
from rushmux.fleet.policy.records import ChangeOutcome, ChangeRecord

if TYPE_CHECKING:
    from rushmux.fleet.policy.state_machine import PolicyStateMachine


def encode(machine: "PolicyStateMachine") -> bytes:
    """Encodes the full state of a machine."""
    return json.dumps(
        {
            "members": machine.members,
            "force": policy_to_json(machine.active),
            "staged": policy_to_json(machine.staged),
            "last": machine.last_version,
            "by": machine.proposed_by,
            "goes": machine.member_versions,
            "past": machine.history,
            "texts": [policy_to_json(policy) for policy in machine.past_policies.values()],
            "rows": list(machine.limits_by_version.items()),
            "drained": list(machine.drained_nodes),
            "gone": list(machine.forgotten),
        }
    ).encode()


def decode_into(machine: "PolicyStateMachine", state: bytes) -> None:
    """Restores the state from `encode` into a new machine.

    Raises:
        ValueError: The state is corrupt.
    """
    raw = json.loads(state)
    machine.members = tuple(raw["members"])
    machine.active = policy_from_json(raw["force"])
    machine.staged = policy_from_json(raw["staged"])
    machine.last_version = raw["last"]
    machine.proposed_by = raw["by"]
    machine.member_versions = raw["goes"]
    machine.history = [
        ChangeRecord(version, ChangeOutcome(outcome), reason, proposed_by)
        for version, outcome, reason, proposed_by in raw["past"]
    ]
    past_policies = map(policy_from_json, raw["texts"])
    machine.past_policies = {policy.version: policy for policy in past_policies}
    machine.limits_by_version = {version: folder_limits_from_json(rows) for version, rows in raw["rows"]}
    machine.drained_nodes = dict.fromkeys(raw["drained"], True)
    machine.forgotten = dict.fromkeys(raw["gone"], True)
