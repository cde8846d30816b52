"""Errors of the control plane: a base class, and a subclass for each cause that callers distinguish."""

from pathlib import Path


class PlannerError(Exception):
    """Base of this package's errors; its message is meant for an operator."""


class CommandRejectedError(PlannerError):
    """An operator's command was not carried out.

    Attributes:
        reason: The reason given by the planner or the network.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class PlannerUnavailableError(CommandRejectedError):
    """The planner did not answer, does not lead, or does not know the command's outcome.

    The command may be sent to another planner, with the same client id and sequence number.
    """


class ProposalRejectedError(PlannerError):
    """The replicated log did not accept a command.

    Attributes:
        reason: Why it was not accepted.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class ProposalUndecidedError(ProposalRejectedError):
    """This planner cannot commit a command, or does not know its outcome.

    Another planner may commit it, or may already have done so.
    """


class NotLeaderError(ProposalUndecidedError):
    """A command for the leader reached another planner.

    Attributes:
        leader: The leader's member id, or None if unknown.
    """

    def __init__(self, leader: str | None, unknown: str = "no planner that is known here"):
        super().__init__(f"{leader or unknown} leads")
        self.leader = leader


class _FileError(PlannerError):
    """A file cannot be used; the message names the file and the reason."""

    def __init__(self, path: str | Path, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = Path(path)
        self.reason = reason


class MembershipStoreError(_FileError):
    """A membership store cannot be opened.

    Attributes:
        path: The store's file.
        reason: What is wrong with it.
    """


class RaftStorageError(_FileError):
    """A planner cannot use its stored Raft log.

    Attributes:
        path: The log's file.
        reason: What is wrong with it.
    """
