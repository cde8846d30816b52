"""Renews the edge's lease of the fleet's policy, and applies the effective policy to the driver.

`fleet.policy.PolicyMember` determines the effective policy.
"""

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from rushmux.edge.driver import PolicyVersion
from rushmux.edge.planner_client import next_request_pause
from rushmux.edge.policy_codec import decode_lease_grant, encode_lease_request
from rushmux.edge.policy_store import PolicyStore, StoredPolicies
from rushmux.fleet.policy import Policy, PolicyMember
from rushmux.nodewire import WireError, messages
from rushmux.routes.reload import MAX_LISTED_ITEMS
from rushmux.settings import policy as documents
from rushmux.settings.deployment import DeploymentError

if TYPE_CHECKING:
    from rushmux.edge.edge import Edge

ANSWER_TIMEOUT = 2.0  # seconds without a grant before another planner is tried

Limits = dict[str, tuple[float, float]]
"""Folder -> limit in units per second and burst in units; 0: none."""


class PolicyState(NamedTuple):
    """The state of an edge's policy."""

    active_version: int
    staged_version: int | None
    degraded: bool
    """The edge has no lease, and uses a safe fraction of its limits."""
    serving: bool
    """The edge may run operations."""


class PolicyClient:
    """Keeps an edge on the fleet's policy."""

    def __init__(self, edge: "Edge", store: PolicyStore, stored: StoredPolicies, log):
        self.edge, self.driver, self.planner_client, self.log = edge, edge.driver, edge.planner_client, log
        self.loop = self.driver.loop
        self.member = PolicyMember(
            edge.name, stored.active, stored.staged, self._rejection_reason, store.save
        )
        # The limits that the scheduler was built with.
        self.built_limits: Limits = {
            folder: (limit, burst) for folder, limit, burst in documents.limit_rows(edge.deployment)
        }
        self.limit_scales: dict[str, float] = {}
        self.state: PolicyState | None = None
        self.last_grant_at = self.loop.time()
        self.lease_timer: asyncio.TimerHandle | None = None
        self.planner_client.on_policy_grant = self._on_grant_message
        self.driver.may_serve, self.driver.on_fenced = self._may_serve, self._on_fenced
        self._apply()

    def _rejection_reason(self, proposed: Policy) -> str | None:
        """Returns why this edge cannot apply a policy, or None if it can."""
        try:
            deployment = documents.merge(
                self.edge.own_deployment, proposed.text, f"policy {proposed.version}"
            )
        except DeploymentError as error:
            return "; ".join(f"{place}: {text}" for place, text in error.faults[:MAX_LISTED_ITEMS])
        return "; ".join(documents.restart_obstacles(self.edge.deployment, deployment)) or None

    async def run(self) -> None:
        """Requests leases until cancelled."""
        while True:
            await asyncio.sleep(next_request_pause(self.driver.rng))
            now = self.loop.time()
            if now - self.last_grant_at > ANSWER_TIMEOUT:
                self.last_grant_at = now
                self.planner_client.try_next_planner()
            request = self.member.lease_request(now)
            self.planner_client.send(policy_ask=encode_lease_request(request))
            self._apply()

    def _on_grant_message(self, message: messages.PolicyGrant) -> None:
        """Handles a grant; an invalid one is logged and ignored."""
        member = self.member
        known = {policy.version: policy for policy in (member.active, member.staged) if policy is not None}
        try:
            grant = decode_lease_grant(message, known)
        except WireError as error:
            self.log.error("policy.grant_rejected", reason=str(error))
            return
        version_before, rejected_before = member.active_version, member.rejected
        if member.on_grant(self.loop.time(), grant):
            self._on_lease_renewed()
        if member.rejected != rejected_before:
            self.log.error(
                "policy.not_applicable", version=member.rejected.version, reason=member.rejected.reason
            )
        if member.active_version != version_before:
            self._apply_active_policy()
        self._apply()

    def _on_lease_renewed(self) -> None:
        self.last_grant_at = self.loop.time()
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        # The expiry must be handled without any other event.
        self.lease_timer = self.loop.call_at(self.member.lease_expiry, self._apply)

    def _apply_active_policy(self) -> None:
        """Applies a newly active version to new operations; operations in flight keep theirs."""
        active = self.member.active
        source = f"policy {active.version}"
        self.edge.apply_deployment(documents.merge(self.edge.own_deployment, active.text, source))

    def _may_serve(self) -> bool:
        # After a stall of the process the lease may have expired, and sockets are read before timers run.
        self._apply()
        return self.member.is_serving()

    def _on_fenced(self, floor: int) -> None:
        """Handles a node's rejection of this edge's policy version, which is older than any still in use."""
        if floor > self.member.fenced_below:
            self.member.on_fenced(floor)
            self.log.error("policy.fenced", version=self.member.active_version, floor=floor)
            self._apply()

    def _apply(self) -> None:
        """Applies the policy that is effective now, and reports it if it has changed."""
        now, member = self.loop.time(), self.member
        state = PolicyState(
            member.active_version,
            member.staged and member.staged.version,
            member.is_degraded(now),
            member.is_serving(),
        )
        if state == self.state:
            return
        self.state, limits = state, member.effective_limits(now)
        self.driver.policy_version = PolicyVersion(member.active_version, member.newest_version)
        self._scale_limits(limits)
        self.log.info(
            "policy.state_changed",
            version=state.active_version,
            staged=state.staged_version or 0,
            degraded=state.degraded,
            serving=state.serving,
            reduced=self._reduced_limits(limits)[:MAX_LISTED_ITEMS],
        )
        self.edge.on_policy_state(state)

    def _scale_limits(self, limits: Limits) -> None:
        # The scheduler's limits are fixed, so new ones are applied as a factor: the smaller ratio of limits
        # and of bursts.
        scales = {}
        for folder, built in self.built_limits.items():
            if folder in limits and all(built):
                ratios = (now / before for now, before in zip(limits[folder], built, strict=True))
                scales[folder] = min(ratios)
        changed = {
            folder: scale for folder, scale in scales.items() if self.limit_scales.get(folder, 1.0) != scale
        }
        self.driver.set_limit_scales(changed)
        self.limit_scales = scales

    def _reduced_limits(self, limits: Limits) -> list[str]:
        """Describes, for the log, the folders whose limit is lower than in the active policy."""
        active = self.member.active.limits() if self.member.active else {}
        return [
            f"{folder}: {limits[folder][0]:g} of {limit:g} units/s"
            for folder, (limit, _) in active.items()
            if folder in limits and limits[folder][0] < limit
        ]
