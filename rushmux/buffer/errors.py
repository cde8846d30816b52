"""Errors of the write-back buffer."""

from pathlib import Path


class WriteBackError(Exception):
    """Base of all errors of this package."""


class WritesDiscardedError(WriteBackError):
    """Buffered writes of a file were discarded and will never reach the nodes.

    Attributes:
        path: The file's path as its clients name it.
        reason: Why its writes were discarded.
    """

    def __init__(self, path: str, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class LogInUseError(WriteBackError):
    """Another program has the log open.

    Attributes:
        folder: The log's folder.
    """

    def __init__(self, folder: str | Path):
        super().__init__(f"{folder}: another program holds this log")
        self.folder = folder


class SegmentError(WriteBackError):
    """A file is not a log segment of this format.

    Attributes:
        header: The first bytes of the file.
    """

    def __init__(self, header: bytes, expected: bytes):
        super().__init__(f"segment begins with {header!r} instead of {expected!r}")
        self.header = header


class RecordError(WriteBackError):
    """A log record has a valid checksum but lacks fields of its kind.

    Attributes:
        kind: The name of the record's kind.
        fields: Its fields as decoded from JSON.
    """

    def __init__(self, kind: str, fields: object):
        super().__init__(f"a {kind} record of the log has the fields {fields!r}, which do not fit its kind")
        self.kind = kind
        self.fields = fields


class MissingBaseError(WriteBackError):
    """The log has a write of a file but no base record before it.

    Attributes:
        folder: The file's folder.
        file_id: The file's id.
    """

    def __init__(self, folder: str, file_id: str):
        super().__init__(f"the log has a write of file {file_id} of {folder} but no base record before it")
        self.folder = folder
        self.file_id = file_id
