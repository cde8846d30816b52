"""The replicated state of the policy, equal on all planners that applied the same commands."""

from collections.abc import Iterable, Mapping
from typing import Any, Self

from rushmux.fleet.errors import (
    AlreadyBootstrappedError,
    ChangeEndedError,
    ChangeUnderWayError,
    MemberBehindError,
    NoActivePolicyError,
    NotStagedError,
    PastPolicyError,
    PolicyCommandError,
    PolicyTooLargeError,
    StaleBaseError,
    StaleVersionError,
    TooManyDrainedError,
    UnknownChangeError,
    UnknownMemberError,
)
from rushmux.fleet.policy import snapshot
from rushmux.fleet.policy.codec import decode_command
from rushmux.fleet.policy.commands import (
    AbortChange,
    BootstrapFleet,
    Command,
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
from rushmux.fleet.policy.records import (
    DEGRADED_FRACTION,
    ChangeOutcome,
    ChangeRecord,
    FolderLimit,
    Policy,
)

MAX_POLICY_BYTES = 64 << 10
MAX_VERSIONS_IN_USE = 32  # decided versions from the fencing floor on; all their limits are kept
PAST_POLICIES_KEPT = 4  # policies available to a revert
MAX_CHANGE_RECORDS = 200
MAX_DRAINED_NODES = 10_000
TOLERANCE = 1e-9  # for comparing limits


class PolicyStateMachine:
    """The replicated state; `apply` executes committed commands in log order."""

    def __init__(self):
        self.members: tuple[str, ...] = ()
        self.active: Policy | None = None
        self.staged: Policy | None = None
        self.last_version = 0
        self.proposed_by = ""
        """Author of the staged change."""
        self.member_versions: dict[str, int] = {}
        """The oldest version that each member may still apply."""
        self.forgotten: dict[str, bool] = {}
        """Members that operators declared permanently stopped (an ordered set)."""
        self.drained_nodes: dict[str, bool] = {}
        """Nodes that operators are draining (an ordered set)."""
        self.history: list[ChangeRecord] = []
        self.past_policies: dict[int, Policy] = {}
        self.limits_by_version: dict[int, tuple[FolderLimit, ...]] = {}
        """Limits of the decided versions from the fencing floor on."""

    @property
    def fencing_floor(self) -> int:
        """The oldest version that a member may still apply, forgotten members aside.

        Nodes reject older ones, which a member with an outdated disk could apply.
        """
        return min(
            (version for member, version in self.member_versions.items() if member not in self.forgotten),
            default=self.active.version if self.active is not None else 0,
        )

    def apply(self, stored: Mapping[str, Any]) -> str:
        """Applies a command in its stored form.

        Returns:
            A description of the outcome; if it starts with `refused`, nothing changed.
        """
        try:
            return self._execute(decode_command(stored))
        except PolicyCommandError as error:
            return f"refused: {error}"

    def _execute(self, command: Command) -> str:  # noqa: C901 - one case for each command
        match command:
            case BootstrapFleet():
                outcome = self.bootstrap(command)
            case ProposeChange():
                outcome = self.propose(command)
            case RevertChange():
                outcome = self.revert(command)
            case DecideChange():
                outcome = self.decide(command)
            case AbortChange():
                outcome = self.abort(command)
            case WithdrawChange():
                outcome = self.withdraw(command)
            case RecordActivation():
                outcome = self.record_activation(command)
            case ForgetMember():
                outcome = self.forget(command)
            case ReinstateMembers():
                outcome = self.reinstate(command)
            case DrainNode():
                outcome = self.drain(command)
            case UndrainNode():
                outcome = self.undrain(command)
        return outcome

    # Policy changes.

    def bootstrap(self, command: BootstrapFleet) -> str:
        """Sets the first policy and all members that the fleet can ever have."""
        if self.active is not None:
            raise AlreadyBootstrappedError(self.active.version)
        self.members = command.members
        self.last_version = 1
        self.active = Policy(self.last_version, command.text, command.folder_limits)
        self.member_versions = dict.fromkeys(self.members, self.last_version)
        self.limits_by_version[self.last_version] = self.active.folder_limits
        self.record_change(self.last_version, ChangeOutcome.DECIDED, "the first", command.proposed_by)
        return f"{self.last_version} is the first"

    def propose(self, command: ProposeChange) -> str:
        """Stages a change."""
        if self.active is None:
            raise NoActivePolicyError
        if self.staged is not None:
            raise ChangeUnderWayError(self.staged.version, self.proposed_by)
        if command.base not in (None, self.active.version):
            raise StaleBaseError(command.base, self.active.version)
        if len(command.text.encode()) > MAX_POLICY_BYTES:
            raise PolicyTooLargeError(MAX_POLICY_BYTES)
        if len(self.limits_by_version) >= MAX_VERSIONS_IN_USE:
            floor = self.fencing_floor
            behind = next(member for member in self.members if self.member_versions[member] == floor)
            raise MemberBehindError(behind, floor)
        self.last_version += 1
        self.staged = Policy(self.last_version, command.text, command.folder_limits)
        self.proposed_by = command.proposed_by
        return f"{self.last_version} is staged"

    def revert(self, command: RevertChange) -> str:
        """Stages a past policy under a new version."""
        past = self.past_policies.get(command.version)
        if past is None:
            raise PastPolicyError(command.version, tuple(self.past_policies))
        return self.propose(ProposeChange(command.base, past.text, past.folder_limits, command.proposed_by))

    def decide(self, command: DecideChange) -> str:
        """Activates the staged policy."""
        staged = self.require_staged(command.version)
        self.past_policies[self.active.version] = self.active
        while len(self.past_policies) > PAST_POLICIES_KEPT:
            del self.past_policies[next(iter(self.past_policies))]
        self.active, self.staged = staged, None
        self.limits_by_version[staged.version] = staged.folder_limits
        self.record_change(staged.version, ChangeOutcome.DECIDED, command.reason, self.proposed_by)
        self.advance_members(command.joint)
        return f"{staged.version} is decided"

    def abort(self, command: AbortChange) -> str:
        """Ends the staged change without effect."""
        staged = self.require_staged(command.version)
        self.staged = None
        self.record_change(staged.version, ChangeOutcome.ABORTED, command.reason, self.proposed_by)
        return f"{staged.version} took hold nowhere: {command.reason}"

    def withdraw(self, command: WithdrawChange) -> str:
        """Withdraws the staged change."""
        if self.staged is None or self.staged.version != command.version:
            ended = next((change for change in self.history if change.version == command.version), None)
            if ended is None:
                raise UnknownChangeError(command.version)
            raise ChangeEndedError(
                ended.version, ended.outcome, revertible=ended.outcome == ChangeOutcome.DECIDED
            )
        reason = f"by {command.withdrawn_by}"
        self.record_change(self.staged.version, ChangeOutcome.WITHDRAWN, reason, self.proposed_by)
        self.staged = None
        return f"{command.version} is withdrawn and took hold nowhere"

    def require_staged(self, version: int) -> Policy:
        """Returns the staged policy.

        Raises:
            NotStagedError: `version` is not staged.
        """
        if self.staged is None or self.staged.version != version:
            raise NotStagedError(version)
        return self.staged

    def record_change(self, version: int, outcome: ChangeOutcome, reason: str, proposed_by: str) -> None:
        """Adds an ended change to the history."""
        record = ChangeRecord(version, outcome, reason, proposed_by)
        self.history = [*self.history, record][-MAX_CHANGE_RECORDS:]

    # Members and nodes.

    def record_activation(self, command: RecordActivation) -> str:
        """Records that members apply the active version."""
        if self.active is None or command.version != self.active.version:
            raise StaleVersionError(command.version)
        self.advance_members(command.members)
        return f"{len(command.members)} go by {self.active.version}"

    def advance_members(self, members: Iterable[str]) -> None:
        """Moves members to the active version and drops limits that no member may still apply."""
        for member in members:
            if member in self.member_versions:
                self.member_versions[member] = self.active.version
        floor = self.fencing_floor
        self.limits_by_version = {
            version: limits for version, limits in self.limits_by_version.items() if version >= floor
        }

    def forget(self, command: ForgetMember) -> str:
        """Lets changes proceed without a member."""
        if command.member not in self.member_versions:
            raise UnknownMemberError(command.member)
        self.forgotten[command.member] = True
        self.advance_members([])
        return f"{command.member} is no longer waited for"

    def reinstate(self, command: ReinstateMembers) -> str:
        """Reinstates forgotten members."""
        for member in command.members:
            self.forgotten.pop(member, None)
        return f"{len(command.members)} are back"

    def drain(self, command: DrainNode) -> str:
        """Drains a node: it gets no new operations."""
        if len(self.drained_nodes) >= MAX_DRAINED_NODES:
            raise TooManyDrainedError(MAX_DRAINED_NODES)
        self.drained_nodes[command.node] = True
        return f"{command.node} drains"

    def undrain(self, command: UndrainNode) -> str:
        """Ends a node's drain."""
        self.drained_nodes.pop(command.node, None)
        return f"{command.node} may be used"

    def degraded_excess(self, policy: Policy) -> str | None:
        """Describes how a degraded member could exceed its even share of a policy's limits, or returns None.

        A degraded member may apply any version from the fencing floor on.
        """
        limits = policy.limits()
        for version, folder_limits in self.limits_by_version.items():
            for folder, limit, burst in folder_limits:
                new_limit, new_burst = limits.get(folder, (limit, burst))
                for name, old, new in (("limit", limit, new_limit), ("burst", burst, new_burst)):
                    if _degraded_exceeds(old, new):
                        kept = f"{DEGRADED_FRACTION * old:g} in all" if old else "no bound"
                        return (
                            f"{folder}: who is away and goes by {version} keeps {kept} of its "
                            f"{name}, over the {new:g} of {policy.version}"
                        )
        return None

    # Snapshots.

    def to_snapshot(self) -> bytes:
        """Returns the full state as JSON."""
        return snapshot.encode(self)

    @classmethod
    def from_snapshot(cls, state: bytes) -> Self:
        """Restores the state from `to_snapshot`; empty bytes give the initial state.

        Raises:
            ValueError: The snapshot is corrupt.
        """
        machine = cls()
        if state:
            snapshot.decode_into(machine, state)
        return machine


def _degraded_exceeds(old: float, new: float) -> bool:
    """Whether the degraded fraction of an old bound exceeds the new one; 0 means unlimited."""
    return new > 0 and (not old or DEGRADED_FRACTION * old > new + TOLERANCE)
