"""Commands that were proposed to the replicated log but not committed yet."""

import asyncio
from typing import NamedTuple

from rushmux.planner.errors import ProposalUndecidedError
from rushmux.planner.stored_commands import StoredCommand, is_same_change

PROPOSAL_TIMEOUT = 8.0  # seconds after which an operator is told that a command is undecided
MAX_PROPOSALS = 4_096  # one for each of a thousand edges, with headroom


class _Proposal(NamedTuple):
    term: int
    command: StoredCommand
    result: asyncio.Future


class PendingProposals:
    """Pending proposals by their index in the log."""

    def __init__(self):
        self._proposals: dict[int, _Proposal] = {}

    @property
    def is_full(self) -> bool:
        """Whether no further proposal is accepted."""
        return len(self._proposals) >= MAX_PROPOSALS

    def add(self, index: int, term: int, command: StoredCommand) -> asyncio.Future:
        """Adds the proposal of an entry, and returns a future of its command's result."""
        result = asyncio.get_running_loop().create_future()
        # Retrieves the exception, or asyncio logs it: the leader does not await its own proposals.
        result.add_done_callback(lambda _: result.cancelled() or result.exception())
        self._proposals[index] = _Proposal(term, command, result)
        return result

    def contains(self, command: StoredCommand) -> bool:
        """Whether a command of the same kind and policy version is pending."""
        return any(is_same_change(proposal.command, command) for proposal in self._proposals.values())

    def resolve(self, index: int, term: int, result: str) -> None:
        """Ends the proposal at an applied entry's index; it was overwritten if the terms differ."""
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
        """Fails all pending proposals: this planner will not learn their outcome."""
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            if not proposal.result.done():
                proposal.result.set_exception(ProposalUndecidedError(reason))
