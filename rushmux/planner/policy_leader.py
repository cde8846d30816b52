"""The leader's work during one term: confirming leadership, members' leases, rolling out changes."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import structlog

from rushmux.fleet.policy import LeaseGrant, LeaseRequest, RolloutCoordinator
from rushmux.nodewire import WireError, messages
from rushmux.planner import raft_codec
from rushmux.planner.proposals import MAX_PROPOSALS
from rushmux.planner.replicated_state import ReplicatedState
from rushmux.planner.server import PeerConnection
from rushmux.planner.stored_commands import StoredCommand

MAX_REASON_LENGTH = 1_000  # characters of a member's reason, which may become part of a log entry


class _Confirmation(NamedTuple):
    """A function to call once a majority has confirmed a round later than `round`."""

    round: int
    call: Callable[[], None]


class _LeaseHolder(NamedTuple):
    """A member that requested a lease, and the versions of the policies whose texts it has."""

    peer: PeerConnection
    known_versions: tuple[int, int]


class PolicyLeader:
    """Serves the policy's members while this planner leads.

    Args:
        state: The replicated state.
        now: When leadership began, in seconds of the event loop's clock.
        bootstrap_command: Returns the command that creates the fleet's first policy, or None.
        log: The logger.
    """

    def __init__(
        self,
        state: ReplicatedState,
        now: float,
        bootstrap_command: Callable[[], StoredCommand | None],
        log: structlog.typing.FilteringBoundLogger,
    ):
        self._log = log
        self._state = state
        self._bootstrap_command = bootstrap_command
        self.coordinator = RolloutCoordinator(state.policy, now)
        self._confirmations: list[_Confirmation] = []
        self._holders: dict[str, _LeaseHolder] = {}

    def confirm_leadership(self, current_round: int, call: Callable[[], None]) -> None:
        """Calls a function once a majority has confirmed a round that begins after this call.

        It is never called if no such round is confirmed, or if too many functions wait.
        """
        if len(self._confirmations) < MAX_PROPOSALS:
            self._confirmations.append(_Confirmation(current_round, call))

    def on_lease_request(
        self, peer: PeerConnection, request: messages.PolicyAsk, now: float, current_round: int
    ) -> None:
        """Registers a lease request, to be answered once a majority has confirmed a later round.

        Raises:
            WireError: The request names another member.
        """
        if request.member != peer.name:
            raise WireError(f"{peer.name} requested a lease for {request.member}")
        lease_request = LeaseRequest(
            request.member,
            request.ask,
            request.force,
            request.joint,
            request.refused,
            request.against[:MAX_REASON_LENGTH],
        )
        self._holders[request.member] = _LeaseHolder(peer, (request.force, request.joint))
        self.coordinator.on_lease_request(now, lease_request, current_round)

    def on_round_confirmed(self, confirmed_round: int) -> None:
        """Calls the functions that waited for a round that is now confirmed."""
        ready = [waiting for waiting in self._confirmations if waiting.round < confirmed_round]
        self._confirmations = [waiting for waiting in self._confirmations if waiting.round >= confirmed_round]
        for waiting in ready:
            self._call_logging_errors(waiting.call)

    def send_grants(self, now: float, confirmed_round: int, term: int, index: int) -> None:
        """Grants leases that were requested before a confirmed round."""
        for grant in self.coordinator.grant_leases(now, confirmed_round, term, index):
            holder = self._holders[grant.member]
            self._call_logging_errors(partial(_send_grant, holder, grant))

    def _call_logging_errors(self, answer: Callable[[], None]) -> None:
        """Answers one peer and logs any error, which must not affect the other peers."""
        try:
            answer()
        except Exception:
            self._log.exception("policy_leader.answer_fault")

    def next_command(self, now: float) -> StoredCommand | None:
        """Returns the command that the leader itself should propose now, if any."""
        if self._state.policy.active is None:
            return self._bootstrap_command()
        return self.coordinator.next_command(now)


def _send_grant(holder: _LeaseHolder, grant: LeaseGrant) -> None:
    holder.peer.send(policy_grant=raft_codec.encode_grant(grant, holder.known_versions))
