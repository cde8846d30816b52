"""Errors of the edge; all derive from `EdgeError`."""

from rushmux.sftp import packets as sftp


class EdgeError(Exception):
    """Base class of all errors that this package raises."""

    @property
    def status_text(self) -> str:
        """A short text, quoted to clients as the reason why buffered writes were discarded."""
        return str(self)


class OperationShedError(EdgeError):
    """The operation was not done and may be retried.

    Attributes:
        retry_after: Seconds to wait before a retry; 0: unspecified.
    """

    def __init__(self, retry_after: float = 0.0):
        super().__init__("the operation was shed: it was not done and may be retried")
        self.retry_after = retry_after

    @property
    def status_text(self) -> str:
        """The text for clients."""
        return "shed"


class OperationFailedError(EdgeError):
    """The operation was given up; it may have been done."""

    def __init__(self):
        super().__init__("the operation failed: it may have been done")

    @property
    def status_text(self) -> str:
        """The text for clients."""
        return "Terminated"


class RequestRejectedError(EdgeError):
    """A client's request cannot be done; the text says why.

    Attributes:
        status_code: The SFTP status code of the reply, from `sftp.packets`.
    """

    def __init__(self, status_code: int, reason: str):
        super().__init__(reason)
        self.status_code = status_code


class ObjectMissingError(EdgeError):
    """An object that a row refers to is not on its node.

    Attributes:
        object_name: The object.
    """

    def __init__(self, object_name: str):
        super().__init__(f"object {object_name} is not on its node")
        self.object_name = object_name

    @property
    def status_text(self) -> str:
        """The object's name."""
        return self.object_name


class ObjectCorruptedError(EdgeError):
    """An object's bytes differ from those written.

    Attributes:
        object_name: The object.
    """

    def __init__(self, object_name: str):
        super().__init__(f"object {object_name} is corrupted")
        self.object_name = object_name


class ContentionError(RequestRejectedError):
    """Concurrent changes of the same rows made every attempt fail.

    Attributes:
        target: What was to be changed: a path, or "the file".
    """

    def __init__(self, target: str):
        super().__init__(sftp.FAILURE, f"{target}: conflicts with concurrent changes; try again")
        self.target = target
