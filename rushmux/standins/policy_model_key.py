"""Keys by which the model checker compares states."""

from rushmux.fleet import policy
from rushmux.standins.policy_model_state import ModelState

MAX_REMAINING = 30.0  # seconds; longer remaining times are not distinguished


def state_key(state: ModelState) -> int:
    """A key of a state; states that differ only in the names of members have the same key."""
    members = tuple(sorted(_member_key(state, name) for name in state.members))
    coordinators = tuple(
        (
            term,
            _remaining(state, coordinator.predecessor_leases_end),
            coordinator.pending_decision is not None,
        )
        for term, coordinator in state.coordinators.items()
    )
    return hash(
        (
            state.steps,
            state.index,
            state.machine.staged is None,
            state.machine.active.version,
            members,
            coordinators,
            state.crashes,
            state.pending and state.pending["kind"],
        )
    )


def _member_key(state: ModelState, name: str) -> tuple:
    member = state.members[name]
    messages = tuple(
        (
            message.kind,
            message.term,
            _remaining(state, member.sent_at[message.body.request_id]),
            *message.content(),
        )
        for message in state.in_flight
        if message.body.member == name
    )
    coordinators = tuple(
        _coordinator_key(state, name, coordinator) for coordinator in state.coordinators.values()
    )
    return (
        member.active_version,
        member.staged is not None,
        0 if member.lease_expiry is None else _remaining(state, member.lease_expiry),
        member.last_grant_position,
        state.disks[name][1] is not None,
        state.machine.member_versions[name],
        messages,
        coordinators,
    )


def _coordinator_key(state: ModelState, name: str, coordinator: policy.RolloutCoordinator) -> tuple:
    """A planner's information on a member."""
    request = coordinator.latest_requests.get(name)
    return (
        _remaining(state, coordinator.lease_expiry.get(name, 0.0)),
        (0, 0) if request is None else (request.active_version, request.joint_version),
        coordinator.pending_decision is not None and name in coordinator.pending_decision.joint,
    )


def _remaining(state: ModelState, at: float) -> int:
    """Hundredths of a second until a time; times in the past are not distinguished."""
    return round(max(-0.01, min(at - state.now, MAX_REMAINING)) * 100)
