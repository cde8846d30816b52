"""Converts policy lease messages between protobuf and the types of `fleet.policy`."""

from collections.abc import Mapping

from rushmux.fleet import policy
from rushmux.nodewire import WireError, messages


def decode_lease_grant(
    message: messages.PolicyGrant, known: Mapping[int, policy.Policy]
) -> policy.LeaseGrant:
    """Decodes a grant; the message may leave out policies that are `known` by version.

    Raises:
        WireError: A policy's checksum does not match, or the policy was left out and is not known.
    """
    active = _decode_policy(message.force, known)
    staged = _decode_policy(message.staged, known) if message.HasField("staged") else None
    return policy.LeaseGrant(message.member, message.ask, message.term, message.index, active, staged)


def _decode_policy(message: messages.Policy, known: Mapping[int, policy.Policy]) -> policy.Policy:
    limits = tuple(policy.FolderLimit(row.folder, row.limit, row.burst) for row in message.rows)
    if message.text:
        decoded = policy.Policy(message.number, message.text, limits)
    else:
        decoded = known.get(message.number)
    if decoded is None or decoded.checksum != message.sum:
        raise WireError(f"policy {message.number} has a wrong checksum")
    return decoded


def encode_lease_request(request: policy.LeaseRequest) -> messages.PolicyAsk:
    """Encodes a member's lease request."""
    return messages.PolicyAsk(
        member=request.member,
        ask=request.request_id,
        force=request.active_version,
        joint=request.joint_version,
        refused=request.rejected_version,
        against=request.rejection_reason,
    )
