"""A fleet's policy: a change of it takes hold at every member that serves, or at none.  No I/O, no clock of
its own.

Three parts.  `PolicyStateMachine` is the state that the planners' log makes, the same at each of them.
`RolloutCoordinator` is what the planner that leads does with what members say.  `PolicyMember` is a member's side.

A change is staged by an entry of the log.  A member proves it, keeps it beside the one in force, and from
then on is *joint*: it goes by the lesser limit of both, so that it is harmless whichever way the change
ends.  When every member is joint, or was silent until its lease was over, an entry decides it; one member's
no ends it everywhere.  A member whose lease is over is *narrow*: it goes by a safe part (`DEGRADED_FRACTION`)
of all that it knows, and a change is decided without it only where that part fits into its even part of the new
limit.  So limits are down everywhere before they are up anywhere, and nobody needs a new decision to go on
serving.

A lease runs from when the member asked, by its own clock; the planner counts it from when it answered,
longer by MAX_CLOCK_DRIFT.  Clocks may stand apart and be set; they may not run apart by more than MAX_CLOCK_DRIFT.
Limits are units a second of all members together, 0: none.
"""

import json
import zlib
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from rushmux.fleet.errors import CommandRejectedError

LEASE_DURATION = 10.0  # seconds that a member goes by what it was told, from when it asked
MAX_CLOCK_DRIFT = 0.01  # part by which two clocks may run apart
DEGRADED_FRACTION = 0.25  # of its limits: what a member keeps that hears of no planner
STAGE_TIMEOUT = 35.0  # seconds until a staged change that not all have answered ends: three leases
MAX_POLICY_BYTES = 64 << 10  # bytes of a policy
MAX_VERSIONS_IN_USE = 32  # decided since the oldest that a member may go by: their limits are all kept
PAST_POLICIES_KEPT = 4  # texts of past policies kept, to go back to
MAX_CHANGE_RECORDS = 200  # changes remembered with how they ended
MAX_DRAINED_NODES = 10_000  # nodes
MAX_PENDING_REQUESTS = 2_000  # members' asks that wait for one round of the log
TOLERANCE = 1e-9  # parts are compared to this


class ChangeOutcome(StrEnum):
    """How a change ended; the values stand in snapshots."""

    DECIDED = "decided"
    ABORTED = "ended"
    WITHDRAWN = "withdrawn"


class FolderLimit(NamedTuple):
    """Limit and burst of a folder, in units a second and units of all members together; 0: none."""

    folder: str
    limit: float
    burst: float


class Policy(NamedTuple):
    """`folder_limits`: (folder, limit, burst) of each folder; `text`: what members validate, as JSON."""

    version: int
    text: str
    folder_limits: tuple[FolderLimit, ...]

    @property
    def checksum(self) -> int:
        rows = json.dumps(
            [[folder, float(limit), float(burst)] for folder, limit, burst in self.folder_limits]
        )
        return zlib.crc32(f"{self.version}\0{self.text}\0{rows}".encode())

    def limits(self) -> dict[str, tuple[float, float]]:
        return {folder: (limit, burst) for folder, limit, burst in self.folder_limits}


def policy_to_json(policy: Policy | None):
    """A policy as JSON values; None stays so."""
    return (
        None
        if policy is None
        else [policy.version, policy.text, [list(row) for row in policy.folder_limits], policy.checksum]
    )


def policy_from_json(values) -> Policy | None:
    """A policy of JSON values; ValueError where its checksum is wrong."""
    if values is None:
        return None
    policy = Policy(values[0], values[1], tuple(FolderLimit(*row) for row in values[2]))
    if policy.checksum != values[3]:
        raise ValueError(f"policy {policy.version} has a wrong checksum")
    return policy


class ChangeRecord(NamedTuple):
    """A change and how it ended: `reason` and by whom it was proposed."""

    version: int
    outcome: ChangeOutcome
    reason: str
    proposed_by: str


# What planners hold in common.


class PolicyStateMachine:
    """The state.  `apply` takes orders as the log decides them; `kept` and `restored` are for snapshots."""

    def __init__(self):
        self.members, self.active, self.staged, self.last_version = (), None, None, 0
        self.proposed_by = ""  # who proposed what is staged
        self.member_versions = {}  # member -> the oldest number that it may go by
        self.forgotten = {}  # members that people said will never serve again
        self.drained_nodes = {}  # nodes that people ordered to drain
        self.history, self.past_policies, self.limits_by_version = (
            [],
            {},
            {},
        )  # rows: of all decided numbers from the floor on

    @property
    def fencing_floor(self) -> int:
        """No member goes by an older number, but one whose disk is older than what it said."""
        return min(
            (number for member, number in self.member_versions.items() if member not in self.forgotten),
            default=self.active.version if self.active is not None else 0,
        )

    def apply(self, order: dict) -> str:
        """What came of an order, in words; those that begin with `refused` changed nothing."""
        try:
            return getattr(self, f"order_{order['kind']}", self.order_unknown)(order)
        except CommandRejectedError as fault:
            return f"refused: {fault}"

    def order_unknown(self, order):
        # Danger: a planner that knows fewer orders than the one that leads must still make the same state.
        raise CommandRejectedError(f"there is no order '{order['kind']}'")

    def order_found(self, order):
        """The first policy, and the members that there may ever be."""
        if self.active is not None:
            raise CommandRejectedError("the fleet has a policy")
        self.members = tuple(order["members"])
        self.active, self.last_version = Policy(1, order["text"], parse_folder_limits(order)), 1
        self.member_versions = dict.fromkeys(self.members, 1)
        self.limits_by_version[1] = self.active.folder_limits
        self.record_change(1, ChangeOutcome.DECIDED, "the first", order["by"])
        return "1 is the first"

    def order_propose(self, order):
        if self.active is None:
            raise CommandRejectedError("the fleet has no first policy yet")
        if self.staged is not None:
            raise CommandRejectedError(
                f"{self.staged.version} by {self.proposed_by} is under way: wait, or withdraw it"
            )
        if order.get("base") not in (None, self.active.version):
            raise CommandRejectedError(
                f"it was made on {order['base']}, and {self.active.version} is in force"
            )
        if len(order["text"].encode()) > MAX_POLICY_BYTES:
            raise CommandRejectedError(f"a policy holds {MAX_POLICY_BYTES} bytes")
        if len(self.limits_by_version) >= MAX_VERSIONS_IN_USE:
            slow = next(
                member for member in self.members if self.member_versions[member] == self.fencing_floor
            )
            raise CommandRejectedError(
                f"{slow} may still go by {self.fencing_floor}: bring it back, or forget it"
            )
        self.last_version += 1
        self.staged, self.proposed_by = (
            Policy(self.last_version, order["text"], parse_folder_limits(order)),
            order["by"],
        )
        return f"{self.last_version} is staged"

    def order_revert(self, order):
        text = self.past_policies.get(order["number"])
        if text is None:
            raise CommandRejectedError(
                f"{order['number']} is not kept; there are {', '.join(map(str, self.past_policies))}"
                if self.past_policies
                else "no past policy is kept yet"
            )
        return self.order_propose({**order, "text": text.text, "rows": text.folder_limits})

    def order_decide(self, order):
        policy = self.require_staged(order)
        self.past_policies[self.active.version] = self.active
        while len(self.past_policies) > PAST_POLICIES_KEPT:
            del self.past_policies[next(iter(self.past_policies))]
        self.active, self.staged = policy, None
        self.limits_by_version[policy.version] = policy.folder_limits
        self.record_change(policy.version, ChangeOutcome.DECIDED, order["why"], self.proposed_by)
        self.advance_members(order["joint"])
        return f"{policy.version} is decided"

    def order_end(self, order):
        policy = self.require_staged(order)
        self.staged = None
        self.record_change(policy.version, ChangeOutcome.ABORTED, order["why"], self.proposed_by)
        return f"{policy.version} took hold nowhere: {order['why']}"

    def order_withdraw(self, order):
        if self.staged is None or self.staged.version != order["number"]:
            found = next((past for past in self.history if past.version == order["number"]), None)
            if found is None:
                raise CommandRejectedError(f"there is no change {order['number']}")
            raise CommandRejectedError(
                f"{found.version} is {found.outcome} already"
                + (": propose a revert" if found.outcome == ChangeOutcome.DECIDED else "")
            )
        self.record_change(
            self.staged.version, ChangeOutcome.WITHDRAWN, f"by {order['by']}", self.proposed_by
        )
        self.staged = None
        return f"{order['number']} is withdrawn and took hold nowhere"

    def order_back(self, order):
        """Members said that they go by the number in force."""
        if self.active is None or order["number"] != self.active.version:
            raise CommandRejectedError("another number is in force by now")
        self.advance_members(order["members"])
        return f"{len(order['members'])} go by {self.active.version}"

    def order_forget(self, order):
        """A person says that a member does not run and will not: nothing waits for it any more."""
        if order["member"] not in self.member_versions:
            raise CommandRejectedError(f"there is no member '{order['member']}'")
        self.forgotten[order["member"]] = True
        self.advance_members([])
        return f"{order['member']} is no longer waited for"

    def order_return(self, order):
        """Members that were forgotten asked: they count again before they are answered."""
        for member in order["members"]:
            self.forgotten.pop(member, None)
        return f"{len(order['members'])} are back"

    def order_drain(self, order):
        if len(self.drained_nodes) >= MAX_DRAINED_NODES:
            raise CommandRejectedError(f"{MAX_DRAINED_NODES} nodes are to drain already")
        self.drained_nodes[order["member"]] = True
        return f"{order['member']} drains"

    def order_undrain(self, order):
        self.drained_nodes.pop(order["member"], None)
        return f"{order['member']} may be used"

    def require_staged(self, order):
        if self.staged is None or self.staged.version != order["number"]:
            raise CommandRejectedError(f"{order['number']} is not under way")
        return self.staged

    def advance_members(self, members):
        for member in members:
            if member in self.member_versions:
                self.member_versions[member] = self.active.version
        self.limits_by_version = {
            number: rows for number, rows in self.limits_by_version.items() if number >= self.fencing_floor
        }

    def record_change(self, number, end, why, by):
        self.history = [*self.history, ChangeRecord(number, end, why, by)][-MAX_CHANGE_RECORDS:]

    def degraded_excess(self, policy: Policy) -> str | None:
        """What a member that hears of nobody could use beyond its even part of a policy's limits; None:
        nothing. It may go by any number from the floor on.
        """
        limits = policy.limits()
        for number, rows in self.limits_by_version.items():
            for folder, limit, burst in rows:
                wills = limits.get(folder, (limit, burst))
                for was, will, what in zip((limit, burst), wills, ("limit", "burst")):
                    if will and (not was or DEGRADED_FRACTION * was > will + TOLERANCE):
                        part = f"{DEGRADED_FRACTION * was:g} in all" if was else "no bound"
                        return (
                            f"{folder}: who is away and goes by {number} keeps {part} of its "
                            f"{what}, over the {will:g} of {policy.version}"
                        )
        return None

    # Snapshots.

    def to_snapshot(self) -> bytes:
        return json.dumps(
            {
                "members": self.members,
                "force": policy_to_json(self.active),
                "staged": policy_to_json(self.staged),
                "last": self.last_version,
                "by": self.proposed_by,
                "goes": self.member_versions,
                "past": self.history,
                "texts": [policy_to_json(policy) for policy in self.past_policies.values()],
                "rows": list(self.limits_by_version.items()),
                "drained": list(self.drained_nodes),
                "gone": list(self.forgotten),
            }
        ).encode()

    @classmethod
    def from_snapshot(cls, state: bytes) -> "PolicyStateMachine":
        """Of `kept`; ValueError where it is damaged."""
        made = cls()
        if state:
            raw = json.loads(state)
            made.members, made.last_version, made.proposed_by = tuple(raw["members"]), raw["last"], raw["by"]
            made.active, made.staged, made.member_versions = (
                policy_from_json(raw["force"]),
                policy_from_json(raw["staged"]),
                raw["goes"],
            )
            made.history = [ChangeRecord(past[0], ChangeOutcome(past[1]), *past[2:]) for past in raw["past"]]
            made.past_policies = {policy.version: policy for policy in map(policy_from_json, raw["texts"])}
            made.limits_by_version = {
                number: parse_folder_limits({"rows": rows}) for number, rows in raw["rows"]
            }
            made.drained_nodes = dict.fromkeys(raw["drained"], True)
            made.forgotten = dict.fromkeys(raw["gone"], True)
        return made


def parse_folder_limits(order) -> tuple[FolderLimit, ...]:
    return tuple(FolderLimit(*row) for row in order["rows"])


# What members and the planner that leads say to each other.


class LeaseRequest(NamedTuple):
    """`active_version`: the number it goes by (0: none); `joint_version`: the staged number that it keeps
    beside it (0: none);
    `rejection_reason`: why it does not take the number `rejected_version`.
    """

    member: str
    request_id: int
    active_version: int
    joint_version: int
    rejected_version: int = 0
    rejection_reason: str = ""


class LeaseGrant(NamedTuple):
    """What holds for a lease from the ask on: `active` and, while a change is under way, `staged`.
    `term` and `index` are of the log: what is older is not believed.
    """

    member: str
    request_id: int
    term: int
    index: int
    active: Policy
    staged: Policy | None


class RolloutCoordinator:
    """The planner that leads, for one term, from when it was chosen."""

    def __init__(self, state_machine: PolicyStateMachine, now: float):
        self.state_machine = state_machine
        # Danger: the one that led before may have answered an ask just before it was not leading any more.
        self.predecessor_leases_end = now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)
        self.lease_expiry, self.latest_requests = {}, {}  # member -> when its lease is over; its newest ask
        self.pending_requests, self.staged_since = (
            [],
            {},
        )  # asks that wait for a round; staged number -> since when it is seen
        self.returning_members = {}  # members that were forgotten and ask
        self.deciding = None  # the number that it asked the log to decide, and who was joint

    def on_lease_request(self, now, ask: LeaseRequest, round_: int):
        """An ask came while the log's newest round was `round_`: it is answered once a later one is
        confirmed.
        """
        if ask.member in self.state_machine.forgotten:
            # Danger: with an answer it would hold a lease that nothing waits for.
            self.returning_members[ask.member] = True
        elif (
            ask.member in self.state_machine.member_versions
            and len(self.pending_requests) < MAX_PENDING_REQUESTS
        ):
            self.pending_requests.append((round_, ask))

    def grant_leases(self, now, confirmed: int, term: int, index: int) -> list[LeaseGrant]:
        """Grants for asks that came before a round which a majority echoed.

        Danger: a planner that others have replaced does not know it.  What it answers by a round of before
        the ask could be older than what was decided since.
        """
        ready = [ask for round_, ask in self.pending_requests if round_ < confirmed]
        self.pending_requests = [
            (round_, ask) for round_, ask in self.pending_requests if round_ >= confirmed
        ]
        return [grant for ask in ready if (grant := self.grant_lease(now, ask, term, index)) is not None]

    def grant_lease(self, now, ask, term, index):
        state_machine = self.state_machine
        if state_machine.active is None or ask.member in state_machine.forgotten:
            return None
        self.latest_requests[ask.member] = ask
        # Danger: a change that is being decided without this member must not find it with a lease.
        if self.deciding is not None and ask.member not in self.deciding[1]:
            return None
        self.lease_expiry[ask.member] = now + LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)
        return LeaseGrant(ask.member, ask.request_id, term, index, state_machine.active, state_machine.staged)

    def is_joint(self, member, number) -> bool:
        said = self.latest_requests.get(member)
        return said is not None and said.joint_version == number

    def next_command(self, now) -> dict | None:
        """The order that is to go to the log now; None: none."""
        state_machine = self.state_machine
        if state_machine.active is None:
            return None
        staged = state_machine.staged
        returning = [member for member in self.returning_members if member in state_machine.forgotten]
        self.returning_members = {}
        if returning:
            return {"kind": "return", "members": returning}
        if staged is None:
            self.deciding, self.staged_since = None, {}
            back = [
                member
                for member in state_machine.members
                if self.has_activated(member, state_machine.active.version)
                and state_machine.member_versions[member] != state_machine.active.version
            ]
            return {"kind": "back", "number": state_machine.active.version, "members": back} if back else None
        if self.deciding is not None and self.deciding[0] == staged.version:
            return None
        number, since = staged.version, self.staged_since.setdefault(staged.version, now)
        for member in state_machine.members:
            said = self.latest_requests.get(member)
            if said is not None and said.rejected_version == number:
                return {"kind": "end", "number": number, "why": f"{member}: {said.rejection_reason}"}
        waiting = [
            member
            for member in state_machine.members
            if member not in state_machine.forgotten and not self.is_joint(member, number)
        ]
        held = [
            member for member in waiting if self.lease_expiry.get(member, self.predecessor_leases_end) > now
        ]
        # Danger: who was joint and is silent since may come back on an older disk that knows nothing of it.
        silent = [
            member
            for member in state_machine.members
            if member not in state_machine.forgotten
            and (member in waiting or self.lease_expiry.get(member, self.predecessor_leases_end) <= now)
        ]
        harm = state_machine.degraded_excess(staged) if silent else None
        if not held and harm is None:
            joint = [member for member in state_machine.members if member not in waiting]
            self.deciding = number, dict.fromkeys(joint, True)
            return {
                "kind": "decide",
                "number": number,
                "joint": joint,
                "why": f"{len(joint)} of {len(state_machine.members)} were there",
            }
        if now - since >= STAGE_TIMEOUT:
            away = waiting or silent
            who = ", ".join(away[:5]) + (f" and {len(away) - 5} more" if len(away) > 5 else "")
            why = f"without answer in {STAGE_TIMEOUT:g} s: {who}" + (f"; {harm}" if harm is not None else "")
            return {"kind": "end", "number": number, "why": why}
        return None

    def has_activated(self, member, number) -> bool:
        said = self.latest_requests.get(member)
        return said is not None and said.active_version == number

    def on_command_rejected(self):
        """The order that `look` gave did not get into the log."""
        self.deciding = None


class Rejection(NamedTuple):
    """A version that a member does not take, and why; version 0: none."""

    version: int
    reason: str


# A member.


class PolicyMember:
    """`validate(policy)`: why it cannot be gone by, None: it can.  `keep(active, staged)`: puts both on its
    disk, synced; OSError where the disk does not take them.  `active`, `staged`: what its disk held.
    """

    def __init__(
        self,
        name: str,
        active: Policy | None,
        staged: Policy | None,
        validate: Callable[[Policy], str | None],
        persist: Callable,
    ):
        self.name, self.active, self.staged, self.validate, self.persist = (
            name,
            active,
            staged,
            validate,
            persist,
        )
        self.lease_expiry, self.last_grant_position, self.last_request_id, self.sent_at = None, (0, 0), 0, {}
        self.rejected = Rejection(0, "")  # a number that it said no to, and why
        self.fenced_below = 0  # nodes turned away what goes by numbers below this one

    def lease_request(self, now) -> LeaseRequest:
        self.last_request_id += 1
        self.sent_at[self.last_request_id] = now
        while len(self.sent_at) > 16:
            del self.sent_at[next(iter(self.sent_at))]
        joint = self.staged.version if self.staged else 0
        return LeaseRequest(self.name, self.last_request_id, self.active_version, joint, *self.rejected)

    @property
    def active_version(self) -> int:
        """The number that operations taken now go by; 0: none."""
        return self.active.version if self.active is not None else 0

    def on_grant(self, now, grant: LeaseGrant) -> bool:
        """Takes in a grant; whether it was believed.  What it changes is on the disk before it holds."""
        asked_at = self.sent_at.get(grant.request_id)
        if (
            grant.member != self.name
            or asked_at is None
            or (grant.term, grant.index) < self.last_grant_position
        ):
            return False
        if asked_at + LEASE_DURATION <= now:
            return False  # so long on its way that it is over
        active, staged = grant.active, self.staged_by(grant)
        if active.version != self.active_version:
            reason = self.validate(active)
            if reason is not None:
                # It was decided while this member was away, and it cannot go by it: it serves nothing.
                self.rejected = Rejection(active.version, reason)
                self.lease_expiry, self.fenced_below = None, active.version
                return False
        if (active.version, staged and staged.version) != (
            self.active_version,
            self.staged and self.staged.version,
        ):
            try:
                self.persist(active, staged)
            except OSError as fault:
                if grant.staged is not None and active.version == self.active_version:
                    self.rejected = Rejection(grant.staged.version, f"its disk: {fault}")
                # Danger: what is not on the disk is not gone by; the lease it had goes on.
                return False
        self.last_grant_position, self.active, self.staged = (grant.term, grant.index), active, staged
        self.lease_expiry = (
            asked_at + LEASE_DURATION
            if self.lease_expiry is None
            else max(self.lease_expiry, asked_at + LEASE_DURATION)
        )
        self.fenced_below = 0 if active.version >= self.fenced_below else self.fenced_below
        return True

    def staged_by(self, grant) -> Policy | None:
        """The change under way, where this member takes part in it."""
        staged = grant.staged
        if staged is None or staged.version == self.rejected.version:
            return None
        if self.staged is None or self.staged.version != staged.version:
            reason = self.validate(staged)
            if reason is not None:
                self.rejected = Rejection(staged.version, reason)
                return None
        return staged

    @property
    def newest_version(self) -> int:
        """The newest number whose limits it keeps to: what nodes hold against their floor."""
        return self.staged.version if self.staged is not None else self.active_version

    def on_fenced(self, floor: int):
        """A node goes by nothing older than `floor`: this member's disk is older than it believes."""
        self.fenced_below = max(self.fenced_below, floor)

    def is_serving(self) -> bool:
        """Whether it may take operations at all."""
        return self.active is not None and self.newest_version >= self.fenced_below

    def is_degraded(self, now) -> bool:
        """Whether it hears of no planner, so that others may have decided what it does not know."""
        return self.lease_expiry is None or now >= self.lease_expiry

    def effective_limits(self, now) -> dict[str, tuple[float, float]]:
        """Limit and burst of each folder that this member goes by at this moment, as those of all members
        together: it uses its even part of them.  0: no limit.
        """
        if not self.is_serving():
            return {}
        known = [policy.limits() for policy in (self.active, self.staged) if policy is not None]
        part = DEGRADED_FRACTION if self.is_degraded(now) else 1.0
        return {
            folder: tuple(
                part * min((limit for limit in values if limit), default=0.0)
                for values in zip(*(limits.get(folder, own) for limits in known))
            )
            for folder, own in known[0].items()
        }
