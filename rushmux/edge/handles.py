"""The handles of a session: open files and open directories."""

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.openfile import OpenFile
from rushmux.files.paths import Names
from rushmux.sftp import packets as sftp


class OpenDirectory:
    """An open directory and its listing position.

    Attributes:
        path: Names of the directory's path from the root; updated by renames.
        remaining_folders: Folders still to be listed; None: not the root.
        next_key: The key to continue after (empty: from the first).
        exhausted: Whether all entries were listed.
    """

    def __init__(
        self, path: Names, folder: str, directory_id: str, remaining_folders: list[str] | None = None
    ):
        self.path, self.folder, self.directory_id = path, folder, directory_id
        self.remaining_folders = remaining_folders
        self.next_key, self.exhausted = "", False


class HandleTable:
    """The open handles of a session by the ids that clients use."""

    def __init__(self, session_name: str, max_handles: int):
        self.session_name, self.max_handles = session_name, max_handles
        self.by_id: dict[bytes, OpenFile | OpenDirectory] = {}
        self.opened_count = 0

    def check_capacity(self) -> None:
        """Raises RequestRejectedError if the table is full."""
        if len(self.by_id) >= self.max_handles:
            raise RequestRejectedError(
                sftp.FAILURE, f"{self.max_handles} handles are open, the most of a session"
            )

    def add(self, opened: OpenFile | OpenDirectory) -> bytes:
        """Adds an open file or directory and returns its new handle."""
        self.opened_count += 1
        handle = f"{self.session_name}/{self.opened_count}".encode()
        self.by_id[handle] = opened
        return handle

    def get(self, handle: bytes | None) -> OpenFile | OpenDirectory | None:
        """Returns the open file or directory of a handle, if any."""
        return self.by_id.get(handle)

    def open_files(self, folder: str) -> list[OpenFile]:
        """Returns the open files of a folder."""
        return [
            opened
            for opened in self.by_id.values()
            if isinstance(opened, OpenFile) and opened.folder == folder
        ]

    def file(self, handle: bytes) -> OpenFile:
        """Returns a handle's open file, or raises RequestRejectedError."""
        return self._require(handle, OpenFile)

    def directory(self, handle: bytes) -> OpenDirectory:
        """Returns a handle's open directory, or raises RequestRejectedError."""
        return self._require(handle, OpenDirectory)

    def _require(self, handle: bytes, kind: type):
        opened = self.by_id.get(handle)
        if not isinstance(opened, kind):
            raise RequestRejectedError(sftp.FAILURE, "no such handle in this session")
        return opened

    def remove(self, handle: bytes) -> OpenFile | OpenDirectory:
        """Removes a handle and returns what it had open, or raises RequestRejectedError."""
        opened = self._require(handle, (OpenFile, OpenDirectory))
        del self.by_id[handle]
        return opened

    def on_renamed(self, path: Names, target: Names) -> None:
        """Updates the paths of handles at or below a renamed path."""
        for opened in self.by_id.values():
            if opened.path[: len(path)] == path:
                opened.path = target + opened.path[len(path) :]

    def release_all(self) -> None:
        """Releases all open files."""
        for opened in self.by_id.values():
            if isinstance(opened, OpenFile):
                opened.release()
