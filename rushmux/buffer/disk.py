"""Where the segments of the write-ahead log are stored: a folder of a disk, or simulated in memory."""

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
    """What the write-ahead log needs of a disk."""

    def names(self) -> list[str]:
        """The segments in the order they were made."""

    def read(self, name: str) -> bytes:
        """A segment's bytes."""

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes at the end of a segment; OSError where the disk does not take them all."""

    def remove(self, name: str) -> None:
        """Removes a segment; one that does not exist is no error."""

    def quarantine(self, name: str) -> None:
        """Sets a damaged segment aside, for a person to look at."""


class SegmentFolder:
    """Segments in a folder, which is locked by one program at a time.

    Args:
        folder: The folder, which is made where there is none.
        sync: Whether each append waits until it has reached the disk.

    Raises:
        LogInUseError: Another program holds the folder's lock.
    """

    def __init__(self, folder: str | Path, sync: bool = False):
        self.folder = Path(folder)
        self.sync = sync
        self.descriptors: dict[str, int] = {}
        self.folder.mkdir(parents=True, exist_ok=True)
        # An earlier process that was only stopped would go on writing beside the new one.
        self.lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, OWNER_ONLY)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            raise LogInUseError(folder) from fault

    def names(self) -> list[str]:
        """The segments in the order they were made."""
        return sorted(path.name for path in self.folder.glob(f"*{SEGMENT_SUFFIX}"))

    def read(self, name: str) -> bytes:
        """A segment's bytes."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes at the end of a segment; OSError where the disk does not take them all."""
        if name not in self.descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.descriptors[name] = os.open(self.folder / name, flags, OWNER_ONLY)
        descriptor = self.descriptors[name]
        while data:
            data = data[os.write(descriptor, data) :]
        if self.sync:
            os.fdatasync(descriptor)

    def remove(self, name: str) -> None:
        """Removes a segment; one that does not exist is no error."""
        if name in self.descriptors:
            os.close(self.descriptors.pop(name))
        (self.folder / name).unlink(missing_ok=True)

    def quarantine(self, name: str) -> None:
        """Sets a damaged segment aside, for a person to look at."""
        os.replace(self.folder / name, self.folder / (name + QUARANTINE_SUFFIX))


class SimulatedSegments:
    """Segments in memory, on a disk that can be made to fail.

    Attributes:
        files: The bytes of each file by its name.
        append_errno: Number of the OSError that appends end with; None where they succeed.
        partial_append: Whether a failing append still writes half of its bytes, as a full disk does.
    """

    def __init__(self):
        self.files: dict[str, bytearray] = {}
        self.append_errno: int | None = None
        self.partial_append = False

    def names(self) -> list[str]:
        """The segments in the order they were made."""
        return sorted(name for name in self.files if name.endswith(SEGMENT_SUFFIX))

    def read(self, name: str) -> bytes:
        """A segment's bytes."""
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes at the end of a segment; OSError where the disk is made to fail."""
        if self.append_errno is not None:
            if self.partial_append:
                self.files.setdefault(name, bytearray()).extend(data[: len(data) // 2])
            raise OSError(self.append_errno, os.strerror(self.append_errno))
        self.files.setdefault(name, bytearray()).extend(data)

    def remove(self, name: str) -> None:
        """Removes a segment; one that does not exist is no error."""
        self.files.pop(name, None)

    def quarantine(self, name: str) -> None:
        """Sets a damaged segment aside, for a person to look at."""
        self.files[name + QUARANTINE_SUFFIX] = self.files.pop(name)
