"""Pending proposals: each gets its result, or an error that its outcome is unknown."""

import asyncio

import pytest

from rushmux.planner.errors import ProposalUndecidedError
from rushmux.planner.proposals import PendingProposals

COMMAND = {"kind": "decide", "number": 2}


def resolved(settle):
    """Returns the result of a proposal at index 5 of term 3, after `settle`."""

    async def main():
        proposals = PendingProposals()
        result = proposals.add(5, 3, COMMAND)
        settle(proposals)
        return await result

    return asyncio.run(main())


def test_a_committed_proposal_has_its_result():
    assert resolved(lambda proposals: proposals.resolve(5, 3, "2 is decided")) == "2 is decided"


@pytest.mark.parametrize(
    "settle, message",
    [
        (lambda proposals: proposals.resolve(5, 4, "of another leader"), "another planner led meanwhile"),
        (lambda proposals: proposals.fail_all("this planner ends"), "this planner ends"),
    ],
)
def test_a_proposal_without_an_outcome_fails(settle, message):
    with pytest.raises(ProposalUndecidedError, match=message):
        resolved(settle)


def test_the_same_command_is_found_while_it_is_pending():
    async def main():
        proposals = PendingProposals()
        proposals.add(5, 3, COMMAND)
        pending = proposals.contains({**COMMAND, "why": "again"}), proposals.contains({"kind": "end"})
        proposals.resolve(5, 3, "")
        return pending, proposals.contains(COMMAND)

    assert asyncio.run(main()) == ((True, False), False)
