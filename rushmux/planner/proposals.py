"""Commands that were proposed to the replicated log and wait to be committed."""

import asyncio
from typing import NamedTuple

from rushmux.planner.errors import ProposalUndecidedError
from rushmux.planner.stored_commands import StoredCommand, is_same_change

PROPOSAL_TIMEOUT = 8.0  # seconds until an operator is told that a command was not decided
MAX_PROPOSALS = 4_096  # one of each of a thousand edges, with room


class _Proposal(NamedTuple):
    term: int
    command: StoredCommand
    result: asyncio.Future


class PendingProposals:
    """Proposals by their index in the log."""

    def __init__(self):
        self._proposals: dict[int, _Proposal] = {}

    @property
    def is_full(self) -> bool:
        """Whether no further proposal may wait."""
        return len(self._proposals) >= MAX_PROPOSALS

    def add(self, index: int, term: int, command: StoredCommand) -> asyncio.Future:
        """Waits for an entry to be committed; a future of the command's result."""
        result = asyncio.get_running_loop().create_future()
        # The leader proposes commands for itself too, and awaits none of their results.
        result.add_done_callback(lambda _: result.cancelled() or result.exception())
        self._proposals[index] = _Proposal(term, command, result)
        return result

    def contains(self, command: StoredCommand) -> bool:
        """Whether a command of this kind and policy number waits."""
        return any(is_same_change(proposal.command, command) for proposal in self._proposals.values())

    def resolve(self, index: int, term: int, result: str) -> None:
        """An entry was applied: the proposal at its index has a result, or was overwritten."""
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.result.done():
            return
        if proposal.term == term:
            proposal.result.set_result(result)
        else:
            proposal.result.set_exception(
                ProposalUndecidedError("another planner led meanwhile; it was not decided")
            )

    def fail_all(self, reason: str) -> None:
        """Tells all that wait that the outcome of their commands is not known here."""
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            if not proposal.result.done():
                proposal.result.set_exception(ProposalUndecidedError(reason))
