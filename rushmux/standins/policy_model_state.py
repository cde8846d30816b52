"""States of the policy model checker, which runs the production classes.

There are three members, two planners of which the second may take over from the first (terms 1 and 2), one
change after the first policy, and time steps of half a lease.  Messages may be lost, duplicated and late; a
planner may be replaced without noticing; members may crash and restart from their disks.  The replicated log
is assumed to be correct (`raft_simulation` tests it): the newest planner's command commits in one step.
"""

import json
from collections.abc import Callable, Iterator
from copy import copy
from typing import Any, NamedTuple

from rushmux.fleet import policy
from rushmux.standins.policy_parts import PolicyParts

MEMBERS = ("edge0", "edge1", "edge2")
FOLDER = "a"
STEP = policy.LEASE_DURATION / 1.9  # two steps exceed any lease, clock drift included
EPSILON = 1e-6


class Bounds(NamedTuple):
    """Bounds of an exploration."""

    steps: int = 4  # of the clock
    crashes: int = 1
    takeovers: int = 1
    messages: int = 2  # in flight at a time
    states: int = 1_000_000


class InFlightMessage(NamedTuple):
    """A message between a member and the planner of a term."""

    kind: str  # "request" or "grant"
    body: policy.LeaseRequest | policy.LeaseGrant
    term: int

    def content(self) -> tuple[int, ...]:
        """The fields that distinguish states."""
        body = self.body
        if isinstance(body, policy.LeaseRequest):
            return body.active_version, body.joint_version
        return body.index, body.active.version, body.staged.version if body.staged else 0


class Move(NamedTuple):
    """An event that may happen next: its name, and the function that applies it to a copy of the state."""

    name: str
    apply: Callable[["ModelState"], None]


class ModelState:
    """The state of all members, planners and messages.

    Args:
        parts: The classes under test.
        first_limit: The folder's limit (units per second) under the first policy.
        second_limit: Its limit under the staged change.
    """

    def __init__(self, parts: PolicyParts, first_limit: float, second_limit: float):
        self.parts = parts
        self.now = 0.0
        self.term = 1
        self.machine = parts.state_machine()
        first = {"text": "first", "rows": [[FOLDER, first_limit, first_limit]]}
        self.machine.apply({"kind": "found", "by": "x", "members": list(MEMBERS), **first})
        self.index = 1
        self.disks = dict.fromkeys(MEMBERS, (self.machine.active, None))
        self.members = {name: self._new_member(name) for name in MEMBERS}
        # Planner 1 leads; planner 2 may take over without planner 1 noticing.
        self.coordinators = {1: parts.coordinator(self.machine, -2 * policy.LEASE_DURATION)}
        self.replaced_machines: dict[int, policy.PolicyStateMachine] = {}
        """The replicated state that a replaced planner knows, by its term."""
        self.in_flight: tuple[InFlightMessage, ...] = ()
        self.crashes = 0
        self.takeovers = 0
        self.steps = 0
        self.pending: dict[str, Any] | None = None
        """The uncommitted command in the newest planner's log."""
        self._lease_all()
        second = {"text": "second", "rows": [[FOLDER, second_limit, second_limit]]}
        self.machine.apply({"kind": "propose", "by": "x", **second})
        self.index = 2

    def _lease_all(self) -> None:
        """Gives each member a lease under the first policy."""
        coordinator = self.coordinators[1]
        for member in self.members.values():
            coordinator.on_lease_request(self.now, member.lease_request(self.now), 0)
            for grant in coordinator.grant_leases(self.now, 1, 1, self.index):
                member.on_grant(self.now, grant)

    def _new_member(self, name: str) -> policy.PolicyMember:
        active, staged = self.disks[name]
        return self.parts.member(name, active, staged, lambda _: None, self._disk_writer(name))

    def _disk_writer(self, name: str) -> Callable[[policy.Policy, policy.Policy | None], None]:
        def persist(active: policy.Policy, staged: policy.Policy | None) -> None:
            self.disks[name] = active, staged

        return persist

    # Copies.

    def copied(self) -> "ModelState":
        """An independent copy."""
        other = copy(self)
        other.machine = _copied_machine(self.machine)
        other.disks = dict(self.disks)
        other.replaced_machines = dict(self.replaced_machines)
        other.coordinators = {
            term: self._copied_coordinator(
                coordinator, other.machine if term == self.term else self.replaced_machines[term]
            )
            for term, coordinator in self.coordinators.items()
        }
        other.members = {name: self._copied_member(name, other) for name in self.members}
        return other

    @staticmethod
    def _copied_coordinator(
        coordinator: policy.RolloutCoordinator, machine: policy.PolicyStateMachine
    ) -> policy.RolloutCoordinator:
        other = copy(coordinator)
        other.state_machine = machine
        other.lease_expiry = dict(coordinator.lease_expiry)
        other.latest_requests = dict(coordinator.latest_requests)
        other.staged_since = dict(coordinator.staged_since)
        other.pending_requests = list(coordinator.pending_requests)
        return other

    def _copied_member(self, name: str, state: "ModelState") -> policy.PolicyMember:
        member = self.members[name]
        other = copy(member)
        # Without a message in flight, a request is never answered.
        other.sent_at = {
            message.body.request_id: member.sent_at[message.body.request_id]
            for message in self.in_flight
            if message.body.member == name
        }
        other.persist = state._disk_writer(name)
        return other

    # Moves.

    def moves(self, bounds: Bounds) -> Iterator[Move]:
        """All moves that are possible within the bounds."""
        yield from self._member_moves(bounds)
        yield from self._message_moves(bounds)
        if self.steps < bounds.steps:
            yield Move("time passes", ModelState.pass_time)
        if self.takeovers < bounds.takeovers:
            yield Move("planner 2 takes over", lambda state: state.take_over(with_pending=False))
            if self.pending is not None:
                yield Move(
                    "planner 2 takes over with the pending command",
                    lambda state: state.take_over(with_pending=True),
                )
        if self.pending is None:
            yield Move(f"planner {self.term} proposes", ModelState.propose)
        else:
            yield Move("the pending command is committed", ModelState.commit)

    def _member_moves(self, bounds: Bounds) -> Iterator[Move]:
        has_room = len(self.in_flight) < bounds.messages
        requesting = {message.body.member for message in self.in_flight if message.kind == "request"}
        for name in MEMBERS:
            if has_room and name not in requesting:
                for term in self.coordinators:
                    yield Move(
                        f"{name} requests a lease of planner {term}",
                        lambda state, name=name, term=term: state.send_request(name, term),
                    )
            if self.crashes < bounds.crashes:
                yield Move(f"{name} crashes and restarts", lambda state, name=name: state.crash(name))

    def _message_moves(self, bounds: Bounds) -> Iterator[Move]:
        has_room = len(self.in_flight) < bounds.messages
        for number, message in enumerate(self.in_flight):
            name = f"{message.kind} of {message.body.member}"
            yield Move(
                f"{name} arrives, planner {message.term}", lambda state, number=number: state.deliver(number)
            )
            yield Move(f"{name} is lost", lambda state, number=number: state.lose(number))
            if has_room and message.kind == "grant":
                yield Move(
                    f"{name} arrives, and will again",
                    lambda state, number=number: state.deliver(number, duplicated=True),
                )

    def send_request(self, name: str, term: int) -> None:
        """A member requests a lease from the planner of a term."""
        request = self.members[name].lease_request(self.now)
        self.in_flight += (InFlightMessage("request", request, term),)

    def crash(self, name: str) -> None:
        """A member restarts from its disk; its earlier requests are never answered."""
        self.crashes += 1
        self.members[name] = self._new_member(name)
        self.in_flight = tuple(message for message in self.in_flight if message.body.member != name)

    def lose(self, number: int) -> None:
        """A message is lost."""
        self.in_flight = self.in_flight[:number] + self.in_flight[number + 1 :]

    def deliver(self, number: int, *, duplicated: bool = False) -> None:
        """A message arrives; a duplicated one stays in flight."""
        message = self.in_flight[number]
        if not duplicated:
            self.lose(number)
        if message.kind == "grant":
            self.members[message.body.member].on_grant(self.now, message.body)
            return
        coordinator = self.coordinators[message.term]
        coordinator.on_lease_request(self.now, message.body, 0)
        # A majority no longer answers a replaced planner, so that no new round of it is confirmed.
        leads = message.term == self.term
        index = self.index if leads else 2
        for grant in coordinator.grant_leases(self.now, 1 if leads else 0, message.term, index):
            self.in_flight += (InFlightMessage("grant", grant, message.term),)

    def pass_time(self) -> None:
        """Half a lease passes."""
        self.steps += 1
        self.now += STEP

    def take_over(self, *, with_pending: bool) -> None:
        """The next planner becomes leader; it commits the pending command if its log contains it."""
        self.takeovers += 1
        if with_pending:
            self.commit()
        self.pending = None
        self.replaced_machines[self.term] = _copied_machine(self.machine)
        self.coordinators[self.term].state_machine = self.replaced_machines[self.term]
        self.term += 1
        self.coordinators[self.term] = self.parts.coordinator(self.machine, self.now)

    def propose(self) -> None:
        """The leader proposes its next command, if any."""
        self.pending = self.coordinators[self.term].next_command(self.now)

    def commit(self) -> None:
        """The pending command is committed and applied."""
        self.machine.apply(json.loads(json.dumps(self.pending)))
        self.index += 1
        self.pending = None

    # Invariant.

    def violation(self) -> str | None:
        """Describes how members exceed the active limit; None if they do not."""
        active = self.machine.active
        limit, _ = active.limits()[FOLDER]
        used = sum(self._applied_limit(member) for member in self.members.values()) / len(MEMBERS)
        if used > limit + EPSILON:
            return f"the limit is {limit:g} under version {active.version}, but members may use {used:g}"
        return None

    def _applied_limit(self, member: policy.PolicyMember) -> float:
        limit, _ = member.effective_limits(self.now).get(FOLDER, (0.0, 0.0))
        return limit


def _copied_machine(machine: policy.PolicyStateMachine) -> policy.PolicyStateMachine:
    other = copy(machine)
    other.member_versions = dict(machine.member_versions)
    other.limits_by_version = dict(machine.limits_by_version)
    other.past_policies = dict(machine.past_policies)
    return other
