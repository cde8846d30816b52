"""The three classes of the policy rollout that the simulation and the model checker run."""

from typing import NamedTuple

from rushmux.fleet import policy


class PolicyParts(NamedTuple):
    """Classes for the replicated state, the leader's side and the member's side: real ones or mutants."""

    state_machine: type[policy.PolicyStateMachine] = policy.PolicyStateMachine
    coordinator: type[policy.RolloutCoordinator] = policy.RolloutCoordinator
    member: type[policy.PolicyMember] = policy.PolicyMember

    def with_mutant(self, mutant: type) -> "PolicyParts":
        """These parts, with a mutant in place of its base class."""
        return PolicyParts(*(mutant if issubclass(mutant, part) else part for part in self))


REAL_PARTS = PolicyParts()
