"""Keys of the model checker's states: what tells two states apart."""

from rushmux.fleet import policy
from rushmux.standins.policy_model_state import ModelState

OLDEST_AGE = 30.0  # seconds: what is longer to come counts as the same


def state_key(state: ModelState) -> int:
    """What tells two states apart.  Members differ by nothing but their names: they are put in order."""
    members = tuple(sorted(_member_key(state, name) for name in state.members))
    coordinators = tuple(
        (term, _age(state, coordinator.predecessor_leases_end), coordinator.pending_decision is not None)
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
            _age(state, member.sent_at[message.body.request_id]),
            *message.content(),
        )
        for message in state.in_flight
        if message.body.member == name
    )
    known = tuple(_known_of(state, name, coordinator) for coordinator in state.coordinators.values())
    return (
        member.active_version,
        member.staged is not None,
        0 if member.lease_expiry is None else _age(state, member.lease_expiry),
        member.last_grant_position,
        state.disks[name][1] is not None,
        state.machine.member_versions[name],
        messages,
        known,
    )


def _known_of(state: ModelState, name: str, coordinator: policy.RolloutCoordinator) -> tuple:
    """What a planner knows of a member."""
    request = coordinator.latest_requests.get(name)
    return (
        _age(state, coordinator.lease_expiry.get(name, 0.0)),
        (0, 0) if request is None else (request.active_version, request.joint_version),
        coordinator.pending_decision is not None and name in coordinator.pending_decision.joint,
    )


def _age(state: ModelState, at: float) -> int:
    """Hundredths of a second until a time; all that is past is the same."""
    return round(max(-0.01, min(at - state.now, OLDEST_AGE)) * 100)
