"""Errors of the control plane: one base class, and a subclass for each cause that a caller tells apart."""

from pathlib import Path


class PlannerError(Exception):
    """Base of all errors of this package; its text is a sentence for an operator."""


class CommandRejectedError(PlannerError):
    """An operator's command that was not carried out.

    Attributes:
        reason: why, as the planner or the network said it.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class PlannerUnavailableError(CommandRejectedError):
    """A planner that did not answer, does not lead, or does not know the command's outcome.

    The same command under the same client id and sequence number may be sent to another planner.
    """


class ProposalRejectedError(PlannerError):
    """A command that the replicated log did not accept.

    Attributes:
        reason: why it was not accepted.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class ProposalUndecidedError(ProposalRejectedError):
    """A command that this planner cannot commit, or whose outcome it does not know.

    Another planner may commit it, or may have done so already.
    """


class NotLeaderError(ProposalUndecidedError):
    """A command for the leader that reached another planner.

    Attributes:
        leader: the member id of the leader, None where it is not known.
    """

    def __init__(self, leader: str | None, unknown: str = "no planner that is known here"):
        super().__init__(f"{leader or unknown} leads")
        self.leader = leader


class _FileError(PlannerError):
    """A file that cannot be used: the text names it and says why."""

    def __init__(self, path: str | Path, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = Path(path)
        self.reason = reason


class MembershipStoreError(_FileError):
    """A membership store that cannot be opened.

    Attributes:
        path: the store's file.
        reason: what is wrong with it.
    """


class RaftStorageError(_FileError):
    """A stored Raft log that a planner cannot continue from.

    Attributes:
        path: the log's file.
        reason: what is wrong with it.
    """
