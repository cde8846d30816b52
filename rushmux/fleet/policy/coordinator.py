"""The leader's side of a rollout: grants leases, and says which command is to go to the log next."""

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

STAGE_TIMEOUT = 35.0  # seconds until a change that not all members answered is aborted: three leases
MAX_PENDING_REQUESTS = 2_000  # lease requests that wait for one heartbeat round of the log
MAX_NAMED_MEMBERS = 5  # in the reason of an aborted change


class PendingDecision(NamedTuple):
    """A version that the log was asked to decide, and the members that were joint then."""

    version: int
    joint: dict[str, bool]


class RolloutCoordinator:
    """What the planner that leads does, for one term, from when it was elected."""

    def __init__(self, state_machine: PolicyStateMachine, now: float):
        self.state_machine = state_machine
        # The leader before may have granted a lease just before it stopped leading.
        self.predecessor_leases_end = _planner_lease_end(now)
        self.lease_expiry: dict[str, float] = {}
        """When the lease of each member expires, by this planner's clock."""
        self.latest_requests: dict[str, LeaseRequest] = {}
        self.pending_requests: list[tuple[int, LeaseRequest]] = []
        """Requests that wait for a heartbeat round later than the one beside them."""
        self.staged_since: dict[int, float] = {}
        """Since when a staged version is seen."""
        self.returning_members: dict[str, bool] = {}
        """Forgotten members that asked for a lease (an ordered set)."""
        self.pending_decision: PendingDecision | None = None

    # Leases.

    def on_lease_request(self, now: float, request: LeaseRequest, round_: int) -> None:
        """Takes in a request that came while the log's newest heartbeat round was `round_`.

        It is answered once a later round is confirmed.
        """
        machine = self.state_machine
        if request.member in machine.forgotten:
            # With an answer it would hold a lease that no decision waits for.
            self.returning_members[request.member] = True
        elif request.member in machine.member_versions and len(self.pending_requests) < MAX_PENDING_REQUESTS:
            self.pending_requests.append((round_, request))

    def grant_leases(self, now: float, confirmed_round: int, term: int, index: int) -> list[LeaseGrant]:
        """Grants for requests that came before a round which a majority echoed.

        A planner that was replaced does not know it.  What it granted by a round of before the request could
        be older than what was decided since.
        """
        ready = [request for round_, request in self.pending_requests if round_ < confirmed_round]
        self.pending_requests = [
            (round_, request) for round_, request in self.pending_requests if round_ >= confirmed_round
        ]
        grants = (self.grant_lease(now, request, term, index) for request in ready)
        return [grant for grant in grants if grant is not None]

    def grant_lease(self, now: float, request: LeaseRequest, term: int, index: int) -> LeaseGrant | None:
        """The answer to one request; None where it gets no lease now."""
        machine = self.state_machine
        if machine.active is None or request.member in machine.forgotten:
            return None
        self.latest_requests[request.member] = request
        # A change that is being decided without this member must not find it with a lease.
        if self.pending_decision is not None and request.member not in self.pending_decision.joint:
            return None
        self.lease_expiry[request.member] = _planner_lease_end(now)
        return LeaseGrant(request.member, request.request_id, term, index, machine.active, machine.staged)

    def _lease_end(self, member: str) -> float:
        return self.lease_expiry.get(member, self.predecessor_leases_end)

    # The rollout.

    def is_joint(self, member: str, version: int) -> bool:
        """Whether a member reported that it has persisted a staged version."""
        request = self.latest_requests.get(member)
        return request is not None and request.joint_version == version

    def has_activated(self, member: str, version: int) -> bool:
        """Whether a member reported that it applies a version."""
        request = self.latest_requests.get(member)
        return request is not None and request.active_version == version

    def next_command(self, now: float) -> dict[str, Any] | None:
        """The command that is to go to the log now, in its stored form; None: none."""
        command = self._decide_next(now)
        return None if command is None else encode_command(command)

    def on_command_rejected(self) -> None:
        """The log did not take the command that `next_command` gave."""
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
        # A member that was joint and is silent since may come back on an older disk that knows nothing of it.
        silent = [member for member in awaited if member in not_joint or self._lease_end(member) <= now]
        excess = machine.degraded_excess(staged) if silent else None
        if not leased and excess is None:
            return self._decide(staged, not_joint)
        if now - since >= STAGE_TIMEOUT:
            return AbortChange(staged.version, _timeout_reason(not_joint or silent, excess))
        return None

    def _rejection(self, version: int) -> str | None:
        """Which member cannot apply a version, and why; None: none said so."""
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
    """When a lease that is granted now has expired at the member, whatever the drift of its clock."""
    return now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)


def _timeout_reason(missing: Sequence[str], excess: str | None) -> str:
    names = ", ".join(missing[:MAX_NAMED_MEMBERS])
    more = len(missing) - MAX_NAMED_MEMBERS
    if more > 0:
        names += f" and {more} more"
    reason = f"without answer in {STAGE_TIMEOUT:g} s: {names}"
    return reason if excess is None else f"{reason}; {excess}"
