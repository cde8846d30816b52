"""Where the log's segments lie: a folder of a real disk, or a simulated one."""

import fcntl
import os
from pathlib import Path


class InUse(Exception):
    """Another program writes this log."""


class Disk:
    """A folder of segments, held by one program at a time.  `sync`: each append reaches the disk."""

    def __init__(self, folder, sync=False):
        self.folder, self.sync, self.open = Path(folder), sync, {}
        self.folder.mkdir(parents=True, exist_ok=True)
        # Danger: an older self that was only stopped goes on writing beside the new one.
        self.lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            raise InUse(f"{folder}: another program holds this log") from fault

    def names(self) -> list[str]:
        """Segments in the order they were made."""
        return sorted(path.name for path in self.folder.glob("*.log"))

    def read(self, name) -> bytes:
        return (self.folder / name).read_bytes()

    def append(self, name, data):
        """Adds bytes at the end of a segment; OSError where the disk does not take them."""
        if name not in self.open:
            self.open[name] = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        while data:
            data = data[os.write(self.open[name], data) :]
        if self.sync:
            os.fdatasync(self.open[name])

    def remove(self, name):
        if name in self.open:
            os.close(self.open.pop(name))
        (self.folder / name).unlink(missing_ok=True)

    def set_aside(self, name):
        """Keeps a damaged segment for a human to look at."""
        os.replace(self.folder / name, self.folder / (name + ".damaged"))


class SimulatedDisk:
    """The same in memory; `fails` names the OSError that the next appends end with."""

    def __init__(self):
        self.files, self.fails, self.half = {}, None, False

    def names(self):
        return sorted(name for name in self.files if name.endswith(".log"))

    def read(self, name):
        return bytes(self.files[name])

    def append(self, name, data):
        if self.fails is not None:
            if self.half:  # a full disk takes what still fits
                self.files.setdefault(name, bytearray()).extend(data[: len(data) // 2])
            raise OSError(self.fails, os.strerror(self.fails))
        self.files.setdefault(name, bytearray()).extend(data)

    def remove(self, name):
        self.files.pop(name, None)

    def set_aside(self, name):
        self.files[name + ".damaged"] = self.files.pop(name)
