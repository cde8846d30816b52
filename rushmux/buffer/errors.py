"""Errors of the write-back buffer."""


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

    def __init__(self, folder):
        super().__init__(f"{folder}: another program holds this log")
        self.folder = folder


class SegmentError(WriteBackError):
    """A file is no log segment of this format.

    Attributes:
        header: The first bytes of the file.
    """

    def __init__(self, header: bytes, expected: bytes):
        super().__init__(f"begins with {header!r}; a segment of this program begins with {expected!r}")
        self.header = header


class RecordError(WriteBackError):
    """A log record has a valid checksum but not the fields of its kind.

    Attributes:
        kind: The record's kind.
        fields: The fields that it has.
    """

    def __init__(self, kind: str, fields):
        super().__init__(f"a {kind} record of the log has the fields {fields!r}, which do not fit its kind")
        self.kind = kind
        self.fields = fields


class MissingBaseError(WriteBackError):
    """The log holds a write of a file without the record of the file before it.

    Attributes:
        folder: The file's folder.
        file_id: The file's id.
    """

    def __init__(self, folder: str, file_id: str):
        super().__init__(f"the log holds a write of file {file_id} of {folder} but no base record before it")
        self.folder = folder
        self.file_id = file_id
