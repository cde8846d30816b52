"""The leader's part of a rollout: grants leases and chooses the next command to propose."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from rushmux.fleet.policy.codec import encode_command
from rushmux.fleet.policy.commands import (
    AbortChange,
    Command,
    DecideChange,
    RecordActivation,
    ReinstateMembers,
)
from rushmux.fleet.policy.records import LEASE_DURATION, MAX_CLOCK_DRIFT, LeaseGrant, LeaseRequest, Policy
from rushmux.fleet.policy.state_machine import PolicyStateMachine

STAGE_TIMEOUT = 35.0  # seconds until a change that members have not answered is aborted; over three leases
MAX_PENDING_REQUESTS = 2_000  # lease requests waiting for a heartbeat round
MAX_NAMED_MEMBERS = 5  # members listed in the reason of an aborted change


class PendingDecision(NamedTuple):
    """A proposed decision: the version, and the members that were joint (an ordered set)."""

    version: int
    joint: dict[str, bool]


class RolloutCoordinator:
    """Coordinates rollouts on the leading planner for one term, from its election on."""

    def __init__(self, state_machine: PolicyStateMachine, now: float):
        self.state_machine = state_machine
        # The previous leader may have granted leases until it stopped leading.
        self.predecessor_leases_end = _planner_lease_end(now)
        self.lease_expiry: dict[str, float] = {}
        """Lease expiry of each member by this planner's clock."""
        self.latest_requests: dict[str, LeaseRequest] = {}
        self.pending_requests: list[tuple[int, LeaseRequest]] = []
        """Requests, each with the round on arrival; answered once a later round is confirmed."""
        self.staged_since: dict[int, float] = {}
        """When each staged version was first seen."""
        self.returning_members: dict[str, bool] = {}
        """Forgotten members that requested a lease (an ordered set)."""
        self.pending_decision: PendingDecision | None = None

    # Leases.

    def on_lease_request(self, now: float, request: LeaseRequest, round_: int) -> None:
        """Queues a request that arrived while the newest heartbeat round was `round_`.

        It is answered once a later round is confirmed.
        """
        machine = self.state_machine
        if request.member in machine.forgotten:
            # Decisions ignore the leases of forgotten members, so it must be reinstated first.
            self.returning_members[request.member] = True
        elif request.member in machine.member_versions and len(self.pending_requests) < MAX_PENDING_REQUESTS:
            self.pending_requests.append((round_, request))

    def grant_leases(self, now: float, confirmed_round: int, term: int, index: int) -> list[LeaseGrant]:
        """Answers the requests that arrived before the round that a majority echoed.

        A round that began before a request does not prove that this planner still led when the request
        arrived: it could have been replaced, and grant a lease on an outdated policy.
        """
        ready = [request for round_, request in self.pending_requests if round_ < confirmed_round]
        self.pending_requests = [
            (round_, request) for round_, request in self.pending_requests if round_ >= confirmed_round
        ]
        grants = (self.grant_lease(now, request, term, index) for request in ready)
        return [grant for grant in grants if grant is not None]

    def grant_lease(self, now: float, request: LeaseRequest, term: int, index: int) -> LeaseGrant | None:
        """Answers one request; returns None if no lease may be granted now."""
        machine = self.state_machine
        if machine.active is None or request.member in machine.forgotten:
            return None
        self.latest_requests[request.member] = request
        # A member must not hold a lease when a change is decided without it.
        if self.pending_decision is not None and request.member not in self.pending_decision.joint:
            return None
        self.lease_expiry[request.member] = _planner_lease_end(now)
        return LeaseGrant(request.member, request.request_id, term, index, machine.active, machine.staged)

    def _lease_end(self, member: str) -> float:
        return self.lease_expiry.get(member, self.predecessor_leases_end)

    # Rollout.

    def is_joint(self, member: str, version: int) -> bool:
        """Whether a member reported that it has persisted the staged version."""
        request = self.latest_requests.get(member)
        return request is not None and request.joint_version == version

    def has_activated(self, member: str, version: int) -> bool:
        """Whether a member reported that it applies a version."""
        request = self.latest_requests.get(member)
        return request is not None and request.active_version == version

    def next_command(self, now: float) -> dict[str, Any] | None:
        """Returns the command to propose now, in its stored form, or None."""
        command = self._decide_next(now)
        return None if command is None else encode_command(command)

    def on_command_rejected(self) -> None:
        """Called when the log rejected the command that `next_command` returned."""
        self.pending_decision = None

    def _decide_next(self, now: float) -> Command | None:
        machine = self.state_machine
        if machine.active is None:
            return None
        returning = tuple(member for member in self.returning_members if member in machine.forgotten)
        self.returning_members = {}
        if returning:
            return ReinstateMembers(returning)
        if machine.staged is None:
            self.pending_decision = None
            self.staged_since = {}
            return self._record_activations(machine.active)
        if self.pending_decision is not None and self.pending_decision.version == machine.staged.version:
            return None
        return self._advance_rollout(now, machine.staged)

    def _record_activations(self, active: Policy) -> RecordActivation | None:
        machine = self.state_machine
        activated = tuple(
            member
            for member in machine.members
            if self.has_activated(member, active.version)
            and machine.member_versions[member] != active.version
        )
        return RecordActivation(active.version, activated) if activated else None

    def _advance_rollout(self, now: float, staged: Policy) -> AbortChange | DecideChange | None:
        machine = self.state_machine
        since = self.staged_since.setdefault(staged.version, now)
        rejection = self._rejection(staged.version)
        if rejection is not None:
            return AbortChange(staged.version, rejection)
        awaited = [member for member in machine.members if member not in machine.forgotten]
        not_joint = [member for member in awaited if not self.is_joint(member, staged.version)]
        leased = [member for member in not_joint if self._lease_end(member) > now]
        # A joint member that went silent may return with an older disk that lacks the staged policy.
        silent = [member for member in awaited if member in not_joint or self._lease_end(member) <= now]
        excess = machine.degraded_excess(staged) if silent else None
        if not leased and excess is None:
            return self._decide(staged, not_joint)
        if now - since >= STAGE_TIMEOUT:
            return AbortChange(staged.version, _timeout_reason(not_joint or silent, excess))
        return None

    def _rejection(self, version: int) -> str | None:
        """Returns which member rejected a version and why, or None."""
        for member in self.state_machine.members:
            request = self.latest_requests.get(member)
            if request is not None and request.rejected_version == version:
                return f"{member}: {request.rejection_reason}"
        return None

    def _decide(self, staged: Policy, not_joint: Sequence[str]) -> DecideChange:
        members = self.state_machine.members
        joint = tuple(member for member in members if member not in not_joint)
        self.pending_decision = PendingDecision(staged.version, dict.fromkeys(joint, True))
        return DecideChange(staged.version, joint, f"{len(joint)} of {len(members)} were there")


def _planner_lease_end(now: float) -> float:
    """Returns when a lease granted now has expired at the member despite clock drift."""
    return now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)


def _timeout_reason(missing: Sequence[str], excess: str | None) -> str:
    names = ", ".join(missing[:MAX_NAMED_MEMBERS])
    more = len(missing) - MAX_NAMED_MEMBERS
    if more > 0:
        names += f" and {more} more"
    reason = f"without answer in {STAGE_TIMEOUT:g} s: {names}"
    return reason if excess is None else f"{reason}; {excess}"
