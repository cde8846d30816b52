"""The three parts of the policy's rollout that simulation and model checker run: real ones or mutants."""

from typing import NamedTuple

from rushmux.fleet import policy


class PolicyParts(NamedTuple):
    """Classes of the replicated state, the leader's side and the member's side."""

    state_machine: type[policy.PolicyStateMachine] = policy.PolicyStateMachine
    coordinator: type[policy.RolloutCoordinator] = policy.RolloutCoordinator
    member: type[policy.PolicyMember] = policy.PolicyMember

    def with_mutant(self, mutant: type) -> "PolicyParts":
        """These parts, with a mutant in place of the part that it derives from."""
        return PolicyParts(*(mutant if issubclass(mutant, part) else part for part in self))


REAL_PARTS = PolicyParts()
