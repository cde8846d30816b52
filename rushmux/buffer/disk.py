"""Storage of the write-ahead log's segments: a folder on disk, or simulated in memory."""

import fcntl
import os
from pathlib import Path
from typing import Protocol

from rushmux.buffer.errors import LogInUseError

SEGMENT_SUFFIX = ".log"
QUARANTINE_SUFFIX = ".damaged"
LOCK_FILE = "lock"
OWNER_ONLY = 0o600


class SegmentStorage(Protocol):
    """The storage operations that the write-ahead log needs."""

    def names(self) -> list[str]:
        """The names of the segments in the order of their creation."""

    def read(self, name: str) -> bytes:
        """A segment's bytes."""

    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a segment; OSError if not all of them were written."""

    def remove(self, name: str) -> None:
        """Removes a segment if it exists."""

    def quarantine(self, name: str) -> None:
        """Sets a damaged segment aside for inspection."""


class SegmentFolder:
    """Segments in a folder that only one program at a time can use.

    Args:
        folder: The folder, which is created if missing.
        sync: Whether each append waits until the data is on disk.

    Raises:
        LogInUseError: Another program holds the folder's lock.
    """

    def __init__(self, folder: str | Path, sync: bool = False):
        self.folder = Path(folder)
        self.sync = sync
        self.descriptors: dict[str, int] = {}
        self.folder.mkdir(parents=True, exist_ok=True)
        # Without the lock, an earlier process that was only paused could go on writing to the same log.
        self.lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, OWNER_ONLY)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise LogInUseError(folder) from error

    def names(self) -> list[str]:
        """The names of the segments in the order of their creation."""
        return sorted(path.name for path in self.folder.glob(f"*{SEGMENT_SUFFIX}"))

    def read(self, name: str) -> bytes:
        """A segment's bytes."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a segment; OSError if not all of them were written."""
        if name not in self.descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.descriptors[name] = os.open(self.folder / name, flags, OWNER_ONLY)
            if self.sync:
                self._sync_folder()
        descriptor = self.descriptors[name]
        while data:
            data = data[os.write(descriptor, data) :]
        if self.sync:
            os.fdatasync(descriptor)

    def _sync_folder(self) -> None:
        # Otherwise a power failure could take back the new file, but not the removal of older ones.
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, name: str) -> None:
        """Removes a segment if it exists."""
        if name in self.descriptors:
            os.close(self.descriptors.pop(name))
        (self.folder / name).unlink(missing_ok=True)

    def quarantine(self, name: str) -> None:
        """Sets a damaged segment aside for inspection."""
        os.replace(self.folder / name, self.folder / (name + QUARANTINE_SUFFIX))


class SimulatedSegments:
    """Segments in memory, with faults that can be injected.

    Attributes:
        files: Contents of the files by name.
        append_errno: The errno with which appends fail; None if they succeed.
        partial_append: Whether a failing append still writes half of its bytes, as a full disk does.
    """

    def __init__(self):
        self.files: dict[str, bytearray] = {}
        self.append_errno: int | None = None
        self.partial_append = False

    def names(self) -> list[str]:
        """The names of the segments in the order of their creation."""
        return sorted(name for name in self.files if name.endswith(SEGMENT_SUFFIX))

    def read(self, name: str) -> bytes:
        """A segment's bytes."""
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a segment; OSError while `append_errno` is set."""
        if self.append_errno is not None:
            if self.partial_append:
                self.files.setdefault(name, bytearray()).extend(data[: len(data) // 2])
            raise OSError(self.append_errno, os.strerror(self.append_errno))
        self.files.setdefault(name, bytearray()).extend(data)

    def remove(self, name: str) -> None:
        """Removes a segment if it exists."""
        self.files.pop(name, None)

    def quarantine(self, name: str) -> None:
        """Sets a damaged segment aside for inspection."""
        self.files[name + QUARANTINE_SUFFIX] = self.files.pop(name)
