"""Errors of the fleet's shared decisions; each reads as a sentence to an operator."""


class FleetError(Exception):
    """Base of all errors of this package."""


class ProposalRejectedError(FleetError):
    """The replicated log cannot take a proposal now; the text says why."""


class NotLeaderError(ProposalRejectedError):
    """A proposal was made to a member that does not lead."""


class CommandRejectedError(FleetError):
    """The policy state machine refuses a command; the text says why."""


class MembershipFullError(FleetError):
    """More members than are kept; the text names the one that was rejected."""
